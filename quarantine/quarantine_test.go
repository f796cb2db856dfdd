package quarantine_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

const (
	service = "s"
	settled = 2 * clock.Second // older ends have settled
	apart   = 1 * clock.Second // between ends that have no cause in common
)

func newQuarantine(entry string) *quarantine.Quarantine {
	q := quarantine.New(quarantine.Options{Entry: entry})
	q.SetServerCounts(map[string]int{service: 100})
	return q
}

// run returns one run of a server.
func run(n int) quarantine.ServerRun {
	return quarantine.ServerRun{Server: fmt.Sprintf("server-%d", n), StartedAt: int64(n)}
}

// parts returns the IDs of a prompt's parts with a last part of its own.
func parts(ids ...string) []string { return append(ids, "own") }

// key returns the key of a part.
func key(part string) quarantine.Key { return quarantine.NewKey(service, part) }

// subject returns a request whose prompt has the given parts and a last part of its own.
func subject(ids ...string) quarantine.Subject {
	return quarantine.Subject{Service: service, Parts: parts(ids...)}
}

// all returns all records.
func all(q *quarantine.Quarantine, now clock.Millis) quarantine.Report {
	r, _ := allSince(q, now, gossip.Position{})
	return r
}

// allSince returns all reports after a position as one, and the position that they lead to.
func allSince(q *quarantine.Quarantine, now clock.Millis, position gossip.Position) (quarantine.Report, gossip.Position) {
	var whole quarantine.Report
	for {
		r, next := q.Report(now, position)
		if next == position {
			return whole, position
		}
		whole, position = whole.With(r), next
	}
}

// wantQuarantined fails the test unless exactly the given parts are quarantined.
func wantQuarantined(t interface {
	Helper()
	Errorf(format string, args ...any)
}, q *quarantine.Quarantine, now clock.Millis, want ...string) {
	t.Helper()
	var got []string
	for _, key := range q.Quarantined(now) {
		got = append(got, key.Text())
	}
	if !slices.Equal(got, want) {
		t.Errorf("quarantined: got %v, want %v", got, want)
	}
}

// endApart records the ends of servers first to first+count-1, one after another from a time on.
// It returns the time of the last one.
func endApart(q *quarantine.Quarantine, from clock.Millis, s quarantine.Subject, first, count int) clock.Millis {
	at := from
	for i := range count {
		at = from + clock.Millis(i)*apart
		q.RecordEnd(s, run(first+i), quarantine.Loss{Begun: true, At: at})
	}
	return at
}

// condemn records the ends of three servers, one after another from a time on, the last one under
// a trial of the last shared part. It returns the time of the last one.
func condemn(q *quarantine.Quarantine, from clock.Millis, s quarantine.Subject, first int) clock.Millis {
	at := endApart(q, from, s, first, 2) + apart
	q.RecordEnd(s, run(first+2), quarantine.Loss{Begun: true, At: at, Tried: key(s.Parts[len(s.Parts)-2])})
	return at
}

// Guards against a request that takes one server down after another, and against its other
// parts, which sound requests share, being quarantined with it.
func TestDeadlyPart(t *testing.T) {
	q := newQuarantine("a")
	now := clock.Millis(0)
	for i := range 2 {
		q.RecordSurvival(now, subject("system"), false)
		now = endApart(q, now+apart, subject("system", "deadly"), i, 1)
		wantQuarantined(t, q, now+settled)
	}
	if v := q.Check(now+1, subject("system", "deadly"), 4); !v.Trial || v.Refused || v.Pending {
		t.Errorf("first request with the suspect part: got %+v, want it sent as a trial", v)
	}
	q.BeginTrial(now+1, key("deadly"))
	if v := q.Check(now+2, subject("system", "deadly"), 4); !v.Pending || v.Refused {
		t.Errorf("request during the trial: got %+v, want it to be pending", v)
	}
	now += apart
	q.RecordEnd(subject("system", "deadly"), run(2), quarantine.Loss{Begun: true, At: now, Tried: key("deadly")})
	// Until other entries have told of survivals, requests wait for the judgement.
	if v := q.Check(now+1, subject("system", "deadly"), 4); !v.Pending || v.Refused {
		t.Errorf("request before the judgement: got %+v, want it to be pending", v)
	}
	if v := q.Check(now+1, subject("system", "other"), 4); v.Pending || v.Refused || v.Trial {
		t.Errorf("other request before the judgement: got %+v, want it sent", v)
	}
	now += settled
	wantQuarantined(t, q, now, "deadly")
	v := q.Check(now, subject("system", "deadly"), 4)
	if got, want := v, (quarantine.Verdict{Refused: true, Part: quarantine.NewKey(service, "deadly"), Ends: 3}); got != want {
		t.Errorf("request with the part: got %+v, want %+v", got, want)
	}
	for name, ids := range map[string][]string{"other request": parts("system", "other"), "last part": {"system", "deadly"}, "no parts": nil} {
		if got := q.Check(now, quarantine.Subject{Service: service, Parts: ids}, 4); got.Refused || got.Probe || got.Pending {
			t.Errorf("%s: got %+v, want it sent", name, got)
		}
	}
	if got := q.Check(now, quarantine.Subject{Service: "another", Parts: parts("deadly")}, 4); got.Refused || got.Pending {
		t.Errorf("the part at another service: got %+v, want it sent", got)
	}
}

// Guards against a part that always comes with a deadly one and is blamed beside it, or in
// its place once a server ends by chance: the ends that a quarantined part explains do not
// count against others.
func TestEndsAreExplainedOnce(t *testing.T) {
	q := newQuarantine("a")
	now := condemn(q, 0, subject("caller", "deadly"), 0)
	now = condemn(q, now+apart, subject("caller", "deadly"), 3)
	wantQuarantined(t, q, now+settled, "deadly")
	now = endApart(q, now+apart, subject("caller", "x"), 10, 2)
	wantQuarantined(t, q, now+settled, "deadly")
	now += apart
	q.RecordEnd(subject("caller", "y"), run(12), quarantine.Loss{Begun: true, At: now, Tried: key("caller")})
	wantQuarantined(t, q, now+settled, "caller", "deadly")
}

// Guards against the second server that one request takes down once its part is suspect, and
// against sound requests that are not repeated after their server was lost by chance.
func TestMayRepeat(t *testing.T) {
	q := newQuarantine("a")
	now := endApart(q, 0, subject("p"), 1, 1)
	if !q.MayRepeat(now, subject("p")) {
		t.Error("after one end: got no repeat, want one")
	}
	now = endApart(q, now+apart, subject("p"), 2, 1)
	if q.MayRepeat(now, subject("p")) {
		t.Error("after two ends: got a repeat, want none")
	}
	q.RecordSurvival(now, subject("p"), false)
	if !q.MayRepeat(now, subject("p")) {
		t.Error("after a whole answer: got no repeat, want one")
	}
}

// Guards against a quarantine that never ends, against probes that come often or together,
// and against one that goes on after a probe was answered whole.
func TestProbes(t *testing.T) {
	entries := []*quarantine.Quarantine{newQuarantine("a"), newQuarantine("b"), newQuarantine("c"), newQuarantine("d")}
	exchange := func(now clock.Millis) {
		for _, from := range entries {
			for _, to := range entries {
				to.Merge(now, all(from, now))
			}
		}
	}
	servers := 3
	for i := range servers {
		loss := quarantine.Loss{Begun: true, At: clock.Millis(i) * apart}
		if i == servers-1 {
			loss.Tried = key("p")
		}
		entries[i].RecordEnd(subject("p"), run(i), loss)
	}
	exchange(2 * apart)
	var probes []clock.Millis
	for now := 2*apart + settled; now < 5*clock.Minute; now += 100 {
		for _, q := range entries {
			if v := q.Check(now, subject("p"), len(entries)); v.Probe {
				probes = append(probes, now)
				q.RecordEnd(subject("p"), run(servers), quarantine.Loss{Begun: true, At: now})
				servers++
			}
		}
		exchange(now)
	}
	if got, want := len(probes), 4; got != want {
		t.Errorf("probes in five minutes: got %d at %v, want %d", got, probes, want)
	}
	for i := 1; i < len(probes); i++ {
		if i > 1 && probes[i]-probes[i-1] <= probes[i-1]-probes[i-2] {
			t.Errorf("probes at %v: want longer and longer pauses", probes)
		}
	}
	now := 30 * clock.Minute / 2
	for _, q := range entries {
		if v := q.Check(now, subject("p"), len(entries)); v.Probe {
			q.RecordSurvival(now, subject("p"), true)
			break
		}
	}
	exchange(now)
	for _, q := range entries {
		wantQuarantined(t, q, now)
	}
}

// Guards against an operator who cannot lift a quarantine at all entries.
func TestRelease(t *testing.T) {
	a, b := newQuarantine("a"), newQuarantine("b")
	now := condemn(a, 0, subject("p"), 0) + settled
	b.Merge(now, all(a, now))
	wantQuarantined(t, b, now, "p")
	if !b.Release(now, quarantine.NewKey(service, "p")) {
		t.Error("release of a known part: got false, want true")
	}
	a.Merge(now, all(b, now))
	wantQuarantined(t, a, now)
	now = condemn(a, now+apart, subject("p"), 10) + settled
	wantQuarantined(t, a, now, "p")
}

// Guards against memory that grows with what callers send, and against made-up parts that
// push out the records of a quarantined one.
func TestBounds(t *testing.T) {
	q := newQuarantine("a")
	condemn(q, 0, subject("p"), 0)
	for i := range 5000 {
		q.RecordSurvival(1, subject(fmt.Sprintf("answered-%d", i)), false)
		q.RecordEnd(subject(fmt.Sprintf("made-up-%d", i)), run(3+i), quarantine.Loss{Begun: true, At: 4*apart + clock.Millis(i)})
	}
	if got, want := len(all(q, 9000).Ends), 512+2; got > want {
		t.Errorf("ends: got %d, want at most %d", got, want)
	}
	if got, want := len(all(q, 9000).Servers), 512; got > want {
		t.Errorf("ended servers: got %d, want at most %d", got, want)
	}
	wantQuarantined(t, q, 10*clock.Second, "p")
	if got, want := q.Quarantined(10*clock.Minute), 1; len(got) != want {
		t.Errorf("after ten minutes: got %v, want %d part", got, want)
	}
	if got := q.Quarantined(clock.Hour); len(got) != 0 {
		t.Errorf("after an hour: got %v, want none", got)
	}
	if got := all(q, clock.Hour); !got.IsEmpty() {
		t.Errorf("records after an hour: got %+v, want none", got)
	}
}

// Guards against a part that is not held to be a suspect because another one is in the prompt many times, and against
// memory and reports that grow with the number of parts of a prompt.
func TestLongPromptsAreBounded(t *testing.T) {
	const requests, partsEach = 400, 1000
	q := newQuarantine("a")
	for i := range requests {
		now := clock.Millis(i) * 10
		ids := slices.Repeat([]string{"repeated"}, partsEach/2)
		for j := range partsEach / 2 {
			ids = append(ids, fmt.Sprintf("own-%d-%d", i, j))
		}
		s := subject(append(ids, "p")...)
		q.Check(now, s, 1)
		if i%200 == 199 {
			q.RecordEnd(s, run(i), quarantine.Loss{Begun: true, At: now})
		}
	}
	if got, want := len(all(q, requests*10).Ends), 2*16; got > want {
		t.Errorf("ends: got %d, want at most %d", got, want)
	}
	if got, want := len(q.Suspect(requests*10, quarantine.NewKey(service, "p")).Servers), 2; got != want {
		t.Errorf("servers that ended under the part: got %d, want %d", got, want)
	}
}

// Guards against reports that grow with what is known in place of what is new: when many servers
// ended at once, each watch carried all records, and the control leader lost its quorum over
// that work. What another process has told is not news either once both have it.
func TestReportsHoldWhatIsNew(t *testing.T) {
	a, b := newQuarantine("a"), newQuarantine("b")
	for i := range 600 {
		a.RecordEnd(subject(fmt.Sprint(i)), run(i), quarantine.Loss{Begun: true, At: clock.Millis(i)})
	}
	first, known := allSince(a, 600, gossip.Position{})
	b.Merge(600, first)
	_, knownOfB := allSince(b, 600, gossip.Position{})
	b.Merge(600, first)
	if r, _ := b.Report(600, knownOfB); !r.IsEmpty() {
		t.Errorf("after the same report again: got %d ends, want none", len(r.Ends))
	}
	if r, _ := a.Report(600, known); !r.IsEmpty() {
		t.Errorf("without news: got %d ends, want none", len(r.Ends))
	}
	a.RecordEnd(subject("new"), run(1000), quarantine.Loss{Begun: true, At: 601})
	if r, _ := a.Report(601, known); len(r.Ends) != 1 {
		t.Errorf("one new end: got %d ends, want 1", len(r.Ends))
	}
	if r, _ := allSince(a, 601, gossip.Position{Instance: known.Instance + 1, Number: known.Number}); len(r.Ends) != len(first.Ends) {
		t.Errorf("position of another process: got %d ends, want all %d", len(r.Ends), len(first.Ends))
	}
}

// observation is something that one entry has seen.
type observation struct {
	entry int
	ids   []string
	run   int  // server run that ended; -1 for a survival
	tried bool // the request was a trial of the last of the parts
}

// Guards against entries that judge differently because reports reached them in another
// order, late or twice; against a part with enough whole answers that is quarantined; and
// against a deadly part that is not, although it has ended enough servers one after another.
func TestJudgementAgainstNaive(t *testing.T) {
	const (
		unrelated = 3 * clock.Second // between ends, so that none is evidence for a common cause
		end       = 8 * unrelated
	)
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		observations := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) observation {
			return observation{
				entry: rapid.IntRange(0, 2).Draw(t, "entry"), ids: rapid.SliceOfNDistinct(id, 1, 3, rapid.ID[string]).Draw(t, "ids"),
				run: rapid.IntRange(-1, 6).Draw(t, "run"), tried: rapid.Bool().Draw(t, "tried"),
			}
		}), 0, 40).Draw(t, "observations")
		entries := []*quarantine.Quarantine{newQuarantine("e0"), newQuarantine("e1"), newQuarantine("e2")}
		answers := map[string]int{}
		runs := map[string]map[int]bool{}
		tried := map[string]map[int]bool{}
		for _, o := range observations {
			if o.run < 0 {
				entries[o.entry].RecordSurvival(0, subject(o.ids...), false)
			} else {
				loss := quarantine.Loss{Begun: true, At: clock.Millis(o.run) * unrelated}
				if o.tried {
					loss.Tried = key(o.ids[len(o.ids)-1])
				}
				entries[o.entry].RecordEnd(subject(o.ids...), run(o.run), loss)
			}
			for _, part := range o.ids {
				if o.run < 0 {
					answers[part]++
				} else {
					if runs[part] == nil {
						runs[part], tried[part] = map[int]bool{}, map[int]bool{}
					}
					runs[part][o.run] = true
					if o.tried && part == o.ids[len(o.ids)-1] {
						tried[part][o.run] = true
					}
				}
			}
		}
		for range 3 { // what the third one tells the first reaches the second one round later
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				for j, to := range entries {
					if i != j {
						to.Merge(end, all(entries[i], end))
					}
				}
			}
		}
		first := entries[0].Quarantined(end)
		for i, q := range entries {
			if got := q.Quarantined(end); !slices.Equal(got, first) {
				t.Errorf("entry %d: got %v, want %v as at entry 0", i, got, first)
			}
			if got, want := all(q, end).Ends, all(entries[0], end).Ends; !slices.Equal(got, want) {
				t.Errorf("ends at entry %d: got %v, want %v as at entry 0", i, got, want)
			}
		}
		quarantinedRuns := map[int]bool{}
		for _, key := range first {
			if n := answers[key.Text()]; n >= 5 || len(runs[key.Text()]) < 3+3*n || len(tried[key.Text()]) == 0 {
				t.Errorf("%s is quarantined after %d ends and %d survivals", key.Text(), len(runs[key.Text()]), n)
			}
			for n := range runs[key.Text()] {
				quarantinedRuns[n] = true
			}
		}
		for part, ended := range runs {
			unexplained, triedOnce := 0, false
			for n := range ended {
				if !quarantinedRuns[n] {
					unexplained++
					triedOnce = triedOnce || tried[part][n]
				}
			}
			if answers[part] == 0 && unexplained >= 3 && triedOnce {
				t.Errorf("%s is not quarantined after %d ends that no quarantined part explains", part, unexplained)
			}
		}
	})
}

// BenchmarkCheck shows what a request costs while no part is suspect, and while many are.
func BenchmarkCheck(b *testing.B) {
	for _, suspects := range []int{0, 128} {
		b.Run(fmt.Sprintf("%d suspects", suspects), func(b *testing.B) {
			q := newQuarantine("a")
			for i := range suspects {
				q.RecordEnd(subject(fmt.Sprint(i)), run(i), quarantine.Loss{Begun: true, At: 0})
			}
			ids := parts("x", "y")
			for b.Loop() {
				q.Check(settled, quarantine.Subject{Service: service, Parts: ids}, 4)
			}
		})
	}
}

// Guards against proper requests that are refused with status 400 after servers have ended
// together for a reason of their own (a rack, a power line), once or several times: the first
// part of their prompts was common to all requests there, and no answer was whole yet.
func TestServersThatEndTogetherExplainEachOther(t *testing.T) {
	q := newQuarantine("a")
	for i := range 20 {
		q.RecordEnd(subject("system", fmt.Sprint("session-", i%8)), run(i), quarantine.Loss{Begun: true, At: clock.Millis(5 * i), Answering: 100})
	}
	wantQuarantined(t, q, 100+settled)
	for i := range 20 {
		q.RecordEnd(subject("system", fmt.Sprint("session-", i%8)), run(100+i), quarantine.Loss{Begun: true, At: 8*clock.Second + clock.Millis(5*i), Answering: 100})
	}
	wantQuarantined(t, q, 9*clock.Second+settled)
	if v := q.Check(9*clock.Second+settled, subject("system", "session-1"), 4); v.Refused {
		t.Errorf("proper request: got %+v, want it not refused", v)
	}
}
