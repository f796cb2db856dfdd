package relay

import (
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

// RetryLimits bound the requests that reach a service beyond the first of each,
// summed over all entries: in each Window at most Ratio times the requests for
// it and Slack more.
type RetryLimits struct {
	Ratio        float64
	Window       clock.Millis
	ExtraRetries int
}

const (
	// budgetShare of the limits is used, as entries count in windows of their own.
	budgetShare = 0.75
	// assumedEntries is used before control tells how many entries there are.
	assumedEntries = 8
	// budgetStep is the resolution of the windows.
	budgetStep = 250 * clock.Millisecond
)

// budget grants this entry's share of the retries for each service.
type budget struct {
	mu       sync.Mutex
	limits   RetryLimits
	entries  int
	services map[string]*window
}

// window counts firsts and repeats in steps of time.
type window struct {
	steps []step
}

type step struct {
	at      clock.Millis
	firsts  int
	repeats int
}

func newBudget(limits RetryLimits) *budget {
	return &budget{limits: limits, entries: assumedEntries, services: map[string]*window{}}
}

func (b *budget) setEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(n, 1)
}

func (b *budget) window(service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	return w
}

func (w *window) current(now, length clock.Millis) *step {
	for len(w.steps) > 0 && w.steps[0].at <= now-length-budgetStep {
		w.steps = w.steps[1:]
	}
	at := now - now%budgetStep
	if len(w.steps) == 0 || w.steps[len(w.steps)-1].at < at {
		w.steps = append(w.steps, step{at: at})
	}
	return &w.steps[len(w.steps)-1]
}

// first counts a request for a service.
func (b *budget) first(now clock.Millis, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).current(now, b.limits.Window).firsts++
}

// repeat takes one repetition from the budget and reports whether it was there.
// Share, from 0 to 1, is the part of the budget that this kind may use up.
func (b *budget) repeat(now clock.Millis, service string, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	current := w.current(now, b.limits.Window)
	firsts, repeats := 0, 0
	for _, s := range w.steps {
		repeats += s.repeats
		if s.at > now-b.limits.Window {
			firsts += s.firsts
		}
	}
	allowed := budgetShare * (b.limits.Ratio*float64(firsts) + float64(b.limits.ExtraRetries)/float64(b.entries))
	if float64(repeats+1) > allowed*share {
		return false
	}
	current.repeats++
	return true
}
