package slot

import (
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// freeSlots returns the number of slots of a server that no request uses and that
// are not offered to any entry. It is negative if the server is overcommitted.
func (t *Table) freeSlots(s *server) int {
	freeSlots := s.Slots - s.usedSlots
	for _, offer := range t.unusedOffers {
		if offer.Server == s.Name {
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

// entryDemand is the demand of one entry for one pool and tier. Waiting decreases with
// each offer that is made for it.
type entryDemand struct {
	peer *peer // entry that the requests wait at; nil for this entry
	Demand
}

// before orders demands by tier, then by deadline. Among equal ones, that of this entry
// comes first, because an offer to it needs no message; the others are ordered by the
// name of the entry.
func (d entryDemand) before(other entryDemand) bool {
	switch {
	case d.Tier != other.Tier:
		return d.Tier.HasPriorityOver(other.Tier)
	case d.Deadline != other.Deadline:
		return d.Deadline < other.Deadline
	case d.peer == nil || other.peer == nil:
		return d.peer == nil
	}
	return d.peer.name < other.peer.name
}

// sortedEntryDemands returns the demands of all entries in the order in which they are
// served, without the waiting requests that slots have already been offered for.
func (t *Table) sortedEntryDemands() []entryDemand {
	list := lo.Map(t.demandsWithoutOffers(), func(d Demand, _ int) entryDemand { return entryDemand{nil, d} })
	for _, p := range t.peers {
		offered := lo.CountValuesBy(p.pendingOffers, func(o issuedOffer) poolTier { return poolTier{o.Pool, o.Tier} })
		for _, d := range p.demands {
			d.Waiting -= offered[poolTier{d.Pool, d.Tier}]
			list = append(list, entryDemand{p, d})
		}
	}
	list = slices.DeleteFunc(list, func(e entryDemand) bool { return e.Waiting <= 0 })
	slices.SortFunc(list, func(a, b entryDemand) int { return lo.Ternary(a.before(b), -1, 1) })
	return list
}

// offerFreeSlots offers the free slots of this entry's servers to waiting requests,
// then recalls slots for urgent requests that got none.
func (t *Table) offerFreeSlots(now clock.Millis) {
	entryDemands := t.sortedEntryDemands()
	if len(entryDemands) == 0 {
		return
	}
	freeServers := t.freeServersByPool(now)
	offersSinceStarving := t.offersSinceStarving
	for {
		d, starving := t.nextToServe(now, entryDemands, freeServers, offersSinceStarving)
		if d == nil {
			break
		}
		offersSinceStarving = lo.Ternary(starving, 0, offersSinceStarving+1)
		t.makeOffer(now, d, freeServers, starving)
	}
	t.recallForUrgent(now, entryDemands)
}

// freeServer is a server with the number of its slots that are still free.
type freeServer struct {
	server    *server
	freeSlots int
}

// freeServersByPool returns the servers of this entry with free slots, by pool.
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

// mostFree returns the server with the most free slots, or nil if none has a free slot.
func mostFree(candidates []*freeServer) *freeServer {
	var best *freeServer
	for _, f := range candidates {
		if f.freeSlots > 0 && (best == nil || f.freeSlots > best.freeSlots) {
			best = f
		}
	}
	return best
}

// nextToServe returns the demand that gets the next slot, or nil if no waiting request
// can use a free slot. It returns the first demand in order whose pool has a free slot.
// As an exception, at most one in StarvationInterval offers goes to a demand of a lower
// tier whose StarvesAt has passed, so that it does not starve; the result starving is
// then true.
func (t *Table) nextToServe(now clock.Millis, entryDemands []entryDemand, freeServers map[string][]*freeServer, offersSinceStarving int) (d *entryDemand, starving bool) {
	var firstServable *entryDemand
	for i := range entryDemands {
		d := &entryDemands[i]
		if d.Waiting <= 0 || mostFree(freeServers[d.Pool]) == nil {
			continue
		}
		if firstServable == nil {
			firstServable = d
		}
		if offersSinceStarving+1 >= StarvationInterval && now >= d.StarvesAt && firstServable.Tier.HasPriorityOver(d.Tier) {
			return d, true
		}
	}
	return firstServable, false
}

// makeOffer offers a slot for a demand, on the server of its pool with the most free
// slots. The parameter freeSlots holds the result of freeServersByPool, and starving says
// that the starvation rule chose the demand.
func (t *Table) makeOffer(now clock.Millis, d *entryDemand, freeSlots map[string][]*freeServer, starving bool) {
	f := mostFree(freeSlots[d.Pool])
	f.freeSlots--
	d.Waiting--
	t.lastNumber++
	o := issuedOffer{Offer{Number: t.lastNumber, Server: f.server.Name, Pool: d.Pool, Tier: d.Tier}, starving}
	if d.peer == nil {
		t.unusedOffers = append(t.unusedOffers, unusedOffer{issuedOffer: o, owner: t.options.Entry, acceptedAt: now})
		return
	}
	d.peer.pendingOffers = append(d.peer.pendingOffers, o)
}
