package withdrawal_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/testseed"
	"github.com/galenaslip/galenaslip/withdrawal"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// statement is one thing that is learned of a server.
type statement struct {
	run      uint64
	leaving  bool
	pauseEnd clock.Millis // 0 for none
}

// apply adds a statement to a state.
func (st statement) apply(s withdrawal.State) withdrawal.State {
	switch {
	case st.leaving:
		return s.WithLeaving(st.run)
	case st.pauseEnd > 0:
		return s.WithPause(st.run, st.pauseEnd)
	}
	return s.WithRun(st.run)
}

// naive keeps all statements and searches them for each question.
type naive []statement

func (n naive) newestRun() uint64 {
	newest := uint64(0)
	for _, st := range n {
		newest = max(newest, st.run)
	}
	return newest
}

func (n naive) accepts(now clock.Millis) bool {
	for _, st := range n {
		if st.run == n.newestRun() && (st.leaving || st.pauseEnd > now) {
			return false
		}
	}
	return true
}

const maxTestTime = 40 * clock.Millisecond

// drawStatements draws what is learned of one server over three runs.
func drawStatements(t *rapid.T, label string) naive {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) statement {
		st := statement{run: rapid.Uint64Range(0, 2).Draw(t, "run")}
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			st.leaving = true
		case 1, 2, 3:
			st.pauseEnd = clock.Millis(rapid.IntRange(1, int(maxTestTime)).Draw(t, "pause_end"))
		}
		return st
	}), 0, 8).Draw(t, label)
}

func stateOf(statements naive) withdrawal.State {
	var s withdrawal.State
	for _, st := range statements {
		s = st.apply(s)
	}
	return s
}

// Guards against a server that gets requests although it leaves or has asked for a pause, and
// against one that gets none after it has started again.
func TestAcceptsAsTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statements := drawStatements(t, "statements")
		state := stateOf(statements)
		for now := clock.Millis(0); now <= maxTestTime; now++ {
			if got, want := state.Accepts(now), statements.accepts(now); got != want {
				t.Fatalf("accepts at %d: got %v, want %v", now, got, want)
			}
		}
	})
}

// Guards against a state that depends on the order of answers, or on one that is read twice:
// answers of several connections come in any order.
func TestOrderOfStatementsMakesNoDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statements := drawStatements(t, "statements")
		shuffled := rapid.Permutation(statements).Draw(t, "shuffled")
		doubled := append(append(naive{}, shuffled...), shuffled...)
		if got, want := stateOf(doubled), stateOf(statements); got != want {
			t.Errorf("state: got %+v, want %+v", got, want)
		}
	})
}

// Guards against callers that are told to come back before a server takes requests, or later
// than needed: the time is the first at which a naive search finds a server.
func TestNextAcceptanceAsTheNaiveVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := make([]naive, rapid.IntRange(0, 4).Draw(t, "servers"))
		states := make([]withdrawal.State, len(servers))
		for i := range servers {
			servers[i] = drawStatements(t, "statements")
			states[i] = stateOf(servers[i])
		}
		now := clock.Millis(rapid.IntRange(0, int(maxTestTime)).Draw(t, "now"))
		want, wantFound := clock.Millis(0), false
		for at := maxTestTime; at >= now; at-- {
			for _, server := range servers {
				if server.accepts(at) {
					want, wantFound = at, true
				}
			}
		}
		if got, found := withdrawal.NextAcceptance(now, states); got != want || found != wantFound {
			t.Errorf("next acceptance: got %d, %v, want %d, %v", got, found, want, wantFound)
		}
	})
}

// Guards against a field that ends the use of a server for good, that is read in the wrong
// unit, or that fails a response because it cannot be read.
func TestParseRetryAfter(t *testing.T) {
	const date = "Sat, 05 Dec 2026 03:00:00 GMT"
	tests := []struct {
		name             string
		retryAfter, date string
		want             clock.Millis
	}{
		{name: "none", retryAfter: "", want: 0},
		{name: "seconds", retryAfter: "3", want: 3 * clock.Second},
		{name: "a fraction", retryAfter: " 1.2501 ", want: 1251},
		{name: "zero", retryAfter: "0", want: 0},
		{name: "negative", retryAfter: "-5", want: 0},
		{name: "not a number", retryAfter: "NaN", want: 0},
		{name: "infinite", retryAfter: "+Inf", want: 0},
		{name: "out of range", retryAfter: "1e999", want: 0},
		{name: "too long", retryAfter: "86400", want: withdrawal.MaxPause},
		{name: "text", retryAfter: "soon", want: 0},
		{name: "two numbers", retryAfter: "1, 2", want: 0},
		{name: "a date", retryAfter: "Sat, 05 Dec 2026 03:00:07 GMT", date: date, want: 7 * clock.Second},
		{name: "a date in the past", retryAfter: "Sat, 05 Dec 2026 02:59:00 GMT", date: date, want: 0},
		{name: "a date far ahead", retryAfter: "Sat, 05 Dec 2037 03:00:00 GMT", date: date, want: withdrawal.MaxPause},
		{name: "a date without the time of the response", retryAfter: "Sat, 05 Dec 2026 03:00:07 GMT", want: 0},
	}
	for _, tt := range tests {
		if got := withdrawal.ParseRetryAfter(tt.retryAfter, tt.date); got != tt.want {
			t.Errorf("%s: got %d ms, want %d ms", tt.name, got, tt.want)
		}
	}
}
