package relay_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/roster"
)

// limitedBackend returns a server that names a limit in each answer: a number of requests a
// second.
func limitedBackend(t *testing.T, rate string) *backend {
	t.Helper()
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
		s.updateServers() // renews the lease
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

// limitOf returns the limit of a server as the relay knows it.
func (s *fixture) limitOf(server string) float64 {
	s.t.Helper()
	for _, state := range s.relay.State().Servers {
		if state.Server == server {
			return state.Limit
		}
	}
	s.t.Errorf("server %s is unknown", server)
	return 0
}

// Guards against a limit that goes on although the server has ended it, and against one that ends
// although the server has not: by an answer that cannot be read, that may be another server's, or
// that is of an earlier request.
func TestServerLimitEnds(t *testing.T) {
	const limited = "Limit: 5\r\n"
	tests := []struct {
		name   string
		answer func(req receivedRequest)
		want   float64
	}{
		{"an answer without a limit", func(req receivedRequest) { respond(req, 200, "") }, 0},
		{"a failure without a limit", func(req receivedRequest) { respond(req, 500, "") }, 0},
		{"another limit", func(req receivedRequest) { respond(req, 200, "Limit: 7\r\n") }, 7},
		{"two limits", func(req receivedRequest) { respond(req, 200, "Limit: 9\r\nLimit: 3\r\n") }, 3},
		{"a limit that cannot be read", func(req receivedRequest) { respond(req, 200, "Limit: few\r\n") }, 5},
		{"an answer without an ID", func(req receivedRequest) { write(req, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }, 5},
		{"another server", func(req receivedRequest) { respond(req, 421, "Not-Run: 1\r\n") }, 5},
		{"a late answer to an earlier request", func(req receivedRequest) {
			write(req, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n")
			respond(req, 200, limited)
		}, 5},
		{"no answer", func(req receivedRequest) { _ = req.conn.Close() }, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture(t, scriptedBackend(t, func(req receivedRequest) { respond(req, 200, limited) }, tt.answer))
			s.status()
			s.manual.Advance(clock.Second)
			s.status()
			if got := s.limitOf("server-0"); got != tt.want {
				t.Errorf("limit: got %g, want %g", got, tt.want)
			}
		})
	}
}

// Guards against a limit that outlives the run of the server that has named it.
func TestServerLimitEndsWithTheRun(t *testing.T) {
	b := limitedBackend(t, "0.1")
	s := newFixture(t, b)
	s.status()
	s.wantReason("servers_limited")
	s.list(1, b, roster.Serving, 2, 1)
	if got := s.limitOf("server-0"); got != 0 {
		t.Errorf("limit after a restart: got %g, want none", got)
	}
	s.wantServed("after a restart")
}

// Guards against requests that are sent although all servers are at their limits, that are refused
// without the time after which one may run, and against callers who are refused again then.
func TestRefusalAtServerLimits(t *testing.T) {
	const rate = 2
	b := limitedBackend(t, strconv.Itoa(rate))
	s := newFixture(t, b)
	s.status()
	wait := s.wantReason("servers_limited")
	if limit := 2 * clock.Second / rate; wait < 100 || wait > limit {
		t.Errorf("Retry-After: got %d ms, want 100 ms to %d ms", wait, limit)
	}
	wantCount(t, "at the limit", b, 1)
	s.manual.Advance(max(wait, clock.Second/rate))
	s.wantServed("after the time")
}

// Guards against a relay that sends requests to a limited server without a part of the limit of
// its own: other entries may use all of it.
func TestNoRequestsWithoutShareOfLimit(t *testing.T) {
	b := limitedBackend(t, "100")
	s := newFixture(t, b)
	s.status()
	s.relay.Update(s.clock.Now(), control.WatchResponse{Granted: true, Revision: 1, Epoch: 1, EntryCount: 2, Share: &ratelimit.Grant{Partition: 1, Number: 2}})
	s.manual.Advance(clock.Second)
	s.wantReason("servers_limited")
	wantCount(t, "without a share", b, 1)
	s.updateServers()               // grants the whole limit again
	s.wantReason("servers_limited") // nothing has been saved up
	s.manual.Advance(clock.Second)
	s.wantServed("with a share")
}

// Guards against retries and resumed streams that go beyond the limit of a server.
func TestRetriesKeepServerLimit(t *testing.T) {
	failures := map[string]func(req receivedRequest){
		"/safe/": func(req receivedRequest) { _ = req.conn.Close() },
		"/stream/": func(req receivedRequest) {
			write(req, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")
			_ = req.conn.Close()
		},
	}
	for path, fail := range failures {
		t.Run(path, func(t *testing.T) {
			limited := limitedBackend(t, "0.1")
			failing := newBackend(t, func(req receivedRequest) {
				if req.head.Get("Id") == "warm-up" {
					respond(req, 200, "")
					return
				}
				fail(req)
			})
			s := newFixture(t, limited, failing)
			for limited.count() == 0 {
				s.wantServed("warm-up")
			}
			for i := range 5 {
				c := s.client()
				c.get(path, strconv.Itoa(i))
				_, _, _ = c.read()
			}
			wantCount(t, "limited server", limited, 1)
		})
	}
}

// Guards against requests that count for the limit of a server although they have not reached it.
func TestUnsentRequestsLeaveServerLimit(t *testing.T) {
	const rate = 1
	b := limitedBackend(t, strconv.Itoa(rate))
	s := newFixture(t, b)
	s.status()
	s.awaitAttemptsEnd()
	s.manual.Advance(clock.Second)
	s.updateServers(roster.Record{Announcement: roster.Announcement{
		Server: "server-0", Service: "s", Address: "127.0.0.1:0", AvailabilityZone: "z", Slots: 4, State: roster.Serving, StartedAt: 1, Sequence: 2,
	}})
	s.wantReason("no_server")
	s.list(1, b, roster.Serving, 1, 3)
	s.updateServers()
	s.manual.Advance(400) // the pause after a refused connection; too short for another request
	s.wantServed("at its address again")
}
