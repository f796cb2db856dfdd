package duty_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/duty"
)

// Guards against an answer that is taken for another outcome: only a 2xx ends a call.
func TestOutcomeOf(t *testing.T) {
	for status, want := range map[int]duty.Outcome{
		200: duty.Accepted, 204: duty.Accepted, 302: duty.Rejected, 400: duty.Rejected, 404: duty.Rejected,
		409: duty.Superseded, 429: duty.Limited, 500: duty.Rejected, 503: duty.Rejected, 0: duty.Rejected, 999: duty.Rejected,
	} {
		if got := duty.OutcomeOf(status); got != want {
			t.Errorf("status %d: got %v, want %v", status, got, want)
		}
	}
}

// Guards against more calls in a second than allowed, and against a receiver that refuses and is called at
// the full rate.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.IntRange(1, 100).Draw(t, "calls per second")
		b := duty.NewBudget(float64(perSecond))
		var calls []clock.Millis
		now, refusals := clock.Millis(0), 0
		for range 300 {
			now += clock.Millis(rapid.IntRange(0, 40).Draw(t, "pause"))
			if !b.Take(now) {
				continue
			}
			calls = append(calls, now)
			first := max(len(calls)-1-perSecond, 0)
			if len(calls) > perSecond && now-calls[first] < clock.Second {
				t.Fatalf("%d calls within %d ms, want at most %d a second", perSecond+1, now-calls[first], perSecond)
			}
			if !rapid.Bool().Draw(t, "refused") {
				b.Record(now, duty.Accepted)
				refusals = 0
				continue
			}
			refusals++
			b.Record(now, duty.Limited)
			wait := min(clock.Millis(100)<<min(refusals-1, 8), 2000)
			if b.Take(now + wait - 1) {
				t.Fatalf("a call %d ms after %d refusals, want none for %d ms", wait-1, refusals, wait)
			}
		}
	})
}

// members simulates which member of a group leads. A term has one leader, and the lease of a term has ended
// before the next one begins.
type members struct {
	clock   clock.Clock
	term    uint64
	leader  int
	leaseTo clock.Millis
}

func (m *members) leadership(member int) duty.Leadership {
	if member != m.leader {
		return duty.Leadership{}
	}
	return duty.Leadership{Term: m.term, LeaseRemaining: max(m.leaseTo-m.clock.Now(), 0)}
}

// Guards against two holders with one token, against a holder that acts with a lower token than a former one
// or that acts without a lease, and against holders that act in the order A, B, A within the lease
// of holders. Members are suspended: they act on a fence that they got before, at any later time.
func TestHoldersTakeTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 3
		c, manual := clock.NewManual(0)
		group := &members{clock: c, leader: -1}
		lease := clock.Millis(rapid.SampledFrom([]int{500, 1000, 3000}).Draw(t, "lease of holders"))
		var holders [size]*duty.Holder
		start := func(i int) {
			holders[i] = duty.NewHolder(duty.Options{
				Name: fmt.Sprintf("m%d", i), HolderLease: lease, CallsPerSecond: 50, Clock: c,
				Leadership: func() duty.Leadership { return group.leadership(i) },
			})
		}
		for i := range size {
			start(i)
		}
		type call struct {
			holder string
			token  uint64
			at     clock.Millis
		}
		var sent []call
		tokens := map[uint64]string{}
		var pending [size]duty.Fence
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			manual.Advance(clock.Millis(rapid.IntRange(0, 400).Draw(t, "pause")))
			i := rapid.IntRange(0, size-1).Draw(t, "member")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				start(i) // the process has started again
			case 1, 2:
				if group.leaseTo <= c.Now() {
					group.term += uint64(rapid.IntRange(1, 3).Draw(t, "terms"))
					group.leader, group.leaseTo = i, c.Now()+600
				}
			case 3, 4, 5:
				if group.leader >= 0 && group.leaseTo > c.Now() {
					group.leaseTo = c.Now() + 600
				}
			case 6, 7:
				if f, ok := holders[i].Begin(); ok {
					pending[i] = f
				}
			default:
				f := pending[i]
				if f.Token == 0 || !holders[i].MayAct(f) {
					continue
				}
				if group.leader != i || group.leaseTo <= c.Now() || f.Token != group.term {
					t.Fatalf("%v acts at %d, but member %d leads term %d until %d", f, c.Now(), group.leader, group.term, group.leaseTo)
				}
				if other, ok := tokens[f.Token]; ok && other != f.Holder {
					t.Fatalf("%s and %s act with token %d", other, f.Holder, f.Token)
				}
				tokens[f.Token] = f.Holder
				sent = append(sent, call{f.Holder, f.Token, c.Now()})
				checkTurns(t, lease, len(sent), func(i int) (string, uint64, clock.Millis) { return sent[i].holder, sent[i].token, sent[i].at })
			}
		}
	})
}

// checkTurns checks the newest of n calls.
func checkTurns(t *rapid.T, lease clock.Millis, n int, call func(int) (string, uint64, clock.Millis)) {
	holder, token, at := call(n - 1)
	between := false
	for i := n - 2; i >= 0; i-- {
		otherHolder, otherToken, otherAt := call(i)
		if otherToken > token {
			t.Fatalf("token %d after token %d", token, otherToken)
		}
		if between && otherHolder == holder && at-otherAt < lease {
			t.Fatalf("%s acts again %d ms after its call before those of another holder, want %d ms or more", holder, at-otherAt, lease)
		}
		between = between || otherHolder != holder
	}
}
