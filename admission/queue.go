package admission

import (
	"sort"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// Queue orders waiting requests by tier, then deadline, with fair sharing
// between the workspaces of a class. One goroutine owns it.
type Queue struct {
	options  Options
	sequence uint64
	items    map[string]*queued
	pools    map[string]*pool
	lines    []*line
	// sheddable counts the items in lines. One item of each line has the place
	// reserved for its class, and the others share the limit.
	sheddable int
}

// New returns an empty queue.
func New(options Options) *Queue {
	return &Queue{options: options, items: map[string]*queued{}, pools: map[string]*pool{}}
}

// Offer queues an item, or refuses it as not run. An ID that is already queued
// is refused. When the queue is full, the newest item of the lowest tier that
// has no reserved place is shed, which can be the offered one.
func (q *Queue) Offer(now clock.Millis, item Item) Offer {
	if _, ok := q.items[item.ID]; ok {
		return Offer{Reason: outcome.ReasonInvalidRequest}
	}
	if q.late(now, item) {
		return Offer{Reason: outcome.ReasonTargetCannotBeMet, RetryAfter: q.RetryAfter(now, item)}
	}
	e := q.insert(item, false)
	shed := q.evict()
	switch shed {
	case nil:
		return Offer{Accepted: true}
	case e:
		return Offer{Reason: outcome.ReasonShed, RetryAfter: q.RetryAfter(now, item)}
	}
	return Offer{Accepted: true, Shed: []Item{shed.Item}}
}

// Requeue queues accepted work again after a failure or a preemption. It is
// never refused or shed, and it does not count towards the limit.
func (q *Queue) Requeue(_ clock.Millis, item Item) {
	if _, ok := q.items[item.ID]; ok {
		return
	}
	item.ByStarvationRule = false
	q.insert(item, true)
}

// Remove drops an item, and reports whether it was queued.
func (q *Queue) Remove(id string) bool {
	e, ok := q.items[id]
	if ok {
		q.drop(e)
	}
	return ok
}

// SetFreeSlots tells how many slots of a pool the caller sees free. It lets Next use
// the slots that peers with higher-tier work leave over; without it, Next
// assumes one free slot.
func (q *Queue) SetFreeSlots(pool string, slots int) {
	q.pool(pool).free = slots
}

// Next takes the item for a free slot of a pool. It returns false when nothing
// waits, or when the slot is left to peers that report higher-tier work. The
// caller passes only recent reports of peers.
func (q *Queue) Next(now clock.Millis, pool string, peers []Demand) (Item, bool) {
	p := q.pool(pool)
	best := p.best()
	if best == nil {
		return Item{}, false
	}
	leaves := p.leaves(pool, best.class.Tier(), peers)
	starving := p.starving(now)
	switch {
	case starving != nil && (starving != best || leaves):
		return q.take(now, p, starving.arrivals.first(), true), true
	case leaves:
		p.pass(now)
		return Item{}, false
	}
	return q.take(now, p, best.next(now), false), true
}

// Waiting sums up the queue by pool and tier, in that order.
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
		demands[g.class.Tier()] = g.demand(name).join(d, ok)
	}
	return lo.Values(demands)
}

func (g *group) demand(pool string) Demand {
	oldest, deadline := g.arrivals.first().Arrived, g.deadlines.first().Deadline
	return Demand{
		Pool: pool, Tier: g.class.Tier(), Waiting: g.len(), Oldest: oldest, Deadline: deadline,
		UrgentAt: deadline - g.class.Target()/urgentShare, StarveAt: oldest + g.class.StarvationBound(),
	}
}

// join adds the demand of another class of the tier, if there is any.
func (d Demand) join(other Demand, ok bool) Demand {
	if !ok {
		return d
	}
	d.Waiting += other.Waiting
	d.Oldest, d.Deadline = min(d.Oldest, other.Oldest), min(d.Deadline, other.Deadline)
	d.UrgentAt, d.StarveAt = min(d.UrgentAt, other.UrgentAt), min(d.StarveAt, other.StarveAt)
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

func (q *Queue) line(c class.Class) *line {
	for _, l := range q.lines {
		if l.class == c {
			return l
		}
	}
	l := newLine(c)
	q.lines = append(q.lines, l)
	return l
}

func (q *Queue) insert(item Item, pinned bool) *queued {
	q.sequence++
	e := &queued{Item: item, sequence: q.sequence, pinned: pinned}
	q.items[item.ID] = e
	q.pool(item.Pool).group(item.Class).add(e)
	if pinned {
		return e
	}
	e.line = q.line(item.Class)
	e.line.newest.add(e)
	q.sheddable++
	return e
}

func (q *Queue) drop(e *queued) {
	delete(q.items, e.ID)
	q.pools[e.Pool].remove(e)
	if e.pinned {
		return
	}
	q.sheddable--
	e.line.newest.remove(e)
	if e.line.newest.Len() == 0 {
		q.lines = lo.Without(q.lines, e.line)
	}
}

func (q *Queue) take(now clock.Millis, p *pool, e *queued, starved bool) Item {
	q.drop(e)
	e.group.served(e.workspace)
	p.granted(now, starved)
	item := e.Item
	item.ByStarvationRule = starved
	return item
}

// evict sheds one item when the shared places are used up, and returns it.
func (q *Queue) evict() *queued {
	if q.sheddable-len(q.lines) <= q.options.Limit {
		return nil
	}
	var victim *queued
	for _, l := range q.lines {
		// The oldest item of a class has the reserved place.
		if l.newest.Len() < 2 {
			continue
		}
		if newest := l.newest.first(); victim == nil || newest.shedBefore(victim) {
			victim = newest
		}
	}
	q.drop(victim)
	return victim
}

// shedBefore reports whether e is shed rather than other.
func (e *queued) shedBefore(other *queued) bool {
	if e.Class.Tier() != other.Class.Tier() {
		return other.Class.Tier().HasPriorityOver(e.Class.Tier())
	}
	return other.older(e)
}
