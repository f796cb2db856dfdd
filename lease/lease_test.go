package lease_test

import (
	"flag"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/lease"
)

// Property tests draw the same cases in every run; -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}

const (
	leaderLease = 900 * clock.Millisecond
	// bound is the time from acceptance to "in force everywhere" in true time:
	// the lease on the slowest clock. The page promises 7 s.
	bound = lease.Duration * 102 / 100
)

// process has a clock of its own: another origin and a rate that differs by less
// than 1% from that of any other process.
type process struct {
	origin   clock.Millis
	perMille clock.Millis
}

func (p process) clock(at clock.Millis) clock.Millis { return p.origin + at*p.perMille/1000 }

// member is a control member that leads or led. It does not know that its term
// is over until its leader lease has ended.
type member struct {
	process
	grantor    *lease.Grantor
	applied    configuration.Configuration
	term       uint64
	leaseUntil clock.Millis // true time
}

type entry struct {
	process
	holder   *lease.Holder
	revision uint64 // newest that it acted on
}

// message is a renewal on its way, or the grant that answers it.
type message struct {
	entry   *entry
	number  uint64
	renewal lease.Renewal
	grant   *lease.Grant
}

// world is a group with one current leader, former leaders that still believe
// that they lead, and entries that freeze when they are not stepped.
type world struct {
	at       clock.Millis // true time
	members  []*member    // the last one leads
	accepted []clock.Millis
	network  []message
	entries  []*entry
}

func drawProcess(t *rapid.T) process {
	return process{
		origin:   clock.Millis(rapid.IntRange(0, 100_000).Draw(t, "origin")),
		perMille: clock.Millis(rapid.IntRange(996, 1004).Draw(t, "rate")),
	}
}

func (w *world) leader() *member { return w.members[len(w.members)-1] }

func (w *world) pass(t *rapid.T) {
	w.at += clock.Millis(rapid.SampledFrom([]int{1, 50, 400, 900, 2500}).Draw(t, "time"))
}

// elect replaces the leader once its lease has ended. The new one has applied
// everything that was accepted.
func (w *world) elect(t *rapid.T) {
	former := w.leader()
	if w.at < former.leaseUntil {
		return
	}
	m := &member{process: drawProcess(t), grantor: lease.NewGrantor(), applied: former.applied, term: former.term + 1}
	m.grantor.StartTerm(m.clock(w.at), m.term)
	w.members = append(w.members, m)
	w.heartbeat(t)
}

func (w *world) heartbeat(*rapid.T) { w.leader().leaseUntil = w.at + leaderLease }

func (w *world) accept(*rapid.T) {
	l := w.leader()
	c, err := class.New("clause-query", 1, clock.Millis(l.applied.Revision()+1), class.FirstToken)
	if err != nil {
		panic(err)
	}
	l.applied = l.applied.WithClass(c).WithRevision(l.applied.Revision() + 1)
	w.accepted = append(w.accepted, w.at)
}

func (w *world) renew(t *rapid.T) {
	e := rapid.SampledFrom(w.entries).Draw(t, "entry")
	renewal, number := e.holder.NextRenewal(e.clock(w.at), 0, nil, false)
	w.network = append(w.network, message{entry: e, number: number, renewal: renewal})
}

// deliver lets any message arrive, at any member that ever led.
func (w *world) deliver(t *rapid.T) {
	if len(w.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.network)-1).Draw(t, "message")
	m := w.network[i]
	if rapid.IntRange(0, 3).Draw(t, "doubled") > 0 {
		w.network = slices.Delete(w.network, i, i+1)
	}
	if m.grant != nil {
		m.entry.holder.Accept(m.entry.clock(w.at), m.number, *m.grant)
		return
	}
	if grant, ok := rapid.SampledFrom(w.members).Draw(t, "member").answer(w.at, m.renewal); ok {
		w.network = append(w.network, message{entry: m.entry, number: m.number, grant: &grant})
	}
}

func (m *member) answer(at clock.Millis, r lease.Renewal) (lease.Grant, bool) {
	if at >= m.leaseUntil {
		return lease.Grant{}, false
	}
	return m.grantor.Renew(m.clock(at), m.applied, r), true
}

// act lets an entry start work if it may, as after the last wait.
func (w *world) act(t *rapid.T) {
	e := rapid.SampledFrom(w.entries).Draw(t, "entry")
	if !e.holder.Valid(e.clock(w.at)) {
		return
	}
	c := e.holder.Configuration()
	if c.Revision() < e.revision {
		t.Fatalf("revision went back from %d to %d", e.revision, c.Revision())
	}
	e.revision = c.Revision()
	if k, ok := c.Class("clause-query"); c.Revision() > 0 && (!ok || k.Target() != clock.Millis(c.Revision())) {
		t.Fatalf("revision %d has the target %d", c.Revision(), k.Target())
	}
	if int(c.Revision()) < len(w.accepted) && w.at-w.accepted[c.Revision()] > bound {
		t.Fatalf("revision %d is in force %d ms after %d was accepted", c.Revision(), w.at-w.accepted[c.Revision()], c.Revision()+1)
	}
}

// check compares the grantor's view with the entries: a lease that the leader
// calls expired is not valid.
func (w *world) check(t *rapid.T) {
	l := w.leader()
	for i, e := range w.entries {
		if e.holder.Valid(e.clock(w.at)) && l.grantor.Expired(l.clock(w.at), fmt.Sprintf("e%d", i), 1) {
			t.Fatalf("the leader calls the valid lease of entry %d expired", i)
		}
	}
}

// Guards against an entry that acts on a configuration for longer than the bound
// after a newer one was accepted, goes back to an older one, or is called expired
// while it acts. Messages are lost, late, doubled and reordered, entries freeze,
// leaders change, and former leaders still answer.
func TestBoundAndNoReversal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{}
		first := &member{process: drawProcess(t), grantor: lease.NewGrantor(), term: 1, leaseUntil: leaderLease}
		first.grantor.StartTerm(first.clock(0), 1)
		w.members = []*member{first}
		for i := range 2 {
			w.entries = append(w.entries, &entry{process: drawProcess(t), holder: lease.NewHolder(fmt.Sprintf("e%d", i), 1, "", "")})
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": w.pass, "elect": w.elect, "heartbeat": w.heartbeat, "accept": w.accept, "act": w.act, "act2": w.act,
			"renew": w.renew, "renew2": w.renew, "deliver": w.deliver, "deliver2": w.deliver, "deliver3": w.deliver, "": w.check,
		})
	})
}

// Guards against a renewal of an earlier life of an entry that prolongs the lease
// of the present one, and against a grantor that judges leases while it does not
// lead.
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
		t.Errorf("earlier life: got %+v, want no grant", got)
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

// Guards against a grant that prolongs the lease and must not: an unanswered or
// doubled number, an older revision or term, or a newer revision without its
// configuration.
func TestHolderAccepts(t *testing.T) {
	at := func(revision uint64) *configuration.Configuration {
		c := configuration.Configuration{}.WithRevision(revision)
		return &c
	}
	valid := lease.Grant{Granted: true, Duration: lease.Duration, Term: 5, Revision: 4, Configuration: at(4)}
	tests := []struct {
		name   string
		number uint64
		change func(g *lease.Grant)
		want   bool
	}{
		{"valid", 2, func(*lease.Grant) {}, true},
		{"never asked", 3, func(*lease.Grant) {}, false},
		{"answered before", 1, func(*lease.Grant) {}, false},
		{"refused", 2, func(g *lease.Grant) { g.Granted = false }, false},
		{"older term", 2, func(g *lease.Grant) { g.Term = 4 }, false},
		{"older revision", 2, func(g *lease.Grant) { g.Revision, g.Configuration = 3, at(3) }, false},
		{"configuration missing", 2, func(g *lease.Grant) { g.Revision, g.Configuration = 5, nil }, false},
		{"another configuration", 2, func(g *lease.Grant) { g.Revision = 5 }, false},
		{"longer than allowed", 2, func(g *lease.Grant) { g.Duration = lease.Duration * 10 }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := lease.NewHolder("e1", 1, "", "")
			_, first := h.NextRenewal(0, 0, nil, false)
			h.Accept(0, first, valid)
			before := h.Expires()
			h.NextRenewal(1000, 0, nil, false)
			g := valid
			tt.change(&g)
			if got := h.Accept(1000, tt.number, g); got != tt.want {
				t.Errorf("accepted: got %v, want %v", got, tt.want)
			}
			if got := h.Expires() > before; got != tt.want {
				t.Errorf("prolonged: got %v, want %v", got, tt.want)
			}
			if h.Expires() > 1000+lease.Duration || h.Configuration().Revision() != 4 {
				t.Errorf("got expiry %d and revision %d, want at most %d and 4", h.Expires(), h.Configuration().Revision(), 1000+lease.Duration)
			}
		})
	}
}

// Guards against margins that do not cover clocks whose rates differ by 1%: a
// claim would be taken over while its owner may still send it.
func TestMargins(t *testing.T) {
	fast, slow := process{perMille: 1005}, process{perMille: 996}
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

// Guards against decoders of peer messages that panic or lose a field.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"entry":"e1","incarnation":1,"address":"a","availability_zone":"z","revision":2,"leaving":true,"claims":3,"models":[{"model":"m","waiting":1,"servers":2}]}`))
	f.Add([]byte(`{"granted":true,"lease_ms":3000,"term":1,"revision":2,"configuration":{"revision":2},"entries":[{"name":"e1"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := lease.DecodeRenewal(data); err == nil {
			encoded, err := lease.EncodeRenewal(r)
			if again, err2 := lease.DecodeRenewal(encoded); err != nil || err2 != nil || !reflect.DeepEqual(again, r) {
				t.Errorf("got %+v (%v, %v), want %+v", again, err, err2, r)
			}
		}
		if g, err := lease.DecodeGrant(data); err == nil {
			encoded, err := lease.EncodeGrant(g)
			if again, err2 := lease.DecodeGrant(encoded); err != nil || err2 != nil || !reflect.DeepEqual(again, g) {
				t.Errorf("got %+v (%v, %v), want %+v", again, err, err2, g)
			}
		}
	})
}

// Guards against a grant that repeats the list of entries to a holder that has
// it, which made the leader's traffic grow with the square of the entries, and
// against a holder that keeps an old list.
func TestEntriesAreSentOnce(t *testing.T) {
	g := lease.NewGrantor()
	g.StartTerm(0, 1)
	current := configuration.Configuration{}
	first, second := lease.NewHolder("e1", 1, "a1", "z"), lease.NewHolder("e2", 1, "a2", "z")
	renew := func(now clock.Millis, h *lease.Holder) lease.Grant {
		r, number := h.NextRenewal(now, 0, nil, false)
		grant := g.Renew(now, current, r)
		h.Accept(now, number, grant)
		return grant
	}
	steps := []struct {
		now    clock.Millis
		holder *lease.Holder
		sent   int // entries in the grant
		known  int // entries that the holder then knows
	}{
		{now: 0, holder: first, sent: 1, known: 1},
		{now: 1000, holder: first, sent: 0, known: 1},
		{now: 1100, holder: second, sent: 2, known: 2},
		{now: 2000, holder: first, sent: 2, known: 2},
		{now: 3000, holder: first, sent: 0, known: 2},
		{now: 5000, holder: first, sent: 1, known: 1},
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
