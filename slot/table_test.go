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
// free slot.
func TestOwnerServesItselfWithoutMessages(t *testing.T) {
	w := newWorld(t, 3, 2, 2, 2, 2, 2, 2)
	owner := w.node(slot.Owner([]string{"entry-0", "entry-1", "entry-2"}, "engine-0"))
	w.arrive(owner, 4)
	if got := len(owner.running); got != 1 {
		t.Errorf("running: got %d, want 1", got)
	}
}

// Guards against requests that wait for an owner which does not answer, and
// against shared use of a server whose owner answers.
func TestSilentOwnerIsReplacedBySharedCounts(t *testing.T) {
	w := newWorld(t, 2, 2, 2, 2, 2)
	n, server := w.nodes[0], w.foreign("entry-0")
	if got := n.table.Mode(w.at(n), server); got != slot.ModeGranted {
		t.Errorf("owner that answers: got %s, want %s", got, slot.ModeGranted)
	}
	w.nodes[1].dead = true
	for range 12 {
		w.arrive(n, 1)
		w.send(n)
	}
	w.now += slot.AnswerTimeout + 1
	if got := n.table.Mode(w.at(n), server); got != slot.ModeShared {
		t.Errorf("silent owner: got %s, want %s", got, slot.ModeShared)
	}
	w.shared = true
	w.dispatch(n)
	if got := len(n.running); got != 8 {
		t.Errorf("running: got %d, want 8", got)
	}
}

// Guards against an offer that a frozen entry uses after its owner may have taken
// it back.
func TestOldOffersAreNotUsed(t *testing.T) {
	for _, c := range []struct {
		name            string
		transit, frozen clock.Millis
		want            bool
	}{
		{"at once", 1, 0, true},
		{"slow answer", slot.MaxAckAge, 0, false},
		{"frozen holder", 1, slot.OfferTimeout, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 2, 1, 1, 1, 1)
			n, server := w.nodes[0], w.foreign("entry-0")
			n.table.SetDemand(w.at(n), []slot.Demand{{Pool: pool, Tier: 1, Waiting: 9}})
			for _, m := range n.table.DueMessages(w.at(n)) {
				w.nodes[1].table.Receive(w.at(w.nodes[1]), m)
			}
			answer := w.nodes[1].table.Reply(w.at(w.nodes[1]), n.name)
			if len(answer.Offers) == 0 {
				t.Fatal("no offer was made")
			}
			w.now += c.transit
			n.table.Receive(w.at(n), answer)
			w.now += c.frozen
			if got := n.table.Start(w.at(n), pool, slot.Run{ID: "a", Server: server}); got != c.want {
				t.Errorf("start: got %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against urgent work of a higher tier that waits while work which can
// resume holds the slots, and against a stop of work that cannot.
func TestRecall(t *testing.T) {
	for _, once := range []bool{false, true} {
		t.Run(fmt.Sprintf("once=%t", once), func(t *testing.T) {
			w := newWorld(t, 3, 2, 2, 2)
			for range 6 {
				w.arrive(w.nodes[0], 4, func(r *request) { r.once = once })
				w.settle()
			}
			urgent := func(r *request) { r.urgentAt = w.now }
			w.arrive(w.nodes[1], 4, urgent)
			w.pass(1 * clock.Second)
			if got := len(w.nodes[1].running); got != 0 {
				t.Fatalf("same tier: got %d running, want 0", got)
			}
			w.arrive(w.nodes[1], 1, urgent)
			w.pass(1 * clock.Second)
			want := lo.Ternary(once, 0, 1)
			if got := len(w.nodes[1].running); got != want {
				t.Errorf("higher tier: got %d running, want %d", got, want)
			}
			if got := 6 - len(w.nodes[0].running); got != want {
				t.Errorf("stopped: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against urgent work that waits for a turn of entries which own no server
// of its pool and so have no work to stop.
func TestRecallByOwnersOfThePool(t *testing.T) {
	for turn := range 4 {
		t.Run(fmt.Sprintf("turn %d", turn), func(t *testing.T) {
			w := newWorld(t, 4, 4)
			for range 4 {
				w.arrive(w.nodes[0], 4)
				w.settle()
			}
			w.arrive(w.nodes[1], 1, func(r *request) {
				r.urgentAt = w.now
				r.deadline = w.now + clock.Millis(turn)*slot.AnswerTimeout
			})
			w.settle()
			if got, want := len(w.nodes[1].running), 1; got != want {
				t.Errorf("running at once: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against lower tiers that wait for ever while a higher tier fills all
// slots, and against more than the share for them.
func TestStarvingShare(t *testing.T) {
	w := newWorld(t, 3, 2, 2, 2)
	for range 6 {
		w.arrive(w.nodes[0], 1)
	}
	w.settle()
	starts := map[class.Tier]int{}
	for range 100 {
		w.arrive(w.nodes[0], 1)
		w.arrive(w.nodes[1], 4, func(r *request) { r.starveAt = w.now })
		w.settle()
		n := lo.Ternary(len(w.nodes[1].running) > 0, w.nodes[1], w.nodes[0])
		id := sorted(lo.Keys(n.running))[0]
		starts[w.tiers[id]]++
		w.end(n, id)
		w.settle()
	}
	if got := starts[4]; got < 3 || got > 20 {
		t.Errorf("of %v ended requests by tier: got %d of tier 4, want 3 to 20", starts, got)
	}
}

// Guards against a recall that stops an at-most-once call, or work that is not
// below the waiting tier, instead of work that can resume.
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
	table.Advance(clock.Second)
	table.Advance(clock.Second)
	if got := table.TakeVictims(); len(got) != 1 || got[0] != "low" {
		t.Errorf("stopped: got %v, want [low]", got)
	}
}

// Guards against an old message that arrives late and hides what its sender uses.
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
			t.Errorf("incarnation %d, sequence %d: got used, want dropped", old[0], old[1])
		}
	}
	table.SetDemand(0, []slot.Demand{{Pool: pool, Tier: 1, Waiting: 1}})
	if got := table.Offers(0, pool); len(got) != 0 {
		t.Errorf("offers: got %v, want none", got)
	}
}
