package relay_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/relay"
	"github.com/galenaslip/galenaslip/retry"
	"github.com/galenaslip/galenaslip/roster"
)

// Guards against retries that are allowed by requests which no server has received: under overload, most
// requests are refused, and the servers would get one retry for each request.
func TestRefusedRequestsAllowNoRetries(t *testing.T) {
	s := newFixtureWith(t, func(o *relay.Options) { o.Retry = retry.Limits{Ratio: 0.2, Window: retryWindow} })
	for range 40 {
		if got, want := s.status(), 503; got != want {
			t.Fatalf("without servers: got %d, want %d", got, want)
		}
	}
	backends := []*backend{newBackend(t, func(req receivedRequest) { respond(req, 500, "") }), newBackend(t, func(req receivedRequest) { respond(req, 500, "") })}
	for i, b := range backends {
		s.updateServers(roster.Record{Announcement: roster.Announcement{
			Server: []string{"server-0", "server-1"}[i], Service: "s", Address: b.listener.Addr().String(), AvailabilityZone: "z",
			Slots: 4, State: roster.Serving, StartedAt: 1, Sequence: 1,
		}})
	}
	c := s.client()
	c.get("/safe/", "1")
	if _, _, err := c.read(); err != nil {
		t.Fatal(err)
	}
	received := 0
	for _, b := range backends {
		b.mu.Lock()
		received += len(b.received)
		b.mu.Unlock()
	}
	if received != 1 {
		t.Errorf("sendings of the only request that found a server: got %d, want 1", received)
	}
}
