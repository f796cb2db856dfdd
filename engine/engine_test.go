package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/standin"
)

// scriptedServer answers each request with fixed bytes and then calls afterAnswer, which
// decides whether the connection stays open for further requests.
type scriptedServer struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

func newScriptedServer(t *testing.T, answer string, afterAnswer func(c net.Conn) bool) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &scriptedServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c, answer, afterAnswer)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn, answer string, afterAnswer func(c net.Conn) bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		_, _ = io.WriteString(c, answer)
		if !afterAnswer(c) {
			return
		}
	}
}

func closeConnection(net.Conn) bool { return false }

func keepOpen(net.Conn) bool { return true }

// staySilent keeps the connection open without a byte until the client closes it.
func staySilent(c net.Conn) bool {
	_, _ = c.Read(make([]byte, 1))
	return false
}

func newClient(t *testing.T, options engine.Options) *engine.Client {
	t.Helper()
	options.Clock = clock.New()
	c, release := engine.New(options)
	t.Cleanup(release)
	return c
}

// streamHeader is the header of a streamed response; the test cases append its chunks.
const streamHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against a failure that is classified as not sent although the call may have
// run, and against one that is treated as the end of a complete answer.
func TestFailures(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	tests := []struct {
		name, answer    string
		afterAnswer     func(net.Conn) bool
		streamed        bool
		failBeforeWrite bool
		want            engine.Kind
		notRun          bool
		requests        int64
	}{
		{name: "no answer", afterAnswer: closeConnection, want: engine.Lost, requests: 1},
		{name: "silent before the header", afterAnswer: staySilent, want: engine.TimedOut, requests: 1},
		{name: "cut body", answer: ok[:len(ok)-1], afterAnswer: closeConnection, want: engine.Lost, requests: 1},
		{name: "silent body", answer: ok[:len(ok)-1], afterAnswer: staySilent, want: engine.TimedOut, requests: 1},
		{name: "cut stream", answer: streamHeader + "5\r\ndata:", streamed: true, afterAnswer: closeConnection, want: engine.Lost, requests: 1},
		{name: "stream closed between chunks", answer: streamHeader + "9\r\ndata: a\n\n\r\n", streamed: true, afterAnswer: closeConnection, want: engine.Lost, requests: 1},
		{name: "silent stream", answer: streamHeader + "9\r\ndata: a\n\n\r\n", streamed: true, afterAnswer: staySilent, want: engine.TimedOut, requests: 1},
		{name: "not HTTP", answer: "hello\r\n\r\n", afterAnswer: closeConnection, want: engine.Lost, requests: 1},
		{name: "too large", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), afterAnswer: keepOpen, want: engine.Malformed, requests: 1},
		{name: "error status", answer: "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", streamed: true, afterAnswer: keepOpen, want: engine.Refused, requests: 1},
		{name: "not run by the server's word", answer: "HTTP/1.1 503 X\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n", afterAnswer: keepOpen, want: engine.Refused, notRun: true, requests: 1},
		{
			name: "not run by the answer to another call", answer: "HTTP/1.1 503 X\r\nX-Not-Run: true\r\nX-Request-Id: other\r\nContent-Length: 0\r\n\r\n",
			streamed: true, afterAnswer: keepOpen, want: engine.Refused, requests: 1,
		},
		{name: "refused before the first byte", answer: ok, afterAnswer: keepOpen, failBeforeWrite: true, want: engine.NotSent, notRun: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedServer(t, tt.answer, tt.afterAnswer)
			c := newClient(t, engine.Options{ReadTimeout: 200 * clock.Millisecond, MaxBodyBytes: 1000})
			beforeWrite := func() error {
				if tt.failBeforeWrite {
					return errors.New("refused")
				}
				return nil
			}
			err := callAndRead(c, s.address, tt.streamed, beforeWrite)
			var f *engine.Failure
			if !errors.As(err, &f) || f.Kind != tt.want || f.ProvablyNotRun() != tt.notRun {
				t.Errorf("got %v, want %s and not run %v", err, tt.want, tt.notRun)
			}
			if got := s.requests.Load(); got != tt.requests {
				t.Errorf("requests: got %d, want %d", got, tt.requests)
			}
		})
	}
}

func callAndRead(c *engine.Client, address string, streamed bool, beforeWrite func() error) error {
	if !streamed {
		_, err := c.Call(context.Background(), engine.Request{Method: "POST", Address: address, Path: "/", Body: []byte("x"), Hooks: engine.Hooks{BeforeWrite: beforeWrite}})
		return err
	}
	s, err := c.Chat(context.Background(), address, "r-1", []byte("{}"), engine.Hooks{BeforeWrite: beforeWrite})
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		if _, err := s.Next(); err != nil {
			return err
		}
	}
}

// Guards against a call that is reported as possibly sent although no process listens
// at the address.
func TestConnectionRefused(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	err = callAndRead(newClient(t, engine.Options{}), l.Addr().String(), false, nil)
	if got := engine.FailureKindOf(err); got != engine.NotSent {
		t.Errorf("got %s (%v), want %s", got, err, engine.NotSent)
	}
}

// Guards against reusing a pooled connection for a call that requires a new one, and
// against waiting for the body of a response that has none.
func TestConnections(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, method, answer string
		newConnection        bool
		want                 int64
	}{
		{name: "reused", method: "GET", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", want: 1},
		{name: "fresh", method: "POST", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", newConnection: true, want: 3},
		{name: "closed by the server", method: "GET", answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", want: 3},
		{name: "head", method: "HEAD", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", want: 1},
		{name: "no content", method: "DELETE", answer: "HTTP/1.1 204 X\r\n\r\n", want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedServer(t, tt.answer, keepOpen)
			c := newClient(t, engine.Options{})
			for range 3 {
				if _, err := c.Call(t.Context(), engine.Request{Method: tt.method, Address: s.address, Path: "/", NewConnection: tt.newConnection}); err != nil {
					t.Fatal(err)
				}
			}
			if got := s.connections.Load(); got != tt.want {
				t.Errorf("connections: got %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against a client that normalizes the path of a service call.
func TestPathUnchanged(t *testing.T) {
	t.Parallel()
	s, release, err := standin.NewService(standin.ServiceOptions{Listen: "127.0.0.1:0", Clock: clock.New(), Logger: event.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	const path = "/a%2Fb/../c//d?x=%20&y"
	answer, err := newClient(t, engine.Options{}).Call(t.Context(), engine.Request{Method: "GET", Address: s.Address(), Path: path})
	if err != nil {
		t.Fatal(err)
	}
	if want := `"path":"` + strings.ReplaceAll(path, "&", `\u0026`) + `"`; !strings.Contains(string(answer.Body), want) {
		t.Errorf("got %s, want %s", answer.Body, want)
	}
}
