package admission

import (
	"container/list"
	"sort"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// naiveRetryAfter is the fixed result of NaiveQueue.RetryAfter. That queue does not
// measure how fast slots become free, so it cannot predict a time.
const naiveRetryAfter = 1 * clock.Second

// NaiveQueue is a FIFO queue that ignores tiers, deadlines, workspaces and peers, and
// refuses new items when it is full. It is the baseline of measurements.
type NaiveQueue struct {
	options Options
	fifo    *list.List
	items   map[string]*list.Element
}

// NewNaive returns an empty FIFO queue.
func NewNaive(options Options) *NaiveQueue {
	return &NaiveQueue{options: options, fifo: list.New(), items: map[string]*list.Element{}}
}

// Offer queues an item, or refuses it when the queue is full.
func (q *NaiveQueue) Offer(_ clock.Millis, item Item) Offer {
	if _, ok := q.items[item.ID]; ok {
		return Offer{Reason: outcome.ReasonInvalidRequest}
	}
	if q.fifo.Len() >= q.options.Limit {
		return Offer{Reason: outcome.ReasonShed, RetryAfter: naiveRetryAfter}
	}
	q.items[item.ID] = q.fifo.PushBack(item)
	return Offer{Accepted: true}
}

// Requeue queues an accepted item again at the front, even above the limit.
func (q *NaiveQueue) Requeue(_ clock.Millis, item Item) {
	if _, ok := q.items[item.ID]; ok {
		return
	}
	q.items[item.ID] = q.fifo.PushFront(item)
}

// Remove removes an item and reports whether it was queued.
func (q *NaiveQueue) Remove(id string) bool {
	element, ok := q.items[id]
	if ok {
		q.fifo.Remove(element)
		delete(q.items, id)
	}
	return ok
}

// SetFreeSlots does nothing, because a NaiveQueue yields no slots to peers.
func (q *NaiveQueue) SetFreeSlots(string, int) {}

// Next removes and returns the first item of a pool.
func (q *NaiveQueue) Next(_ clock.Millis, pool string, _ []Demand) (Item, bool) {
	for element := q.fifo.Front(); element != nil; element = element.Next() {
		item := element.Value.(Item)
		if item.Pool == pool {
			q.Remove(item.ID)
			return item, true
		}
	}
	return Item{}, false
}

// Preempt always returns false.
func (q *NaiveQueue) Preempt(clock.Millis, string, []RunningRequest) (id string, ok bool) {
	return "", false
}

// RetryAfter returns a fixed time.
func (q *NaiveQueue) RetryAfter(clock.Millis, Item) clock.Millis { return naiveRetryAfter }

// Len returns the number of waiting items.
func (q *NaiveQueue) Len() int { return q.fifo.Len() }

// Waiting returns the demand of each pool and tier, sorted by pool, then by tier.
func (q *NaiveQueue) Waiting() []Demand {
	demands := map[Demand]Demand{}
	for element := q.fifo.Front(); element != nil; element = element.Next() {
		item := element.Value.(Item)
		key := Demand{Pool: item.Pool, Tier: item.Class.Tier()}
		d, ok := demands[key]
		oldest := item.Arrived
		if ok {
			oldest = min(oldest, d.Oldest)
		}
		demands[key] = Demand{Pool: key.Pool, Tier: key.Tier, Waiting: d.Waiting + 1, Oldest: oldest}
	}
	sums := lo.Values(demands)
	sort.Slice(sums, func(i, j int) bool { return sums[i].before(sums[j]) })
	return sums
}
