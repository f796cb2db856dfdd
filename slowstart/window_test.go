package slowstart_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/slowstart"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

const slots = 16

// Guards against entries that together send more requests at first than a few, however many they
// are, and against a server that no entry tries.
func TestEntriesTogetherStartWithFewRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 200).Draw(t, "entries")
		seed := rapid.Uint64().Draw(t, "seed")
		const turns, length = 400, 512 * clock.Millisecond
		allowed := 0
		for e := range entries {
			turns := slowstart.Turns{Key: seed ^ uint64(e+1)*0x9e3779b97f4a7c15, Length: length}
			for i := range 400 {
				// A window for each turn, so that the age does not end it.
				now := clock.Millis(i) * length
				w := slowstart.Begin(now, slots, entries)
				for own := 0; w.Allows(now, slowstart.Use{Own: own, Entries: entries}, turns); own++ {
					allowed++
				}
			}
		}
		const want = 2.0 // an eighth of the slots
		if got := float64(allowed) / turns; got < want*0.5 || got > want*1.5 {
			t.Fatalf("requests of all entries in a turn: got %.2f, want about %.0f", got, want)
		}
	})
}

// Guards against a window that grows without good answers, that a failure raises, that falls below
// its floor, where nobody would try the server again, or that never ends.
func TestWindowFollowsAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 100).Draw(t, "entries")
		now := clock.Millis(rapid.Int64Range(0, 1<<40).Draw(t, "start"))
		begun := now
		w := slowstart.Begin(now, slots, entries)
		floor := w.Size()
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			before := w.Size()
			sentAt := now
			now += clock.Millis(rapid.Int64Range(1, 900).Draw(t, "after"))
			if !w.Active(now) {
				break
			}
			if rapid.Bool().Draw(t, "fails") {
				w = w.WithFailure(now, sentAt)
				if got := w.Size(); got > before || got < floor || got > before/2 && got > floor {
					t.Fatalf("after a failure: got %v, before %v, floor %v", got, before, floor)
				}
				continue
			}
			slowness := rapid.Float64Range(0, 10).Draw(t, "slowness")
			w = w.WithAnswer(now, sentAt, slowness, 1e9)
			if got := w.Size(); slowness > 2 && got > before || got > before+1 || got < floor {
				t.Fatalf("after an answer of slowness %.1f: got %v, before %v, floor %v", slowness, got, before, floor)
			}
		}
		if end := begun + 30*clock.Second; w.Active(end) {
			t.Fatal("the window is active after its longest time")
		}
	})
}

// Guards against several reductions for the requests of one round: they were all sent while the
// window had its former size.
func TestOneReductionForEachRound(t *testing.T) {
	w := slowstart.Begin(0, slots, 1)
	for range 20 {
		w = w.WithAnswer(10, 5, 1, 1e9)
	}
	before := w.Size()
	for range 10 {
		w = w.WithFailure(20, 15)
	}
	if got, want := w.Size(), before/2; got != want {
		t.Errorf("after 10 failures of one round: got %v, want %v", got, want)
	}
	if w = w.WithFailure(40, 30); w.Size() != before/4 {
		t.Errorf("after a failure of the next round: got %v, want %v", w.Size(), before/4)
	}
}

// Guards against a server that is held back for a few slow answers or errors that other servers give
// as well, and against slow answers that are taken for good ones.
func TestAverageOfAnswersDecides(t *testing.T) {
	tests := []struct {
		name     string
		slowness []float64
		grows    bool
	}{
		{"like the others", []float64{1, 1, 1, 1, 1, 1}, true},
		{"one slow answer", []float64{1, 1, 4, 1, 1, 1}, true},
		{"one error in seven", []float64{1, 1, 1, slowstart.Failed, 1, 1, 1}, true},
		{"all slow", []float64{3, 3, 3, 3, 3, 3, 3, 3}, false},
		{"all errors", []float64{slowstart.Failed, slowstart.Failed, slowstart.Failed}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := slowstart.Begin(0, slots, 1)
			before := w.Size()
			now := clock.Millis(0)
			for _, s := range tt.slowness {
				now += 100
				w = w.WithAnswer(now, now-50, s, 1e9)
			}
			if got := w.Size() > before; got != tt.grows {
				t.Errorf("grows: got %t, want %t (from %v to %v)", got, tt.grows, before, w.Size())
			}
		})
	}
}

// Guards against a prompt that no server has cached being compared with cached ones.
func TestNormKeepsKindsOfWorkApart(t *testing.T) {
	var n slowstart.Norm
	if got := n.Slowness(0, 5000); got != 1 {
		t.Errorf("without samples: got %v, want 1", got)
	}
	for range 20 {
		n.Record(100, 50, 400)
		n.Record(10_000, 500, 800)
	}
	tests := []struct {
		tokens int
		time   clock.Millis
		want   float64
	}{
		{100, 50, 1}, {100, 500, 10}, {10_000, 500, 1}, {0, 1, 0.2}, {1 << 40, 700, 1}, {-5, 100, 2},
	}
	for _, tt := range tests {
		if got := n.Slowness(tt.tokens, tt.time); got != tt.want {
			t.Errorf("%d tokens in %d ms: got %v, want %v", tt.tokens, tt.time, got, tt.want)
		}
	}
}

// Guards against turns of no length, and against an overflow.
func TestTurnLength(t *testing.T) {
	tests := []struct{ requestTime, want clock.Millis }{
		{-1, 64}, {0, 64}, {64, 64}, {65, 128}, {1000, 1024}, {1 << 60, 2048},
	}
	for _, tt := range tests {
		if got := slowstart.TurnLength(tt.requestTime); got != tt.want {
			t.Errorf("%d: got %d, want %d", tt.requestTime, got, tt.want)
		}
	}
}

// Guards against a window that holds although the entries together have shown that the server takes as
// many requests as it has slots, and against entries that go on telling so after a relapse.
func TestWindowEndsByWhatOthersTell(t *testing.T) {
	w := slowstart.Begin(0, slots, 62)
	if got := w.Proven(1); got != 0 {
		t.Errorf("proven without answers: got %d, want 0", got)
	}
	for _, tt := range []struct {
		proven int
		holds  bool
	}{{-1, true}, {0, true}, {slots / 2, true}, {slots, false}, {1 << 62, false}} {
		if got := w.Holds(1, slowstart.Use{Proven: tt.proven, Entries: 62}); got != tt.holds {
			t.Errorf("%d requests proven by others: holds is %t, want %t", tt.proven, got, tt.holds)
		}
	}
	w = w.WithAnswer(10, 5, 1, 10)
	if got, want := w.Proven(10), 1; got != want {
		t.Errorf("proven after an answer: got %d, want %d", got, want)
	}
	for now := clock.Millis(20); now < 200; now += 20 {
		w = w.WithFailure(now, now-5)
	}
	if got := w.Proven(200); got != 0 {
		t.Errorf("proven after failures: got %d, want 0", got)
	}
}
