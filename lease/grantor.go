package lease

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

// forgetAfter is how long an expired lease is remembered, so that a late
// renewal of an earlier life of the entry is refused.
const forgetAfter = 1 * clock.Minute

type granted struct {
	renewal Renewal
	expires clock.Millis
}

func (r Renewal) entry() Entry {
	return Entry{Name: r.Entry, Address: r.Address, AvailabilityZone: r.AvailabilityZone}
}

// listInterval is how often the list of entries is made again without a change of
// an entry, so that expired leases leave it.
const listInterval = 500 * clock.Millisecond

// entryList is the list of entries with a lease. Its version depends on its
// content alone, so that it is the same under the next leader.
type entryList struct {
	entries []Entry
	version uint64
	due     clock.Millis
}

func newEntryList(now clock.Millis, entries []Entry) entryList {
	hash := xxhash.New()
	for _, e := range entries {
		for _, part := range []string{e.Name, e.Address, e.AvailabilityZone} {
			_, _ = hash.WriteString(part + "\x00")
		}
	}
	return entryList{entries: entries, version: hash.Sum64(), due: now + listInterval}
}

// Grantor grants leases while its process leads. It has one owner.
type Grantor struct {
	term      uint64
	leads     bool
	certain   clock.Millis // from here on, leases of former leaders have expired
	leases    map[string]granted
	nextSweep clock.Millis
	list      entryList
}

// NewGrantor returns a grantor that does not lead.
func NewGrantor() *Grantor {
	return &Grantor{leases: map[string]granted{}}
}

// StartTerm starts a term. The caller has applied every entry that was committed
// before the term; otherwise a grant could carry an older configuration than one
// that is in force.
func (g *Grantor) StartTerm(now clock.Millis, term uint64) {
	*g = Grantor{term: term, leads: true, certain: now + withMargin(Duration), leases: map[string]granted{}}
}

// EndTerm ends the term.
func (g *Grantor) EndTerm() {
	*g = Grantor{leases: map[string]granted{}}
}

// LeadingTerm returns the term that the grantor leads in.
func (g *Grantor) LeadingTerm() (uint64, bool) { return g.term, g.leads }

// Renew grants a lease. The caller has read the configuration first and then
// found that its leader lease in the grantor's term has not expired, in this
// order.
func (g *Grantor) Renew(now clock.Millis, current configuration.Configuration, r Renewal) Grant {
	if !g.leads || r.Incarnation < g.leases[r.Entry].renewal.Incarnation {
		return Grant{Term: g.term, Revision: current.Revision()}
	}
	former := g.leases[r.Entry].renewal
	g.leases[r.Entry] = granted{renewal: r, expires: now + withMargin(Duration)}
	g.sweep(now)
	if now >= g.list.due || former.entry() != r.entry() {
		g.list = newEntryList(now, g.Entries(now))
	}
	grant := Grant{
		Granted:        true,
		Duration:       Duration,
		Term:           g.term,
		Revision:       current.Revision(),
		EntriesVersion: g.list.version,
	}
	if r.EntriesVersion != g.list.version {
		grant.Entries = g.list.entries
	}
	if r.Revision < current.Revision() {
		grant.Configuration = &current
	}
	return grant
}

// Expired reports whether the lease of one life of an entry has certainly
// expired.
func (g *Grantor) Expired(now clock.Millis, entry string, incarnation uint64) bool {
	if !g.leads {
		return false
	}
	held, ok := g.leases[entry]
	if ok && held.renewal.Incarnation > incarnation {
		return true
	}
	if ok && held.renewal.Incarnation == incarnation {
		return now >= held.expires
	}
	return now >= g.certain
}

// Entries returns the entries that hold a lease, in order of their names.
func (g *Grantor) Entries(now clock.Millis) []Entry {
	entries := make([]Entry, 0, len(g.leases))
	for _, held := range g.leases {
		if now < held.expires {
			entries = append(entries, held.renewal.entry())
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

// Renewals returns the newest renewal of each entry that holds a lease.
func (g *Grantor) Renewals(now clock.Millis) []Renewal {
	renewals := make([]Renewal, 0, len(g.leases))
	for _, held := range g.leases {
		if now < held.expires {
			renewals = append(renewals, held.renewal)
		}
	}
	slices.SortFunc(renewals, func(a, b Renewal) int { return strings.Compare(a.Entry, b.Entry) })
	return renewals
}

// sweep forgets old leases once in a while, so that the cost of a renewal does
// not grow with the entries that are gone.
func (g *Grantor) sweep(now clock.Millis) {
	if now < g.nextSweep {
		return
	}
	g.nextSweep = now + forgetAfter
	for name, held := range g.leases {
		if now >= held.expires+forgetAfter {
			delete(g.leases, name)
		}
	}
}
