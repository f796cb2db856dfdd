package quarantine_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

const (
	service = "s"
	settled = 1 * clock.Second // older ends have settled
)

func newQuarantine(entry string) *quarantine.Quarantine {
	return quarantine.New(quarantine.Options{Entry: entry})
}

// run returns one run of a server.
func run(n int) quarantine.ServerRun {
	return quarantine.ServerRun{Server: fmt.Sprintf("server-%d", n), StartedAt: int64(n)}
}

// parts returns the IDs of a prompt's parts with a last part of its own.
func parts(ids ...string) []string { return append(ids, "own") }

// all returns all records.
func all(q *quarantine.Quarantine, now clock.Millis) quarantine.Report {
	r, _ := q.Report(now, quarantine.Position{})
	return r
}

// wantQuarantined fails the test unless exactly the given parts are quarantined.
func wantQuarantined(t interface {
	Helper()
	Errorf(format string, args ...any)
}, q *quarantine.Quarantine, now clock.Millis, want ...string) {
	t.Helper()
	var got []string
	for _, key := range q.Quarantined(now) {
		got = append(got, key.Part)
	}
	if !slices.Equal(got, want) {
		t.Errorf("quarantined: got %v, want %v", got, want)
	}
}

// Guards against a request that takes one server down after another, and against its other
// parts, which sound requests share, being quarantined with it.
func TestDeadlyPart(t *testing.T) {
	q := newQuarantine("a")
	for i := range 2 {
		q.RecordAnswer(0, service, parts("system"), false)
		q.RecordEnd(clock.Millis(i), service, parts("system", "deadly"), run(i), 0)
		wantQuarantined(t, q, settled)
	}
	q.RecordEnd(2, service, parts("system", "deadly"), run(2), 0)
	// Until other entries have told of whole answers, requests wait for the judgement.
	if v := q.Check(3, service, parts("system", "deadly"), 4); !v.Pending || v.Refused {
		t.Errorf("request before the judgement: got %+v, want it to be pending", v)
	}
	if v := q.Check(3, service, parts("system", "other"), 4); v.Pending || v.Refused {
		t.Errorf("other request before the judgement: got %+v, want it sent", v)
	}
	wantQuarantined(t, q, settled, "deadly")
	v := q.Check(settled, service, parts("system", "deadly"), 4)
	if got, want := v, (quarantine.Verdict{Refused: true, Part: quarantine.NewKey(service, "deadly"), Ends: 3}); got != want {
		t.Errorf("request with the part: got %+v, want %+v", got, want)
	}
	for name, ids := range map[string][]string{"other request": parts("system", "other"), "last part": {"system", "deadly"}, "no parts": nil} {
		if got := q.Check(settled, service, ids, 4); got.Refused || got.Probe {
			t.Errorf("%s: got %+v, want it sent", name, got)
		}
	}
	if got := q.Check(settled, "another", parts("deadly"), 4); got.Refused {
		t.Errorf("the part at another service: got %+v, want it sent", got)
	}
}

// Guards against a part that always comes with a deadly one and is blamed beside it, or in
// its place once a server ends by chance: the ends that a quarantined part explains do not
// count against others.
func TestEndsAreExplainedOnce(t *testing.T) {
	q := newQuarantine("a")
	for i := range 6 {
		q.RecordEnd(clock.Millis(i), service, parts("caller", "deadly"), run(i), 0)
	}
	wantQuarantined(t, q, settled, "deadly")
	for i := range 2 {
		q.RecordEnd(10, service, parts("caller", "x"), run(10+i), 0)
	}
	wantQuarantined(t, q, settled, "deadly")
	q.RecordEnd(11, service, parts("caller", "y"), run(12), 0)
	wantQuarantined(t, q, settled, "caller", "deadly")
}

// Guards against the second server that one request takes down once its part is suspect, and
// against sound requests that are not repeated after their server was lost by chance.
func TestMayRepeat(t *testing.T) {
	q := newQuarantine("a")
	q.RecordEnd(0, service, parts("p"), run(1), 0)
	if !q.MayRepeat(service, parts("p")) {
		t.Error("after one end: got no repeat, want one")
	}
	q.RecordEnd(0, service, parts("p"), run(2), 0)
	if q.MayRepeat(service, parts("p")) {
		t.Error("after two ends: got a repeat, want none")
	}
	q.RecordAnswer(0, service, parts("p"), false)
	if !q.MayRepeat(service, parts("p")) {
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
		entries[i].RecordEnd(0, service, parts("p"), run(i), 0)
	}
	exchange(0)
	var probes []clock.Millis
	for now := settled; now < 5*clock.Minute; now += 100 {
		for _, q := range entries {
			if v := q.Check(now, service, parts("p"), len(entries)); v.Probe {
				probes = append(probes, now)
				q.RecordEnd(now, service, parts("p"), run(servers), 0)
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
		if v := q.Check(now, service, parts("p"), len(entries)); v.Probe {
			q.RecordAnswer(now, service, parts("p"), true)
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
	for i := range 3 {
		a.RecordEnd(0, service, parts("p"), run(i), 0)
	}
	b.Merge(10, all(a, 10))
	wantQuarantined(t, b, settled, "p")
	if !b.Release(settled, quarantine.NewKey(service, "p")) {
		t.Error("release of a known part: got false, want true")
	}
	a.Merge(settled, all(b, settled))
	wantQuarantined(t, a, settled)
	for i := range 3 {
		a.RecordEnd(2*settled, service, parts("p"), run(10+i), 0)
	}
	wantQuarantined(t, a, 3*settled, "p")
}

// Guards against memory that grows with what callers send, and against made-up parts that
// push out the records of a quarantined one.
func TestBounds(t *testing.T) {
	q := newQuarantine("a")
	for i := range 3 {
		q.RecordEnd(0, service, parts("p"), run(i), 0)
	}
	for i := range 5000 {
		q.RecordAnswer(1, service, parts(fmt.Sprintf("answered-%d", i)), false)
		q.RecordEnd(clock.Millis(i), service, parts(fmt.Sprintf("made-up-%d", i)), run(3+i), 0)
	}
	if got, want := len(all(q, 5000).Ends), 128+2; got > want {
		t.Errorf("ends: got %d, want at most %d", got, want)
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

// Guards against reports that grow with what is known in place of what is new: when many servers
// ended at once, each watch carried all records, and the control leader lost its quorum over
// that work. What another process has told is not news either once both have it.
func TestReportsHoldWhatIsNew(t *testing.T) {
	a, b := newQuarantine("a"), newQuarantine("b")
	for i := range 200 {
		a.RecordEnd(clock.Millis(i), service, parts(fmt.Sprint(i)), run(i), 0)
	}
	first, known := a.Report(200, quarantine.Position{})
	b.Merge(200, first)
	_, knownOfB := b.Report(200, quarantine.Position{})
	b.Merge(200, first)
	if r, _ := b.Report(200, knownOfB); !r.IsEmpty() {
		t.Errorf("after the same report again: got %d ends, want none", len(r.Ends))
	}
	if r, _ := a.Report(200, known); !r.IsEmpty() {
		t.Errorf("without news: got %d ends, want none", len(r.Ends))
	}
	a.RecordEnd(201, service, parts("new"), run(1000), 0)
	if r, _ := a.Report(201, known); len(r.Ends) != 1 {
		t.Errorf("one new end: got %d ends, want 1", len(r.Ends))
	}
	if r, _ := a.Report(201, quarantine.Position{Instance: known.Instance + 1, Number: known.Number}); len(r.Ends) != len(first.Ends) {
		t.Errorf("position of another process: got %d ends, want all %d", len(r.Ends), len(first.Ends))
	}
}

// observation is something that one entry has seen.
type observation struct {
	entry int
	ids   []string
	run   int // server run that ended; -1 for a whole answer
}

// Guards against entries that judge differently because reports reached them in another
// order, late or twice; against a part with enough whole answers that is quarantined; and
// against a deadly part that is not, although it has ended enough servers.
func TestJudgementAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		observations := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) observation {
			return observation{
				entry: rapid.IntRange(0, 2).Draw(t, "entry"), ids: rapid.SliceOfNDistinct(id, 1, 3, rapid.ID[string]).Draw(t, "ids"),
				run: rapid.IntRange(-1, 6).Draw(t, "run"),
			}
		}), 0, 40).Draw(t, "observations")
		entries := []*quarantine.Quarantine{newQuarantine("e0"), newQuarantine("e1"), newQuarantine("e2")}
		answers := map[string]int{}
		runs := map[string]map[int]bool{}
		for _, o := range observations {
			if o.run < 0 {
				entries[o.entry].RecordAnswer(0, service, parts(o.ids...), false)
			} else {
				entries[o.entry].RecordEnd(0, service, parts(o.ids...), run(o.run), 0)
			}
			for _, part := range o.ids {
				if o.run < 0 {
					answers[part]++
				} else {
					if runs[part] == nil {
						runs[part] = map[int]bool{}
					}
					runs[part][o.run] = true
				}
			}
		}
		for range 3 { // what the third one tells the first reaches the second one round later
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				for j, to := range entries {
					if i != j {
						to.Merge(0, all(entries[i], 0))
					}
				}
			}
		}
		first := entries[0].Quarantined(settled)
		for i, q := range entries {
			if got := q.Quarantined(settled); !slices.Equal(got, first) {
				t.Errorf("entry %d: got %v, want %v as at entry 0", i, got, first)
			}
			if got, want := all(q, settled).Ends, all(entries[0], settled).Ends; !slices.Equal(got, want) {
				t.Errorf("ends at entry %d: got %v, want %v as at entry 0", i, got, want)
			}
		}
		quarantinedRuns := map[int]bool{}
		for _, key := range first {
			if n := answers[key.Part]; n >= 5 || len(runs[key.Part]) < 3+3*n {
				t.Errorf("%s is quarantined after %d ends and %d whole answers", key.Part, len(runs[key.Part]), n)
			}
			for n := range runs[key.Part] {
				quarantinedRuns[n] = true
			}
		}
		for part, ended := range runs {
			unexplained := 0
			for n := range ended {
				if !quarantinedRuns[n] {
					unexplained++
				}
			}
			if answers[part] == 0 && unexplained >= 3 {
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
				q.RecordEnd(0, service, parts(fmt.Sprint(i)), run(i), 0)
			}
			ids := parts("x", "y")
			for b.Loop() {
				q.Check(settled, service, ids, 4)
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
		q.RecordEnd(clock.Millis(5*i), service, parts("system", fmt.Sprint("session-", i%8)), run(i), 100)
	}
	wantQuarantined(t, q, 100+settled)
	for i := range 20 {
		q.RecordEnd(8*clock.Second+clock.Millis(5*i), service, parts("system", fmt.Sprint("session-", i%8)), run(100+i), 100)
	}
	wantQuarantined(t, q, 9*clock.Second+settled)
	if v := q.Check(9*clock.Second+settled, service, parts("system", "session-1"), 4); v.Refused {
		t.Errorf("proper request: got %+v, want it not refused", v)
	}
}
