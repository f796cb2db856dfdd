package relay

import (
	"bufio"
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// dialTimeout bounds the opening of a connection to a server.
	dialTimeout = 800 * clock.Millisecond
	// unacknowledged is how long sent bytes may stay unacknowledged before the
	// connection counts as broken.
	unacknowledged = 3 * clock.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount let the kernel find a
	// server that is gone without a word while a request waits for it.
	keepAliveIdle     = 1 * clock.Second
	keepAliveInterval = 500 * clock.Millisecond
	keepAliveCount    = 3
	// defaultIdle is how long an idle connection is kept to a server that does not
	// say how long it keeps one.
	defaultIdle = 3 * clock.Second
	// idleMargin is kept before the server closes an idle connection.
	idleMargin = 1 * clock.Second
	// onceOnlyIdle is the longest idle time of a connection for requests that may
	// not be repeated: one that was lost without notice cannot be told from one
	// whose request was read.
	onceOnlyIdle = 1500 * clock.Millisecond
	// maxIdleConns bounds the idle connections to one server.
	maxIdleConns = 32
)

// serverConn is a connection to a backend server.
type serverConn struct {
	net.Conn
	reader    *bufio.Reader
	server    *server
	reused    bool
	idleSince clock.Millis
	idleUntil clock.Millis
}

// connect returns an idle connection or opens one. Once-only requests get
// connections that were used a moment ago, or new ones.
func (f *fleet) connect(s *server, onceOnly bool, timeout clock.Millis) (*serverConn, error) {
	for {
		c := f.takeIdle(s, onceOnly)
		if c == nil {
			return f.dial(s, timeout)
		}
		if c.alive() {
			c.reused = true
			return c, nil
		}
		f.drop(c)
	}
}

func (f *fleet) takeIdle(s *server, onceOnly bool) *serverConn {
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

func (f *fleet) dial(s *server, timeout clock.Millis) (*serverConn, error) {
	f.mu.Lock()
	address := s.record.Address
	s.open++
	f.mu.Unlock()
	dialer := net.Dialer{Timeout: min(timeout, dialTimeout).Duration(), Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle.Duration(), Interval: keepAliveInterval.Duration(), Count: keepAliveCount,
	}}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		f.mu.Lock()
		s.open--
		f.mu.Unlock()
		return nil, err
	}
	return &serverConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), server: s}, nil
}

// setUserTimeout lets the kernel break connections whose peer does not
// acknowledge what was sent.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged))
	})
	if err != nil {
		return err
	}
	return failure
}

// alive reports whether the server has neither closed an idle connection nor
// sent bytes that belong to no request.
func (c *serverConn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN //nolint:errorlint // System calls return plain numbers.
		return true
	})
	return err == nil && quiet
}

// keep puts a connection back for the next request.
func (f *fleet) keep(c *serverConn, idle clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, now := c.server, f.clock.Now()
	if idle == 0 {
		idle = defaultIdle
	} else {
		idle -= idleMargin
	}
	if idle <= 0 || len(s.idle) >= maxIdleConns || f.servers[s.record.Server] != s {
		c.discard()
		return
	}
	c.idleSince, c.idleUntil = now, now+idle
	s.idle = append(s.idle, c)
}

// drop closes a connection that cannot be used again.
func (f *fleet) drop(c *serverConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.discard()
}

// discard closes the connection; the caller holds the lock.
func (c *serverConn) discard() {
	c.server.open--
	_ = c.Close()
}

// discardIdle closes all idle connections; the caller holds the lock.
func (s *server) discardIdle() {
	for _, c := range s.idle {
		c.discard()
	}
	s.idle = nil
}

// closeExpired closes connections that have been idle too long; the caller holds
// the lock.
func (s *server) closeExpired(now clock.Millis) {
	kept := s.idle[:0]
	for _, c := range s.idle {
		if c.idleUntil > now {
			kept = append(kept, c)
			continue
		}
		c.discard()
	}
	s.idle = kept
}
