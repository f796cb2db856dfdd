package relay_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/relay"
	"github.com/galenaslip/galenaslip/roster"
)

// enginePrompt is a request whose first three parts other requests share.
const enginePrompt = "GET /engine/ HTTP/1.1\r\nHost: h\r\nId: %d\r\nParts: a b %s own-%d\r\n\r\n"

// newEngineFixture starts a relay with a public route /engine/ to model engines.
func newEngineFixture(t *testing.T, copies bool, servers ...*backend) *fixture {
	t.Helper()
	definition := catalog.Definition{
		Revision: 1, Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 4, CopiesCaches: copies}}},
		Routes: []catalog.Route{{
			Name: "engine", Host: "h", Prefix: "/engine/", RepeatPolicy: catalog.Idempotent, Timeout: clock.Minute, Target: 30 * clock.Second,
			MaxPossibleRuns: 2, Shares: []catalog.Share{{Service: "s", Weight: 1}}, Public: true, ForEngine: true,
		}},
	}
	return newFixtureWith(t, func(o *relay.Options) { o.Format = fixedFormat{definition} }, servers...)
}

// sentTo returns the index of the server that has got the newest request, and the server that it is to
// copy parts of prompts from, -1 for none.
func sentTo(t *testing.T, servers []*backend, counts []int) (server, source int) {
	t.Helper()
	server, source = -1, -1
	for i, b := range servers {
		if n := b.count(); n > counts[i] {
			server, counts[i] = i, n
		}
	}
	if server < 0 {
		t.Fatal("no server has got the request")
	}
	received := servers[server].received
	address := received[len(received)-1].head.Get("Cache-Source")
	if address != "" {
		source = slices.IndexFunc(servers, func(b *backend) bool { return b.listener.Addr().String() == address })
		if source < 0 || source == server {
			t.Fatalf("source of the copy: got %s at server %d, want the address of another one", address, server)
		}
	}
	return server, source
}

// Guards against shared parts of prompts that a server reads again although another one has them: the
// division of servers between long and short prompts follows the demand, so that the preferred server
// of a part changes many times on a day like ev-santiago-grown scale-1.
func TestServerCopiesSharedPartsOfPrompts(t *testing.T) {
	servers := make([]*backend, 10)
	for i := range servers {
		servers[i] = newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
	}
	s := newEngineFixture(t, true, servers...)
	c := s.client()
	counts := make([]int, len(servers))
	ask := func(id int, part string) (server, source int) {
		c.send(fmt.Sprintf(enginePrompt, id, part, id))
		c.wantStatus(200)
		return sentTo(t, servers, counts)
	}
	server, source := ask(1, "c")
	if source < 0 {
		t.Fatal("source of the copy: got none, want the next preferred server")
	}
	if again, _ := ask(2, "c"); again != server {
		t.Errorf("server of the second request with the part: got %d, want %d", again, server)
	}
	// The preferred server leaves, so that its part is read at the next one.
	record := func(i int, state roster.State, version string) roster.Record {
		return roster.Record{Announcement: roster.Announcement{
			Server: fmt.Sprintf("server-%d", i), Service: "s", Address: servers[i].listener.Addr().String(), AvailabilityZone: "z",
			Slots: 4, State: state, StartedAt: 1, Sequence: 2, Version: version,
		}}
	}
	s.updateServers(record(server, roster.Leaving, ""))
	next, other := ask(3, "c")
	if next != source {
		t.Errorf("server after the preferred one has left: got %d, want %d, which the part was copied from", next, source)
	}
	if other == server {
		t.Error("source of the copy: got a server that leaves, want another one")
	}
	for i := range servers {
		if i != server && i != next {
			s.updateServers(record(i, roster.Serving, "v2"))
		}
	}
	if _, source := ask(4, "c"); source >= 0 {
		t.Errorf("source of the copy: got server %d of another version, want none", source)
	}
}

// Guards against a copy that costs engines a call and that they cannot make.
func TestNoCopyWhereEnginesMakeNone(t *testing.T) {
	for name, copies := range map[string]bool{"engines copy none": false, "few tokens": true} {
		t.Run(name, func(t *testing.T) {
			servers := []*backend{
				newBackend(t, func(req receivedRequest) { respondOK(req, "ran") }),
				newBackend(t, func(req receivedRequest) { respondOK(req, "ran") }),
			}
			s := newEngineFixture(t, copies, servers...)
			c := s.client()
			parts := "a b c"
			if copies {
				parts = "a"
			}
			c.send(fmt.Sprintf("GET /engine/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nParts: %s own\r\n\r\n", parts))
			c.wantStatus(200)
			if _, source := sentTo(t, servers, make([]int, 2)); source >= 0 {
				t.Errorf("source of the copy: got server %d, want none", source)
			}
		})
	}
}
