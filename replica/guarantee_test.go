package replica_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage"
	"github.com/galenaslip/galenaslip/storage/storagetest"
)

// Guards against violations of Raft's guarantees: two leaders in one term or with
// overlapping leases, logs that differ, lost commits, and states that differ from those of
// one state machine that applies all committed entries. Meanwhile members crash, lose power
// or their disk, freeze, lose messages in one direction or both, and are replaced.
func TestGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		delay := rapid.SampledFrom([]int{2, 10, 80}).Draw(t, "delay")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), loss, delay)
		for range rapid.IntRange(1, 40).Draw(t, "count") {
			kind := rapid.SampledFrom(faultWeights).Draw(t, "fault")
			node := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
			s.inject(kind, node, rapid.IntRange(0, 4*simElectionTimeout).Draw(t, "amount"))
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				s.advance()
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

// Guards against a crash at any single write, sync or rename that loses the stored state or
// makes it unusable.
func TestCrashAtEveryStep(t *testing.T) {
	for step := 1; step < 120; step++ {
		for _, index := range []int{0, 1} {
			s := newSim(t, 5, 0, 3)
			s.nodes[index].disk.ScheduleFailure(step, storagetest.ErrCrashed)
			for range 150 {
				s.advance()
			}
			s.checkRecovery()
		}
	}
}

// Guards against committing an entry of an earlier term because a majority has stored it: a
// member with an entry of a later term could still win an election and replace it.
func TestCommitRule(t *testing.T) {
	s := newStoppedSim(t, 1, 0, 2)
	s.appendBytes = 1
	// a and c were leaders before, and each appended an entry that no other member received.
	s.startWithLog("a", 4, storage.Entry{Index: 1, Term: 1}, storage.Entry{Index: 2, Term: 2, Data: []byte("x")})
	s.startWithLog("b", 1, storage.Entry{Index: 1, Term: 1})
	s.startWithLog("c", 3, storage.Entry{Index: 1, Term: 1}, storage.Entry{Index: 2, Term: 3, Data: []byte("y")})
	a, b, c := s.nodes[0], s.nodes[1], s.nodes[2]
	s.advanceUntil(func() bool { return s.clock(b) > b.offset+simElectionTimeout })
	s.blockedUntil["a>c"] = s.now + 100*simElectionTimeout
	s.campaign(a)
	s.advanceUntil(func() bool { _, entries := b.core.Log(); return len(entries) >= 2 })
	// When a sends b the entry after index 2, it knows that b has stored entry 2.
	s.advanceUntil(func() bool {
		return slices.ContainsFunc(s.delayedMessages, func(f delayedMessage) bool {
			return f.to == "b" && f.message.Kind == replica.MessageAppend && f.message.Index == 2
		})
	})
	s.delayedMessages = nil
	s.crash(a, true)
	a.restartAt = s.now + 10_000*simElectionTimeout
	s.advanceUntil(func() bool {
		if s.now%200 == 0 {
			s.campaign(c)
		}
		return c.core.Role() == replica.Leader
	})
	a.restartAt = s.now
	s.checkRecovery()
}

// Guards against a vote that is granted before it is durable: after a crash the member could
// vote twice in a term.
func TestVoteIsDurable(t *testing.T) {
	s := newStoppedSim(t, 1, 0, 2)
	for _, name := range []string{"a", "b", "c"} {
		s.startWithLog(name, 1, storage.Entry{Index: 1, Term: 1})
	}
	a, b, c := s.nodes[0], s.nodes[1], s.nodes[2]
	s.advanceUntil(func() bool { return s.clock(b) > b.offset+simElectionTimeout })
	s.isolate(c, true, s.now+simElectionTimeout)
	s.campaign(a)
	s.advanceUntil(func() bool {
		return slices.ContainsFunc(s.delayedMessages, func(f delayedMessage) bool { return f.message.Kind == replica.MessageVoteReply })
	})
	s.blockedUntil["a>b"] = s.now + 2*simElectionTimeout
	s.crash(b, true)
	b.restartAt = s.now
	start := s.now
	s.advanceUntil(func() bool { return s.now >= start+simElectionTimeout+2*simStep })
	s.campaign(c)
	s.checkRecovery()
}

// Guards against a member that votes right after a restart although it heard from a leader
// just before: the leader's lease would still be valid.
func TestNoVoteAfterRestart(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, 0, 2)
		s.syncDelay = 1
		leader := -1
		s.advanceUntil(func() bool {
			leader = slices.IndexFunc(s.nodes, func(n *simNode) bool { return s.clock(n) < n.publishedLeaseEnd })
			return leader >= 0
		})
		s.campaignAfterVoterRestart(s.nodes[leader], s.nodes[(leader+1)%3], s.nodes[(leader+2)%3])
		for range 3 * simElectionTimeout / simStep {
			s.advance()
		}
		s.checkRecovery()
	}
}
