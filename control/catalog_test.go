package control_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/roster"
)

// newSeededGroup starts members that know three seeds and nothing else. The
// seeds found the group, the others ask to join, and all of them vote.
func newSeededGroup(tb testing.TB, size int) *group {
	tb.Helper()
	const seeds = 3
	g := &group{
		t: tb, clock: clock.New(), options: map[string]control.Options{},
		running: map[string]*control.Control{}, release: map[string]func(){},
	}
	addresses := freeAddresses(size)
	founders := make([]control.Member, seeds)
	for i := range founders {
		founders[i] = control.Member{Name: fmt.Sprintf("c%d", i+1), Address: addresses[i]}
	}
	for i := range size {
		o := control.Options{
			Name: fmt.Sprintf("c%d", i+1), AvailabilityZone: fmt.Sprintf("az-%d", i%3), Listen: addresses[i], Folder: tb.TempDir(),
			Voters: 9, LostAfter: 4 * clock.Second, PrivateNetwork: true, Clock: g.clock, Logger: event.Discard(),
			Seeds: func() []string { return addresses[:seeds] },
		}
		if i < seeds {
			o.Members = founders
		} else {
			o.Join = true
		}
		g.options[o.Name] = o
		g.start(o.Name)
	}
	g.client = g.newClient(addresses)
	g.eventually("every member to vote", func() bool { return g.voters() == size })
	return g
}

func (g *group) voters() int {
	n := 0
	for _, m := range g.members() {
		if m.Voter {
			n++
		}
	}
	return n
}

// put sends a document to a member until it is answered with certainty.
func (g *group) put(name string, revision uint64) catalog.ApplyResult {
	g.t.Helper()
	var answer catalog.ApplyResult
	g.eventually("an answer to a catalog", func() bool {
		var err error
		answer, err = g.running[name].PutCatalog(g.t.Context(), catalog.Document{Revision: revision, Body: fmt.Appendf(nil, "body %d", revision)})
		return err == nil
	})
	return answer
}

func (g *group) newest(name string) string {
	g.t.Helper()
	body := ""
	g.eventually("a certain read", func() bool {
		d, err := g.running[name].NewestCatalog(g.t.Context())
		body = string(d.Body)
		return err == nil
	})
	return body
}

// Guards against an accepted catalog that is lost or read in an older state: with
// two of five members gone, and after a member has come back with an empty disk.
func TestCatalogSurvives(t *testing.T) {
	g := newSeededGroup(t, 5)
	if got, want := g.put("c4", 7).Verdict, catalog.Accepted; got != want {
		t.Errorf("first: got %q, want %q", got, want)
	}
	if got, want := g.put("c5", 7).Verdict, catalog.Superseded; got != want {
		t.Errorf("again: got %q, want %q", got, want)
	}
	leader := g.leader()
	other := "c1"
	if leader == other {
		other = "c2"
	}
	g.crash(leader)
	g.crash(other)
	last := ""
	for name := range g.running {
		last = name
		if got, want := g.newest(name), "body 7"; got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	g.put(last, 9)
	// The disk of one member is lost; it comes back at its address.
	o := g.options[leader]
	o.Folder, o.Members, o.Join = t.TempDir(), nil, true
	g.options[leader] = o
	g.start(leader)
	g.start(other)
	g.eventually("five voters again", func() bool { return g.voters() == 5 })
	if got, want := g.newest(leader), "body 9"; got != want {
		t.Errorf("at the member with a new disk: got %q, want %q", got, want)
	}
}

// news collects what a watcher hands over.
type news struct {
	mu       sync.Mutex
	revision uint64
	servers  map[string]roster.State
}

func (n *news) take(_ clock.Millis, got control.WatchResponse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if got.Document != nil {
		n.revision = got.Document.Revision
	}
	for _, s := range got.Servers {
		n.servers[s.Server] = s.State
	}
}

func (n *news) has(revision uint64, server string, state roster.State) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revision == revision && n.servers[server] == state
}

// Guards against an entry that does not hear of a change: after a change of the
// leader, and of a server that announces itself to another member.
func TestWatch(t *testing.T) {
	g := newSeededGroup(t, 5)
	got := &news{servers: map[string]roster.State{}}
	addresses := []string{g.options["c1"].Listen, g.options["c2"].Listen, g.options["c3"].Listen}
	w := control.NewWatcher(control.WatcherOptions{
		Entry: "entry", Seeds: func() []string { return addresses }, Clock: g.clock, Logger: event.Discard(), Update: got.take,
		Report: func() ([]control.ServerLoad, []control.ServiceDemand) { return nil, nil },
	})
	go w.Run(t.Context())
	server := roster.Announcement{Server: "s1", Service: "s", Address: "10.0.0.1:1", State: roster.Serving, StartedAt: 5, Sequence: 1}
	announce := func(name string, a roster.Announcement) {
		g.eventually("an announcement", func() bool { return g.running[name].Announce(a) == nil })
	}
	g.put("c4", 7)
	announce("c5", server)
	g.eventually("the first news", func() bool { return got.has(7, "s1", roster.Serving) })
	g.crash(g.leader())
	name := ""
	for name = range g.running {
		break
	}
	g.put(name, 8)
	leaving := server.WithState(roster.Leaving)
	leaving.Sequence = 2
	announce(name, leaving)
	g.eventually("news of the next leader", func() bool { return got.has(8, "s1", roster.Leaving) })
}
