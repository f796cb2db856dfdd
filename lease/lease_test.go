package lease_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/testseed"
)

func TestMain(m *testing.M) {
	testseed.MainWith(m, testseed.Options{Seed: 1, Checks: 1000})
}

const (
	leaderLease = 900 * clock.Millisecond // duration of the leader lease
	// maxStaleness is the maximum time, in true time, for which an entry may act
	// on a configuration after a newer one was accepted: the length of a lease on
	// the slowest clock. The documentation promises 7 s.
	maxStaleness = lease.Duration * 102 / 100
)

// process has its own clock, with its own origin and a rate that differs by
// less than 1% from that of any other process.
type process struct {
	origin       clock.Millis
	ratePerMille clock.Millis // clock rate in thousandths of the true rate
}

// clock returns the time on the clock of the process at a true time.
func (p process) clock(at clock.Millis) clock.Millis { return p.origin + at*p.ratePerMille/1000 }

// member is a control member that leads or has led. A former leader goes on
// granting leases until its leader lease has ended.
type member struct {
	process
	grantor    *lease.Grantor
	applied    configuration.Configuration
	term       uint64
	leaseUntil clock.Millis // end of the leader lease in true time
}

// entry is a simulated entry that holds or requests a lease.
type entry struct {
	process
	holder       *lease.Holder
	usedRevision uint64 // newest revision that the entry has acted on
}

// message is a renewal in the network or, when grant is set, the grant that
// answers it.
type message struct {
	entry   *entry
	number  uint64
	renewal lease.Renewal
	grant   *lease.Grant
}

// simulation simulates a control group with one current leader, former leaders
// that still believe that they lead, and entries. Each step of an entry is
// drawn at random, so an entry that is not drawn behaves like a suspended
// process.
type simulation struct {
	trueTime   clock.Millis   // time on a perfect clock
	members    []*member      // all leaders so far; the last one is the current leader
	acceptedAt []clock.Millis // true time at which each revision from 1 on was accepted
	inFlight   []message      // messages that may still arrive
	entries    []*entry
}

// drawProcess draws a process with a random clock.
func drawProcess(t *rapid.T) process {
	return process{
		origin:       clock.Millis(rapid.IntRange(0, 100_000).Draw(t, "origin")),
		ratePerMille: clock.Millis(rapid.IntRange(996, 1004).Draw(t, "rate")),
	}
}

func (s *simulation) leader() *member { return s.members[len(s.members)-1] }

// advanceTime advances the true time by a random step.
func (s *simulation) advanceTime(t *rapid.T) {
	s.trueTime += clock.Millis(rapid.SampledFrom([]int{1, 50, 400, 900, 2500}).Draw(t, "time"))
}

// electLeader replaces the leader if its leader lease has ended. The new leader
// has applied every accepted change.
func (s *simulation) electLeader(t *rapid.T) {
	previousLeader := s.leader()
	if s.trueTime < previousLeader.leaseUntil {
		return
	}
	newLeader := &member{process: drawProcess(t), grantor: lease.NewGrantor(), applied: previousLeader.applied, term: previousLeader.term + 1}
	newLeader.grantor.StartTerm(newLeader.clock(s.trueTime), newLeader.term)
	s.members = append(s.members, newLeader)
	s.renewLeaderLease(t)
}

func (s *simulation) renewLeaderLease(*rapid.T) { s.leader().leaseUntil = s.trueTime + leaderLease }

// acceptChange accepts a change. The latency target of the class is set to the
// new revision, so that useConfiguration can check that a configuration belongs
// to its revision.
func (s *simulation) acceptChange(*rapid.T) {
	l := s.leader()
	c, err := class.New("clause-query", 1, clock.Millis(l.applied.Revision()+1), class.FirstToken)
	if err != nil {
		panic(err)
	}
	l.applied = l.applied.WithClass(c).WithRevision(l.applied.Revision() + 1)
	s.acceptedAt = append(s.acceptedAt, s.trueTime)
}

// sendRenewal lets an entry send a renewal.
func (s *simulation) sendRenewal(t *rapid.T) {
	e := rapid.SampledFrom(s.entries).Draw(t, "entry")
	renewal, number := e.holder.NextRenewal(e.clock(s.trueTime), 0, nil, false)
	s.inFlight = append(s.inFlight, message{entry: e, number: number, renewal: renewal})
}

// deliverMessage delivers any message, a renewal to any member that leads or
// has led. The message may stay in the network, to be delivered again.
func (s *simulation) deliverMessage(t *rapid.T) {
	if len(s.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")
	m := s.inFlight[i]
	if rapid.IntRange(0, 3).Draw(t, "doubled") > 0 {
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	}
	if m.grant != nil {
		m.entry.holder.Accept(m.entry.clock(s.trueTime), m.number, *m.grant)
		return
	}
	if grant, ok := rapid.SampledFrom(s.members).Draw(t, "member").answer(s.trueTime, m.renewal); ok {
		s.inFlight = append(s.inFlight, message{entry: m.entry, number: m.number, grant: &grant})
	}
}

// answer returns the grant for a renewal if the member believes that it leads.
func (m *member) answer(at clock.Millis, r lease.Renewal) (lease.Grant, bool) {
	if at >= m.leaseUntil {
		return lease.Grant{}, false
	}
	return m.grantor.Renew(m.clock(at), m.applied, r), true
}

// useConfiguration lets an entry act on its configuration if its lease is
// valid, and checks that the configuration is neither too old nor older than
// one it has acted on before.
func (s *simulation) useConfiguration(t *rapid.T) {
	e := rapid.SampledFrom(s.entries).Draw(t, "entry")
	if !e.holder.Valid(e.clock(s.trueTime)) {
		return
	}
	c := e.holder.Configuration()
	if c.Revision() < e.usedRevision {
		t.Fatalf("revision went back from %d to %d", e.usedRevision, c.Revision())
	}
	e.usedRevision = c.Revision()
	if k, ok := c.Class("clause-query"); c.Revision() > 0 && (!ok || k.Target() != clock.Millis(c.Revision())) {
		t.Fatalf("revision %d has the target %d", c.Revision(), k.Target())
	}
	if int(c.Revision()) < len(s.acceptedAt) && s.trueTime-s.acceptedAt[c.Revision()] > maxStaleness {
		t.Fatalf("revision %d is in force %d ms after %d was accepted", c.Revision(), s.trueTime-s.acceptedAt[c.Revision()], c.Revision()+1)
	}
}

// checkExpiry checks that no lease that the leader regards as expired is still
// valid at its entry.
func (s *simulation) checkExpiry(t *rapid.T) {
	l := s.leader()
	for i, e := range s.entries {
		if e.holder.Valid(e.clock(s.trueTime)) && l.grantor.Expired(l.clock(s.trueTime), fmt.Sprintf("e%d", i), 1) {
			t.Fatalf("the leader regards the valid lease of entry %d as expired", i)
		}
	}
}

// Guards against an entry that acts on a configuration for longer than
// maxStaleness after a newer one was accepted, that goes back to an older one,
// or whose lease the leader regards as expired while the entry still acts.
// Messages are lost, delayed, duplicated and reordered, entries are suspended,
// leaders change, and former leaders still answer.
func TestNoStaleOrOlderConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{}
		firstLeader := &member{process: drawProcess(t), grantor: lease.NewGrantor(), term: 1, leaseUntil: leaderLease}
		firstLeader.grantor.StartTerm(firstLeader.clock(0), 1)
		s.members = []*member{firstLeader}
		for i := range 2 {
			s.entries = append(s.entries, &entry{process: drawProcess(t), holder: lease.NewHolder(fmt.Sprintf("e%d", i), 1, "", "")})
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": s.advanceTime, "elect": s.electLeader, "heartbeat": s.renewLeaderLease, "accept": s.acceptChange, "act": s.useConfiguration, "act2": s.useConfiguration,
			"renew": s.sendRenewal, "renew2": s.sendRenewal, "deliver": s.deliverMessage, "deliver2": s.deliverMessage, "deliver3": s.deliverMessage, "": s.checkExpiry,
		})
	})
}

// Guards against a renewal from an earlier incarnation of an entry that extends
// the lease of the current one, and against a grantor that grants leases or
// reports them as expired while it does not lead.
func TestGrantor(t *testing.T) {
	g := lease.NewGrantor()
	c := configuration.Configuration{}.WithRevision(3)
	if got := g.Renew(0, c, lease.Renewal{Entry: "e1", Incarnation: 2}); got.Granted || g.Expired(1<<40, "e1", 1) {
		t.Errorf("without leading: got %+v and expired %v, want neither", got, g.Expired(1<<40, "e1", 1))
	}
	g.StartTerm(0, 7)
	if got := g.Renew(0, c, lease.Renewal{Entry: "e1", Incarnation: 2, Revision: 3}); !got.Granted || got.Configuration != nil || got.Term != 7 {
		t.Errorf("current entry: got %+v, want a grant of term 7 without configuration", got)
	}
	if got := g.Renew(0, c, lease.Renewal{Entry: "e1", Incarnation: 1}); got.Granted {
		t.Errorf("earlier incarnation: got %+v, want no grant", got)
	}
	for _, tt := range []struct {
		at          clock.Millis
		entry       string
		incarnation uint64
		want        bool
	}{{1, "e1", 1, true}, {1, "e1", 2, false}, {1, "e2", 1, false}, {3100, "e1", 2, true}, {3100, "e2", 1, true}} {
		if got := g.Expired(tt.at, tt.entry, tt.incarnation); got != tt.want {
			t.Errorf("expired(%d, %s, %d): got %v, want %v", tt.at, tt.entry, tt.incarnation, got, tt.want)
		}
	}
}

// Guards against a grant that extends the lease although it must not: one for
// an unknown or already answered renewal, one with an older revision or term,
// or one with a newer revision but without its configuration.
func TestHolderAccepts(t *testing.T) {
	configurationAt := func(revision uint64) *configuration.Configuration {
		c := configuration.Configuration{}.WithRevision(revision)
		return &c
	}
	valid := lease.Grant{Granted: true, Duration: lease.Duration, Term: 5, Revision: 4, Configuration: configurationAt(4)}
	tests := []struct {
		name   string
		number uint64
		change func(g *lease.Grant)
		want   bool
	}{
		{"valid", 2, func(*lease.Grant) {}, true},
		{"unknown request", 3, func(*lease.Grant) {}, false},
		{"answered before", 1, func(*lease.Grant) {}, false},
		{"refused", 2, func(g *lease.Grant) { g.Granted = false }, false},
		{"older term", 2, func(g *lease.Grant) { g.Term = 4 }, false},
		{"older revision", 2, func(g *lease.Grant) { g.Revision, g.Configuration = 3, configurationAt(3) }, false},
		{"configuration missing", 2, func(g *lease.Grant) { g.Revision, g.Configuration = 5, nil }, false},
		{"another configuration", 2, func(g *lease.Grant) { g.Revision = 5 }, false},
		{"longer than allowed", 2, func(g *lease.Grant) { g.Duration = lease.Duration * 10 }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := lease.NewHolder("e1", 1, "", "")
			_, firstNumber := h.NextRenewal(0, 0, nil, false)
			h.Accept(0, firstNumber, valid)
			before := h.Expires()
			h.NextRenewal(1000, 0, nil, false)
			g := valid
			tt.change(&g)
			if got := h.Accept(1000, tt.number, g); got != tt.want {
				t.Errorf("accepted: got %v, want %v", got, tt.want)
			}
			if got := h.Expires() > before; got != tt.want {
				t.Errorf("extended: got %v, want %v", got, tt.want)
			}
			if h.Expires() > 1000+lease.Duration || h.Configuration().Revision() != 4 {
				t.Errorf("got expiry %d and revision %d, want at most %d and 4", h.Expires(), h.Configuration().Revision(), 1000+lease.Duration)
			}
		})
	}
}

// Guards against margins that are too small for clocks whose rates differ by
// 1%. Another entry could then take over a claim while its owner may still send
// the call.
func TestMargins(t *testing.T) {
	fast, slow := process{ratePerMille: 1005}, process{ratePerMille: 996}
	g, h := lease.NewGrantor(), lease.NewHolder("e1", 1, "", "")
	g.StartTerm(0, 1)
	renewal, number := h.NextRenewal(0, 0, nil, false)
	h.Accept(0, number, g.Renew(0, configuration.Configuration{}, renewal))
	for at := clock.Millis(0); at < 2*lease.Duration; at++ {
		if h.Valid(slow.clock(at)) && g.Expired(fast.clock(at), "e1", 1) {
			t.Fatalf("after %d ms the lease is valid at the holder and expired at the grantor", at)
		}
	}
}

// Guards against decoders of renewals and grants that panic or lose a field.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"entry":"e1","incarnation":1,"address":"a","availability_zone":"z","revision":2,"leaving":true,"claims":3,"models":[{"model":"m","waiting":1,"servers":2}]}`))
	f.Add([]byte(`{"granted":true,"lease_ms":3000,"term":1,"revision":2,"configuration":{"revision":2},"entries":[{"name":"e1"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := lease.DecodeRenewal(data); err == nil {
			encoded, err := lease.EncodeRenewal(r)
			if decodedAgain, decodeErr := lease.DecodeRenewal(encoded); err != nil || decodeErr != nil || !reflect.DeepEqual(decodedAgain, r) {
				t.Errorf("got %+v (%v, %v), want %+v", decodedAgain, err, decodeErr, r)
			}
		}
		if g, err := lease.DecodeGrant(data); err == nil {
			encoded, err := lease.EncodeGrant(g)
			if decodedAgain, decodeErr := lease.DecodeGrant(encoded); err != nil || decodeErr != nil || !reflect.DeepEqual(decodedAgain, g) {
				t.Errorf("got %+v (%v, %v), want %+v", decodedAgain, err, decodeErr, g)
			}
		}
	})
}

// Guards against a grant that repeats the list of entries to a holder that
// already has it, which made the leader's traffic grow with the square of the
// number of entries, and against a holder that keeps an outdated list.
func TestEntriesAreSentOnce(t *testing.T) {
	g := lease.NewGrantor()
	g.StartTerm(0, 1)
	current := configuration.Configuration{}
	firstHolder, secondHolder := lease.NewHolder("e1", 1, "a1", "z"), lease.NewHolder("e2", 1, "a2", "z")
	renew := func(now clock.Millis, h *lease.Holder) lease.Grant {
		r, number := h.NextRenewal(now, 0, nil, false)
		grant := g.Renew(now, current, r)
		h.Accept(now, number, grant)
		return grant
	}
	steps := []struct {
		now    clock.Millis
		holder *lease.Holder
		sent   int // number of entries in the grant
		known  int // number of entries that the holder knows afterwards
	}{
		{now: 0, holder: firstHolder, sent: 1, known: 1},
		{now: 1000, holder: firstHolder, sent: 0, known: 1},
		{now: 1100, holder: secondHolder, sent: 2, known: 2},
		{now: 2000, holder: firstHolder, sent: 2, known: 2},
		{now: 3000, holder: firstHolder, sent: 0, known: 2},
		{now: 5000, holder: firstHolder, sent: 1, known: 1},
	}
	for i, step := range steps {
		grant := renew(step.now, step.holder)
		if got, want := len(grant.Entries), step.sent; got != want {
			t.Errorf("step %d: entries in the grant: got %d, want %d", i, got, want)
		}
		if got, want := len(step.holder.Entries()), step.known; got != want {
			t.Errorf("step %d: entries known: got %d, want %d", i, got, want)
		}
	}
}
