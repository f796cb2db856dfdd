package slot

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

type runningRequest struct {
	Run
	offeredBy  string // entry that offered the slot, or "" if there was no offer
	startOrder uint64 // increases with each recorded request
	stopping   bool   // was chosen to be stopped for a recall
}

// Start records that a request of a pool runs on a server, and uses up an offer of
// the server for the pool if there is one. It records nothing and returns false if
// the server needs an offer and there is none, or if the request is recorded already.
func (t *Table) Start(now clock.Millis, pool string, r Run) bool {
	if _, ok := t.running[r.ID]; ok {
		return false
	}
	i := slices.IndexFunc(t.unusedOffers, func(offer unusedOffer) bool {
		return offer.Server == r.Server && offer.Pool == pool && now-offer.acceptedAt < OfferTimeout
	})
	if i < 0 && t.Mode(now, r.Server) == ModeGranted {
		return false
	}
	offeredBy := ""
	if i >= 0 {
		offeredBy = t.unusedOffers[i].owner
		t.consumeOffer(i)
	}
	t.recordStart(r, offeredBy)
	return true
}

// RecordRunning records a request that already runs on a server and was started without
// an offer to this entry.
func (t *Table) RecordRunning(r Run) {
	if _, ok := t.running[r.ID]; !ok {
		t.recordStart(r, "")
	}
}

func (t *Table) recordStart(r Run, offeredBy string) {
	t.startCount++
	started := &runningRequest{Run: r, offeredBy: offeredBy, startOrder: t.startCount}
	t.running[r.ID] = started
	if s, ok := t.servers[r.Server]; ok {
		s.usedSlots++
	}
	t.notifyOwners(started)
}

// End records that a request no longer uses its slot.
func (t *Table) End(now clock.Millis, id string) {
	r, ok := t.running[id]
	if !ok {
		return
	}
	delete(t.running, id)
	if s, ok := t.servers[r.Server]; ok {
		s.usedSlots--
	}
	t.notifyOwners(r)
	t.refreshOffers(now)
}

func (t *Table) countRunningOn(name string) int {
	return lo.CountBy(lo.Values(t.running), func(r *runningRequest) bool { return r.Server == name })
}

// TakeRequestsToStop returns the IDs of the requests that this entry must stop for
// recalls. Each ID is returned only once.
func (t *Table) TakeRequestsToStop() []string {
	requestsToStop := t.requestsToStop
	t.requestsToStop = nil
	return requestsToStop
}

// usage returns the slots that this entry uses, by server, as it reports them to an
// owner. It includes the owner's servers, and requests on other servers if this owner
// offered the slot.
func (t *Table) usage(owner string) map[string]ServerUsage {
	usage := map[string]ServerUsage{}
	for _, r := range t.running {
		if s, ok := t.servers[r.Server]; r.offeredBy == owner || ok && s.owner == owner {
			usage[r.Server] = usage[r.Server].add(r)
		}
	}
	for _, offer := range t.unusedOffers {
		if s, ok := t.servers[offer.Server]; ok && s.owner == owner {
			u := usage[offer.Server]
			u.Slots++
			usage[offer.Server] = u
		}
	}
	return usage
}

func (u ServerUsage) add(r *runningRequest) ServerUsage {
	u.Slots++
	switch {
	case r.stopping:
		u.Stopping++
	case r.Resumable:
		u.Resumable = maps.Clone(u.Resumable)
		if u.Resumable == nil {
			u.Resumable = map[class.Tier]int{}
		}
		u.Resumable[r.Tier]++
	}
	return u
}
