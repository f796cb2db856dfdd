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

// Guards against a request or an answer that changes on its way.
func TestPassesUnchanged(t *testing.T) {
	b := newBackend(t, func(a arrival) { ok(a, "whole answer") })
	c := newSite(t, b).client()
	c.send("POST /once/a%20b?q=1&r HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nTime-Left: 5000\r\nX-Own: v\r\nConnection: X-Hop\r\nX-Hop: v\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	_, body := c.wantStatus(200)
	if want := "whole answer"; body != want {
		t.Errorf("answer: got %q, want %q", body, want)
	}
	a := b.arrivals[0]
	if got, want := a.head.Target+" "+a.body, "/once/a%20b?q=1&r abcde"; got != want {
		t.Errorf("request: got %q, want %q", got, want)
	}
	for name, want := range map[string]string{"X-Own": "v", "X-Hop": "", "Meant": "server-0", "Left": "5000", "Content-Length": "5"} {
		if got := a.head.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}

// Guards against a once-only call that runs twice, and against an answer that
// promises that it has not run.
func TestOnceOnlyRunsOnce(t *testing.T) {
	tests := []struct {
		name   string
		answer func(a arrival)
	}{
		{"closed without an answer", func(a arrival) { _ = a.conn.Close() }},
		{"answer cut short", func(a arrival) {
			write(a, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
			_ = a.conn.Close()
		}},
		{"no HTTP", func(a arrival) { write(a, "what\r\n\r\n") }},
		{"refusal without the promise", func(a arrival) { write(a, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			one, two := newBackend(t, tt.answer), newBackend(t, tt.answer)
			c := newSite(t, one, two).client()
			c.get("/once/", "1")
			c.wantStatus(502)
			if got, want := one.count()+two.count(), 1; got != want {
				t.Errorf("arrivals: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a refusal to the caller while another server would run the
// request, and against a refusal that is not true.
func TestNotRunGoesElsewhere(t *testing.T) {
	refusing := newBackend(t, notRun)
	serving := newBackend(t, func(a arrival) { ok(a, "ran") })
	s := newSite(t, refusing, serving)
	for i := range 8 {
		c := s.client()
		c.get("/once/", fmt.Sprint(i))
		c.wantStatus(200)
	}
	if got, want := serving.count(), 8; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	alone := newSite(t, newBackend(t, notRun)).client()
	alone.get("/once/", "9")
	head, _ := alone.wantStatus(503)
	if got := head.Get("Retry-After"); got == "" {
		t.Error("Retry-After: got none, want a time")
	}
}

// Guards against a stream with lost, doubled or torn events after a change of
// server.
func TestStreamGoesOnElsewhere(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	answer := func(a arrival) {
		if a.head.Get("From-Event") == "" {
			write(a, head+chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
			_ = a.conn.Close()
			return
		}
		// The server repeats the event after which it should go on.
		write(a, head+chunk("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")+chunk("id: 4\ndata: d\n\n")+"0\r\n\r\n")
	}
	one, two := newBackend(t, answer), newBackend(t, answer)
	c := newSite(t, one, two).client()
	c.get("/stream/", "1")
	_, got := c.wantStatus(200)
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	for _, b := range []*backend{one, two} {
		for _, a := range b.arrivals {
			if from := a.head.Get("From-Event"); from != "" && from != "2" {
				t.Errorf("went on after event %q, want 2", from)
			}
		}
	}
}

// Guards against a stream that ends like a complete one although it is not.
func TestStreamCutDoesNotLookWhole(t *testing.T) {
	answer := func(a arrival) {
		write(a, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")
		_ = a.conn.Close()
	}
	c := newSite(t, newBackend(t, answer)).client()
	c.get("/stream/", "1")
	if _, _, err := c.read(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want %v", err, io.ErrUnexpectedEOF)
	}
}

// Guards against a stream that is cut because its server pauses, for example
// while it reads a long prompt or has preempted the run.
func TestPausedStreamIsNotCut(t *testing.T) {
	proceed := make(chan struct{})
	b := newBackend(t, func(a arrival) {
		write(a, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n")
		select {
		case <-proceed:
		case <-a.gone:
		}
		write(a, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
	})
	s := newSite(t, b)
	c := s.client()
	c.get("/stream/", "1")
	if _, err := c.r.Peek(1); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		s.sweep(250 * clock.Millisecond)
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

// Guards against work that goes on at a server after its caller has left, and
// against a request that leaves no line when its caller does.
func TestCallerGone(t *testing.T) {
	arrived, gone := make(chan struct{}), make(chan struct{})
	b := newBackend(t, func(a arrival) {
		close(arrived)
		<-a.gone
		close(gone)
	})
	s := newSite(t, b)
	left := s.log.await("caller_left")
	c := s.client()
	c.get("/safe/", "1")
	await(t, "the arrival", arrived)
	_ = c.conn.Close()
	await(t, "the end of the work", gone)
	await(t, "the line", left)
	if got, want := b.count(), 1; got != want {
		t.Errorf("arrivals: got %d, want %d", got, want)
	}
}

// Guards against an answer that reaches another request: a second answer to the
// same request, or one that comes before the request's own.
func TestStrayAnswers(t *testing.T) {
	t.Run("after the answer", func(t *testing.T) {
		b := newBackend(t, func(a arrival) {
			id := a.head.Get("Id")
			write(a, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 1\r\n\r\n%sHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 5\r\n\r\nstray", id, id, id))
		})
		s := newSite(t, b)
		for _, id := range []string{"1", "2", "3"} {
			c := s.client()
			c.get("/safe/", id)
			if _, got := c.wantStatus(200); got != id {
				t.Errorf("got %q, want %q", got, id)
			}
		}
	})
	t.Run("before the answer", func(t *testing.T) {
		b := newBackend(t, func(a arrival) {
			write(a, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nstray")
			ok(a, "own")
		})
		c := newSite(t, b).client()
		c.get("/once/", "1")
		if _, got := c.wantStatus(200); got != "own" {
			t.Errorf("got %q, want %q", got, "own")
		}
	})
}

// Guards against other bytes where the rest of a long body is due, after a server
// has answered early and reads on later.
func TestEarlyAnswer(t *testing.T) {
	const size = 3_000_000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	wrong := make(chan string, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerEarly(conn, wrong)
		}
	}()
	s := newSite(t, &backend{listener: l})
	for range 3 {
		c := s.client()
		c.send(fmt.Sprintf("POST /safe/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("x", size))
		c.wantStatus(413)
	}
	select {
	case got := <-wrong:
		t.Errorf("got %s where the rest of a body or a request is due", got)
	default:
	}
}

// answerEarly answers each request before it reads the body.
func answerEarly(conn net.Conn, wrong chan<- string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		head, err := frame.ReadRequest(r, 1<<16)
		if errors.Is(err, frame.ErrMalformed) {
			wrong <- "no request"
		}
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		body, err := frame.RequestBody(r, head)
		if err != nil {
			wrong <- "no body"
			return
		}
		data, err := io.ReadAll(body)
		if rest := strings.Trim(string(data), "x"); rest != "" {
			wrong <- fmt.Sprintf("%.40q", rest)
		}
		if err != nil {
			return
		}
	}
}

// Guards against a key that works after it may have been taken away, and against
// 401 and 404 from an entry that does not know the newest catalog.
func TestLease(t *testing.T) {
	b := newBackend(t, func(a arrival) { ok(a, "ran") })
	s := newSite(t, b)
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

// Guards against refusals that a caller cannot act on.
func TestRefusals(t *testing.T) {
	b := newBackend(t, func(a arrival) { ok(a, "ran") })
	s := newSite(t, b)
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

// Guards against a planned stop that cuts a running request, or that leaves a
// caller on a connection that ends later.
func TestStop(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	b := newBackend(t, func(a arrival) {
		if a.head.Target == "/safe/slow" {
			close(arrived)
			<-proceed
		}
		ok(a, "ran")
	})
	s := newSite(t, b)
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
	for done := false; !done; {
		s.manual.Advance(100)
		select {
		case <-stopped:
			done = true
		default:
		}
	}
}

// Guards against a connection for each request, and against one that is used
// again after the server has closed it.
func TestConnectionsAreKept(t *testing.T) {
	b := newBackend(t, func(a arrival) { ok(a, "ran") })
	s := newSite(t, b)
	c := s.client()
	for i := range 5 {
		c.get("/once/", fmt.Sprint(i))
		c.wantStatus(200)
	}
	if got, want := b.connections(), 1; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
	closing := newBackend(t, func(a arrival) {
		ok(a, "ran")
		_ = a.conn.Close()
	})
	c = newSite(t, closing).client()
	for i := range 5 {
		c.get("/once/", fmt.Sprint(i))
		if head, _, err := c.read(); err != nil || head.Status != 200 && head.Status != 502 {
			t.Errorf("got status %d and %v, want 200", head.Status, err)
		}
	}
}

// Guards against repetitions beyond the share that the operator allows, when all
// servers fail.
func TestRetryBudget(t *testing.T) {
	failing := func(a arrival) { write(a, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n") }
	one, two := newBackend(t, failing), newBackend(t, failing)
	c := newSite(t, one, two).client()
	const requests = 400
	for i := range requests {
		c.get("/safe/", fmt.Sprint(i))
		c.wantStatus(500)
	}
	repeats := one.count() + two.count() - requests
	if limit := requests/5 + 50; repeats > limit || repeats < limit/2 {
		t.Errorf("got %d repetitions, want at most %d and at least half of them", repeats, limit)
	}
}

// Guards against an entry that uses a server after the leader has said that it is
// leaving, and against an older start that replaces a newer one.
func TestServersFollowTheLeader(t *testing.T) {
	b := newBackend(t, func(a arrival) { ok(a, "ran") })
	s := newSite(t, b)
	record := func(state roster.State, started int64) control.WatchResponse {
		return control.WatchResponse{Granted: true, Revision: 1, Epoch: 1, EntryCount: 1, Servers: []roster.Record{{Announcement: roster.Announcement{
			Server: "server-0", Service: "s", Address: b.listener.Addr().String(), Slots: 4, State: state, StartedAt: started,
		}}}}
	}
	steps := []struct {
		news control.WatchResponse
		want int
	}{
		{record(roster.Leaving, 1), 503}, {record(roster.Gone, 1), 503}, {record(roster.Serving, 1), 503},
		{record(roster.Serving, 2), 200}, {record(roster.Leaving, 1), 200},
	}
	for i, step := range steps {
		s.relay.Update(s.clock.Now(), step.news)
		c := s.client()
		c.get("/safe/", "1")
		if head, _, err := c.read(); err != nil || head.Status != step.want {
			t.Errorf("step %d: got %d and %v, want %d", i, head.Status, err, step.want)
		}
	}
}

// Guards against a metric that operators cannot look up, a documented one that no
// relay has, and an API key in what a relay shows.
func TestMetricsPage(t *testing.T) {
	s := newSite(t, newBackend(t, func(a arrival) { ok(a, "ran") }))
	c := s.client()
	c.get("/safe/", "1")
	c.wantStatus(200)
	c.get("/none/", "2")
	c.wantStatus(404)
	recorder := httptest.NewRecorder()
	s.relay.Metrics().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := recorder.Body.String()
	page, err := os.ReadFile("../docs/metrics.md")
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
	want := collect("(?m)^\\| `(galenaslip_relay_\\w+)` ", string(page))
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
