package slot

import (
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// recall asks for running work of lower tiers on this entry's servers to stop
// for urgent work that found no free slot.
func (t *Table) recall(now clock.Millis, claims []claimant) {
	pending := map[string]int{}
	for _, c := range claims {
		if c.Waiting <= 0 || now < c.UrgentAt {
			continue
		}
		if _, ok := pending[c.Pool]; !ok {
			pending[c.Pool] = t.stopping(now, c.Pool)
		}
		for range t.share(now, c.Demand) {
			if pending[c.Pool]--; pending[c.Pool] < 0 && !t.recallOne(now, c) {
				break
			}
		}
	}
}

// share is the part of a demand for which this owner stops work. Every entry
// tells its demand to all owners, so those that own servers of the pool share it.
// The remainder goes to another of them each AnswerTimeout; they take turns by the
// time to the deadline, which they all know.
func (t *Table) share(now clock.Millis, d Demand) int {
	owners := t.owners[d.Pool]
	own := slices.Index(owners, t.options.Entry)
	if own < 0 {
		return 0
	}
	n := len(owners)
	turn := int(max(d.Deadline-now+clock.Hour, 0) / AnswerTimeout)
	return d.Waiting/n + lo.Ternary((own+turn)%n < d.Waiting%n, 1, 0)
}

// stopping counts the slots of a pool that are about to be given back.
func (t *Table) stopping(now clock.Millis, pool string) int {
	count, own := 0, t.uses(t.options.Entry)
	for _, s := range t.owned(now) {
		if !slices.Contains(s.Pools, pool) {
			continue
		}
		for _, p := range t.peers {
			count += p.uses[s.Name].Stopping
			count += lo.CountBy(p.recalls, func(r Recall) bool { return r.Server == s.Name })
		}
		count += own[s.Name].Stopping
	}
	return count
}

// recallOne stops one request of the lowest tier below the claimant's.
func (t *Table) recallOne(now clock.Millis, c claimant) bool {
	for tier := class.LowestTier; c.Tier.HasPriorityOver(tier); tier-- {
		for _, s := range t.owned(now) {
			if slices.Contains(s.Pools, c.Pool) && t.recallFrom(s, tier, c.Tier) {
				return true
			}
		}
	}
	return false
}

func (t *Table) recallFrom(s *server, lowest, above class.Tier) bool {
	r := Recall{Server: s.Name, Tier: above}
	if t.uses(t.options.Entry)[s.Name].Resumable[lowest] > 0 {
		return t.stop(r)
	}
	for _, name := range sortedNames(t.peers) {
		p := t.peers[name]
		asked := lo.CountBy(p.recalls, func(r Recall) bool { return r.Server == s.Name })
		if p.uses[s.Name].Resumable[lowest] > asked {
			t.numbers++
			r.Number = t.numbers
			p.recalls, p.dirty = append(p.recalls, r), true
			return true
		}
	}
	return false
}

// stop marks this entry's request of the lowest tier, then the newest one, as
// leaving.
func (t *Table) stop(r Recall) bool {
	var victim *run
	for _, c := range t.runs {
		if c.Server != r.Server || c.leaving || !c.Resumable || !r.Tier.HasPriorityOver(c.Tier) {
			continue
		}
		if victim == nil || victim.Tier.HasPriorityOver(c.Tier) || c.Tier == victim.Tier && c.order > victim.order {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	victim.leaving = true
	t.victims = append(t.victims, victim.ID)
	t.touch(r.Server)
	return true
}
