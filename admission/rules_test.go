package admission_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// TestMain fixes the seed of rapid unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// world holds what a queue should hold, as a flat list in order of insertion,
// and states each rule as a scan of that list.
type world struct {
	*rapid.T
	queue   *admission.Queue
	now     clock.Millis
	limit   int
	next    int
	waiting []admission.Item
	pinned  map[string]bool
	taken   []admission.Item
	classes []class.Class
	pools   []string
	// lead counts the slots of one workspace over another while both wait.
	lead map[string]int
}

func newWorld(t *rapid.T, pools int) *world {
	w := &world{T: t, limit: rapid.IntRange(1, 8).Draw(t, "limit"), pinned: map[string]bool{}, lead: map[string]int{}}
	w.queue = admission.New(admission.Options{Limit: w.limit})
	w.pools = []string{pool, "service:ledger"}[:pools]
	for i, target := range []clock.Millis{580, 2000, 1000, 580, 9000, 700} {
		tier := []class.Tier{1, 1, 2, 3, 4, 4}[i]
		w.classes = append(w.classes, newClass(t, fmt.Sprintf("c%d", i), tier, target))
	}
	return w
}

func (w *world) draw(name string, n int) int { return rapid.IntRange(0, n-1).Draw(w.T, name) }

func (w *world) item() admission.Item {
	w.next++
	c := w.classes[w.draw("class", len(w.classes))]
	return admission.Item{
		ID: fmt.Sprint(w.next), Workspace: []string{"a", "b", "c"}[w.draw("workspace", 3)],
		Pool: w.pools[w.draw("pool", len(w.pools))], Class: c, Arrived: w.now, Deadline: w.now + c.Target(),
	}
}

func (w *world) offer(item admission.Item) admission.Offer {
	o := w.queue.Offer(w.now, item)
	if o.Accepted {
		w.waiting = append(w.waiting, item)
	}
	w.waiting = lo.Without(w.waiting, o.Shed...)
	return o
}

func (w *world) take(pool string, peers []admission.Demand) (admission.Item, bool) {
	item, ok := w.queue.Next(w.now, pool, peers)
	if ok {
		w.waiting = lo.Reject(w.waiting, func(other admission.Item, _ int) bool { return other.ID == item.ID })
		w.taken = append(w.taken, item)
	}
	return item, ok
}

// disturb requeues or removes a random item, so that orders are not those of arrival.
func (w *world) disturb() {
	if len(w.taken) > 0 && w.draw("requeue", 2) == 0 {
		item := w.taken[w.draw("index", len(w.taken))]
		item.ByStarvationRule = false
		w.taken = lo.Reject(w.taken, func(other admission.Item, _ int) bool { return other.ID == item.ID })
		w.queue.Requeue(w.now, item)
		w.pinned[item.ID] = true
		w.waiting = append(w.waiting, item)
	} else if len(w.waiting) > 0 {
		item := w.waiting[w.draw("index", len(w.waiting))]
		if !w.queue.Remove(item.ID) {
			w.Fatalf("remove %s: got false, want true", item.ID)
		}
		w.waiting = lo.Without(w.waiting, item)
		w.forgetLeads()
	}
}

// play runs random steps; offer and next do the checked operations.
func (w *world) play(advance int, offer func(admission.Item), next func(pool string)) {
	for range rapid.IntRange(10, 150).Draw(w.T, "steps") {
		switch w.draw("step", 8) {
		case 0, 1, 2, 3:
			offer(w.item())
		case 4, 5:
			next(w.pools[w.draw("pool", len(w.pools))])
		case 6:
			w.disturb()
		case 7:
			w.now += clock.Millis(w.draw("advance", advance))
		}
		if got, want := w.queue.Len(), len(w.waiting); got != want {
			w.Fatalf("length: got %d, want %d", got, want)
		}
	}
}

func (w *world) in(pool string) []admission.Item {
	return lo.Filter(w.waiting, func(i admission.Item, _ int) bool { return i.Pool == pool })
}

func byTier(a, b admission.Item) bool { return a.Class.Tier() < b.Class.Tier() }

func byDeadline(a, b admission.Item) bool {
	return byTier(a, b) || !byTier(b, a) && a.Deadline < b.Deadline
}

func (w *world) quietOffer(item admission.Item) { w.offer(item) }

// Guards against service out of order of tier and, within a tier, of the
// earliest deadline of the classes.
func TestOrderRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2)
		w.play(100, w.quietOffer, func(pool string) {
			items := w.in(pool)
			got, ok := w.take(pool, nil)
			if ok != (len(items) > 0) {
				t.Fatalf("taken: got %v with %d waiting", ok, len(items))
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

// timelyFirst orders by deadline. Work whose deadline has passed comes last, unless
// it was taken before.
func (w *world) timelyFirst(a, b admission.Item) bool {
	late := func(item admission.Item) bool { return item.Deadline < w.now && !w.pinned[item.ID] }
	if late(a) != late(b) {
		return late(b)
	}
	return a.Deadline < b.Deadline
}

// Guards against an overload in which every request is served after its target:
// work that has missed its target goes last, unless it was taken before.
func TestLateWorkGoesLast(t *testing.T) {
	c := newClass(t, "tagging", 4, 100)
	q := admission.New(admission.Options{Limit: 10})
	offer := func(id string, arrived clock.Millis) {
		q.Offer(arrived, admission.Item{ID: id, Pool: pool, Workspace: "w", Class: c, Arrived: arrived, Deadline: arrived + c.Target()})
	}
	offer("late", 0)
	offer("timely", 90)
	offer("timely too", 95)
	q.Requeue(96, admission.Item{ID: "taken before", Pool: pool, Workspace: "w", Class: c, Arrived: 1, Deadline: 101})
	var got []string
	for range 4 {
		item, _ := q.Next(150, pool, nil)
		got = append(got, item.ID)
	}
	if want := []string{"taken before", "timely", "timely too", "late"}; !slices.Equal(got, want) {
		t.Errorf("order: got %q, want %q", got, want)
	}
}

// Guards against a workspace that gets more slots than another of its class
// while both wait, against service out of deadline order in a workspace, and
// against late work that makes timely work of the workspace late as well.
func TestFairnessRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1)
		w.classes = w.classes[:2]
		w.limit, w.queue = 100, admission.New(admission.Options{Limit: 100})
		w.play(100, w.quietOffer, func(pool string) {
			items := w.in(pool)
			got, ok := w.take(pool, nil)
			own := lo.Filter(items, func(i admission.Item, _ int) bool {
				return i.Class == got.Class && i.Workspace == got.Workspace
			})
			if first := lo.MinBy(own, w.timelyFirst); ok && first.Deadline != got.Deadline {
				t.Fatalf("deadline: got %d, want %d", got.Deadline, first.Deadline)
			}
			for _, other := range []string{"a", "b", "c"} {
				w.lead[got.Class.Name()+got.Workspace+other]++
				w.lead[got.Class.Name()+other+got.Workspace]--
			}
			w.checkLead()
		})
	})
}

// forgetLeads drops the leads of workspaces that do not wait any more. One that
// comes back starts behind those that wait.
func (w *world) forgetLeads() {
	waits := func(name string) bool {
		return slices.ContainsFunc(w.waiting, func(i admission.Item) bool { return i.Class.Name()+i.Workspace == name })
	}
	for key := range w.lead {
		if len(key) < 4 || !waits(key[:3]) || !waits(key[:2]+key[3:]) {
			delete(w.lead, key)
		}
	}
}

func (w *world) checkLead() {
	w.forgetLeads()
	for key, slots := range w.lead {
		if slots > 1 {
			w.Fatalf("%s: %d slots ahead, want at most 1", key, slots)
		}
	}
}

// Guards against a request that is shed while the queue has room, while work of
// a lower tier or newer work of its tier could go instead, or although it is the
// only one of its class or was accepted before.
func TestShedRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 2)
		w.play(1000, func(item admission.Item) {
			o := w.offer(item)
			if o.Accepted && len(o.Shed) == 0 {
				if shared := len(w.sheddable()); shared > w.limit {
					t.Fatalf("shared places: got %d, want at most %d", shared, w.limit)
				}
				return
			}
			victim := append(o.Shed, item)[0]
			if o.Accepted != (victim != item) || len(o.Shed) > 1 || !o.Accepted && o.Reason != outcome.ReasonShed {
				t.Fatalf("offer: got %+v", o)
			}
			w.waiting = append(w.waiting, victim)
			defer func() { w.waiting = w.waiting[:len(w.waiting)-1] }()
			candidates := w.sheddable()
			if len(candidates) <= w.limit || !slices.Contains(candidates, victim) {
				t.Fatalf("victim %v of %d candidates, limit %d", victim, len(candidates), w.limit)
			}
			for _, c := range candidates {
				if byTier(victim, c) || !byTier(c, victim) && c.Arrived > victim.Arrived {
					t.Fatalf("shed %v although %v was queued", victim, c)
				}
			}
		}, func(pool string) { w.take(pool, nil) })
	})
}

// sheddable lists what has neither a reserved place nor been accepted before.
func (w *world) sheddable() []admission.Item {
	fresh := lo.Reject(w.waiting, func(i admission.Item, _ int) bool { return w.pinned[i.ID] })
	return lo.Filter(fresh, func(i admission.Item, _ int) bool {
		oldest := lo.MinBy(lo.Filter(fresh, sameClass(i)), func(a, b admission.Item) bool {
			return a.Arrived < b.Arrived || a.Arrived == b.Arrived && len(a.ID) <= len(b.ID) && a.ID < b.ID
		})
		return i.ID != oldest.ID
	})
}

func excess(now clock.Millis, i admission.Item) float64 {
	return float64(now-i.Arrived) / float64(i.Class.StarvationBound())
}

// Guards against a starving class that does not get its slot, and against more
// than one slot in ten for starving classes.
func TestStarvationRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1)
		since := 9
		w.play(8000, w.quietOffer, func(pool string) {
			worst := lo.MaxBy(w.in(pool), func(a, b admission.Item) bool { return excess(w.now, a) > excess(w.now, b) })
			best := lo.MinBy(w.in(pool), byDeadline)
			got, ok := w.take(pool, nil)
			due := since >= 9 && ok && excess(w.now, worst) > 1
			since++
			if got.ByStarvationRule {
				since = 0
			}
			switch {
			case got.ByStarvationRule && (!due || excess(w.now, got) != excess(w.now, worst)):
				t.Fatalf("starved: got %v, want %v (due %v)", got, worst, due)
			case due && !got.ByStarvationRule && got.Class != best.Class:
				t.Fatalf("due: got %v, want %v", got, worst)
			case due && !got.ByStarvationRule && excess(w.now, lo.MaxBy(append(w.in(pool), got), func(a, b admission.Item) bool {
				return a.Class == got.Class && (b.Class != got.Class || excess(w.now, a) > excess(w.now, b))
			})) < excess(w.now, worst):
				t.Fatalf("due: got %v, want the class of %v", got, worst)
			}
		})
	})
}

// Guards against preemption of work that is of an equal or higher tier, was sent
// at most once, starved, or stops already, and of work that loses its tokens
// while other work would keep them.
func TestPreemptionRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1)
		stopping := map[string]bool{}
		w.play(100, w.quietOffer, func(pool string) {
			running := w.running()
			stopping = lo.PickBy(stopping, func(id string, _ bool) bool {
				return slices.ContainsFunc(running, func(r admission.Running) bool { return r.ID == id })
			})
			first := lo.MinBy(w.in(pool), byTier)
			top := lo.CountBy(w.in(pool), func(i admission.Item) bool { return i.Class.Tier() == first.Class.Tier() })
			eligible := lo.Filter(running, func(r admission.Running, _ int) bool {
				return top > 0 && !r.OnceOnly && !r.ByStarvationRule && !stopping[r.ID] && first.Class.Tier() < r.Class.Tier()
			})
			id, ok := w.queue.Preempt(w.now, pool, running)
			if want := len(eligible) > 0 && len(stopping) < top; ok != want {
				t.Fatalf("preempt: got %v, want %v", ok, want)
			} else if !ok {
				return
			}
			stopping[id] = true
			victim, _ := lo.Find(eligible, func(r admission.Running) bool { return r.ID == id })
			for _, r := range eligible {
				if victim.ID == "" || r.Resumable && !victim.Resumable ||
					r.Resumable == victim.Resumable && r.Class.Tier() > victim.Class.Tier() {
					t.Fatalf("victim: got %+v, want %+v", victim, r)
				}
			}
		})
	})
}

func (w *world) running() []admission.Running {
	return lo.Times(w.draw("running", 8), func(i int) admission.Running {
		kind := (w.next + i) * 7 % 32
		return admission.Running{
			ID: fmt.Sprint("r", i), Class: w.classes[w.draw("class", len(w.classes))],
			Resumable: kind&1 > 0, OnceOnly: kind&6 == 0, ByStarvationRule: kind&24 == 0, ProducedTokens: kind,
		}
	})
}

// Guards against lower-tier work that takes the slots peers need for higher
// tiers, and against slots that stay idle although there are more than that.
func TestPeersRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1)
		w.play(100, w.quietOffer, func(pool string) {
			peers := lo.Times(w.draw("peers", 4), func(int) admission.Demand {
				return admission.Demand{Pool: []string{pool, "other"}[w.draw("pool", 2)],
					Tier: class.Tier(1 + w.draw("tier", 4)), Waiting: w.draw("waiting", 4)}
			})
			free := w.draw("free", 6)
			w.queue.SetFreeSlots(pool, free)
			first := lo.MinBy(w.in(pool), byTier)
			above := lo.SumBy(peers, func(d admission.Demand) int {
				return lo.Ternary(d.Pool == pool && d.Tier < first.Class.Tier(), d.Waiting, 0)
			})
			want := first.ID != "" && max(free, 1) > above
			if _, ok := w.take(pool, peers); ok != want {
				t.Fatalf("taken: got %v, want %v (free %d, above %d)", ok, want, free, above)
			}
		})
	})
}

// Guards against refusal of work whose caller did not ask for it or that meets
// its target, and against acceptance of work that cannot.
func TestLatenessRule(t *testing.T) {
	const gap = 50
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1)
		w.classes = w.classes[2:5]
		w.limit, w.queue = 1000, admission.New(admission.Options{Limit: 1000})
		for range 200 {
			w.offer(w.item())
		}
		for range 2 { // two slots give the first interval
			w.now += gap
			w.take(pool, nil)
		}
		w.play(1, func(item admission.Item) {
			w.now += gap
			w.take(pool, nil)
			item.Arrived, item.Deadline = w.now, w.now+item.Class.Target()
			item.RefuseIfLate = w.draw("refuse", 2) == 0
			allowed := int(item.Class.Target() / gap)
			ahead := w.ahead(item)
			switch o := w.offer(item); {
			case !o.Accepted && (o.Reason != outcome.ReasonTargetCannotBeMet || o.RetryAfter <= 0):
				t.Fatalf("refusal: got %+v", o)
			case !o.Accepted && (!item.RefuseIfLate || ahead+2 <= allowed): // 2 other workspaces in the round
				t.Fatalf("refused with %d ahead, %d allowed", ahead, allowed)
			case o.Accepted && item.RefuseIfLate && ahead > allowed:
				t.Fatalf("accepted with %d ahead, %d allowed", ahead, allowed)
			}
		}, func(string) {})
	})
}

// ahead serves a copy of the list, in rounds by workspace, until the item's turn.
func (w *world) ahead(item admission.Item) int {
	n := lo.CountBy(w.waiting, func(i admission.Item) bool { return byTier(i, item) })
	left := lo.CountValuesBy(lo.Filter(w.waiting, sameClass(item)), func(i admission.Item) string { return i.Workspace })
	own := left[item.Workspace]
	for name, count := range left {
		n += lo.Ternary(name == item.Workspace, count, min(count, own))
	}
	return n
}
