package admission_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

const pool = "model:m-small"

func newClass(tb rapid.TB, name string, tier class.Tier, target clock.Millis) class.Class {
	tb.Helper()
	c, err := class.New(name, tier, target, class.FirstToken)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// Guards against a queue that serves requests of a lower tier before a later request of
// a higher tier. NaiveQueue does so.
func TestTierOrder(t *testing.T) {
	query := newClass(t, "clause-query", 1, 580)
	tagging := newClass(t, "row-tagging", 3, 5*clock.Second)
	type queue interface {
		Offer(now clock.Millis, item admission.Item) admission.Offer
		Next(now clock.Millis, pool string, peers []admission.Demand) (admission.Item, bool)
	}
	tests := []struct {
		name  string
		queue queue
		want  string
	}{
		{name: "by tier", queue: admission.New(admission.Options{Limit: 10}), want: "query"},
		{name: "naive", queue: admission.NewNaive(admission.Options{Limit: 10}), want: "tag"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.queue.Offer(0, admission.Item{ID: "tag", Pool: pool, Class: tagging, Deadline: 100})
			tt.queue.Offer(1, admission.Item{ID: "query", Pool: pool, Class: query, Arrived: 1, Deadline: 581})
			if got, _ := tt.queue.Next(2, pool, nil); got.ID != tt.want {
				t.Errorf("first: got %q, want %q", got.ID, tt.want)
			}
		})
	}
}

func newItem(id string, c class.Class, arrived clock.Millis) admission.Item {
	return admission.Item{ID: id, Pool: pool, Class: c, Arrived: arrived, Deadline: arrived + c.Target()}
}

// newSteadyQueue returns a queue whose pool granted one slot per interval while items
// waited.
func newSteadyQueue(tb rapid.TB, interval clock.Millis, service clock.Millis) *admission.Queue {
	tb.Helper()
	q := admission.New(admission.Options{Limit: 100, ServiceTime: func(admission.Item) clock.Millis { return service }})
	filler := newClass(tb, "filler", 4, clock.Hour)
	for i, id := range []string{"f1", "f2", "f3"} {
		q.Offer(0, newItem(id, filler, 0))
		if i > 0 {
			q.Next(clock.Millis(i)*interval, pool, nil)
		}
	}
	return q
}

// Guards against predictions that ignore the service time after the slot is granted, or
// that ignore that the pool has granted no slot since its rate was measured.
func TestLatePrediction(t *testing.T) {
	query := newClass(t, "clause-query", 1, 580)
	tests := []struct {
		name              string
		interval, service clock.Millis
		now               clock.Millis
		accepted          bool
	}{
		{name: "in time", interval: 100, service: 400, now: 200, accepted: true},
		{name: "long service", interval: 100, service: 600, now: 200},
		{name: "slow pool", interval: 700, service: 0, now: 1400},
		{name: "stalled pool", interval: 100, service: 0, now: 900},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newSteadyQueue(t, tt.interval, tt.service)
			q.Offer(tt.now, newItem("first", newClass(t, "read", 1, 300), tt.now))
			item := newItem("second", query, tt.now)
			item.RefuseIfLate = true
			if got := q.Offer(tt.now, item).Accepted; got != tt.accepted {
				t.Errorf("accepted: got %v, want %v", got, tt.accepted)
			}
		})
	}
}

// Guards against preemption for an item that gets a slot in time without it.
func TestPreemptUrgent(t *testing.T) {
	review := newClass(t, "review", 2, 10*clock.Second)
	running := []admission.RunningRequest{{ID: "r", Class: newClass(t, "tagging", 3, 1000), Resumable: true}}
	for interval, want := range map[clock.Millis]bool{100: false, 6000: true} {
		q := newSteadyQueue(t, interval, 0)
		q.Offer(2*interval, newItem("review", review, 2*interval))
		if _, got := q.Preempt(2*interval, pool, running); got != want {
			t.Errorf("interval %d: got %v, want %v", interval, got, want)
		}
	}
}

// Guards against giving a slot that preemption freed for a higher tier to a starving
// class, here even one of a lower tier than the preempted request.
func TestPreemptedSlotIsNotForStarving(t *testing.T) {
	q := admission.New(admission.Options{Limit: 10})
	q.Offer(0, newItem("starving", newClass(t, "digest", 4, 100), 0))
	tagging := newClass(t, "tagging", 3, 1000)
	running := []admission.RunningRequest{{ID: "r1", Class: tagging, Resumable: true}, {ID: "r2", Class: tagging}}
	for _, id := range []string{"query 1", "query 2"} {
		q.Offer(60000, newItem(id, newClass(t, "clause-query", 1, 580), 60000))
	}
	q.Preempt(60000, pool, running)
	q.Preempt(60000, pool, running)
	for _, want := range []string{"query 1", "query 2", "starving"} {
		if got, _ := q.Next(60000, pool, nil); got.ID != want {
			t.Errorf("next: got %q, want %q", got.ID, want)
		}
	}
}

// Guards against a class that starves forever because every slot is yielded to peers,
// with and without a preemption before, and against one that gets more than one slot in
// ten.
func TestStarvingBesidePeers(t *testing.T) {
	digest, tagging := newClass(t, "digest", 3, 100), newClass(t, "tagging", 4, 1000)
	for _, running := range [][]admission.RunningRequest{nil, {{ID: "r", Class: tagging, Resumable: true}}} {
		q := admission.New(admission.Options{Limit: 10})
		for _, id := range []string{"1", "2", "3"} {
			q.Offer(0, newItem(id, digest, 0))
		}
		if _, got := q.Preempt(0, pool, running); got != (len(running) > 0) {
			t.Errorf("preempted: got %v, want %v", got, len(running) > 0)
		}
		peers := []admission.Demand{{Pool: pool, Tier: 1, Waiting: 5}}
		granted := []clock.Millis{}
		for now := clock.Millis(0); now < 20*clock.Second; now += 10 {
			if _, ok := q.Next(now, pool, peers); ok {
				granted = append(granted, now)
			}
		}
		// The starvation bound is 5 s. A slot yielded to peers counts once per 500 ms, and
		// the first call after nine of them gets the tenth slot.
		if want := []clock.Millis{5010, 9510, 14010}; !slices.Equal(granted, want) {
			t.Errorf("granted: got %v, want %v", granted, want)
		}
	}
}

// Guards against accepted items that are refused, lost or duplicated when they are
// queued again, and against a demand that misses a pool or tier.
func TestRequeueAndWaiting(t *testing.T) {
	q := admission.New(admission.Options{Limit: 0})
	c, d := newClass(t, "c", 2, 100), newClass(t, "d", 3, 100)
	q.Offer(5, newItem("first", c, 5))
	if got, want := q.Offer(5, newItem("first", c, 5)).Reason, outcome.ReasonInvalidRequest; got != want {
		t.Errorf("the same ID again: got %q, want %q", got, want)
	}
	for _, id := range []string{"a", "b", "b"} {
		q.Requeue(6, newItem(id, c, 3))
	}
	q.Requeue(6, newItem("d", d, 4))
	want := []admission.Demand{
		{Pool: pool, Tier: 2, Waiting: 3, Oldest: 3, Deadline: 103, UrgentAt: 53, StarvesAt: 5003},
		{Pool: pool, Tier: 3, Waiting: 1, Oldest: 4, Deadline: 104, UrgentAt: 54, StarvesAt: 5004},
	}
	if got := q.Waiting(); !slices.Equal(got, want) {
		t.Errorf("waiting: got %v, want %v", got, want)
	}
}
