package entry

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// lingerTime and lingerBytes bound for how long, and how many bytes, the entry still
	// reads from a caller whose request was refused before it had fully arrived. Closing a
	// connection with unread bytes resets it, and the caller would lose the answer.
	lingerTime  = 1 * clock.Second
	lingerBytes = 4 << 20
)

// callerConn sets a new write deadline before each write. The HTTP server's own
// write timeout covers a whole response and would cut long streams.
type callerConn struct {
	net.Conn
	writeTimeout  clock.Millis // limit for one write
	wallClock     clock.Clock
	lingerOnClose atomic.Bool // Close reads the rest of the request first
}

// Close implements net.Conn. It discards the rest of a request that was refused
// early, within lingerTime and lingerBytes.
func (c *callerConn) Close() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && c.lingerOnClose.Swap(false) && half.CloseWrite() == nil && c.SetReadDeadline(deadline(c.wallClock, lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
}

// Write implements net.Conn. It fails when the caller does not read for too long.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(deadline(c.wallClock, c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// callerListener wraps each accepted connection in a callerConn.
type callerListener struct {
	net.Listener
	writeTimeout clock.Millis
	wallClock    clock.Clock
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, writeTimeout: l.writeTimeout, wallClock: l.wallClock}, nil
}

// callerGone reports whether the caller has closed its connection. It peeks at the
// socket, so that no byte is lost to a later read.
func callerGone(conn net.Conn) bool {
	c, ok := conn.(*callerConn)
	if !ok {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := s.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = rawConn.Control(func(fd uintptr) { closed = peerClosed(int(fd)) })
	return closed || err != nil
}

// peerClosed reports whether the other end of a socket has closed the connection.
func peerClosed(fd int) bool {
	var peeked [1]byte
	n, _, err := syscall.Recvfrom(fd, peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == nil {
		return n == 0
	}
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}
