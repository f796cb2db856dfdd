package attainment

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// State is a copy of all counts.
type State struct {
	Classes []Counts // by name
	Tiers   []Counts // by tier
	// DroppedSamples counts samples that a full channel lost.
	DroppedSamples uint64
}

// Counts are the counts of one class or tier.
type Counts struct {
	// Class is empty in the counts of a tier.
	Class string
	Tier  class.Tier
	// Requests counts all samples, Counted those that are part of attainment.
	Requests, Counted, Met  uint64
	Shed                    uint64
	Retries                 uint64
	Delivered, WastedTokens uint64
	// GoodputTokens counts tokens of requests that met their target.
	GoodputTokens                     uint64
	Outcomes                          map[outcome.Kind]uint64
	Reasons                           map[outcome.Reason]uint64
	QueueWait, FirstToken, Completion Latency
}

// Attainment returns the share of counted requests that met their target, or 1
// when there are none.
func (c Counts) Attainment() float64 {
	if c.Counted == 0 {
		return 1
	}
	return float64(c.Met) / float64(c.Counted)
}

// WasteShare returns the wasted share of generated tokens.
func (c Counts) WasteShare() float64 {
	generated := c.Delivered + c.WastedTokens
	if generated == 0 {
		return 0
	}
	return float64(c.WastedTokens) / float64(generated)
}

// Latency sums up a distribution of times.
type Latency struct {
	Count                    int64
	Mean                     float64
	P50, P95, P99, P999, Max clock.Millis
}
