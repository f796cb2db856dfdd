package slot_test

import (
	"slices"
	"sort"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/slot"
)

// Guards against more slots in use than a server has, and against an offer that
// passes over known demand of a higher tier, while messages are lost, delayed,
// doubled and reordered. Guards then against work that never gets a slot.
func TestSlotsUnderMessageFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(r, 3, 1, 2, 3)
		w.checked = true
		start := w.now
		for range rapid.IntRange(20, 150).Draw(r, "steps") {
			w.step(r)
			w.checkSlots(1)
			// A longer silence would count as the loss of an entry.
			if w.now-start > slot.EntryLossTimeout-500 {
				break
			}
		}
		w.checked = false
		w.finishAll()
	})
}

// finishAll ends every request in turn and expects all to have run.
func (w *world) finishAll() {
	for range 400 {
		w.pass(20)
		w.checkSlots(1)
		left := 0
		for _, n := range w.nodes {
			left += len(n.waiting) + len(n.running)
			for _, id := range sorted(lo.Keys(n.running)) {
				w.end(n, id)
			}
		}
		if left == 0 {
			return
		}
	}
	w.tb.Fatalf("%d requests have not run", lo.SumBy(w.nodes, func(n *node) int { return len(n.waiting) }))
}

func sorted(names []string) []string {
	slices.Sort(names)
	return names
}

// naive is a single allocator that sees everything at once.
type naive struct {
	slots   int
	waiting []request
	running map[string]bool
}

func (v *naive) fill() {
	sort.SliceStable(v.waiting, func(i, j int) bool { return before(v.waiting[i], v.waiting[j]) })
	for len(v.waiting) > 0 && len(v.running) < v.slots {
		v.running[v.waiting[0].id] = true
		v.waiting = v.waiting[1:]
	}
}

// Guards against another choice than that of a single allocator when each message
// arrives, whatever entry a request waits at.
func TestSlotsMatchSingleAllocator(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(r, 4, 1, 1, 2, 2)
		v := &naive{slots: 6, running: map[string]bool{}}
		for range rapid.IntRange(10, 60).Draw(r, "steps") {
			n := rapid.SampledFrom(w.nodes).Draw(r, "entry")
			if ids := lo.Keys(n.running); len(ids) > 0 && rapid.Bool().Draw(r, "end") {
				id := rapid.SampledFrom(sorted(ids)).Draw(r, "request")
				delete(v.running, id)
				w.end(n, id)
			} else {
				tier := class.Tier(rapid.IntRange(1, 4).Draw(r, "tier"))
				w.arrive(n, tier, func(q *request) { v.waiting = append(v.waiting, *q) })
			}
			v.fill()
			w.settle()
			got := sorted(lo.FlatMap(w.nodes, func(n *node, _ int) []string { return lo.Keys(n.running) }))
			if want := sorted(lo.Keys(v.running)); !slices.Equal(got, want) {
				r.Fatalf("running: got %v, want %v", got, want)
			}
		}
	})
}

// Guards against slots of a crashed entry that stay taken, or that are free before
// the entry counts as lost.
func TestSlotsOfLostEntryReturn(t *testing.T) {
	w := newWorld(t, 3, 2, 2, 2)
	for range 6 {
		w.arrive(w.nodes[0], 3)
		w.settle()
	}
	w.nodes[0].dead = true
	w.arrive(w.nodes[1], 1)
	w.pass(slot.EntryLossTimeout - 600)
	if got := len(w.nodes[1].running); got != 0 {
		t.Errorf("before the loss: got %d running, want 0", got)
	}
	w.pass(1200)
	if got := len(w.nodes[1].running); got != 1 {
		t.Errorf("after the loss: got %d running, want 1", got)
	}
}

// foreign returns a server that the entry does not own.
func (w *world) foreign(entry string) string {
	names := lo.Map(w.nodes, func(n *node, _ int) string { return n.name })
	s, _ := lo.Find(w.servers, func(s slot.Server) bool { return slot.Owner(names, s.Name) != entry })
	return s.Name
}

// Guards against a new owner that offers slots which are in use, when all entries
// live and their messages arrive.
func TestNewOwnerLearnsUse(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(r, 3, 2, 2, 2, 2, 2, 2)
		names := []string{"entry-0", "entry-1", "entry-2"}
		for i := range 12 {
			w.arrive(w.nodes[i%3], 3)
			w.settle()
		}
		for i := range 12 {
			w.arrive(w.nodes[i%3], 2)
		}
		lost := rapid.IntRange(0, 2).Draw(r, "without lease")
		for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(r, "order") {
			n := w.nodes[i]
			n.table.SetEntries(w.at(n), slices.Delete(slices.Clone(names), lost, lost+1))
			for range rapid.IntRange(0, 6).Draw(r, "steps") {
				w.send(n)
				w.transmit(r, true, true)
				w.checkSlots(1)
			}
		}
		w.settle()
		w.checkSlots(1)
		w.finishAll()
	})
}

// Guards against overcommit without a bound when owners change while messages are
// lost, and against overcommit that lasts longer than the work it began with.
func TestOvercommitAfterOwnerChangeIsBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(r, 3, 2, 2, 2)
		names := []string{"entry-0", "entry-1", "entry-2"}
		start := w.now
		changes := 0
		for range rapid.IntRange(20, 120).Draw(r, "steps") {
			if changes < 3 && rapid.IntRange(0, 19).Draw(r, "change") == 0 {
				n := w.nodes[changes]
				n.table.SetEntries(w.at(n), names[:2])
				changes++
			}
			w.step(r)
			w.checkSlots(2)
			if w.now-start > slot.EntryLossTimeout-500 {
				break
			}
		}
		for _, n := range w.nodes {
			n.table.SetEntries(w.at(n), names[:2])
		}
		w.pass(slot.LearnTimeout + slot.DemandInterval)
		for _, n := range w.nodes {
			for _, id := range sorted(lo.Keys(n.running)) {
				w.end(n, id)
			}
		}
		w.finishAll()
	})
}

// Guards against messages and their errors that a peer can cause.
func TestCodec(t *testing.T) {
	for _, body := range []string{
		``, `{}`, `{"entry":"a","to":"b","view":"x"}`, `{"entry":"A b","to":"b","view":"0"}`,
		`{"entry":"a","to":"b","view":"0","uses":{"s":{"slots":-1}}}`,
		`{"entry":"a","to":"b","view":"0","demands":[{"pool":"p","tier":9,"waiting":1}]}`,
		`{"entry":"a","to":"b","view":"0","demands":[{"pool":"p","tier":1,"waiting":-1}]}`,
		`{"entry":"a","to":"b","view":"0","offers":[{"number":1,"server":"s","tier":0}]}`,
	} {
		if _, err := slot.Decode([]byte(body)); err == nil {
			t.Errorf("%s: got no error, want one", body)
		}
	}
	m := slot.Message{From: "a", To: "b", Incarnation: 7, Sequence: 3, Reply: true, EntriesHash: 1<<63 + 1, ToIncarnation: 2, AckedMessage: 9, AckedOffer: 4, AckedRecall: 5,
		Usage:   map[string]slot.ServerUsage{"s": {Slots: 2, Resumable: map[class.Tier]int{3: 1}, Stopping: 1}},
		Demands: []slot.Demand{{Pool: pool, Tier: 2, Waiting: 3, Deadline: -5, UrgentAt: 1 * clock.Second, StarveAt: 9}},
		Offers:  []slot.Offer{{Number: 8, Server: "s", Pool: pool, Tier: 1}}, Recalls: []slot.Recall{{Number: 9, Server: "s", Tier: 1}}, ReadyServers: []string{"s"}}
	data, err := slot.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := slot.Decode(data)
	again, _ := slot.Encode(got)
	if err != nil || string(again) != string(data) {
		t.Errorf("got %s, %v, want %s", again, err, data)
	}
}
