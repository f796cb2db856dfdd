package replica_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/journal/journaltest"
)

// Guards against two leaders in a term or under a lease, logs that differ, lost
// commits and state that differs from a single copy, while members crash, lose
// power or their disk, freeze, are cut off one way and are replaced.
func TestGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		delay := rapid.SampledFrom([]int{2, 10, 80}).Draw(t, "delay")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), loss, delay)
		for range rapid.IntRange(1, 25).Draw(t, "count") {
			kind := rapid.IntRange(0, faults-1).Draw(t, "fault")
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
			s.nodes[name].disk.Arm(step, journaltest.ErrCrashed)
			for range 150 {
				s.advance()
			}
			s.heal()
		}
	}
}
