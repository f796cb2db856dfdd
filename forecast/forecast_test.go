package forecast_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/forecast"
)

// Guards against serving a request long after its latency target while all later
// requests wait for it, against refusing a request while a less urgent one is served, and
// against refusing a long prompt for its own length alone.
func TestTooLate(t *testing.T) {
	const work, wait, target, deadline = 100_000, 2000, 1000, 10_000
	tests := []struct {
		name    string
		request forecast.Request
		work    float64
		after   clock.Millis // time since the newest wait
		want    bool
	}{
		{name: "least urgent", request: forecast.Request{Rank: 8, Target: target, TimeLeft: deadline}, work: work, want: true},
		{name: "little work ahead", request: forecast.Request{Rank: 8, Target: target, TimeLeft: deadline}, work: work / 10},
		{name: "long prompt at an idle engine", request: forecast.Request{Rank: 8, PromptTokens: work, Target: target, TimeLeft: deadline}, work: work},
		{name: "long prompt at a busy engine", request: forecast.Request{Rank: 8, PromptTokens: work, Target: target, TimeLeft: deadline}, work: 2 * work, want: true},
		{name: "more urgent by many ranks", request: forecast.Request{Rank: 2, LessUrgentRanks: 6, Target: target, TimeLeft: deadline}, work: work},
		{name: "more urgent with more work ahead", request: forecast.Request{Rank: 2, LessUrgentRanks: 6, Target: target, TimeLeft: deadline}, work: 3 * work, want: true},
		{name: "more urgent without time", request: forecast.Request{Rank: 2, LessUrgentRanks: 6, Target: target, TimeLeft: 2000}, work: work, want: true},
		{name: "most urgent", request: forecast.Request{LessUrgentRanks: 8, Target: target, TimeLeft: deadline}, work: 100 * work},
		{name: "no target", request: forecast.Request{Rank: 8, TimeLeft: deadline}, work: 100 * work},
		{name: "no wait was seen for long", request: forecast.Request{Rank: 8, Target: target, TimeLeft: deadline}, work: work, after: 15 * clock.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := forecast.New()
			f.Record(0, tt.request.Rank, work, wait)
			if got := f.TooLate(tt.after, tt.request, tt.work); got != tt.want {
				t.Errorf("late: got %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against a forecast that treats all requests as too late because of one frozen
// server.
func TestForecastOfOneFrozenServer(t *testing.T) {
	f := forecast.New()
	const work, wait, target = 100_000, 500, 2000
	for at := range clock.Millis(100) {
		f.Record(at*10, 8, work, wait)
	}
	f.Record(1000, 8, work, 60*wait)
	if f.TooLate(1000, forecast.Request{Rank: 8, Target: target, TimeLeft: 10 * target}, work) {
		t.Error("late after one long wait among 100: got true, want false")
	}
}
