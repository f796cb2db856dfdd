package control

import (
	"net"
	"sync"
)

// listener keeps its open connections, because the HTTP server leaves those that
// were in use when it is shut down at once. A client would go on talking to a
// member that no longer exists.
type listener struct {
	net.Listener
	mu     sync.Mutex
	open   map[*connection]struct{}
	closed bool
}

type connection struct {
	net.Conn
	listener *listener
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, open: map[*connection]struct{}{}}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = accepted.Close()
		return nil, net.ErrClosed
	}
	l.open[c] = struct{}{}
	return c, nil
}

// Close closes the connection and forgets it.
func (c *connection) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// closeAll closes the listener and every open connection.
func (l *listener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.open {
		_ = c.Conn.Close()
	}
}
