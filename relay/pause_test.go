package relay_test

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// testPause is the pause that servers of these tests ask for.
	testPause = 2 * clock.Second
	// testPauseLimit is the time after which the pause is over also by a clock that runs 1% slower.
	testPauseLimit = testPause + 25*clock.Millisecond
)

// pauseFields are the header lines with which a server refuses a request and asks for a pause.
func pauseFields(pause clock.Millis) string { return fmt.Sprintf("Not-Run: 1\r\nPause: %d\r\n", pause) }

// Guards against requests to a server during the pause that it has asked for, against callers
// that are told to come back before its end, and against a pause that does not end.
func TestPause(t *testing.T) {
	b := scriptedBackend(t, func(req receivedRequest) { respond(req, 503, pauseFields(testPause)) })
	s := newFixture(t, b)
	for left := testPause; left > 0; left -= testPause / 4 {
		if got, limit := s.wantReason("servers_paused"), testPauseLimit+clock.Second; got < left || got > limit {
			t.Errorf("Retry-After: got %d ms, want %d ms to %d ms", got, left, limit)
		}
		s.manual.Advance(testPause / 4)
	}
	s.wantReason("servers_paused") // the server's clock may be slower
	wantCount(t, "during the pause", b, 1)
	s.manual.Advance(testPauseLimit - testPause)
	s.wantServed("after the pause")
}

// Guards against a server in its pause that is chosen because the others fail, and against one
// that is chosen as one of several.
func TestPausedServerIsNoFallback(t *testing.T) {
	paused := scriptedBackend(t, func(req receivedRequest) { respond(req, 503, pauseFields(testPause)) })
	var failing atomic.Bool
	other := newBackend(t, func(req receivedRequest) {
		if failing.Load() {
			_ = req.conn.Close()
			return
		}
		respond(req, 200, "")
	})
	s := newFixture(t, paused, other)
	for paused.count() == 0 {
		s.wantServed("until the pause")
	}
	for i := range 20 {
		s.wantServed(strconv.Itoa(i))
	}
	if got, want := paused.connections(), 1; got != want {
		t.Errorf("connections to the paused server: got %d, want %d", got, want)
	}
	failing.Store(true)
	for i := range 20 {
		c := s.client()
		c.get("/safe/", strconv.Itoa(i))
		c.wantStatus(502)
	}
	wantCount(t, "paused server", paused, 1)
}

// Guards against a pause that ends too soon, because a shorter one is asked for later or a
// request that was under way is answered, and against one that a new run inherits.
func TestEndOfPause(t *testing.T) {
	release := make(chan struct{})
	answers := map[string]func(req receivedRequest){
		"under way": func(req receivedRequest) {
			<-release
			respond(req, 200, "")
		},
		"shorter": func(req receivedRequest) {
			<-release
			respond(req, 503, pauseFields(testPause/4))
		},
		"refused": func(req receivedRequest) { respond(req, 503, pauseFields(testPause)) },
	}
	b := newBackend(t, func(req receivedRequest) {
		if answer, ok := answers[req.head.Get("Id")]; ok {
			answer(req)
			return
		}
		respond(req, 200, "")
	})
	s := newFixture(t, b)
	underWay, shorter := s.client(), s.client()
	underWay.get("/safe/", "under way")
	shorter.get("/safe/", "shorter")
	for b.count() < 2 {
		s.manual.Advance(0)
	}
	s.wantReason("servers_paused")
	close(release)
	underWay.wantStatus(200)
	shorter.wantStatus(503)
	s.manual.Advance(testPause / 2)
	s.wantReason("servers_paused")
	wantCount(t, "during the pause", b, 3)
	s.list(1, b, roster.Serving, 1, 5)
	s.wantReason("servers_paused")
	s.list(1, b, roster.Serving, 2, 1)
	s.wantServed("new run")
}

// Guards against a pause that nobody has asked for: after a refusal without a time, after an
// answer with another status, and after a late answer to another request. A server that asks
// for a pause without the guarantee that the request did not run gets one.
func TestWhatAsksForAPause(t *testing.T) {
	pause := fmt.Sprintf("Pause: %d\r\n", testPause)
	tests := []struct {
		name   string
		answer func(req receivedRequest)
		want   bool
	}{
		{"a refusal", func(req receivedRequest) { respond(req, 503, "Not-Run: 1\r\n"+pause) }, true},
		{"503 without the guarantee", func(req receivedRequest) { respond(req, 503, pause) }, true},
		{"a refusal without a time", func(req receivedRequest) { respond(req, 503, "Not-Run: 1\r\n") }, false},
		{"another status", func(req receivedRequest) { respond(req, 429, "Not-Run: 1\r\n"+pause) }, false},
		{"success", func(req receivedRequest) { respond(req, 200, pause) }, false},
		{"a late answer to another request", func(req receivedRequest) {
			write(req, "HTTP/1.1 503 Busy\r\nId: other\r\nNot-Run: 1\r\n"+pause+"Content-Length: 0\r\n\r\n")
			respond(req, 200, "")
		}, false},
		{"an answer without ID after one with it", func(req receivedRequest) {
			if req.head.Get("Id") == "1" {
				respond(req, 200, "")
				return
			}
			write(req, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"+pause+"Content-Length: 0\r\n\r\n")
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture(t, newBackend(t, tt.answer))
			for _, id := range []string{"1", "2"} {
				c := s.client()
				c.get("/once/", id)
				_, _, _ = c.read()
				s.awaitAttemptsEnd()
			}
			if got := s.relay.State().Servers[0].PauseLeft > 0; got != tt.want {
				t.Errorf("paused: got %v, want %v", got, tt.want)
			}
		})
	}
}
