package standin

import (
	"context"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

// Engine is a stand-in for a model engine.
type Engine struct {
	options   EngineOptions
	server    *server
	batch     *batch
	fault     *faults
	announcer *announcer
	orders    *orders
	reports   *reports
	closing   chan struct{}
	once      sync.Once
	cancel    context.CancelFunc
	loops     sync.WaitGroup
}

// NewEngine starts an engine. The returned function releases everything at once.
func NewEngine(options EngineOptions) (*Engine, func(), error) {
	options = options.withDefaults()
	e := &Engine{
		options: options,
		batch:   newBatch(options),
		fault:   newFaults(),
		orders:  newOrders(options),
		reports: newReports(options.ReportAge),
		closing: make(chan struct{}),
	}
	s, err := listen(e.routes(), options.Listen)
	if err != nil {
		return nil, nil, err
	}
	e.server = s
	e.announcer = newAnnouncer(options.Announce, options.Clock, e.fault.mute, e.describe)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.loops.Go(func() { e.generate(ctx) })
	e.loops.Go(func() { e.announcer.run(ctx) })
	e.loops.Go(func() { options.Clock.Every(ctx, reportInterval, e.observe) })
	return e, e.release, nil
}

// Address returns the bound address.
func (e *Engine) Address() string {
	return e.server.address()
}

// Stop announces the departure, waits for running sequences and ends.
func (e *Engine) Stop(ctx context.Context) error {
	e.announcer.leave()
	err := e.server.stop(ctx)
	e.release()
	return err
}

func (e *Engine) release() {
	e.once.Do(func() {
		close(e.closing)
		e.cancel()
		e.server.close()
		e.loops.Wait()
	})
}

// Fault switches a fault on or off.
func (e *Engine) Fault(f Fault) {
	e.options.Logger.Log(event.StandinFaultSwitched, zap.String("server", e.options.Name), zap.String("kind", string(f.Kind)))
	e.fault.set(f.Kind)
	switch f.Kind {
	case Slow:
		e.setFactor(max(f.Factor, 1))
	case Crash:
		e.server.cut(nil)
		e.batch.reset()
	case LateReports:
		e.reports.setFactor(max(f.Factor, 1))
	case Recover:
		e.setFactor(1)
		e.reports.setFactor(1)
	}
}

func (e *Engine) setFactor(factor float64) {
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	e.batch.factor = factor
}

// generate runs steps. A silent engine keeps generating.
func (e *Engine) generate(ctx context.Context) {
	due := 0.0
	for ctx.Err() == nil {
		step := e.batch.plan(e.options.Clock.Now())
		if step == 0 {
			e.idle(ctx)
			due = float64(e.options.Clock.Now())
			continue
		}
		due += step
		if wait := clock.Millis(due) - e.options.Clock.Now(); wait > 0 {
			e.options.Clock.Sleep(ctx, wait)
		}
		e.batch.advance(e.options.Clock.Now())
	}
}

func (e *Engine) idle(ctx context.Context) {
	due, release := e.options.Clock.After(commentInterval)
	defer release()
	select {
	case <-e.batch.wake:
	case <-due:
	case <-ctx.Done():
	}
}

func (e *Engine) serves(model string) bool {
	return slices.Contains(e.orders.list(), model)
}

// describe returns the current announcement.
func (e *Engine) describe() announcementWire {
	e.batch.mu.Lock()
	events := e.batch.cache.drain(maxCacheEvents)
	e.batch.mu.Unlock()
	a := e.options.Announce
	address := a.Address
	if address == "" {
		address = e.Address()
	}
	return announcementWire{
		Server:           e.options.Name,
		Incarnation:      a.Incarnation,
		State:            "serving",
		Kind:             "engine",
		Address:          address,
		AvailabilityZone: a.AvailabilityZone,
		Models:           e.orders.list(),
		Services:         []string{},
		Slots:            e.options.Slots,
		ChecksFencing:    !e.options.IgnoreFencing,
		Load:             e.reports.lagged(e.options.Clock.Now()),
		CacheEvents:      events,
	}
}
