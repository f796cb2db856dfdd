package relay_test

import (
	"runtime"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/roster"
)

// confirmWhenAwaited lets control confirm what the relay knows whenever a stream waits for that, until
// the end of the test.
func (s *fixture) confirmWhenAwaited() {
	stopped := make(chan struct{})
	s.t.Cleanup(func() { close(stopped) })
	go func() {
		for {
			select {
			case <-stopped:
				return
			default:
				if s.awaitsConfirmation() {
					s.updateServers()
				}
			}
		}
	}()
}

// awaitsConfirmation reports whether a stream waits for control to confirm the servers.
func (s *fixture) awaitsConfirmation() bool {
	runtime.Gosched()
	return s.relay.Report().MaxWait > 0
}

// restartedRecord returns the record of a server that was started again with another version.
func restartedRecord(name, version string, b *backend) roster.Record {
	r := versionRecord(name, version, b)
	r.StartedAt, r.Sequence = 2, 1
	return r
}

// Guards against a stream that a caller takes up at a relay which was cut off or frozen, and that goes
// on at a server whose new run, at another version, the relay has not heard of.
func TestRelayOutOfStepContinuesNoStream(t *testing.T) {
	tests := []struct {
		name    string
		restart string // version of the server since it was started again, as control confirms it
		want    int
		reason  string // of the refusal
	}{
		{"started again at another version", "v2", 503, "stream_version"},
		{"started again at the same version", "v1", 200, ""},
		{"not started again", "", 200, ""},
		{"cut off", "unconfirmed", 503, "stream_version_unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, func(req receivedRequest) { endStream(req, 3, 4) })
			s := newFixtureWithOrigins(t, newFakeOrigins(continuation.Record{Stream: "stream", Origin: originOf("v1")}))
			s.updateServers(versionRecord("a", "v1", b))
			s.manual.Advance(1)
			c := s.client()
			c.takeUp("next", "stream", 2)
			for b.count() == 0 || !s.awaitsConfirmation() {
				runtime.Gosched()
			}
			switch tt.restart {
			case "unconfirmed":
				s.manual.Advance(clock.Second)
			case "":
				s.updateServers()
			default:
				s.updateServers(restartedRecord("a", tt.restart, b))
				s.confirmWhenAwaited()
			}
			head, body, err := c.read()
			if err != nil || head.Status != tt.want || !strings.Contains(body, tt.reason) {
				t.Errorf("got status %d, %q and %v, want %d %s", head.Status, body, err, tt.want, tt.reason)
			}
		})
	}
}

// Guards against a stream that a relay which is out of step resumes in the same answer at another
// version: the server that goes on was started again, or the one that began the stream had been.
func TestRelayOutOfStepResumesNoStream(t *testing.T) {
	for _, tt := range []struct {
		name      string
		restarted string // the server that was started again; "" for none
		wantWhole bool
	}{{"the one that goes on", "b", false}, {"the one that began", "a", false}, {"none", "", true}} {
		t.Run(tt.name, func(t *testing.T) {
			begun := make(chan struct{})
			a := newBackend(t, func(req receivedRequest) {
				beginStream(req, 1, 2)
				<-begun
				_ = req.conn.Close()
			})
			b := newBackend(t, func(req receivedRequest) { endStream(req, 3, 4) })
			s := newFixture(t)
			s.updateServers(versionRecord("a", "v1", a))
			c := s.client()
			c.get("/stream/", "1")
			for a.count() == 0 {
				runtime.Gosched()
			}
			s.updateServers(versionRecord("b", "v1", b))
			s.manual.Advance(1)
			close(begun)
			for b.count() == 0 || !s.awaitsConfirmation() {
				runtime.Gosched()
			}
			if tt.restarted == "" {
				s.updateServers()
			} else {
				s.updateServers(restartedRecord(tt.restarted, "v2", map[string]*backend{"a": a, "b": b}[tt.restarted]))
			}
			_, body, err := c.read()
			if got := err == nil; got != tt.wantWhole {
				t.Errorf("whole stream: got %v (%v, %q), want %v", got, err, body, tt.wantWhole)
			}
			if hasRest := strings.Contains(body, "id: 3"); hasRest != tt.wantWhole {
				t.Errorf("events of the other server: got %v, want %v", hasRest, tt.wantWhole)
			}
		})
	}
}
