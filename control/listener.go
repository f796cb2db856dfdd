package control

import (
	"net"
	"sync"
)

// listener tracks its open connections so that closeAll can close them. An
// immediate shutdown of the HTTP server leaves connections in use open, so that
// clients would go on sending requests to a member that has stopped.
type listener struct {
	net.Listener
	mu              sync.Mutex
	openConnections map[*connection]struct{}
	closed          bool
}

// connection is an accepted connection that is tracked by its listener.
type connection struct {
	net.Conn
	listener *listener
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, openConnections: map[*connection]struct{}{}}
}

// Accept waits for the next connection and tracks it.
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
	l.openConnections[c] = struct{}{}
	return c, nil
}

// Close closes the connection and stops tracking it.
func (c *connection) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.openConnections, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// closeAll closes the listener and every open connection. A connection that is
// accepted at the same time is closed by Accept.
func (l *listener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.openConnections {
		_ = c.Conn.Close()
	}
}
