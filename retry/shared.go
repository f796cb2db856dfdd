package retry

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

// Limits bound the retries for a service, summed over all entries: in each Window at most Ratio
// times the number of requests, plus a fixed number. The requests are those of a Window that ends
// with a retry: long requests fail after the window in which they have arrived.
type Limits struct {
	Ratio        float64 // retries per request
	Window       clock.Millis
	ExtraRetries int // fixed number of further retries per window
}

const (
	// sharedSafety is the fraction of the limits that entries use. It is below 1 because a retry
	// reaches its server some time after it was granted, and because requests that arrived at the
	// begin of an entry's window may lie before the window that is judged.
	sharedSafety = 0.75
	// intervalLength is the length of the intervals that a window is divided into.
	intervalLength = 250 * clock.Millisecond
)

// SharedBudget limits the retries of one of several entries that share the limits of each service.
// It is safe for concurrent use.
//
// The retries that requests allow need no agreement: each entry counts its own requests. The fixed
// number is divided by shares that never add up to more than 1 at one time (see
// ratelimit.Partition). Within a window an entry uses no more of it than the smallest share that it
// has held throughout that window. So at the begin of any window all entries together hold at most
// the whole, and use no more than that in it, however often entries start again, join, leave or
// exchange shares: an entry that has just started or has just been granted a share may succeed one
// that has used the same share a moment ago.
type SharedBudget struct {
	limits Limits

	mu       sync.Mutex
	shares   []shareChange // oldest first; never empty
	until    clock.Millis  // when the newest share ends unless it is renewed
	services map[string]*window
}

// shareChange says which share an entry holds from a time on.
type shareChange struct {
	at    clock.Millis
	share float64 // 0 to 1
}

// window counts the requests and retries of one service, separately for each of the latest
// intervals.
type window struct {
	intervals []interval
	refused   uint64
}

// interval counts the requests and retries of one interval of length intervalLength.
type interval struct {
	start clock.Millis
	counts
}

// counts are the requests of a window or an interval, and the retries by what has allowed them. A
// retry may be allowed by both in part.
type counts struct {
	requests int
	byRatio  float64
	extra    float64
}

func (c counts) plus(other counts) counts {
	return counts{requests: c.requests + other.requests, byRatio: c.byRatio + other.byRatio, extra: c.extra + other.extra}
}

// Usage is what an entry has used of the budget of a service in the latest window.
type Usage struct {
	Service  string
	Requests int
	Retries  float64
	Left     float64 // further retries that it may send now
	Refused  uint64  // retries refused since the entry started
}

// NewSharedBudget returns the budget of an entry that has just started and holds no share.
func NewSharedBudget(limits Limits) *SharedBudget {
	return &SharedBudget{limits: limits, shares: []shareChange{{}}, services: map[string]*window{}}
}

// SetShare sets the share of the fixed number, from 0 to 1, that this entry holds until the given
// time.
func (b *SharedBudget) SetShare(now clock.Millis, share float64, until clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endShare(now)
	b.changeShare(now, min(max(share, 0), 1))
	b.until = until
	b.dropFormerShares(now)
}

// endShare records that the share has ended, if so. The caller holds the lock.
func (b *SharedBudget) endShare(now clock.Millis) {
	if now >= b.until {
		b.changeShare(b.until, 0)
	}
}

// changeShare records the share from a time on. The caller holds the lock.
func (b *SharedBudget) changeShare(at clock.Millis, share float64) {
	if b.shares[len(b.shares)-1].share != share {
		b.shares = append(b.shares, shareChange{at: at, share: share})
	}
}

// dropFormerShares drops what ended before the latest window began. The caller holds the lock.
func (b *SharedBudget) dropFormerShares(now clock.Millis) {
	held := 0
	for held+1 < len(b.shares) && b.shares[held+1].at <= now-b.limits.Window {
		held++
	}
	b.shares = slices.Delete(b.shares, 0, held)
}

// Share returns the part of the fixed number that this entry may use now: the smallest share that it
// has held since the latest window began.
func (b *SharedBudget) Share(now clock.Millis) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usableShare(now)
}

// usableShare is Share for callers that hold the lock.
func (b *SharedBudget) usableShare(now clock.Millis) float64 {
	b.endShare(now)
	b.dropFormerShares(now)
	return slices.MinFunc(b.shares, func(a, b shareChange) int { return cmp.Compare(a.share, b.share) }).share
}

// CountRequest counts a new request for a service. Retries are not counted here.
func (b *SharedBudget) CountRequest(now clock.Millis, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(now, service).current(now, b.limits.Window).requests++
}

// Take takes one retry from the budget of a service and reports whether one was left. The parameter
// part, from 0 to 1, is the part of the budget that retries of this kind may use up.
func (b *SharedBudget) Take(now clock.Millis, service string, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	current := w.current(now, b.limits.Window)
	byRatio, extra := b.left(now, w, part)
	if byRatio+extra < 1 {
		w.refused++
		return false
	}
	byRatio = min(max(byRatio, 0), 1)
	current.byRatio += byRatio
	current.extra += 1 - byRatio
	return true
}

// left returns how many retries are left by the ratio and of the fixed number, if the given part of
// the budget may be used up. By the ratio it may be less than 0: fewer requests than before arrive,
// and the retries that these have allowed still count. The caller holds the lock.
func (b *SharedBudget) left(now clock.Millis, w *window, part float64) (byRatio, extra float64) {
	used := w.sum(now, b.limits.Window)
	byRatio = part * sharedSafety * b.limits.Ratio * float64(used.requests)
	extra = part * sharedSafety * float64(b.limits.ExtraRetries) * b.usableShare(now)
	return byRatio - used.byRatio, max(extra-used.extra, 0)
}

// Usage returns what was used of the budget of each service, ordered by service.
func (b *SharedBudget) Usage(now clock.Millis) []Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var usages []Usage
	for service, w := range b.services {
		w.current(now, b.limits.Window)
		used := w.sum(now, b.limits.Window)
		byRatio, extra := b.left(now, w, 1)
		usages = append(usages, Usage{
			Service: service, Requests: used.requests, Retries: used.byRatio + used.extra, Left: max(byRatio+extra, 0), Refused: w.refused,
		})
	}
	slices.SortFunc(usages, func(a, b Usage) int { return cmp.Compare(a.Service, b.Service) })
	return usages
}

// window returns the window of a service. A new one takes the place of those of services that are no
// longer used. The caller holds the lock.
func (b *SharedBudget) window(now clock.Millis, service string) *window {
	w, ok := b.services[service]
	if !ok {
		maps.DeleteFunc(b.services, func(_ string, w *window) bool { return w.isEmpty(now, b.limits.Window) })
		w = &window{}
		b.services[service] = w
	}
	return w
}

// isEmpty reports whether nothing was counted in the latest window of the given length.
func (w *window) isEmpty(now, length clock.Millis) bool {
	return len(w.intervals) == 0 || w.intervals[len(w.intervals)-1].start <= now-length-intervalLength
}

// current removes expired intervals and returns the one that contains now. It adds that interval if
// it is missing. The parameter length is the length of the window.
func (w *window) current(now, length clock.Millis) *interval {
	for len(w.intervals) > 0 && w.intervals[0].start <= now-length-intervalLength {
		w.intervals = w.intervals[1:]
	}
	start := now - now%intervalLength
	if len(w.intervals) == 0 || w.intervals[len(w.intervals)-1].start < start {
		w.intervals = append(w.intervals, interval{start: start})
	}
	return &w.intervals[len(w.intervals)-1]
}

// sum returns the counts of the latest window. Requests of its oldest, incomplete interval are left
// out, retries are not.
func (w *window) sum(now, length clock.Millis) counts {
	var sum counts
	for _, i := range w.intervals {
		if i.start <= now-length {
			i.requests = 0
		}
		sum = sum.plus(i.counts)
	}
	return sum
}
