package standin

import (
	"context"
	"net"
	"strings"
	"sync"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
)

const maxBody = 64 << 20

// server runs a fiber application and can cut all of its connections.
type server struct {
	app      *fiber.App
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]struct{}
	done     chan struct{}
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{BodyLimit: maxBody, ReadBufferSize: 64 << 10, Immutable: true})
}

func listen(app *fiber.App, address string) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &server{app: app, open: map[net.Conn]struct{}{}, done: make(chan struct{})}
	s.listener = &trackingListener{Listener: l, server: s}
	go s.serve()
	return s, nil
}

func (s *server) serve() {
	defer close(s.done)
	_ = s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true})
}

func (s *server) address() string {
	return s.listener.Addr().String()
}

// cut closes every open connection except the one that asked for it.
func (s *server) cut(except net.Conn) {
	for _, c := range s.connections() {
		if c != except {
			_ = c.Close()
		}
	}
}

func (s *server) connections() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Keys(s.open)
}

func (s *server) stop(ctx context.Context) error {
	return errors.Wrap(s.app.ShutdownWithContext(ctx), "stop the HTTP server")
}

func (s *server) close() {
	_ = s.listener.Close()
	s.cut(nil)
}

type trackingListener struct {
	net.Listener
	server *server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: c, server: l.server}
	l.server.mu.Lock()
	l.server.open[tracked] = struct{}{}
	l.server.mu.Unlock()
	return tracked, nil
}

type trackedConn struct {
	net.Conn
	server *server
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.open, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// gate applies crash and silence to every call that is not for the stand-in's
// own control.
func gate(f *faults, closing <-chan struct{}) fiber.Handler {
	return func(c fiber.Ctx) error {
		if strings.HasPrefix(c.Path(), "/stand-in/") {
			return c.Next()
		}
		if !f.pass(nil, closing) {
			return c.RequestCtx().Conn().Close()
		}
		return c.Next()
	}
}
