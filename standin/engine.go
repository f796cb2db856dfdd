package standin

import (
	"context"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	*instance
	options EngineOptions
	batch   *batch
	orders  *orders
	reports *reports
}

// NewEngine starts an engine. The returned function stops it immediately and releases
// its resources.
func NewEngine(options EngineOptions) (*Engine, func(), error) {
	options = options.withDefaults()
	e := &Engine{
		instance: newInstance(options.Name, options.Announce, options.Clock, options.Logger),
		options:  options,
		batch:    newBatch(options),
		orders:   newOrders(options),
		reports:  newReports(options.ReportAge),
	}
	if err := e.start(e.routes(), options.Listen, e.describe, e.generate, e.recordLoads); err != nil {
		return nil, nil, err
	}
	return e, e.release, nil
}

// Fault starts a fault. The kind Recover ends all faults.
func (e *Engine) Fault(f Fault) {
	e.startFault(f)
	switch f.Kind {
	case Slow:
		e.setFaultFactor(max(f.Factor, 1))
	case Crash:
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
	a := e.instance.describe()
	a.Kind = "engine"
	a.Models = e.orders.servedModels()
	a.Services = []string{}
	a.Slots = e.options.Slots
	a.ChecksFencing = !e.options.IgnoreFencing
	a.Load = e.reports.delayedLoad(e.options.Clock.Now())
	a.CacheEvents = events
	return a
}
