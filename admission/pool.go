package admission

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

const (
	// starvationInterval is the number of slots of which at most one goes to a
	// starving class.
	starvationInterval = 10
	// passInterval limits how often a slot left to peers counts as a slot of the
	// starvation rule, because Next may be called many times for one free slot.
	// It is the interval of digests.
	passInterval = 500 * clock.Millisecond
	// gapWeight is the weight of one interval in the mean time between slots.
	// Slots often free up in batches, so the mean spans several of them.
	gapWeight = 1.0 / 16
)

// pool is the state of one pool. It stays when nothing waits, because its rates
// do; callers admit only pools that exist.
type pool struct {
	groups []*group
	// free is the number of slots that the caller last reported as free.
	free int
	// sinceStarved counts the slots since one went to a starving class.
	sinceStarved int
	lastPass     clock.Millis
	// owed counts slots that preemption freed for the highest waiting tier.
	owed       int
	preempting map[string]struct{}

	lastGrant clock.Millis
	backlog   bool // something still waited after the last grant
	gap       float64
	measured  bool
}

func newPool() *pool {
	return &pool{
		sinceStarved: starvationInterval - 1,
		lastPass:     -passInterval,
		preempting:   map[string]struct{}{},
	}
}

func (p *pool) group(c class.Class) *group {
	for _, g := range p.groups {
		if g.class == c {
			return g
		}
	}
	g := newGroup(c)
	p.groups = append(p.groups, g)
	return g
}

func (p *pool) remove(e *queued) {
	e.group.remove(e)
	if e.group.len() > 0 {
		return
	}
	last := len(p.groups) - 1
	for i, g := range p.groups {
		if g == e.group {
			p.groups[i] = p.groups[last]
			p.groups[last] = nil
			p.groups = p.groups[:last]
			return
		}
	}
}

// best returns the group that is first in tier and deadline order.
func (p *pool) best() *group {
	var best *group
	for _, g := range p.groups {
		if best == nil || g.before(best) {
			best = g
		}
	}
	return best
}

// starving returns the class that exceeds its starvation bound by the largest
// factor, when the pool may give it a slot now.
func (p *pool) starving(now clock.Millis) *group {
	if p.sinceStarved < starvationInterval-1 || p.owed > 0 {
		return nil
	}
	var worst *group
	for _, g := range p.groups {
		if g.excess(now) <= 1 {
			continue
		}
		if worst == nil || g.excess(now) > worst.excess(now) {
			worst = g
		}
	}
	return worst
}

// excess returns the age of the oldest item as a multiple of the starvation bound.
func (g *group) excess(now clock.Millis) float64 {
	waited := now - g.arrivals.first().Arrived
	return float64(waited) / float64(g.class.StarvationBound())
}

// leaves reports whether the free slots are left to peers, because they have at
// least that much waiting work of higher tiers.
func (p *pool) leaves(name string, tier class.Tier, peers []Demand) bool {
	above := 0
	for _, d := range peers {
		if d.Pool == name && d.Tier.HasPriorityOver(tier) {
			above += d.Waiting
		}
	}
	return above >= max(p.free, 1)
}

// pass counts a slot left to peers for the starvation rule. It may be one that
// preemption freed, which must not block the rule for ever.
func (p *pool) pass(now clock.Millis) {
	if now-p.lastPass < passInterval {
		return
	}
	p.lastPass = now
	p.owed = max(p.owed-1, 0)
	p.sinceStarved++
}

// granted records a slot that was given to an item.
func (p *pool) granted(now clock.Millis, starved bool) {
	p.sinceStarved++
	if starved {
		p.sinceStarved = 0
	}
	p.owed = max(p.owed-1, 0)
	p.free = max(p.free-1, 0)
	p.observe(now)
}

// observe updates the mean time between slots. Only intervals in which work
// waited throughout tell the rate of the servers.
func (p *pool) observe(now clock.Millis) {
	if p.backlog {
		sample := float64(now - p.lastGrant)
		if !p.measured {
			p.gap = sample
		}
		p.measured = true
		p.gap += gapWeight * (sample - p.gap)
	}
	p.lastGrant = now
	p.backlog = len(p.groups) > 0
}

// interval predicts the time between slots, or 0 without a measurement. A pool
// that has stalled predicts at least the length of the stall.
func (p *pool) interval(now clock.Millis) float64 {
	if p.measured && p.backlog {
		return max(p.gap, float64(now-p.lastGrant))
	}
	return p.gap
}

// wait predicts when a slot reaches an item with so many items ahead of it.
func (p *pool) wait(now clock.Millis, ahead int) clock.Millis {
	return clock.Millis(p.interval(now) * float64(ahead))
}

// waitingAt counts the items of a tier.
func (p *pool) waitingAt(tier class.Tier) int {
	n := 0
	for _, g := range p.groups {
		if g.class.Tier() == tier {
			n += g.len()
		}
	}
	return n
}
