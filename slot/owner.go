package slot

import (
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// learn ends the learning of a new owner once every entry with a lease has
// reported under the same view, or the bound has passed.
func (t *Table) learn(now clock.Millis, s *server) {
	if s.learning && (now-s.since >= LearnTimeout || t.allReported(s.since)) {
		s.learning = false
	}
}

// allReported reports whether all entries agree on who holds a lease and have
// told what they use since then.
func (t *Table) allReported(since clock.Millis) bool {
	for name, p := range t.peers {
		leased := slices.Contains(t.entries, name)
		if leased && !p.known || p.known && (p.view != t.view || p.heardAt < since) {
			return false
		}
	}
	return true
}

// owned returns the servers that this entry hands out, in order of their names.
func (t *Table) owned(now clock.Millis) []*server {
	return lo.Filter(t.mine, func(s *server, _ int) bool {
		t.learn(now, s)
		return !s.learning
	})
}

func (t *Table) readyServers(now clock.Millis) []string {
	return lo.Map(t.owned(now), func(s *server, _ int) string { return s.Name })
}

// free returns the slots of a server that nobody uses, holds or is offered.
func (t *Table) free(s *server) int {
	free := s.Slots - s.used
	for _, h := range t.held {
		if h.Server == s.Name {
			free--
		}
	}
	for _, p := range t.peers {
		free -= p.uses[s.Name].Slots
		for _, o := range p.offers {
			if o.Server == s.Name {
				free--
			}
		}
	}
	return free
}

// claimant is demand of one entry during one round of offers.
type claimant struct {
	peer *peer // nil for this entry
	Demand
}

// before orders claimants by tier, then deadline. Ties go to this entry, which
// needs no message, then by name.
func (c claimant) before(other claimant) bool {
	switch {
	case c.Tier != other.Tier:
		return c.Tier.HasPriorityOver(other.Tier)
	case c.Deadline != other.Deadline:
		return c.Deadline < other.Deadline
	case c.peer == nil || other.peer == nil:
		return c.peer == nil
	}
	return c.peer.name < other.peer.name
}

// claimants returns what waits anywhere and is not offered a slot yet, the most
// urgent first.
func (t *Table) claimants() []claimant {
	list := lo.Map(t.netDemands(), func(d Demand, _ int) claimant { return claimant{nil, d} })
	for _, p := range t.peers {
		offered := lo.CountValuesBy(p.offers, func(o promise) poolTier { return poolTier{o.Pool, o.Tier} })
		for _, d := range p.demands {
			d.Waiting -= offered[poolTier{d.Pool, d.Tier}]
			list = append(list, claimant{p, d})
		}
	}
	list = slices.DeleteFunc(list, func(c claimant) bool { return c.Waiting <= 0 })
	slices.SortFunc(list, func(a, b claimant) int { return lo.Ternary(a.before(b), -1, 1) })
	return list
}

// handOut offers the free slots of this entry's servers.
func (t *Table) handOut(now clock.Millis) {
	claims := t.claimants()
	if len(claims) == 0 {
		return
	}
	free := t.freeByPool(now)
	streak := t.streak
	for {
		c, starving := t.next(now, claims, free, streak)
		if c == nil {
			break
		}
		streak = lo.Ternary(starving, 0, streak+1)
		t.offer(now, c, free, starving)
	}
	t.recall(now, claims)
}

// room is a server with free slots.
type room struct {
	server *server
	free   int
}

func (t *Table) freeByPool(now clock.Millis) map[string][]*room {
	pools := map[string][]*room{}
	for _, s := range t.owned(now) {
		if free := t.free(s); free > 0 {
			r := &room{server: s, free: free}
			for _, pool := range s.Pools {
				pools[pool] = append(pools[pool], r)
			}
		}
	}
	return pools
}

func mostFree(rooms []*room) *room {
	var best *room
	for _, r := range rooms {
		if r.free > 0 && (best == nil || r.free > best.free) {
			best = r
		}
	}
	return best
}

// next returns the claimant of the next slot: the first one, except that one
// offer in StarvationInterval goes to work past its starvation bound.
func (t *Table) next(now clock.Millis, claims []claimant, free map[string][]*room, streak int) (c *claimant, starving bool) {
	var first *claimant
	for i := range claims {
		c := &claims[i]
		if c.Waiting <= 0 || mostFree(free[c.Pool]) == nil {
			continue
		}
		if first == nil {
			first = c
		}
		if streak+1 >= StarvationInterval && now >= c.StarveAt && first.Tier.HasPriorityOver(c.Tier) {
			return c, true
		}
	}
	return first, false
}

func (t *Table) offer(now clock.Millis, c *claimant, free map[string][]*room, starving bool) {
	r := mostFree(free[c.Pool])
	r.free--
	c.Waiting--
	t.numbers++
	o := promise{Offer{Number: t.numbers, Server: r.server.Name, Pool: c.Pool, Tier: c.Tier}, starving}
	if c.peer == nil {
		t.held = append(t.held, held{promise: o, owner: t.options.Entry, at: now})
		return
	}
	c.peer.offers = append(c.peer.offers, o)
}
