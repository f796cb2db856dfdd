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
	// lingerTime and lingerBytes bound what is read from a caller that was
	// refused before its request had arrived. Closing the connection with unread
	// bytes resets it, and the caller would lose the answer.
	lingerTime  = 1 * clock.Second
	lingerBytes = 4 << 20
)

// callerConn sets a fresh write deadline before each write. The HTTP server's
// own write timeout covers a whole response and would cut long streams.
type callerConn struct {
	net.Conn
	idle   clock.Millis
	now    clock.Clock
	linger atomic.Bool
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && c.linger.Swap(false) && half.CloseWrite() == nil && c.SetReadDeadline(deadline(c.now, lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(deadline(c.now, c.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// callerListener wraps each accepted connection.
type callerListener struct {
	net.Listener
	idle clock.Millis
	now  clock.Clock
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, idle: l.idle, now: l.now}, nil
}

// callerGone reports whether the caller has closed its connection. It looks at
// the socket without taking a byte from it.
func callerGone(conn net.Conn) bool {
	c, ok := conn.(*callerConn)
	if !ok {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = ended(int(fd)) })
	return gone || err != nil
}

func ended(fd int) bool {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == nil {
		return n == 0
	}
	return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}
