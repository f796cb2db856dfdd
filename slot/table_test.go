package slot_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/slot"
)

// Guards against a request that waits for messages although its own entry owns a
// server with a free slot.
func TestOwnerServesItselfWithoutMessages(t *testing.T) {
	cl := newCluster(t, 3, 2, 2, 2, 2, 2, 2)
	owner := cl.node(slot.Owner([]string{"entry-0", "entry-1", "entry-2"}, "engine-0"))
	cl.addRequest(owner, 4)
	if got := len(owner.running); got != 1 {
		t.Errorf("running: got %d, want 1", got)
	}
}

// Guards against requests that wait forever for an owner that does not answer, and
// against mode slot.ModeShared for a server whose owner answers.
func TestSilentOwnerIsReplacedBySharedCounts(t *testing.T) {
	cl := newCluster(t, 2, 2, 2, 2, 2)
	n, server := cl.nodes[0], cl.serverNotOwnedBy("entry-0")
	if got := n.table.Mode(cl.localTime(n), server); got != slot.ModeGranted {
		t.Errorf("owner that answers: got %s, want %s", got, slot.ModeGranted)
	}
	cl.nodes[1].crashed = true
	for range 12 {
		cl.addRequest(n, 1)
		cl.sendDue(n)
	}
	cl.now += slot.AnswerTimeout + 1
	if got := n.table.Mode(cl.localTime(n), server); got != slot.ModeShared {
		t.Errorf("silent owner: got %s, want %s", got, slot.ModeShared)
	}
	cl.useShared = true
	cl.dispatch(n)
	if got := len(n.running); got != 8 {
		t.Errorf("running: got %d, want 8", got)
	}
}

// Guards against an entry that uses an offer after a pause of its process or a slow
// answer, when the owner may already have offered the slot to another entry.
func TestOldOffersAreNotUsed(t *testing.T) {
	for _, c := range []struct {
		name           string
		transit, pause clock.Millis
		wantStart      bool
	}{
		{"at once", 1, 0, true},
		{"slow answer", slot.MaxAckAge, 0, false},
		{"frozen holder", 1, slot.OfferTimeout, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := newCluster(t, 2, 1, 1, 1, 1)
			n, server := cl.nodes[0], cl.serverNotOwnedBy("entry-0")
			n.table.SetDemand(cl.localTime(n), []slot.Demand{{Pool: pool, Tier: 1, Waiting: 9}})
			for _, m := range n.table.DueMessages(cl.localTime(n)) {
				cl.nodes[1].table.Receive(cl.localTime(cl.nodes[1]), m)
			}
			answer := cl.nodes[1].table.Reply(cl.localTime(cl.nodes[1]), n.name)
			if len(answer.Offers) == 0 {
				t.Fatal("no offer was made")
			}
			cl.now += c.transit
			n.table.Receive(cl.localTime(n), answer)
			cl.now += c.pause
			if got := n.table.Start(cl.localTime(n), pool, slot.Run{ID: "a", Server: server}); got != c.wantStart {
				t.Errorf("start: got %t, want %t", got, c.wantStart)
			}
		})
	}
}

// Guards against urgent requests of a higher tier that wait while resumable requests
// use the slots, and against stopping requests that cannot be resumed.
func TestRecall(t *testing.T) {
	for _, onceOnly := range []bool{false, true} {
		t.Run(fmt.Sprintf("once=%t", onceOnly), func(t *testing.T) {
			cl := newCluster(t, 3, 2, 2, 2)
			for range 6 {
				cl.addRequest(cl.nodes[0], 4, func(r *request) { r.onceOnly = onceOnly })
				cl.deliverAll()
			}
			urgent := func(r *request) { r.urgentAt = cl.now }
			cl.addRequest(cl.nodes[1], 4, urgent)
			cl.advance(1 * clock.Second)
			if got := len(cl.nodes[1].running); got != 0 {
				t.Fatalf("same tier: got %d running, want 0", got)
			}
			cl.addRequest(cl.nodes[1], 1, urgent)
			cl.advance(1 * clock.Second)
			want := lo.Ternary(onceOnly, 0, 1)
			if got := len(cl.nodes[1].running); got != want {
				t.Errorf("higher tier: got %d running, want %d", got, want)
			}
			if got := 6 - len(cl.nodes[0].running); got != want {
				t.Errorf("stopped: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against requests that wait too long because no running request of a lower tier
// is stopped for them. Only the owners of the pool's servers can ask for such a stop (a
// recall), so the waiting requests must be divided among these owners, not among all
// entries.
func TestRecallByOwnersOfThePool(t *testing.T) {
	for turn := range 4 {
		t.Run(fmt.Sprintf("turn %d", turn), func(t *testing.T) {
			cl := newCluster(t, 4, 4)
			for range 4 {
				cl.addRequest(cl.nodes[0], 4)
				cl.deliverAll()
			}
			cl.addRequest(cl.nodes[1], 1, func(r *request) {
				r.urgentAt = cl.now
				r.deadline = cl.now + clock.Millis(turn)*slot.AnswerTimeout
			})
			cl.deliverAll()
			if got, want := len(cl.nodes[1].running), 1; got != want {
				t.Errorf("running at once: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against lower tiers that wait forever while a higher tier fills all slots,
// and against more slots for them than StarvationInterval allows.
func TestStarvingShare(t *testing.T) {
	cl := newCluster(t, 3, 2, 2, 2)
	for range 6 {
		cl.addRequest(cl.nodes[0], 1)
	}
	cl.deliverAll()
	starts := map[class.Tier]int{}
	for range 100 {
		cl.addRequest(cl.nodes[0], 1)
		cl.addRequest(cl.nodes[1], 4, func(r *request) { r.starvesAt = cl.now })
		cl.deliverAll()
		n := lo.Ternary(len(cl.nodes[1].running) > 0, cl.nodes[1], cl.nodes[0])
		id := sorted(lo.Keys(n.running))[0]
		starts[cl.tiers[id]]++
		cl.end(n, id)
		cl.deliverAll()
	}
	if got := starts[4]; got < 3 || got > 20 {
		t.Errorf("ended requests by tier %v: got %d of tier 4, want 3 to 20", starts, got)
	}
}

// Guards against a recall that stops a once-only call, or a request that is not of a
// lower tier than the waiting one, instead of a resumable request of a lower tier.
func TestRecallChoosesResumableWorkOfLowerTier(t *testing.T) {
	table := slot.New(slot.Options{Entry: "entry-0", Incarnation: 1})
	table.SetEntries(0, []string{"entry-0"})
	table.SetServers(0, []slot.Server{{Name: "engine-0", Slots: 3, Pools: []string{pool}}})
	table.SetDemand(0, []slot.Demand{{Pool: pool, Tier: 2, Waiting: 9, Deadline: clock.Second, UrgentAt: clock.Second}})
	for _, r := range []slot.Run{{ID: "call", Tier: 4}, {ID: "low", Tier: 3, Resumable: true}, {ID: "same", Tier: 2, Resumable: true}} {
		r.Server = "engine-0"
		if !table.Start(0, pool, r) {
			t.Fatalf("%s did not start", r.ID)
		}
	}
	table.ApplyTimeouts(clock.Second)
	table.ApplyTimeouts(clock.Second)
	if got := table.TakeRequestsToStop(); len(got) != 1 || got[0] != "low" {
		t.Errorf("stopped: got %v, want [low]", got)
	}
}

// Guards against an old message that arrives late and replaces the newer usage report
// of its sender, so that used slots look free.
func TestOldMessagesAreDropped(t *testing.T) {
	table := slot.New(slot.Options{Entry: "entry-0", Incarnation: 1})
	table.SetEntries(0, []string{"entry-0"})
	table.SetServers(0, []slot.Server{{Name: "engine-0", Slots: 2, Pools: []string{pool}}})
	message := slot.Message{From: "entry-1", To: "entry-0", Incarnation: 2, Sequence: 5, Usage: map[string]slot.ServerUsage{"engine-0": {Slots: 2}}}
	if !table.Receive(0, message) {
		t.Fatal("the first message was dropped")
	}
	message.Usage = nil
	for _, old := range [][2]uint64{{2, 5}, {2, 4}, {1, 6}} {
		message.Incarnation, message.Sequence = old[0], old[1]
		if table.Receive(0, message) {
			t.Errorf("incarnation %d, sequence %d: got accepted, want dropped", old[0], old[1])
		}
	}
	table.SetDemand(0, []slot.Demand{{Pool: pool, Tier: 1, Waiting: 1}})
	if got := table.Offers(0, pool); len(got) != 0 {
		t.Errorf("offers: got %v, want none", got)
	}
}
