package ratelimit_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// wholeRing is the part of the ring of an entry that is alone.
var wholeRing = ratelimit.Grant{Interval: ratelimit.Interval{End: 1 << 32}}

// newLimiter returns a limiter of an entry that is alone, for a server with a limit.
func newLimiter(rate float64) *ratelimit.Limiter {
	limits := ratelimit.NewLimits()
	limits.Record(0, testRun, ratelimit.NewLimit(rate), 0, 0)
	l := ratelimit.NewLimiter(limits)
	l.SetGrant(0, wholeRing, clock.Minute)
	return l
}

// tryTake sends a request if the limiter allows it.
func tryTake(l *ratelimit.Limiter, now clock.Millis, u ratelimit.Urgency) bool {
	if !l.Allows(now, testRun, "s", u) {
		return false
	}
	l.Take(now, testRun, "s", u)
	return true
}

// Guards against saved requests that break the limit when demand comes back after a pause.
func TestBurstAfterPause(t *testing.T) {
	for _, rate := range []float64{0, 0.2, 1, 1.3, 4.9, 30, 600} {
		l := newLimiter(rate)
		l.Allows(0, testRun, "s", ratelimit.Urgency{})
		sent := 0
		const pause = 50 * clock.Second
		for now := pause; now <= pause+limitWindow; now++ {
			for tryTake(l, now, ratelimit.Urgency{}) {
				sent++
			}
		}
		if most := 1.5*4*max(rate, ratelimit.MinRate) + 5; float64(sent) > most {
			t.Errorf("limit %g: got %d requests in 4 s, want at most %g", rate, sent, most)
		}
	}
}

// Guards against an entry that goes on after its lease has ended: another one may have its part.
func TestNothingIsSentWithoutLease(t *testing.T) {
	l := newLimiter(30)
	l.SetGrant(0, wholeRing, 10*clock.Second)
	l.Allows(0, testRun, "s", ratelimit.Urgency{})
	if got, want := tryTake(l, 9*clock.Second, ratelimit.Urgency{}), true; got != want {
		t.Errorf("with a lease: got %v, want %v", got, want)
	}
	if got, want := tryTake(l, 10*clock.Second, ratelimit.Urgency{}), false; got != want {
		t.Errorf("after the lease: got %v, want %v", got, want)
	}
	l.SetGrant(0, wholeRing, clock.Minute)
	if got, want := tryTake(l, 10*clock.Second, ratelimit.Urgency{}), false; got != want {
		t.Errorf("with requests saved before the lease ended: got %v, want %v", got, want)
	}
}

// Guards against less urgent requests that take a limit away from more urgent ones, against a
// rank that never gets any, and against a limit that is left unused meanwhile.
func TestUrgentRequestsGoFirst(t *testing.T) {
	const rate, seconds = 5, 60
	urgent, slow := ratelimit.Urgency{Rank: 0, Ranks: 2}, ratelimit.Urgency{Rank: 1, Ranks: 2}
	run := testRun
	play := func(urgentPerSecond int) (urgentSent, slowSent int) {
		l := newLimiter(rate)
		for now := clock.Millis(0); now < seconds*clock.Second; now += 10 {
			if now%clock.Millis(1000/urgentPerSecond) == 0 {
				if tryTake(l, now, urgent) {
					urgentSent++
				} else {
					l.RefuseFor(now, "s", []ratelimit.Run{run}, urgent)
				}
			}
			if tryTake(l, now, slow) {
				slowSent++
			} else {
				l.RefuseFor(now, "s", []ratelimit.Run{run}, slow)
			}
		}
		return urgentSent, slowSent
	}
	tests := []struct{ urgentPerSecond, minUrgent, minSlow int }{
		{2, 9 * 2 * seconds / 10, 2 * seconds},
		{20, 4 * seconds, seconds / 10},
	}
	for _, tt := range tests {
		urgentSent, slowSent := play(tt.urgentPerSecond)
		if urgentSent < tt.minUrgent || slowSent < tt.minSlow {
			t.Errorf("%d urgent requests a second: got %d urgent and %d others sent, want at least %d and %d",
				tt.urgentPerSecond, urgentSent, slowSent, tt.minUrgent, tt.minSlow)
		}
		if got, want := urgentSent+slowSent, 9*rate*seconds/10; got < want {
			t.Errorf("%d urgent requests a second: got %d sent in all, want at least %d", tt.urgentPerSecond, got, want)
		}
	}
}

// Guards against refused callers that all come back at once, or much later than the limits allow.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	const callers = 20
	l := newLimiter(10)
	var former clock.Millis
	for i := range callers {
		at := l.RefuseFor(0, "s", []ratelimit.Run{testRun}, ratelimit.Urgency{})
		if gap := at - former; gap < 40 || gap > 160 {
			t.Errorf("caller %d: got %d ms after the one before, want 100 ms give or take a half", i, gap)
		}
		former = at
	}
	for range 200 {
		former = l.RefuseFor(0, "s", []ratelimit.Run{testRun}, ratelimit.Urgency{})
	}
	if want := ratelimit.MaxReturnTime; former > want {
		t.Errorf("after many refusals: got %d ms, want at most %d ms", former, want)
	}
}

// Guards against a limited server that no entry or more than one entry may use because the ring
// is divided between its points, and against one with a low limit that many entries use.
func TestEntriesShareOneLimit(t *testing.T) {
	for _, rate := range []float64{0.1, 1.3, 4.9, 30, 5000} {
		for server := range 20 {
			run := ratelimit.Run{Server: fmt.Sprintf("server-%d", server)}
			limits := ratelimit.NewLimits()
			limits.Record(0, run, ratelimit.NewLimit(rate), 0, 0)
			const entries = 34
			sum, users := 0.0, 0
			for i := range uint64(entries) {
				l := ratelimit.NewLimiter(limits)
				l.SetGrant(0, ratelimit.Grant{Interval: ratelimit.Interval{Begin: i * (1 << 32) / entries, End: (i + 1) * (1 << 32) / entries}}, clock.Minute)
				if r := l.ServerRate(0, run).Rate; r > 0 {
					sum, users = sum+r, users+1
				}
			}
			if sum < rate*0.999 || sum > rate*1.001 {
				t.Errorf("rates of all entries: got %g, want %g", sum, rate)
			}
			if most := max(int(rate), 1); users > most {
				t.Errorf("entries that use a server that takes %g a second: got %d, want at most %d", rate, users, most)
			}
		}
	}
}
