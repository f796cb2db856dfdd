package standin

import (
	"context"
	"maps"
	"sync"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
)

// The kinds of fault that only a service has. Each concerns the next call.
const (
	// CloseBefore closes the connection without running the call.
	CloseBefore FaultKind = "close_before"
	// CloseAfter runs the call and closes the connection without an answer.
	CloseAfter FaultKind = "close_after"
	// NotRun answers that the call was not run.
	NotRun FaultKind = "not_run"
)

// Service is a stand-in for plain services such as a ledger or a work order
// desk. It counts how often each idempotency key ran.
type Service struct {
	options   ServiceOptions
	server    *server
	fault     *faults
	announcer *announcer
	closing   chan struct{}
	once      sync.Once
	cancel    context.CancelFunc
	loops     sync.WaitGroup
	mu        sync.Mutex
	runs      map[string]int
	lookups   int
	running   int
	next      FaultKind
}

// NewService starts a service. The returned function releases everything at
// once.
func NewService(options ServiceOptions) (*Service, func(), error) {
	options = options.withDefaults()
	s := &Service{
		options: options,
		fault:   newFaults(),
		closing: make(chan struct{}),
		runs:    map[string]int{},
	}
	server, err := listen(s.routes(), options.Listen)
	if err != nil {
		return nil, nil, err
	}
	s.server = server
	s.announcer = newAnnouncer(options.Announce, options.Clock, s.fault.mute, s.describe)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.loops.Go(func() { s.announcer.run(ctx) })
	return s, s.release, nil
}

// Address returns the bound address.
func (s *Service) Address() string {
	return s.server.address()
}

// Stop announces the departure, waits for running calls and ends.
func (s *Service) Stop(ctx context.Context) error {
	s.announcer.leave()
	err := s.server.stop(ctx)
	s.release()
	return err
}

func (s *Service) release() {
	s.once.Do(func() {
		close(s.closing)
		s.cancel()
		s.server.close()
		s.loops.Wait()
	})
}

// Fault switches a fault on or off.
func (s *Service) Fault(f Fault) {
	s.options.Logger.Log(event.StandinFaultSwitched, zap.String("server", s.options.Name), zap.String("kind", string(f.Kind)))
	s.fault.set(f.Kind)
	switch f.Kind {
	case CloseBefore, CloseAfter, NotRun:
		s.setNext(f.Kind)
	case Recover:
		s.setNext("")
	case Crash:
		s.server.cut(nil)
	}
}

func (s *Service) routes() *fiber.App {
	app := newApp()
	app.Use(gate(s.fault, s.closing))
	app.Post("/stand-in/fault", s.setFault)
	app.Get("/stand-in/state", s.state)
	app.All("/*", s.call)
	return app
}

func (s *Service) setNext(kind FaultKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = kind
}

func (s *Service) takeFault() FaultKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := s.next
	s.next = ""
	return kind
}

func (s *Service) call(c fiber.Ctx) error {
	fault := s.takeFault()
	switch fault {
	case CloseBefore:
		return c.RequestCtx().Conn().Close()
	case NotRun:
		c.Set("X-Not-Run", "true")
		return refuse(c, fiber.StatusServiceUnavailable, "not run")
	}
	s.wait()
	if c.Method() == fiber.MethodGet || c.Method() == fiber.MethodHead {
		return s.lookup(c)
	}
	count := s.run(c.Get("Idempotency-Key"))
	if fault == CloseAfter {
		return c.RequestCtx().Conn().Close()
	}
	c.Set("X-Served-By", s.options.Name)
	return c.Status(fiber.StatusCreated).JSON(fiber.Map{
		"path": c.OriginalURL(), "key": c.Get("Idempotency-Key"), "count": count, "body": string(c.Body()),
	})
}

func (s *Service) wait() {
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	if s.options.Latency > 0 {
		s.options.Clock.Sleep(context.Background(), s.options.Latency)
	}
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
}

func (s *Service) run(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

func (s *Service) lookup(c fiber.Ctx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookups++
	key := c.Query("key")
	return c.JSON(fiber.Map{"path": c.OriginalURL(), "count": s.runs[key]})
}

func (s *Service) setFault(c fiber.Ctx) error {
	var fault Fault
	if err := decode(c.Body(), &fault); err != nil {
		return refuse(c, fiber.StatusBadRequest, err.Error())
	}
	s.Fault(fault)
	return c.SendStatus(fiber.StatusNoContent)
}

// ServiceState is the answer of GET /stand-in/state of a service.
type ServiceState struct {
	Runs    map[string]int `json:"runs"`
	Lookups int            `json:"lookups"`
}

// State returns the counts that tests compare.
func (s *Service) State() ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceState{Runs: maps.Clone(s.runs), Lookups: s.lookups}
}

func (s *Service) state(c fiber.Ctx) error {
	return c.JSON(s.State())
}

func (s *Service) describe() announcementWire {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	a := s.options.Announce
	address := a.Address
	if address == "" {
		address = s.Address()
	}
	return announcementWire{
		Server:           s.options.Name,
		Incarnation:      a.Incarnation,
		State:            "serving",
		Kind:             "service",
		Address:          address,
		AvailabilityZone: a.AvailabilityZone,
		Models:           []string{},
		Services:         s.options.Services,
		Slots:            s.options.Slots,
		Load:             loadWire{Running: running},
		CacheEvents:      []cacheEvent{},
	}
}
