package standin

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
)

const maxBodyBytes = 64 << 20

// server runs a fiber application and tracks its open connections, so that they can all
// be closed at once.
type server struct {
	app             *fiber.App
	listener        net.Listener
	mu              sync.Mutex
	openConnections map[net.Conn]struct{}
	stopped         chan struct{} // closed when the application no longer serves
}

func newApp() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxBodyBytes, ReadBufferSize: 64 << 10, Immutable: true})
	app.Use(echoRequestID)
	return app
}

// echoRequestID sends the ID of a request with its answer.
func echoRequestID(c fiber.Ctx) error {
	if id := c.Get("X-Request-Id"); id != "" {
		c.Set("X-Request-Id", id)
	}
	return c.Next()
}

func listen(app *fiber.App, address string) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &server{app: app, openConnections: map[net.Conn]struct{}{}, stopped: make(chan struct{})}
	s.listener = &trackingListener{Listener: l, server: s}
	go s.serve()
	return s, nil
}

func (s *server) serve() {
	defer close(s.stopped)
	_ = s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true})
}

func (s *server) address() string {
	return s.listener.Addr().String()
}

// closeConnections closes all open connections but the given one, which may be nil.
func (s *server) closeConnections(except net.Conn) {
	for _, c := range s.connections() {
		if c != except {
			_ = c.Close()
		}
	}
}

func (s *server) connections() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Keys(s.openConnections)
}

func (s *server) stop(ctx context.Context) error {
	return errors.Wrap(s.app.ShutdownWithContext(ctx), "stop the HTTP server")
}

func (s *server) close() {
	_ = s.listener.Close()
	s.closeConnections(nil)
}

// trackingListener adds each accepted connection to the server's open ones.
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
	l.server.openConnections[tracked] = struct{}{}
	l.server.mu.Unlock()
	return tracked, nil
}

// trackedConn removes itself from the server's open connections when it is closed.
type trackedConn struct {
	net.Conn
	server *server
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.openConnections, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// faultMiddleware applies the faults Crash, Silent, SaysLeaving, Limit and Refuse to all calls except
// those to the stand-in's control interface.
func faultMiddleware(f *faults, closing <-chan struct{}) fiber.Handler {
	return func(c fiber.Ctx) error {
		if strings.HasPrefix(c.Path(), "/stand-in/") {
			return c.Next()
		}
		if !f.waitWhileSilent(nil, closing) {
			return c.RequestCtx().Conn().Close()
		}
		if f.saysLeaving() {
			c.Set("X-Leaving", "true")
		}
		if limit := f.namedLimit(); limit > 0 {
			c.Set("X-Rate-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		}
		if pause := f.refuse(); pause > 0 {
			c.Set("X-Not-Run", "true")
			c.Set(fiber.HeaderRetryAfter, strconv.FormatFloat(pause, 'f', -1, 64))
			return sendError(c, fiber.StatusServiceUnavailable, "not run, pause")
		}
		return c.Next()
	}
}
