package load

import (
	"context"
	"sync"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// DefaultMaxInFlight bounds the number of requests that are in flight at the same
	// time, so that a router that does not answer cannot exhaust the machine. Requests
	// above the bound are counted as not sent.
	DefaultMaxInFlight = 8192
	// resultCapacity is the capacity of the results channel. A caller that finds the
	// channel full waits; its request has already ended then.
	resultCapacity = 1024
	// drainTimeout bounds the time that callers have to finish after the last arrival.
	drainTimeout = 2 * clock.Minute
)

// Options configure a run.
type Options struct {
	Scenario Scenario
	Clock    clock.Clock
	// ExpectedAnswer returns the expected text or body of the answer to a request, or false
	// when it is not known. Nil disables the comparison.
	ExpectedAnswer func(request Request) (string, bool)
	// MaxInFlight bounds the requests in flight. Zero selects DefaultMaxInFlight.
	MaxInFlight int
}

// runner is the state of a run that its goroutines share.
type runner struct {
	options       Options
	scenario      Scenario
	runID         string // prefix of the request ids, unique for each run
	startedAt     clock.Millis
	connections   *connections
	inFlightSlots chan struct{}
	results       chan result
}

// Run sends the requests of a scenario and reports what their callers observed. It
// returns an error when ctx ends early or when a stand-in's state cannot be read before
// the start.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.MaxInFlight == 0 {
		options.MaxInFlight = DefaultMaxInFlight
	}
	r := &runner{
		options:       options,
		scenario:      options.Scenario,
		runID:         uuid.NewString()[:8],
		connections:   &connections{clock: options.Clock, open: map[*connection]struct{}{}},
		inFlightSlots: make(chan struct{}, options.MaxInFlight),
		results:       make(chan result, resultCapacity),
	}
	return r.perform(ctx)
}

func (r *runner) perform(ctx context.Context) (Report, error) {
	before, err := r.readStates(ctx)
	if err != nil {
		return Report{}, err
	}
	aggregator := newAggregator(r.scenario, r.options.ExpectedAnswer)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		for result := range r.results {
			aggregator.record(result)
		}
	}()
	requests := Plan(r.scenario)
	r.startedAt = r.options.Clock.Now()
	faults := r.startFaults(ctx)
	notSent := r.sendAll(ctx, requests)
	<-recorded
	appliedFaults := <-faults
	if ctx.Err() != nil {
		return Report{}, errors.Wrap(ctx.Err(), "running the scenario")
	}
	after, err := r.readStates(ctx)
	aggregator.checkStandInStates(before, after, err)
	return aggregator.report(r.runID, notSent, appliedFaults, r.options.Clock.Now()-r.startedAt), nil
}

// sendAll starts each request at its arrival time and waits until all have ended. It
// returns the number of requests that were not sent because too many were in flight.
func (r *runner) sendAll(ctx context.Context, requests []Request) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := sync.WaitGroup{}
	notSent := 0
	for _, request := range requests {
		if !r.sleepUntil(ctx, request.At) {
			break
		}
		select {
		case r.inFlightSlots <- struct{}{}:
			callers.Go(func() { r.runCaller(ctx, request) })
		default:
			notSent++
		}
	}
	r.waitForCallers(ctx, &callers, cancel)
	close(r.results)
	return notSent
}

// runCaller performs one request and frees its in-flight slot.
func (r *runner) runCaller(ctx context.Context, request Request) {
	r.results <- newCaller(r, request).perform(ctx)
	<-r.inFlightSlots
}

// waitForCallers waits until all callers have finished, and cancels them after
// drainTimeout.
func (r *runner) waitForCallers(ctx context.Context, callers *sync.WaitGroup, cancel func()) {
	ended := make(chan struct{})
	go func() {
		callers.Wait()
		close(ended)
	}()
	timeout, stopTimer := r.options.Clock.After(drainTimeout)
	defer stopTimer()
	select {
	case <-ended:
		return
	case <-timeout:
	case <-ctx.Done():
	}
	cancel()
	<-ended
}

// sleepUntil waits until the given time after the start of the run. It returns false
// when ctx ended.
func (r *runner) sleepUntil(ctx context.Context, at clock.Millis) bool {
	delay := r.startedAt + at - r.options.Clock.Now()
	if delay <= 0 {
		return ctx.Err() == nil
	}
	return r.options.Clock.Sleep(ctx, delay)
}
