package relay

import (
	"cmp"
	"slices"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

// RetryLimits bound the retries for a service, summed over all entries: in each
// Window at most Ratio times the number of requests, plus a fixed number.
type RetryLimits struct {
	Ratio        float64 // retries per request
	Window       clock.Millis
	ExtraRetries int // fixed number of further retries per window
}

const (
	// budgetSafety is the fraction of the limits that entries use. It is below 1
	// because the entries' windows do not begin at the same time.
	budgetSafety = 0.75
	// assumedEntries is the number of entries assumed until control reports it.
	assumedEntries = 8
	// budgetInterval is the length of the intervals that a window is divided into.
	budgetInterval = 250 * clock.Millisecond
)

// budget limits this entry's retries for each service. It is safe for concurrent use.
type budget struct {
	mu         sync.Mutex
	limits     RetryLimits
	entryCount int // number of entries, which share the fixed number of retries evenly
	services   map[string]*window
}

// RetryUsage is what a relay has used of the retry budget of a service in the latest window.
type RetryUsage struct {
	Service  string
	Requests int     // new requests
	Retries  float64 // retries that the budget has granted
	Left     float64 // further retries that it grants
	Refused  uint64  // retries that it has refused since the process started
}

// window counts the requests and retries of one service, separately for each of the
// latest intervals.
type window struct {
	intervals []intervalCounts
	refused   uint64 // retries refused since the process started
}

// intervalCounts counts the requests and retries of one interval of length budgetInterval.
type intervalCounts struct {
	start    clock.Millis
	requests int
	retries  int
}

func newBudget(limits RetryLimits) *budget {
	return &budget{limits: limits, entryCount: assumedEntries, services: map[string]*window{}}
}

func (b *budget) setEntryCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entryCount = max(n, 1)
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

// currentInterval removes expired intervals and returns the one that contains now. It
// adds that interval if it is missing. The parameter length is the length of the window.
func (w *window) currentInterval(now, length clock.Millis) *intervalCounts {
	for len(w.intervals) > 0 && w.intervals[0].start <= now-length-budgetInterval {
		w.intervals = w.intervals[1:]
	}
	start := now - now%budgetInterval
	if len(w.intervals) == 0 || w.intervals[len(w.intervals)-1].start < start {
		w.intervals = append(w.intervals, intervalCounts{start: start})
	}
	return &w.intervals[len(w.intervals)-1]
}

// countRequest counts a new request for a service. Retries are not counted here.
func (b *budget) countRequest(now clock.Millis, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).currentInterval(now, b.limits.Window).requests++
}

// takeRetry takes one retry from the budget of a service and reports whether one
// was left. The parameter share, from 0 to 1, is the part of the budget that retries
// of this kind may use up.
func (b *budget) takeRetry(now clock.Millis, service string, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	currentInterval := w.currentInterval(now, b.limits.Window)
	requests, retries := w.counts(now, b.limits.Window)
	if float64(retries+1) > b.allowed(requests)*share {
		w.refused++
		return false
	}
	currentInterval.retries++
	return true
}

// allowed returns how many retries a number of requests within a window allows.
func (b *budget) allowed(requests int) float64 {
	return budgetSafety * (b.limits.Ratio*float64(requests) + float64(b.limits.ExtraRetries)/float64(b.entryCount))
}

// counts returns the numbers of requests and retries in the latest window of the given length.
func (w *window) counts(now, length clock.Millis) (requests, retries int) {
	for _, s := range w.intervals {
		retries += s.retries
		if s.start > now-length {
			requests += s.requests
		}
	}
	return requests, retries
}

// usage returns what was used of the budget of each service, ordered by service.
func (b *budget) usage(now clock.Millis) []RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var usages []RetryUsage
	for service, w := range b.services {
		w.currentInterval(now, b.limits.Window)
		requests, retries := w.counts(now, b.limits.Window)
		left := max(b.allowed(requests)-float64(retries), 0)
		usages = append(usages, RetryUsage{Service: service, Requests: requests, Retries: float64(retries), Left: left, Refused: w.refused})
	}
	slices.SortFunc(usages, func(a, b RetryUsage) int { return cmp.Compare(a.Service, b.Service) })
	return usages
}
