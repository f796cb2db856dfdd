package relay

import (
	"bufio"
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/frame"
)

const (
	// dialTimeout bounds the opening of a connection to a server.
	dialTimeout = 800 * clock.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the kernel
	// breaks the connection.
	ackTimeout = 3 * clock.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive, so
	// that the kernel detects a server that has vanished without closing its connections
	// while a request waits for it.
	keepAliveIdle     = 1 * clock.Second
	keepAliveInterval = 500 * clock.Millisecond
	keepAliveCount    = 3
	// defaultIdle is how long an idle connection is kept if the server does not report
	// its own idle timeout.
	defaultIdle = 3 * clock.Second
	// idleMargin is how long before the server's idle timeout the relay closes an idle
	// connection, so that it does not use one that the server is closing.
	idleMargin = 1 * clock.Second
	// onceOnlyIdle is the longest idle time of a connection that once-only requests may
	// use. If an idle connection was lost unnoticed, the relay cannot tell whether the
	// server has read the request, and may not send it again.
	onceOnlyIdle = 1500 * clock.Millisecond
	// maxIdleConns bounds the idle connections to one server.
	maxIdleConns = 32
)

// serverConn is a connection to a backend server. It serves one attempt at a time.
type serverConn struct {
	net.Conn
	reader      *bufio.Reader
	server      *server
	hasResponse bool   // a response was read from it
	requestID   string // ID of the latest request
	idleSince   clock.Millis
	idleUntil   clock.Millis // when an idle connection is closed
}

// connect returns an idle connection or opens a new one. Once-only requests get only
// connections that were in use within onceOnlyIdle, or new ones.
func (f *fleet) connect(s *server, onceOnly bool, timeout clock.Millis) (*serverConn, error) {
	for {
		c := f.popIdle(s, onceOnly)
		if c == nil {
			return f.dial(s, timeout)
		}
		if c.alive() {
			return c, nil
		}
		f.closeConn(c)
	}
}

// popIdle removes and returns the newest idle connection, or returns nil if none is
// suitable.
func (f *fleet) popIdle(s *server, onceOnly bool) *serverConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	s.closeExpired(now)
	if len(s.idle) == 0 {
		return nil
	}
	last := len(s.idle) - 1
	c := s.idle[last]
	if onceOnly && now-c.idleSince > onceOnlyIdle {
		return nil
	}
	s.idle = s.idle[:last]
	return c
}

// dial opens a new connection to a server.
func (f *fleet) dial(s *server, timeout clock.Millis) (*serverConn, error) {
	f.mu.Lock()
	address := s.record.Address
	s.openConns++
	f.mu.Unlock()
	dialer := net.Dialer{Timeout: min(timeout, dialTimeout).Duration(), Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle.Duration(), Interval: keepAliveInterval.Duration(), Count: keepAliveCount,
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		f.mu.Lock()
		s.openConns--
		f.mu.Unlock()
		return nil, err
	}
	return &serverConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), server: s}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel breaks connections whose
// peer does not acknowledge sent bytes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// alive reports whether the server has neither closed an idle connection nor
// sent bytes that belong to no request.
func (c *serverConn) alive() bool {
	return c.reader.Buffered() == 0 && frame.InspectSocket(c.Conn) == frame.SocketQuiet
}

// putIdle adds a connection to the idle ones, or closes it if it cannot be kept.
// The parameter idle is the server's idle timeout, or 0 if it is unknown. The parameter run is
// the start time of the server's run when the connection was opened or used last.
func (f *fleet) putIdle(c *serverConn, run int64, idle clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, now := c.server, f.clock.Now()
	if idle == 0 {
		idle = defaultIdle
	} else {
		idle -= idleMargin
	}
	if idle <= 0 || len(s.idle) >= maxIdleConns || f.servers[s.record.Server] != s || !s.keepsConnections(run) {
		c.discard()
		return
	}
	c.idleSince, c.idleUntil = now, now+idle
	s.idle = append(s.idle, c)
}

// closeConn closes a connection that cannot be used again.
func (f *fleet) closeConn(c *serverConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.discard()
}

// discard closes the connection. The caller holds the lock.
func (c *serverConn) discard() {
	c.server.openConns--
	_ = c.Close()
}

// discardIdle closes all idle connections. The caller holds the lock.
func (s *server) discardIdle() {
	for _, c := range s.idle {
		c.discard()
	}
	s.idle = nil
}

// closeExpired closes the connections whose idle time has expired. The caller holds
// the lock.
func (s *server) closeExpired(now clock.Millis) {
	remaining := s.idle[:0]
	for _, c := range s.idle {
		if c.idleUntil > now {
			remaining = append(remaining, c)
			continue
		}
		c.discard()
	}
	s.idle = remaining
}
