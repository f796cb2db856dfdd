package relay_test

import (
	"flag"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/memory/memorytest"
)

// soakRequests is the number of requests of TestMemoryIsFlat. By hand it is a million.
var soakRequests = flag.Int("soak.requests", 20_000, "requests of TestMemoryIsFlat")

// Guards against memory that grows with the number of different request IDs, prompt parts and
// callers that a relay has seen.
func TestMemoryIsFlat(t *testing.T) {
	const (
		callers           = 4   // at the same time
		requestsOfCaller  = 100 // on one connection
		requestsPerSecond = 500
		longestRetention  = 2 * clock.Minute // of anything that is kept of former requests
		filling           = 6 << 20          // bytes; what is kept for that long
	)
	b := newBackend(t, nil)
	b.respond = func(req receivedRequest) {
		b.mu.Lock()
		b.received = nil
		b.mu.Unlock()
		if req.head.Target == "/stream/" {
			write(req, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 17\r\n\r\nid: 1\ndata: ran\n\n", req.head.Get("Id")))
			return
		}
		respondOK(req, "ran")
	}
	s := newFixture(t, b)
	lastPart := strings.Repeat("x", 1<<10)
	var answered atomic.Int64 // moves the clock, so that no caller gets ahead of it
	play := func(from, to int) {
		var running sync.WaitGroup
		for caller := range callers {
			running.Go(func() {
				var c *client
				for i := from + caller; i < to; i += callers {
					if c == nil || (i/callers)%requestsOfCaller == 0 {
						if c != nil {
							_ = c.conn.Close()
						}
						c = newClient(t, s.dial())
					}
					path := []string{"/open/", "/safe/", "/once/", "/stream/"}[(i/callers)%4]
					c.send(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: request-%d\r\nParts: common part-%d %s\r\n\r\n", path, i, i, lastPart))
					if head, _, err := c.read(); err != nil || head.Status != 200 {
						t.Errorf("request %d: got status %d and %v, want 200", i, head.Status, err)
						return
					}
					if answered.Add(1)%(requestsPerSecond/10) == 0 {
						s.manual.Advance(clock.Second / 10)
						s.renewLease()
					}
				}
				_ = c.conn.Close()
			})
		}
		running.Wait()
		s.awaitAttemptsEnd()
	}
	var memory []uint64 // after each tenth
	for tenth := range 10 {
		play(tenth**soakRequests/10, (tenth+1)**soakRequests/10)
		memory = append(memory, memorytest.HeapBytes())
		t.Logf("memory after %d requests: %d KB, %d parts", (tenth+1)**soakRequests/10, memory[tenth]>>10, s.relay.State().PromptParts)
	}
	if got, want := memory[9], memory[0]+filling; got > want {
		t.Errorf("memory after %d requests: got %d bytes, want at most %d", *soakRequests, got, want)
	}
	// The number of parts that are remembered goes up and down. So does the memory, but it has no trend.
	full := clock.Millis(*soakRequests/10)*clock.Second/requestsPerSecond > longestRetention
	if got, want := slices.Min(memory[7:]), slices.Max(memory[1:4]); full && got > want {
		t.Errorf("least memory after 8 to 10 tenths: got %d bytes, want no more than the most after 2 to 4, %d", got, want)
	}
	if got, want := s.relay.State().PromptParts, 65_536; got > want {
		t.Errorf("prompt parts that are remembered: got %d, want at most %d", got, want)
	}
}

// dial opens a connection to the relay that the caller closes.
func (s *fixture) dial() net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.relay.Address())
	if err != nil {
		s.t.Error(err)
		runtime.Goexit()
	}
	return conn
}
