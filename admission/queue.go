package admission

import (
	"sort"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// Queue orders waiting requests by tier, then by deadline, and shares the slots of a
// class fairly between its workspaces. It is not safe for concurrent use.
type Queue struct {
	options   Options
	sequence  uint64                 // sequence number of the last item inserted
	items     map[string]*queuedItem // by ID
	pools     map[string]*pool
	shedLists []*shedList // one for each class with sheddable items
	// sheddableCount is the number of items in shedLists. One item of each list has
	// the place reserved for its class, and the others share the limit.
	sheddableCount int
}

// New returns an empty queue.
func New(options Options) *Queue {
	return &Queue{options: options, items: map[string]*queuedItem{}, pools: map[string]*pool{}}
}

// Offer queues an item, or refuses it, which means that it was not run. An item with
// an ID that is already queued is refused. If the queue is full, Offer sheds the
// newest item of the lowest tier that has an item without a reserved place. That can
// be the offered item.
func (q *Queue) Offer(now clock.Millis, item Item) Offer {
	if _, ok := q.items[item.ID]; ok {
		return Offer{Reason: outcome.ReasonInvalidRequest}
	}
	if q.cannotMeetTarget(now, item) {
		return Offer{Reason: outcome.ReasonTargetCannotBeMet, RetryAfter: q.RetryAfter(now, item)}
	}
	e := q.insert(item, false)
	shed := q.shedOne()
	switch shed {
	case nil:
		return Offer{Accepted: true}
	case e:
		return Offer{Reason: outcome.ReasonShed, RetryAfter: q.RetryAfter(now, item)}
	}
	return Offer{Accepted: true, Shed: []Item{shed.Item}}
}

// Requeue queues an accepted item again after a failure or a preemption. The item is
// never refused or shed, and does not count towards the limit.
func (q *Queue) Requeue(_ clock.Millis, item Item) {
	if _, ok := q.items[item.ID]; ok {
		return
	}
	item.ByStarvationRule = false
	q.insert(item, true)
}

// Remove removes an item and reports whether it was queued.
func (q *Queue) Remove(id string) bool {
	e, ok := q.items[id]
	if ok {
		q.removeItem(e)
	}
	return ok
}

// SetFreeSlots sets the number of free slots of a pool. Next compares it with the demand
// of peers for higher tiers, and uses the slots that this demand leaves. If
// SetFreeSlots is not called, Next assumes one free slot.
func (q *Queue) SetFreeSlots(pool string, slots int) {
	q.pool(pool).freeSlots = slots
}

// Next removes and returns the item that gets a free slot of a pool. It returns false
// if no item waits or if the slot is yielded to peers that report demand of higher
// tiers. Callers must pass only recent demands of peers.
func (q *Queue) Next(now clock.Millis, pool string, peers []Demand) (Item, bool) {
	p := q.pool(pool)
	topGroup := p.topGroup()
	if topGroup == nil {
		return Item{}, false
	}
	yieldsToPeers := p.yieldsToPeers(pool, topGroup.class.Tier(), peers)
	starvingGroup := p.starvingGroup(now)
	switch {
	case starvingGroup != nil && (starvingGroup != topGroup || yieldsToPeers):
		return q.grantSlot(now, p, starvingGroup.byArrival.first(), true), true
	case yieldsToPeers:
		p.countYieldedSlot(now)
		return Item{}, false
	}
	return q.grantSlot(now, p, topGroup.next(now), false), true
}

// Waiting returns the demand of each pool and tier, sorted by pool, then by tier.
func (q *Queue) Waiting() []Demand {
	demands := []Demand{}
	for name, p := range q.pools {
		demands = append(demands, p.demands(name)...)
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].before(demands[j]) })
	return demands
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

func (d Demand) before(other Demand) bool {
	if d.Pool != other.Pool {
		return d.Pool < other.Pool
	}
	return d.Tier < other.Tier
}

func (p *pool) demands(name string) []Demand {
	demands := map[class.Tier]Demand{}
	for _, g := range p.groups {
		d, ok := demands[g.class.Tier()]
		demands[g.class.Tier()] = g.demand(name).merge(d, ok)
	}
	return lo.Values(demands)
}

func (g *group) demand(pool string) Demand {
	oldest, deadline := g.byArrival.first().Arrived, g.byDeadline.first().Deadline
	return Demand{
		Pool: pool, Tier: g.class.Tier(), Waiting: g.len(), Oldest: oldest, Deadline: deadline,
		UrgentAt: deadline - g.class.Target()/urgentTargetDivisor, StarvesAt: oldest + g.class.StarvationBound(),
	}
}

// merge adds the demand of another class of the same tier. If ok is false, there is
// none and other is ignored.
func (d Demand) merge(other Demand, ok bool) Demand {
	if !ok {
		return d
	}
	d.Waiting += other.Waiting
	d.Oldest, d.Deadline = min(d.Oldest, other.Oldest), min(d.Deadline, other.Deadline)
	d.UrgentAt, d.StarvesAt = min(d.UrgentAt, other.UrgentAt), min(d.StarvesAt, other.StarvesAt)
	return d
}

func (q *Queue) pool(name string) *pool {
	p, ok := q.pools[name]
	if !ok {
		p = newPool()
		q.pools[name] = p
	}
	return p
}

func (q *Queue) shedList(c class.Class) *shedList {
	for _, l := range q.shedLists {
		if l.class == c {
			return l
		}
	}
	l := newShedList(c)
	q.shedLists = append(q.shedLists, l)
	return l
}

func (q *Queue) insert(item Item, requeued bool) *queuedItem {
	q.sequence++
	e := &queuedItem{Item: item, sequence: q.sequence, requeued: requeued}
	q.items[item.ID] = e
	q.pool(item.Pool).group(item.Class).add(e)
	if requeued {
		return e
	}
	e.shedList = q.shedList(item.Class)
	e.shedList.newest.add(e)
	q.sheddableCount++
	return e
}

func (q *Queue) removeItem(e *queuedItem) {
	delete(q.items, e.ID)
	q.pools[e.Pool].remove(e)
	if e.requeued {
		return
	}
	q.sheddableCount--
	e.shedList.newest.remove(e)
	if e.shedList.newest.Len() == 0 {
		q.shedLists = lo.Without(q.shedLists, e.shedList)
	}
}

// grantSlot removes an item that gets a slot from the queue, and updates the turns of
// the workspaces and the state of the pool.
func (q *Queue) grantSlot(now clock.Millis, p *pool, e *queuedItem, byStarvationRule bool) Item {
	q.removeItem(e)
	e.group.endTurn(e.workspace)
	p.recordGrant(now, byStarvationRule)
	item := e.Item
	item.ByStarvationRule = byStarvationRule
	return item
}

// shedOne sheds one item and returns it, if more items without a reserved place wait
// than the limit allows. Otherwise it returns nil.
func (q *Queue) shedOne() *queuedItem {
	if q.sheddableCount-len(q.shedLists) <= q.options.Limit {
		return nil
	}
	var victim *queuedItem
	for _, l := range q.shedLists {
		// The reserved place of a class belongs to its oldest item.
		if l.newest.Len() < 2 {
			continue
		}
		if newest := l.newest.first(); victim == nil || newest.shedBefore(victim) {
			victim = newest
		}
	}
	q.removeItem(victim)
	return victim
}

// shedBefore reports whether e is shed before other: the lower tier first, then the
// newer item.
func (e *queuedItem) shedBefore(other *queuedItem) bool {
	if e.Class.Tier() != other.Class.Tier() {
		return other.Class.Tier().HasPriorityOver(e.Class.Tier())
	}
	return other.arrivedBefore(e)
}
