package slot

import (
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// updateLearning clears the learning flag of a server that this entry has become
// the owner of. Learning ends when all entries have reported which slots they use,
// or after LearnTimeout.
func (t *Table) updateLearning(now clock.Millis, s *server) {
	if s.learning && (now-s.ownerSince >= LearnTimeout || t.allReported(s.ownerSince)) {
		s.learning = false
	}
}

// allReported reports whether every entry with a lease, and every other live peer,
// has sent a message at or after the given time and agrees with this entry on which
// entries hold a lease.
func (t *Table) allReported(since clock.Millis) bool {
	for name, p := range t.peers {
		leased := slices.Contains(t.entries, name)
		if leased && !p.live || p.live && (p.entriesHash != t.entriesHash || p.lastReceivedAt < since) {
			return false
		}
	}
	return true
}

// readyServers returns the servers of this entry that are not learning any more, so
// that their slots can be offered, sorted by name.
func (t *Table) readyServers(now clock.Millis) []*server {
	return lo.Filter(t.ownedServers, func(s *server, _ int) bool {
		t.updateLearning(now, s)
		return !s.learning
	})
}

func (t *Table) readyServerNames(now clock.Millis) []string {
	return lo.Map(t.readyServers(now), func(s *server, _ int) string { return s.Name })
}

// freeSlots returns the number of slots of a server that no request uses and that
// are not offered to any entry. It is negative if the server is overcommitted.
func (t *Table) freeSlots(s *server) int {
	freeSlots := s.Slots - s.usedSlots
	for _, h := range t.unusedOffer {
		if h.Server == s.Name {
			freeSlots--
		}
	}
	for _, p := range t.peers {
		freeSlots -= p.usage[s.Name].Slots
		for _, o := range p.pendingOffers {
			if o.Server == s.Name {
				freeSlots--
			}
		}
	}
	return freeSlots
}

// claimant is the demand of one entry for one pool and tier during one round of
// offers.
type claimant struct {
	peer *peer // nil for this entry
	Demand
}

// before orders claimants by tier, then by deadline. Among equal ones, this entry
// comes first, because an offer to it needs no message, then the names decide.
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

// sortedClaimants returns the demand of all entries that has not been offered a slot
// yet, in the order in which it is served.
func (t *Table) sortedClaimants() []claimant {
	list := lo.Map(t.uncoveredDemands(), func(d Demand, _ int) claimant { return claimant{nil, d} })
	for _, p := range t.peers {
		offered := lo.CountValuesBy(p.pendingOffers, func(o issuedOffer) poolTier { return poolTier{o.Pool, o.Tier} })
		for _, d := range p.demands {
			d.Waiting -= offered[poolTier{d.Pool, d.Tier}]
			list = append(list, claimant{p, d})
		}
	}
	list = slices.DeleteFunc(list, func(c claimant) bool { return c.Waiting <= 0 })
	slices.SortFunc(list, func(a, b claimant) int { return lo.Ternary(a.before(b), -1, 1) })
	return list
}

// offerFreeSlots offers the free slots of this entry's servers to waiting requests,
// then recalls slots for urgent requests that got none.
func (t *Table) offerFreeSlots(now clock.Millis) {
	claims := t.sortedClaimants()
	if len(claims) == 0 {
		return
	}
	freeServers := t.freeServersByPool(now)
	offersSinceStarving := t.offersSinceStarving
	for {
		c, starving := t.nextClaimant(now, claims, freeServers, offersSinceStarving)
		if c == nil {
			break
		}
		offersSinceStarving = lo.Ternary(starving, 0, offersSinceStarving+1)
		t.makeOffer(now, c, freeServers, starving)
	}
	t.recallForUrgent(now, claims)
}

// freeServer is a server with the number of its slots that are still free.
type freeServer struct {
	server    *server
	freeSlots int
}

func (t *Table) freeServersByPool(now clock.Millis) map[string][]*freeServer {
	pools := map[string][]*freeServer{}
	for _, s := range t.readyServers(now) {
		if freeSlots := t.freeSlots(s); freeSlots > 0 {
			f := &freeServer{server: s, freeSlots: freeSlots}
			for _, pool := range s.Pools {
				pools[pool] = append(pools[pool], f)
			}
		}
	}
	return pools
}

func mostFree(candidates []*freeServer) *freeServer {
	var best *freeServer
	for _, f := range candidates {
		if f.freeSlots > 0 && (best == nil || f.freeSlots > best.freeSlots) {
			best = f
		}
	}
	return best
}

// nextClaimant returns the claimant that gets the next slot, or nil if no waiting
// request can use a free slot. That is the first claimant in order, but one in
// StarvationInterval offers goes to a claimant past its starvation bound.
func (t *Table) nextClaimant(now clock.Millis, claims []claimant, freeServers map[string][]*freeServer, offersSinceStarving int) (c *claimant, starving bool) {
	var firstServable *claimant
	for i := range claims {
		c := &claims[i]
		if c.Waiting <= 0 || mostFree(freeServers[c.Pool]) == nil {
			continue
		}
		if firstServable == nil {
			firstServable = c
		}
		if offersSinceStarving+1 >= StarvationInterval && now >= c.StarveAt && firstServable.Tier.HasPriorityOver(c.Tier) {
			return c, true
		}
	}
	return firstServable, false
}

// makeOffer offers a claimant a slot of the server of its pool with the most free slots.
func (t *Table) makeOffer(now clock.Millis, c *claimant, freeSlots map[string][]*freeServer, starving bool) {
	f := mostFree(freeSlots[c.Pool])
	f.freeSlots--
	c.Waiting--
	t.lastNumber++
	o := issuedOffer{Offer{Number: t.lastNumber, Server: f.server.Name, Pool: c.Pool, Tier: c.Tier}, starving}
	if c.peer == nil {
		t.unusedOffer = append(t.unusedOffer, unusedOffer{issuedOffer: o, owner: t.options.Entry, acceptedAt: now})
		return
	}
	c.peer.pendingOffers = append(c.peer.pendingOffers, o)
}
