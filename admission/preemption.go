package admission

import "github.com/galenaslip/galenaslip/clock"

// urgentShare is the divisor of the target: work is preempted when less than
// half of the target would be left after the expected wait, which leaves time
// to cancel the victim and to prefill.
const urgentShare = 2

// Preempt chooses running work of a pool without free slots to give up its slot
// to waiting work of a higher tier. Work chosen before that still runs counts
// against the waiting work, so that one waiting item stops one running request.
// The caller cancels the chosen work and queues it again with Requeue.
func (q *Queue) Preempt(now clock.Millis, pool string, running []Running) (id string, ok bool) {
	p := q.pool(pool)
	p.forgetFinished(running)
	best := p.best()
	if best == nil || !p.urgent(now, best) {
		return "", false
	}
	if len(p.preempting) >= p.waitingAt(best.class.Tier()) {
		return "", false
	}
	victim, ok := p.victim(best, running)
	if !ok {
		return "", false
	}
	p.preempting[victim.ID] = struct{}{}
	p.owed++
	return victim.ID, true
}

// urgent reports whether the waiting work of the group's tier would wait too
// long for slots that free up by themselves. Without a measured rate it would.
func (p *pool) urgent(now clock.Millis, g *group) bool {
	if !p.measured {
		return true
	}
	slot := now + p.wait(now, p.waitingAt(g.class.Tier()))
	return g.deadlines.first().Deadline-slot < g.class.Target()/urgentShare
}

func (p *pool) forgetFinished(running []Running) {
	if len(p.preempting) == 0 {
		return
	}
	still := map[string]struct{}{}
	for _, r := range running {
		if _, ok := p.preempting[r.ID]; ok {
			still[r.ID] = struct{}{}
		}
	}
	p.preempting = still
}

func (p *pool) victim(waiting *group, running []Running) (Running, bool) {
	var victim Running
	found := false
	for _, r := range running {
		_, chosen := p.preempting[r.ID]
		if chosen || r.OnceOnly || r.ByStarvationRule || !waiting.class.Tier().HasPriorityOver(r.Class.Tier()) {
			continue
		}
		if !found || r.preemptedBefore(victim) {
			victim, found = r, true
		}
	}
	return victim, found
}

// preemptedBefore prefers work that resumes with its tokens kept, then the
// lowest tier, then the least work lost, then the latest start.
func (r Running) preemptedBefore(other Running) bool {
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
