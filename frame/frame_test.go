package frame_test

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/frame"
)

func reader(s string) *bufio.Reader { return bufio.NewReader(strings.NewReader(s)) }

// Guards against request smuggling: a request whose end two parsers determine
// differently can hide a second request in its body.
func TestRejectsAmbiguousRequests(t *testing.T) {
	tests := []struct {
		name, text string
	}{
		{"bare line feed", "GET / HTTP/1.1\nHost: a\r\n\r\n"},
		{"bare line feed in a field", "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n"},
		{"carriage return in a field", "GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n"},
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
		{"length and chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"two encodings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{"other encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
		{"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc"},
		{"space before the colon", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc"},
		{"folded field", "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n"},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
		{"no host", "GET / HTTP/1.1\r\n\r\n"},
		{"absolute target", "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"space in the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"other version", "GET / HTTP/2.0\r\nHost: a\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := reader(tt.text)
			h, err := frame.ReadRequest(r, 4096, nil)
			if err == nil {
				_, err = frame.RequestBody(r, h)
			}
			if !errors.Is(err, frame.ErrMalformed) && !errors.Is(err, frame.ErrUnsupported) {
				t.Errorf("got %v, want a malformed or unsupported message", err)
			}
		})
	}
}

// Guards against accepting a truncated response as complete, and against reading bytes
// of the next message as part of a body.
func TestResponseBodies(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, text, body, rest string
		err                    error
	}{
		{"length", head + "Content-Length: 3\r\n\r\nabcd", "abc", "d", nil},
		{"cut length", head + "Content-Length: 3\r\n\r\nab", "ab", "", io.ErrUnexpectedEOF},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nT: v\r\n\r\nd", "abc", "d", nil},
		{"no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "ab", "", io.ErrUnexpectedEOF},
		{"cut chunk", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nab", "ab", "", io.ErrUnexpectedEOF},
		{"chunk without its end", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n", "ab", "\r\n", frame.ErrMalformed},
		{"until the close", head + "\r\nabc", "abc", "", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := reader(tt.text)
			b := responseBody(t, r)
			got, err := io.ReadAll(b)
			if string(got) != tt.body || !errors.Is(err, tt.err) {
				t.Errorf("got %q and %v, want %q and %v", got, err, tt.body, tt.err)
			}
			if rest, _ := io.ReadAll(r); string(rest) != tt.rest && tt.err == nil {
				t.Errorf("rest: got %q, want %q", rest, tt.rest)
			}
		})
	}
}

// Guards against forwarding hop-by-hop header fields.
func TestEndToEnd(t *testing.T) {
	h, err := frame.ReadRequest(reader("GET / HTTP/1.1\r\nHost: a\r\nConnection: x-hop, close\r\nX-Hop: 1\r\nKeep-Alive: 3\r\nX-Kept: 2\r\nTE: x\r\n\r\n"), 4096, nil)
	if err != nil {
		t.Fatal(err)
	}
	got := string(h.Append(nil, h.EndToEnd()))
	if want := "GET / HTTP/1.1\r\nHost: a\r\nX-Kept: 2\r\n\r\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := h.ClosesConnection(), true; got != want {
		t.Errorf("closes: got %v, want %v", got, want)
	}
}

// Guards against buffering more of a message than the limits allow.
func TestLimits(t *testing.T) {
	_, err := frame.ReadRequest(reader("GET /"+strings.Repeat("a", 5000)+" HTTP/1.1\r\nHost: a\r\n\r\n"), 4096, nil)
	if !errors.Is(err, frame.ErrTooLarge) {
		t.Errorf("head: got %v, want %v", err, frame.ErrTooLarge)
	}
	r := reader("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n5\r\nabcde\r\n0\r\n\r\n")
	h, err := frame.ReadRequest(r, 4096, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := frame.RequestBody(r, h)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = b.ReadAll(8, nil); !errors.Is(err, frame.ErrTooLarge) {
		t.Errorf("body: got %v, want %v", err, frame.ErrTooLarge)
	}
}

// responseBody reads the head of a response to a GET request and returns its body.
func responseBody(t *testing.T, r *bufio.Reader) *frame.Body {
	t.Helper()
	head, err := frame.ReadResponse(r, 4096, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := frame.ResponseBody(r, head, "GET")
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// budget is memory for bodies with a number of bytes left.
type budget struct{ left int }

func (b *budget) Reserve(bytes int) bool {
	b.left -= bytes
	return b.left >= 0
}

// Guards against a message that reserves memory by announcing a large body, and against a
// body without a length that takes more memory than is left.
func TestMemoryOfBodies(t *testing.T) {
	tests := []struct {
		name, fields, body string
		left, mostReserved int
		err                error
	}{
		{name: "announced and sent", fields: "Content-Length: 5", body: "abcde", left: 5, mostReserved: 5, err: nil},
		{name: "announced only", fields: "Content-Length: 1000000", body: "abc", left: 1 << 20, mostReserved: 64 << 10, err: io.ErrUnexpectedEOF},
		{name: "too little left", fields: "Content-Length: 1000000", body: strings.Repeat("x", 1_000_000), left: 300_000, mostReserved: 0, err: frame.ErrNoMemory},
		{name: "without a length", fields: "A: b", body: strings.Repeat("x", 1_000_000), left: 300_000, mostReserved: 0, err: frame.ErrNoMemory},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := reader("HTTP/1.1 200 OK\r\n" + tt.fields + "\r\n\r\n" + tt.body)
			body := responseBody(t, r)
			memory := &budget{left: tt.left}
			_, err := body.ReadAll(1<<20, memory)
			if !errors.Is(err, tt.err) {
				t.Errorf("error: got %v, want %v", err, tt.err)
			}
			if got := tt.left - memory.left; tt.mostReserved > 0 && got > tt.mostReserved {
				t.Errorf("reserved: got %d bytes, want at most %d", got, tt.mostReserved)
			}
		})
	}
}

// Guards against trailers without end.
func TestTrailerLimit(t *testing.T) {
	r := reader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: b\r\n", 10_000) + "\r\n")
	if _, err := responseBody(t, r).ReadAll(8, nil); !errors.Is(err, frame.ErrTooLarge) {
		t.Errorf("got %v, want %v", err, frame.ErrTooLarge)
	}
}

// Guards against a panic or an endless read on arbitrary bytes.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := reader(string(data))
		h, err := frame.ReadResponse(r, 4096, nil)
		if err != nil {
			return
		}
		if b, err := frame.ResponseBody(r, h, "GET"); err == nil {
			_, _ = b.ReadAll(1<<16, nil)
		}
	})
}
