package lease

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

// Durations and limits of the lease.
const (
	// Duration is the duration of a lease. Together with the leader lease of 0.9 s it
	// keeps the time until an accepted change applies everywhere below the promised
	// 7 s, even when a renewal is lost.
	Duration = 3 * clock.Second
	// RenewalInterval is how often a holder renews its lease. Two renewals in a row may be
	// lost without losing the lease.
	RenewalInterval = 1 * clock.Second
	// maxDriftPercent is the assumed maximum difference between the rates of two
	// clocks, in percent.
	maxDriftPercent = 1
)

// Renewal is the request of an entry for a lease. One lease protects everything
// that the entry does, such as all its claims. The renewal also reports the
// entry's state.
type Renewal struct {
	Entry            string // name of the entry
	Incarnation      uint64 // identifies one run of the entry; higher after each restart
	Address          string // host:port for other processes
	AvailabilityZone string
	Revision         uint64   // revision of the entry's newest configuration
	Leaving          bool     // whether the entry is stopping
	Claims           int      // number of claims that the entry holds
	Demands          []Demand // demand for each model
	EntriesVersion   uint64   // version of the entry's newest list of entries
}

// Demand is the demand for one model at an entry. The control leader uses it to
// decide on which engines models are loaded.
type Demand struct {
	Model   string
	Waiting int // number of waiting requests in all tiers
	Servers int // number of servers in the entry's pool of the model
	// WaitingByTier is the number of waiting requests in each tier, starting with tier 1.
	// It may be shorter than the number of tiers, and is empty when the entry does
	// not report tiers.
	WaitingByTier []int
}

// Entry is an entry that holds a lease, as listed in grants for the other
// entries.
type Entry struct {
	Name             string
	Address          string
	AvailabilityZone string
}

// Grant is the answer to a renewal. Duration is that of the lease and Revision that
// of the current configuration. Configuration is set only when
// the entry's revision is older, and Entries only when the entry has another
// version of the list: with 460 entries, sending the whole list in each grant
// took 16 MB/s at the leader.
type Grant struct {
	Granted        bool
	Duration       clock.Millis
	Term           uint64
	Revision       uint64
	Configuration  *configuration.Configuration
	Entries        []Entry
	EntriesVersion uint64
}

// WithMargin adds maxDriftPercent to a duration. The grantor waits this much
// longer before it regards a lease as expired, because its clock may run faster
// than the holder's.
func WithMargin(d clock.Millis) clock.Millis {
	return d + (d*maxDriftPercent+99)/100
}

// withoutMargin subtracts maxDriftPercent from a duration. The holder stops
// using a lease this much earlier, because its clock may run slower than the
// grantor's.
func withoutMargin(d clock.Millis) clock.Millis {
	return d - (d*maxDriftPercent+99)/100
}
