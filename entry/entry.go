package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/attainment"
	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/recovery"
)

// Entry is one entry process. Its methods may be called concurrently.
type Entry struct {
	options             Options
	listener            net.Listener
	advertised          string // host:port announced to other processes
	incarnation         uint64
	app                 *fiber.App
	client              *engine.Client
	closeClient         func() // closes the idle connections of client
	dispatcher          *dispatcher
	leases              *leaseKeeper
	challenger          *backend.Challenger
	collector           *attainment.Collector
	closeCollector      func() // stops collector after it has counted all queued samples
	budget              *budget
	quarantine          *quarantine.Quarantine
	endChecks           *quarantine.EndChecks
	quarantinePositions peerPositions
	limitPositions      peerPositions
	metrics             *metrics
	refusalLog          *event.Limiter // for servers that are left out as invalid
	stopping            atomic.Bool    // a stop has begun, so /readyz fails
	refusingNewWork     atomic.Bool    // new requests are refused
	stopped             chan struct{}
	searchSemaphore     chan struct{} // semaphore that limits the concurrent stream searches
	releaseOnce         sync.Once
	ctx                 context.Context
	cancel              context.CancelFunc
	tasks               taskGroup
	// loggedQuarantine is used only by the goroutine that calls refreshQuarantine.
	loggedQuarantine []quarantine.Key
}

// taskGroup starts goroutines and waits for them. Once Wait has been called it
// starts no more.
type taskGroup struct {
	mu     sync.Mutex
	closed bool
	tasks  sync.WaitGroup
}

// Go runs a task in a goroutine. It does nothing after Wait has been called.
func (g *taskGroup) Go(task func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.tasks.Go(task)
	}
}

// Wait blocks until every task has ended.
func (g *taskGroup) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.tasks.Wait()
}

// New starts an entry. The returned function stops it immediately and frees its
// resources; requests that are still running end with an error.
func New(options Options) (*Entry, func(), error) {
	options = options.withDefaults()
	if err := options.validate(); err != nil {
		return nil, nil, err
	}
	l, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", options.Listen)
	}
	e, err := assemble(options, l)
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	e.start()
	options.Logger.Log(event.ProcessStarted, zap.String("address", e.Address()))
	return e, e.release, nil
}

// assemble builds an entry without starting its goroutines.
func assemble(options Options, l net.Listener) (*Entry, error) {
	incarnation := uint64(options.Clock.Wall())
	client, closeClient := engine.New(engine.Options{Clock: options.Clock, ReadTimeout: options.Timeouts.ReadTimeout})
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		options:         options,
		listener:        l,
		advertised:      options.Advertise,
		incarnation:     incarnation,
		client:          client,
		closeClient:     closeClient,
		challenger:      backend.NewChallenger(options.Name, incarnation),
		budget:          newBudget(options.RetryPercentage, incarnation),
		quarantine:      quarantine.New(quarantine.Options{Entry: options.Name}),
		refusalLog:      event.NewLimiter(options.Logger, refusalLogInterval),
		stopped:         make(chan struct{}),
		searchSemaphore: make(chan struct{}, maxParallelSearches),
		ctx:             ctx,
		cancel:          cancel,
	}
	if e.advertised == "" {
		e.advertised = l.Addr().String()
	}
	e.endChecks = quarantine.NewEndChecks(options.Clock, e.logServerEnd)
	e.leases = newLeaseKeeper(options, incarnation, e.advertised)
	e.dispatcher = newDispatcher(options, e.leases, incarnation)
	if e.dispatcher.slots != nil {
		e.dispatcher.slots.sendMessage = e.sendSlotMessage
	}
	e.leases.demand = func() []lease.Demand { return *e.dispatcher.demand.Load() }
	e.metrics = newMetrics(e)
	e.app = e.routes()
	var err error
	e.collector, e.closeCollector, err = attainment.New(attainment.Options{Registerer: e.metrics.registry})
	return e, err
}

// start starts the entry's goroutines.
func (e *Entry) start() {
	timeouts := e.options.Timeouts
	e.tasks.Go(func() { e.dispatcher.run(e.ctx) })
	e.tasks.Go(func() { e.leases.run(e.ctx) })
	e.tasks.Go(func() { e.options.Clock.Every(e.ctx, timeouts.DigestInterval, func() { e.pullDigests(e.ctx) }) })
	e.tasks.Go(func() { e.options.Clock.Every(e.ctx, tickInterval, e.startPlannedStop) })
	e.tasks.Go(func() { e.options.Clock.Every(e.ctx, quarantineInterval, e.refreshQuarantine) })
	e.tasks.Go(func() {
		l := &callerListener{Listener: e.listener, writeTimeout: timeouts.CallerWrite, wallClock: e.options.Clock}
		_ = e.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	})
}

// routes returns the HTTP server with all handlers.
func (e *Entry) routes() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:      e.options.Limits.BodyBytes,
		ReadBufferSize: e.options.Limits.HeaderBytes,
		Concurrency:    e.options.Limits.Connections,
		ReadTimeout:    e.options.Timeouts.CallerRead.Duration(),
		ErrorHandler:   e.handleError,
	})
	app.Use(recovery.Middleware(e.options.Logger))
	app.Post(chatPath, e.chatCompletions)
	app.Get("/v1/models", e.models)
	app.Get("/v1/streams/:id", e.resumeStream)
	app.Get("/v1/calls/:key", e.lookupCall)
	app.All(servicesPrefix+"*", e.serviceCall)
	app.Post("/v1/announcements", e.requireToken(e.options.Tokens.Server), e.handleAnnouncement)
	app.Post(digestPath, e.requireToken(e.options.Tokens.Peer), e.digest)
	app.Post(slotsPath, e.requireToken(e.options.Tokens.Peer), e.handleSlotMessage)
	app.Post(releasePath+":id", e.requireToken(e.options.Tokens.Peer), e.handleRelease)
	app.Get("/debug/state", e.requireToken(e.options.Tokens.Operator), e.debugState)
	app.Get("/metrics", adaptor.HTTPHandler(e.metrics.handler()))
	app.Get("/healthz", e.healthz)
	app.Get("/readyz", e.readyz)
	return app
}

// handleError answers requests for which the HTTP server or a handler returned an
// error.
func (e *Entry) handleError(c fiber.Ctx, err error) error {
	p := problemForHTTPError(err)
	if caller, ok := c.RequestCtx().Conn().(*callerConn); ok && p.reason == outcome.ReasonTooLarge {
		caller.lingerOnClose.Store(true)
	}
	return e.reject(c, p)
}

// Address returns the bound address.
func (e *Entry) Address() string {
	return e.listener.Addr().String()
}

// Stopped returns a channel that is closed once the entry has stopped.
func (e *Entry) Stopped() <-chan struct{} {
	return e.stopped
}

// startPlannedStop stops this entry if the configuration holds a planned stop for it.
func (e *Entry) startPlannedStop() {
	s, ok := e.leases.configuration().StopFor(configuration.StopEntry, e.options.Name)
	if !ok || e.stopping.Load() {
		return
	}
	go func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if s.Grace() > 0 {
			ctx, cancel = context.WithTimeout(ctx, s.Grace().Duration())
			defer cancel()
		}
		_ = e.Stop(ctx)
	}()
}

// Stop makes /readyz fail, waits for Timeouts.StopWait so that the load balancer stops
// sending requests, lets every request finish and stops the entry. When ctx ends first, the remaining requests
// are aborted, so the wait is at most half of the time that ctx leaves: what is accepted after it could
// not finish.
func (e *Entry) Stop(ctx context.Context) error {
	if !e.stopping.CompareAndSwap(false, true) {
		<-e.stopped
		return nil
	}
	e.options.Logger.Log(event.ProcessStopping)
	e.leases.leaving.Store(true)
	wait := e.options.Timeouts.StopWait
	if left, ok := e.options.Clock.TimeLeft(ctx); ok {
		wait = min(wait, left/2)
	}
	e.options.Clock.Sleep(ctx, wait)
	e.refusingNewWork.Store(true)
	err := e.app.ShutdownWithContext(ctx)
	e.awaitOpenClaims(ctx)
	e.release()
	e.options.Logger.Log(event.ProcessStopped)
	return errors.Wrap(err, "stop the HTTP server")
}

// awaitOpenClaims waits until the outcome of every once-only call is recorded
// in the control group, or ctx ends.
func (e *Entry) awaitOpenClaims(ctx context.Context) {
	for e.leases.openClaims.Load() > 0 && e.options.Clock.Sleep(ctx, tickInterval) {
	}
}

// release stops the entry immediately and waits for its goroutines. Only the first
// call has an effect.
func (e *Entry) release() {
	e.releaseOnce.Do(func() {
		e.stopping.Store(true)
		e.refusingNewWork.Store(true)
		e.cancel()
		_ = e.listener.Close()
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = e.app.ShutdownWithContext(ended)
		e.tasks.Wait()
		e.closeClient()
		e.closeCollector()
		close(e.stopped)
	})
}
