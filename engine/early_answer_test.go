package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
)

// Guards against a server that answers a call before it has read it, without a length, and resets the
// connection in the middle of the body, which is taken for the end of a whole answer.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	t.Parallel()
	heads := []string{"HTTP/1.1 %d X\r\n", "HTTP/1.1 %d X\r\nConnection: close\r\n", "HTTP/1.0 %d X\r\n", "HTTP/1.1 %d X\r\nContent-Length: 100\r\n"}
	for _, head := range heads {
		for _, status := range []int{200, 413} {
			for _, size := range []int{0, 1 << 10, 64 << 10, 12 << 20} {
				t.Run(fmt.Sprintf("%q/%d/%d", head, status, size), func(t *testing.T) {
					t.Parallel()
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { _ = l.Close() })
					go serveResets(l, fmt.Sprintf(head, status)+engine.HeaderRequestID+": 1\r\n\r\npart")
					c, release := engine.New(engine.Options{Clock: clock.New()})
					t.Cleanup(release)
					for range 5 {
						answer, err := c.Call(context.Background(), engine.Request{
							Method: "PUT", Address: l.Addr().String(), Path: "/", Body: make([]byte, size), Headers: []engine.Header{{Name: engine.HeaderRequestID, Value: "1"}},
						})
						if err == nil || engine.FailureKindOf(err) != engine.Lost {
							t.Errorf("got status %d, the body %q and %v, want a lost call", answer.Status, answer.Body, err)
						}
					}
				})
			}
		}
	}
}

// serveResets answers the head of each request on the connections of l and resets the connection.
func serveResets(l net.Listener, answer string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, answer)
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
