package relay

import (
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

// RetryLimits bound the retries for a service, summed over all entries: in each
// Window at most Ratio times the number of requests, plus Slack.
type RetryLimits struct {
	Ratio  float64 // retries per request
	Window clock.Millis
	Slack  int // retries per window in addition to Ratio
}

const (
	// budgetSafety is the share of the limits that entries use. It stays below 1
	// because the entries' windows do not begin at the same time.
	budgetSafety = 0.75
	// assumedEntries is the number of entries assumed until control reports it.
	assumedEntries = 8
	// budgetStep is the resolution of the windows.
	budgetStep = 250 * clock.Millisecond
)

// budget limits this entry's retries for each service. It is safe for concurrent use.
type budget struct {
	mu       sync.Mutex
	limits   RetryLimits
	entries  int // number of entries, which share Slack evenly
	services map[string]*window
}

// window counts the requests and retries of one service, in steps of budgetStep.
type window struct {
	steps []step
}

// step counts the requests and retries of one interval of length budgetStep.
type step struct {
	start    clock.Millis
	requests int
	retries  int
}

func newBudget(limits RetryLimits) *budget {
	return &budget{limits: limits, entries: assumedEntries, services: map[string]*window{}}
}

func (b *budget) setEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(n, 1)
}

// window returns the window of a service. The caller holds the lock.
func (b *budget) window(service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	return w
}

// currentStep removes expired steps and returns the step that contains now.
func (w *window) currentStep(now, length clock.Millis) *step {
	for len(w.steps) > 0 && w.steps[0].start <= now-length-budgetStep {
		w.steps = w.steps[1:]
	}
	start := now - now%budgetStep
	if len(w.steps) == 0 || w.steps[len(w.steps)-1].start < start {
		w.steps = append(w.steps, step{start: start})
	}
	return &w.steps[len(w.steps)-1]
}

// countRequest counts a new request for a service. Retries are not counted here.
func (b *budget) countRequest(now clock.Millis, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).currentStep(now, b.limits.Window).requests++
}

// takeRetry takes one retry from the budget of a service and reports whether one
// was left. Share, from 0 to 1, is the part of the budget that retries of this kind
// may use up.
func (b *budget) takeRetry(now clock.Millis, service string, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	currentStep := w.currentStep(now, b.limits.Window)
	requests, retries := 0, 0
	for _, s := range w.steps {
		retries += s.retries
		if s.start > now-b.limits.Window {
			requests += s.requests
		}
	}
	allowed := budgetSafety * (b.limits.Ratio*float64(requests) + float64(b.limits.Slack)/float64(b.entries))
	if float64(retries+1) > allowed*share {
		return false
	}
	currentStep.retries++
	return true
}
