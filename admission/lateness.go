package admission

import "github.com/galenaslip/galenaslip/clock"

// Bounds of the time that RetryAfter returns.
const (
	minRetryAfter = 100 * clock.Millisecond
	maxRetryAfter = 1 * clock.Minute
)

// cannotMeetTarget reports whether an item with RefuseIfLate is predicted to miss its
// latency target. It is false for other items.
func (q *Queue) cannotMeetTarget(now clock.Millis, item Item) bool {
	if !item.RefuseIfLate {
		return false
	}
	slack := float64(item.Deadline - now - q.options.serviceTime(item))
	p := q.pool(item.Pool)
	interval := p.predictedInterval(now)
	if slack < 0 || interval == 0 {
		return slack < 0
	}
	allowedAhead := int(slack / interval)
	return p.countAhead(item, allowedAhead+1) > allowedAhead
}

// RetryAfter predicts the time until all items of the pool that are of the item's
// tier or a higher one have left the queue. The result is kept within bounds.
func (q *Queue) RetryAfter(now clock.Millis, item Item) clock.Millis {
	p := q.pool(item.Pool)
	ahead := 0
	for _, g := range p.groups {
		if !item.Class.Tier().HasPriorityOver(g.class.Tier()) {
			ahead += g.len()
		}
	}
	return min(max(p.predictedWait(now, ahead), minRetryAfter), maxRetryAfter)
}

// countAhead counts the items that are served before a new one: all items of higher
// tiers, items of other classes of its tier whose deadline is not later, and items
// of its own class that come first in the rounds of the workspaces. It stops
// counting soon after limit is reached, because each counted item costs time.
func (p *pool) countAhead(item Item, limit int) int {
	n := 0
	for _, g := range p.groups {
		switch {
		case g.class.Tier().HasPriorityOver(item.Class.Tier()):
			n += g.len()
		case g.class == item.Class:
			n += g.countAheadInGroup(item.Workspace)
		case g.class.Tier() == item.Class.Tier():
			n += g.byDeadline.countWhile(limit-n, func(e *queuedItem) bool { return e.Deadline <= item.Deadline })
		}
	}
	return n
}

// countAheadInGroup counts the items of the group that are served before a new last
// item of a workspace. Each other workspace is served at most once in each round.
func (g *group) countAheadInGroup(name string) int {
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
