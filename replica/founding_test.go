package replica_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage/storagetest"
)

// Guards against a group that is never founded, because a founding member has lost its disk before
// that and was started again without the list of founding members.
func TestGroupIsFoundedAfterLossOfDisk(t *testing.T) {
	names := []string{"a", "b", "c"}
	for _, lost := range names {
		for _, startedBefore := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, started before %t", lost, startedBefore), func(t *testing.T) {
				g := newGroup(t)
				for _, name := range names {
					g.founders = append(g.founders, replica.Member{Name: name, Address: name, Voter: true})
				}
				first := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == lost })
				if startedBefore {
					g.start(lost)
					g.start(first[0])
					g.stop(lost)
					g.start(first[1])
				} else {
					g.start(first[0])
					g.start(first[1])
				}
				founders := g.founders
				g.founders, g.disks[lost] = nil, storagetest.New(7)
				g.start(lost)
				g.founders = founders
				g.commit("after the founding")
				waitUntil(func() bool { return slices.Contains(g.machines[lost].allCommands(), "after the founding") })
			})
		}
	}
}
