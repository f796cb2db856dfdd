package standin

import (
	"context"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	options      EngineOptions
	server       *server
	batch        *batch
	activeFaults *faults
	announcer    *announcer
	orders       *orders
	reports      *reports
	closing      chan struct{} // closed when the engine stops, to end waiting calls
	releaseOnce  sync.Once     // makes release run once
	cancel       context.CancelFunc
	background   sync.WaitGroup // background goroutines
}

// NewEngine starts an engine. The returned function stops it immediately and releases
// its resources.
func NewEngine(options EngineOptions) (*Engine, func(), error) {
	options = options.withDefaults()
	e := &Engine{
		options:      options,
		batch:        newBatch(options),
		activeFaults: newFaults(),
		orders:       newOrders(options),
		reports:      newReports(options.ReportAge),
		closing:      make(chan struct{}),
	}
	s, err := listen(e.routes(), options.Listen)
	if err != nil {
		return nil, nil, err
	}
	e.server = s
	e.announcer = newAnnouncer(options.Announce, options.Clock, e.activeFaults.suppressesAnnouncements, e.describe)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.background.Go(func() { e.generate(ctx) })
	e.background.Go(func() { e.announcer.run(ctx) })
	e.background.Go(func() { options.Clock.Every(ctx, reportInterval, e.recordLoad) })
	return e, e.release, nil
}

// Address returns the address that the engine is bound to.
func (e *Engine) Address() string {
	return e.server.address()
}

// Stop announces the departure, says so in all answers, waits for running sequences and then
// stops the engine.
func (e *Engine) Stop(ctx context.Context) error {
	e.activeFaults.apply(Fault{Kind: SaysLeaving})
	e.announcer.announceDeparture()
	err := e.server.stop(ctx)
	e.release()
	return err
}

func (e *Engine) release() {
	e.releaseOnce.Do(func() {
		close(e.closing)
		e.cancel()
		e.server.close()
		e.background.Wait()
	})
}

// Fault starts a fault. The kind Recover ends all faults.
func (e *Engine) Fault(f Fault) {
	e.options.Logger.Log(event.StandinFaultSwitched, zap.String("server", e.options.Name), zap.String("kind", string(f.Kind)))
	e.activeFaults.apply(f)
	switch f.Kind {
	case Slow:
		e.setFaultFactor(max(f.Factor, 1))
	case Crash:
		e.server.closeConnections(nil)
		e.batch.reset()
	case LateReports:
		e.reports.setFaultFactor(max(f.Factor, 1))
	case Recover:
		e.setFaultFactor(1)
		e.reports.setFaultFactor(1)
	}
}

// setFaultFactor sets the factor by which the Slow fault lengthens each step.
func (e *Engine) setFaultFactor(slowdown float64) {
	e.batch.mu.Lock()
	defer e.batch.mu.Unlock()
	e.batch.slowdown = slowdown
}

// generate performs the steps of the batch until ctx ends. A silent engine keeps
// generating.
func (e *Engine) generate(ctx context.Context) {
	stepEndsAt := 0.0
	for ctx.Err() == nil {
		step := e.batch.planStep(e.options.Clock.Now())
		if step == 0 {
			e.waitForWork(ctx)
			stepEndsAt = float64(e.options.Clock.Now())
			continue
		}
		stepEndsAt += step
		if wait := clock.Millis(stepEndsAt) - e.options.Clock.Now(); wait > 0 {
			e.options.Clock.Sleep(ctx, wait)
		}
		e.batch.advance(e.options.Clock.Now())
	}
}

// waitForWork waits until a sequence is queued, or for commentInterval.
func (e *Engine) waitForWork(ctx context.Context) {
	timeout, stopTimer := e.options.Clock.After(commentInterval)
	defer stopTimer()
	select {
	case <-e.batch.wake:
	case <-timeout:
	case <-ctx.Done():
	}
}

func (e *Engine) servesModel(model string) bool {
	return slices.Contains(e.orders.servedModels(), model)
}

// describe returns the engine's current announcement.
func (e *Engine) describe() announcementWire {
	e.batch.mu.Lock()
	events := e.batch.cache.takeEvents(maxCacheEvents)
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
		Models:           e.orders.servedModels(),
		Services:         []string{},
		Slots:            e.options.Slots,
		ChecksFencing:    !e.options.IgnoreFencing,
		Load:             e.reports.delayedLoad(e.options.Clock.Now()),
		CacheEvents:      events,
	}
}
