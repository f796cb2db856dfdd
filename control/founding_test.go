package control_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
)

// Guards against a group that is never founded, because a seed has lost its disk before that and
// was started again as a process that joins the group.
func TestGroupIsFoundedAfterLossOfDisk(t *testing.T) {
	const seeds = 3
	g := &group{
		t: t, clock: clock.New(), memberOptions: map[string]control.Options{},
		running: map[string]*control.Control{}, release: map[string]func(){},
	}
	addresses := freeAddresses(seeds)
	founders := make([]control.Member, seeds)
	for i := range founders {
		founders[i] = control.Member{Name: fmt.Sprintf("c%d", i+1), Address: addresses[i]}
	}
	for i, f := range founders {
		o := control.Options{
			Name: f.Name, AvailabilityZone: fmt.Sprintf("az-%d", i), Listen: f.Address, Folder: t.TempDir(), Members: founders,
			Voters: 9, VoterTimeout: 4 * clock.Second, PrivateNetwork: true, Clock: g.clock, Logger: event.Discard(),
			Seeds: func() []string { return addresses },
		}
		if i == 1 {
			o.Members, o.Join = nil, true
		}
		g.memberOptions[o.Name] = o
		g.start(o.Name)
	}
	g.client = g.newClient(addresses)
	g.eventually("a leader", func() bool { return g.leader() != "" })
	g.eventually("every member to vote", func() bool { return g.voterCount() == seeds })
}
