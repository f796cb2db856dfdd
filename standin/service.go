package standin

import (
	"context"
	"maps"
	"sync"

	"github.com/gofiber/fiber/v3"
)

// Kinds of faults that only services have. Each affects only the next call.
const (
	// CloseBefore closes the connection without running the call.
	CloseBefore FaultKind = "close_before"
	// CloseAfter runs the call and closes the connection without answering.
	CloseAfter FaultKind = "close_after"
	// NotRun answers that the call was not run.
	NotRun FaultKind = "not_run"
)

// Service is a stand-in for a plain service such as a ledger or a work order desk. It
// counts how often a call ran for each idempotency key. It is safe for concurrent use.
type Service struct {
	*instance
	options   ServiceOptions
	mu        sync.Mutex
	runsByKey map[string]int // number of calls that ran, by idempotency key
	lookups   int
	running   int       // calls that are running now
	nextFault FaultKind // fault of the next call; empty for none
}

// NewService starts a service. The returned function stops it immediately and releases
// its resources.
func NewService(options ServiceOptions) (*Service, func(), error) {
	options = options.withDefaults()
	s := &Service{
		instance:  newInstance(options.Name, options.Announce, options.Clock, options.Logger),
		options:   options,
		runsByKey: map[string]int{},
	}
	if err := s.start(s.routes(), options.Listen, s.describe); err != nil {
		return nil, nil, err
	}
	return s, s.release, nil
}

// Fault starts a fault. The kind Recover ends all faults.
func (s *Service) Fault(f Fault) {
	s.startFault(f)
	switch f.Kind {
	case CloseBefore, CloseAfter, NotRun:
		s.setNextFault(f.Kind)
	case Recover:
		s.setNextFault("")
	}
}

func (s *Service) routes() *fiber.App {
	app := newApp()
	app.Use(faultMiddleware(s.activeFaults, s.closing))
	app.Post("/stand-in/fault", faultHandler(s.Fault))
	app.Get("/stand-in/state", s.sendState)
	app.All("/*", s.handleCall)
	return app
}

func (s *Service) setNextFault(kind FaultKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextFault = kind
}

// consumeFault returns the fault for the current call and clears it.
func (s *Service) consumeFault() FaultKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := s.nextFault
	s.nextFault = ""
	return kind
}

func (s *Service) handleCall(c fiber.Ctx) error {
	fault := s.consumeFault()
	switch fault {
	case CloseBefore:
		return c.RequestCtx().Conn().Close()
	case NotRun:
		c.Set("X-Not-Run", "true")
		return sendError(c, fiber.StatusServiceUnavailable, "not run")
	}
	s.simulateLatency()
	if c.Method() == fiber.MethodGet || c.Method() == fiber.MethodHead {
		return s.handleLookup(c)
	}
	count := s.countRun(c.Get("Idempotency-Key"))
	if fault == CloseAfter {
		return c.RequestCtx().Conn().Close()
	}
	c.Set("X-Served-By", s.options.Name)
	return c.Status(fiber.StatusCreated).JSON(fiber.Map{
		"path": c.OriginalURL(), "key": c.Get("Idempotency-Key"), "count": count, "body": string(c.Body()),
	})
}

// simulateLatency waits for the configured duration of a call.
func (s *Service) simulateLatency() {
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

// countRun counts a call and returns how often it ran for this key.
func (s *Service) countRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsByKey[key]++
	return s.runsByKey[key]
}

func (s *Service) handleLookup(c fiber.Ctx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lookups++
	key := c.Query("key")
	return c.JSON(fiber.Map{"path": c.OriginalURL(), "count": s.runsByKey[key]})
}

// ServiceState is the response body of GET /stand-in/state of a service.
type ServiceState struct {
	Runs    map[string]int `json:"runs"`
	Lookups int            `json:"lookups"`
	Refused int            `json:"refused"` // calls refused by the fault Refuse
}

// State returns the counters, for tests and the load command.
func (s *Service) State() ServiceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceState{Runs: maps.Clone(s.runsByKey), Lookups: s.lookups, Refused: s.activeFaults.refusedCalls()}
}

func (s *Service) sendState(c fiber.Ctx) error {
	return c.JSON(s.State())
}

func (s *Service) describe() announcementWire {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	a := s.instance.describe()
	a.Kind = "service"
	a.Models = []string{}
	a.Services = s.options.Services
	a.Slots = s.options.Slots
	a.Load = loadWire{Running: running}
	a.CacheEvents = []cacheEvent{}
	return a
}
