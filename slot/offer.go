package slot

import (
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// issuedOffer is an offer that this entry has made as an owner.
type issuedOffer struct {
	Offer
	starving bool // made by the starvation rule, although a higher tier was waiting
}

// unusedOffer is an offer to this entry that none of its requests uses yet.
type unusedOffer struct {
	issuedOffer
	owner      string
	acceptedAt clock.Millis
}

// Offers returns the server of each unused offer that this entry has for a pool,
// sorted by name. A server with several offers is listed several times.
func (t *Table) Offers(now clock.Millis, pool string) []string {
	t.refreshOffers(now)
	var names []string
	for _, offer := range t.unusedOffers {
		if offer.Pool == pool {
			names = append(names, offer.Server)
		}
	}
	slices.Sort(names)
	return names
}

func (t *Table) consumeOffer(i int) {
	offer := t.unusedOffers[i]
	t.unusedOffers = slices.Delete(t.unusedOffers, i, i+1)
	if offer.owner == t.options.Entry {
		t.countOffer(offer.issuedOffer)
	}
}

// countOffer counts an offer for the starvation rule once it can no longer be
// withdrawn.
func (t *Table) countOffer(o issuedOffer) {
	t.offersSinceStarving = lo.Ternary(o.starving, 0, t.offersSinceStarving+1)
}

// refreshOffers drops offers that this entry cannot use and offers the free slots of
// its servers. Offers to itself and offers that were not sent yet are withdrawn and
// made again, because a more urgent request may be waiting by now.
func (t *Table) refreshOffers(now clock.Millis) {
	for _, p := range t.peers {
		p.pendingOffers = slices.DeleteFunc(p.pendingOffers, func(o issuedOffer) bool { return o.Number > p.lastSentOffer })
	}
	t.unusedOffers = slices.DeleteFunc(t.unusedOffers, func(offer unusedOffer) bool { return offer.owner == t.options.Entry })
	t.dropUnusableOffers(now)
	t.offerFreeSlots(now)
}

// dropUnusableOffers drops the unused offers that are older than OfferTimeout or that no
// waiting request of their pool and of their tier or a higher one can use.
func (t *Table) dropUnusableOffers(now clock.Millis) {
	unserved := t.waitingByTier()
	slices.SortStableFunc(t.unusedOffers, func(a, b unusedOffer) int { return int(a.Tier - b.Tier) })
	kept := t.unusedOffers[:0]
	for _, offer := range t.unusedOffers {
		if now-offer.acceptedAt < OfferTimeout && markOneServed(unserved, offer.Pool, offer.Tier) {
			kept = append(kept, offer)
			continue
		}
		t.notifyOwner(offer.Server)
	}
	t.unusedOffers = kept
}

type poolTier struct {
	pool string
	tier class.Tier
}

// waitingByTier returns the number of this entry's waiting requests by pool and tier.
func (t *Table) waitingByTier() map[poolTier]int {
	unserved := map[poolTier]int{}
	for _, d := range t.demands {
		unserved[poolTier{d.Pool, d.Tier}] += d.Waiting
	}
	return unserved
}

// markOneServed subtracts one request of a pool from the numbers of unserved requests.
// It chooses the highest tier with unserved requests, but no tier below lowest, and
// reports whether there was such a request.
func markOneServed(unserved map[poolTier]int, pool string, lowest class.Tier) bool {
	for tier := class.HighestTier; tier <= lowest; tier++ {
		if k := (poolTier{pool, tier}); unserved[k] > 0 {
			unserved[k]--
			return true
		}
	}
	return false
}

// demandsWithoutOffers returns this entry's demands, less the waiting requests that its
// unused offers will serve.
func (t *Table) demandsWithoutOffers() []Demand {
	unserved := t.waitingByTier()
	for _, offer := range t.unusedOffers {
		markOneServed(unserved, offer.Pool, offer.Tier)
	}
	unservedDemands := []Demand{}
	for _, d := range t.demands {
		if d.Waiting = unserved[poolTier{d.Pool, d.Tier}]; d.Waiting > 0 {
			unservedDemands = append(unservedDemands, d)
		}
	}
	return unservedDemands
}
