package slot

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

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
	t.unusedOffers = slices.DeleteFunc(t.unusedOffers, func(offer unusedOffer) bool { return offer.Server == s.Name })
	t.notifyOwner(s.Name)
}

// markUsageKnown clears the flag usageUnknown of a server that this entry has become
// the owner of, once all entries have reported which slots they use, or after
// UsageReportTimeout.
func (t *Table) markUsageKnown(now clock.Millis, s *server) {
	if s.usageUnknown && (now-s.ownerSince >= UsageReportTimeout || t.allReported(s.ownerSince)) {
		s.usageUnknown = false
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

// readyServers returns the servers of this entry whose used slots are known, so that
// their free slots can be offered. They are sorted by name.
func (t *Table) readyServers(now clock.Millis) []*server {
	return lo.Filter(t.ownedServers, func(s *server, _ int) bool {
		t.markUsageKnown(now, s)
		return !s.usageUnknown
	})
}

func (t *Table) readyServerNames(now clock.Millis) []string {
	return lo.Map(t.readyServers(now), func(s *server, _ int) string { return s.Name })
}
