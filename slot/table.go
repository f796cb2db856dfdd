package slot

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// Table is one entry's view of all slots.
type Table struct {
	options  Options
	entries  []string // that hold a lease, sorted, this one included
	view     uint64
	servers  map[string]*server
	peers    map[string]*peer
	demands  []Demand
	runs     map[string]*run
	held     []held
	victims  []string
	mine     []*server           // that this entry owns, by name
	owners   map[string][]string // entries that own servers with slots, by pool
	sequence uint64              // of messages
	starts   uint64
	numbers  uint64 // of offers and recalls
	streak   int    // offers since the last one to starving work
}

type server struct {
	Server
	owner    string
	learning bool
	since    clock.Millis // when this entry became the owner
	used     int          // requests of this entry
}

type run struct {
	Run
	grantor string // the entry that offered the slot, or ""
	order   uint64 // of starts
	leaving bool
}

// promise is an offer that this entry has made.
type promise struct {
	Offer
	starving bool // to work past its starvation bound, before a higher tier
}

// held is an offer that no request of this entry uses yet.
type held struct {
	promise
	owner string
	at    clock.Millis
}

// New returns a table that knows no servers and no entries.
func New(options Options) *Table {
	return &Table{options: options, servers: map[string]*server{}, peers: map[string]*peer{}, runs: map[string]*run{}}
}

// SetEntries sets which entries hold a lease. Without any, no server has an
// owner and all are used by shared counts.
func (t *Table) SetEntries(now clock.Millis, names []string) {
	names = slices.Clone(names)
	slices.Sort(names)
	names = slices.Compact(names)
	if slices.Equal(names, t.entries) {
		return
	}
	t.entries, t.view = names, viewOf(names)
	for _, name := range names {
		if name != t.options.Entry {
			t.peer(name).dirty = true
		}
	}
	t.assignAll(now)
}

// SetServers sets the usable servers. A server that is missing gets no offers,
// and its running requests still count when it returns.
func (t *Table) SetServers(now clock.Millis, list []Server) {
	known := t.servers
	t.servers = make(map[string]*server, len(list))
	for _, in := range list {
		s, ok := known[in.Name]
		if !ok {
			s = &server{used: t.usedOn(in.Name)}
		}
		s.Server = in
		t.servers[in.Name] = s
	}
	t.assignAll(now)
}

func (t *Table) usedOn(name string) int {
	return lo.CountBy(lo.Values(t.runs), func(r *run) bool { return r.Server == name })
}

func (t *Table) assignAll(now clock.Millis) {
	t.mine, t.owners = nil, map[string][]string{}
	for _, name := range sortedNames(t.servers) {
		s := t.servers[name]
		t.assign(now, s)
		if s.owner == t.options.Entry {
			t.mine = append(t.mine, s)
		}
		t.addOwner(s)
	}
}

// addOwner lists the owner of a server that can run work for each of its pools.
func (t *Table) addOwner(s *server) {
	if s.owner == "" || s.Slots == 0 {
		return
	}
	for _, pool := range s.Pools {
		owners := t.owners[pool]
		if i, ok := slices.BinarySearch(owners, s.owner); !ok {
			t.owners[pool] = slices.Insert(owners, i, s.owner)
		}
	}
}

// assign sets the owner of a server. Offers that were made of it stay counted
// until their holders have answered.
func (t *Table) assign(now clock.Millis, s *server) {
	owner := Owner(t.entries, s.Name)
	if owner == s.owner {
		return
	}
	s.owner, s.since, s.learning = owner, now, true
	t.held = slices.DeleteFunc(t.held, func(h held) bool { return h.Server == s.Name })
	t.touch(s.Name)
}

// SetDemand sets what waits at this entry.
func (t *Table) SetDemand(now clock.Millis, demands []Demand) {
	if slices.Equal(t.demands, demands) {
		return
	}
	t.demands = slices.Clone(demands)
	t.settle(now)
}

// Owner returns the entry that hands out the slots of a server, or "" if there
// are no entries. When an entry leaves, only its own servers change their owner.
func Owner(entries []string, server string) string {
	owner, best := "", uint64(0)
	for _, e := range entries {
		if weight := xxhash.Sum64String(e + "\x00" + server); owner == "" || weight > best {
			owner, best = e, weight
		}
	}
	return owner
}

func viewOf(entries []string) uint64 {
	d := xxhash.New()
	for _, e := range entries {
		_, _ = d.WriteString(e + "\x00")
	}
	return d.Sum64()
}

// Mode returns how this entry may use a server now.
func (t *Table) Mode(now clock.Millis, name string) Mode {
	s, ok := t.servers[name]
	if !ok {
		return ModeShared
	}
	if s.owner == t.options.Entry {
		t.learn(now, s)
		if s.learning {
			return ModeShared
		}
		return ModeGranted
	}
	p := t.peers[s.owner]
	if p == nil || p.silent(now) || !p.ready[name] {
		return ModeShared
	}
	return ModeGranted
}

// Offers returns the servers of a pool that this entry holds offers of, one for
// each offer, in a fixed order.
func (t *Table) Offers(now clock.Millis, pool string) []string {
	t.settle(now)
	var names []string
	for _, h := range t.held {
		if h.Pool == pool {
			names = append(names, h.Server)
		}
	}
	slices.Sort(names)
	return names
}

// Start records that a request runs on a server. It uses up an offer of the
// server if one is held, preferably for the pool. It returns false, and records
// nothing, when the server needs an offer and none is held.
func (t *Table) Start(now clock.Millis, pool string, r Run) bool {
	if _, ok := t.runs[r.ID]; ok {
		return false
	}
	i := slices.IndexFunc(t.held, func(h held) bool {
		return h.Server == r.Server && h.Pool == pool && now-h.at < OfferTimeout
	})
	if i < 0 && t.Mode(now, r.Server) == ModeGranted {
		return false
	}
	grantor := ""
	if i >= 0 {
		grantor = t.held[i].owner
		t.useUp(i)
	}
	t.record(r, grantor)
	return true
}

// Adopt records a request that runs on a server already, without an offer.
func (t *Table) Adopt(r Run) {
	if _, ok := t.runs[r.ID]; !ok {
		t.record(r, "")
	}
}

func (t *Table) record(r Run, grantor string) {
	t.starts++
	started := &run{Run: r, grantor: grantor, order: t.starts}
	t.runs[r.ID] = started
	if s, ok := t.servers[r.Server]; ok {
		s.used++
	}
	t.tell(started)
}

func (t *Table) useUp(i int) {
	h := t.held[i]
	t.held = slices.Delete(t.held, i, i+1)
	if h.owner == t.options.Entry {
		t.count(h.promise)
	}
}

// count records an offer that can no longer be withdrawn.
func (t *Table) count(p promise) {
	t.streak = lo.Ternary(p.starving, 0, t.streak+1)
}

// End records that a request no longer uses its slot.
func (t *Table) End(now clock.Millis, id string) {
	r, ok := t.runs[id]
	if !ok {
		return
	}
	delete(t.runs, id)
	if s, ok := t.servers[r.Server]; ok {
		s.used--
	}
	t.tell(r)
	t.settle(now)
}

// tell makes messages about a request due, to the owner of its server and to the
// former owner that offered the slot, which may still believe to be the owner.
func (t *Table) tell(r *run) {
	t.touch(r.Server)
	if r.grantor != "" && r.grantor != t.options.Entry {
		t.peer(r.grantor).dirty = true
	}
}

// touch makes a message to the owner of a server due.
func (t *Table) touch(name string) {
	if s, ok := t.servers[name]; ok && s.owner != t.options.Entry && s.owner != "" {
		t.peer(s.owner).dirty = true
	}
}

// TakeVictims returns the requests that owners ask this entry to stop, once each.
func (t *Table) TakeVictims() []string {
	victims := t.victims
	t.victims = nil
	return victims
}

// Advance applies what time alone changes.
func (t *Table) Advance(now clock.Millis) {
	for _, p := range t.peers {
		if p.known && now-p.heardAt >= EntryLossTimeout {
			p.lose()
		}
	}
	t.settle(now)
}

// settle returns offers that cannot be used and hands out free slots. Offers
// that this entry made to itself or has not sent yet are made anew, because by
// now another entry may need the slot more.
func (t *Table) settle(now clock.Millis) {
	for _, p := range t.peers {
		p.offers = slices.DeleteFunc(p.offers, func(o promise) bool { return o.Number > p.sentOffer })
	}
	t.held = slices.DeleteFunc(t.held, func(h held) bool { return h.owner == t.options.Entry })
	t.returnUnused(now)
	t.handOut(now)
}

// returnUnused drops the offers that are too old or that no waiting request of
// their tier or a higher one can use.
func (t *Table) returnUnused(now clock.Millis) {
	left := t.waitingByTier()
	slices.SortStableFunc(t.held, func(a, b held) int { return int(a.Tier - b.Tier) })
	kept := t.held[:0]
	for _, h := range t.held {
		if now-h.at < OfferTimeout && takeAbove(left, h.Pool, h.Tier) {
			kept = append(kept, h)
			continue
		}
		t.touch(h.Server)
	}
	t.held = kept
}

type poolTier struct {
	pool string
	tier class.Tier
}

func (t *Table) waitingByTier() map[poolTier]int {
	left := map[poolTier]int{}
	for _, d := range t.demands {
		left[poolTier{d.Pool, d.Tier}] += d.Waiting
	}
	return left
}

// takeAbove counts one waiting request of the highest tier, down to lowest, as
// served.
func takeAbove(left map[poolTier]int, pool string, lowest class.Tier) bool {
	for tier := class.HighestTier; tier <= lowest; tier++ {
		if k := (poolTier{pool, tier}); left[k] > 0 {
			left[k]--
			return true
		}
	}
	return false
}

// netDemands returns the demand that no held offer will serve.
func (t *Table) netDemands() []Demand {
	left := t.waitingByTier()
	for _, h := range t.held {
		takeAbove(left, h.Pool, h.Tier)
	}
	net := []Demand{}
	for _, d := range t.demands {
		if d.Waiting = left[poolTier{d.Pool, d.Tier}]; d.Waiting > 0 {
			net = append(net, d)
		}
	}
	return net
}

// uses sums up what this entry uses of the servers of an owner, and of others
// where the owner offered the slot.
func (t *Table) uses(owner string) map[string]ServerUsage {
	uses := map[string]ServerUsage{}
	for _, r := range t.runs {
		if s, ok := t.servers[r.Server]; r.grantor == owner || ok && s.owner == owner {
			uses[r.Server] = uses[r.Server].add(r)
		}
	}
	for _, h := range t.held {
		if s, ok := t.servers[h.Server]; ok && s.owner == owner {
			u := uses[h.Server]
			u.Slots++
			uses[h.Server] = u
		}
	}
	return uses
}

func (u ServerUsage) add(r *run) ServerUsage {
	u.Slots++
	switch {
	case r.leaving:
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
