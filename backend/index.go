package backend

import (
	"slices"

	"github.com/samber/lo"
)

// pool lists the usable servers of a model or service.
type pool struct {
	name    string
	members []*record
}

// place is the position of a record in one pool.
type place struct {
	pool  *pool
	index int
}

func (r *Registry) index(c *record) {
	c.places = make([]place, 0, len(c.announcement.Pools()))
	for _, name := range lo.Uniq(c.announcement.Pools()) {
		p, ok := r.pools[name]
		if !ok {
			p = &pool{name: name}
			r.pools[name] = p
		}
		c.places = append(c.places, place{pool: p, index: len(p.members)})
		p.members = append(p.members, c)
	}
}

func (r *Registry) unindex(c *record) {
	for _, at := range c.places {
		at.pool.remove(at.index)
		if len(at.pool.members) == 0 {
			delete(r.pools, at.pool.name)
		}
	}
	c.places = nil
}

// remove moves the last member into the gap.
func (p *pool) remove(index int) {
	last := len(p.members) - 1
	moved := p.members[last]
	p.members[index] = moved
	p.members[last] = nil
	p.members = p.members[:last]
	for i := range moved.places {
		if moved.places[i].pool == p {
			moved.places[i].index = index
		}
	}
}

// dueHeap orders records by the time at which they need attention.
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
