package ratelimit_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/retry"
)

const (
	simulationStep  = 20 * clock.Millisecond
	simulationLease = 3 * clock.Second
	// watchPause is the time between an answer of the leader and the next report of an entry.
	watchPause = 200 * clock.Millisecond
	// watchTimeout is how long an entry waits for an answer before it reports again.
	watchTimeout = 700 * clock.Millisecond
	// limitWindow is the time in which requests are counted.
	limitWindow = 4 * clock.Second
)

// policy decides whether an entry may send a request to the server.
type policy interface {
	take(e *simulatedEntry, now clock.Millis) bool
}

// simulatedEntry is an entry with its own connection to the leader.
type simulatedEntry struct {
	name         string
	limiter      *ratelimit.Limiter
	budget       *retry.SharedBudget
	held         ratelimit.Grant
	leaseEnd     clock.Millis
	demand       float64 // requests a second
	nextRequest  clock.Millis
	nextReport   clock.Millis
	reportNumber int
	running      bool
	cut          bool         // no message arrives
	excusedUntil clock.Millis // its requests do not count: it was frozen, started or cut off
	lastTake     clock.Millis
}

// message is a report of an entry on its way to the leader, or a grant on its way back.
type message struct {
	entry    *simulatedEntry
	number   int // of the report
	sentAt   clock.Millis
	arriveAt clock.Millis
	isGrant  bool
	weight   int
	held     ratelimit.Grant
}

// simulation is a leader, entries, and messages that are late, lost or doubled.
type simulation struct {
	t         *rapid.T
	now       clock.Millis
	partition *ratelimit.Partition
	entries   []*simulatedEntry
	messages  []message
	limits    *ratelimit.Limits
	limit     ratelimit.Limit
	policy    policy
	noExcuses bool           // entries are never excused, but their clocks run on while they are frozen
	sent      []clock.Millis // requests that the server got and that count
	calm      bool           // messages take one step and none is lost
}

func newSimulation(t *rapid.T, entries int, limit ratelimit.Limit, p policy) *simulation {
	s := &simulation{t: t, now: 10 * clock.Second, limits: ratelimit.NewLimits(), limit: limit, policy: p}
	s.partition = ratelimit.NewPartition(s.now, simulationLease)
	s.limits.Record(s.now, testRun, limit, s.now, s.now)
	for i := range entries {
		s.entries = append(s.entries, &simulatedEntry{name: fmt.Sprintf("entry-%d", i), running: true})
		s.start(s.entries[i])
	}
	return s
}

// start starts an entry with nothing but the limits, which come with its first lease.
func (s *simulation) start(e *simulatedEntry) {
	e.limiter, e.held, e.leaseEnd, e.running = ratelimit.NewLimiter(s.limits), ratelimit.Grant{}, 0, true
	e.budget = retry.NewSharedBudget(retryLimits)
	e.nextReport, e.nextRequest = s.now, s.now
	e.reportNumber++
}

// run plays until the given time from now.
func (s *simulation) run(duration clock.Millis) {
	for end := s.now + duration; s.now < end; s.now += simulationStep {
		for _, e := range s.entries {
			s.runEntry(e)
		}
		s.deliver()
		s.checkShares()
	}
}

func (s *simulation) runEntry(e *simulatedEntry) {
	if !e.running {
		return
	}
	if s.now >= e.nextReport {
		e.reportNumber++
		e.nextReport = s.now + watchTimeout
		s.send(message{entry: e, number: e.reportNumber, sentAt: s.now, weight: 1 + int(10*e.demand), held: e.limiter.ReportGrant(s.now)})
	}
	for e.demand > 0 && s.now >= e.nextRequest {
		e.nextRequest = max(e.nextRequest, s.now-clock.Second) + clock.Millis(float64(clock.Second)/e.demand)
		if s.policy.take(e, s.now) && s.counts(e) {
			s.sent = append(s.sent, s.now)
		}
	}
}

// counts reports whether requests of the entry count, because it is not excused.
func (s *simulation) counts(e *simulatedEntry) bool { return s.noExcuses || s.now >= e.excusedUntil }

// send sends a message, which may be late, lost or doubled.
func (s *simulation) send(m message) {
	copies, delay := 1, simulationStep
	if !s.calm {
		copies = rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 2}).Draw(s.t, "copies")
		delay = clock.Millis(rapid.SampledFrom([]int{10, 10, 50, 400, 2000}).Draw(s.t, "delay"))
	}
	for range copies {
		m.arriveAt = s.now + delay
		s.messages = append(s.messages, m)
		delay *= 2
	}
}

// deliver hands over the messages that have arrived.
func (s *simulation) deliver() {
	arrived := slices.Clone(s.messages)
	s.messages = slices.DeleteFunc(s.messages, func(m message) bool { return m.arriveAt <= s.now })
	for _, m := range arrived {
		if m.arriveAt > s.now || m.entry.cut {
			continue
		}
		e := m.entry
		if !m.isGrant {
			reply := m
			reply.isGrant, reply.held = true, exchange(s.partition, s.now, e.name, m.weight, m.held)
			s.send(reply)
			continue
		}
		if m.number != e.reportNumber || !e.running {
			continue // the entry no longer waits for it
		}
		e.reportNumber++
		e.leaseEnd, e.nextReport = m.sentAt+simulationLease, s.now+watchPause
		e.held = e.limiter.SetGrant(s.now, m.held, e.leaseEnd)
		e.budget.SetShare(s.now, e.held.Fraction, e.leaseEnd)
	}
}

// checkShares fails the test if two entries may use the same part of the ring.
func (s *simulation) checkShares() {
	for i, a := range s.entries {
		for _, b := range s.entries[:i] {
			if s.now >= min(a.leaseEnd, b.leaseEnd) || !a.running || !b.running || !s.counts(a) || !s.counts(b) {
				continue
			}
			x, y := a.held.Interval, b.held.Interval
			if !x.IsEmpty() && !y.IsEmpty() && x.Begin < y.End && y.Begin < x.End {
				s.t.Fatalf("at %d ms: %s holds %v and %s holds %v", s.now, a.name, x, b.name, y)
			}
		}
	}
}

// busiestWindow returns the most requests that the server got within limitWindow.
func (s *simulation) busiestWindow() int {
	most, begin := 0, 0
	for i, at := range s.sent {
		for at-s.sent[begin] > limitWindow {
			begin++
		}
		most = max(most, i-begin+1)
	}
	return most
}

// allowed is the most requests that a server may get within limitWindow.
func (s *simulation) allowed() float64 {
	return 1.5*limitWindow.Duration().Seconds()*s.limit.Rate() + 5
}

// disturb changes something at random: entries end, start, freeze, are cut off, get other demand, or
// are replaced by others; or another leader takes over.
func (s *simulation) disturb() {
	e := rapid.SampledFrom(s.entries).Draw(s.t, "entry")
	switch rapid.IntRange(0, 7).Draw(s.t, "disturbance") {
	case 0:
		e.running = false
	case 1:
		s.start(e)
		e.excusedUntil = s.now + simulationLease
	case 2: // frozen: it takes up old leases when it goes on, unless its clock has run on
		frozen := clock.Millis(rapid.IntRange(100, 6000).Draw(s.t, "frozen"))
		e.nextReport, e.nextRequest = max(e.nextReport, s.now+frozen), s.now+frozen
		if !s.noExcuses {
			e.leaseEnd += frozen
			e.excusedUntil = max(s.now+frozen+simulationLease, e.leaseEnd)
			e.limiter.SetGrant(s.now, e.held, e.leaseEnd)
		}
	case 3, 4:
		e.cut = !e.cut
	case 5:
		e.demand = rapid.SampledFrom([]float64{0, 0.5, 3, 20}).Draw(s.t, "demand")
	case 6:
		s.partition = ratelimit.NewPartition(s.now, simulationLease)
	case 7:
		e.running = false
		next := &simulatedEntry{name: fmt.Sprintf("entry-%d", len(s.entries)), demand: e.demand, excusedUntil: s.now + simulationLease}
		s.entries = append(s.entries, next)
		s.start(next)
	}
}

// limiterPolicy is the one in use.
type limiterPolicy struct{}

func (limiterPolicy) take(e *simulatedEntry, now clock.Millis) bool {
	u := ratelimit.Urgency{}
	if !e.limiter.Allows(now, testRun, "s", u) {
		return false
	}
	e.limiter.Take(now, testRun, "s", u)
	return true
}

// wholeLimitPolicy is a naive one: each entry sends at the whole limit.
type wholeLimitPolicy struct{ limit ratelimit.Limit }

func (p wholeLimitPolicy) take(e *simulatedEntry, now clock.Millis) bool {
	if float64(now-e.lastTake) < float64(clock.Second)/p.limit.Rate() {
		return false
	}
	e.lastTake = now
	return true
}

// equalSharePolicy is another one: each entry sends at an equal part of the limit.
type equalSharePolicy struct {
	limit   ratelimit.Limit
	entries int
}

func (p equalSharePolicy) take(e *simulatedEntry, now clock.Millis) bool {
	return wholeLimitPolicy{ratelimit.NewLimit(p.limit.Rate() / float64(p.entries))}.take(e, now)
}

// Guards against a server that gets more requests than its limit allows from all entries together,
// while entries join, leave, freeze and are cut off, leaders follow each other, and messages are
// late, lost or doubled; and against two entries that use the same part of the limit.
func TestLimitHoldsForAllEntriesTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := ratelimit.NewLimit(rapid.SampledFrom([]float64{0, 0.2, 1.3, 4.9, 30}).Draw(t, "limit"))
		s := newSimulation(t, rapid.IntRange(1, 6).Draw(t, "entries"), limit, limiterPolicy{})
		for _, e := range s.entries {
			e.demand = rapid.SampledFrom([]float64{0, 3, 20, 100}).Draw(t, "demand")
		}
		for range rapid.IntRange(0, 12).Draw(t, "disturbances") {
			s.run(clock.Millis(rapid.IntRange(0, 2500).Draw(t, "time")))
			s.disturb()
		}
		s.run(5 * clock.Second)
		if got, want := float64(s.busiestWindow()), s.allowed(); got > want {
			t.Errorf("requests in 4 s: got %g, want at most %g", got, want)
		}
	})
}

// Guards against a limited server that is left unused: once all is calm, it gets nine tenths of
// its limit where there is demand, however unevenly the demand is spread over the entries.
func TestLimitIsUsed(t *testing.T) {
	const wantUsed = 0.9
	const calmTime = 30 * clock.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := ratelimit.NewLimit(rapid.SampledFrom([]float64{0.2, 1.3, 4.9, 30}).Draw(t, "limit"))
		s := newSimulation(t, rapid.IntRange(1, 34).Draw(t, "entries"), limit, limiterPolicy{})
		demand := 0.0
		for _, e := range s.entries {
			e.demand = rapid.SampledFrom([]float64{4, 20, 100}).Draw(t, "demand")
			demand += e.demand
		}
		s.calm = true
		s.run(2 * simulationLease) // the partition settles
		s.sent = nil
		s.run(calmTime)
		want := wantUsed*min(limit.Rate(), demand)*calmTime.Duration().Seconds() - 1
		if got := float64(len(s.sent)); got < want {
			t.Errorf("requests in %d ms: got %g, want at least %g", calmTime, got, want)
		}
	})
}

// Shows what the simulation finds in naive policies: one breaks the limit, the other one leaves
// most of it unused where a few entries have all the demand.
func TestSimulationFindsNaivePolicies(t *testing.T) {
	const entries = 6
	limit := ratelimit.NewLimit(4.9)
	play := func(p policy, busy int) *simulation {
		var s *simulation
		rapid.Check(t, func(t *rapid.T) {
			s = newSimulation(t, entries, limit, p)
			for _, e := range s.entries[:busy] {
				e.demand = 100
			}
			s.calm = true
			s.run(20 * clock.Second)
		})
		return s
	}
	s := play(wholeLimitPolicy{limit}, entries)
	if got, limit := float64(s.busiestWindow()), s.allowed(); got <= limit {
		t.Errorf("the whole limit at each entry: got %g requests in 4 s, want more than %g", got, limit)
	}
	s = play(equalSharePolicy{limit, entries}, 1)
	if got, half := float64(len(s.sent)), 0.5*20*limit.Rate(); got >= half {
		t.Errorf("equal shares: got %g requests in 20 s, want less than %g", got, half)
	}
}
