package load

import (
	"context"
	"sync"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// DefaultMaxInFlight bounds the requests that are open at once, so that a router
	// that does not answer cannot exhaust the machine. Requests beyond are counted
	// as not sent.
	DefaultMaxInFlight = 8192
	// resultCapacity is the capacity of the channel of results. A caller whose
	// result finds it full waits; its request has ended already.
	resultCapacity = 1024
	// drain is how long callers may finish after the last arrival.
	drain = 2 * clock.Minute
)

// Options configure a run.
type Options struct {
	Scenario Scenario
	Clock    clock.Clock
	// ExpectedAnswer returns the text or body that a request must get, or false when it
	// is not known. Nil checks no bytes.
	ExpectedAnswer func(request Request) (string, bool)
	// MaxInFlight is DefaultMaxInFlight when it is zero.
	MaxInFlight int
}

// runner is the state of a run that its goroutines share.
type runner struct {
	options     Options
	scenario    Scenario
	run         string // distinguishes request ids of runs
	started     clock.Millis
	connections *connections
	slots       chan struct{}
	results     chan result
}

// Run sends the requests of a scenario and reports what their callers saw. It
// returns an error when ctx ends early or a stand-in does not tell its state
// before the start.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.MaxInFlight == 0 {
		options.MaxInFlight = DefaultMaxInFlight
	}
	r := &runner{
		options:     options,
		scenario:    options.Scenario,
		run:         uuid.NewString()[:8],
		connections: &connections{clock: options.Clock, open: map[*connection]struct{}{}},
		slots:       make(chan struct{}, options.MaxInFlight),
		results:     make(chan result, resultCapacity),
	}
	return r.perform(ctx)
}

func (r *runner) perform(ctx context.Context) (Report, error) {
	before, err := r.readStates(ctx)
	if err != nil {
		return Report{}, err
	}
	account := newAccount(r.scenario, r.options.ExpectedAnswer)
	accounted := make(chan struct{})
	go func() {
		defer close(accounted)
		for result := range r.results {
			account.record(result)
		}
	}()
	requests := Plan(r.scenario)
	r.started = r.options.Clock.Now()
	faults := r.startFaults(ctx)
	notSent := r.send(ctx, requests)
	<-accounted
	applied := <-faults
	if ctx.Err() != nil {
		return Report{}, errors.Wrap(ctx.Err(), "running the scenario")
	}
	after, err := r.readStates(ctx)
	account.checkStates(before, after, err)
	return account.report(r.run, notSent, applied, r.options.Clock.Now()-r.started), nil
}

// send starts each request at its time, waits until all have ended, and returns
// how many were not sent because too many were open.
func (r *runner) send(ctx context.Context, requests []Request) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := sync.WaitGroup{}
	notSent := 0
	for _, request := range requests {
		if !r.sleepUntil(ctx, request.At) {
			break
		}
		select {
		case r.slots <- struct{}{}:
			callers.Go(func() { r.call(ctx, request) })
		default:
			notSent++
		}
	}
	r.wait(ctx, &callers, cancel)
	close(r.results)
	return notSent
}

func (r *runner) call(ctx context.Context, request Request) {
	r.results <- newCaller(r, request).perform(ctx)
	<-r.slots
}

// wait gives callers time to finish and then cancels them.
func (r *runner) wait(ctx context.Context, callers *sync.WaitGroup, cancel func()) {
	ended := make(chan struct{})
	go func() {
		callers.Wait()
		close(ended)
	}()
	expired, release := r.options.Clock.After(drain)
	defer release()
	select {
	case <-ended:
		return
	case <-expired:
	case <-ctx.Done():
	}
	cancel()
	<-ended
}

// sleepUntil waits for a time after the start, and reports whether ctx lasts.
func (r *runner) sleepUntil(ctx context.Context, at clock.Millis) bool {
	delay := r.started + at - r.options.Clock.Now()
	if delay <= 0 {
		return ctx.Err() == nil
	}
	return r.options.Clock.Sleep(ctx, delay)
}
