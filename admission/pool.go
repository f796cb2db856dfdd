package admission

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

const (
	// starvationInterval limits the starvation rule: at most one in
	// starvationInterval slots goes to a starving class, whose oldest item has waited
	// longer than the starvation bound of the class.
	starvationInterval = 10
	// yieldInterval is the shortest time between two slots yielded to peers that are
	// counted for the starvation rule. Next may be called many times for one free slot,
	// which must not be counted each time. It equals the interval of the digests.
	yieldInterval = 500 * clock.Millisecond
	// meanIntervalWeight is the weight of the latest interval in the moving average
	// of the time between slots. Slots often become free in batches, so the average
	// spans several batches.
	meanIntervalWeight = 1.0 / 16
)

// pool is the state of one pool. It is kept when no item waits, because the measured
// time between slots is still needed. Callers must offer only items of pools that
// exist, since a pool's state is never removed.
type pool struct {
	groups []*group // with waiting items only
	// freeSlots is the number of free slots that the caller last reported.
	freeSlots int
	// slotsSinceStarvation is the number of slots granted or yielded to peers since a
	// starving class last got one.
	slotsSinceStarvation int
	lastYieldAt          clock.Millis // when countYieldedSlot last counted a slot
	// reservedSlots is the number of slots that preemption frees for the highest
	// waiting tier and that were not granted yet.
	reservedSlots  int
	beingPreempted map[string]struct{} // IDs of running requests chosen by Preempt

	lastGrantAt           clock.Millis // when an item last got a slot
	itemsWaitedAfterGrant bool         // items still waited after the last grant
	meanInterval          float64      // moving average of the time between slots, in milliseconds
	intervalMeasured      bool         // meanInterval contains at least one sample
}

func newPool() *pool {
	return &pool{
		slotsSinceStarvation: starvationInterval - 1,
		lastYieldAt:          -yieldInterval,
		beingPreempted:       map[string]struct{}{},
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

func (p *pool) remove(e *queuedItem) {
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

// topGroup returns the group that is first by tier and deadline, or nil if no item
// waits.
func (p *pool) topGroup() *group {
	var topGroup *group
	for _, g := range p.groups {
		if topGroup == nil || g.before(topGroup) {
			topGroup = g
		}
	}
	return topGroup
}

// starvingGroup returns the group whose class exceeds its starvation bound by the
// largest factor. It returns nil if there is none, or if the starvation rule allows
// no slot now.
func (p *pool) starvingGroup(now clock.Millis) *group {
	if p.slotsSinceStarvation < starvationInterval-1 || p.reservedSlots > 0 {
		return nil
	}
	var mostStarving *group
	for _, g := range p.groups {
		if g.starvationRatio(now) <= 1 {
			continue
		}
		if mostStarving == nil || g.starvationRatio(now) > mostStarving.starvationRatio(now) {
			mostStarving = g
		}
	}
	return mostStarving
}

// starvationRatio returns the age of the oldest item as a multiple of the starvation
// bound of its class.
func (g *group) starvationRatio(now clock.Millis) float64 {
	waited := now - g.byArrival.first().Arrived
	return float64(waited) / float64(g.class.StarvationBound())
}

// yieldsToPeers reports whether all free slots of the pool are yielded to peers, because
// at least as many requests of higher tiers wait at them.
func (p *pool) yieldsToPeers(name string, tier class.Tier, peers []Demand) bool {
	higherTierWaiting := 0
	for _, d := range peers {
		if d.Pool == name && d.Tier.HasPriorityOver(tier) {
			higherTierWaiting += d.Waiting
		}
	}
	return higherTierWaiting >= max(p.freeSlots, 1)
}

// countYieldedSlot counts, for the starvation rule, a slot that is yielded to peers.
// The slot may be one that preemption freed, so a reserved slot is released too:
// otherwise it would block the starvation rule forever.
func (p *pool) countYieldedSlot(now clock.Millis) {
	if now-p.lastYieldAt < yieldInterval {
		return
	}
	p.lastYieldAt = now
	p.reservedSlots = max(p.reservedSlots-1, 0)
	p.slotsSinceStarvation++
}

// recordGrant records that an item got a slot. The parameter byStarvationRule says
// whether the starvation rule gave it the slot.
func (p *pool) recordGrant(now clock.Millis, byStarvationRule bool) {
	p.slotsSinceStarvation++
	if byStarvationRule {
		p.slotsSinceStarvation = 0
	}
	p.reservedSlots = max(p.reservedSlots-1, 0)
	p.freeSlots = max(p.freeSlots-1, 0)
	p.updateMeanInterval(now)
}

// updateMeanInterval updates the mean time between slots. It ignores intervals in which
// the queue was empty, because only the others show how fast the servers free slots.
func (p *pool) updateMeanInterval(now clock.Millis) {
	if p.itemsWaitedAfterGrant {
		sample := float64(now - p.lastGrantAt)
		if !p.intervalMeasured {
			p.meanInterval = sample
		}
		p.intervalMeasured = true
		p.meanInterval += meanIntervalWeight * (sample - p.meanInterval)
	}
	p.lastGrantAt = now
	p.itemsWaitedAfterGrant = len(p.groups) > 0
}

// predictedInterval returns the predicted time between slots in milliseconds, or 0 if
// it was not measured yet. If no slot was granted for longer than the mean while items
// waited, it returns that longer time.
func (p *pool) predictedInterval(now clock.Millis) float64 {
	if p.intervalMeasured && p.itemsWaitedAfterGrant {
		return max(p.meanInterval, float64(now-p.lastGrantAt))
	}
	return p.meanInterval
}

// predictedWait returns the predicted time until an item gets a slot, given the number
// of items ahead of it.
func (p *pool) predictedWait(now clock.Millis, ahead int) clock.Millis {
	return clock.Millis(p.predictedInterval(now) * float64(ahead))
}

// waitingInTier returns the number of waiting items of a tier.
func (p *pool) waitingInTier(tier class.Tier) int {
	n := 0
	for _, g := range p.groups {
		if g.class.Tier() == tier {
			n += g.len()
		}
	}
	return n
}
