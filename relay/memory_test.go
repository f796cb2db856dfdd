package relay_test

import (
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/relay"
)

// isFaulty reports whether a request of these tests asks for a faulty answer.
func isFaulty(req receivedRequest) bool { return strings.HasPrefix(req.head.Get("Id"), "faulty") }

// hold keeps the connection open after a faulty answer until the relay closes it.
func hold(req receivedRequest, held *atomic.Int64, text string) {
	write(req, text)
	held.Add(1)
	<-req.disconnected
	held.Add(-1)
}

// Guards against a refused request that is not sent to another server, or whose connection is kept
// and read for as long as the caller waits, because the text of the refusal never ends.
func TestRefusalWithoutEnd(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 9000000\r\n\r\n"} {
		var sent atomic.Int64
		refusing := newBackend(t, func(req receivedRequest) {
			sent.Store(int64(repeatUntilClosed(req, text, "x")))
		})
		sound := newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
		s := newFixture(t, refusing, sound)
		for i := 0; refusing.count() == 0; i++ {
			c := s.client()
			c.get("/once/", fmt.Sprint(i))
			if _, body := c.wantStatus(200); body != "ran" {
				t.Errorf("got %q, want the answer of the other server", body)
			}
		}
		for sent.Load() == 0 {
			s.clock.Sleep(t.Context(), 0)
		}
		const socketBuffers = 8 << 20
		if got, want := sent.Load(), int64(64<<10+socketBuffers); got > want {
			t.Errorf("bytes taken from the server: got %d, want at most %d", got, want)
		}
	}
}

// Guards against a server that sends without end and takes the memory that answers of other servers
// need, and against heads that are not counted.
func TestFaultyServerLeavesMemoryToOthers(t *testing.T) {
	const memory = 1 << 20
	body := func(status string) func(id string, i int) string {
		return func(id string, i int) string {
			size := (300 << 10) >> (i % 6)
			return fmt.Sprintf("HTTP/1.1 %s\r\nId: %s\r\nContent-Length: 9000000\r\n\r\n%s", status, id, strings.Repeat("x", size))
		}
	}
	tests := []struct {
		name    string
		answer  func(id string, i int) string
		mostNow int64 // answers that may be held at the same time
	}{
		{"bodies", body("200 OK"), 40},
		{"failures", body("500 Failed"), 40},
		{"heads", func(id string, _ int) string {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + strings.Repeat("A:\r\n", 15<<10)
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var held, begun atomic.Int64
			faulty := newBackend(t, func(req receivedRequest) {
				if !isFaulty(req) {
					notRun(req)
					return
				}
				hold(req, &held, tt.answer(req.head.Get("Id"), int(begun.Add(1))))
			})
			sound := newBackend(t, func(req receivedRequest) {
				respondOK(req, strings.Repeat("x", lo.Ternary(isFaulty(req), 1, 100<<10)))
			})
			s := newFixtureWith(t, func(o *relay.Options) { o.MessageMemory = memory }, faulty, sound)
			const requests = 80
			for i := range requests {
				s.client().get("/open/", fmt.Sprintf("faulty-%d", i))
			}
			// Answers that find no memory are given up.
			c := clock.New()
			for faulty.count()+sound.count() < requests || held.Load() > tt.mostNow || int64(s.relay.State().Attempts) != held.Load() {
				if c.Now() > 20*clock.Second {
					t.Fatalf("answers held: got %d of %d, want at most %d", held.Load(), begun.Load(), tt.mostNow)
				}
				runtime.Gosched()
			}
			for i := range 10 {
				c := s.client()
				c.get("/safe/", fmt.Sprintf("sound-%d", i))
				c.wantStatus(200)
			}
		})
	}
}

// Guards against callers that send heads without end and take the memory of the relay.
func TestHeadsOfCallersAreCounted(t *testing.T) {
	s := newFixtureWith(t, func(o *relay.Options) { o.MessageMemory = 256 << 10 }, newBackend(t, func(req receivedRequest) { respondOK(req, "ran") }))
	refused := s.log.await(`"no_memory"`)
	for range 40 {
		s.client().send("GET /safe/ HTTP/1.1\r\n" + strings.Repeat("A:\r\n", 1000))
	}
	await(t, "a refusal for want of memory", refused)
	c := s.client()
	c.get("/safe/", "1")
	c.wantStatus(200)
}
