package backend

import (
	"slices"

	"github.com/samber/lo"
)

// pool is the set of usable servers of a model or service.
type pool struct {
	name    string
	members []*record
}

// poolPosition is the position of a record in one pool.
type poolPosition struct {
	pool  *pool
	index int // in pool.members
}

// index adds a record to its pools.
func (r *Registry) index(c *record) {
	c.poolPositions = make([]poolPosition, 0, len(c.announcement.Pools()))
	for _, name := range lo.Uniq(c.announcement.Pools()) {
		p, ok := r.pools[name]
		if !ok {
			p = &pool{name: name}
			r.pools[name] = p
		}
		c.poolPositions = append(c.poolPositions, poolPosition{pool: p, index: len(p.members)})
		p.members = append(p.members, c)
	}
}

// unindex removes a record from its pools and deletes pools that become empty.
func (r *Registry) unindex(c *record) {
	for _, position := range c.poolPositions {
		position.pool.remove(position.index)
		if len(position.pool.members) == 0 {
			delete(r.pools, position.pool.name)
		}
	}
	c.poolPositions = nil
}

// remove removes the member at index and moves the last member to its position.
func (p *pool) remove(index int) {
	last := len(p.members) - 1
	lastMember := p.members[last]
	p.members[index] = lastMember
	p.members[last] = nil
	p.members = p.members[:last]
	for i := range lastMember.poolPositions {
		if lastMember.poolPositions[i].pool == p {
			lastMember.poolPositions[i].index = index
		}
	}
}

// dueHeap is a heap of records ordered by their next change due to age.
type dueHeap []*record

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].due < h[j].due }

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	c := x.(*record)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	c.heapIndex = -1
	return c
}

func sortedKeys[V any](m map[string]V) []string {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}
