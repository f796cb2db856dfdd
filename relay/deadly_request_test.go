package relay_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
)

// newDeadlyBackend returns a server that ends before it answers a request whose body has the
// given text, and answers all others.
func newDeadlyBackend(t *testing.T, text string) *backend {
	t.Helper()
	var b *backend
	b = newBackend(t, func(req receivedRequest) {
		if strings.Contains(req.body, text) {
			b.end()
			return
		}
		respondOK(req, "whole")
	})
	return b
}

// renewLease has the control leader renew the lease, without news.
func (s *fixture) renewLease() {
	s.relay.Update(s.clock.Now(), control.WatchResponse{Granted: true, Revision: 1, Epoch: 1, EntryCount: 1, LoadsKept: true, Share: wholeShare()})
}

// post sends a request with a body.
func (c *client) post(path, id, body string) {
	c.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body))
}

// Guards against one request that ends each server that runs it and comes again with the same
// path, caller and body: it has no parts, no answer begins, and callers of all routes lose one
// server after another.
func TestDeadlyRequestIsRefused(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			var servers []*backend
			for range 8 {
				servers = append(servers, newDeadlyBackend(t, "deadly"))
			}
			s := newFixture(t, servers...)
			s.advanceToNextCheck(10)
			c := s.client()
			ended := func() int {
				n := 0
				for _, b := range servers {
					b.mu.Lock()
					for _, req := range b.received {
						if strings.Contains(req.body, "deadly") {
							n++
						}
					}
					b.mu.Unlock()
				}
				return n
			}
			for i := range 8 {
				c.post(path, fmt.Sprint(i), "deadly body")
				if _, _, err := c.read(); err != nil {
					t.Fatal(err)
				}
				s.advanceToNextCheck(600)
				s.renewLease()
			}
			if got, want := ended(), 3; got > want {
				t.Errorf("servers ended: got %d, want at most %d", got, want)
			}
			s.advanceToNextCheck(2 * clock.Second)
			s.renewLease()
			for i := range 4 {
				c.post(path, fmt.Sprint("later-", i), "deadly body")
				c.wantStatus(400)
			}
			if got, want := ended(), 3; got > want {
				t.Errorf("servers ended later: got %d, want at most %d", got, want)
			}
			c.post(path, "sound", "sound body")
			c.wantStatus(200)
		})
	}
}
