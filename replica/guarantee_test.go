package replica_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage"
	"github.com/galenaslip/galenaslip/storage/storagetest"
)

// Guards against two leaders in a term or under a lease, logs that differ, lost
// commits and state that differs from a single copy, while members crash, lose
// power or their disk, freeze, are cut off one way and are replaced.
func TestGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		delay := rapid.SampledFrom([]int{2, 10, 80}).Draw(t, "delay")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), loss, delay)
		for range rapid.IntRange(1, 40).Draw(t, "count") {
			kind := rapid.SampledFrom(faultWeights).Draw(t, "fault")
			node := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
			s.inject(kind, node, rapid.IntRange(0, 4*simElection).Draw(t, "amount"))
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				s.advance()
				if s.now%40 == 0 {
					s.operate()
				}
			}
			s.checkLogs()
		}
		s.heal()
		s.checkLogs()
	})
}

// Guards against state on the disk that a crash at one particular write, sync or
// rename makes unusable or forgets.
func TestCrashAtEveryStep(t *testing.T) {
	for step := 1; step < 120; step++ {
		for _, name := range []int{0, 1} {
			s := newSim(t, 5, 0, 3)
			s.nodes[name].disk.ScheduleFailure(step, storagetest.ErrCrashed)
			for range 150 {
				s.advance()
			}
			s.heal()
		}
	}
}

// Guards against counting copies of an entry of an earlier term: a majority that
// holds only that entry can be overruled by a member with a later one.
func TestCommitRule(t *testing.T) {
	s := emptySim(t, 1, 0, 2)
	s.appendBytes = 1
	// a and c each led once and appended an entry that reached no one.
	s.store("a", 4, storage.Entry{Index: 1, Term: 1}, storage.Entry{Index: 2, Term: 2, Data: []byte("x")})
	s.store("b", 1, storage.Entry{Index: 1, Term: 1})
	s.store("c", 3, storage.Entry{Index: 1, Term: 1}, storage.Entry{Index: 2, Term: 3, Data: []byte("y")})
	a, b, c := s.nodes[0], s.nodes[1], s.nodes[2]
	s.until(func() bool { return s.clock(b) > b.offset+simElection })
	s.cuts["a>c"] = s.now + 100*simElection
	s.campaign(a)
	s.until(func() bool { _, entries := b.core.Log(); return len(entries) >= 2 })
	// The next entry on its way to b shows that a knows of b's copy.
	s.until(func() bool {
		return slices.ContainsFunc(s.flights, func(f flight) bool {
			return f.to == "b" && f.message.Kind == replica.MessageAppend && f.message.Index == 2
		})
	})
	s.flights = nil
	s.crash(a, true)
	a.upAt = s.now + 10_000*simElection
	s.until(func() bool {
		if s.now%200 == 0 {
			s.campaign(c)
		}
		return c.core.Role() == replica.Leader
	})
	a.upAt = s.now
	s.heal()
}

// Guards against a vote that is answered before it is durable: the member would
// vote twice in a term after a crash.
func TestVoteIsDurable(t *testing.T) {
	s := emptySim(t, 1, 0, 2)
	for _, name := range []string{"a", "b", "c"} {
		s.store(name, 1, storage.Entry{Index: 1, Term: 1})
	}
	a, b, c := s.nodes[0], s.nodes[1], s.nodes[2]
	s.until(func() bool { return s.clock(b) > b.offset+simElection })
	s.isolate(c, true, s.now+simElection)
	s.campaign(a)
	s.until(func() bool {
		return slices.ContainsFunc(s.flights, func(f flight) bool { return f.message.Kind == replica.MessageVoteReply })
	})
	s.cuts["a>b"] = s.now + 2*simElection
	s.crash(b, true)
	b.upAt = s.now
	start := s.now
	s.until(func() bool { return s.now >= start+simElection+2*simStep })
	s.campaign(c)
	s.heal()
}

// Guards against a member that forgets over a restart that it has promised the
// leader not to vote for another.
func TestPromiseAfterRestart(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed, 0, 2)
		s.syncDelay = 1
		leader := -1
		s.until(func() bool {
			leader = slices.IndexFunc(s.nodes, func(n *simNode) bool { return s.clock(n) < n.lease })
			return leader >= 0
		})
		s.forget(s.nodes[leader], s.nodes[(leader+1)%3], s.nodes[(leader+2)%3])
		for range 3 * simElection / simStep {
			s.advance()
		}
		s.heal()
	}
}
