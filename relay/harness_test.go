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
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/relay"
	"github.com/galenaslip/galenaslip/retry"
	"github.com/galenaslip/galenaslip/roster"
)

// testTimeout bounds waits for something that must happen, so that a failing test
// ends. A test that reaches it fails.
const testTimeout = 20 * time.Second

// retryWindow is the window of the retry budgets.
const retryWindow = 10 * clock.Second

// testProtocol is a relay.Protocol with header names that only these tests use.
type testProtocol struct{}

func (testProtocol) RequestInfo(h frame.Head) (relay.RequestInfo, error) {
	timeLeft, _ := strconv.Atoi(h.Get("Time-Left"))
	info := relay.RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), TimeLeft: clock.Millis(timeLeft), LastEventID: h.Get("Last-Event"), Resumes: h.Get("Resumes")}
	for id := range strings.FieldsSeq(h.Get("Parts")) {
		info.Parts = append(info.Parts, relay.Part{ID: id, Tokens: 100})
	}
	return info, nil
}

func (testProtocol) Forward(h frame.Head, forwardInfo relay.ForwardInfo) []frame.Header {
	return append(h.EndToEnd(), frame.Header{Name: "Meant", Value: forwardInfo.Server},
		frame.Header{Name: "Left", Value: strconv.Itoa(int(forwardInfo.TimeLeft))}, frame.Header{Name: "From-Event", Value: forwardInfo.LastEventID},
		frame.Header{Name: "Cache-Source", Value: forwardInfo.CacheSource})
}

func (testProtocol) ResponseInfo(h frame.Head) relay.ResponseInfo {
	pause, _ := strconv.Atoi(h.Get("Pause"))
	info := relay.ResponseInfo{UnknownLoad: h.Get("Unknown-Load"), ID: h.Get("Id"), NotRun: h.Has("Not-Run"), Leaving: h.Has("Leaving"), RetryAfter: clock.Millis(pause)}
	info.Load.Slowness, _ = strconv.ParseFloat(h.Get("Slowness"), 64)
	limit, readable := ratelimit.ParseLimit(h.Values("Limit"))
	info.Limit, info.LimitUnreadable = limit, !readable
	return info
}

func (testProtocol) Refusal(c relay.RequestInfo) []frame.Header {
	return []frame.Header{{Name: "Id", Value: c.ID}}
}

// fixedFormat is a catalog format that decodes every document to the same catalog.
type fixedFormat struct{ definition catalog.Definition }

func (f fixedFormat) Decode([]byte) (catalog.Catalog, error) { return catalog.Build(f.definition) }

// receivedRequest is a request as a backend server received it.
type receivedRequest struct {
	head         frame.Head
	body         string
	conn         net.Conn
	disconnected chan struct{} // closed when the relay has closed the connection
}

// backend is a backend server for tests whose responses are scripted.
type backend struct {
	listener net.Listener
	respond  func(req receivedRequest)
	mu       sync.Mutex
	received []receivedRequest
	conns    int
}

func newBackend(t *testing.T, respond func(req receivedRequest)) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	b := &backend{listener: l, respond: respond}
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

// serve reads requests from a connection, records them and sends the scripted response
// to each. While the response is sent, it watches whether the relay disconnects.
func (b *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		head, err := frame.ReadRequest(r, 1<<16, nil)
		if err != nil {
			return
		}
		body, err := frame.RequestBody(r, head)
		if err != nil {
			return
		}
		data, err := body.ReadAll(1<<22, nil)
		if err != nil {
			return
		}
		req := receivedRequest{head: head, body: string(data), conn: conn, disconnected: make(chan struct{})}
		b.mu.Lock()
		b.received = append(b.received, req)
		b.mu.Unlock()
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := r.Peek(1); err != nil {
				close(req.disconnected)
			}
		}()
		b.respond(req)
		<-peeked
	}
}

// count returns the number of requests received so far.
func (b *backend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.received)
}

// connections returns the number of connections accepted so far.
func (b *backend) connections() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns
}

// write sends raw bytes to the relay on the connection of the request.
func write(req receivedRequest, text string) { _, _ = io.WriteString(req.conn, text) }

// respondOK sends a response with status 200 and a body.
func respondOK(req receivedRequest, body string) {
	write(req, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", req.head.Get("Id"), len(body), body))
}

// notRun refuses the request with the guarantee that it did not run.
func notRun(req receivedRequest) {
	write(req, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

// fixture is a relay with scripted backend servers.
type fixture struct {
	t          *testing.T
	relay      *relay.Relay
	manual     *clock.Manual // controls clock
	clock      clock.Clock
	definition catalog.Definition
	log        *logWatcher
}

// logWatcher is a log output that reports when a given text is written.
type logWatcher struct {
	mu      sync.Mutex
	pattern string
	seen    chan struct{}
}

// await returns a channel that is closed once a line with the text is written.
func (l *logWatcher) await(text string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pattern, l.seen = text, make(chan struct{})
	return l.seen
}

func (l *logWatcher) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pattern != "" && strings.Contains(string(data), l.pattern) {
		close(l.seen)
		l.pattern = ""
	}
	return len(data), nil
}

// newFixture starts a relay with the routes /once/, /safe/, /brief/, /stream/ and the public
// route /open/, all served by the given servers.
func newFixture(t *testing.T, servers ...*backend) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*relay.Options) {}, servers...)
}

// newFixtureWith is newFixture with adjusted options of the relay. The relay has held its part of
// retry budgets for a whole window.
func newFixtureWith(t *testing.T, adjust func(o *relay.Options), servers ...*backend) *fixture {
	t.Helper()
	s := newStartedFixture(t, adjust, servers...)
	s.holdShare(retryWindow)
	return s
}

// newStartedFixture is newFixtureWith with a relay that has just started.
func newStartedFixture(t *testing.T, adjust func(o *relay.Options), servers ...*backend) *fixture {
	t.Helper()
	c, manual := clock.NewManual(1_700_000_000_000)
	share := []catalog.Share{{Service: "s", Weight: 1}}
	definition := catalog.Definition{
		Revision: 1, Services: []catalog.Service{{Name: "s"}},
		Routes: []catalog.Route{
			{Name: "once", Host: "h", Prefix: "/once/", RepeatPolicy: catalog.OnceOnly, Timeout: clock.Minute, Target: clock.Second, MaxPossibleRuns: 2, Shares: share},
			{Name: "safe", Host: "h", Prefix: "/safe/", RepeatPolicy: catalog.Idempotent, Timeout: clock.Minute, Target: 30 * clock.Second, MaxPossibleRuns: 2, Shares: share},
			{Name: "stream", Host: "h", Prefix: "/stream/", RepeatPolicy: catalog.Resumable, Stream: true, Timeout: clock.Minute, Target: clock.Second, MaxPossibleRuns: 2, Shares: share},
			{Name: "brief", Host: "h", Prefix: "/brief/", RepeatPolicy: catalog.Idempotent, Timeout: 4 * clock.Second, Target: clock.Second, MaxPossibleRuns: 2, Shares: share},
			{Name: "open", Host: "h", Prefix: "/open/", RepeatPolicy: catalog.Idempotent, Timeout: clock.Minute, Target: clock.Second, MaxPossibleRuns: 1, Shares: share, Public: true},
		},
		Workspaces: []catalog.Workspace{{Name: "w", Keys: []string{"k"}}},
	}
	log := &logWatcher{}
	logger, flush := event.NewWithOutput(log, "entry", event.Info)
	t.Cleanup(flush)
	options := relay.Options{
		Name: "entry", AvailabilityZone: "z", Listen: "127.0.0.1:0", Protocol: testProtocol{}, Format: fixedFormat{definition},
		Clock: c, Logger: logger, Lease: 4 * clock.Second, Grace: 8 * clock.Second,
		Retry: retry.Limits{Ratio: 0.2, Window: retryWindow, ExtraRetries: 50},
	}
	adjust(&options)
	r, release, err := relay.New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	s := &fixture{t: t, relay: r, manual: manual, clock: c, definition: definition, log: log}
	update := control.WatchResponse{Granted: true, Revision: 1, Document: &catalog.Document{Revision: 1}, Epoch: 1, EntryCount: 1, Share: wholeShare()}
	for i, b := range servers {
		update.Servers = append(update.Servers, roster.Record{Announcement: roster.Announcement{
			Server: fmt.Sprintf("server-%d", i), Service: "s", Address: b.listener.Addr().String(), AvailabilityZone: "z",
			Slots: 4, State: roster.Serving, StartedAt: 1, Sequence: 1,
		}})
	}
	r.Update(c.Now(), update)
	return s
}

// holdShare advances the clock by a time in which the relay keeps its lease and its part of limits.
func (s *fixture) holdShare(duration clock.Millis) {
	const step = clock.Second // shorter than the lease
	for end := s.clock.Now() + duration; s.clock.Now() < end; s.updateServers() {
		s.manual.Advance(min(step, end-s.clock.Now()))
	}
}

// wholeShare returns the part of servers' limits and retry budgets of a relay that is the only entry.
func wholeShare() *ratelimit.Grant {
	return &ratelimit.Grant{Partition: 1, Number: 1, Interval: ratelimit.Interval{End: 1 << 32}, Fraction: 1}
}

// advanceToNextCheck advances the clock by delay and waits until the relay has finished
// its periodic check of the servers and waits for the next one.
func (s *fixture) advanceToNextCheck(delay clock.Millis) {
	for s.manual.PendingTimers() == 0 {
		runtime.Gosched()
	}
	s.manual.Advance(delay)
	for s.manual.PendingTimers() == 0 {
		runtime.Gosched()
	}
}

// advanceUntil advances the clock in steps until done is closed.
func (s *fixture) advanceUntil(done <-chan struct{}) {
	for {
		s.manual.Advance(100)
		select {
		case <-done:
			return
		default:
		}
	}
}

// awaitAttemptsEnd waits until no request is sent to a server and the connections to servers
// are idle or closed.
func (s *fixture) awaitAttemptsEnd() {
	for s.relay.State().Attempts > 0 {
		runtime.Gosched()
	}
}

// client is a caller's connection.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// client opens a connection to the relay.
func (s *fixture) client() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.relay.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	return newClient(s.t, conn)
}

// newClient returns a client that uses the given connection.
func newClient(t *testing.T, conn net.Conn) *client {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(testTimeout)) //nolint:forbidigo // Connection deadlines are wall-clock times.
	return &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// get sends a GET request with the API key of the only workspace.
func (c *client) get(path, id string) {
	c.send(fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\n\r\n", path, id))
}

// read reads a response. The error is that of reading its head or its body.
func (c *client) read() (frame.Head, string, error) {
	c.t.Helper()
	head, err := frame.ReadResponse(c.reader, 1<<16, nil)
	if err != nil {
		return head, "", err
	}
	body, err := frame.ResponseBody(c.reader, head, "GET")
	if err != nil {
		c.t.Fatal(err)
	}
	data, err := io.ReadAll(body)
	return head, string(data), err
}

// wantStatus reads a response and fails the test if its status is not the wanted one.
func (c *client) wantStatus(want int) (frame.Head, string) {
	c.t.Helper()
	head, body, err := c.read()
	if err != nil {
		c.t.Fatalf("got %v, want a response with status %d", err, want)
	}
	if head.Status != want {
		c.t.Errorf("got status %d, want %d (%s)", head.Status, want, strings.TrimSpace(body))
	}
	return head, body
}

// await waits until done is closed and fails the test if that takes too long.
func await(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout): //nolint:forbidigo // Bounds a test that would hang.
		t.Fatalf("%s did not happen", what)
	}
}
