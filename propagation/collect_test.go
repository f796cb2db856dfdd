package propagation_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/propagation"
)

// Guards against a member that spends its processor on answers to many watches while changes
// follow each other, and against a time for collecting changes that grows with the watches
// beyond the share of the time in which the entries must know a change.
func TestCollectTimeGrowsWithWatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watches := rapid.IntRange(0, 2000).Draw(t, "watches")
		within := clock.Millis(rapid.IntRange(0, 5000).Draw(t, "within"))
		got, next := propagation.CollectTime(watches, within), propagation.CollectTime(watches+1, within)
		if next < got {
			t.Errorf("one watch more: got %d ms, want at least %d ms", next, got)
		}
		if limit := max(within/5, 20); got < 20 || got > limit {
			t.Errorf("%d watches: got %d ms, want 20 ms to %d ms", watches, got, limit)
		}
		answersPerSecond := clock.Millis(watches) * clock.Second / got
		if got < within/5 && answersPerSecond > 500+answersPerSecond/got {
			t.Errorf("answers a second to %d watches: got %d, want about 500 at most", watches, answersPerSecond)
		}
	})
}
