package relay_test

import (
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

// pausingBackend sends the first event of a stream, or nothing if beforeFirst is set, pauses until
// proceed is closed, and then sends the rest. It answers a request to go on at once.
func pausingBackend(t *testing.T, beforeFirst bool, proceed <-chan struct{}) *backend {
	t.Helper()
	return newBackend(t, func(req receivedRequest) {
		if req.head.Get("From-Event") != "" {
			endStream(req, 2, 3)
			return
		}
		if !beforeFirst {
			beginStream(req, 1, 1)
		}
		select {
		case <-proceed:
		case <-req.disconnected:
			return
		}
		if beforeFirst {
			endStream(req, 1, 3)
			return
		}
		write(req, eventChunk(2)+eventChunk(3)+"0\r\n\r\n")
	})
}

// Guards against answers that a relay gives up because their server is silent, although nothing better
// can take over: there is no other server, or none of the version. Where another one can, a silent
// server is still left after the same time.
func TestSilenceEndsAnAnswerOnlyForAnotherServer(t *testing.T) {
	const whole = "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
	tests := []struct {
		name        string
		path        string
		beforeFirst bool
		other       string // version of another server; "" for none
		wantOther   bool   // the other server takes over
	}{
		{"in a stream, no other server", "/stream/", false, "", false},
		{"in a stream, a server of another version", "/stream/", false, "v2", false},
		{"in a stream, a server of the version", "/stream/", false, "v1", true},
		{"before the first event, no other server", "/stream/", true, "", false},
		{"before the first event, a server of another version", "/stream/", true, "v2", true},
		{"no stream, no other server", "/brief/", true, "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			proceed := make(chan struct{})
			pausing := pausingBackend(t, tt.beforeFirst, proceed)
			other := newBackend(t, func(req receivedRequest) {
				if req.head.Get("From-Event") != "" {
					endStream(req, 2, 3)
					return
				}
				endStream(req, 1, 3)
			})
			s := newFixture(t)
			s.updateServers(versionRecord("pausing", "v1", pausing))
			c := s.client()
			c.get(tt.path, "1")
			for pausing.count() == 0 {
				s.clock.Sleep(t.Context(), 0)
			}
			if !tt.beforeFirst {
				if _, err := c.reader.Peek(1); err != nil {
					t.Fatal(err)
				}
			}
			if tt.other != "" {
				s.updateServers(versionRecord("other", tt.other, other))
			}
			for range 15 { // 3.75 s
				s.advanceToNextCheck(250 * clock.Millisecond)
			}
			if !tt.wantOther {
				close(proceed)
			}
			_, body, err := c.read()
			if err != nil || body != whole {
				t.Errorf("got %q and %v, want the whole stream", strings.ReplaceAll(body, "\n", " "), err)
			}
			if got := other.count() > 0; got != tt.wantOther {
				t.Errorf("another server took over: got %v, want %v", got, tt.wantOther)
			}
		})
	}
}

// postTo sends a request that reaches a server.
func postTo(t *testing.T, s *fixture, id string, to *backend) *client {
	t.Helper()
	c := s.client()
	c.post("/safe/", id, "sound body")
	for to.count() == 0 {
		s.clock.Sleep(t.Context(), 0)
	}
	return c
}

// endAfterCallerLeft has servers hold a request until its caller leaves, and end after that.
func endAfterCallerLeft(t *testing.T, s *fixture, names ...string) {
	t.Helper()
	for _, name := range names {
		ending := newBackend(t, func(req receivedRequest) { <-req.disconnected })
		record := versionRecord(name, "v1", ending)
		s.updateServers(record)
		_ = postTo(t, s, name, ending).conn.Close()
		for s.relay.State().Connections > 0 {
			s.clock.Sleep(t.Context(), 0)
		}
		record.StartedAt++
		s.updateServers(record)
		record.State, record.Sequence = roster.Leaving, record.Sequence+1
		s.updateServers(record)
	}
	suspects := s.relay.State().Suspects
	if len(suspects) != 1 || len(suspects[0].Servers) != len(names) {
		t.Fatalf("requests under which servers have ended: got %+v, want one with %d", suspects, len(names))
	}
}

// Guards against a sound request that is kept waiting at a silent server, or refused, because the
// server at which its caller gave it up before has ended by chance.
func TestRequestGivenUpAtServerThatEndedIsAnswered(t *testing.T) {
	silent := newBackend(t, func(req receivedRequest) { <-req.disconnected })
	answering := newBackend(t, func(req receivedRequest) { respondOK(req, "answer") })
	s := newFixture(t)
	endAfterCallerLeft(t, s, "ending")
	s.updateServers(versionRecord("silent", "v1", silent))
	c := postTo(t, s, "again", silent)
	s.updateServers(versionRecord("answering", "v1", answering))
	for range 2 {
		s.advanceToNextCheck(700)
	}
	c.wantStatus(200)
}

// Guards against a trial that is given up because its server is silent for a while, although it may
// not be sent to another one: its caller gets nothing, and the trial has no outcome.
func TestTrialWaitsForSilentServer(t *testing.T) {
	proceed := make(chan struct{})
	silent := newBackend(t, func(req receivedRequest) {
		select {
		case <-proceed:
			respondOK(req, "answer")
		case <-req.disconnected:
		}
	})
	answering := newBackend(t, func(req receivedRequest) { respondOK(req, "answer") })
	s := newFixture(t)
	endAfterCallerLeft(t, s, "ending", "ending too")
	s.updateServers(versionRecord("silent", "v1", silent))
	c := postTo(t, s, "again", silent)
	s.updateServers(versionRecord("answering", "v1", answering))
	for range 2 {
		s.advanceToNextCheck(700)
	}
	close(proceed)
	c.wantStatus(200)
}
