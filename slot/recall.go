package slot

import (
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// recallForUrgent stops running requests of lower tiers on this entry's servers for
// urgent waiting requests that got no free slot. Slots that are already being freed
// count towards these requests, so that only the rest of them cause recalls.
func (t *Table) recallForUrgent(now clock.Millis, entryDemands []entryDemand) {
	beingFreed := map[string]int{}
	for _, d := range entryDemands {
		if d.Waiting <= 0 || now < d.UrgentAt {
			continue
		}
		if _, ok := beingFreed[d.Pool]; !ok {
			beingFreed[d.Pool] = t.slotsBeingFreed(now, d.Pool)
		}
		for range t.ownRecallCount(now, d.Demand) {
			if beingFreed[d.Pool]--; beingFreed[d.Pool] < 0 && !t.recallOne(now, d) {
				break
			}
		}
	}
}

// ownRecallCount returns the number of waiting requests of a demand for which this
// owner stops running requests. Every entry reports its demand to all owners, so each
// owner of servers of the pool handles an equal part. If the number cannot be divided
// evenly, some owners handle one request more. Which ones these are changes every
// AnswerTimeout and depends on the time left until the deadline, which all of them know.
func (t *Table) ownRecallCount(now clock.Millis, d Demand) int {
	poolOwners := t.poolOwners[d.Pool]
	ownIndex := slices.Index(poolOwners, t.options.Entry)
	if ownIndex < 0 {
		return 0
	}
	ownerCount := len(poolOwners)
	turn := int(max(d.Deadline-now+clock.Hour, 0) / AnswerTimeout)
	return d.Waiting/ownerCount + lo.Ternary((ownIndex+turn)%ownerCount < d.Waiting%ownerCount, 1, 0)
}

// slotsBeingFreed counts the slots of a pool on this entry's servers whose requests
// are being stopped or have been recalled.
func (t *Table) slotsBeingFreed(now clock.Millis, pool string) int {
	count, ownUsage := 0, t.usage(t.options.Entry)
	for _, s := range t.readyServers(now) {
		if !slices.Contains(s.Pools, pool) {
			continue
		}
		for _, p := range t.peers {
			count += p.usage[s.Name].Stopping
			count += lo.CountBy(p.pendingRecalls, func(r Recall) bool { return r.Server == s.Name })
		}
		count += ownUsage[s.Name].Stopping
	}
	return count
}

// recallOne stops one resumable request of a tier below that of the demand, starting
// with the lowest tier. It reports whether it found one.
func (t *Table) recallOne(now clock.Millis, d entryDemand) bool {
	for tier := class.LowestTier; d.Tier.HasPriorityOver(tier); tier-- {
		for _, s := range t.readyServers(now) {
			if slices.Contains(s.Pools, d.Pool) && t.recallFrom(s, tier, d.Tier) {
				return true
			}
		}
	}
	return false
}

// recallFrom stops one resumable request of victimTier on a server, for a waiting request
// of waitingTier: a request of this entry if there is one, else one of a peer. It
// reports whether it found one.
func (t *Table) recallFrom(s *server, victimTier, waitingTier class.Tier) bool {
	r := Recall{Server: s.Name, Tier: waitingTier}
	if t.usage(t.options.Entry)[s.Name].Resumable[victimTier] > 0 {
		return t.chooseRequestToStop(r)
	}
	for _, name := range sortedKeys(t.peers) {
		p := t.peers[name]
		alreadyRecalled := lo.CountBy(p.pendingRecalls, func(r Recall) bool { return r.Server == s.Name })
		if p.usage[s.Name].Resumable[victimTier] > alreadyRecalled {
			t.lastNumber++
			r.Number = t.lastNumber
			p.pendingRecalls, p.messageDue = append(p.pendingRecalls, r), true
			return true
		}
	}
	return false
}

// chooseRequestToStop chooses a resumable request of this entry to stop for a recall:
// one of the lowest tier and, within that tier, the one that was started last. It adds
// the request to requestsToStop and reports whether there was one.
func (t *Table) chooseRequestToStop(r Recall) bool {
	var victim *runningRequest
	for _, candidate := range t.running {
		if candidate.Server != r.Server || candidate.stopping || !candidate.Resumable || !r.Tier.HasPriorityOver(candidate.Tier) {
			continue
		}
		if victim == nil || victim.Tier.HasPriorityOver(candidate.Tier) || candidate.Tier == victim.Tier && candidate.startOrder > victim.startOrder {
			victim = candidate
		}
	}
	if victim == nil {
		return false
	}
	victim.stopping = true
	t.requestsToStop = append(t.requestsToStop, victim.ID)
	t.notifyOwner(r.Server)
	return true
}
