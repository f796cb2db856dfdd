package relay_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/frame"
)

// cutAnswers are whole answers of a server.
var cutAnswers = []struct {
	name, text string
	// endsAnywhere is set if the answer has no length, so that its body may be taken to be whole
	// wherever the connection ends after the head: at any byte, or of a stream between events.
	endsAnywhere bool
}{
	{name: "with a length", text: withLength(streamHead, wholeStream)},
	{name: "with an empty body", text: withLength(streamHead, "")},
	{name: "chunked", text: asChunk(streamHead, wholeStream)},
	{name: "several chunks", text: streamHead + "Transfer-Encoding: chunked\r\n\r\n" + eventChunk(1) + eventChunk(2) + "0\r\nTrailer: a\r\n\r\n"},
	{name: "without a length", text: streamHead + "\r\n" + wholeStream, endsAnywhere: true},
}

// get requests a path with the given ID at a relay and returns the response as far as it was received, and
// the error that ended it.
func (s *fixture) get(path string) (frame.Head, string, error) {
	s.t.Helper()
	c := s.client()
	c.get(path, "1")
	head, err := frame.ReadResponse(c.reader, 1<<16, nil)
	if err != nil {
		return head, "", err
	}
	body, err := frame.ResponseBody(c.reader, head, "GET")
	if err != nil {
		return head, "", err
	}
	data, err := io.ReadAll(body)
	return head, string(data), err
}

// Guards against a server that stops and closes its connection in the middle of an answer, at any byte of
// its head, of a chunk line or of its body, whose caller gets a success that looks whole.
func TestCutAnswerIsNeverWhole(t *testing.T) {
	for _, answer := range cutAnswers {
		for _, path := range []string{"/safe/", "/once/", "/stream/"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s%s reset %v", answer.name, path, reset), func(t *testing.T) {
					checkCutAnswers(t, answer.text, path, reset, answer.endsAnywhere && !reset)
				})
			}
		}
	}
}

// checkCutAnswers plays an answer that ends after each of its bytes but the last one.
func checkCutAnswers(t *testing.T, text, path string, reset, mayEnd bool) {
	t.Helper()
	var sentBytes atomic.Int64
	b := newBackend(t, func(req receivedRequest) {
		write(req, text[:sentBytes.Load()])
		if tcp, ok := req.conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = req.conn.Close()
	})
	headEnd := strings.Index(text, "\r\n\r\n") + 4
	for cut := range len(text) {
		sentBytes.Store(int64(cut))
		s := newFixture(t, b)
		head, body, err := s.get(path)
		sent := text[min(headEnd, cut):cut]
		wasWhole := mayEnd && cut >= headEnd && (path != "/stream/" || sent == "" || strings.HasSuffix(sent, "\n\n"))
		switch {
		case err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			t.Errorf("cut after %d bytes: got %v, want the end of the connection", cut, err)
		case wasWhole && err == nil && head.Status == 200 && body != sent:
			t.Errorf("cut after %d bytes: got the body %q, want %q", cut, body, sent)
		case !wasWhole && err == nil && head.Status < 400:
			t.Errorf("cut after %d bytes (%q): got a whole answer with status %d and the body %q", cut, text[max(0, cut-20):cut], head.Status, body)
		case err == nil && head.Status == 503:
			t.Errorf("cut after %d bytes: got 503, which says that the request has not run", cut)
		}
	}
}
