package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/frame"
	"github.com/galenaslip/galenaslip/relay"
	"github.com/galenaslip/galenaslip/roster"
)

// Guards against a request or a response that the relay changes.
func TestForwardsUnchanged(t *testing.T) {
	b := newBackend(t, func(req receivedRequest) { respondOK(req, "whole answer") })
	c := newFixture(t, b).client()
	c.send("POST /once/a%20b?q=1&r HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nTime-Left: 5000\r\nX-Own: v\r\nConnection: X-Hop\r\nX-Hop: v\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	_, body := c.wantStatus(200)
	if want := "whole answer"; body != want {
		t.Errorf("answer: got %q, want %q", body, want)
	}
	req := b.received[0]
	if got, want := req.head.Target+" "+req.body, "/once/a%20b?q=1&r abcde"; got != want {
		t.Errorf("request: got %q, want %q", got, want)
	}
	for name, want := range map[string]string{"X-Own": "v", "X-Hop": "", "Meant": "server-0", "Left": "5000", "Content-Length": "5"} {
		if got := req.head.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}

// Guards against a once-only call that runs twice, and against a response that claims
// that a call did not run although it may have.
func TestOnceOnlyRunsOnce(t *testing.T) {
	tests := []struct {
		name   string
		answer func(req receivedRequest)
	}{
		{"closed without an answer", func(req receivedRequest) { _ = req.conn.Close() }},
		{"answer cut short", func(req receivedRequest) {
			write(req, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
			_ = req.conn.Close()
		}},
		{"no HTTP", func(req receivedRequest) { write(req, "what\r\n\r\n") }},
		{"refusal without the guarantee", func(req receivedRequest) { write(req, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			one, two := newBackend(t, tt.answer), newBackend(t, tt.answer)
			c := newFixture(t, one, two).client()
			c.get("/once/", "1")
			c.wantStatus(502)
			if got, want := one.count()+two.count(), 1; got != want {
				t.Errorf("arrivals: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against refusing a request that another server would have run, and against a
// refusal that does not correctly state that the request did not run and when to retry.
func TestRefusedRequestGoesToAnotherServer(t *testing.T) {
	refusing := newBackend(t, notRun)
	serving := newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
	s := newFixture(t, refusing, serving)
	for i := range 8 {
		c := s.client()
		c.get("/once/", fmt.Sprint(i))
		c.wantStatus(200)
	}
	if got, want := serving.count(), 8; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	alone := newFixture(t, newBackend(t, notRun)).client()
	alone.get("/once/", "9")
	head, _ := alone.wantStatus(503)
	if got := head.Get("Retry-After"); got == "" {
		t.Error("Retry-After: got none, want a time")
	}
}

// Guards against lost, duplicate or incomplete events in a stream that another server
// resumes.
func TestStreamResumesAtAnotherServer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	answer := func(req receivedRequest) {
		if req.head.Get("From-Event") == "" {
			write(req, head+chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
			_ = req.conn.Close()
			return
		}
		// The server repeats the event after which it was asked to resume.
		write(req, head+chunk("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")+chunk("id: 4\ndata: d\n\n")+"0\r\n\r\n")
	}
	one, two := newBackend(t, answer), newBackend(t, answer)
	c := newFixture(t, one, two).client()
	c.get("/stream/", "1")
	_, got := c.wantStatus(200)
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	for _, b := range []*backend{one, two} {
		for _, req := range b.received {
			if from := req.head.Get("From-Event"); from != "" && from != "2" {
				t.Errorf("resumed after event %q, want 2", from)
			}
		}
	}
}

// Guards against an incomplete stream that ends like a complete one.
func TestCutStreamLooksIncomplete(t *testing.T) {
	answer := func(req receivedRequest) {
		write(req, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")
		_ = req.conn.Close()
	}
	c := newFixture(t, newBackend(t, answer)).client()
	c.get("/stream/", "1")
	if _, _, err := c.read(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want %v", err, io.ErrUnexpectedEOF)
	}
}

// Guards against cutting a stream because its server pauses, for example while it
// processes a long prompt or has preempted the request.
func TestPausedStreamIsNotCut(t *testing.T) {
	proceed := make(chan struct{})
	b := newBackend(t, func(req receivedRequest) {
		write(req, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")
		select {
		case <-proceed:
		case <-req.disconnected:
		}
		write(req, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
	})
	s := newFixture(t, b)
	c := s.client()
	c.get("/stream/", "1")
	if _, err := c.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		s.advanceToNextCheck(250 * clock.Millisecond)
	}
	close(proceed)
	_, got := c.wantStatus(200)
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := b.count(), 1; got != want {
		t.Errorf("arrivals: got %d, want %d", got, want)
	}
}

// Guards against a server that keeps working after the caller has disconnected, and
// against a missing log line for the abandoned request.
func TestCallerDisconnects(t *testing.T) {
	arrived, disconnected := make(chan struct{}), make(chan struct{})
	b := newBackend(t, func(req receivedRequest) {
		close(arrived)
		<-req.disconnected
		close(disconnected)
	})
	s := newFixture(t, b)
	logged := s.log.await("caller_left")
	c := s.client()
	c.get("/safe/", "1")
	await(t, "the arrival", arrived)
	_ = c.conn.Close()
	await(t, "the end of the connection to the server", disconnected)
	await(t, "the log line", logged)
	if got, want := b.count(), 1; got != want {
		t.Errorf("arrivals: got %d, want %d", got, want)
	}
}

// Guards against a response that is delivered to the wrong request: a second response to
// the same request, or one that arrives before the request's own.
func TestStrayResponses(t *testing.T) {
	t.Run("after the answer", func(t *testing.T) {
		b := newBackend(t, func(req receivedRequest) {
			id := req.head.Get("Id")
			write(req, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 1\r\n\r\n%sHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nstray", id, id, id))
		})
		s := newFixture(t, b)
		for _, id := range []string{"1", "2", "3"} {
			c := s.client()
			c.get("/safe/", id)
			if _, got := c.wantStatus(200); got != id {
				t.Errorf("got %q, want %q", got, id)
			}
		}
	})
	t.Run("before the answer", func(t *testing.T) {
		b := newBackend(t, func(req receivedRequest) {
			write(req, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nstray")
			respondOK(req, "own")
		})
		c := newFixture(t, b).client()
		c.get("/once/", "1")
		if _, got := c.wantStatus(200); got != "own" {
			t.Errorf("got %q, want %q", got, "own")
		}
	})
}

// Guards against reusing a connection on which a long request body is still being
// written: the server has responded early and would read the next request as the rest
// of the body.
func TestEarlyResponse(t *testing.T) {
	const size = 3_000_000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	unexpected := make(chan string, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go respondEarly(conn, unexpected)
		}
	}()
	s := newFixture(t, &backend{listener: l})
	for range 3 {
		c := s.client()
		c.send(fmt.Sprintf("POST /safe/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("x", size))
		c.wantStatus(413)
	}
	select {
	case got := <-unexpected:
		t.Errorf("got %s where the rest of a body or a request is expected", got)
	default:
	}
}

// respondEarly responds to each request before it reads the body. It sends a
// description of each unexpected input to the channel: bytes that are no request, or
// that do not belong to the body.
func respondEarly(conn net.Conn, unexpected chan<- string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		head, err := frame.ReadRequest(r, 1<<16, nil)
		if errors.Is(err, frame.ErrMalformed) {
			unexpected <- "no request"
		}
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		body, err := frame.RequestBody(r, head)
		if err != nil {
			unexpected <- "no body"
			return
		}
		data, err := io.ReadAll(body)
		if rest := strings.Trim(string(data), "x"); rest != "" {
			unexpected <- fmt.Sprintf("%.40q", rest)
		}
		if err != nil {
			return
		}
	}
}

// Guards against accepting an API key that may have been revoked, and against 401 and
// 404 from an entry that may not have the newest catalog.
func TestLease(t *testing.T) {
	b := newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
	s := newFixture(t, b)
	s.manual.Advance(3999)
	c := s.client()
	c.get("/safe/", "1")
	c.wantStatus(200)
	s.manual.Advance(1)
	for _, path := range []string{"/safe/", "/none/"} {
		c := s.client()
		c.get(path, "2")
		c.wantStatus(503)
	}
	if s.relay.Ready() {
		t.Error("ready: got true, want false")
	}
	open := s.client()
	open.get("/open/", "3")
	open.wantStatus(200)
	s.relay.Update(s.clock.Now(), control.WatchResponse{Granted: true, Revision: 2})
	if s.relay.Leased() {
		t.Error("lease by an answer without the newest catalog: got true, want false")
	}
	s.relay.Update(s.clock.Now(), control.WatchResponse{Granted: true, Revision: 1})
	if !s.relay.Ready() {
		t.Error("ready after a renewal: got false, want true")
	}
}

// Guards against a retry that is sent after the lease has ended: the relay may not know by
// then that its server leaves, or that the key of the request was revoked.
func TestNoRetryWithoutLease(t *testing.T) {
	var s *fixture
	lose := func(req receivedRequest) {
		if req.head.Target == "/safe/1" {
			s.manual.Advance(5 * clock.Second)
		}
		_ = req.conn.Close()
	}
	first, second := newBackend(t, func(req receivedRequest) { lose(req) }), newBackend(t, func(req receivedRequest) { lose(req) })
	s = newFixture(t, first, second)
	c := s.client()
	c.get("/safe/1", "1")
	c.wantStatus(502)
	if got, want := first.count()+second.count(), 1; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
}

// Guards against refusals with a status that does not tell the caller the cause.
func TestRefusals(t *testing.T) {
	b := newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
	s := newFixture(t, b)
	tests := []struct {
		name, request string
		want          int
	}{
		{"no route", "GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n", 404},
		{"unknown key", "GET /safe/ HTTP/1.1\r\nHost: h\r\nKey: x\r\n\r\n", 401},
		{"malformed", "GET /safe/ HTTP/1.1\r\nHost: h\r\nKey : k\r\n\r\n", 400},
		{"large head", "GET /safe/" + strings.Repeat("a", 20_000) + " HTTP/1.1\r\nHost: h\r\n\r\n", 431},
		{"large body", "POST /safe/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: 9999999\r\n\r\n", 413},
		{"coded body", "POST /safe/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := s.client()
			c.send(tt.request)
			c.wantStatus(tt.want)
		})
	}
	if got := b.count(); got != 0 {
		t.Errorf("arrivals: got %d, want none", got)
	}
}

// Guards against a relay that tells a caller that a route or a key does not exist, although a
// catalog that it has not heard of yet may have it.
func TestDenialNeedsRecentCatalog(t *testing.T) {
	s := newFixture(t, newBackend(t, func(req receivedRequest) { respondOK(req, "ran") }))
	steps := []struct {
		name    string
		advance clock.Millis
		confirm bool
		want    int // status of a request to an unknown route
		wantKey int // status of a request with an unknown key
	}{
		{name: "just confirmed", advance: 1000, want: 404, wantKey: 401},
		{name: "confirmed long ago", advance: 1000, want: 503, wantKey: 503},
		{name: "confirmed again", confirm: true, want: 404, wantKey: 401},
	}
	for _, step := range steps {
		s.manual.Advance(step.advance)
		if step.confirm {
			s.relay.Update(s.clock.Now(), control.WatchResponse{Granted: true, Revision: 1, Epoch: 1, EntryCount: 1, Share: wholeShare()})
		}
		c := s.client()
		c.get("/none/", "1")
		c.wantStatus(step.want)
		c.send("GET /safe/ HTTP/1.1\r\nHost: h\r\nId: 2\r\nKey: unknown\r\n\r\n")
		c.wantStatus(step.wantKey)
		c.get("/safe/", "3")
		c.wantStatus(200)
	}
}

// Guards against a planned stop that cuts a running request, or that does not announce
// to a caller that its connection closes.
func TestStop(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	b := newBackend(t, func(req receivedRequest) {
		if req.head.Target == "/safe/slow" {
			close(arrived)
			<-proceed
		}
		respondOK(req, "ran")
	})
	s := newFixture(t, b)
	idle, busy := s.client(), s.client()
	idle.get("/safe/", "1")
	idle.wantStatus(200)
	busy.get("/safe/slow", "2")
	await(t, "the arrival", arrived)
	stopped := make(chan struct{})
	go func() {
		_ = s.relay.Stop(context.Background())
		close(stopped)
	}()
	for s.relay.Ready() {
		s.manual.Advance(0)
	}
	idle.get("/safe/", "3")
	if head, _ := idle.wantStatus(200); head.Get("Connection") != "close" {
		t.Errorf("Connection: got %q, want close", head.Get("Connection"))
	}
	close(proceed)
	busy.wantStatus(200)
	s.advanceUntil(stopped)
}

// Guards against a request that a planned stop cuts off without an answer because it came on
// a connection that had just been accepted, while the last connections were being closed, and
// against one that is accepted too late to end before the stop.
func TestStopAnswersNewConnections(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	b := newBackend(t, func(req receivedRequest) {
		if req.head.Target == "/once/slow" {
			close(arrived)
			<-proceed
		}
		respondOK(req, "ran")
	})
	s := newFixture(t, b)
	busy := s.client()
	busy.get("/once/slow", "busy")
	await(t, "the arrival", arrived)
	stopped := make(chan struct{})
	go func() {
		_ = s.relay.Stop(context.Background())
		close(stopped)
	}()
	advance := func(delay clock.Millis) { // lets the stop and the periodic checks go on to their next waits
		for s.manual.PendingTimers() < 2 {
			runtime.Gosched()
		}
		s.manual.Advance(delay)
		for s.manual.PendingTimers() < 2 {
			runtime.Gosched()
		}
	}
	advance(2500) // connections are being closed from now on; the busy one holds the stop up
	// A caller that the scheduler delays before it sends is closed without an answer, so
	// there are several tries.
	answered := false
	for i := 0; i < 20 && !answered; i++ {
		c := s.client()
		for s.relay.State().Connections < 2 {
			runtime.Gosched()
		}
		advance(20)
		advance(20)
		if _, err := fmt.Fprintf(c.conn, "GET /brief/ HTTP/1.1\r\nHost: h\r\nId: %d\r\nKey: k\r\n\r\n", i); err != nil {
			continue
		}
		head, body, err := c.read()
		answered = err == nil && head.Status == 200 && body == "ran"
	}
	if !answered {
		t.Error("no request on a new connection was answered")
	}
	advance(2 * clock.Second) // less than the timeout of the route is left
	c := s.client()
	c.get("/brief/", "late")
	if head, _, err := c.read(); err == nil && head.Status != 503 || b.received[len(b.received)-1].head.Get("Id") == "late" {
		t.Errorf("request that could outlast the stop: got status %d, want 503 or a closed connection, and no run", head.Status)
	}
	close(proceed)
	busy.wantStatus(200)
	s.advanceUntil(stopped)
}

// Guards against opening a connection for each request, and against reusing one that
// the server has closed.
func TestConnectionReuse(t *testing.T) {
	b := newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
	s := newFixture(t, b)
	c := s.client()
	for i := range 5 {
		c.get("/once/", fmt.Sprint(i))
		c.wantStatus(200)
	}
	if got, want := b.connections(), 1; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
	closing := newBackend(t, func(req receivedRequest) {
		respondOK(req, "ran")
		_ = req.conn.Close()
	})
	c = newFixture(t, closing).client()
	for i := range 5 {
		c.get("/once/", fmt.Sprint(i))
		if head, _, err := c.read(); err != nil || head.Status != 200 && head.Status != 502 {
			t.Errorf("got status %d and %v, want 200", head.Status, err)
		}
	}
}

// Guards against more retries than the configured limit when all servers fail.
func TestRetryBudget(t *testing.T) {
	failing := func(req receivedRequest) { write(req, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n") }
	one, two := newBackend(t, failing), newBackend(t, failing)
	c := newFixture(t, one, two).client()
	const requests = 400
	for i := range requests {
		c.get("/safe/", fmt.Sprint(i))
		c.wantStatus(500)
	}
	retries := one.count() + two.count() - requests
	if limit := requests/5 + 50; retries > limit || retries < limit/2 {
		t.Errorf("got %d retries, want at most %d and at least half of that", retries, limit)
	}
}

// Guards against using a server after the leader has reported that it is leaving, and
// against a record of an older start that replaces a newer one.
func TestServerStateFollowsTheLeader(t *testing.T) {
	b := newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
	s := newFixture(t, b)
	record := func(state roster.State, started int64) control.WatchResponse {
		return control.WatchResponse{Granted: true, Revision: 1, Epoch: 1, EntryCount: 1, Share: wholeShare(), Servers: []roster.Record{{Announcement: roster.Announcement{
			Server: "server-0", Service: "s", Address: b.listener.Addr().String(), Slots: 4, State: state, StartedAt: started,
		}}}}
	}
	steps := []struct {
		update control.WatchResponse
		want   int
	}{
		{record(roster.Leaving, 1), 503}, {record(roster.Gone, 1), 503}, {record(roster.Serving, 1), 503},
		{record(roster.Serving, 2), 200}, {record(roster.Leaving, 1), 200},
	}
	for i, step := range steps {
		s.relay.Update(s.clock.Now(), step.update)
		c := s.client()
		c.get("/safe/", "1")
		if head, _, err := c.read(); err != nil || head.Status != step.want {
			t.Errorf("step %d: got %d and %v, want %d", i, head.Status, err, step.want)
		}
	}
}

// Guards against a server that leaves and gets requests again, because an entry has turned
// to a member that does not know yet that the server leaves.
func TestLeavingServerStaysOut(t *testing.T) {
	b := newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
	s := newFixture(t, b)
	steps := []struct {
		state    roster.State
		sequence uint64
		want     int
	}{
		{roster.Serving, 4, 200}, {roster.Leaving, 5, 503}, {roster.Serving, 4, 503}, {roster.Serving, 5, 503}, {roster.Serving, 6, 200},
	}
	for i, step := range steps {
		s.relay.Update(s.clock.Now(), control.WatchResponse{Granted: true, Revision: 1, Epoch: 1, EntryCount: 1, Share: wholeShare(), Servers: []roster.Record{{
			Announcement: roster.Announcement{
				Server: "server-0", Service: "s", Address: b.listener.Addr().String(), Slots: 4, State: step.state, StartedAt: 1, Sequence: step.sequence,
			},
		}}})
		c := s.client()
		c.get("/safe/", "1")
		if head, _, err := c.read(); err != nil || head.Status != step.want {
			t.Errorf("step %d: got %d and %v, want %d", i, head.Status, err, step.want)
		}
	}
}

// Guards against undocumented metrics, documented metrics that do not exist, and API
// keys in the metrics or the state.
func TestMetricsPage(t *testing.T) {
	s := newFixture(t, newBackend(t, func(req receivedRequest) { respondOK(req, "ran") }))
	c := s.client()
	c.get("/safe/", "1")
	c.wantStatus(200)
	c.get("/none/", "2")
	c.wantStatus(404)
	recorder := httptest.NewRecorder()
	s.relay.Metrics().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := recorder.Body.String()
	documentation, err := os.ReadFile("../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	collect := func(pattern, text string) string {
		var found []string
		for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
			found = append(found, match[1])
		}
		slices.Sort(found)
		return strings.Join(found, "\n")
	}
	got := collect(`(?m)^# HELP (galenaslip_relay_\w+) `, text)
	want := collect("(?m)^\\| `(galenaslip_relay_\\w+)` ", string(documentation))
	if got != want {
		t.Errorf("metrics: got\n%s\nwant those of docs/metrics.md\n%s", got, want)
	}
	state, err := relay.EncodeState(s.relay.State())
	if err != nil {
		t.Fatal(err)
	}
	if dump := text + string(state); strings.Contains(dump, `"k"`) {
		t.Error("the key of a workspace is in the metrics or the state dump")
	}
}
