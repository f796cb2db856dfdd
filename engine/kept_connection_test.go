package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
)

// answerText returns an answer with status 200, with the given ID unless that is empty.
func answerText(id, body string) string {
	if id != "" {
		id = engine.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// refusalText is answerText for a refusal with the statement that the call was not run.
func refusalText(id, body string) string {
	if id != "" {
		id = engine.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s%s: true\r\nContent-Length: %d\r\n\r\n%s", id, engine.HeaderNotRun, len(body), body)
}

// serveCopies serves the connections of l. It answers the first request with first, which it
// writes once more at the given moment, and the others with their own ID if it sends IDs. It
// writes to between when the copy between the requests was sent.
func serveCopies(l net.Listener, first, moment string, sendsIDs bool, between chan<- struct{}) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for n := 0; ; n++ {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				id := request.Header.Get(engine.HeaderRequestID)
				if id == "1" {
					_, _ = io.WriteString(conn, first)
					if moment == "between the calls" {
						_, _ = io.WriteString(conn, first)
					}
					between <- struct{}{}
					continue
				}
				if n > 0 && moment == "after the next call" {
					_, _ = io.WriteString(conn, first)
				}
				if !sendsIDs {
					id = ""
				}
				_, _ = io.WriteString(conn, answerText(id, "own"))
			}
		}()
	}
}

// Guards against a second copy of an earlier answer or refusal, on a connection that is used
// again, that counts as the answer to the next call: its caller would get the answer to another
// call, or be told that a call did not run that the server has run.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	t.Parallel()
	firsts := []struct {
		name string
		text func(id, body string) string
	}{{"answer", answerText}, {"refusal", refusalText}}
	for _, first := range firsts {
		for _, moment := range []string{"between the calls", "after the next call"} {
			for _, sendsIDs := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/IDs %v", first.name, moment, sendsIDs), func(t *testing.T) {
					t.Parallel()
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { _ = l.Close() })
					id := ""
					if sendsIDs {
						id = "1"
					}
					between := make(chan struct{}, 1)
					go serveCopies(l, first.text(id, "first"), moment, sendsIDs, between)
					c := newClient(t, engine.Options{ReadTimeout: 10 * clock.Second})
					call := func(id string) (engine.Answer, error) {
						return c.Call(t.Context(), engine.Request{
							Method: "POST", Address: l.Addr().String(), Path: "/", Body: []byte("x"),
							Headers: []engine.Header{{Name: engine.HeaderRequestID, Value: id}},
						})
					}
					_, _ = call("1")
					<-between
					answer, err := call("2")
					var f *engine.Failure
					if errors.As(err, &f) && f.ProvablyNotRun() {
						t.Errorf("call that ran: got %v, which says that it did not", err)
					}
					if err == nil && string(answer.Body) != "own" {
						t.Errorf("got the answer %q, want %q or an error", answer.Body, "own")
					}
				})
			}
		}
	}
}
