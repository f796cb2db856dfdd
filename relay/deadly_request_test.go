package relay_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/roster"
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

// Guards against a part of prompts that ends server after server once these have a new software version, because
// servers of the former one have answered it.
func TestDeadlyPartOfNewVersionIsRefused(t *testing.T) {
	s := newFixture(t)
	former := newBackend(t, func(req receivedRequest) { respondOK(req, "whole") })
	leaving := versionRecord("former", "v1", former)
	s.updateServers(leaving)
	c := s.client()
	number := 0
	send := func(part string) int {
		number++
		body := fmt.Sprintf("%s body %d", part, number)
		c.send(fmt.Sprintf("POST /safe/ HTTP/1.1\r\nHost: h\r\nId: %d\r\nKey: k\r\nParts: common %s own-%d\r\nContent-Length: %d\r\n\r\n%s", number, part, number, len(body), body))
		head, _, err := c.read()
		if err != nil {
			t.Fatal(err)
		}
		return head.Status
	}
	for range 6 {
		send("deadly")
	}
	for range 30 {
		send("sound")
	}
	leaving.State = roster.Gone
	s.updateServers(leaving)
	for i := range 8 {
		s.updateServers(versionRecord(fmt.Sprint("next-", i), "v2", newDeadlyBackend(t, "deadly")))
	}
	status := 0
	for range 8 {
		status = send("deadly")
		s.advanceToNextCheck(600)
		s.renewLease()
	}
	if want := 400; status != want {
		t.Errorf("request with the part: got status %d, want %d", status, want)
	}
	if got, want := send("sound"), 200; got != want {
		t.Errorf("sound request: got status %d, want %d", got, want)
	}
}
