package slot

import (
	"slices"

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
	unusedOffers        []unusedOffer              // offers to this entry, from itself and from peers, that no request uses yet
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

// SetDemand sets the demand of this entry's waiting requests.
func (t *Table) SetDemand(now clock.Millis, demands []Demand) {
	if slices.Equal(t.demands, demands) {
		return
	}
	t.demands = slices.Clone(demands)
	t.refreshOffers(now)
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
