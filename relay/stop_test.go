package relay_test

import (
	"context"
	"runtime"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
)

// Guards against a request that a planned stop cuts off at its end, because it came while the load
// balancer still sent requests and lasts as long as others of its route; and against requests of other
// routes that are refused although they end in time.
func TestStopRefusesWhatWouldOutlastIt(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	b := newBackend(t, func(req receivedRequest) {
		if req.head.Get("Id") == "slow" {
			close(arrived)
			<-proceed
		}
		respondOK(req, "ran")
	})
	s := newFixture(t, b)
	slow := s.client()
	slow.get("/once/", "slow")
	await(t, "the arrival", arrived)
	s.manual.Advance(7 * clock.Second) // of a grace period of 8 s
	s.updateServers()                  // renews the lease
	close(proceed)
	slow.wantStatus(200)
	stopped := make(chan struct{})
	go func() {
		_ = s.relay.Stop(context.Background())
		close(stopped)
	}()
	for s.manual.PendingTimers() < 2 { // the periodic checks and the wait for the load balancer
		runtime.Gosched()
	}
	s.manual.Advance(clock.Second)
	s.updateServers()
	c := s.client()
	c.get("/once/", "2")
	if _, body := c.wantStatus(503); !strings.Contains(body, "stopping") {
		t.Errorf("a route with long requests: got %s, want it refused because the relay stops", body)
	}
	c = s.client()
	c.get("/safe/", "3")
	c.wantStatus(200)
	s.advanceUntil(stopped)
}
