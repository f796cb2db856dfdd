package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/frame"
	"github.com/galenaslip/galenaslip/relay"
)

// refusalFormats are the ways in which a server frames a refusal. Each text has a place for
// the ID field.
var refusalFormats = []struct{ name, method, text string }{
	{"503", "GET", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n"},
	{"503 with a body", "GET", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n%sContent-Length: 4\r\n\r\nbusy"},
	{"503 chunked", "GET", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n"},
	{"503 after an interim answer", "GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Busy\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n"},
	{"429", "GET", "HTTP/1.1 429 Too Many\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n"},
	{"421 with a body", "GET", "HTTP/1.1 421 Other\r\nNot-Run: 1\r\n%sContent-Length: 5\r\n\r\nother"},
	{"400", "GET", "HTTP/1.1 400 Bad\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n"},
	{"204", "GET", "HTTP/1.1 204 No Content\r\nNot-Run: 1\r\n%s\r\n"},
	{"304", "GET", "HTTP/1.1 304 Not Modified\r\nNot-Run: 1\r\n%sContent-Length: 4\r\n\r\n"},
	{"HEAD", "HEAD", "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n%sContent-Length: 4\r\n\r\n"},
}

// idField returns the header field with a request's ID, or nothing if the ID is empty.
func idField(id string) string {
	if id == "" {
		return ""
	}
	return "Id: " + id + "\r\n"
}

// respondAs runs the request and answers it with the given ID field.
func respondAs(req receivedRequest, id string) {
	body := "own"
	if req.head.Method == http.MethodHead {
		body = ""
	}
	write(req, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\n%s", idField(id), body))
}

// readStatus reads the response to a request with the given method and returns its status.
func readStatus(t *testing.T, c *client, method string) int {
	t.Helper()
	head, err := frame.ReadResponse(c.reader, 1<<16, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := frame.ResponseBody(c.reader, head, method)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		t.Fatal(err)
	}
	return head.Status
}

// arrivals returns how many requests with the ID the servers have received.
func arrivals(id string, servers ...*backend) int {
	n := 0
	for _, b := range servers {
		b.mu.Lock()
		for _, req := range b.received {
			if req.head.Get("Id") == id {
				n++
			}
		}
		b.mu.Unlock()
	}
	return n
}

// Guards against a second copy of a refusal that counts for the next request on a kept
// connection: the server has run that once-only request, but the request goes to a second
// server, or its caller is told that it did not run. The copy has the earlier request's ID or
// none, and the server sends IDs in its refusals, in its answers, in both or in neither.
func TestSecondCopyOfARefusal(t *testing.T) {
	moments := []string{"with the refusal", "between the requests", "after the next request"}
	ids := []struct{ name, refusal, copied, answer string }{
		{"IDs", "1", "1", "2"},
		{"copy without ID", "1", "", "2"},
		{"refusals without ID", "", "", "2"},
		{"no IDs", "", "", ""},
	}
	for _, format := range refusalFormats {
		for _, moment := range moments {
			for _, id := range ids {
				t.Run(format.name+"/"+moment+"/"+id.name, func(t *testing.T) {
					stale := fmt.Sprintf(format.text, idField(id.copied))
					// A server that has answered 421 gets no more requests.
					earlier := fmt.Sprintf(strings.Replace(format.text, " 421 ", " 503 ", 1), idField(id.refusal))
					sendCopy := make(chan net.Conn, 2)
					var kept sync.Map // connections on which the first request was refused
					respond := func(req receivedRequest) {
						if req.head.Get("Id") != "1" {
							if _, ok := kept.Load(req.conn); ok && moment == "after the next request" {
								write(req, stale)
							}
							respondAs(req, id.answer)
							return
						}
						if moment == "with the refusal" {
							earlier += stale
						}
						write(req, earlier)
						kept.Store(req.conn, true)
						sendCopy <- req.conn
					}
					one, two := newBackend(t, respond), newBackend(t, respond)
					s := newFixture(t, one, two)
					first := s.client()
					first.send(format.method + " /once/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\n\r\n")
					if got, want := readStatus(t, first, format.method), 503; got != want {
						t.Fatalf("refused request: got status %d, want %d", got, want)
					}
					s.awaitAttemptsEnd() // the second request must find the connections idle
					for range 2 {
						if conn := <-sendCopy; moment == "between the requests" {
							_, _ = io.WriteString(conn, stale)
						}
					}
					second := s.client()
					second.send(format.method + " /once/ HTTP/1.1\r\nHost: h\r\nId: 2\r\nKey: k\r\n\r\n")
					if got := readStatus(t, second, format.method); got != 200 && got != 502 {
						t.Errorf("request that ran: got status %d, want 200 or 502", got)
					}
					if got, want := arrivals("2", one, two), 1; got != want {
						t.Errorf("runs of a once-only request: got %d, want %d", got, want)
					}
				})
			}
		}
	}
}

// Guards against a refusal without an ID that counts for a request on a new connection although
// an answer to another request came before it: it may belong to yet another one.
func TestRefusalWithoutIDAfterAnotherAnswer(t *testing.T) {
	respond := func(req receivedRequest) {
		write(req, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nstray")
		notRun(req)
	}
	one, two := newBackend(t, respond), newBackend(t, respond)
	c := newFixture(t, one, two).client()
	c.get("/once/", "1")
	c.wantStatus(502)
	if got, want := one.count()+two.count(), 1; got != want {
		t.Errorf("arrivals of a once-only request: got %d, want %d", got, want)
	}
}

// Guards against an answer to another request whose end depends on the method of that request:
// bytes of a body, which another caller may have chosen, would be read as the answer to this
// request.
func TestAnswerToAnotherMethod(t *testing.T) {
	const (
		length = 100 // of the body of the first answer
		forged = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: 2\r\nContent-Length: 0\r\n\r\n"
	)
	head := func(id string, length int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, length)
	}
	getBody := forged + strings.Repeat("x", length-len(forged))
	// If the copy of the answer to HEAD is taken for one with a body, that takes the beginning
	// of the own answer, and the rest is read as an answer.
	ownLength := length - len(head("2", length)) + len(forged)
	ownBody := strings.Repeat("x", ownLength-len(forged)) + forged
	tests := []struct{ first, second, answer, next string }{
		{first: "GET", second: "HEAD", answer: head("1", length) + getBody, next: head("2", length)},
		{first: "HEAD", second: "GET", answer: head("1", length), next: head("2", ownLength) + ownBody},
	}
	for _, tt := range tests {
		t.Run(tt.first+" before "+tt.second, func(t *testing.T) {
			var kept sync.Map // the connection of the first request
			b := newBackend(t, func(req receivedRequest) {
				if req.head.Get("Id") == "1" {
					kept.Store(req.conn, true)
					write(req, tt.answer)
					return
				}
				if _, ok := kept.Load(req.conn); ok {
					write(req, tt.answer)
				}
				write(req, tt.next)
			})
			s := newFixture(t, b)
			for i, method := range []string{tt.first, tt.second} {
				c := s.client()
				c.send(fmt.Sprintf("%s /once/ HTTP/1.1\r\nHost: h\r\nId: %d\r\nKey: k\r\n\r\n", method, i+1))
				if got := readStatus(t, c, method); got != 200 && got != 502 {
					t.Errorf("request %d, which ran: got status %d, want 200 or 502", i+1, got)
				}
				s.awaitAttemptsEnd()
			}
		})
	}
}

// waitingProtocol is a relay.Protocol that lets the test delay a request after its connection
// to the server is open and before it is written.
type waitingProtocol struct {
	testProtocol
	ready <-chan struct{} // receives when a request may be written
}

func (p waitingProtocol) Forward(h frame.Head, forwardInfo relay.ForwardInfo) []frame.Header {
	<-p.ready
	return p.testProtocol.Forward(h, forwardInfo)
}

// Guards against bytes that a server sent before it got the request and that count as the
// answer to it. The request was not written, so it may go to another server.
func TestRefusalBeforeTheRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ready, arrived := make(chan struct{}, 1), make(chan bool, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		ready <- struct{}{}
		_, err = frame.ReadRequest(bufio.NewReader(conn), 1<<16, nil)
		arrived <- err == nil
	}()
	c := newFixtureWith(t, func(o *relay.Options) { o.Protocol = waitingProtocol{ready: ready} }, &backend{listener: listener}).client()
	c.get("/once/", "1")
	c.wantStatus(503)
	if <-arrived {
		t.Error("a request that was called not run has reached the server")
	}
}

// Guards against a refusal that a faulty server sends once more on another connection: a server
// that sends IDs must send one with each answer to a request that has one.
func TestRefusalWithoutIDFromServerWithIDs(t *testing.T) {
	respond := func(req receivedRequest) {
		id := req.head.Get("Id")
		if id == "1" {
			write(req, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nConnection: close\r\n"+idField(id)+"Content-Length: 0\r\n\r\n")
			return
		}
		notRun(req)
	}
	one, two := newBackend(t, respond), newBackend(t, respond)
	s := newFixture(t, one, two)
	first := s.client()
	first.get("/once/", "1")
	first.wantStatus(503)
	s.awaitAttemptsEnd()
	second := s.client()
	second.get("/once/", "2")
	second.wantStatus(502)
	if got, want := arrivals("2", one, two), 1; got != want {
		t.Errorf("arrivals of a once-only request: got %d, want %d", got, want)
	}
}

// Guards against a copy of a refusal that counts for the next request because that has the same
// ID: a caller may use an ID again.
func TestSecondCopyForTheSameID(t *testing.T) {
	var kept sync.Map // connections on which the first request was refused
	respond := func(req receivedRequest) {
		if req.head.Target == "/once/first" {
			kept.Store(req.conn, true)
			write(req, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		if _, ok := kept.Load(req.conn); ok {
			write(req, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
		}
		respondAs(req, "1")
	}
	one, two := newBackend(t, respond), newBackend(t, respond)
	s := newFixture(t, one, two)
	first := s.client()
	first.get("/once/first", "1")
	first.wantStatus(503)
	s.awaitAttemptsEnd()
	second := s.client()
	second.get("/once/second", "1")
	second.wantStatus(200)
	if got, want := one.count()+two.count(), 3; got != want {
		t.Errorf("arrivals: got %d, want %d", got, want)
	}
}
