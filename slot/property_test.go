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

// Guards against more used slots than a server has, and against offers that skip known
// demand of a higher tier, while messages are lost, delayed, duplicated and reordered.
// The end of the test guards against requests that never get a slot.
func TestSlotsUnderMessageFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		cl := newCluster(r, 3, 1, 2, 3)
		cl.checkingOffers = true
		start := cl.now
		for range rapid.IntRange(20, 150).Draw(r, "steps") {
			cl.randomStep(r)
			cl.checkSlots(1)
			// After a longer time without messages, an entry would count as lost.
			if cl.now-start > slot.EntryLossTimeout-500 {
				break
			}
		}
		cl.checkingOffers = false
		cl.finishAllRequests()
	})
}

// finishAllRequests ends running requests until no request is left, and fails the test
// if some never start.
func (cl *cluster) finishAllRequests() {
	for range 400 {
		cl.advance(20)
		cl.checkSlots(1)
		left := 0
		for _, n := range cl.nodes {
			left += len(n.waiting) + len(n.running)
			for _, id := range sorted(lo.Keys(n.running)) {
				cl.end(n, id)
			}
		}
		if left == 0 {
			return
		}
	}
	cl.tb.Fatalf("%d requests have not run", lo.SumBy(cl.nodes, func(n *node) int { return len(n.waiting) }))
}

func sorted(names []string) []string {
	slices.Sort(names)
	return names
}

// singleAllocator is the reference: one allocator that knows all requests and slots.
type singleAllocator struct {
	slots   int
	waiting []request
	running map[string]bool
}

func (a *singleAllocator) startWaiting() {
	sort.SliceStable(a.waiting, func(i, j int) bool { return servedBefore(a.waiting[i], a.waiting[j]) })
	for len(a.waiting) > 0 && len(a.running) < a.slots {
		a.running[a.waiting[0].id] = true
		a.waiting = a.waiting[1:]
	}
}

// Guards against a choice that differs from that of a single allocator although all
// messages arrive. The entry that a request waits at must not matter.
func TestSlotsMatchSingleAllocator(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		cl := newCluster(r, 4, 1, 1, 2, 2)
		a := &singleAllocator{slots: 6, running: map[string]bool{}}
		for range rapid.IntRange(10, 60).Draw(r, "steps") {
			n := rapid.SampledFrom(cl.nodes).Draw(r, "entry")
			if ids := lo.Keys(n.running); len(ids) > 0 && rapid.Bool().Draw(r, "end") {
				id := rapid.SampledFrom(sorted(ids)).Draw(r, "request")
				delete(a.running, id)
				cl.end(n, id)
			} else {
				tier := class.Tier(rapid.IntRange(1, 4).Draw(r, "tier"))
				cl.addRequest(n, tier, func(q *request) { a.waiting = append(a.waiting, *q) })
			}
			a.startWaiting()
			cl.deliverAll()
			got := sorted(lo.FlatMap(cl.nodes, func(n *node, _ int) []string { return lo.Keys(n.running) }))
			if want := sorted(lo.Keys(a.running)); !slices.Equal(got, want) {
				r.Fatalf("running: got %v, want %v", got, want)
			}
		}
	})
}

// Guards against slots of a crashed entry that are never freed, or that are freed
// before the entry counts as lost.
func TestSlotsOfLostEntryReturn(t *testing.T) {
	cl := newCluster(t, 3, 2, 2, 2)
	for range 6 {
		cl.addRequest(cl.nodes[0], 3)
		cl.deliverAll()
	}
	cl.nodes[0].crashed = true
	cl.addRequest(cl.nodes[1], 1)
	cl.advance(slot.EntryLossTimeout - 600)
	if got := len(cl.nodes[1].running); got != 0 {
		t.Errorf("before the loss: got %d running, want 0", got)
	}
	cl.advance(1200)
	if got := len(cl.nodes[1].running); got != 1 {
		t.Errorf("after the loss: got %d running, want 1", got)
	}
}

// serverNotOwnedBy returns a server that the entry does not own.
func (cl *cluster) serverNotOwnedBy(entry string) string {
	names := lo.Map(cl.nodes, func(n *node, _ int) string { return n.name })
	s, _ := lo.Find(cl.servers, func(s slot.Server) bool { return slot.Owner(names, s.Name) != entry })
	return s.Name
}

// Guards against a new owner that offers slots in use, while all entries run and their
// messages arrive.
func TestNewOwnerKnowsUsedSlots(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		cl := newCluster(r, 3, 2, 2, 2, 2, 2, 2)
		names := []string{"entry-0", "entry-1", "entry-2"}
		for i := range 12 {
			cl.addRequest(cl.nodes[i%3], 3)
			cl.deliverAll()
		}
		for i := range 12 {
			cl.addRequest(cl.nodes[i%3], 2)
		}
		withoutLease := rapid.IntRange(0, 2).Draw(r, "without lease")
		for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(r, "order") {
			n := cl.nodes[i]
			n.table.SetEntries(cl.localTime(n), slices.Delete(slices.Clone(names), withoutLease, withoutLease+1))
			for range rapid.IntRange(0, 6).Draw(r, "steps") {
				cl.sendDue(n)
				cl.processRandomMessage(r, true, true)
				cl.checkSlots(1)
			}
		}
		cl.deliverAll()
		cl.checkSlots(1)
		cl.finishAllRequests()
	})
}

// Guards against unbounded overcommit when owners change while messages are lost, and
// against overcommit that continues after the requests that caused it have ended.
func TestOvercommitAfterOwnerChangeIsBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		cl := newCluster(r, 3, 2, 2, 2)
		names := []string{"entry-0", "entry-1", "entry-2"}
		start := cl.now
		changes := 0
		for range rapid.IntRange(20, 120).Draw(r, "steps") {
			if changes < 3 && rapid.IntRange(0, 19).Draw(r, "change") == 0 {
				n := cl.nodes[changes]
				n.table.SetEntries(cl.localTime(n), names[:2])
				changes++
			}
			cl.randomStep(r)
			cl.checkSlots(2)
			if cl.now-start > slot.EntryLossTimeout-500 {
				break
			}
		}
		for _, n := range cl.nodes {
			n.table.SetEntries(cl.localTime(n), names[:2])
		}
		cl.advance(slot.UsageReportTimeout + slot.DemandInterval)
		for _, n := range cl.nodes {
			for _, id := range sorted(lo.Keys(n.running)) {
				cl.end(n, id)
			}
		}
		cl.finishAllRequests()
	})
}

// Guards against acceptance of malformed messages from a peer, and against fields that
// are lost between Encode and Decode.
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
		Demands: []slot.Demand{{Pool: pool, Tier: 2, Waiting: 3, Deadline: -5, UrgentAt: 1 * clock.Second, StarvesAt: 9}},
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
