package relay_test

import (
	"context"
	"io"
	"net"
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

// Guards against connections that a stopping relay lets callers open and resets at its end: it used to
// accept none, and to refuse none, while a last request was running.
func TestStopResetsNoNewConnection(t *testing.T) {
	for range 50 { // a request seldom comes too early or too late to be the last one
		if stopWithLastRequest(t) {
			return
		}
	}
	t.Error("connections that are opened while a last request runs: got all of them accepted, want them refused in the end")
}

// stopWithLastRequest stops a relay that accepts one more request as it ends to accept connections, and
// wants an answer on each connection that callers can still open. It reports whether new
// connections were refused while that request was running.
func stopWithLastRequest(t *testing.T) bool {
	t.Helper()
	arrived, proceed := make(chan struct{}), make(chan struct{})
	s := newFixture(t, newBackend(t, func(req receivedRequest) {
		if req.head.Get("Id") == "last" {
			close(arrived)
			<-proceed
		}
		respondOK(req, "ran")
	}))
	stopped := make(chan struct{})
	go func() {
		_ = s.relay.Stop(context.Background())
		close(stopped)
	}()
	for s.manual.PendingTimers() < 2 { // the periodic checks and the wait for the load balancer
		runtime.Gosched()
	}
	s.manual.Advance(2500)
	for range 5000 { // lets the relay begin to accept what waits in the backlog, which takes 20 ms
		runtime.Gosched()
	}
	conn, err := net.Dial("tcp", s.relay.Address())
	if err != nil {
		return false
	}
	last := newClient(t, conn)
	last.get("/brief/", "last")
	await(t, "the last request", arrived)
	for range 1000 {
		if conn, err = net.Dial("tcp", s.relay.Address()); err != nil {
			break
		}
		next := newClient(t, conn)
		_, _ = io.WriteString(conn, "GET /brief/ HTTP/1.1\r\nHost: h\r\nId: next\r\nKey: k\r\n\r\n")
		_, _, failure := next.read()
		_ = conn.Close()
		if failure == nil {
			continue
		}
		// The system resets what callers open in the instant in which the listener is closed.
		if _, err = net.Dial("tcp", s.relay.Address()); err == nil {
			t.Fatalf("got %v on a connection, and could open another one", failure)
		}
		break
	}
	close(proceed)
	last.wantStatus(200)
	s.advanceUntil(stopped)
	return err != nil
}
