package relay_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/relay"
)

// Guards against serving a request long after its latency target while all later
// requests wait for it, and against refusing a request while a less urgent one is
// served.
func TestTooLate(t *testing.T) {
	const work, wait, target = 100_000, 2000, 1000
	tests := []struct {
		name                      string
		rank, lessUrgentRankCount int
		mayRefuseAsTooLate        bool
		work                      float64
		after                     clock.Millis // time since the newest wait
		want                      bool
	}{
		{name: "least urgent", rank: 8, mayRefuseAsTooLate: true, work: work, want: true},
		{name: "little work ahead", rank: 8, mayRefuseAsTooLate: true, work: work / 10},
		{name: "more urgent by many ranks", rank: 2, lessUrgentRankCount: 6, mayRefuseAsTooLate: true, work: work},
		{name: "more urgent with more work ahead", rank: 2, lessUrgentRankCount: 6, mayRefuseAsTooLate: true, work: 3 * work, want: true},
		{name: "most urgent", lessUrgentRankCount: 8, mayRefuseAsTooLate: true, work: 100 * work},
		{name: "another route", rank: 8, work: 100 * work},
		{name: "no wait was seen for long", rank: 8, mayRefuseAsTooLate: true, work: work, after: 15 * clock.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := relay.NewForecast()
			f.RecordWait(0, tt.rank, work, wait)
			if got := f.TooLate(tt.after, tt.rank, tt.lessUrgentRankCount, target, tt.mayRefuseAsTooLate, tt.work); got != tt.want {
				t.Errorf("late: got %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against a forecast that treats all requests as too late because of one frozen
// server.
func TestForecastOfOneFrozenServer(t *testing.T) {
	f := relay.NewForecast()
	const work, wait, target = 100_000, 500, 2000
	for at := range clock.Millis(100) {
		f.RecordWait(at*10, 8, work, wait)
	}
	f.RecordWait(1000, 8, work, 60*wait)
	if f.TooLate(1000, 8, 0, target, true, work) {
		t.Error("late after one long wait among 100: got true, want false")
	}
}
