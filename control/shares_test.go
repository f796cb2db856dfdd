package control_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// limitingEntry is an entry that holds a part of the limits of servers.
type limitingEntry struct {
	limits   *ratelimit.Limits
	held     ratelimit.Grant
	leaseEnd clock.Millis
}

// limitingEntries are entries of a group. Its lock guards the grants of all of them, so that they
// can be compared.
type limitingEntries struct {
	g       *group
	mu      sync.Mutex
	entries []*limitingEntry
}

// start starts an entry with the given demand.
func (l *limitingEntries) start(weight int) {
	g := l.g
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &limitingEntry{limits: ratelimit.NewLimits()}
	l.entries = append(l.entries, e)
	w := control.NewWatcher(control.WatcherOptions{
		Entry: fmt.Sprintf("entry-%d", len(l.entries)), Seeds: func() []string { return []string{g.memberOptions["c1"].Listen, g.memberOptions["c2"].Listen} },
		Clock: g.clock, Logger: event.Discard(), Limits: e.limits,
		Update: func(confirmedAfter clock.Millis, response control.WatchResponse) bool {
			l.update(e, confirmedAfter, response)
			return true
		},
		Report: func() control.Report {
			l.mu.Lock()
			defer l.mu.Unlock()
			return control.Report{Share: &control.ShareReport{Weight: weight, Held: e.held}}
		},
	})
	go w.Run(g.t.Context())
}

// update stores the grant of an entry and fails the test if another one may use a part of it, or if
// the fractions of all entries add up to more than the whole.
func (l *limitingEntries) update(e *limitingEntry, confirmedAfter clock.Millis, response control.WatchResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if response.Share == nil {
		l.g.t.Errorf("response without a grant")
		return
	}
	e.held, e.leaseEnd = *response.Share, confirmedAfter+sharesLease
	now := l.g.clock.Now()
	fractions := 0.0
	for _, other := range l.entries {
		if now < other.leaseEnd {
			fractions += other.held.Fraction
		}
		if other == e || now >= min(e.leaseEnd, other.leaseEnd) {
			continue
		}
		a, b := e.held.Interval, other.held.Interval
		if !a.IsEmpty() && !b.IsEmpty() && a.Begin < b.End && b.Begin < a.End {
			l.g.t.Errorf("two entries hold %v and %v", a, b)
		}
	}
	if fractions > 1+fractionTolerance {
		l.g.t.Errorf("fractions of all entries: got %g, want at most 1", fractions)
	}
}

// total returns the smaller of the part of the ring and the sum of the fractions that are in use,
// and the part of the ring of the first entry.
func (l *limitingEntries) total() (total, first float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.g.clock.Now()
	ring, fractions := 0.0, 0.0
	for _, e := range l.entries {
		if now < e.leaseEnd {
			ring += e.held.Interval.Size()
			fractions += e.held.Fraction
		}
	}
	return min(ring, fractions), l.entries[0].held.Interval.Size()
}

// knowLimit reports whether all entries know the same limit of a server.
func (l *limitingEntries) knowLimit(run ratelimit.Run, limit ratelimit.Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.limits.Limit(run) != limit {
			return false
		}
	}
	return true
}

const (
	// sharesLease is the duration of the entries' leases in these tests.
	sharesLease = 1500 * clock.Millisecond
	// fractionTolerance allows for the rounding of sums of fractions.
	fractionTolerance = 1e-9
)

// Guards against two entries that use the same part of servers' limits or together more than the
// whole of a limit without positions, as the fixed number of retries, against a part that no
// entry uses for long, and against a limit that only the entry knows that has read it: with a few
// entries, with many of which most watch members in place of the leader, and after the leader was
// lost.
func TestEntriesShareLimits(t *testing.T) {
	for _, count := range []int{3, 48} {
		t.Run(fmt.Sprintf("%d entries", count), func(t *testing.T) {
			g := newSeededGroup(t, 3, withLease(sharesLease))
			g.putCatalog("c1", 7)
			l := &limitingEntries{g: g}
			run, limit := ratelimit.Run{Server: "s1", StartedAt: 1}, ratelimit.NewLimit(4.9)
			l.start(count - 1)
			for range count - 1 {
				l.start(1)
			}
			l.entries[1].limits.Record(g.clock.Now(), run, limit, g.clock.Now(), g.clock.Now())
			inUse := func() bool {
				total, first := l.total()
				return total > 0.99 && first > 0.3 && first < 0.6
			}
			g.eventually("the whole ring to be in use, half of it by the busy entry", inUse)
			g.eventually("all entries to know the limit", func() bool { return l.knowLimit(run, limit) })
			g.crash(g.leader())
			l.start(1)
			g.eventually("the whole ring to be in use again", inUse)
			g.eventually("all entries to know the limit again", func() bool { return l.knowLimit(run, limit) })
			l.entries[2].limits.Record(g.clock.Now(), run, ratelimit.None, g.clock.Now(), g.clock.Now())
			g.eventually("all entries to know the end of the limit", func() bool { return l.knowLimit(run, ratelimit.None) })
		})
	}
}
