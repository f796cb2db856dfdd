package lease

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

// Holder is the entry's side of the lease. It is not safe for concurrent use.
// All times are on the clock of the entry.
type Holder struct {
	renewal          Renewal
	current          configuration.Configuration
	hasConfiguration bool // whether a grant was accepted, so that current is valid
	expires          clock.Millis
	term             uint64 // newest term of an accepted grant
	entries          []Entry
	// entriesVersion is the version of the list in entries.
	entriesVersion    uint64
	pendingRenewals   map[uint64]clock.Millis // send time of each unanswered renewal, by number
	lastRenewalNumber uint64
}

// NewHolder returns a holder without a lease for an incarnation of an entry.
func NewHolder(entry string, incarnation uint64, address, availabilityZone string) *Holder {
	return &Holder{
		renewal: Renewal{
			Entry: entry, Incarnation: incarnation, Address: address, AvailabilityZone: availabilityZone,
		},
		pendingRenewals: map[uint64]clock.Millis{},
	}
}

// NextRenewal returns the next renewal and its number, to be passed to Accept with the
// grant. The arguments claims, demands and leaving are reported in the renewal. The
// caller sends the renewal no earlier than now. Renewals that are still unanswered
// after Duration are forgotten.
func (h *Holder) NextRenewal(now clock.Millis, claims int, demands []Demand, leaving bool) (Renewal, uint64) {
	for number, sentAt := range h.pendingRenewals {
		if now >= sentAt+Duration {
			delete(h.pendingRenewals, number)
		}
	}
	h.lastRenewalNumber++
	h.pendingRenewals[h.lastRenewalNumber] = now
	r := h.renewal
	r.Revision, r.Claims, r.Demands, r.Leaving = h.current.Revision(), claims, demands, leaving
	r.EntriesVersion = h.entriesVersion
	return r, h.lastRenewalNumber
}

// Accept applies the grant that answers the renewal with the given number, and
// reports whether the grant was applied and the lease is valid. It ignores a
// grant for an unknown renewal, a grant with an older term or revision than the
// holder's, and a grant with a newer revision but without its configuration.
func (h *Holder) Accept(now clock.Millis, number uint64, g Grant) bool {
	sentAt, ok := h.pendingRenewals[number]
	delete(h.pendingRenewals, number)
	if !ok || !g.Granted || g.Term < h.term || g.Revision < h.current.Revision() {
		return false
	}
	if g.Revision > h.current.Revision() && (g.Configuration == nil || g.Configuration.Revision() != g.Revision) {
		return false
	}
	if g.Revision > h.current.Revision() {
		h.current = *g.Configuration
	}
	h.hasConfiguration, h.term = true, g.Term
	if len(g.Entries) > 0 {
		h.entries, h.entriesVersion = g.Entries, g.EntriesVersion
	}
	h.expires = max(h.expires, sentAt+withoutMargin(min(g.Duration, Duration)))
	return h.Valid(now)
}

// Valid reports whether the holder has a lease at the time now. The caller must
// read the clock directly before the action that the lease protects, with no
// wait in between.
func (h *Holder) Valid(now clock.Millis) bool {
	return h.hasConfiguration && now < h.expires
}

// Expires returns the time at which the lease ends, on the holder's clock.
func (h *Holder) Expires() clock.Millis { return h.expires }

// Configuration returns the newest configuration that the holder has received.
// The entry may act on it only while the lease is valid.
func (h *Holder) Configuration() configuration.Configuration { return h.current }

// Term returns the newest leader term in which a lease was granted to the
// holder.
func (h *Holder) Term() uint64 { return h.term }

// Entries returns the entries that held a lease according to the newest list in
// a grant.
func (h *Holder) Entries() []Entry { return h.entries }
