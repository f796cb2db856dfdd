package admission

import "github.com/galenaslip/galenaslip/clock"

// urgentTargetDivisor determines when a running request is preempted: when the time
// between the expected grant of a slot and the deadline is less than the latency target
// divided by urgentTargetDivisor. Half of the target leaves time to cancel the
// preempted request and to prefill.
const urgentTargetDivisor = 2

// Preempt chooses a running request of a pool without free slots that gives up its
// slot to a waiting item of a higher tier. Requests that were chosen before and still
// run are counted, so that each waiting item stops at most one running request. The
// caller must cancel the chosen request and queue it again with Requeue.
func (q *Queue) Preempt(now clock.Millis, pool string, running []RunningRequest) (id string, ok bool) {
	p := q.pool(pool)
	p.forgetFinished(running)
	topGroup := p.topGroup()
	if topGroup == nil || !p.isUrgent(now, topGroup) {
		return "", false
	}
	if len(p.beingPreempted) >= p.waitingInTier(topGroup.class.Tier()) {
		return "", false
	}
	victim, ok := p.victim(topGroup, running)
	if !ok {
		return "", false
	}
	p.beingPreempted[victim.ID] = struct{}{}
	p.reservedSlots++
	return victim.ID, true
}

// isUrgent reports whether the waiting items of the group's tier would wait too long
// for slots that become free without preemption. It returns true until the time between
// slots has been measured.
func (p *pool) isUrgent(now clock.Millis, g *group) bool {
	if !p.intervalMeasured {
		return true
	}
	slotTime := now + p.predictedWait(now, p.waitingInTier(g.class.Tier()))
	return g.byDeadline.first().Deadline-slotTime < g.class.Target()/urgentTargetDivisor
}

// forgetFinished removes requests that no longer run from beingPreempted.
func (p *pool) forgetFinished(running []RunningRequest) {
	if len(p.beingPreempted) == 0 {
		return
	}
	remaining := map[string]struct{}{}
	for _, r := range running {
		if _, ok := p.beingPreempted[r.ID]; ok {
			remaining[r.ID] = struct{}{}
		}
	}
	p.beingPreempted = remaining
}

// victim chooses the request to preempt for a group. It skips requests that are
// already being preempted, once-only calls, requests that got their slot by the
// starvation rule, and requests that are not of a lower tier than the group.
func (p *pool) victim(waiting *group, running []RunningRequest) (RunningRequest, bool) {
	var victim RunningRequest
	found := false
	for _, r := range running {
		_, chosen := p.beingPreempted[r.ID]
		if chosen || r.OnceOnly || r.ByStarvationRule || !waiting.class.Tier().HasPriorityOver(r.Class.Tier()) {
			continue
		}
		if !found || r.preemptedBefore(victim) {
			victim, found = r, true
		}
	}
	return victim, found
}

// preemptedBefore prefers requests that can resume with the tokens they have produced,
// then the lowest tier, then the fewest tokens lost, then the latest start.
func (r RunningRequest) preemptedBefore(other RunningRequest) bool {
	switch {
	case r.Resumable != other.Resumable:
		return r.Resumable
	case r.Class.Tier() != other.Class.Tier():
		return other.Class.Tier().HasPriorityOver(r.Class.Tier())
	case !r.Resumable && r.ProducedTokens != other.ProducedTokens:
		return r.ProducedTokens < other.ProducedTokens
	case r.Started != other.Started:
		return r.Started > other.Started
	}
	return r.ID < other.ID
}
