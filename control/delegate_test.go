package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/roster"
)

// entryLease is the duration of leases in tests of acknowledgements. An election takes less.
const entryLease = 5 * clock.Second

// watchingEntry is an entry that watches the group. Its lock guards the embedded recorder
// and the fields below.
type watchingEntry struct {
	watchRecorder
	passedOn       bool         // the latest response came from a member on behalf of the leader
	entryCount     int          // number of entries in the latest response
	load           int          // load of other entries in the latest response
	confirmedAfter clock.Millis // latest time from which the lease counts
	delay          clock.Millis // pause before each request
	unreadable     uint64       // revision from which on the entry cannot decode catalogs; 0 if it can
}

func (e *watchingEntry) update(confirmedAfter clock.Millis, response control.WatchResponse) bool {
	e.mu.Lock()
	unreadable := e.unreadable > 0 && response.Revision >= e.unreadable
	e.mu.Unlock()
	if unreadable {
		return false
	}
	e.record(confirmedAfter, response)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.passedOn, e.entryCount, e.confirmedAfter, e.load = response.Leader != "", response.EntryCount, confirmedAfter, 0
	for _, l := range response.Loads {
		e.load += l.Requests
	}
	return true
}

func (e *watchingEntry) state() (passedOn bool, entryCount, load int, confirmedAfter clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.passedOn, e.entryCount, e.load, e.confirmedAfter
}

// leaseStart returns the latest time from which the lease counts.
func (e *watchingEntry) leaseStart() clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmedAfter
}

func (e *watchingEntry) requestDelay() clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.delay
}

// pause makes the entry send no more requests.
func (e *watchingEntry) pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = clock.Minute
}

// watch starts entries that know only the group's seeds. Each has one request in progress
// at server s1.
func (g *group) watch(count int, delay clock.Millis) []*watchingEntry {
	seeds := []string{g.memberOptions["c1"].Listen, g.memberOptions["c2"].Listen, g.memberOptions["c3"].Listen}
	entries := make([]*watchingEntry, count)
	for i := range entries {
		e := &watchingEntry{watchRecorder: watchRecorder{servers: map[string]roster.State{}}, delay: delay}
		entries[i] = e
		w := control.NewWatcher(control.WatcherOptions{
			Entry: fmt.Sprintf("entry-%d", i), AvailabilityZone: fmt.Sprintf("az-%d", i%3), Seeds: func() []string { return seeds },
			Clock: g.clock, Logger: event.Discard(), Update: e.update,
			Report: func() control.Report {
				g.clock.Sleep(g.t.Context(), e.requestDelay())
				return control.Report{Loads: []control.ServerLoad{{Server: "s1", Requests: 1}}}
			},
		})
		go w.Run(g.t.Context())
	}
	return entries
}

// allOf reports whether a condition holds for all entries.
func allOf(entries []*watchingEntry, condition func(e *watchingEntry) bool) bool {
	for _, e := range entries {
		if !condition(e) {
			return false
		}
	}
	return true
}

// Guards against a leader that must answer every entry itself, against entries that miss a
// change because a member answers on behalf of the leader, and against members that do not
// pass on the loads of each other's entries. It also crashes the leader.
func TestDelegation(t *testing.T) {
	const count = 48
	g := newSeededGroup(t, 5)
	server := roster.Announcement{Server: "s1", Service: "s", Address: "10.0.0.1:1", State: roster.Serving, StartedAt: 5, Sequence: 1}
	g.putCatalog("c4", 7)
	g.eventually("an announcement", func() bool { return g.running["c5"].Announce(server) == nil })
	entries := g.watch(count, 0)
	settled := func(revision uint64, state roster.State) bool {
		passedOn := 0
		for _, e := range entries {
			viaMember, entryCount, load, _ := e.state()
			if !e.hasSeen(revision, state) || entryCount != count || load != count-1 {
				return false
			}
			if viaMember {
				passedOn++
			}
		}
		return passedOn > count/2 && passedOn < count
	}
	g.eventually("all entries to know all others", func() bool { return settled(7, roster.Serving) })
	g.crash(g.leader())
	name := ""
	for name = range g.running {
		break
	}
	g.putCatalog(name, 8)
	g.eventually("the heartbeat at the new leader", func() bool {
		server.Sequence++
		return g.running[name].Announce(server.WithState(roster.Leaving)) == nil
	})
	g.eventually("all entries to know all others again", func() bool { return settled(8, roster.Leaving) })
}

// Guards against a server that gets requests long after its leaving was acknowledged: with
// entries that ask late for changes, an acknowledgement before all of them know is too early.
func TestLeavingIsAcknowledgedOnceAllEntriesKnow(t *testing.T) {
	for _, count := range []int{3, 48} {
		t.Run(fmt.Sprintf("%d entries", count), func(t *testing.T) {
			g := newSeededGroup(t, 5, withLease(1500*clock.Millisecond))
			server := roster.Announcement{Server: "s1", Service: "s", Address: "10.0.0.1:1", State: roster.Serving, StartedAt: 5, Sequence: 1}
			g.putCatalog("c4", 7)
			entries := g.watch(count, 50*clock.Millisecond)
			g.eventually("an announcement", func() bool { server.Sequence++; return g.running["c5"].Announce(server) == nil })
			g.eventually("all entries to know the server", func() bool {
				return allOf(entries, func(e *watchingEntry) bool {
					_, entryCount, _, _ := e.state()
					return entryCount == count && e.hasSeen(7, roster.Serving)
				})
			})
			var wait sync.WaitGroup
			for name := range g.running {
				wait.Go(func() {
					leaving := server.WithState(roster.Leaving)
					leaving.Sequence++
					g.eventually("the acknowledgement", func() bool { return g.running[name].Announce(leaving) == nil })
					if !allOf(entries, func(e *watchingEntry) bool { return e.hasSeen(7, roster.Leaving) }) {
						t.Errorf("leaving acknowledged at %s before all entries know of it", name)
					}
				})
			}
			wait.Wait()
		})
	}
}

// Guards against an entry that keeps its lease although nobody can reach the leader: a
// member that has lost it passes its last confirmation on for a bounded time only, and no
// lease counts from a later time.
func TestNoLeaseWithoutLeader(t *testing.T) {
	g := newSeededGroup(t, 3)
	g.putCatalog("c1", 7)
	entries := g.watch(48, 0)
	g.eventually("entries that watch members", func() bool {
		return !allOf(entries, func(e *watchingEntry) bool { passedOn, _, _, _ := e.state(); return !passedOn })
	})
	leader := g.leader()
	for name := range g.running {
		if name != leader {
			g.crash(name)
			break
		}
	}
	g.crash(leader)
	lostAt := g.clock.Now()
	g.clock.Sleep(t.Context(), clock.Second)
	for i, e := range entries {
		if _, _, _, confirmedAfter := e.state(); confirmedAfter > lostAt {
			t.Errorf("lease of entry %d: counts from %d, want at most %d", i, confirmedAfter, lostAt)
		}
	}
}

// Guards against lists of loads that grow with entries times servers: with many servers most
// responses leave them out, and the entry is told to keep those that it has.
func TestLoadsOfManyServersAreSentLessOften(t *testing.T) {
	const servers = 2000
	g := newSeededGroup(t, 3)
	g.putCatalog("c1", 7)
	loads := make([]control.ServerLoad, servers)
	for i := range loads {
		loads[i] = control.ServerLoad{Server: fmt.Sprintf("s%d", i), Requests: 1}
	}
	var mu sync.Mutex
	sent, kept := 0, 0
	watcher := func(entry string, report control.Report, update func(response control.WatchResponse)) {
		w := control.NewWatcher(control.WatcherOptions{
			Entry: entry, Seeds: func() []string { return []string{g.memberOptions["c1"].Listen} }, Clock: g.clock, Logger: event.Discard(),
			Update: func(_ clock.Millis, response control.WatchResponse) bool { update(response); return true }, Report: func() control.Report { return report },
		})
		go w.Run(t.Context())
	}
	watcher("busy", control.Report{Loads: loads}, func(control.WatchResponse) {})
	watcher("other", control.Report{}, func(response control.WatchResponse) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case response.LoadsKept && len(response.Loads) > 0:
			t.Errorf("response that keeps loads: got %d loads, want none", len(response.Loads))
		case response.LoadsKept:
			kept++
		case len(response.Loads) == servers:
			sent++
		}
	})
	g.eventually("responses with and without loads", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return sent > 1 && kept > sent
	})
}

// Guards against loads of entries that have gone and count for ever: an entry that has once
// asked a member that does not lead left its load in that member's reports to the leader, so
// that all entries took the server for busy and refused requests.
func TestLoadsOfGoneEntriesEnd(t *testing.T) {
	g := newSeededGroup(t, 3)
	g.putCatalog("c1", 7)
	leader := g.leader()
	follower := "c1"
	if leader == follower {
		follower = "c2"
	}
	watch := func(ctx context.Context, entry, seed string, load int) *watchingEntry {
		e := &watchingEntry{watchRecorder: watchRecorder{servers: map[string]roster.State{}}}
		w := control.NewWatcher(control.WatcherOptions{
			Entry: entry, Seeds: func() []string { return []string{g.memberOptions[seed].Listen} }, Clock: g.clock, Logger: event.Discard(),
			Update: e.update,
			Report: func() control.Report {
				return control.Report{Loads: []control.ServerLoad{{Server: "s1", Requests: load}}}
			},
		})
		go w.Run(ctx)
		return e
	}
	ctx, cancel := context.WithCancel(t.Context())
	observer := watch(t.Context(), "observer", leader, 0)
	watch(ctx, "gone", follower, 5)
	g.eventually("the load of the other entry", func() bool { _, _, load, _ := observer.state(); return load == 5 })
	cancel()
	g.eventually("the end of that load", func() bool { _, entries, load, _ := observer.state(); return entries == 1 && load == 0 })
}

// Guards against what entries have found out about a starting server being lost because they have no
// requests there at the moment, and against a sum that stays or turns negative once they are gone.
func TestProvenRequestsOfEntriesAreAdded(t *testing.T) {
	g := newSeededGroup(t, 3)
	g.putCatalog("c1", 7)
	var mu sync.Mutex
	proven := 0
	watch := func(ctx context.Context, entry, seed string, loads []control.ServerLoad, update func(control.WatchResponse)) {
		w := control.NewWatcher(control.WatcherOptions{
			Entry: entry, Seeds: func() []string { return []string{g.memberOptions[seed].Listen} }, Clock: g.clock, Logger: event.Discard(),
			Update: func(_ clock.Millis, response control.WatchResponse) bool { update(response); return true },
			Report: func() control.Report { return control.Report{Loads: loads} },
		})
		go w.Run(ctx)
	}
	isProven := func(want int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			return proven == want
		}
	}
	watch(t.Context(), "observer", "c1", nil, func(response control.WatchResponse) {
		mu.Lock()
		defer mu.Unlock()
		proven = 0
		for _, l := range response.Loads {
			proven += l.Proven
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	for i, seed := range []string{"c1", "c2", "c3"} {
		watch(ctx, fmt.Sprintf("entry-%d", i), seed, []control.ServerLoad{{Server: "s1", Proven: i + 1}}, func(control.WatchResponse) {})
	}
	g.eventually("the sum of the other entries", isProven(6))
	cancel()
	g.eventually("the end of that sum", isProven(0))
}

// Guards against a catalog that is acknowledged while an entry still uses an older one: with
// entries that ask late for changes, an acknowledgement at the commit is too early.
func TestCatalogIsAcknowledgedOnceAllEntriesUseIt(t *testing.T) {
	for _, count := range []int{3, 48} {
		t.Run(fmt.Sprintf("%d entries", count), func(t *testing.T) {
			g := newSeededGroup(t, 5, withLease(1500*clock.Millisecond))
			g.putCatalog("c4", 7)
			entries := g.watch(count, 50*clock.Millisecond)
			g.eventually("all entries to use the first catalog", func() bool {
				return allOf(entries, func(e *watchingEntry) bool {
					_, entryCount, _, _ := e.state()
					return entryCount == count && e.hasRevision(7)
				})
			})
			for i := range uint64(5) {
				revision := 8 + i
				g.putCatalog(fmt.Sprintf("c%d", i+1), revision)
				if !allOf(entries, func(e *watchingEntry) bool { return e.hasRevision(revision) }) {
					t.Errorf("revision %d acknowledged before all entries use it", revision)
				}
			}
		})
	}
}

// Guards against changes that a new leader acknowledges because no entry has reported to it
// yet, while entries still hold leases of the former leader and cannot learn of the change.
func TestNewLeaderWaitsForFormerLeases(t *testing.T) {
	g := newSeededGroup(t, 3, withLease(entryLease))
	server := roster.Announcement{Server: "s1", Service: "s", Address: "10.0.0.1:1", State: roster.Serving, StartedAt: 5, Sequence: 1}
	g.putCatalog("c1", 7)
	g.eventually("an announcement", func() bool { server.Sequence++; return g.running["c1"].Announce(server) == nil })
	entry := g.watch(1, 0)[0]
	g.eventually("the entry to know the server", func() bool { return entry.hasSeen(7, roster.Serving) })
	entry.pause()
	g.crash(g.leader())
	name := ""
	for name = range g.running {
		break
	}
	leaving := server.WithState(roster.Leaving)
	g.eventually("the acknowledgement of the leaving", func() bool { leaving.Sequence++; return g.running[name].Announce(leaving) == nil })
	g.checkLeaseEnd(entry, "leaving")
	g.putCatalog(name, 8)
	g.checkLeaseEnd(entry, "catalog")
}

// checkLeaseEnd fails the test if a change that has just been acknowledged may be unknown to an
// entry with a lease after testApplyTime.
func (g *group) checkLeaseEnd(entry *watchingEntry, change string) {
	g.t.Helper()
	acknowledgedAt := g.clock.Now()
	if got, want := acknowledgedAt+testApplyTime, entry.leaseStart()+entryLease; got < want {
		g.t.Errorf("%s acknowledged: the former state may be used until %d ms, want at least %d ms", change, got, want)
	}
}

// Guards against a catalog that is acknowledged because an entry has received it, although
// the entry cannot decode it and uses the former one until its lease ends.
func TestCatalogThatAnEntryCannotDecode(t *testing.T) {
	g := newSeededGroup(t, 3, withLease(entryLease))
	g.putCatalog("c1", 7)
	entry := g.watch(1, 0)[0]
	g.eventually("the entry to use the catalog", func() bool { return entry.hasRevision(7) })
	g.clock.Sleep(t.Context(), entryLease) // leases of former leaders have ended
	entry.mu.Lock()
	entry.unreadable = 8
	entry.mu.Unlock()
	g.putCatalog("c1", 8)
	g.checkLeaseEnd(entry, "catalog")
}

// Guards against acknowledgements that wait for a member although no entry watches it: with
// few entries, a slow or silent member would delay each change by the duration of a lease.
func TestIdleMemberDelaysNoAcknowledgement(t *testing.T) {
	g := newSeededGroup(t, 3, withLease(entryLease))
	g.putCatalog("c1", 7)
	entry := g.watch(1, 0)[0]
	g.eventually("the entry to use the catalog", func() bool { return entry.hasRevision(7) })
	g.clock.Sleep(t.Context(), entryLease) // leases of former leaders have ended
	leader := g.leader()
	for name := range g.running {
		if name != leader {
			g.crash(name)
			break
		}
	}
	startedAt := g.clock.Now()
	g.putCatalog(leader, 8)
	if got, want := g.clock.Now()-startedAt, entryLease/2; got >= want {
		t.Errorf("acknowledged after %d ms, want less than %d ms", got, want)
	}
}
