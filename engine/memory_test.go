package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/memory"
)

// endlessServer answers each request with a head and then bytes without end, until the client closes
// the connection. It returns its address.
func endlessServer(t *testing.T, head string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	block := strings.Repeat("x", 8192)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, err := http.ReadRequest(bufio.NewReader(conn))
				for text := head; err == nil; text = block {
					_, err = io.WriteString(conn, text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a call that counts as one that may have run, although the server states that it has
// not, because the text of the refusal never ends.
func TestRefusalWithoutEnd(t *testing.T) {
	t.Parallel()
	address := endlessServer(t, "HTTP/1.1 503 Busy\r\nX-Request-Id: 1\r\nX-Not-Run: true\r\nContent-Length: 999999999\r\n\r\n")
	c, release := engine.New(engine.Options{Clock: clock.New()})
	t.Cleanup(release)
	_, err := c.Call(context.Background(), engine.Request{
		Method: "POST", Address: address, Path: "/", Headers: []engine.Header{{Name: engine.HeaderRequestID, Value: "1"}},
	})
	var failure *engine.Failure
	if !errors.As(err, &failure) || !failure.ProvablyNotRun() {
		t.Errorf("got %v, want a call that has not run", err)
	}
}

// Guards against servers whose answers or events never end and take the memory of all others, so that
// the process ends or calls to sound servers fail.
func TestAnswersWithoutEndLeaveMemory(t *testing.T) {
	t.Parallel()
	const memoryBytes = 1 << 20
	body := endlessServer(t, "HTTP/1.1 200 OK\r\n\r\n")
	event := endlessServer(t, "HTTP/1.1 200 OK\r\n\r\ndata: ")
	sound := endlessServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
	c, release := engine.New(engine.Options{Clock: clock.New(), MemoryBytes: memoryBytes, MaxBodyBytes: 2 * memoryBytes, MaxEventBytes: 2 * memoryBytes})
	t.Cleanup(release)
	var calls sync.WaitGroup
	for i := range 20 {
		calls.Go(func() {
			_, err := c.Call(context.Background(), engine.Request{Method: "GET", Address: body, Path: "/"})
			if !errors.Is(err, memory.ErrNoMemory) {
				t.Errorf("body without end: got %v, want %v", err, memory.ErrNoMemory)
			}
		})
		calls.Go(func() {
			s, err := c.Chat(context.Background(), event, fmt.Sprint(i), nil, engine.Hooks{})
			if err != nil {
				t.Errorf("event without end: got %v", err)
				return
			}
			defer s.Close()
			if _, err := s.Next(); !errors.Is(err, memory.ErrNoMemory) {
				t.Errorf("event without end: got %v, want %v", err, memory.ErrNoMemory)
			}
		})
	}
	for range 20 {
		answer, err := c.Call(context.Background(), engine.Request{Method: "GET", Address: sound, Path: "/"})
		if err != nil || len(answer.Body) != 100_000 {
			t.Errorf("sound answer: got %d bytes and %v, want 100000", len(answer.Body), err)
		}
	}
	calls.Wait()
}

// Guards against an answer of a known length that takes up to twice its length, and then fails beside
// servers that leave memory for it.
func TestKnownLengthTakesNoMoreMemory(t *testing.T) {
	t.Parallel()
	const length = 100_000
	c, release := engine.New(engine.Options{Clock: clock.New(), MemoryBytes: 2*length + length/10})
	t.Cleanup(release)
	sound := endlessServer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length))
	answer, err := c.Call(context.Background(), engine.Request{Method: "GET", Address: sound, Path: "/"})
	if err != nil || len(answer.Body) != length {
		t.Errorf("got %d bytes and %v, want %d bytes", len(answer.Body), err, length)
	}
}
