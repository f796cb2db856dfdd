package engine

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/galenaslip/galenaslip/clock"
)

const readBufferSize = 4096

// connection sets a fresh read deadline before each read, so that a stream may
// last for any time but may not stay silent, and records whether a byte of the
// current call may have left.
type connection struct {
	net.Conn
	clock   clock.Clock
	silence atomic.Int64
	wrote   atomic.Bool
	used    clock.Millis
	reader  *bufio.Reader
	reused  bool
}

func newConnection(c net.Conn, cl clock.Clock) *connection {
	connection := &connection{Conn: c, clock: cl}
	connection.reader = bufio.NewReaderSize(connection, readBufferSize)
	return connection
}

// prepare starts a call that may not stay silent for longer than silence.
func (c *connection) prepare(silence clock.Millis) error {
	c.silence.Store(int64(silence))
	c.wrote.Store(false)
	return c.SetWriteDeadline(c.deadline(silence))
}

// deadline converts a delay to the absolute time that net.Conn wants. The time
// of day is used because it is read and converted back at once.
func (c *connection) deadline(delay clock.Millis) time.Time {
	return time.UnixMilli(int64(c.clock.Wall() + delay))
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.deadline(clock.Millis(c.silence.Load()))); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn. The mark is set first: a failed write may still
// have sent a part.
func (c *connection) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(p)
}
