package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/frame"
	"github.com/galenaslip/galenaslip/relay"
)

// answerFormat is a way in which a server frames its answer. Its text has a place for the
// ID field and one for a body of five bytes.
type answerFormat struct {
	name, text string
	status     int
}

var answerFormats = []answerFormat{
	{name: "length", text: "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\n%s", status: 200},
	{name: "chunked", text: "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n0\r\n\r\n", status: 200},
	{name: "no content", text: "HTTP/1.1 204 No Content\r\n%s\r\n%.0s", status: 204},
	{name: "not modified", text: "HTTP/1.1 304 Not Modified\r\n%s\r\n%.0s", status: 304},
	{name: "interim first", text: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\n%s", status: 200},
}

// answer returns the text of an answer. It has no ID field if id is empty.
func (f answerFormat) answer(id, body string) string {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf(f.text, id, body)
}

// Guards against a caller that gets another caller's answer: the server sends a second copy
// of its first answer on a connection that is kept, at each moment up to the second answer,
// with the first request's ID or without any. The second caller gets its own answer or an
// error.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	moments := []string{"with the answer", "between the requests", "after the next request"}
	for _, format := range answerFormats {
		for _, moment := range moments {
			for _, copyID := range []string{"1", ""} {
				t.Run(fmt.Sprintf("%s/%s/ID %q", format.name, moment, copyID), func(t *testing.T) {
					stale := format.answer(copyID, "first")
					sendCopy := make(chan net.Conn, 1)
					b := newBackend(t, func(req receivedRequest) {
						if id := req.head.Get("Id"); id != "1" {
							if moment == "after the next request" {
								write(req, stale)
							}
							respondOK(req, "other")
							return
						}
						text := format.answer("1", "first")
						if moment == "with the answer" {
							text += stale
						}
						write(req, text)
						sendCopy <- req.conn
					})
					s := newFixture(t, b)
					first := s.client()
					first.get("/safe/", "1")
					first.wantStatus(format.status)
					s.awaitAttemptsEnd() // the second request must find the connection idle
					if conn := <-sendCopy; moment == "between the requests" {
						_, _ = io.WriteString(conn, stale)
					}
					second := s.client()
					second.get("/safe/", "2")
					head, body, err := second.read()
					if own := head.Status == 200 && body == "other" && head.Get("Id") == "2"; err != nil || !own && head.Status < 500 {
						t.Errorf("second caller: got status %d, ID %q, body %q and %v, want its own answer or an error", head.Status, head.Get("Id"), body, err)
					}
				})
			}
		}
	}
}

// repeatUntilClosed sends the start of an answer and then the same bytes until the relay
// closes the connection, and returns how many bytes it could send.
func repeatUntilClosed(req receivedRequest, start, repeated string) int {
	sent, _ := io.WriteString(req.conn, start)
	block := strings.Repeat(repeated, max(1, 8192/len(repeated)))
	for {
		n, err := io.WriteString(req.conn, block)
		sent += n
		if err != nil {
			return sent
		}
	}
}

// Guards against bytes that are no answer and never end: the relay closes the connection to
// the server after a bounded number of bytes, the caller gets a failure, and other requests
// go on meanwhile.
func TestAnswersWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, path, start, repeated string
		status                      int // 0 if the caller's connection is cut in the answer
		maxBytes                    int // that the relay may read, socket buffers not included
	}{
		{name: "status line", path: "/safe/", start: "", repeated: "x", status: 502, maxBytes: 64 << 10},
		{name: "header field", path: "/safe/", start: head + "A: ", repeated: "x", status: 502, maxBytes: 64 << 10},
		{name: "header fields", path: "/safe/", start: head, repeated: "A: b\r\n", status: 502, maxBytes: 64 << 10},
		{name: "interim answers", path: "/safe/", start: "", repeated: "HTTP/1.1 100 Continue\r\n\r\n", status: 502, maxBytes: 64 << 10},
		{name: "answers to others", path: "/safe/", start: "", repeated: head + "Id: x\r\nContent-Length: 1\r\n\r\nx", status: 502, maxBytes: 64 << 10},
		{name: "chunk extension", path: "/safe/", start: head + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", repeated: "x", status: 502, maxBytes: 64 << 10},
		{name: "trailer", path: "/safe/", start: head + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", repeated: "A: b\r\n", status: 502, maxBytes: 64 << 10},
		{name: "chunks", path: "/safe/", start: head + "Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "1\r\nx\r\n", status: 502, maxBytes: 96 << 20},
		{name: "body until close", path: "/safe/", start: head + "Id: 1\r\n\r\n", repeated: "x", status: 502, maxBytes: 16 << 20},
		{name: "beyond the length", path: "/safe/", start: head + "Id: 1\r\nContent-Length: 1\r\n\r\n", repeated: "x", status: 200, maxBytes: 64 << 10},
		{name: "event", path: "/stream/", start: head + "Id: 1\r\n\r\ndata: ", repeated: "x", status: 502, maxBytes: 1 << 20},
		{name: "event after others", path: "/stream/", start: head + "Id: 1\r\n\r\nid: 1\ndata: x\n\ndata: ", repeated: "x", status: 0, maxBytes: 1 << 20},
		{name: "event of empty lines", path: "/stream/", start: head + "Id: 1\r\n\r\nid: 1\ndata: x\n\n", repeated: "\r", status: 0, maxBytes: 1 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var mostSent atomic.Int64
			b := newBackend(t, func(req receivedRequest) {
				if req.head.Get("Id") == "sound" {
					respondOK(req, "sound")
					return
				}
				sent := int64(repeatUntilClosed(req, tt.start, tt.repeated))
				mostSent.Store(max(mostSent.Load(), sent))
			})
			s := newFixture(t, b)
			c := s.client()
			c.get(tt.path, "1")
			head, _, err := c.read()
			if (err != nil) != (tt.status == 0) || err == nil && head.Status != tt.status {
				t.Errorf("got status %d and %v, want status %d (0: cut in the answer)", head.Status, err, tt.status)
			}
			sound := s.client()
			sound.get("/safe/", "sound")
			if head, body, err := sound.read(); err != nil || head.Status != 200 || body != "sound" {
				t.Errorf("another request: got %d, %q and %v, want its answer", head.Status, body, err)
			}
			const socketBuffers = 16 << 20
			if got, want := mostSent.Load(), int64(tt.maxBytes+socketBuffers); got > want {
				t.Errorf("bytes taken from the server: got %d, want at most %d", got, want)
			}
		})
	}
}

// Guards against an answer that broke off and reaches the caller as a complete success. The
// server ends its connection after each byte of the answer in turn; the answer has a length,
// is chunked, or ends with its connection and is reset.
func TestAnswerThatBreaksOff(t *testing.T) {
	const event = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	tests := []struct {
		name, path, text string
		reset            bool // the connection is reset in place of closed
	}{
		{name: "length", path: "/open/", text: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello"},
		{name: "chunked", path: "/open/", text: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		{name: "until close", path: "/open/", text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhello", reset: true},
		{name: "stream with length", path: "/stream/", text: fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", len(event), event)},
		{name: "chunked stream", path: "/stream/", text: fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event)},
		{name: "stream until close", path: "/stream/", text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + event, reset: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, whole, _ := strings.Cut(tt.text, "\r\n\r\n")
			if strings.Contains(tt.text, "chunked") {
				_, whole, _ = strings.Cut(whole, "\r\n")
				whole, _, _ = strings.Cut(whole, "\r\n0\r\n")
			}
			for cut := range len(tt.text) {
				b := newBackend(t, func(req receivedRequest) {
					write(req, tt.text[:cut])
					if tt.reset {
						_ = req.conn.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // The listener is a TCP one.
					}
					_ = req.conn.Close()
				})
				c := newFixture(t, b).client()
				c.get(tt.path, "1")
				head, body, err := c.read()
				if err == nil && head.Status == 200 && body != whole {
					t.Errorf("cut after %d bytes: got %q as a complete answer, want %q or a failure", cut, body, whole)
				}
			}
		})
	}
}

// Guards against a stream that a server ends in the middle of an event and that looks complete to the
// caller, whatever ends the response: the connection, the last chunk or the length. It goes on at another
// server or is cut.
func TestStreamThatEndsInAnEvent(t *testing.T) {
	const head, whole = "HTTP/1.1 200 OK\r\nId: 1\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, partial := range []string{"id: 2\nda", "id: 2\ndata: b\n", "id", "data: b\r\n", ": comment"} {
		text := "id: 1\ndata: a\n\n" + partial
		for name, response := range map[string]string{
			"until close": head + "\r\n" + text,
			"length":      withLength(head, text),
			"chunked":     asChunk(head, text),
			"typed":       asChunk(head+"Content-Type: text/event-stream; charset=utf-8\r\n", text),
		} {
			breaking := newBackend(t, func(req receivedRequest) {
				write(req, response)
				_ = req.conn.Close()
			})
			c := newFixture(t, breaking).client()
			c.get("/stream/", "1")
			if _, body, err := c.read(); err == nil {
				t.Errorf("%s, %q: got %q as a complete stream, want a failure", name, partial, body)
			}
			resuming := newBackend(t, func(req receivedRequest) {
				if req.head.Get("From-Event") == "" {
					write(req, response)
					_ = req.conn.Close()
					return
				}
				write(req, withLength(head+"Content-Type: text/event-stream; charset=utf-8\r\n", whole))
			})
			if name != "typed" {
				continue
			}
			c = newFixture(t, resuming, resuming).client()
			c.get("/stream/", "1")
			if _, body, err := c.read(); err != nil || body != whole {
				t.Errorf("%s, %q: got %q and %v, want %q", name, partial, body, err, whole)
			}
		}
	}
}

// Guards against whole streams that are taken for broken ones because line ends follow their last event,
// or because they are no events.
func TestWholeStreamIsNotTakenForBroken(t *testing.T) {
	for _, text := range []string{
		withLength("HTTP/1.1 200 OK\r\nId: 1\r\n", "data: a\n\n\n"), withLength("HTTP/1.1 200 OK\r\nId: 1\r\n", ""),
		withLength("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: application/json\r\n", `{"tokens":0}`),
	} {
		c := newFixture(t, newBackend(t, func(req receivedRequest) { write(req, text) })).client()
		c.get("/stream/", "1")
		_, want, _ := strings.Cut(text, "\r\n\r\n")
		if _, body, err := c.read(); err != nil || body != want {
			t.Errorf("got %q and %v, want %q", body, err, want)
		}
	}
}

// Guards against a stream that broke off and looks complete to a caller of HTTP/1.0, which
// has no other sign of the end than that of the connection.
func TestCutStreamOfOldCaller(t *testing.T) {
	b := newBackend(t, func(req receivedRequest) {
		write(req, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nid: 1\ndata: a\n\n")
		_ = req.conn.Close()
	})
	c := newFixture(t, b).client()
	c.send("GET /stream/ HTTP/1.0\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n")
	if data, err := io.ReadAll(c.reader); err == nil {
		t.Errorf("got %q and the end of the connection, want a connection error", data)
	}
}

// Guards against a stream that looks complete to a caller of HTTP/1.0 because the relay ends in the middle
// of it, in a stop whose time is over.
func TestStreamOfOldCallerWhenTheRelayEnds(t *testing.T) {
	b := newBackend(t, func(req receivedRequest) {
		write(req, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nid: 1\ndata: a\n\n")
		<-req.disconnected
	})
	s := newFixture(t, b)
	c := s.client()
	c.send("GET /stream/ HTTP/1.0\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n")
	if _, err := frame.ReadResponse(c.reader, 1<<16, nil); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = s.relay.Stop(ctx)
	if data, err := io.ReadAll(c.reader); err == nil {
		t.Errorf("got %q and the end of the connection, want a connection error", data)
	}
}

// Guards against a request that was read ahead and stays in memory for ever, because the
// answer to the one before it closes the connection.
func TestRequestReadAheadIsDropped(t *testing.T) {
	const connections = 100
	s := newFixture(t, newBackend(t, func(req receivedRequest) { respondOK(req, "ran") }))
	before := runtime.NumGoroutine()
	for range connections {
		c := s.client()
		c.send(strings.Repeat("GET /none/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 3))
		_, _ = io.Copy(io.Discard, c.reader)
	}
	ended := make(chan struct{})
	go func() {
		for runtime.NumGoroutine() > before+connections/2 {
			runtime.Gosched()
		}
		close(ended)
	}()
	await(t, "the end of the connections' goroutines", ended)
}

// Guards against answers that use up the memory of the VM together: one that finds none left
// ends as a failure, and its memory is free again afterwards.
func TestMessageMemory(t *testing.T) {
	const size = 1 << 20
	large := strings.Repeat("x", size)
	b := newBackend(t, func(req receivedRequest) {
		respondOK(req, large[:len(large)>>min(3, strings.Count(req.head.Target, "h"))])
	})
	s := newFixtureWith(t, func(o *relay.Options) { o.MessageMemory = size / 2 }, b)
	// The memory of a request is released after its response was written. On one connection
	// the next request is handled after that.
	c := s.client()
	for i, step := range []struct {
		path string
		want int
	}{{"/safe/", 502}, {"/safe/hhh", 200}, {"/safe/", 502}, {"/safe/hhh", 200}, {"/safe/hhh", 200}, {"/safe/hhh", 200}, {"/safe/hhh", 200}, {"/safe/hhh", 200}} {
		c.get(step.path, fmt.Sprint(i))
		c.wantStatus(step.want)
	}
}

// panickingProtocol is a relay.Protocol that panics on requests with the ID "panic".
type panickingProtocol struct{ testProtocol }

func (p panickingProtocol) RequestInfo(h frame.Head) (relay.RequestInfo, error) {
	if h.Get("Id") == "panic" {
		panic("unexpected request")
	}
	return p.testProtocol.RequestInfo(h)
}

// Guards against one request that ends the process with all others: an unexpected error in
// handling it ends its own connection only.
func TestPanicEndsOneRequest(t *testing.T) {
	release := make(chan struct{})
	var once sync.Once
	t.Cleanup(func() { once.Do(func() { close(release) }) })
	b := newBackend(t, func(req receivedRequest) {
		<-release
		respondOK(req, "sound")
	})
	s := newFixtureWith(t, func(o *relay.Options) { o.Protocol = panickingProtocol{} }, b)
	logged := s.log.await("unexpected request")
	sound, broken := s.client(), s.client()
	sound.get("/safe/", "sound")
	for b.count() == 0 {
		s.clock.Sleep(t.Context(), 0)
	}
	broken.get("/safe/", "panic")
	if head, _, err := broken.read(); err == nil {
		t.Errorf("request that panics: got status %d, want a closed connection", head.Status)
	}
	await(t, "the log line", logged)
	once.Do(func() { close(release) })
	if _, body := sound.wantStatus(200); body != "sound" {
		t.Errorf("other request: got %q, want %q", body, "sound")
	}
}

// Guards against requests that a planned stop cuts off without an answer: callers send one
// request after another on kept and on new connections while the relay stops. Each request
// that reached a server is answered in full, and each other one is answered or its connection
// is closed before any answer.
func TestStopUnderLoad(t *testing.T) {
	const callers = 200
	b := newBackend(t, func(req receivedRequest) { respondOK(req, req.head.Get("Id")) })
	s := newFixture(t, b)
	var answered atomic.Int64
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for n := 0; ; n++ {
				conn, err := net.Dial("tcp", s.relay.Address())
				if err != nil {
					return
				}
				c := newClient(t, conn)
				for ; ; n++ {
					id := fmt.Sprintf("%d-%d", i, n)
					if _, err := fmt.Fprintf(conn, "GET /safe/ HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\n\r\n", id); err != nil {
						break
					}
					head, body, err := c.read()
					if err != nil {
						if head.Status != 0 {
							t.Errorf("request %s: got %v in its answer, want a whole one", id, err)
						}
						break
					}
					if head.Status == 200 && body != id {
						t.Errorf("request %s: got the answer %q", id, body)
					}
					answered.Add(1)
					if head.ClosesConnection() {
						break
					}
				}
				_ = conn.Close()
			}
		})
	}
	for answered.Load() < 5*callers {
		s.clock.Sleep(t.Context(), 0)
	}
	stopped := make(chan struct{})
	go func() {
		_ = s.relay.Stop(t.Context())
		close(stopped)
	}()
	for done := false; !done; {
		select {
		case <-stopped:
			done = true
		default:
			s.manual.Advance(clock.Millisecond)
		}
	}
	group.Wait()
	if got, most := int64(b.count()), answered.Load(); got > most {
		t.Errorf("requests that reached the server: got %d, want at most the %d answered", got, most)
	}
}
