package metering_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/duty"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/metering"
)

const (
	windowLength = 5 * clock.Second
	lateness     = 10 * clock.Second
	holderLease  = 3 * clock.Second
	leaderLease  = 600 * clock.Millisecond
	startUnix    = 1_700_000_000_000
	entryCount   = 4
	memberCount  = 3
)

// schedule runs entries, members and a receiver without a network. All of them share one clock; a step
// advances it. A replicated log is a list of commands that all members apply in its order.
type schedule struct {
	t       *rapid.T
	clock   clock.Clock
	manual  *clock.Manual
	entries [entryCount]*entry
	members [memberCount]*member
	log     []metering.Command
	late    []metering.Command // proposals that are not committed yet

	leader   int // -1 if nobody leads
	term     uint64
	leaseEnd clock.Millis

	counted  map[metering.Window]uint64 // requests that entries have counted, also those that died
	mayMiss  map[metering.Window]uint64 // of them, those that nobody was told of in time
	dead     []*entry                   // killed entries
	receiver receiver
}

// entry is one process of an entry.
type entry struct {
	book       *metering.Book
	exchange   gossip.Exchange[metering.Report]
	asked      int    // the member that it exchanged with last
	askedTerm  uint64 // the term in which that member led
	told       map[metering.Window]uint64
	counted    map[metering.Window]uint64
	cut        bool
	diedAt     clock.Millis
	generation int
}

// member is one process of a member.
type member struct {
	book    *metering.Book
	holder  *duty.Holder
	state   metering.State
	applied int
	since   clock.Millis // Unix time at which the member began to collect in its term
	term    uint64
}

// receiver is the platform. It checks what it is sent and carries out some calls late.
type receiver struct {
	token    uint64
	holders  map[uint64]string
	contents map[metering.Window]string
	first    map[metering.Window]metering.Counts
	at       map[metering.Window]clock.Millis
	delayed  []delayedCall
}

type delayedCall struct {
	fence    duty.Fence
	decision metering.Decision
}

func (s *schedule) now() clock.Millis  { return s.clock.Now() }
func (s *schedule) unix() clock.Millis { return startUnix + s.now() }

func (s *schedule) startEntry(i, generation int) {
	e := &entry{asked: -1, told: map[metering.Window]uint64{}, counted: map[metering.Window]uint64{}, generation: generation}
	e.book = metering.NewBook(windowLength, fmt.Sprintf("entry-%d/%d", i, generation), s.unix)
	e.exchange = gossip.NewExchange[metering.Report](e.book)
	s.entries[i] = e
}

// startMember starts the process of a member, whose log is on disk.
func (s *schedule) startMember(i int) {
	m := &member{book: metering.NewBook(windowLength, "", s.unix)}
	m.holder = duty.NewHolder(duty.Options{
		Name: fmt.Sprintf("m-%d", i), HolderLease: holderLease, CallsPerSecond: 50, Clock: s.clock,
		Leadership: func() duty.Leadership {
			if s.leader != i {
				return duty.Leadership{}
			}
			return duty.Leadership{Term: s.term, LeaseRemaining: max(s.leaseEnd-s.now(), 0)}
		},
	})
	s.members[i] = m
}

func (m *member) apply(log []metering.Command) {
	for ; m.applied < len(log); m.applied++ {
		m.state.Apply(log[m.applied])
	}
}

// leads returns the member that holds the leader lease.
func (s *schedule) leads() (*member, bool) {
	if s.leader < 0 || s.leaseEnd <= s.now() {
		return nil, false
	}
	return s.members[s.leader], true
}

// watch exchanges the counts of an entry with the leader. The answer may be lost.
func (s *schedule) watch(e *entry, answerLost bool) {
	m, ok := s.leads()
	if !ok || e.cut {
		return
	}
	report, _ := e.exchange.Next(s.now())
	data, err := json.Marshal(metering.ToWire(report))
	if err != nil {
		s.t.Fatal(err)
	}
	var wire []metering.WireInstance
	if err := json.Unmarshal(data, &wire); err != nil {
		s.t.Fatal(err)
	}
	m.book.Merge(s.now(), metering.FromWire(wire))
	if answerLost {
		return
	}
	wasKnown := e.asked == s.leader && e.askedTerm == s.term
	e.exchange.Apply(s.now(), nil, m.book.Position())
	e.book.SetTime(s.now(), s.unix())
	e.book.SetUndecided(s.now(), m.state.Next())
	e.asked, e.askedTerm = s.leader, s.term
	e.told = map[metering.Window]uint64{}
	if wasKnown { // the first exchange with a member only finds out that it is another one
		maps.Copy(e.told, e.counted)
	}
}

// decide lets the leader propose its next command. The proposal may be late: then it is committed after
// others, or never.
func (s *schedule) decide(late bool) {
	m, ok := s.leads()
	if !ok {
		return
	}
	m.apply(s.log)
	f, mayAct := m.holder.Fence()
	if m.term != f.Token {
		m.term, m.since = f.Token, s.unix()
	}
	m.book.SetUndecided(s.now(), m.state.Next())
	cmd, _ := metering.Planner{Length: windowLength, Lateness: lateness}.Plan(s.now(), s.unix(), m.since, &m.state, m.book)
	if !mayAct {
		cmd.Decided = nil
	}
	for _, d := range cmd.Decided {
		s.allowUntold(d.Window)
	}
	switch {
	case cmd.IsEmpty():
	case late:
		s.late = append(s.late, cmd)
	default:
		s.log = append(s.log, cmd)
	}
}

// allowUntold notes what a decision may lack of entries that have not told it to the leader.
func (s *schedule) allowUntold(w metering.Window) {
	for _, e := range s.entries {
		s.mayMiss[w] += s.untold(e, w)
	}
}

// untold returns how many requests of a window an entry has not told to the newest leader.
func (s *schedule) untold(e *entry, w metering.Window) uint64 {
	if e.asked != s.leader || e.askedTerm != s.term {
		return e.counted[w]
	}
	return e.counted[w] - e.told[w]
}

// killEntry ends the process of an entry. What it had not told is lost.
func (s *schedule) killEntry(i int) {
	e := s.entries[i]
	for w := range e.counted {
		s.mayMiss[w] += s.untold(e, w)
	}
	e.diedAt = s.now()
	s.dead = append(s.dead, e)
	s.startEntry(i, e.generation+1)
}

// elect makes a member the leader of a new term.
func (s *schedule) elect(i int) {
	for _, e := range s.dead {
		// The counts of an entry that died shortly before, or while nobody led, may not be in the log.
		if s.now()-e.diedAt < 4*clock.Second+s.now()-s.leaseEnd {
			for w := range e.counted {
				s.mayMiss[w] += e.told[w]
			}
		}
	}
	s.leader, s.term, s.leaseEnd = i, s.term+1, s.now()+leaderLease
}

// receive is a call that arrives at the receiver.
func (s *schedule) receive(f duty.Fence, d metering.Decision) duty.Outcome {
	r := &s.receiver
	if other, ok := r.holders[f.Token]; ok && other != f.Holder {
		s.t.Fatalf("%s and %s use token %d", other, f.Holder, f.Token)
	}
	r.holders[f.Token] = f.Holder
	if f.Token < r.token {
		return duty.Superseded
	}
	r.token = f.Token
	data, err := json.Marshal(d.Counts)
	if err != nil {
		s.t.Fatal(err)
	}
	if former, ok := r.contents[d.Window]; ok && former != string(data) {
		s.t.Fatalf("window %d is reported as %s, and before as %s", d.Window, data, former)
	}
	if _, ok := r.contents[d.Window]; !ok {
		r.contents[d.Window], r.first[d.Window], r.at[d.Window] = string(data), d.Counts, s.unix()
	}
	return duty.Accepted
}

// send makes the next call of a member that believes that it is the holder.
func (s *schedule) send(m *member, what int) {
	pending := m.state.Pending()
	if len(pending) == 0 {
		return
	}
	f, ok := m.holder.Begin()
	if !ok {
		return
	}
	o := duty.Withheld
	if m.holder.MayAct(f) {
		switch what {
		case 0: // the answer is lost
			s.receive(f, pending[0])
			o = duty.Unknown
		case 1: // the call is carried out later
			s.receiver.delayed = append(s.receiver.delayed, delayedCall{f, pending[0]})
			o = duty.Unknown
		case 2:
			o = duty.Limited
		case 3:
			o = duty.Rejected
		case 4: // a conflict without a reason
			o = duty.Superseded
		default:
			o = s.receive(f, pending[0])
		}
	}
	m.holder.End(o)
	if o == duty.Accepted && s.leader >= 0 && s.members[s.leader] == m {
		s.log = append(s.log, metering.Command{Accepted: []metering.Window{pending[0].Window}})
	}
}

// step advances the time and lets everybody work. With faults, what happens is drawn.
func (s *schedule) step(faults bool) {
	draw := func(n int, name string) int {
		if !faults {
			return n - 1
		}
		return rapid.IntRange(0, n-1).Draw(s.t, name)
	}
	s.manual.Advance(200)
	if _, ok := s.leads(); ok && draw(12, "lease not renewed") > 0 {
		s.leaseEnd = s.now() + leaderLease
	}
	for i, e := range s.entries {
		for k := range 1 + (i+int(s.now()/200))%3 {
			w := e.book.Count(s.now(), fmt.Sprintf("w-%d", k))
			e.counted[w]++
			s.counted[w]++
		}
		s.watch(e, draw(8, "answer of a watch lost") == 0)
	}
	if faults {
		s.disturb()
	}
	for _, m := range s.members {
		if draw(4, "member lags") > 0 {
			m.apply(s.log)
		}
	}
	s.decide(draw(8, "proposal late") == 0)
	if m, ok := s.leads(); ok {
		m.apply(s.log)
		s.send(m, draw(12, "call"))
	}
}

// disturb does at most one harmful thing.
func (s *schedule) disturb() {
	switch rapid.IntRange(0, 25).Draw(s.t, "fault") {
	case 0:
		s.killEntry(rapid.IntRange(0, entryCount-1).Draw(s.t, "entry"))
	case 1:
		e := s.entries[rapid.IntRange(0, entryCount-1).Draw(s.t, "entry")]
		e.cut = !e.cut
	case 2: // the leader is killed, and its process starts again
		if s.leader >= 0 {
			s.startMember(s.leader)
			s.leaseEnd = min(s.leaseEnd, s.now())
		}
	case 3, 4, 5:
		if s.leaseEnd <= s.now() {
			s.elect(rapid.IntRange(0, memberCount-1).Draw(s.t, "member"))
		}
	case 6: // the processes of all members end
		for i := range s.members {
			s.startMember(i)
		}
		s.leaseEnd = min(s.leaseEnd, s.now())
	case 8:
		s.log, s.late = append(s.log, s.late...), nil
	case 7: // everything stands still
		s.manual.Advance(clock.Millis(rapid.IntRange(0, 6000).Draw(s.t, "suspended")))
	default:
		if d := s.receiver.delayed; len(d) > 0 {
			s.receive(d[0].fence, d[0].decision)
			s.receiver.delayed = d[1:]
		}
	}
}

// Guards against two reports of one window that differ, two holders with one token, requests that are
// counted twice, requests that were told and are missing, windows that are never reported, and windows
// that are late although somebody led: entries and leaders are killed, cut off and suspended, and messages,
// proposals, calls and answers are lost, late or refused.
func TestReportsOverSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, manual := clock.NewManual(startUnix)
		s := &schedule{
			t: t, clock: c, manual: manual, leader: -1, counted: map[metering.Window]uint64{}, mayMiss: map[metering.Window]uint64{},
			receiver: receiver{
				holders: map[uint64]string{}, contents: map[metering.Window]string{}, first: map[metering.Window]metering.Counts{}, at: map[metering.Window]clock.Millis{},
			},
		}
		for i := range s.entries {
			s.startEntry(i, 0)
		}
		for i := range s.members {
			s.startMember(i)
		}
		s.elect(0)
		s.log = []metering.Command{{First: metering.Window(startUnix / windowLength)}}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			s.step(true)
		}
		s.recover()
	})
}

// recover ends all faults and checks that everything that was counted until then is reported.
func (s *schedule) recover() {
	for _, e := range s.entries {
		e.cut = false
	}
	s.manual.Advance(leaderLease)
	s.elect(0)
	last := metering.Window(s.unix() / windowLength)
	healedAt := s.unix()
	for range 300 {
		s.step(false)
	}
	for _, d := range s.receiver.delayed {
		s.receive(d.fence, d.decision)
	}
	for w := metering.Window(startUnix / windowLength); w <= last+8; w++ {
		reported, ok := s.receiver.first[w]
		if !ok {
			s.t.Errorf("window %d of up to %d was not reported", w, last)
			continue
		}
		if got, most := reported.Total(), s.counted[w]; got > most || got+s.mayMiss[w] < most {
			s.t.Errorf("window %d: got %d requests, want %d less at most %d", w, got, most, s.mayMiss[w])
		}
		end := clock.Millis(w+1) * windowLength
		if end > healedAt+holderLease && s.receiver.at[w] > end+lateness {
			s.t.Errorf("window %d was reported %d ms after its end, want %d at most", w, s.receiver.at[w]-end, lateness)
		}
	}
}

// Guards against windows of wrong clocks: a minority of machines whose clocks are wrong by any amount must
// not move the time.
func TestTimelineIgnoresMinority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const unixAtZero, largestError = 1_000_000_000, 20
		var timeline metering.Timeline
		machines := rapid.IntRange(3, 15).Draw(t, "machines")
		wrong := rapid.IntRange(0, (machines-1)/2).Draw(t, "wrong clocks")
		offsets := make([]clock.Millis, machines)
		now := clock.Millis(0)
		for range 20 {
			now += 200
			for i := range machines {
				switch {
				case i >= wrong:
					offsets[i] = clock.Millis(rapid.IntRange(-largestError, largestError).Draw(t, "error"))
				case rapid.IntRange(0, 5).Draw(t, "jump") == 0:
					offsets[i] = clock.Millis(rapid.IntRange(-20_000, 20_000).Draw(t, "offset"))
				}
				timeline.Observe(now, fmt.Sprint(i), unixAtZero+now+offsets[i])
			}
			got, ok := timeline.Unix(now)
			if want := now > 1000; ok != want && now != 1200 {
				t.Fatalf("at %d: known %v, want %v", now, ok, want)
			}
			if ok && max(got-unixAtZero-now, unixAtZero+now-got) > largestError {
				t.Fatalf("at %d: %d ms from the true time, want at most %d", now, got-unixAtZero-now, largestError)
			}
		}
	})
}

// Guards against a snapshot that loses decisions, counts or the next window.
func TestStateCodec(t *testing.T) {
	var s metering.State
	s.Apply(metering.Command{First: 7})
	s.Apply(metering.Command{Decided: []metering.Decision{{Window: 7, Counts: metering.Counts{"a": 1}}, {Window: 8, Counts: metering.Counts{}}}})
	s.Apply(metering.Command{Kept: metering.Report{{Instance: "e/1", Windows: map[metering.Window]metering.Counts{8: {"a": 9}, 9: {"a": 2}}}}})
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := metering.DecodeState(data)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Next() != 9 || len(decoded.Pending()) != 2 || decoded.Pending()[0].Counts["a"] != 1 {
		t.Errorf("got next %d and %v, want 9 and the reports of 7 and 8", decoded.Next(), decoded.Pending())
	}
	book := metering.NewBook(1000, "", nil)
	got, _ := metering.Planner{Length: 1000, Lateness: 10_000}.Plan(0, 15_000, 0, &decoded, book)
	i := slices.IndexFunc(got.Decided, func(d metering.Decision) bool { return d.Window == 9 })
	if i < 0 || got.Decided[i].Counts["a"] != 2 {
		t.Errorf("decisions: got %v, want 2 requests in window 9", got.Decided)
	}
	if _, err := metering.DecodeState([]byte("{")); err == nil {
		t.Error("cut state: got no error, want one")
	}
}

// Guards against a second content of a window: a decision that a former leader has proposed, or one that was
// proposed twice, has no effect once the window is decided, also after its report was accepted. One about a
// later window than the next would leave a window out.
func TestFirstDecisionStands(t *testing.T) {
	var s metering.State
	decide := func(w metering.Window, n uint64) {
		s.Apply(metering.Command{Decided: []metering.Decision{{Window: w, Counts: metering.Counts{"a": n}}}})
	}
	decide(7, 1)
	if got := len(s.Pending()); got != 0 {
		t.Errorf("before the first window is known: got %d decisions, want none", got)
	}
	s.Apply(metering.Command{First: 7})
	decide(9, 3)
	decide(7, 1)
	decide(7, 2)
	s.Apply(metering.Command{First: 6})
	decide(7, 3)
	if got := s.Pending(); len(got) != 1 || got[0].Counts["a"] != 1 || s.Next() != 8 {
		t.Errorf("got %v and next window %d, want 1 request in window 7, and 8", got, s.Next())
	}
	s.Apply(metering.Command{Accepted: []metering.Window{7}})
	decide(7, 2)
	if got := len(s.Pending()); got != 0 || s.Next() != 8 {
		t.Errorf("after window 7 was accepted: got %d decisions and next window %d, want none and 8", got, s.Next())
	}
}
