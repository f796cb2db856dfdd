package replica_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
)

// Guards against a group that elects no leader for good because each write takes nearly an election
// timeout: candidates gave their elections up before the votes that they had asked for could be
// stored. Writes that take longer count as failing.
func TestLeaderWithSlowDisks(t *testing.T) {
	for _, voters := range []int{3, 9} {
		for _, writeTime := range []clock.Millis{simElectionTimeout / 2, simElectionTimeout * 4 / 5, simElectionTimeout} {
			t.Run(fmt.Sprintf("%d voters, %d ms a write", voters, writeTime), func(t *testing.T) {
				for seed := range uint64(10) {
					s := newStoppedSimOf(t, seed, 0, 2, voters, voters)
					s.crashAtDiskError, s.appendBytes, s.syncDelay = 0, 1<<20, 4
					s.startAll()
					s.advanceUntil(func() bool { return s.newestCommitted > 10 })
					s.writeTime = writeTime
					s.withLeader(func(l *simNode) { s.crashLater(l) })
					s.advance()
					s.advance()
					start, newest := s.now, s.newestCommitted
					for s.now < start+simLeaderTimeout && s.newestCommitted <= newest {
						s.advance()
					}
					if s.newestCommitted <= newest {
						t.Errorf("seed %d: no leader has committed an entry within %d ms", seed, simLeaderTimeout)
					}
				}
			})
		}
	}
}

// crashLater ends a process in the next step, because withLeader still uses it.
func (s *sim) crashLater(n *simNode) {
	s.scheduledActions = append(s.scheduledActions, scheduledAction{at: s.now, run: func() {
		if n.core != nil {
			s.crash(n, true)
		}
	}})
}

// simLeaderTimeout is how long a group may take to elect a leader that commits entries once a majority of
// the voters run, reach each other and have disks that take writes.
const simLeaderTimeout = 30 * simElectionTimeout
