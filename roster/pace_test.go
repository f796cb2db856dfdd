package roster_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

// Guards against announcements that wait longer for their acknowledgement than their server
// does, and against some that are refused although they would be acknowledged in time: with
// batches that take the same time each, the stated wait is that of a step by step simulation.
func TestPaceStatesTheWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const interval = 50 * clock.Millisecond
		batchTime := clock.Millis(rapid.IntRange(1, 400).Draw(t, "batch time"))
		queued := rapid.IntRange(0, 5).Draw(t, "queued batches")
		arrival := clock.Millis(rapid.IntRange(0, 500).Draw(t, "arrival after the start of a batch"))
		const start = 1000 * clock.Millisecond
		p := roster.NewPace(interval).WithStart(start - batchTime - interval).WithEnd(start - interval).WithStart(start)
		now := start + arrival
		if arrival >= batchTime {
			p = p.WithEnd(start + batchTime)
		}
		at := start
		for batch := 0; batch <= queued; at++ {
			if at >= start+clock.Millis(batch+1)*(batchTime+interval) && at >= now {
				batch++
			}
		}
		acknowledgedAt := at - 1 + batchTime
		if arrival >= batchTime+interval {
			queued = 0 // nothing waits while no batch is in progress
			acknowledgedAt = now + batchTime
		}
		if got, want := p.Wait(now, queued), acknowledgedAt-now; got != want {
			t.Errorf("wait: got %d ms, want %d ms", got, want)
		}
	})
}

// Guards against calls that wait for a leader that does not answer: the longer a batch has
// been in progress, the longer the next one is taken to need.
func TestPaceOfLateBatch(t *testing.T) {
	p := roster.NewPace(50).WithStart(1000).WithEnd(1010).WithStart(1060)
	for _, tt := range []struct{ now, want clock.Millis }{
		{1060, 10 + 50 + 10}, {1070, 50 + 10}, {1160, 50 + 100}, {1460, 50 + 400},
	} {
		if got := p.Wait(tt.now, 0); got != tt.want {
			t.Errorf("wait at %d ms: got %d ms, want %d ms", tt.now, got, tt.want)
		}
	}
	if got := roster.NewPace(50).Wait(5000, 0); got != 0 {
		t.Errorf("wait before the first batch: got %d ms, want 0", got)
	}
}
