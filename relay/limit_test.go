package relay_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
)

// limitedBackend returns a server that names a limit in each answer: a number of requests a
// second.
func limitedBackend(t *testing.T, rate string) *backend {
	return newBackend(t, func(req receivedRequest) { respond(req, 200, fmt.Sprintf("Limit: %s\r\n", rate)) })
}

// sendPerSecond sends a number of requests a second for some seconds and returns how many of them
// were answered with status 200.
func (s *fixture) sendPerSecond(rate, seconds int) int {
	s.t.Helper()
	served := 0
	for i := range rate * seconds {
		c := s.client()
		c.get("/safe/", strconv.Itoa(i))
		if head, _, err := c.read(); err == nil && head.Status == 200 {
			served++
		}
		s.manual.Advance(clock.Second / clock.Millis(rate))
	}
	return served
}

// Guards against a server that gets more requests than it has said that it takes, while another
// server could run them.
func TestServerLimitHolds(t *testing.T) {
	const rate, seconds, requests = 2, 4, 20
	limited := limitedBackend(t, strconv.Itoa(rate))
	s := newFixture(t, limited, newBackend(t, func(req receivedRequest) { respond(req, 200, "") }))
	for limited.count() == 0 {
		s.status()
	}
	before := limited.count()
	if got, want := s.sendPerSecond(requests, seconds), requests*seconds; got != want {
		t.Errorf("requests served: got %d, want %d", got, want)
	}
	if got, want := limited.count()-before, rate*seconds*3/2+5; got > want {
		t.Errorf("requests at the limited server in %d s: got %d, want at most %d", seconds, got, want)
	}
}
