package replica_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/replica"
)

// Guards against an election timeout that grows while no election can be held: an election has
// failed just before all members were cut off from each other, and afterwards none of them can be a
// candidate. Once the two that are left reach each other again, a leader is elected as fast as
// after any loss of a leader.
func TestElectionAfterLongCut(t *testing.T) {
	const groups, cut, want = 40, 60 * simElectionTimeout, 4 * simElectionTimeout
	late := 0
	for seed := range uint64(groups) {
		s := newStoppedSimOf(t, seed, 0, 2, 3, 3)
		s.crashAtDiskError, s.appendBytes, s.syncDelay = 0, 1<<20, 4
		s.startAll()
		s.advanceUntil(func() bool { return s.newestCommitted > 10 })
		var former *simNode
		s.withLeader(func(l *simNode) { former = l })
		s.advance()
		s.advance()
		for _, n := range s.nodes {
			s.isolate(n, true, s.now+cut)
		}
		for end := s.now + 2*simElectionTimeout; s.now < end; {
			s.advance()
		}
		for _, n := range s.nodes {
			if n == former {
				s.crash(n, true)
				n.restartAt = s.now + 1000*simElectionTimeout // it is lost for good
			} else {
				n.core.Campaign(s.clock(n))
				s.processEffects(n)
			}
		}
		for end := s.now + cut - 2*simElectionTimeout + simStep; s.now < end; {
			s.advance()
		}
		start := s.now
		leads := func() bool {
			for _, n := range s.nodes {
				if n.core != nil && n.core.Role() == replica.Leader {
					return true
				}
			}
			return false
		}
		for !leads() {
			s.advance()
		}
		if s.now-start > want {
			late++
			t.Logf("seed %d: a leader after %d ms", seed, s.now-start)
		}
	}
	if late > 0 {
		t.Errorf("%d of %d groups have no leader within %d ms after the cut", late, groups, want)
	}
}
