package replica_test

import (
	"context"
	"slices"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage"
)

// simCommitTimeout is how long the group may take to commit entries again once a majority of the
// voters have disks that take writes and reach each other.
const simCommitTimeout = 10 * simElectionTimeout

// Guards against a leader whose disk refuses writes and that goes on as if it had stored them, or
// keeps the lead, and against a member that stays out of the group once its disk takes writes again.
func TestDiskFailure(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	name, r := g.leader()
	g.disks[name].Refuse(syscall.ENOSPC)
	if result := r.Propose(context.Background(), []byte("x")); result.Kind != replica.Unknown && result.Kind != replica.Committed {
		t.Errorf("got %v, want unknown or committed", result.Kind)
	}
	waitUntil(func() bool { return r.Status().DiskFailure != nil })
	if got := storage.OutcomeOf(r.Status().DiskFailure); got != storage.Full {
		t.Errorf("failure: got %v, want %v", got, storage.Full)
	}
	waitUntil(func() bool { return r.Status().Role != replica.Leader })
	if result := r.Propose(context.Background(), []byte("y")); result.Kind != replica.NotLeader {
		t.Errorf("got %v, want not leader", result.Kind)
	}
	g.commit("z")
	if r.Status().DiskFailure == nil {
		t.Error("got no failure while the disk refuses writes")
	}
	g.disks[name].Refuse(nil)
	waitUntil(func() bool { return r.Status().DiskFailure == nil })
	g.stopOnceStored(name, "z")
}

// Guards against a group that loses its quorum for good because one disk after the other was full
// for a moment, never two at once.
func TestDisksFullInTurn(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.commit("start")
	for i, name := range []string{"a", "b", "c", "a"} {
		g.disks[name].Refuse(syscall.ENOSPC)
		g.commit(string(rune('0' + i)))
		waitUntil(func() bool { return g.memoryTransport.members[name].Status().DiskFailure != nil })
		g.disks[name].Refuse(nil)
		waitUntil(func() bool { return g.memoryTransport.members[name].Status().DiskFailure == nil })
	}
	g.commit("end")
	for _, name := range []string{"a", "b", "c"} {
		waitUntil(func() bool { return slices.Contains(g.machines[name].allCommands(), "end") })
	}
}

// Guards against disks that are full, fail, stall or fail again and again, in turn or at the same
// time, and stop a group in which a majority of the voters have disks that take writes.
func TestCommitsWhileMajorityOfDisksWorks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 4, 5, 9}).Draw(t, "voters")
		learners := rapid.IntRange(0, 1).Draw(t, "learners")
		s := newStoppedSimOf(t, rapid.Uint64().Draw(t, "seed"), 0, rapid.SampledFrom([]int{2, 10}).Draw(t, "delay"), voters, voters+learners)
		s.crashAtDiskError = rapid.SampledFrom([]float64{0, 0, 0.05}).Draw(t, "crashes at disk errors")
		s.appendBytes = 1 << 20 // With one entry a write, the proposals would come faster than the writes.
		s.startAll()
		s.advanceUntil(func() bool { return s.newestCommitted > 0 }) // All founding members are needed once.
		w := commitWatch{sim: s, workingSince: s.now, newest: s.newestCommitted}
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			kind := rapid.SampledFrom([]int{faultDiskRefuses, faultDiskRefuses, faultDiskFlaps, faultDiskStalls, faultCrash, faultNone}).Draw(t, "fault")
			node := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
			s.inject(kind, node, rapid.IntRange(0, 8*simElectionTimeout).Draw(t, "amount"))
			for range rapid.IntRange(1, 300).Draw(t, "steps") {
				s.advance()
				w.check()
				if s.now%40 == 0 {
					s.manageMembers()
				}
			}
			s.checkLogs()
		}
		s.checkRecovery()
		s.checkLogs()
	})
}

// commitWatch checks that entries are committed while a majority of the voters can store them.
type commitWatch struct {
	sim          *sim
	workingSince clock.Millis // since when a majority of the voters can store entries
	newest       uint64       // newest committed entry
	committedAt  clock.Millis // when newest was committed
}

func (w *commitWatch) check() {
	s := w.sim
	if !s.majorityOfDisksWorks() {
		w.workingSince = s.now
	}
	if s.newestCommitted > w.newest {
		w.newest, w.committedAt = s.newestCommitted, s.now
	}
	if since := s.now - max(w.workingSince, w.committedAt); since > simCommitTimeout {
		s.t.Fatalf("%d ms: no entry was committed for %d ms, want one within %d ms while a majority of the disks works", s.now, since, simCommitTimeout)
	}
}

// majorityOfDisksWorks reports whether, in each membership that some member uses, a majority of the
// voters runs and has a disk that takes writes.
func (s *sim) majorityOfDisksWorks() bool {
	working := map[string]bool{}
	for _, n := range s.nodes {
		if s.running(n) && !n.disk.Refuses() && s.now >= n.stalledUntil {
			working[n.core.Identity()] = true
		}
	}
	for _, n := range s.nodes {
		if n.core == nil {
			continue
		}
		members, previous := n.core.Members()
		voters := slices.DeleteFunc(slices.Clone(members), func(m replica.Member) bool { return !m.Voter })
		identities := make([]string, len(voters))
		for i, v := range voters {
			identities[i] = v.Identity
		}
		if !hasMajority(identities, working) || len(previous) > 0 && !hasMajority(previous, working) {
			return false
		}
	}
	return true
}

func hasMajority(voters []string, working map[string]bool) bool {
	count := 0
	for _, v := range voters {
		if working[v] {
			count++
		}
	}
	return 2*count > len(voters)
}

// Guards against a disk that fills up and has space again several times a second, and moves the lead
// or causes an election each time.
func TestFlappingDisksCauseFewElections(t *testing.T) {
	const duration = 60 * simElectionTimeout
	tests := []struct {
		name     string
		flapping int // number of voters whose disks flap, from the leader on
		want     int // elections at most: one for each voter that leads before its disk has failed
	}{
		{"the leader's disk", 1, 1},
		{"two disks", 2, 2},
		{"all disks", 5, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(8) {
				s := newStoppedSimOf(t, seed, 0, 2, 5, 5)
				s.crashAtDiskError, s.appendBytes, s.syncDelay = 0, 1<<20, 4
				s.startAll()
				s.advanceUntil(func() bool { return s.newestCommitted > 0 && s.now > 10*simElectionTimeout })
				leader := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.core.Role() == replica.Leader })
				for i := range tt.flapping {
					s.inject(faultDiskFlaps, s.nodes[(leader+i)%5], duration)
				}
				elections, committed := s.elections, s.newestCommitted
				for range duration / simStep {
					s.advance()
				}
				if got := s.elections - elections; got > tt.want {
					t.Errorf("seed %d: got %d elections, want at most %d", seed, got, tt.want)
				}
				if s.newestCommitted < committed+100 {
					t.Errorf("seed %d: got %d entries, want at least 100", seed, s.newestCommitted-committed)
				}
			}
		})
	}
}

// Guards against a leader that gives up its lease because disks are full, although no other member
// could be elected: reads and leases of entries need no disk.
func TestLeaseOutlivesFullDisks(t *testing.T) {
	for full := 2; full <= 3; full++ {
		s := newStoppedSimOf(t, uint64(full), 0, 2, 3, 3)
		s.crashAtDiskError, s.appendBytes, s.syncDelay = 0, 1<<20, 4
		s.startAll()
		s.advanceUntil(func() bool { return s.newestCommitted > 0 && s.now > 10*simElectionTimeout })
		leader := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.core.Role() == replica.Leader })
		for i := range full {
			s.nodes[(leader+1+i)%3].disk.Refuse(syscall.ENOSPC)
		}
		for range 40 * simElectionTimeout / simStep {
			s.advance()
			if n := s.nodes[leader]; n.core.LeaseUntil() <= s.clock(n) {
				t.Fatalf("%d full disks: the lease has ended at %d ms", full, s.now)
			}
		}
		s.checkRecovery()
	}
}
