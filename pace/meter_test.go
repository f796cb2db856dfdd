package pace_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/pace"
)

// Guards against a slow but sound transfer that is ended, and against a stalled one that goes
// on because it sends a byte now and then.
func TestStall(t *testing.T) {
	const period, minBytes = 10 * clock.Second, 10_000
	tests := []struct {
		name     string
		interval clock.Millis
		bytes    int          // in each interval
		want     clock.Millis // when the transfer counts as stalled; 0 for never
	}{
		{name: "fast", interval: 10, bytes: 1000, want: 0},
		{name: "slow", interval: clock.Second, bytes: 1000, want: 0},
		{name: "in bursts", interval: 9 * clock.Second, bytes: 10_000, want: 0},
		{name: "a byte now and then", interval: clock.Second, bytes: 1, want: period},
		{name: "too slow", interval: clock.Second, bytes: 900, want: period},
		{name: "silent", interval: clock.Minute, bytes: 0, want: period},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := pace.New(0, period, minBytes)
			stalledAt := clock.Millis(0)
			for now := tt.interval; now <= 10*clock.Minute && stalledAt == 0; now += tt.interval {
				if previous := now - tt.interval; m.TimeLeft(previous) < tt.interval {
					stalledAt = previous + m.TimeLeft(previous)
				}
				m.Add(now, tt.bytes)
			}
			if got := stalledAt; got != tt.want {
				t.Errorf("stalled at: got %d ms, want %d", got, tt.want)
			}
		})
	}
}
