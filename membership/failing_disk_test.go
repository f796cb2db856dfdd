package membership_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/membership"
)

// Guards against voters whose disks take no writes and that stay voters beside their successors, one
// for each machine that is added: such a voter answers, but does not count for a majority.
func TestLearnerTakesPlaceOfVoterWithFailingDisk(t *testing.T) {
	tests := []struct {
		name    string
		failing clock.Millis
		want    membership.Action
	}{
		{"works", 0, membership.Action{Promote: "d"}},
		{"fails perhaps", 300, membership.Action{}},
		{"fails", clock.Second, membership.Action{Remove: "c", Promote: "d"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			leader := membership.Member{Identity: "a", Name: "a", AvailabilityZone: "z1", Voter: true, Leader: true}
			p := membership.New(0, membership.Options{Voters: 5})
			p.Decide(clock.Second, nil)
			got, ok := p.Decide(2*clock.Second, []membership.Member{
				leader, voter("b", "z2", 0), withDiskFailingFor(voter("c", "z3", 0), tt.failing), learner("d", "d", "z1", 0, 0),
			})
			if got != tt.want || ok != (tt.want != membership.Action{}) {
				t.Errorf("got %+v (%v), want %+v", got, ok, tt.want)
			}
		})
	}
}
