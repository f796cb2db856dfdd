package admission_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// queueModel is a simple model of a queue. It keeps the expected items in a flat list in
// order of insertion; the tests check each rule by a scan of that list.
type queueModel struct {
	*rapid.T
	queue    *admission.Queue
	now      clock.Millis
	limit    int
	lastID   int
	waiting  []admission.Item
	requeued map[string]bool  // IDs of the items that were queued again
	served   []admission.Item // items that got a slot and were not queued again
	classes  []class.Class
	pools    []string
	// extraSlots counts, by class and pair of workspaces, how many more slots the first
	// workspace got than the second one while both had waiting items. The key is the
	// name of the class followed by those of the workspaces.
	extraSlots map[string]int
}

func newQueueModel(t *rapid.T, pools int) *queueModel {
	qm := &queueModel{T: t, limit: rapid.IntRange(1, 8).Draw(t, "limit"), requeued: map[string]bool{}, extraSlots: map[string]int{}}
	qm.queue = admission.New(admission.Options{Limit: qm.limit})
	qm.pools = []string{pool, "service:ledger"}[:pools]
	for i, target := range []clock.Millis{580, 2000, 1000, 580, 9000, 700} {
		tier := []class.Tier{1, 1, 2, 3, 4, 4}[i]
		qm.classes = append(qm.classes, newClass(t, fmt.Sprintf("c%d", i), tier, target))
	}
	return qm
}

func (qm *queueModel) drawInt(name string, n int) int { return rapid.IntRange(0, n-1).Draw(qm.T, name) }

func (qm *queueModel) item() admission.Item {
	qm.lastID++
	c := qm.classes[qm.drawInt("class", len(qm.classes))]
	return admission.Item{
		ID: fmt.Sprint(qm.lastID), Workspace: []string{"a", "b", "c"}[qm.drawInt("workspace", 3)],
		Pool: qm.pools[qm.drawInt("pool", len(qm.pools))], Class: c, Arrived: qm.now, Deadline: qm.now + c.Target(),
	}
}

func (qm *queueModel) offer(item admission.Item) admission.Offer {
	o := qm.queue.Offer(qm.now, item)
	if o.Accepted {
		qm.waiting = append(qm.waiting, item)
	}
	qm.waiting = lo.Without(qm.waiting, o.Shed...)
	return o
}

// takeNext calls Next of the queue and moves the item from waiting to served.
func (qm *queueModel) takeNext(pool string, peers []admission.Demand) (admission.Item, bool) {
	item, ok := qm.queue.Next(qm.now, pool, peers)
	if ok {
		qm.waiting = lo.Reject(qm.waiting, func(other admission.Item, _ int) bool { return other.ID == item.ID })
		qm.served = append(qm.served, item)
	}
	return item, ok
}

// requeueOrRemove requeues or removes a random item, so that the order of insertion
// differs from the order of arrival.
func (qm *queueModel) requeueOrRemove() {
	if len(qm.served) > 0 && qm.drawInt("requeue", 2) == 0 {
		item := qm.served[qm.drawInt("index", len(qm.served))]
		item.ByStarvationRule = false
		qm.served = lo.Reject(qm.served, func(other admission.Item, _ int) bool { return other.ID == item.ID })
		qm.queue.Requeue(qm.now, item)
		qm.requeued[item.ID] = true
		qm.waiting = append(qm.waiting, item)
	} else if len(qm.waiting) > 0 {
		item := qm.waiting[qm.drawInt("index", len(qm.waiting))]
		if !qm.queue.Remove(item.ID) {
			qm.Fatalf("remove %s: got false, want true", item.ID)
		}
		qm.waiting = lo.Without(qm.waiting, item)
		qm.dropStaleExtraSlots()
	}
}

// runRandomSteps runs random steps. The functions offer and next carry out and check the
// operations under test. Each step that advances the clock does so by less than advance
// milliseconds.
func (qm *queueModel) runRandomSteps(advance int, offer func(admission.Item), next func(pool string)) {
	for range rapid.IntRange(10, 150).Draw(qm.T, "steps") {
		switch qm.drawInt("step", 8) {
		case 0, 1, 2, 3:
			offer(qm.item())
		case 4, 5:
			next(qm.pools[qm.drawInt("pool", len(qm.pools))])
		case 6:
			qm.requeueOrRemove()
		case 7:
			qm.now += clock.Millis(qm.drawInt("advance", advance))
		}
		if got, want := qm.queue.Len(), len(qm.waiting); got != want {
			qm.Fatalf("length: got %d, want %d", got, want)
		}
	}
}

func (qm *queueModel) waitingIn(pool string) []admission.Item {
	return lo.Filter(qm.waiting, func(i admission.Item, _ int) bool { return i.Pool == pool })
}

// byTier reports whether a is of a higher tier than b.
func byTier(a, b admission.Item) bool { return a.Class.Tier() < b.Class.Tier() }

// byDeadline reports whether a comes before b by tier and, within a tier, by deadline.
func byDeadline(a, b admission.Item) bool {
	return byTier(a, b) || !byTier(b, a) && a.Deadline < b.Deadline
}

func (qm *queueModel) offerUnchecked(item admission.Item) { qm.offer(item) }

// Guards against serving items in another order than by tier and, within a tier, by the
// earliest deadline of each class.
func TestOrderRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		qm := newQueueModel(t, 2)
		qm.runRandomSteps(100, qm.offerUnchecked, func(pool string) {
			items := qm.waitingIn(pool)
			got, ok := qm.takeNext(pool, nil)
			if ok != (len(items) > 0) {
				t.Fatalf("slot granted: got %v with %d items waiting", ok, len(items))
			}
			if first := lo.MinBy(items, byDeadline); ok && got.Class.Tier() != first.Class.Tier() {
				t.Fatalf("tier: got %d, want %d", got.Class.Tier(), first.Class.Tier())
			} else if earliest := lo.MinBy(lo.Filter(items, sameClass(got)), byDeadline); earliest.Deadline > first.Deadline {
				t.Fatalf("class's earliest deadline: got %d, want %d", earliest.Deadline, first.Deadline)
			}
		})
	})
}

func sameClass(item admission.Item) func(admission.Item, int) bool {
	return func(other admission.Item, _ int) bool { return other.Class == item.Class }
}

// servedBefore reports whether a is served before b, which is of the same class and
// workspace: the earlier deadline first, but items whose deadline has passed come last
// unless they were queued again.
func (qm *queueModel) servedBefore(a, b admission.Item) bool {
	overdue := func(item admission.Item) bool { return item.Deadline < qm.now && !qm.requeued[item.ID] }
	if overdue(a) != overdue(b) {
		return overdue(b)
	}
	return a.Deadline < b.Deadline
}

// Guards against serving every request after its target under overload. Items that have
// missed their target must come last, unless they were queued again.
func TestLateWorkGoesLast(t *testing.T) {
	c := newClass(t, "tagging", 4, 100)
	q := admission.New(admission.Options{Limit: 10})
	offer := func(id string, arrived clock.Millis) {
		q.Offer(arrived, admission.Item{ID: id, Pool: pool, Workspace: "w", Class: c, Arrived: arrived, Deadline: arrived + c.Target()})
	}
	offer("late", 0)
	offer("timely", 90)
	offer("timely too", 95)
	q.Requeue(96, admission.Item{ID: "requeued", Pool: pool, Workspace: "w", Class: c, Arrived: 1, Deadline: 101})
	var got []string
	for range 4 {
		item, _ := q.Next(150, pool, nil)
		got = append(got, item.ID)
	}
	if want := []string{"requeued", "timely", "timely too", "late"}; !slices.Equal(got, want) {
		t.Errorf("order: got %q, want %q", got, want)
	}
}

// Guards against a workspace that gets more slots than another one of its class while
// both wait, against service out of deadline order within a workspace, and against late
// items that make timely items of the workspace late as well.
func TestFairnessRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		qm := newQueueModel(t, 1)
		qm.classes = qm.classes[:2]
		qm.limit, qm.queue = 100, admission.New(admission.Options{Limit: 100})
		qm.runRandomSteps(100, qm.offerUnchecked, func(pool string) {
			items := qm.waitingIn(pool)
			got, ok := qm.takeNext(pool, nil)
			own := lo.Filter(items, func(i admission.Item, _ int) bool {
				return i.Class == got.Class && i.Workspace == got.Workspace
			})
			if first := lo.MinBy(own, qm.servedBefore); ok && first.Deadline != got.Deadline {
				t.Fatalf("deadline: got %d, want %d", got.Deadline, first.Deadline)
			}
			for _, other := range []string{"a", "b", "c"} {
				qm.extraSlots[got.Class.Name()+got.Workspace+other]++
				qm.extraSlots[got.Class.Name()+other+got.Workspace]--
			}
			qm.checkExtraSlots()
		})
	})
}

// dropStaleExtraSlots drops the counts of workspaces without waiting items. A workspace
// that gets waiting items again is served after those that already have some.
func (qm *queueModel) dropStaleExtraSlots() {
	hasWaiting := func(name string) bool {
		return slices.ContainsFunc(qm.waiting, func(i admission.Item) bool { return i.Class.Name()+i.Workspace == name })
	}
	for key := range qm.extraSlots {
		if len(key) < 4 || !hasWaiting(key[:3]) || !hasWaiting(key[:2]+key[3:]) {
			delete(qm.extraSlots, key)
		}
	}
}

func (qm *queueModel) checkExtraSlots() {
	qm.dropStaleExtraSlots()
	for key, slots := range qm.extraSlots {
		if slots > 1 {
			qm.Fatalf("%s: %d slots ahead, want at most 1", key, slots)
		}
	}
}

// Guards against shedding an item while the queue is not full, while an item of a lower
// tier or a newer item of its tier could be shed instead, although it is the only one of
// its class, or although it was queued again.
func TestShedRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		qm := newQueueModel(t, 2)
		qm.runRandomSteps(1000, func(item admission.Item) {
			o := qm.offer(item)
			if o.Accepted && len(o.Shed) == 0 {
				if shared := len(qm.shedCandidates()); shared > qm.limit {
					t.Fatalf("items without a reserved place: got %d, want at most %d", shared, qm.limit)
				}
				return
			}
			victim := append(o.Shed, item)[0]
			if o.Accepted != (victim != item) || len(o.Shed) > 1 || !o.Accepted && o.Reason != outcome.ReasonShed {
				t.Fatalf("offer: got %+v", o)
			}
			qm.waiting = append(qm.waiting, victim)
			defer func() { qm.waiting = qm.waiting[:len(qm.waiting)-1] }()
			candidates := qm.shedCandidates()
			if len(candidates) <= qm.limit || !slices.Contains(candidates, victim) {
				t.Fatalf("victim %v of %d candidates, limit %d", victim, len(candidates), qm.limit)
			}
			for _, c := range candidates {
				if byTier(victim, c) || !byTier(c, victim) && c.Arrived > victim.Arrived {
					t.Fatalf("shed %v although %v was queued", victim, c)
				}
			}
		}, func(pool string) { qm.takeNext(pool, nil) })
	})
}

// shedCandidates lists the items that have no reserved place and were not queued again.
func (qm *queueModel) shedCandidates() []admission.Item {
	notRequeued := lo.Reject(qm.waiting, func(i admission.Item, _ int) bool { return qm.requeued[i.ID] })
	return lo.Filter(notRequeued, func(i admission.Item, _ int) bool {
		oldest := lo.MinBy(lo.Filter(notRequeued, sameClass(i)), func(a, b admission.Item) bool {
			return a.Arrived < b.Arrived || a.Arrived == b.Arrived && len(a.ID) <= len(b.ID) && a.ID < b.ID
		})
		return i.ID != oldest.ID
	})
}

// starvationRatio returns an item's age as a multiple of the starvation bound of its
// class.
func starvationRatio(now clock.Millis, i admission.Item) float64 {
	return float64(now-i.Arrived) / float64(i.Class.StarvationBound())
}

// Guards against a starving class that does not get a slot, and against giving starving
// classes more than one slot in ten.
func TestStarvationRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		qm := newQueueModel(t, 1)
		slotsSinceStarved := 9
		qm.runRandomSteps(8000, qm.offerUnchecked, func(pool string) {
			worst := lo.MaxBy(qm.waitingIn(pool), func(a, b admission.Item) bool { return starvationRatio(qm.now, a) > starvationRatio(qm.now, b) })
			best := lo.MinBy(qm.waitingIn(pool), byDeadline)
			got, ok := qm.takeNext(pool, nil)
			due := slotsSinceStarved >= 9 && ok && starvationRatio(qm.now, worst) > 1
			slotsSinceStarved++
			if got.ByStarvationRule {
				slotsSinceStarved = 0
			}
			switch {
			case got.ByStarvationRule && (!due || starvationRatio(qm.now, got) != starvationRatio(qm.now, worst)):
				t.Fatalf("slot granted by the starvation rule: got %v, want %v (due %v)", got, worst, due)
			case due && !got.ByStarvationRule && got.Class != best.Class:
				t.Fatalf("starvation rule is due: got %v, want %v", got, worst)
			case due && !got.ByStarvationRule && starvationRatio(qm.now, lo.MaxBy(append(qm.waitingIn(pool), got), func(a, b admission.Item) bool {
				return a.Class == got.Class && (b.Class != got.Class || starvationRatio(qm.now, a) > starvationRatio(qm.now, b))
			})) < starvationRatio(qm.now, worst):
				t.Fatalf("starvation rule is due: got %v, want the class of %v", got, worst)
			}
		})
	})
}

// Guards against preempting a request that is not of a lower tier, is a once-only
// call, got its slot by the starvation rule, or is already being preempted, and against
// preempting one that loses its tokens while another one would keep them.
func TestPreemptionRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		qm := newQueueModel(t, 1)
		preempting := map[string]bool{}
		qm.runRandomSteps(100, qm.offerUnchecked, func(pool string) {
			running := qm.running()
			preempting = lo.PickBy(preempting, func(id string, _ bool) bool {
				return slices.ContainsFunc(running, func(r admission.RunningRequest) bool { return r.ID == id })
			})
			first := lo.MinBy(qm.waitingIn(pool), byTier)
			topTierWaiting := lo.CountBy(qm.waitingIn(pool), func(i admission.Item) bool { return i.Class.Tier() == first.Class.Tier() })
			eligible := lo.Filter(running, func(r admission.RunningRequest, _ int) bool {
				return topTierWaiting > 0 && !r.OnceOnly && !r.ByStarvationRule && !preempting[r.ID] && first.Class.Tier() < r.Class.Tier()
			})
			id, ok := qm.queue.Preempt(qm.now, pool, running)
			if want := len(eligible) > 0 && len(preempting) < topTierWaiting; ok != want {
				t.Fatalf("preempt: got %v, want %v", ok, want)
			} else if !ok {
				return
			}
			preempting[id] = true
			victim, _ := lo.Find(eligible, func(r admission.RunningRequest) bool { return r.ID == id })
			for _, r := range eligible {
				if victim.ID == "" || r.Resumable && !victim.Resumable ||
					r.Resumable == victim.Resumable && r.Class.Tier() > victim.Class.Tier() {
					t.Fatalf("victim: got %+v, want %+v", victim, r)
				}
			}
		})
	})
}

// running draws a list of running requests.
func (qm *queueModel) running() []admission.RunningRequest {
	return lo.Times(qm.drawInt("running", 8), func(i int) admission.RunningRequest {
		flags := (qm.lastID + i) * 7 % 32
		return admission.RunningRequest{
			ID: fmt.Sprint("r", i), Class: qm.classes[qm.drawInt("class", len(qm.classes))],
			Resumable: flags&1 > 0, OnceOnly: flags&6 == 0, ByStarvationRule: flags&24 == 0, ProducedTokens: flags,
		}
	})
}

// Guards against lower tiers that use the slots that peers need for higher tiers, and
// against idle slots when there are more of them than peers need.
func TestPeersRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		qm := newQueueModel(t, 1)
		qm.runRandomSteps(100, qm.offerUnchecked, func(pool string) {
			peers := lo.Times(qm.drawInt("peers", 4), func(int) admission.Demand {
				return admission.Demand{Pool: []string{pool, "other"}[qm.drawInt("pool", 2)],
					Tier: class.Tier(1 + qm.drawInt("tier", 4)), Waiting: qm.drawInt("waiting", 4)}
			})
			free := qm.drawInt("free", 6)
			qm.queue.SetFreeSlots(pool, free)
			first := lo.MinBy(qm.waitingIn(pool), byTier)
			higherTierWaiting := lo.SumBy(peers, func(d admission.Demand) int {
				return lo.Ternary(d.Pool == pool && d.Tier < first.Class.Tier(), d.Waiting, 0)
			})
			want := first.ID != "" && max(free, 1) > higherTierWaiting
			if _, ok := qm.takeNext(pool, peers); ok != want {
				t.Fatalf("slot granted: got %v, want %v (%d slots free, %d requests of higher tiers at peers)", ok, want, free, higherTierWaiting)
			}
		})
	})
}

// Guards against refusing an item that can meet its target or whose caller did not set
// RefuseIfLate, and against accepting one with RefuseIfLate that cannot meet its target.
func TestLatenessRule(t *testing.T) {
	const slotInterval = 50
	rapid.Check(t, func(t *rapid.T) {
		qm := newQueueModel(t, 1)
		qm.classes = qm.classes[2:5]
		qm.limit, qm.queue = 1000, admission.New(admission.Options{Limit: 1000})
		for range 200 {
			qm.offer(qm.item())
		}
		for range 2 { // two granted slots are needed to measure the first interval
			qm.now += slotInterval
			qm.takeNext(pool, nil)
		}
		qm.runRandomSteps(1, func(item admission.Item) {
			qm.now += slotInterval
			qm.takeNext(pool, nil)
			item.Arrived, item.Deadline = qm.now, qm.now+item.Class.Target()
			item.RefuseIfLate = qm.drawInt("refuse", 2) == 0
			allowedAhead := int(item.Class.Target() / slotInterval)
			aheadCount := qm.aheadCount(item)
			switch o := qm.offer(item); {
			case !o.Accepted && (o.Reason != outcome.ReasonTargetCannotBeMet || o.RetryAfter <= 0):
				t.Fatalf("refusal: got %+v", o)
			case !o.Accepted && (!item.RefuseIfLate || aheadCount+2 <= allowedAhead): // 2 for the other workspaces of the round
				t.Fatalf("refused with %d ahead, %d allowed", aheadCount, allowedAhead)
			case o.Accepted && item.RefuseIfLate && aheadCount > allowedAhead:
				t.Fatalf("accepted with %d ahead, %d allowed", aheadCount, allowedAhead)
			}
		}, func(string) {})
	})
}

// aheadCount returns the number of waiting items that are served before the given one:
// those of higher tiers, and those that come before it in the rounds of the workspaces.
func (qm *queueModel) aheadCount(item admission.Item) int {
	n := lo.CountBy(qm.waiting, func(i admission.Item) bool { return byTier(i, item) })
	waitingByWorkspace := lo.CountValuesBy(lo.Filter(qm.waiting, sameClass(item)), func(i admission.Item) string { return i.Workspace })
	own := waitingByWorkspace[item.Workspace]
	for name, count := range waitingByWorkspace {
		n += lo.Ternary(name == item.Workspace, count, min(count, own))
	}
	return n
}
