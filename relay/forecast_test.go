package relay_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/relay"
)

// Guards against work that is served long after its target while all that follows
// waits for it, and against a refusal of work that is more urgent than what is
// served.
func TestLate(t *testing.T) {
	const work, wait, target = 100_000, 2000, 1000
	tests := []struct {
		name        string
		rank, below int
		yields      bool
		work        float64
		after       clock.Millis // since the newest wait
		want        bool
	}{
		{name: "least urgent", rank: 8, yields: true, work: work, want: true},
		{name: "little work ahead", rank: 8, yields: true, work: work / 10},
		{name: "more urgent by many ranks", rank: 2, below: 6, yields: true, work: work},
		{name: "more urgent with more work ahead", rank: 2, below: 6, yields: true, work: 3 * work, want: true},
		{name: "most urgent", below: 8, yields: true, work: 100 * work},
		{name: "another route", rank: 8, work: 100 * work},
		{name: "no wait was seen for long", rank: 8, yields: true, work: work, after: 15 * clock.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := relay.NewForecast()
			f.Learn(0, tt.rank, work, wait)
			if got := f.Late(tt.after, tt.rank, tt.below, target, tt.yields, tt.work); got != tt.want {
				t.Errorf("late: got %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against one frozen server that makes all requests seem late.
func TestForecastOfOneFrozenServer(t *testing.T) {
	f := relay.NewForecast()
	const work, wait, target = 100_000, 500, 2000
	for at := range clock.Millis(100) {
		f.Learn(at*10, 8, work, wait)
	}
	f.Learn(1000, 8, work, 60*wait)
	if f.Late(1000, 8, 0, target, true, work) {
		t.Error("late after one long wait among 100: got true, want false")
	}
}
