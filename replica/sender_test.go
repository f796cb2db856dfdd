package replica_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
)

// Guards against a member that was up for long and sends nothing to new members any more, because it
// has answered many others that have been replaced since.
func TestNewMemberIsReachedAfterManyOthers(t *testing.T) {
	g := newGroup(t, "a")
	g.commit("start")
	_, r := g.leader()
	const others = 1000
	for i := range others {
		name := fmt.Sprintf("former-%d", i)
		r.Receive(replica.Message{Kind: replica.MessageHello, From: name, Name: name, Address: name, To: "a", Epoch: 1})
	}
	g.commit("after the others")
	g.start("b")
	g.change(replica.MemberChange{Kind: replica.AddLearner, Member: replica.Member{
		Identity: g.memoryTransport.members["b"].Status().Identity, Name: "b", Address: "b",
	}})
	deadline := g.clock.Now() + 60*clock.Second
	reached := func() bool { return slices.Contains(g.machines["b"].allCommands(), "after the others") }
	waitUntil(func() bool { return reached() || g.clock.Now() > deadline })
	if !reached() {
		t.Errorf("the new member has received %v, want the commands of the group", g.machines["b"].allCommands())
	}
}
