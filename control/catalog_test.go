package control_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/roster"
)

// testApplyTime is how long an entry may use a former state after a change was acknowledged,
// in tests of acknowledgements.
const testApplyTime = 400 * clock.Millisecond

// withLease returns a configure function of newSeededGroup for entries with leases of the
// given duration. Without it, acknowledgements do not wait for entries.
func withLease(lease clock.Millis) func(*control.Options) {
	return func(o *control.Options) { o.EntryLease, o.ApplyTime, o.DrainTime = lease, testApplyTime, testApplyTime }
}

// newSeededGroup starts members that know only the addresses of three seeds. The
// seeds form the group and the others join it. It returns once all of them vote. The
// configure functions change the options of each member.
func newSeededGroup(tb testing.TB, size int, configure ...func(*control.Options)) *group {
	tb.Helper()
	const seeds = 3
	g := &group{
		t: tb, clock: clock.New(), memberOptions: map[string]control.Options{},
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
			Voters: 9, VoterTimeout: 4 * clock.Second, PrivateNetwork: true, Clock: g.clock, Logger: event.Discard(),
			Seeds: func() []string { return addresses[:seeds] },
		}
		for _, f := range configure {
			f(&o)
		}
		if i < seeds {
			o.Members = founders
		} else {
			o.Join = true
		}
		g.memberOptions[o.Name] = o
		g.start(o.Name)
	}
	g.client = g.newClient(addresses)
	g.eventually("every member to vote", func() bool { return g.voterCount() == size })
	return g
}

// voterCount returns the number of voting members.
func (g *group) voterCount() int {
	n := 0
	for _, m := range g.members() {
		if m.Voter {
			n++
		}
	}
	return n
}

// putCatalog sends a catalog document to a member until a call succeeds, and
// returns the answer.
func (g *group) putCatalog(name string, revision uint64) catalog.ApplyResult {
	g.t.Helper()
	var answer catalog.ApplyResult
	g.eventually("an answer to a catalog", func() bool {
		var err error
		answer, err = g.running[name].PutCatalog(g.t.Context(), catalog.Document{Revision: revision, Body: fmt.Appendf(nil, "body %d", revision)})
		return err == nil
	})
	return answer
}

// newestCatalog returns the body of the newest catalog document as read at a
// member.
func (g *group) newestCatalog(name string) string {
	g.t.Helper()
	body := ""
	g.eventually("a confirmed read", func() bool {
		d, err := g.running[name].NewestCatalog(g.t.Context())
		body = string(d.Body)
		return err == nil
	})
	return body
}

// Guards against an accepted catalog that is lost, and against a read that
// returns an older one, when two of five members have crashed and after one of
// them has come back with an empty disk.
func TestCatalogSurvives(t *testing.T) {
	g := newSeededGroup(t, 5)
	if got, want := g.putCatalog("c4", 7).Outcome, catalog.Accepted; got != want {
		t.Errorf("first: got %q, want %q", got, want)
	}
	if got, want := g.putCatalog("c5", 7).Outcome, catalog.Superseded; got != want {
		t.Errorf("again: got %q, want %q", got, want)
	}
	leader := g.leader()
	secondCrashed := "c1"
	if leader == secondCrashed {
		secondCrashed = "c2"
	}
	g.crash(leader)
	g.crash(secondCrashed)
	survivor := ""
	for name := range g.running {
		survivor = name
		if got, want := g.newestCatalog(name), "body 7"; got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	g.putCatalog(survivor, 9)
	// The former leader lost its disk and joins again at the same address.
	o := g.memberOptions[leader]
	o.Folder, o.Members, o.Join = t.TempDir(), nil, true
	g.memberOptions[leader] = o
	g.start(leader)
	g.start(secondCrashed)
	g.eventually("five voters again", func() bool { return g.voterCount() == 5 })
	if got, want := g.newestCatalog(leader), "body 9"; got != want {
		t.Errorf("at the member with a new disk: got %q, want %q", got, want)
	}
}

// watchRecorder records the newest catalog revision and the server states from
// the responses to a watcher.
type watchRecorder struct {
	mu       sync.Mutex
	revision uint64
	servers  map[string]roster.State
}

func (r *watchRecorder) record(_ clock.Millis, response control.WatchResponse) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if response.Document != nil {
		r.revision = response.Document.Revision
	}
	for _, s := range response.Servers {
		r.servers[s.Server] = s.State
	}
	return true
}

// hasSeen reports whether the newest catalog has this revision and server s1
// this state.
func (r *watchRecorder) hasSeen(revision uint64, state roster.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision == revision && r.servers["s1"] == state
}

// hasRevision reports whether the newest catalog has at least this revision.
func (r *watchRecorder) hasRevision(revision uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision >= revision
}

// Guards against an entry that misses changes: those made after a change of the
// leader, and those of a server that announces itself to another member.
func TestWatch(t *testing.T) {
	g := newSeededGroup(t, 5)
	recorder := &watchRecorder{servers: map[string]roster.State{}}
	addresses := []string{g.memberOptions["c1"].Listen, g.memberOptions["c2"].Listen, g.memberOptions["c3"].Listen}
	w := control.NewWatcher(control.WatcherOptions{
		Entry: "entry", Seeds: func() []string { return addresses }, Clock: g.clock, Logger: event.Discard(), Update: recorder.record,
		Report: func() control.Report { return control.Report{} },
	})
	go w.Run(t.Context())
	server := roster.Announcement{Server: "s1", Service: "s", Address: "10.0.0.1:1", State: roster.Serving, StartedAt: 5, Sequence: 1}
	announce := func(name string, a roster.Announcement) {
		g.eventually("an announcement", func() bool { return g.running[name].Announce(a) == nil })
	}
	g.putCatalog("c4", 7)
	announce("c5", server)
	g.eventually("the catalog and the server at the watcher", func() bool { return recorder.hasSeen(7, roster.Serving) })
	g.crash(g.leader())
	name := ""
	for name = range g.running {
		break
	}
	g.putCatalog(name, 8)
	leaving := server.WithState(roster.Leaving)
	leaving.Sequence = 2
	announce(name, leaving)
	g.eventually("the changes at the next leader", func() bool { return recorder.hasSeen(8, roster.Leaving) })
}

// Guards against a catalog of thousands of routes that never reaches the entries, because its
// transfer takes longer than the timeout of a watch and each further try starts again. Entries
// of the former build, which do not accept compression, get the document as it is.
func TestLargeCatalogIsCompressed(t *testing.T) {
	g := newSeededGroup(t, 3)
	var body []byte
	for i := range 7000 {
		body = fmt.Appendf(body, `{"name":"r-%d","host":"h%d.example","prefix":"/p%d/","kind":"idempotent","timeoutMs":4000,"service":"s"},`, i, i%7, i*31)
	}
	document := catalog.Document{Revision: 7, Body: body}
	g.eventually("the catalog", func() bool { _, err := g.running["c1"].PutCatalog(t.Context(), document); return err == nil })
	leader := g.memberOptions[g.leader()].Listen
	tests := []struct {
		name     string
		watch    string
		maxBytes int
		field    string
	}{
		{"new build", `{"entry":"e","accepts_compressed":true}`, len(body) / 4, "document_flate_base64"},
		{"former build", `{"entry":"f"}`, 2 * len(body), "body_base64"},
	}
	for _, tt := range tests {
		_, response := request(t, "POST", "http://"+leader+"/v1/watch", "", tt.watch)
		if got, want := len(response), tt.maxBytes; got > want {
			t.Errorf("%s: response to a watch: got %d bytes, want at most %d", tt.name, got, want)
		}
		if !strings.Contains(response, tt.field) {
			t.Errorf("%s: response without %s", tt.name, tt.field)
		}
	}
	entry := g.watch(1, 0)[0]
	g.eventually("the catalog at an entry", func() bool { return entry.hasRevision(7) })
}
