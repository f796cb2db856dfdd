package engine

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/frame"
)

const readBufferSize = 4096

// connection sets a new read deadline before each read, so that a stream may last for
// any time but not stay silent. It also records whether a byte of the current call may
// have been sent.
type connection struct {
	net.Conn
	clock       clock.Clock
	readTimeout atomic.Int64 // milliseconds without a byte after which a read fails
	mayHaveSent atomic.Bool  // a byte of the current call may have been sent
	idleSince   clock.Millis // when the connection was returned to the pool
	reader      *bufio.Reader
	reused      bool // the connection was taken from the pool
}

func newConnection(c net.Conn, timeSource clock.Clock) *connection {
	connection := &connection{Conn: c, clock: timeSource}
	connection.reader = bufio.NewReaderSize(connection, readBufferSize)
	return connection
}

// isQuiet reports whether the peer has neither closed the connection nor sent bytes that were
// not read.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 || c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	return frame.InspectSocket(c.Conn) == frame.SocketQuiet
}

// prepare resets the connection for a new call. It sets the timeout of reads and the
// deadline of writes.
func (c *connection) prepare(readTimeout clock.Millis) error {
	c.readTimeout.Store(int64(readTimeout))
	c.mayHaveSent.Store(false)
	return c.SetWriteDeadline(c.deadline(readTimeout))
}

// deadline converts a delay to the absolute time that net.Conn expects. It uses the
// wall clock because net.Conn does too. The time is passed to net.Conn at once, so that
// later clock changes matter little.
func (c *connection) deadline(delay clock.Millis) time.Time {
	return time.UnixMilli(int64(c.clock.Wall() + delay))
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.deadline(clock.Millis(c.readTimeout.Load()))); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. It records the attempt before writing because even a
// failed write may have sent some bytes.
func (c *connection) Write(p []byte) (int, error) {
	c.mayHaveSent.Store(true)
	return c.Conn.Write(p)
}
