package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/frame"
	"github.com/galenaslip/galenaslip/relay"
	"github.com/galenaslip/galenaslip/roster"
)

// patience bounds waits for what must happen; it decides no verdict by itself.
const patience = 20 * time.Second

// plain is a protocol with header names of the tests' own.
type plain struct{}

func (plain) RequestInfo(h frame.Head) (relay.RequestInfo, error) {
	left, _ := strconv.Atoi(h.Get("Time-Left"))
	return relay.RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), TimeLeft: clock.Millis(left), LastEvent: h.Get("Last-Event")}, nil
}

func (plain) Forward(h frame.Head, hop relay.ForwardInfo) []frame.Header {
	return append(h.EndToEnd(), frame.Header{Name: "Meant", Value: hop.Server},
		frame.Header{Name: "Left", Value: strconv.Itoa(int(hop.TimeLeft))}, frame.Header{Name: "From-Event", Value: hop.LastEvent})
}

func (plain) ResponseInfo(h frame.Head) relay.ResponseInfo {
	return relay.ResponseInfo{ID: h.Get("Id"), NotRun: h.Has("Not-Run")}
}

func (plain) Refusal(c relay.RequestInfo) []frame.Header {
	return []frame.Header{{Name: "Id", Value: c.ID}}
}

// fixed is a format that always decodes to the same catalog.
type fixed struct{ parts catalog.Definition }

func (f fixed) Decode([]byte) (catalog.Catalog, error) { return catalog.Build(f.parts) }

// arrival is a request as a server got it.
type arrival struct {
	head frame.Head
	body string
	conn net.Conn
	gone chan struct{} // closed when the relay has closed the connection
}

// backend is a stand-in for a backend server whose answers are scripted.
type backend struct {
	listener net.Listener
	answer   func(a arrival)
	mu       sync.Mutex
	arrivals []arrival
	conns    int
}

func newBackend(t *testing.T, answer func(a arrival)) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	b := &backend{listener: l, answer: answer}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns++
			b.mu.Unlock()
			go b.serve(conn)
		}
	}()
	return b
}

func (b *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		head, err := frame.ReadRequest(r, 1<<16)
		if err != nil {
			return
		}
		body, err := frame.RequestBody(r, head)
		if err != nil {
			return
		}
		data, err := body.ReadAll(1 << 22)
		if err != nil {
			return
		}
		a := arrival{head: head, body: string(data), conn: conn, gone: make(chan struct{})}
		b.mu.Lock()
		b.arrivals = append(b.arrivals, a)
		b.mu.Unlock()
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := r.Peek(1); err != nil {
				close(a.gone)
			}
		}()
		b.answer(a)
		<-peeked
	}
}

func (b *backend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.arrivals)
}

func (b *backend) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns
}

func write(a arrival, text string) { _, _ = io.WriteString(a.conn, text) }

// ok answers with a body, and close ends the connection after it.
func ok(a arrival, body string) {
	write(a, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", a.head.Get("Id"), len(body), body))
}

func notRun(a arrival) {
	write(a, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

// site is a relay before scripted servers.
type site struct {
	t      *testing.T
	relay  *relay.Relay
	manual *clock.Manual
	clock  clock.Clock
	parts  catalog.Definition
	log    *lines
}

// lines waits for a line of a log.
type lines struct {
	mu     sync.Mutex
	wanted string
	seen   chan struct{}
}

// await returns a channel that is closed once a line with the text is written.
func (l *lines) await(text string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted, l.seen = text, make(chan struct{})
	return l.seen
}

func (l *lines) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wanted != "" && strings.Contains(string(data), l.wanted) {
		close(l.seen)
		l.wanted = ""
	}
	return len(data), nil
}

// newSite starts a relay with three routes: /once/, /safe/ and /stream/.
func newSite(t *testing.T, servers ...*backend) *site {
	t.Helper()
	c, manual := clock.NewManual(1_700_000_000_000)
	share := []catalog.Share{{Service: "s", Weight: 1}}
	parts := catalog.Definition{
		Revision: 1, Services: []catalog.Service{{Name: "s"}},
		Routes: []catalog.Route{
			{Name: "once", Host: "h", Prefix: "/once/", RepeatPolicy: catalog.OnceOnly, Timeout: clock.Minute, Target: clock.Second, Attempts: 2, Shares: share},
			{Name: "safe", Host: "h", Prefix: "/safe/", RepeatPolicy: catalog.Idempotent, Timeout: clock.Minute, Target: 30 * clock.Second, Attempts: 2, Shares: share},
			{Name: "stream", Host: "h", Prefix: "/stream/", RepeatPolicy: catalog.Resumable, Stream: true, Timeout: clock.Minute, Target: clock.Second, Attempts: 2, Shares: share},
			{Name: "open", Host: "h", Prefix: "/open/", RepeatPolicy: catalog.Idempotent, Timeout: clock.Minute, Target: clock.Second, Attempts: 1, Shares: share, Public: true},
		},
		Workspaces: []catalog.Workspace{{Name: "w", Keys: []string{"k"}}},
	}
	log := &lines{}
	logger, flush := event.NewTo(log, "entry", event.Info)
	t.Cleanup(flush)
	r, release, err := relay.New(relay.Options{
		Name: "entry", AvailabilityZone: "z", Listen: "127.0.0.1:0", Protocol: plain{}, Format: fixed{parts},
		Clock: c, Logger: logger, Lease: 4 * clock.Second, Grace: 8 * clock.Second,
		Retry: relay.RetryLimits{Ratio: 0.2, Window: 10 * clock.Second, Slack: 50},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	s := &site{t: t, relay: r, manual: manual, clock: c, parts: parts, log: log}
	news := control.WatchResponse{Granted: true, Revision: 1, Document: &catalog.Document{Revision: 1}, Epoch: 1, EntryCount: 1}
	for i, b := range servers {
		news.Servers = append(news.Servers, roster.Record{Announcement: roster.Announcement{
			Server: fmt.Sprintf("server-%d", i), Service: "s", Address: b.listener.Addr().String(), AvailabilityZone: "z",
			Slots: 4, State: roster.Serving, StartedAt: 1, Sequence: 1,
		}})
	}
	r.Update(c.Now(), news)
	return s
}

// sweep lets time pass and waits until the relay has looked at its servers and
// waits for the next time.
func (s *site) sweep(delay clock.Millis) {
	for s.manual.PendingTimers() == 0 {
		runtime.Gosched()
	}
	s.manual.Advance(delay)
	for s.manual.PendingTimers() == 0 {
		runtime.Gosched()
	}
}

// client is a caller's connection.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (s *site) client() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.relay.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience)) //nolint:forbidigo // A connection takes a time of day.
	return &client{t: s.t, conn: conn, r: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// get sends a request with the key of the only workspace.
func (c *client) get(path, id string) {
	c.send(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\n\r\n", path, id))
}

// read reads an answer; the error is that of its body.
func (c *client) read() (frame.Head, string, error) {
	c.t.Helper()
	head, err := frame.ReadResponse(c.r, 1<<16)
	if err != nil {
		return head, "", err
	}
	body, err := frame.ResponseBody(c.r, head, "GET")
	if err != nil {
		c.t.Fatal(err)
	}
	data, err := io.ReadAll(body)
	return head, string(data), err
}

func (c *client) wantStatus(want int) (frame.Head, string) {
	c.t.Helper()
	head, body, err := c.read()
	if err != nil {
		c.t.Fatalf("got %v, want an answer with status %d", err, want)
	}
	if head.Status != want {
		c.t.Errorf("got status %d, want %d (%s)", head.Status, want, strings.TrimSpace(body))
	}
	return head, body
}

func await(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(patience): //nolint:forbidigo // Bounds a test that would hang.
		t.Fatalf("%s did not happen", what)
	}
}
