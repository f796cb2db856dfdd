package ratelimit_test

import (
	"sort"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/retry"
)

// retryLimits are the limits of the retries of all entries together in these tests.
var retryLimits = retry.Limits{Ratio: 0.2, Window: 10 * clock.Second, ExtraRetries: 40}

// retryPolicy lets each request fail and asks for its retry.
type retryPolicy struct {
	mayRetry func(e *simulatedEntry, now clock.Millis) bool
	requests []clock.Millis
}

func (p *retryPolicy) take(e *simulatedEntry, now clock.Millis) bool {
	p.requests = append(p.requests, now)
	return p.mayRetry(e, now)
}

// sharedBudget is the budget in use.
func sharedBudget(e *simulatedEntry, now clock.Millis) bool {
	e.budget.CountRequest(now, "s")
	return e.budget.Take(now, "s", 1)
}

// equalPartOf returns a naive budget: each entry that starts takes an equal part of the fixed number,
// which is divided by the number of entries.
func equalPartOf(entries int) func(e *simulatedEntry, now clock.Millis) bool {
	requests, retries := map[*retry.SharedBudget][]clock.Millis{}, map[*retry.SharedBudget][]clock.Millis{}
	return func(e *simulatedEntry, now clock.Millis) bool {
		start := e.budget // a process that starts has a new one
		requests[start] = append(requests[start], now)
		most := retryLimits.Ratio*float64(within(requests[start], now)) + float64(retryLimits.ExtraRetries)/float64(entries)
		if float64(within(retries[start], now)+1) > most {
			return false
		}
		retries[start] = append(retries[start], now)
		return true
	}
}

// within returns how many of the times, oldest first, lie within the window that ends at the given one.
func within(times []clock.Millis, end clock.Millis) int {
	before := func(limit clock.Millis) int {
		return sort.Search(len(times), func(i int) bool { return times[i] > limit })
	}
	return before(end) - before(end-retryLimits.Window)
}

// excess returns by how much the retries within some window exceed what is allowed at most. The
// requests of the window count, or those of the one before it or half a window before it, whichever
// has most.
func (s *simulation) excess(p *retryPolicy) float64 {
	excess := 0.0
	for _, end := range s.sent {
		requests := max(within(p.requests, end), within(p.requests, end-retryLimits.Window/2), within(p.requests, end-retryLimits.Window))
		allowed := retryLimits.Ratio*float64(requests) + float64(retryLimits.ExtraRetries)
		excess = max(excess, float64(within(s.sent, end))-allowed)
	}
	return excess
}

// newRetrySimulation returns a simulation of entries whose requests all fail.
func newRetrySimulation(t *rapid.T, entries int, mayRetry func(e *simulatedEntry, now clock.Millis) bool) (*simulation, *retryPolicy) {
	p := &retryPolicy{mayRetry: mayRetry}
	s := newSimulation(t, entries, ratelimit.None, p)
	s.noExcuses = true
	for _, e := range s.entries {
		e.demand = rapid.SampledFrom([]float64{0, 3, 20, 60}).Draw(t, "demand")
	}
	return s, p
}

// Guards against more retries than all entries together may send, while entries start again, join,
// leave, are replaced, stand still and are cut off, leaders follow each other, and messages are late,
// lost or doubled.
func TestRetryBudgetHoldsForAllEntriesTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, p := newRetrySimulation(t, rapid.IntRange(1, 6).Draw(t, "entries"), sharedBudget)
		for range rapid.IntRange(0, 14).Draw(t, "disturbances") {
			s.run(clock.Millis(rapid.IntRange(0, 3000).Draw(t, "time")))
			s.disturb()
		}
		s.run(5 * clock.Second)
		if got := s.excess(p); got > 0 {
			t.Errorf("retries beyond what is allowed within a window: got %g, want none", got)
		}
	})
}

// Guards against a fixed number of retries that is left unused: once all is calm, entries whose
// requests all fail use three quarters of what they may in each window.
func TestRetryBudgetIsUsed(t *testing.T) {
	const wantUsed = 0.7
	rapid.Check(t, func(t *rapid.T) {
		s, _ := newRetrySimulation(t, rapid.IntRange(1, 8).Draw(t, "entries"), sharedBudget)
		s.calm = true
		for _, e := range s.entries {
			e.demand = 20
		}
		s.run(2*simulationLease + retryLimits.Window)
		s.sent = nil
		s.run(4 * retryLimits.Window)
		requests := 20 * float64(len(s.entries)) * retryLimits.Window.Duration().Seconds()
		want := wantUsed * (retryLimits.Ratio*requests + float64(retryLimits.ExtraRetries))
		if got := float64(len(s.sent)) / 4; got < want {
			t.Errorf("retries in each window: got %g, want at least %g", got, want)
		}
	})
}

// Shows what the simulation finds in a naive policy: an entry that starts again in each second uses
// its part of the fixed number each time.
func TestSimulationFindsNaiveRetryBudget(t *testing.T) {
	const entries = 3
	excess := func(mayRetry func(e *simulatedEntry, now clock.Millis) bool) float64 {
		excess := 0.0
		rapid.Check(t, func(t *rapid.T) {
			s, p := newRetrySimulation(t, entries, mayRetry)
			s.calm = true
			for _, e := range s.entries {
				e.demand = 60
			}
			s.run(2 * simulationLease)
			for range 8 {
				s.start(s.entries[0])
				s.run(clock.Second)
			}
			excess = max(excess, s.excess(p))
		})
		return excess
	}
	if got := excess(equalPartOf(entries)); got <= 0 {
		t.Errorf("equal parts at each start: got %g retries beyond what is allowed, want more than 0", got)
	}
	if got := excess(sharedBudget); got > 0 {
		t.Errorf("shared budget: got %g retries beyond what is allowed, want 0", got)
	}
}
