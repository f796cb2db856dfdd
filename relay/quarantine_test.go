package relay_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/frame"
)

// newEndingBackend returns a server that ends when it begins to answer a request with the given
// part, and answers all others whole.
func newEndingBackend(t *testing.T, part string) *backend {
	t.Helper()
	var b *backend
	b = newBackend(t, func(req receivedRequest) {
		if !strings.Contains(req.head.Get("Parts"), part) {
			respondOK(req, "whole")
			return
		}
		write(req, "HTTP/1.1 200 OK\r\nId: "+req.head.Get("Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\ndat")
		b.end()
	})
	return b
}

// end closes the server's listener and its connections, as the end of its process does.
func (b *backend) end() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, req := range b.received {
		_ = req.conn.Close()
	}
}

// ask sends a request for a stream whose prompt has the given parts, and a last part of its own.
// Its path is its own too.
func (c *client) ask(parts, id string) {
	c.send(fmt.Sprintf("GET /stream/%s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nParts: %s own-%s\r\n\r\n", id, id, parts, id))
}

// Guards against a poison request: each server that begins to answer it ends, it is sent to
// two servers, and no relay learns from that, so that callers lose one server after another.
func TestPoisonRequestIsRefused(t *testing.T) {
	var servers []*backend
	for range 5 {
		servers = append(servers, newEndingBackend(t, "deadly"))
	}
	s := newFixture(t, servers...)
	c := s.client()
	c.ask("system", "0")
	c.wantStatus(200)
	c.ask("system deadly", "1")
	c.wantStatus(502)
	if got, want := countDeadly(servers), 2; got != want {
		t.Errorf("first request: reached %d servers, want %d", got, want)
	}
	c.ask("system deadly", "2")
	c.wantStatus(502)
	if got, want := countDeadly(servers), 3; got != want {
		t.Errorf("after the second request: reached %d servers, want %d", got, want)
	}
	c.ask("system deadly", "2-again")
	if head, _ := c.wantStatus(503); head.Get("Retry-After") == "" {
		t.Error("refusal before the judgement: got no Retry-After, want one")
	}
	s.advanceToNextCheck(2 * clock.Second)
	for i := range 10 {
		c.ask("system deadly", fmt.Sprintf("3-%d", i))
		head, _ := c.wantStatus(400)
		if got := head.Get("Retry-After"); got != "" {
			t.Errorf("refusal: got Retry-After %q, want none", got)
		}
	}
	if got, want := countDeadly(servers), 3; got != want {
		t.Errorf("after the refusals: reached %d servers, want %d", got, want)
	}
	c.ask("system other", "4")
	c.wantStatus(200)
	// Two parts and the two requests that ended servers.
	if got, want := len(s.relay.State().Suspects), 4; got != want {
		t.Errorf("suspects in the state dump: got %d, want %d", got, want)
	}
	if !s.relay.ReleasePart("s", "deadly") {
		t.Error("release: got an unknown part, want a known one")
	}
	c.ask("system deadly", "5")
	c.wantStatus(502)
}

// Guards against sound requests that are blamed for a server that ended by chance while it had
// been answering them for long.
func TestServerLostByChance(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	var s *fixture
	begun := make(chan struct{}) // closed when the caller has the begin of the answer
	answer := func(req receivedRequest) {
		if req.head.Get("From-Event") != "" {
			write(req, head+"f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n")
			return
		}
		write(req, head+"f\r\nid: 1\ndata: a\n\n\r\n")
		<-begun
		s.manual.Advance(3 * clock.Second)
		_ = req.conn.Close()
	}
	s = newFixture(t, newBackend(t, answer), newBackend(t, answer))
	c := s.client()
	c.ask("system session", "1")
	answerHead, err := frame.ReadResponse(c.reader, 1<<16, nil)
	if err != nil {
		t.Fatal(err)
	}
	close(begun)
	body, err := frame.ResponseBody(c.reader, answerHead, "GET")
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(body)
	if got, want := string(data), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; got != want || err != nil {
		t.Errorf("resumed stream: got %q and %v, want %q", got, err, want)
	}
	if got := s.relay.State().Suspects; len(got) != 0 {
		t.Errorf("suspects: got %+v, want none", got)
	}
}

// countDeadly returns the number of requests with the part "deadly" that reached the servers.
func countDeadly(servers []*backend) int {
	n := 0
	for _, b := range servers {
		b.mu.Lock()
		for _, req := range b.received {
			if strings.Contains(req.head.Get("Parts"), "deadly") {
				n++
			}
		}
		b.mu.Unlock()
	}
	return n
}

// Guards against a part that ends each server before its answer begins and is never found, because
// no two requests with it are alike, and against the refusal of requests that share another part with it.
func TestDeadlyPartOfUnansweredRequestsIsRefused(t *testing.T) {
	var servers []*backend
	for range 8 {
		var b *backend
		b = newBackend(t, func(req receivedRequest) {
			if strings.Contains(req.head.Get("Parts"), "deadly") {
				b.end()
				return
			}
			respondOK(req, "whole")
		})
		servers = append(servers, b)
	}
	s := newFixture(t, servers...)
	c := s.client()
	for i := range 20 {
		c.ask(fmt.Sprintf("system session-%d", i), fmt.Sprint(i))
		c.wantStatus(200)
	}
	for i := range 8 {
		c.ask("system deadly", fmt.Sprintf("deadly-%d", i))
		if _, _, err := c.read(); err != nil {
			t.Fatal(err)
		}
		s.advanceToNextCheck(600)
		s.renewLease()
	}
	if got, want := countDeadly(servers), 3; got > want {
		t.Errorf("servers reached: got %d, want at most %d", got, want)
	}
	s.advanceToNextCheck(2 * clock.Second)
	s.renewLease()
	c.ask("system deadly", "later")
	c.wantStatus(400)
	c.ask("system session-1", "sound")
	c.wantStatus(200)
}
