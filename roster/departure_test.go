package roster_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

// Guards against a server that gets requests long after its departure was acknowledged: a new leader, whose
// registry did not know it, took a heartbeat for that of a new run that was sent before the departure and
// came seconds late.
func TestLateHeartbeatAfterDepartureOfUnknownServer(t *testing.T) {
	heartbeat := roster.Announcement{Server: "a", Service: "s", Address: "10.0.0.1:1", State: roster.Serving, StartedAt: 5, Sequence: 32}
	for _, tt := range []struct {
		after clock.Millis
		known bool
		want  roster.AcceptResult
	}{
		{after: 1, want: roster.Stale}, {after: 4200, want: roster.Stale}, {after: 10 * clock.Second, want: roster.Changed},
		{after: 1, known: true, want: roster.Stale}, {after: 10 * clock.Second, known: true, want: roster.Stale},
	} {
		r := roster.New(4 * clock.Second)
		if tt.known {
			first := heartbeat
			first.Sequence = 31
			r.Accept(0, first)
		}
		r.RecordDeparture(0, "a", 0)
		if got := r.Accept(tt.after, heartbeat); got != tt.want {
			t.Errorf("heartbeat %d ms after the departure, server known %v: got %v, want %v", tt.after, tt.known, got, tt.want)
		}
	}
	r := roster.New(4 * clock.Second)
	r.Accept(0, heartbeat)
	r.RecordDeparture(0, "a", 0)
	restarted := heartbeat
	restarted.StartedAt, restarted.Sequence = 6, 1
	if got, want := r.Accept(1, restarted), roster.Changed; got != want {
		t.Errorf("a new run of a server that was known: got %v, want %v", got, want)
	}
}
