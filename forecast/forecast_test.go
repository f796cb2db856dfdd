package forecast_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/forecast"
)

// Guards against serving a request long after its latency target while all later
// requests wait for it, against refusing a request while a less urgent one is served, and
// against refusing a caller again that could still be answered in time.
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
		{name: "wait of nearly the target", request: forecast.Request{Rank: 8, Target: target, TimeLeft: deadline}, work: 0.45 * work},
		{name: "more urgent by many ranks", request: forecast.Request{Rank: 2, LessUrgentRanks: 6, Target: target, TimeLeft: deadline}, work: work},
		{name: "more urgent with more work ahead", request: forecast.Request{Rank: 2, LessUrgentRanks: 6, Target: target, TimeLeft: deadline}, work: 3 * work, want: true},
		{name: "more urgent without time", request: forecast.Request{Rank: 2, LessUrgentRanks: 6, Target: target, TimeLeft: 2000}, work: work, want: true},
		{name: "most urgent", request: forecast.Request{LessUrgentRanks: 8, Target: target, TimeLeft: deadline}, work: 100 * work},
		{name: "no target", request: forecast.Request{Rank: 8, TimeLeft: deadline}, work: 100 * work},
		{name: "returned", request: forecast.Request{Rank: 8, Target: target, TimeLeft: deadline, HasWaited: true}, work: 2 * work},
		{name: "returned without time", request: forecast.Request{Rank: 8, Target: target, TimeLeft: 2000, HasWaited: true}, work: work, want: true},
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

// Guards against callers that all return at once after a refusal and are refused again until
// they give up: a burst of long prompts brings half as much work again as the engines do in
// the same time, and each refused caller returns once.
func TestCallersThatReturnAfterRefusals(t *testing.T) {
	const (
		target, deadline, retryAfter = 800, 5000, 1600
		tokensPerMs, promptTokens    = 100, 9000
		interval                     = promptTokens / tokensPerMs * 2 / 3 // ms between new requests
		burst                        = 4 * clock.Second
	)
	type caller struct{ arrivedAt, returnsAt clock.Millis }
	f := forecast.New()
	f.Record(0, 8, 100_000, 1000)
	var returning []caller
	queued, refused, refusedAgain, late := 0.0, 0, 0, 0
	arrive := func(now, arrivedAt clock.Millis, hasWaited bool) bool {
		left := arrivedAt + deadline - now
		wait := clock.Millis(queued / tokensPerMs)
		if f.TooLate(now, forecast.Request{Rank: 8, Target: target, TimeLeft: left, HasWaited: hasWaited}, queued) {
			return false
		}
		f.Record(now, 8, queued, wait)
		queued += promptTokens
		if wait > left {
			late++
		}
		return true
	}
	for now := clock.Millis(0); now < burst+deadline; now++ {
		queued = max(queued-tokensPerMs, 0)
		if now < burst && now%interval == 0 && !arrive(now, now, false) {
			refused++
			returning = append(returning, caller{now, now + retryAfter})
		}
		for len(returning) > 0 && returning[0].returnsAt <= now {
			if !arrive(now, returning[0].arrivedAt, true) {
				refusedAgain++
			}
			returning = returning[1:]
		}
	}
	if refused == 0 {
		t.Error("refused: got 0, want some in such a burst")
	}
	if refusedAgain > refused/10 || late > 0 {
		t.Errorf("of %d refused callers: got %d refused again and %d answered after their deadline, want at most a tenth and none", refused, refusedAgain, late)
	}
}
