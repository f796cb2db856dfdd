package standin

import (
	"context"
	"maps"
	"sync"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
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
	options      ServiceOptions
	server       *server
	activeFaults *faults
	announcer    *announcer
	closing      chan struct{} // closed when the service stops, to end waiting calls
	releaseOnce  sync.Once     // makes release run once
	cancel       context.CancelFunc
	background   sync.WaitGroup // background goroutines
	mu           sync.Mutex
	runsByKey    map[string]int // number of calls that ran, by idempotency key
	lookups      int
	running      int       // calls that are running now
	nextFault    FaultKind // fault of the next call; empty for none
}

// NewService starts a service. The returned function stops it immediately and releases
// its resources.
func NewService(options ServiceOptions) (*Service, func(), error) {
	options = options.withDefaults()
	s := &Service{
		options:      options,
		activeFaults: newFaults(),
		closing:      make(chan struct{}),
		runsByKey:    map[string]int{},
	}
	server, err := listen(s.routes(), options.Listen)
	if err != nil {
		return nil, nil, err
	}
	s.server = server
	s.announcer = newAnnouncer(options.Announce, options.Clock, s.activeFaults.suppressesAnnouncements, s.describe)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.background.Go(func() { s.announcer.run(ctx) })
	return s, s.release, nil
}

// Address returns the address that the service is bound to.
func (s *Service) Address() string {
	return s.server.address()
}

// Stop announces the departure and says so in all answers, waits for running calls and then stops the service.
func (s *Service) Stop(ctx context.Context) error {
	s.activeFaults.apply(Fault{Kind: SaysLeaving})
	s.announcer.announceDeparture()
	err := s.server.stop(ctx)
	s.release()
	return err
}

func (s *Service) release() {
	s.releaseOnce.Do(func() {
		close(s.closing)
		s.cancel()
		s.server.close()
		s.background.Wait()
	})
}

// Fault starts a fault. The kind Recover ends all faults.
func (s *Service) Fault(f Fault) {
	s.options.Logger.Log(event.StandinFaultSwitched, zap.String("server", s.options.Name), zap.String("kind", string(f.Kind)))
	s.activeFaults.apply(f)
	switch f.Kind {
	case CloseBefore, CloseAfter, NotRun:
		s.setNextFault(f.Kind)
	case Recover:
		s.setNextFault("")
	case Crash:
		s.server.closeConnections(nil)
	}
}

func (s *Service) routes() *fiber.App {
	app := newApp()
	app.Use(faultMiddleware(s.activeFaults, s.closing))
	app.Post("/stand-in/fault", s.setFault)
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

func (s *Service) setFault(c fiber.Ctx) error {
	var fault Fault
	if err := decode(c.Body(), &fault); err != nil {
		return sendError(c, fiber.StatusBadRequest, err.Error())
	}
	s.Fault(fault)
	return c.SendStatus(fiber.StatusNoContent)
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
