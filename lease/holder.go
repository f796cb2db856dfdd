package lease

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

// Holder is an entry's side of the lease. It has one owner.
type Holder struct {
	renewal Renewal
	current configuration.Configuration
	known   bool // a configuration was received
	expires clock.Millis
	term    uint64
	entries []Entry
	// entriesVersion is the version of entries.
	entriesVersion uint64
	requests       map[uint64]clock.Millis // moment each request was sent
	last           uint64
}

// NewHolder returns a holder without a lease for one life of an entry.
func NewHolder(entry string, incarnation uint64, address, availabilityZone string) *Holder {
	return &Holder{
		renewal: Renewal{
			Entry: entry, Incarnation: incarnation, Address: address, AvailabilityZone: availabilityZone,
		},
		requests: map[uint64]clock.Millis{},
	}
}

// NextRenewal returns the next renewal, which is sent now, and its number.
func (h *Holder) NextRenewal(now clock.Millis, claims int, models []Demand, leaving bool) (Renewal, uint64) {
	for number, sent := range h.requests {
		if now >= sent+Duration {
			delete(h.requests, number)
		}
	}
	h.last++
	h.requests[h.last] = now
	r := h.renewal
	r.Revision, r.Claims, r.Demands, r.Leaving = h.current.Revision(), claims, models, leaving
	r.EntriesVersion = h.entriesVersion
	return r, h.last
}

// Accept uses the grant that answers the numbered request and reports whether it
// prolonged the lease. A grant with an older configuration or term than the
// holder's, or without the newer configuration that it names, is not used.
func (h *Holder) Accept(now clock.Millis, number uint64, g Grant) bool {
	sent, ok := h.requests[number]
	delete(h.requests, number)
	if !ok || !g.Granted || g.Term < h.term || g.Revision < h.current.Revision() {
		return false
	}
	if g.Revision > h.current.Revision() && (g.Configuration == nil || g.Configuration.Revision() != g.Revision) {
		return false
	}
	if g.Revision > h.current.Revision() {
		h.current = *g.Configuration
	}
	h.known, h.term = true, g.Term
	if len(g.Entries) > 0 {
		h.entries, h.entriesVersion = g.Entries, g.EntriesVersion
	}
	h.expires = max(h.expires, sent+withoutMargin(min(g.Duration, Duration)))
	return h.Valid(now)
}

// Valid reports whether the lease lasts at now. The caller reads its clock after
// its last wait and directly before the action that the lease protects.
func (h *Holder) Valid(now clock.Millis) bool {
	return h.known && now < h.expires
}

// Expires returns the moment when the lease ends.
func (h *Holder) Expires() clock.Millis { return h.expires }

// Configuration returns the newest configuration that the holder has seen. It is
// in force only while the lease is valid.
func (h *Holder) Configuration() configuration.Configuration { return h.current }

// Term returns the newest term that granted a lease.
func (h *Holder) Term() uint64 { return h.term }

// Entries returns the entries that held a lease at the newest grant.
func (h *Holder) Entries() []Entry { return h.entries }
