package relay_test

import (
	"fmt"
	"testing"
)

// Guards against requests that wait at a slow server while a fast one is idle: on ev-santiago-grown one
// third of the engines take 2.4 times as long as the others.
func TestSlowEngineIsAvoided(t *testing.T) {
	servers := make([]*backend, 10)
	for i := range servers {
		slowness := 0.7
		if i%2 == 0 {
			slowness = 1.7
		}
		servers[i] = newBackend(t, func(req receivedRequest) {
			write(req, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSlowness: %g\r\nContent-Length: 0\r\n\r\n", req.head.Get("Id"), slowness))
		})
	}
	s := newEngineFixture(t, false, servers...)
	c := s.client()
	const requests = 40
	for id := range requests {
		c.send(fmt.Sprintf("GET /engine/ HTTP/1.1\r\nHost: h\r\nId: %d\r\n\r\n", id))
		c.wantStatus(200)
		s.awaitAttemptsEnd()
	}
	slow := 0
	for i, b := range servers {
		if i%2 == 0 {
			slow += b.count()
			if got := b.count(); got > 1 {
				t.Errorf("requests at slow server %d, all servers being idle: got %d, want at most 1, which finds it slow", i, got)
			}
		}
	}
	if slow == requests {
		t.Fatal("requests at fast servers: got none")
	}
	for _, v := range s.relay.State().Servers {
		if v.Slowness != 1 && v.Slowness != 0.7 && v.Slowness != 1.7 {
			t.Errorf("slowness of %s: got %g, want 1 (unknown), 0.7 or 1.7", v.Server, v.Slowness)
		}
	}
}
