package admission

import "github.com/galenaslip/galenaslip/clock"

// Bounds of the retry time that a refused caller gets.
const (
	minRetryAfter = 100 * clock.Millisecond
	maxRetryAfter = 1 * clock.Minute
)

// late reports whether an item that asked for it cannot meet its target.
func (q *Queue) late(now clock.Millis, item Item) bool {
	if !item.RefuseIfLate {
		return false
	}
	slack := float64(item.Deadline - now - q.options.service(item))
	p := q.pool(item.Pool)
	gap := p.interval(now)
	if slack < 0 || gap == 0 {
		return slack < 0
	}
	allowed := int(slack / gap)
	return p.ahead(item, allowed+1) > allowed
}

// RetryAfter predicts when the work that goes before an item of this tier has
// left the queue.
func (q *Queue) RetryAfter(now clock.Millis, item Item) clock.Millis {
	p := q.pool(item.Pool)
	ahead := 0
	for _, g := range p.groups {
		if !item.Class.Tier().HasPriorityOver(g.class.Tier()) {
			ahead += g.len()
		}
	}
	return min(max(p.wait(now, ahead), minRetryAfter), maxRetryAfter)
}

// ahead counts the items that go before a new one: all of higher tiers, those
// of other classes of its tier with an earlier deadline, and in its own class
// what the rounds of the workspaces put first. It stops counting near limit,
// because the cost grows with the count.
func (p *pool) ahead(item Item, limit int) int {
	n := 0
	for _, g := range p.groups {
		switch {
		case g.class.Tier().HasPriorityOver(item.Class.Tier()):
			n += g.len()
		case g.class == item.Class:
			n += g.aheadOf(item.Workspace)
		case g.class.Tier() == item.Class.Tier():
			n += g.deadlines.countWhile(limit-n, func(e *queued) bool { return e.Deadline <= item.Deadline })
		}
	}
	return n
}

// aheadOf counts the items that the rounds put before a new last item of a
// workspace.
func (g *group) aheadOf(name string) int {
	own := 0
	if w, ok := g.workspaces[name]; ok {
		own = w.len()
	}
	n := 0
	for _, w := range g.workspaces {
		n += min(w.len(), own+1)
	}
	return n
}
