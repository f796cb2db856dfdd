package clock_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
)

// Guards against timers of a manual clock that fire early or not at all.
func TestManualAfter(t *testing.T) {
	tests := []struct {
		name    string
		delay   clock.Millis
		advance clock.Millis
		fired   bool
	}{
		{name: "before the delay", delay: 10, advance: 9, fired: false},
		{name: "at the delay", delay: 10, advance: 10, fired: true},
		{name: "no delay", delay: 0, advance: 0, fired: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, manual := clock.NewManual(1000)
			done, release := c.After(tt.delay)
			defer release()
			manual.Advance(tt.advance)
			got := false
			select {
			case <-done:
				got = true
			default:
			}
			if want := tt.fired; got != want {
				t.Errorf("fired: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against a time of day of a manual clock that does not advance with its
// monotonic time.
func TestManualWall(t *testing.T) {
	c, manual := clock.NewManual(1000)
	manual.Advance(5)
	if got, want := c.Wall(), clock.Millis(1005); got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}
