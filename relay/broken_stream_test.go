package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/frame"
)

const (
	streamHead  = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n"
	wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	// brokenStream is the beginning of wholeStream up to the middle of its third event.
	brokenStream = streamHead + "Content-Length: 1000\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
)

// withLength returns a response with the given beginning of its head and a body with a length.
func withLength(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// asChunk returns a response with the given beginning of its head and a body of one chunk.
func asChunk(head, body string) string {
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
}

// resumedAnswers are answers of a second server that is asked to resume wholeStream after its
// second event. Where whole is false, the stream cannot be completed by the answer.
var resumedAnswers = []struct {
	name, text string
	whole      bool
}{
	{name: "rest", text: withLength(streamHead, "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"), whole: true},
	{name: "rest after comments", text: withLength(streamHead, ": wait\n\n: wait\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"), whole: true},
	{name: "all events", text: asChunk(streamHead, wholeStream), whole: true},
	{name: "404", text: withLength("HTTP/1.1 404 Not Found\r\nId: 1\r\n", "unknown stream")},
	{name: "404 chunked", text: asChunk("HTTP/1.1 404 Not Found\r\nId: 1\r\n", "unknown stream")},
	{name: "404 until close", text: "HTTP/1.1 404 Not Found\r\nId: 1\r\n\r\nunknown stream"},
	{name: "400 not run", text: withLength("HTTP/1.1 400 Bad\r\nId: 1\r\nNot-Run: 1\r\n", "bad")},
	{name: "503 not run", text: withLength("HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\n", "busy")},
	{name: "503 without the guarantee", text: withLength("HTTP/1.1 503 Busy\r\nId: 1\r\n", "busy")},
	{name: "421 not run", text: withLength("HTTP/1.1 421 Other\r\nId: 1\r\nNot-Run: 1\r\n", "other")},
	{name: "500", text: withLength("HTTP/1.1 500 Broken\r\nId: 1\r\n", "broken")},
	{name: "201", text: withLength("HTTP/1.1 201 Created\r\nId: 1\r\n", "created")},
	{name: "204", text: "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"},
	{name: "302", text: withLength("HTTP/1.1 302 Found\r\nId: 1\r\nLocation: /\r\n", "")},
	{name: "304", text: "HTTP/1.1 304 Not Modified\r\nId: 1\r\n\r\n"},
	{name: "no HTTP", text: "what\r\n\r\n"},
	{name: "200 of another type", text: withLength("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: application/json\r\n", `{"error":"unknown stream"}`)},
	{name: "200 of another type with events", text: withLength("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\n", "id: 3\ndata: error\n\n")},
	{name: "200 encoded", text: withLength(streamHead+"Content-Encoding: br\r\n", "id: 3\ndata: xyz\n\n")},
	{name: "200 without events", text: withLength(streamHead, `{"error":"unknown stream"}`)},
	{name: "200 until close without events", text: streamHead + "\r\nunknown stream"},
	{name: "200 with empty body", text: withLength(streamHead, "")},
	{name: "200 without chunks", text: streamHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{name: "event without ID", text: withLength(streamHead, "event: error\ndata: unknown stream\n\n")},
	{name: "event without a numeric ID", text: withLength(streamHead, "id: x\ndata: unknown stream\n\n")},
	{name: "partial event first", text: withLength(streamHead, "ta: c\n\nid: 4\ndata: d\n\n")},
	{name: "partial event last", text: withLength(streamHead, "id: 3\ndata: c\n\nid: 4\nda")},
	{name: "partial event after all others", text: withLength(streamHead, "id: 3\ndata: c\n\nid: 4\ndata: d\n\nid: 5")},
	{name: "event left out first", text: withLength(streamHead, "id: 4\ndata: d\n\n")},
	{name: "event left out later", text: withLength(streamHead, "id: 3\ndata: c\n\nid: 5\ndata: e\n\n")},
	{name: "end before the last event sent", text: withLength(streamHead, "id: 1\ndata: a\n\n")},
	{name: "event again later", text: withLength(streamHead, "id: 3\ndata: c\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n"), whole: true},
}

// readBody returns the body of a response and the error that ends it. A caller of HTTP/1.0
// takes the end of the connection for the end of the body.
func readBody(t *testing.T, c *client) (string, error) {
	t.Helper()
	head, err := frame.ReadResponse(c.reader, 1<<16, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := head.Status, 200; got != want {
		t.Fatalf("status: got %d, want %d", got, want)
	}
	body, err := frame.ResponseBody(c.reader, head, "GET")
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(body)
	return string(data), err
}

// Guards against a stream that broke off, whose next server answers with anything but the rest
// of the events: the caller gets whole events of the stream, each once and in order, and then
// either the rest or a broken connection. It gets neither the text nor the head of an error,
// and no end that looks complete.
func TestResumedStreamThatIsNoRest(t *testing.T) {
	for _, tt := range resumedAnswers {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(tt.name+"/"+version, func(t *testing.T) {
				respond := func(req receivedRequest) {
					text := tt.text
					if req.head.Get("From-Event") == "" {
						text = brokenStream
					}
					write(req, text)
					_ = req.conn.Close()
				}
				s := newFixture(t, newBackend(t, respond), newBackend(t, respond))
				c := s.client()
				c.send("GET /stream/ " + version + "\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n")
				got, err := readBody(t, c)
				if tt.whole != (err == nil) || errors.Is(err, frame.ErrMalformed) {
					t.Errorf("end of the stream: got %v, want a complete one: %v, or else a broken connection", err, tt.whole)
				}
				if tt.whole && got != wholeStream {
					t.Errorf("complete stream: got %q, want %q", got, wholeStream)
				}
				if !strings.HasPrefix(wholeStream, got) || !strings.HasSuffix(got, "\n\n") {
					t.Errorf("got %q, want whole events of %q", got, wholeStream)
				}
			})
		}
	}
}

// Guards against a stream that cannot be resumed because its server numbers events with gaps.
func TestResumedStreamWithGaps(t *testing.T) {
	const first, rest = "id: 5\ndata: a\n\nid: 10\ndata: b\n\n", "id: 15\ndata: c\n\nid: 30\ndata: d\n\n"
	respond := func(req receivedRequest) {
		if req.head.Get("From-Event") != "" {
			write(req, withLength(streamHead, rest))
			return
		}
		write(req, streamHead+"Content-Length: 1000\r\n\r\n"+first)
		_ = req.conn.Close()
	}
	c := newFixture(t, newBackend(t, respond), newBackend(t, respond)).client()
	c.get("/stream/", "1")
	if got, err := readBody(t, c); err != nil || got != first+rest {
		t.Errorf("got %q and %v, want %q", got, err, first+rest)
	}
}

// Guards against events that the caller gets twice: a stream whose newest event has no numeric
// ID cannot be resumed after it, so it is broken off.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	for _, events := range []string{"data: a\n\n", "id: x\ndata: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n"} {
		t.Run(events, func(t *testing.T) {
			respond := func(req receivedRequest) {
				write(req, streamHead+"Content-Length: 1000\r\n\r\n"+events)
				_ = req.conn.Close()
			}
			one, two := newBackend(t, respond), newBackend(t, respond)
			c := newFixture(t, one, two).client()
			c.get("/stream/", "1")
			if got, err := readBody(t, c); !errors.Is(err, io.ErrUnexpectedEOF) || got != events {
				t.Errorf("got %q and %v, want %q and %v", got, err, events, io.ErrUnexpectedEOF)
			}
			if got, want := one.count()+two.count(), 1; got != want {
				t.Errorf("arrivals: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against an answer that the relay changes: a server that a caller asks to resume a
// stream begins it with an event that the caller has, after another server has failed.
func TestStreamResumedByTheCallerIsUnchanged(t *testing.T) {
	const events = "id: 12\ndata: a\n\nid: 13\ndata: b\n\n"
	var failed atomic.Bool
	respond := func(req receivedRequest) {
		if failed.CompareAndSwap(false, true) {
			_ = req.conn.Close()
			return
		}
		write(req, withLength(streamHead, events))
	}
	c := newFixture(t, newBackend(t, respond), newBackend(t, respond)).client()
	c.send("GET /stream/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nLast-Event: 12\r\n\r\n")
	if got, err := readBody(t, c); err != nil || got != events {
		t.Errorf("got %q and %v, want %q", got, err, events)
	}
}

// Guards against bytes without end from the server that is asked to resume a stream: the relay
// closes the connection to it after a bounded number of bytes, and the caller sees a broken
// stream.
func TestResumedAnswersWithoutEnd(t *testing.T) {
	tests := []struct {
		name, start, repeated string
		maxBytes              int // that the relay may read, socket buffers not included
	}{
		{name: "status line", start: "", repeated: "x", maxBytes: 64 << 10},
		{name: "error text", start: "HTTP/1.1 404 Not Found\r\nId: 1\r\n\r\n", repeated: "x", maxBytes: 16 << 20},
		{name: "refusal text", start: "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\n\r\n", repeated: "x", maxBytes: 16 << 20},
		{name: "event", start: streamHead + "\r\nid: 3\ndata: ", repeated: "x", maxBytes: 1 << 20},
		{name: "events again", start: streamHead + "\r\n", repeated: "id: 1\ndata: a\n\n", maxBytes: 16 << 20},
		{name: "comments", start: streamHead + "\r\n", repeated: ": wait\n\n", maxBytes: 16 << 20},
		{name: "empty lines", start: streamHead + "\r\n", repeated: "\n", maxBytes: 16 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sent := make(chan int, 1)
			respond := func(req receivedRequest) {
				if req.head.Get("From-Event") != "" {
					sent <- repeatUntilClosed(req, tt.start, tt.repeated)
					return
				}
				write(req, brokenStream)
				_ = req.conn.Close()
			}
			c := newFixture(t, newBackend(t, respond), newBackend(t, respond)).client()
			c.get("/stream/", "1")
			got, err := readBody(t, c)
			if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; !errors.Is(err, io.ErrUnexpectedEOF) || got != want {
				t.Fatalf("got %.60q and %v, want %q and %v", got, err, want, io.ErrUnexpectedEOF)
			}
			const socketBuffers = 16 << 20
			if got, want := <-sent, tt.maxBytes+socketBuffers; got > want {
				t.Errorf("bytes taken from the server: got %d, want at most %d", got, want)
			}
		})
	}
}

// Guards against bytes that are no answer after the answer to a HEAD request on a streamed
// route: the next request on the connection gets its own answer.
func TestHeadOnStreamedRoute(t *testing.T) {
	b := newBackend(t, func(req receivedRequest) {
		if req.head.Method == http.MethodHead {
			write(req, streamHead+"Transfer-Encoding: chunked\r\n\r\n")
			return
		}
		respondOK(req, "own")
	})
	c := newFixture(t, b).client()
	c.send("HEAD /stream/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n")
	if got, want := readStatus(t, c, "HEAD"), 200; got != want {
		t.Errorf("HEAD: got status %d, want %d", got, want)
	}
	c.get("/safe/", "2")
	if _, got := c.wantStatus(200); got != "own" {
		t.Errorf("next request: got %q, want %q", got, "own")
	}
}
