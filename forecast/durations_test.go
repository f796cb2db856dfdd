package forecast_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/forecast"
)

// Guards against a duration that is forgotten too soon, so that a request is taken that outlasts a stop,
// and against one that counts for good: compared with a search of all requests.
func TestLongestDurationAsTheNaiveVersion(t *testing.T) {
	const shortest, longest = 30 * clock.Second, 60 * clock.Second
	rapid.Check(t, func(t *rapid.T) {
		type ended struct{ at, lasted clock.Millis }
		var all []ended
		d, now := forecast.NewDurations(), clock.Millis(0)
		for range rapid.IntRange(0, 30).Draw(t, "requests") {
			now += clock.Millis(rapid.IntRange(0, 40_000).Draw(t, "time"))
			lasted := clock.Millis(rapid.IntRange(1, 1000).Draw(t, "lasted"))
			if rapid.Bool().Draw(t, "a request ends") {
				d.Record(now, "r", lasted)
				all = append(all, ended{now, lasted})
			}
			var least, most clock.Millis
			for _, e := range all {
				if now-e.at < shortest {
					least = max(least, e.lasted)
				}
				if now-e.at < longest {
					most = max(most, e.lasted)
				}
			}
			if got := d.Longest(now, "r"); got < least || got > most {
				t.Errorf("longest duration: got %d, want %d to %d", got, least, most)
			}
			if got := d.Longest(now, "other"); got != 0 {
				t.Errorf("longest duration of another route: got %d, want 0", got)
			}
		}
	})
}
