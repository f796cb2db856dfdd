package relay_test

import (
	"fmt"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/frame"
	"github.com/galenaslip/galenaslip/relay"
	"github.com/galenaslip/galenaslip/roster"
)

// respond sends a response with the given status and further header lines.
func respond(req receivedRequest, status int, fields string) {
	write(req, fmt.Sprintf("HTTP/1.1 %d Status\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", status, req.head.Get("Id"), fields))
}

// scriptedBackend answers each request with the response for its number, counted from 0, or
// with status 200 after the last one.
func scriptedBackend(t *testing.T, responses ...func(req receivedRequest)) *backend {
	t.Helper()
	var count atomic.Int32
	return newBackend(t, func(req receivedRequest) {
		if n := int(count.Add(1)) - 1; n < len(responses) {
			responses[n](req)
			return
		}
		respond(req, 200, "")
	})
}

// list updates the relay with a record of one server.
func (s *fixture) list(epoch uint64, b *backend, state roster.State, startedAt int64, sequence uint64) {
	s.t.Helper()
	s.relay.Update(s.clock.Now(), control.WatchResponse{Granted: true, Revision: 1, Epoch: epoch, EntryCount: 1, Share: wholeShare(), Servers: []roster.Record{{
		Announcement: roster.Announcement{
			Server: "server-0", Service: "s", Address: b.listener.Addr().String(), AvailabilityZone: "z", Slots: 4,
			State: state, StartedAt: startedAt, Sequence: sequence,
		},
	}}})
}

// wantReason sends a request and fails the test unless the relay refuses it for the reason. It
// returns the Retry-After time.
func (s *fixture) wantReason(reason string) clock.Millis {
	s.t.Helper()
	c := s.client()
	c.get("/safe/", "refused")
	head, body := c.wantStatus(503)
	if want := `"` + reason + `"`; !strings.Contains(body, want) {
		s.t.Errorf("refusal: got %s, want reason %s", strings.TrimSpace(body), want)
	}
	seconds, err := strconv.ParseFloat(head.Get("Retry-After"), 64)
	if err != nil {
		s.t.Errorf("Retry-After: got %v", err)
	}
	return clock.Millis(seconds * float64(clock.Second))
}

// wantServed sends a request and fails the test unless a server answers it with status 200.
func (s *fixture) wantServed(id string) {
	s.t.Helper()
	c := s.client()
	c.get("/safe/", id)
	c.wantStatus(200)
}

// wantCount fails the test if the server has received another number of requests.
func wantCount(t *testing.T, what string, b *backend, want int) {
	t.Helper()
	if got := b.count(); got != want {
		t.Errorf("%s: requests received: got %d, want %d", what, got, want)
	}
}

// Guards against a server that has said in an answer that it leaves and gets requests again,
// because a record of the same run comes later. Another run of the server gets requests.
func TestLeavingByAnswerHoldsForTheRun(t *testing.T) {
	b := scriptedBackend(t, func(req receivedRequest) { respond(req, 200, "Leaving: 1\r\n") })
	s := newFixture(t, b)
	s.wantServed("1")
	steps := []struct {
		name, reason string
		do           func()
	}{
		{"at once", "servers_leaving", func() {}},
		{"a newer record", "servers_leaving", func() { s.list(1, b, roster.Serving, 1, 9) }},
		{"the list of another leader", "servers_leaving", func() { s.list(2, b, roster.Serving, 1, 10) }},
		{"gone", "no_server", func() { s.list(2, b, roster.Gone, 1, 11) }},
		{"a late record after the server is gone", "servers_leaving", func() {
			s.advanceToNextCheck(2 * clock.Minute)
			s.list(2, b, roster.Serving, 1, 12)
		}},
	}
	for _, step := range steps {
		step.do()
		s.wantReason(step.reason)
		wantCount(t, step.name, b, 1)
	}
	s.list(2, b, roster.Serving, 2, 1)
	s.wantServed("2")
}

// Guards against a departure that is forgotten because a record of a later run was wrong and the
// records of the run that leaves are accepted again.
func TestLeavingHoldsAfterAWrongRecord(t *testing.T) {
	b := scriptedBackend(t, func(req receivedRequest) { respond(req, 200, "Leaving: 1\r\n") })
	s := newFixture(t, b)
	s.wantServed("1")
	s.list(1, newBackend(t, func(receivedRequest) {}), roster.Gone, 99, 1)
	s.advanceToNextCheck(clock.Minute)
	s.list(1, b, roster.Serving, 1, 2)
	s.wantReason("servers_leaving")
	s.list(1, b, roster.Serving, 2, 1)
	s.wantServed("2")
}

// Guards against a departure that is not believed because the answer that tells it is a
// refusal, a failure, or a late answer to another request, and against one that another server
// at the address tells.
func TestLeavingIsReadFromAnyAnswer(t *testing.T) {
	tests := []struct {
		name   string
		answer func(req receivedRequest)
		status int
		want   bool
	}{
		{"an answer", func(req receivedRequest) { respond(req, 200, "Leaving: 1\r\n") }, 200, true},
		{"a refusal", func(req receivedRequest) { respond(req, 503, "Not-Run: 1\r\nLeaving: 1\r\n") }, 503, true},
		{"a failure", func(req receivedRequest) { respond(req, 500, "Leaving: 1\r\n") }, 500, true},
		{"a late answer to another request", func(req receivedRequest) {
			write(req, "HTTP/1.1 200 OK\r\nId: other\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
			respond(req, 200, "")
		}, 200, true},
		{"another server", func(req receivedRequest) { respond(req, 421, "Not-Run: 1\r\nLeaving: 1\r\n") }, 503, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture(t, scriptedBackend(t, tt.answer))
			c := s.client()
			c.get("/safe/", "1")
			c.wantStatus(tt.status)
			if got := s.relay.State().Servers[0].SaysLeaving; got != tt.want {
				t.Errorf("says leaving: got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a request, or a connection that is kept open, for a server that leaves when
// it comes after a failure elsewhere: as a retry and as a resumed stream.
func TestNoRetryAtLeavingServer(t *testing.T) {
	const streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	failures := map[string]func(req receivedRequest){
		"/safe/": func(req receivedRequest) { _ = req.conn.Close() },
		"/stream/": func(req receivedRequest) {
			write(req, streamHead+"f\r\nid: 1\ndata: a\n\n\r\n")
			_ = req.conn.Close()
		},
	}
	for path, fail := range failures {
		t.Run(path, func(t *testing.T) {
			leaving := newBackend(t, func(req receivedRequest) { respond(req, 503, "Not-Run: 1\r\nLeaving: 1\r\n") })
			failing := newBackend(t, func(req receivedRequest) {
				if req.head.Get("Id") == "warm-up" {
					respond(req, 200, "")
					return
				}
				fail(req)
			})
			s := newFixture(t, leaving, failing)
			for leaving.count() == 0 {
				s.wantServed("warm-up")
			}
			s.awaitAttemptsEnd()
			for _, state := range s.relay.State().Servers {
				if state.SaysLeaving && (state.IdleConnections > 0 || state.OpenConnections > 0) {
					t.Errorf("connections to %s: got %d idle of %d, want none", state.Server, state.IdleConnections, state.OpenConnections)
				}
			}
			for i := range 5 {
				c := s.client()
				c.get(path, strconv.Itoa(i))
				_, _, _ = c.read()
			}
			wantCount(t, "leaving server", leaving, 1)
		})
	}
}

// Guards against idle connections that are kept open to a server that leaves.
func TestIdleConnectionsOfLeavingServerAreClosed(t *testing.T) {
	var idle sync.WaitGroup // requests that wait until each of them has a connection
	const connections = 3
	idle.Add(connections)
	b := newBackend(t, func(req receivedRequest) {
		if req.head.Get("Id") == "leaving" {
			respond(req, 200, "Leaving: 1\r\n")
			return
		}
		idle.Done()
		idle.Wait()
		respond(req, 200, "")
	})
	s := newFixture(t, b)
	var clients []*client
	for i := range connections {
		c := s.client()
		c.get("/safe/", strconv.Itoa(i))
		clients = append(clients, c)
	}
	for _, c := range clients {
		c.wantStatus(200)
	}
	s.awaitAttemptsEnd()
	if got := s.relay.State().Servers[0].IdleConnections; got != connections {
		t.Errorf("idle connections before: got %d, want %d", got, connections)
	}
	s.wantServed("leaving")
	s.awaitAttemptsEnd()
	if got := s.relay.State().Servers[0].OpenConnections; got != 0 {
		t.Errorf("open connections after: got %d, want 0", got)
	}
	newest := map[net.Conn]receivedRequest{}
	for _, req := range b.received {
		newest[req.conn] = req
	}
	for _, req := range newest {
		await(t, "the end of a connection", req.disconnected)
	}
}

// Guards against cutting the requests that run at a server when it says that it leaves.
func TestLeavingServerFinishesItsRequests(t *testing.T) {
	goOn := make(chan struct{})
	b := newBackend(t, func(req receivedRequest) {
		if !strings.HasPrefix(req.head.Target, "/stream/") {
			respond(req, 200, "Leaving: 1\r\n")
			return
		}
		write(req, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")
		<-goOn
		write(req, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
	})
	s := newFixture(t, b)
	stream := s.client()
	stream.get("/stream/", "1")
	if _, err := stream.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	s.wantServed("2")
	s.wantReason("servers_leaving")
	close(goOn)
	if _, got := stream.wantStatus(200); got != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("stream: got %q, want both events", got)
	}
	s.awaitAttemptsEnd()
	if got := s.relay.State().Servers[0].OpenConnections; got != 0 {
		t.Errorf("open connections: got %d, want 0", got)
	}
}

// heldProtocol is testProtocol, but a request with the ID "held" waits after its server was
// chosen.
type heldProtocol struct {
	testProtocol
	chosen, release chan struct{}
}

func (p heldProtocol) Forward(h frame.Head, forwardInfo relay.ForwardInfo) []frame.Header {
	if h.Get("Id") == "held" {
		close(p.chosen)
		<-p.release
	}
	return p.testProtocol.Forward(h, forwardInfo)
}

// Guards against a request that was not sent yet when its server said that it leaves or wants a
// pause, and is sent there nevertheless.
func TestRequestIsNotSentAfterTheServerWithdraws(t *testing.T) {
	tests := []struct{ name, fields, reason string }{
		{"leaving", "Not-Run: 1\r\nLeaving: 1\r\n", "servers_leaving"},
		{"pause", pauseFields(testPause), "servers_paused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := scriptedBackend(t, func(req receivedRequest) { respond(req, 503, tt.fields) })
			p := heldProtocol{chosen: make(chan struct{}), release: make(chan struct{})}
			s := newFixtureWith(t, func(o *relay.Options) { o.Protocol = p }, b)
			held := s.client()
			held.get("/once/", "held")
			await(t, "the choice of a server", p.chosen)
			s.wantReason(tt.reason)
			close(p.release)
			held.wantStatus(503)
			wantCount(t, "server", b, 1)
		})
	}
}

// Guards against connections that are kept open to a server that has announced its departure, or
// that were opened to an earlier run of a server and would carry requests for the later one.
func TestConnectionsFollowTheRecord(t *testing.T) {
	tests := []struct {
		name      string
		state     roster.State
		startedAt int64
		want      int
	}{
		{"same run", roster.Serving, 1, 2},
		{"leaving", roster.Leaving, 1, 0},
		{"later run", roster.Serving, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			b := newBackend(t, func(req receivedRequest) {
				if req.head.Get("Id") == "under way" {
					<-release
				}
				respond(req, 200, "")
			})
			s := newFixture(t, b)
			c := s.client()
			c.get("/safe/", "under way")
			for b.count() == 0 {
				runtime.Gosched()
			}
			s.wantServed("idle")
			for s.relay.State().Servers[0].IdleConnections == 0 {
				runtime.Gosched()
			}
			s.list(1, b, tt.state, tt.startedAt, 2)
			close(release)
			c.wantStatus(200)
			s.awaitAttemptsEnd()
			if got := s.relay.State().Servers[0].OpenConnections; got != tt.want {
				t.Errorf("open connections: got %d, want %d", got, tt.want)
			}
		})
	}
}
