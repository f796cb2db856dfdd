package event_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

// Guards against a log that another process can fill, and against left-out events that are
// not counted.
func TestLimiterBoundsTheLog(t *testing.T) {
	var out bytes.Buffer
	logger, flush := event.NewWithOutput(&out, "p", event.Info)
	l := event.NewLimiter(logger, 10*clock.Second)
	for now := range 25 * clock.Second {
		l.Log(now, event.ServerRefused)
	}
	flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if got, want := len(lines), 3; got != want {
		t.Fatalf("lines: got %d, want %d", got, want)
	}
	if got, want := lines[2], `"suppressed":9999`; !strings.Contains(got, want) {
		t.Errorf("got %s, want one with %s", got, want)
	}
}
