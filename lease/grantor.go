package lease

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

// expiredLeaseRetention is how long an expired lease is kept, so that a late
// renewal from an earlier incarnation of the entry is refused.
const expiredLeaseRetention = 1 * clock.Minute

// leaseRecord is the newest renewal of an entry and the time at which its lease
// expires.
type leaseRecord struct {
	renewal Renewal
	expires clock.Millis
}

// toEntry returns the entry that sent the renewal.
func (r Renewal) toEntry() Entry {
	return Entry{Name: r.Entry, Address: r.Address, AvailabilityZone: r.AvailabilityZone}
}

// listRefreshInterval is the time after which a list of entries is rebuilt even
// when no entry has changed, to remove the entries whose leases have expired.
const listRefreshInterval = 500 * clock.Millisecond

// entryList is the list of entries that hold a lease. Its version is a hash of
// its content, so that the same list has the same version under the next
// leader.
type entryList struct {
	entries   []Entry
	version   uint64
	rebuildAt clock.Millis // time from which the list must be rebuilt
}

// newEntryList returns a list with the version that belongs to its content.
func newEntryList(now clock.Millis, entries []Entry) entryList {
	hash := xxhash.New()
	for _, e := range entries {
		for _, field := range []string{e.Name, e.Address, e.AvailabilityZone} {
			_, _ = hash.WriteString(field + "\x00")
		}
	}
	return entryList{entries: entries, version: hash.Sum64(), rebuildAt: now + listRefreshInterval}
}

// Grantor grants leases while its process leads. It is not safe for concurrent
// use. All times are on the clock of the process.
type Grantor struct {
	term               uint64
	leads              bool
	formerLeasesExpire clock.Millis           // time at which all leases granted by former leaders have expired
	leases             map[string]leaseRecord // by name of the entry; includes leases that expired recently
	nextRemoval        clock.Millis           // time of the next removal of old leases
	leasedEntries      entryList
}

// NewGrantor returns a grantor that does not lead. It grants nothing before
// StartTerm is called.
func NewGrantor() *Grantor {
	return &Grantor{leases: map[string]leaseRecord{}}
}

// StartTerm starts a leader term. The caller must have applied every log entry that
// was committed before the term. Otherwise a grant could contain an older
// configuration than one that was already granted.
func (g *Grantor) StartTerm(now clock.Millis, term uint64) {
	*g = Grantor{term: term, leads: true, formerLeasesExpire: now + WithMargin(Duration), leases: map[string]leaseRecord{}}
}

// EndTerm ends the term. The grantor then grants no leases.
func (g *Grantor) EndTerm() {
	*g = Grantor{leases: map[string]leaseRecord{}}
}

// LeadingTerm returns the current term and whether the grantor leads.
func (g *Grantor) LeadingTerm() (uint64, bool) { return g.term, g.leads }

// Renew grants a lease, unless the grantor does not lead or the renewal is from
// an earlier incarnation of the entry. The caller must first read the current
// configuration and then check that it holds the leader lease of the grantor's
// term, in this order, so that the configuration was the newest one when it was
// read.
func (g *Grantor) Renew(now clock.Millis, current configuration.Configuration, r Renewal) Grant {
	if !g.leads || r.Incarnation < g.leases[r.Entry].renewal.Incarnation {
		return Grant{Term: g.term, Revision: current.Revision()}
	}
	previous := g.leases[r.Entry].renewal
	g.leases[r.Entry] = leaseRecord{renewal: r, expires: now + WithMargin(Duration)}
	g.removeOldLeases(now)
	if now >= g.leasedEntries.rebuildAt || previous.toEntry() != r.toEntry() {
		g.leasedEntries = newEntryList(now, g.Entries(now))
	}
	grant := Grant{
		Granted:        true,
		Duration:       Duration,
		Term:           g.term,
		Revision:       current.Revision(),
		EntriesVersion: g.leasedEntries.version,
	}
	if r.EntriesVersion != g.leasedEntries.version {
		grant.Entries = g.leasedEntries.entries
	}
	if r.Revision < current.Revision() {
		grant.Configuration = &current
	}
	return grant
}

// Expired reports whether the lease of an incarnation of an entry has certainly
// expired. This is also the case when a later incarnation has renewed, because
// the entry has then restarted. Expired returns false when the grantor does not
// lead.
func (g *Grantor) Expired(now clock.Millis, entry string, incarnation uint64) bool {
	if !g.leads {
		return false
	}
	record, ok := g.leases[entry]
	if ok && record.renewal.Incarnation > incarnation {
		return true
	}
	if ok && record.renewal.Incarnation == incarnation {
		return now >= record.expires
	}
	return now >= g.formerLeasesExpire
}

// Entries returns the entries that hold a lease, sorted by name.
func (g *Grantor) Entries(now clock.Millis) []Entry {
	entries := make([]Entry, 0, len(g.leases))
	for _, record := range g.leases {
		if now < record.expires {
			entries = append(entries, record.renewal.toEntry())
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

// Renewals returns the newest renewal of each entry that holds a lease, sorted
// by name of the entry.
func (g *Grantor) Renewals(now clock.Millis) []Renewal {
	renewals := make([]Renewal, 0, len(g.leases))
	for _, record := range g.leases {
		if now < record.expires {
			renewals = append(renewals, record.renewal)
		}
	}
	slices.SortFunc(renewals, func(a, b Renewal) int { return strings.Compare(a.Entry, b.Entry) })
	return renewals
}

// removeOldLeases removes leases that expired more than expiredLeaseRetention
// ago. It runs at most once per expiredLeaseRetention, so that the cost of a
// renewal does not grow with the number of entries that have stopped.
func (g *Grantor) removeOldLeases(now clock.Millis) {
	if now < g.nextRemoval {
		return
	}
	g.nextRemoval = now + expiredLeaseRetention
	for name, record := range g.leases {
		if now >= record.expires+expiredLeaseRetention {
			delete(g.leases, name)
		}
	}
}
