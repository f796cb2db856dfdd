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
)

// Entry is the process on the data path.
type Entry struct {
	options        Options
	listener       net.Listener
	advertised     string
	incarnation    uint64
	app            *fiber.App
	client         *engine.Client
	closeClient    func()
	dispatcher     *dispatcher
	leases         *leaseKeeper
	challenger     *backend.Challenger
	collector      *attainment.Collector
	closeCollector func()
	budget         *budget
	metrics        *metrics
	stopping       atomic.Bool // readiness fails
	refusing       atomic.Bool // new work is refused
	stopped        chan struct{}
	searches       chan struct{} // running searches
	once           sync.Once
	ctx            context.Context
	cancel         context.CancelFunc
	tasks          taskGroup
}

// taskGroup runs goroutines and waits for them. It takes no new ones once
// someone waits.
type taskGroup struct {
	mu     sync.Mutex
	closed bool
	tasks  sync.WaitGroup
}

// Go runs a task, unless someone waits already.
func (g *taskGroup) Go(task func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.tasks.Go(task)
	}
}

// Wait returns once every task has ended.
func (g *taskGroup) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.tasks.Wait()
}

// New starts an entry. The returned function releases everything at once; work
// that is running then ends with an error.
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

func assemble(options Options, l net.Listener) (*Entry, error) {
	incarnation := uint64(options.Clock.Wall())
	client, closeClient := engine.New(engine.Options{Clock: options.Clock, Silence: options.Timeouts.Silence})
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		options:     options,
		listener:    l,
		advertised:  options.Advertise,
		incarnation: incarnation,
		client:      client,
		closeClient: closeClient,
		challenger:  backend.NewChallenger(options.Name, incarnation),
		budget:      newBudget(options.RetryPercentage, incarnation),
		stopped:     make(chan struct{}),
		searches:    make(chan struct{}, maxSearches),
		ctx:         ctx,
		cancel:      cancel,
	}
	if e.advertised == "" {
		e.advertised = l.Addr().String()
	}
	e.leases = newLeaseKeeper(options, incarnation, e.advertised)
	e.dispatcher = newDispatcher(options, e.leases, incarnation)
	if e.dispatcher.slots != nil {
		e.dispatcher.slots.post = e.postSlots
	}
	e.leases.demand = func() []lease.Demand { return *e.dispatcher.demand.Load() }
	e.metrics = newMetrics(e)
	e.app = e.routes()
	var err error
	e.collector, e.closeCollector, err = attainment.New(attainment.Options{Registerer: e.metrics.registry})
	return e, err
}

func (e *Entry) start() {
	timeouts := e.options.Timeouts
	e.tasks.Go(func() { e.dispatcher.run(e.ctx) })
	e.tasks.Go(func() { e.leases.run(e.ctx) })
	e.tasks.Go(func() { e.options.Clock.Every(e.ctx, timeouts.DigestInterval, func() { e.pullAll(e.ctx) }) })
	e.tasks.Go(func() { e.options.Clock.Every(e.ctx, tickInterval, e.watchStop) })
	e.tasks.Go(func() {
		l := &callerListener{Listener: e.listener, idle: timeouts.CallerIdle, now: e.options.Clock}
		_ = e.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	})
}

func (e *Entry) routes() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:      e.options.Limits.BodyBytes,
		ReadBufferSize: e.options.Limits.HeaderBytes,
		Concurrency:    e.options.Limits.Connections,
		ReadTimeout:    e.options.Timeouts.CallerRead.Duration(),
		ErrorHandler:   e.handleError,
	})
	app.Post("/v1/chat/completions", e.chatCompletions)
	app.Get("/v1/models", e.models)
	app.Get("/v1/streams/:id", e.resumeStream)
	app.Get("/v1/calls/:key", e.lookupCall)
	app.All(servicesPrefix+"*", e.serviceCall)
	app.Post("/v1/announcements", e.guard(e.options.Tokens.Server), e.announcements)
	app.Post(digestPath, e.guard(e.options.Tokens.Peer), e.digest)
	app.Post(slotsPath, e.guard(e.options.Tokens.Peer), e.slotMessage)
	app.Post(releasePath+":id", e.guard(e.options.Tokens.Peer), e.released)
	app.Get("/debug/state", e.guard(e.options.Tokens.Operator), e.debugState)
	app.Get("/metrics", adaptor.HTTPHandler(e.metrics.handler()))
	app.Get("/healthz", e.healthz)
	app.Get("/readyz", e.readyz)
	return app
}

// handleError answers requests that the HTTP server or a handler could not take.
func (e *Entry) handleError(c fiber.Ctx, err error) error {
	p := describeHTTP(err)
	if caller, ok := c.RequestCtx().Conn().(*callerConn); ok && p.reason == outcome.ReasonTooLarge {
		caller.linger.Store(true)
	}
	return e.reject(c, p)
}

// Address returns the bound address.
func (e *Entry) Address() string {
	return e.listener.Addr().String()
}

// Stopped is closed once a planned stop has finished every request.
func (e *Entry) Stopped() <-chan struct{} {
	return e.stopped
}

// watchStop begins the planned stop that an operator has announced.
func (e *Entry) watchStop() {
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

// Stop fails readiness, waits for the load balancer, finishes every request and
// ends. When ctx ends first, the rest is cut off.
func (e *Entry) Stop(ctx context.Context) error {
	if !e.stopping.CompareAndSwap(false, true) {
		<-e.stopped
		return nil
	}
	e.options.Logger.Log(event.ProcessStopping)
	e.leases.leaving.Store(true)
	e.options.Clock.Sleep(ctx, e.options.Timeouts.StopWait)
	e.refusing.Store(true)
	err := e.app.ShutdownWithContext(ctx)
	e.awaitRecords(ctx)
	e.release()
	e.options.Logger.Log(event.ProcessStopped)
	return errors.Wrap(err, "stop the HTTP server")
}

// awaitRecords waits until the outcome of each at-most-once call is recorded.
func (e *Entry) awaitRecords(ctx context.Context) {
	for e.leases.claims.Load() > 0 && e.options.Clock.Sleep(ctx, tickInterval) {
	}
}

func (e *Entry) release() {
	e.once.Do(func() {
		e.stopping.Store(true)
		e.refusing.Store(true)
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
