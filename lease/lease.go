package lease

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
)

// Times of the lease.
const (
	// Duration is how long a lease lasts. With the leader lease of 0.9 s it keeps
	// an accepted change below the promised 7 s with room for a lost renewal.
	Duration = 3 * clock.Second
	// RenewalInterval is how often a holder renews: two renewals in a row may be lost.
	RenewalInterval = 1 * clock.Second
	// maxDriftPercent is the assumed bound on the difference of clock rates.
	maxDriftPercent = 1
)

// Renewal is the request of one entry for everything that it holds.
type Renewal struct {
	Entry            string
	Incarnation      uint64
	Address          string
	AvailabilityZone string
	Revision         uint64 // the newest configuration that the entry has
	Leaving          bool
	Claims           int // claims that the entry holds
	Demands          []Demand
	EntriesVersion   uint64 // the newest list of entries that the entry has
}

// Demand is what an entry reports about one model, for placement.
type Demand struct {
	Model   string
	Waiting int
	Servers int
	// Tiers holds the waiting requests by tier, the highest first. It may be
	// shorter than the number of tiers, and is empty from an entry that does not
	// report tiers.
	Tiers []int
}

// Entry is an entry with a lease, as other entries see it.
type Entry struct {
	Name             string
	Address          string
	AvailabilityZone string
}

// Grant is the answer to a renewal. Configuration is set when the entry's
// revision is older than Revision, and Entries when the entry has another version
// of the list. With 460 entries the whole list in each grant took 16 MB/s at the
// leader.
type Grant struct {
	Granted        bool
	Duration       clock.Millis
	Term           uint64
	Revision       uint64
	Configuration  *configuration.Configuration
	Entries        []Entry
	EntriesVersion uint64
}

// withMargin and withoutMargin account for clocks that run at different rates:
// a grantor waits longer and a holder stops earlier.
func withMargin(d clock.Millis) clock.Millis {
	return d + (d*maxDriftPercent+99)/100
}

func withoutMargin(d clock.Millis) clock.Millis {
	return d - (d*maxDriftPercent+99)/100
}
