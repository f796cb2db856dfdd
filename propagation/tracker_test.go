package propagation_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/delegation"
	"github.com/galenaslip/galenaslip/propagation"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

const (
	testLease  = 4 * clock.Second
	testWithin = 1 * clock.Second
)

// number returns the version with a number that is valid in all terms.
func number(n uint64) propagation.Version { return propagation.Version{Number: n} }

// grant is a response that is on its way to an entry or a member.
type grant struct {
	leaseStart clock.Millis
	version    uint64
}

// holder is an entry or a member in the model.
type holder struct {
	name    string
	known   uint64
	pending []grant // responses that have not arrived yet
	// leaseEnd is used by entries, confirmation and tracker by members.
	leaseEnd     clock.Millis
	confirmation delegation.Confirmation
	tracker      *propagation.Tracker
}

// model is a group with entries that ask the leader or a member, and with messages that are
// delayed without bound, lost or reordered.
type model struct {
	now     clock.Millis
	leader  *propagation.Tracker
	newest  uint64
	acked   map[uint64]clock.Millis // when each version was acknowledged
	entries []*holder
	members []*holder
	delayed bool // responses are delayed until they are delivered one by one
}

// acknowledge acknowledges each version for which the tracker allows it.
func (m *model) acknowledge() {
	for v := uint64(1); v <= m.newest; v++ {
		if _, ok := m.acked[v]; !ok && m.leader.InForce(m.now, number(v), testWithin) {
			m.acked[v] = m.now
		}
	}
}

// askLeader sends a request of an entry or a member to the leader.
func (m *model) askLeader(h *holder) {
	known := number(h.known)
	if h.tracker != nil {
		known = h.tracker.OldestKnown(m.now, known)
	}
	m.leader.Report(m.now, h.name, known)
	m.send(h, grant{leaseStart: m.now, version: m.newest})
}

// send sends a response. It arrives at once unless messages are delayed.
func (m *model) send(h *holder, g grant) {
	h.pending = append(h.pending, g)
	if !m.delayed {
		m.deliver(h, len(h.pending)-1)
	}
}

// askMember sends a request of an entry to a member.
func (m *model) askMember(e, member *holder) {
	member.tracker.Report(m.now, e.name, number(e.known))
	if member.confirmation.Valid(m.now) && member.known >= member.confirmation.Revision {
		m.send(e, grant{leaseStart: m.now - member.confirmation.Age(m.now), version: member.known})
	}
}

// deliver delivers one of the responses that are on their way.
func (m *model) deliver(h *holder, i int) {
	g := h.pending[i]
	h.pending = append(h.pending[:i:i], h.pending[i+1:]...)
	if g.version < h.known && h.tracker == nil {
		return
	}
	h.known = max(h.known, g.version)
	if h.tracker == nil {
		h.leaseEnd = max(h.leaseEnd, g.leaseStart+testLease)
		return
	}
	next := delegation.Confirmation{AskedAt: g.leaseStart, Term: 1, Revision: g.version}
	if next.Replaces(h.confirmation) {
		h.confirmation = next
	}
}

// staleEntry returns an entry that acts on a version older than one that was acknowledged
// more than testWithin ago, and that version.
func (m *model) staleEntry() (name string, version uint64) {
	for _, e := range m.entries {
		for v, at := range m.acked {
			if m.now < e.leaseEnd && m.now > at+testWithin && e.known < v {
				return e.name, v
			}
		}
	}
	return "", 0
}

// Guards against an acknowledged change (a route, a revoked key, a leaving server) that an
// entry does not know when the time for it has passed, while its lease still lets it act:
// with late and lost messages, silent entries, entries that change between the leader and
// members, and new leaders that have not heard from all of them.
func TestNoEntryActsOnAnOlderState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{leader: propagation.New(testLease), acked: map[uint64]clock.Millis{}}
		m.leader.StartTerm(-testLease * 2)
		for _, name := range []string{"e1", "e2"} {
			m.entries = append(m.entries, &holder{name: name})
		}
		for _, name := range []string{"m1", "m2"} {
			m.members = append(m.members, &holder{name: name, tracker: propagation.New(testLease)})
		}
		all := append(append([]*holder{}, m.entries...), m.members...)
		entry := rapid.SampledFrom(m.entries)
		member := rapid.SampledFrom(m.members)
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				m.now += clock.Millis(rapid.IntRange(1, 900).Draw(t, "ms"))
			},
			"delay": func(t *rapid.T) { m.delayed = rapid.Bool().Draw(t, "delayed") },
			"publish": func(*rapid.T) {
				m.newest++
				m.leader.Publish(m.now, number(m.newest))
			},
			"entry asks leader": func(t *rapid.T) { m.askLeader(entry.Draw(t, "entry")) },
			"entry asks member": func(t *rapid.T) { m.askMember(entry.Draw(t, "entry"), member.Draw(t, "member")) },
			"member asks leader": func(t *rapid.T) {
				m.askLeader(member.Draw(t, "member"))
			},
			"deliver": func(t *rapid.T) {
				h := rapid.SampledFrom(all).Draw(t, "holder")
				if len(h.pending) > 0 {
					m.deliver(h, rapid.IntRange(0, len(h.pending)-1).Draw(t, "message"))
				}
			},
			"new leader": func(*rapid.T) {
				m.leader = propagation.New(testLease)
				m.leader.StartTerm(m.now)
				if m.newest > 0 {
					m.leader.Publish(m.now, number(m.newest))
				}
			},
			"": func(t *rapid.T) {
				m.acknowledge()
				if name, version := m.staleEntry(); name != "" {
					t.Fatalf("at %d ms: %s acts on a state older than version %d, acknowledged at %d ms", m.now, name, version, m.acked[version])
				}
			},
		})
	})
}

// Guards against a change that is never acknowledged because of an entry that has crashed,
// and against one that waits although all entries know it.
func TestInForce(t *testing.T) {
	const published = 10 * clock.Second
	tests := []struct {
		name    string
		reports map[string]uint64 // version that each holder reports when version 2 is published
		startAt clock.Millis
		now     clock.Millis
		want    bool
	}{
		{name: "no entries", now: published, want: true},
		{name: "all know", reports: map[string]uint64{"a": 2, "b": 2}, now: published, want: true},
		{name: "one does not know", reports: map[string]uint64{"a": 2, "b": 1}, now: published + testLease - testWithin, want: false},
		{name: "its lease ends in time", reports: map[string]uint64{"a": 2, "b": 1}, now: published + testLease - testWithin + 50, want: true},
		{name: "new leader", reports: map[string]uint64{"a": 2}, startAt: published - 100, now: published + testLease - testWithin, want: false},
		{name: "new leader, leases end in time", startAt: published - 100, now: published + testLease - testWithin + 50, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := propagation.New(testLease)
			tracker.StartTerm(tt.startAt)
			tracker.Publish(tt.startAt, number(1))
			for name, version := range tt.reports {
				tracker.Report(published, name, number(version))
			}
			tracker.Publish(published, number(2))
			if got := tracker.InForce(tt.now, number(2), testWithin); got != tt.want {
				t.Errorf("in force: got %v, want %v", got, tt.want)
			}
		})
	}
	first := propagation.New(testLease)
	first.StartTerm(published)
	first.PublishFirst(number(1))
	first.Report(published, "a", number(0))
	if !first.InForce(published, number(1), testWithin) {
		t.Error("the first version of all: got not in force, want in force")
	}
	first.Publish(published, number(2))
	if first.InForce(published, number(2), testWithin) {
		t.Error("the second version: got in force, want not")
	}
	tracker := propagation.New(testLease)
	tracker.Publish(0, number(1))
	if tracker.InForce(longAfter, number(2), testWithin) {
		t.Error("a version that is not published: got in force, want not")
	}
}

// longAfter is a time at which all leases have ended.
const longAfter = 60 * clock.Minute

// Guards against numbers of one leader's list that count as newer than those of its successor.
func TestVersionOrder(t *testing.T) {
	earlier, later := propagation.Version{Term: 1, Number: 9}, propagation.Version{Term: 2, Number: 1}
	if !earlier.Less(later) || later.Less(earlier) || earlier.Less(earlier) {
		t.Errorf("order of %v and %v: want the second to be newer", earlier, later)
	}
}

// Guards against leases that outlast the time for an acknowledgement, and against keys that
// work longer than allowed after they were revoked.
func TestLease(t *testing.T) {
	tests := []struct {
		name   string
		bounds propagation.Bounds
		want   clock.Millis
	}{
		{"key revocation binds", propagation.Bounds{Revoke: 5000, Apply: 2500, Drain: 2500, Ack: 5000}, 4000},
		{"acknowledgement binds", propagation.Bounds{Revoke: 30_000, Apply: 2500, Drain: 2000, Ack: 4000}, 4000},
	}
	for _, tt := range tests {
		if got := tt.bounds.Lease(); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}
