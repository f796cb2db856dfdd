package relay_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/frame"
	"github.com/galenaslip/galenaslip/relay"
)

// uploadBytes is the size of a request that does not fit into the socket buffers of a connection.
const uploadBytes = 12 << 20

// newEarlyBackend starts a backend server that answers as soon as it has the head of a request, while the
// rest of the request is still being written.
func newEarlyBackend(t *testing.T, respond func(conn *net.TCPConn, rest io.Reader)) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				tcp, _ := conn.(*net.TCPConn)
				r := bufio.NewReader(conn)
				if head, err := frame.ReadRequest(r, 1<<16, nil); err == nil {
					if body, err := frame.RequestBody(r, head); err == nil {
						respond(tcp, body)
					}
				}
			}()
		}
	}()
	return &backend{listener: l}
}

// newUploadFixture is newFixture with a limit that lets the uploads pass.
func newUploadFixture(t *testing.T, b *backend) *fixture {
	t.Helper()
	return newFixtureWith(t, func(o *relay.Options) {
		format, _ := o.Format.(fixedFormat)
		format.definition.Limits.BodyBytes = uploadBytes
		o.Format = format
	}, b)
}

// upload sends a POST request with a long body, chunked or with a length, and returns the response.
func (c *client) upload(path, version string, chunked bool) (frame.Head, string, error) {
	c.t.Helper()
	data := strings.Repeat("x", uploadBytes)
	head := "POST " + path + " HTTP/" + version + "\r\nHost: h\r\nId: 1\r\nKey: k\r\n"
	if chunked {
		c.send(asChunk(head, data))
	} else {
		c.send(withLength(head, data))
	}
	return c.read()
}

// reset sends the text and resets the connection.
func reset(conn *net.TCPConn, text string) {
	_, _ = io.WriteString(conn, text)
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Guards against a server that answers a long request before it has read it, and resets the connection in
// the middle of an answer that ends with the connection: the caller gets the part as a whole answer, because
// the writer of the request has taken the error of the connection and the reader sees an end.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	const part = "id: 1\ndata: a\n\n"
	heads := []struct{ name, text string }{
		{"without a length", "HTTP/1.1 %d X\r\nId: 1\r\n\r\n"},
		{"closing", "HTTP/1.1 %d X\r\nId: 1\r\nConnection: close\r\n\r\n"},
		{"HTTP 1.0", "HTTP/1.0 %d X\r\nId: 1\r\n\r\n"},
		{"with a length", "HTTP/1.1 %d X\r\nId: 1\r\nContent-Length: 100\r\n\r\n"},
	}
	for _, h := range heads {
		for _, status := range []int{200, 413} {
			for _, path := range []string{"/safe/", "/once/", "/stream/"} {
				for _, version := range []string{"1.0", "1.1"} {
					t.Run(fmt.Sprintf("%s/%d%sHTTP %s", h.name, status, path, version), func(t *testing.T) {
						const plays = 2 // either goroutine may take the error first
						b := newEarlyBackend(t, func(conn *net.TCPConn, _ io.Reader) { reset(conn, fmt.Sprintf(h.text, status)+part) })
						for play := range plays {
							s := newUploadFixture(t, b)
							head, body, err := s.client().upload(path, version, version == "1.1" && play%2 == 0)
							if err == nil && head.Status != 502 {
								t.Errorf("got a whole answer with status %d and the body %q, want 502 or a broken connection", head.Status, body)
							}
						}
					})
				}
			}
		}
	}
}

// Guards against the same where the caller of a stream has already got its first events.
func TestEarlyStreamThatIsReset(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for _, version := range []string{"1.0", "1.1"} {
		t.Run(version, func(t *testing.T) {
			received := make(chan struct{})
			b := newEarlyBackend(t, func(conn *net.TCPConn, _ io.Reader) {
				_, _ = io.WriteString(conn, streamHead+"\r\n"+event)
				<-received
				reset(conn, "")
			})
			c := newUploadFixture(t, b).client()
			c.send(withLength("POST /stream/ HTTP/"+version+"\r\nHost: h\r\nId: 1\r\nKey: k\r\n", strings.Repeat("x", uploadBytes)))
			head, err := frame.ReadResponse(c.reader, 1<<16, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := frame.ResponseBody(c.reader, head, "POST")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(body, make([]byte, len(event))); err != nil {
				t.Fatal(err)
			}
			close(received)
			if rest, err := io.ReadAll(body); err == nil {
				t.Errorf("got the rest %q and a clean end, want a broken stream", rest)
			}
		})
	}
}

// Guards against an answer without a length whose end says nothing about it, because the server has ended
// its connection before it had the whole request, and against refusals that are lost for the same reason.
func TestEarlyAnswerThatEnds(t *testing.T) {
	const text = "Id: 1\r\n\r\ntext"
	tests := []struct {
		name, answer string
		readsFirst   bool // the server reads the request before it answers
		want         int
	}{
		{name: "success", answer: "HTTP/1.1 200 OK\r\n" + text, want: 502},
		{name: "redirection", answer: "HTTP/1.0 303 X\r\n" + text, want: 502},
		{name: "refusal", answer: "HTTP/1.1 413 X\r\n" + text, want: 413},
		{name: "success with a length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + text, want: 200},
		{name: "success after the request", answer: "HTTP/1.1 200 OK\r\n" + text, readsFirst: true, want: 200},
		{name: "refusal after the request", answer: "HTTP/1.0 413 X\r\n" + text, readsFirst: true, want: 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newEarlyBackend(t, func(conn *net.TCPConn, rest io.Reader) {
				if tt.readsFirst {
					_, _ = io.Copy(io.Discard, rest)
				}
				_, _ = io.WriteString(conn, tt.answer)
				_ = conn.CloseWrite()
				<-t.Context().Done() // what was not read stays so
			})
			head, body, err := newUploadFixture(t, b).client().upload("/safe/", "1.1", false)
			if err != nil && !errors.Is(err, io.EOF) || head.Status != tt.want {
				t.Errorf("got status %d, the body %q and %v, want status %d", head.Status, body, err, tt.want)
			}
		})
	}
}
