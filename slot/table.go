package slot

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// Table tracks the slots of all servers for one entry. It is not safe for concurrent
// use.
type Table struct {
	options             Options
	entries             []string // entries that hold a lease, this one included, sorted
	entriesHash         uint64   // hash of entries, which peers compare with their own
	servers             map[string]*server
	peers               map[string]*peer
	demands             []Demand                   // demands of this entry's waiting requests
	running             map[string]*runningRequest // running requests of this entry, by request ID
	unusedOffer         []unusedOffer              // offers to this entry, from itself and from peers, that no request uses yet
	requestsToStop      []string                   // IDs of requests to stop, until TakeRequestsToStop returns them
	ownedServers        []*server                  // servers that this entry owns, sorted by name
	poolOwners          map[string][]string        // by pool, the owners of its servers with slots, sorted
	sequence            uint64                     // sequence number of the last message sent
	startCount          uint64                     // number of requests that were recorded as started so far
	lastNumber          uint64                     // last number given to an offer or recall
	offersSinceStarving int                        // offers since the last one made by the starvation rule
}

type server struct {
	Server
	owner        string
	usageUnknown bool         // the owner has changed and may not know all used slots yet
	ownerSince   clock.Millis // when owner last changed
	usedSlots    int          // running requests of this entry
}

type runningRequest struct {
	Run
	offeredBy  string // entry that offered the slot, or "" if there was no offer
	startOrder uint64 // increases with each recorded request
	stopping   bool   // was chosen to be stopped for a recall
}

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

// New returns a table without servers and entries.
func New(options Options) *Table {
	return &Table{options: options, servers: map[string]*server{}, peers: map[string]*peer{}, running: map[string]*runningRequest{}}
}

// SetEntries sets the entries that hold a lease, this one included. Without any, no
// server has an owner, and all servers are in mode ModeShared.
func (t *Table) SetEntries(now clock.Millis, names []string) {
	names = slices.Clone(names)
	slices.Sort(names)
	names = slices.Compact(names)
	if slices.Equal(names, t.entries) {
		return
	}
	t.entries, t.entriesHash = names, hashEntries(names)
	for _, name := range names {
		if name != t.options.Entry {
			t.peer(name).messageDue = true
		}
	}
	t.assignOwners(now)
}

// SetServers sets the usable servers. A server that is not in the list is not
// offered. Its running requests stay recorded and count again when it returns.
func (t *Table) SetServers(now clock.Millis, list []Server) {
	previous := t.servers
	t.servers = make(map[string]*server, len(list))
	for _, in := range list {
		s, ok := previous[in.Name]
		if !ok {
			s = &server{usedSlots: t.countRunningOn(in.Name)}
		}
		s.Server = in
		t.servers[in.Name] = s
	}
	t.assignOwners(now)
}

func (t *Table) countRunningOn(name string) int {
	return lo.CountBy(lo.Values(t.running), func(r *runningRequest) bool { return r.Server == name })
}

func (t *Table) assignOwners(now clock.Millis) {
	t.ownedServers, t.poolOwners = nil, map[string][]string{}
	for _, name := range sortedKeys(t.servers) {
		s := t.servers[name]
		t.assignOwner(now, s)
		if s.owner == t.options.Entry {
			t.ownedServers = append(t.ownedServers, s)
		}
		t.addPoolOwner(s)
	}
}

// addPoolOwner adds the owner of a server to poolOwners for each of the server's
// pools, unless the server has no slots.
func (t *Table) addPoolOwner(s *server) {
	if s.owner == "" || s.Slots == 0 {
		return
	}
	for _, pool := range s.Pools {
		poolOwners := t.poolOwners[pool]
		if i, ok := slices.BinarySearch(poolOwners, s.owner); !ok {
			t.poolOwners[pool] = slices.Insert(poolOwners, i, s.owner)
		}
	}
}

// assignOwner recomputes the owner of a server. If it changes, unused offers of the
// server are dropped. Offers that this entry made to peers still count as used slots
// until the peers have acknowledged them.
func (t *Table) assignOwner(now clock.Millis, s *server) {
	owner := Owner(t.entries, s.Name)
	if owner == s.owner {
		return
	}
	s.owner, s.ownerSince, s.usageUnknown = owner, now, true
	t.unusedOffer = slices.DeleteFunc(t.unusedOffer, func(offer unusedOffer) bool { return offer.Server == s.Name })
	t.notifyOwner(s.Name)
}

// SetDemand sets the demand of this entry's waiting requests.
func (t *Table) SetDemand(now clock.Millis, demands []Demand) {
	if slices.Equal(t.demands, demands) {
		return
	}
	t.demands = slices.Clone(demands)
	t.refreshOffers(now)
}

// Owner returns the entry that owns a server, or "" if there are no entries. It uses
// rendezvous hashing: when an entry leaves, only the servers that it owned get
// another owner.
func Owner(entries []string, server string) string {
	owner, best := "", uint64(0)
	for _, e := range entries {
		if weight := xxhash.Sum64String(e + "\x00" + server); owner == "" || weight > best {
			owner, best = e, weight
		}
	}
	return owner
}

func hashEntries(entries []string) uint64 {
	d := xxhash.New()
	for _, e := range entries {
		_, _ = d.WriteString(e + "\x00")
	}
	return d.Sum64()
}

// Mode returns whether this entry needs an offer to use a server now.
func (t *Table) Mode(now clock.Millis, name string) Mode {
	s, ok := t.servers[name]
	if !ok {
		return ModeShared
	}
	if s.owner == t.options.Entry {
		t.markUsageKnown(now, s)
		if s.usageUnknown {
			return ModeShared
		}
		return ModeGranted
	}
	p := t.peers[s.owner]
	if p == nil || p.unresponsive(now) || !p.readyServers[name] {
		return ModeShared
	}
	return ModeGranted
}

// Offers returns the server of each unused offer that this entry has for a pool,
// sorted by name. A server with several offers is listed several times.
func (t *Table) Offers(now clock.Millis, pool string) []string {
	t.refreshOffers(now)
	var names []string
	for _, offer := range t.unusedOffer {
		if offer.Pool == pool {
			names = append(names, offer.Server)
		}
	}
	slices.Sort(names)
	return names
}

// Start records that a request of a pool runs on a server, and uses up an offer of
// the server for the pool if there is one. It records nothing and returns false if
// the server needs an offer and there is none, or if the request is recorded already.
func (t *Table) Start(now clock.Millis, pool string, r Run) bool {
	if _, ok := t.running[r.ID]; ok {
		return false
	}
	i := slices.IndexFunc(t.unusedOffer, func(offer unusedOffer) bool {
		return offer.Server == r.Server && offer.Pool == pool && now-offer.acceptedAt < OfferTimeout
	})
	if i < 0 && t.Mode(now, r.Server) == ModeGranted {
		return false
	}
	offeredBy := ""
	if i >= 0 {
		offeredBy = t.unusedOffer[i].owner
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

func (t *Table) consumeOffer(i int) {
	offer := t.unusedOffer[i]
	t.unusedOffer = slices.Delete(t.unusedOffer, i, i+1)
	if offer.owner == t.options.Entry {
		t.countOffer(offer.issuedOffer)
	}
}

// countOffer counts an offer for the starvation rule once it can no longer be
// withdrawn.
func (t *Table) countOffer(o issuedOffer) {
	t.offersSinceStarving = lo.Ternary(o.starving, 0, t.offersSinceStarving+1)
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

// notifyOwners schedules a message about a request to the owner of its server and to
// the entry that offered the slot. The latter may have lost the server without
// knowing it yet.
func (t *Table) notifyOwners(r *runningRequest) {
	t.notifyOwner(r.Server)
	if r.offeredBy != "" && r.offeredBy != t.options.Entry {
		t.peer(r.offeredBy).messageDue = true
	}
}

// notifyOwner schedules a message to the owner of a server, unless it is this entry.
func (t *Table) notifyOwner(name string) {
	if s, ok := t.servers[name]; ok && s.owner != t.options.Entry && s.owner != "" {
		t.peer(s.owner).messageDue = true
	}
}

// TakeRequestsToStop returns the IDs of the requests that this entry must stop for
// recalls. Each ID is returned only once.
func (t *Table) TakeRequestsToStop() []string {
	requestsToStop := t.requestsToStop
	t.requestsToStop = nil
	return requestsToStop
}

// ApplyTimeouts applies the effects of time that has passed: peers without messages for
// EntryLossTimeout count as lost, and expired offers are dropped.
func (t *Table) ApplyTimeouts(now clock.Millis) {
	for _, p := range t.peers {
		if p.live && now-p.lastReceivedAt >= EntryLossTimeout {
			p.markLost()
		}
	}
	t.refreshOffers(now)
}

// refreshOffers drops offers that this entry cannot use and offers the free slots of
// its servers. Offers to itself and offers that were not sent yet are withdrawn and
// made again, because a more urgent request may be waiting by now.
func (t *Table) refreshOffers(now clock.Millis) {
	for _, p := range t.peers {
		p.pendingOffers = slices.DeleteFunc(p.pendingOffers, func(o issuedOffer) bool { return o.Number > p.lastSentOffer })
	}
	t.unusedOffer = slices.DeleteFunc(t.unusedOffer, func(offer unusedOffer) bool { return offer.owner == t.options.Entry })
	t.dropUnusableOffers(now)
	t.offerFreeSlots(now)
}

// dropUnusableOffers drops the unused offers that are older than OfferTimeout or that no
// waiting request of their pool and of their tier or a higher one can use.
func (t *Table) dropUnusableOffers(now clock.Millis) {
	unserved := t.waitingByTier()
	slices.SortStableFunc(t.unusedOffer, func(a, b unusedOffer) int { return int(a.Tier - b.Tier) })
	kept := t.unusedOffer[:0]
	for _, offer := range t.unusedOffer {
		if now-offer.acceptedAt < OfferTimeout && markOneServed(unserved, offer.Pool, offer.Tier) {
			kept = append(kept, offer)
			continue
		}
		t.notifyOwner(offer.Server)
	}
	t.unusedOffer = kept
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
	for _, offer := range t.unusedOffer {
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
	for _, offer := range t.unusedOffer {
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
