package attainment

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// State is a copy of all counts.
type State struct {
	Classes []Counts // one for each class, sorted by name
	Tiers   []Counts // one for each tier, highest tier first
	// DroppedSamples is the number of samples dropped because the channel was full.
	DroppedSamples uint64
}

// Counts are the counts of one class or tier.
type Counts struct {
	// Class is empty in the counts of a tier.
	Class string
	Tier  class.Tier
	// Requests is the number of all requests, Counted the number of those that are part
	// of attainment, and Met the number of those that met their target.
	Requests, Counted, Met        uint64
	Shed                          uint64 // number of requests that were shed
	Retries                       uint64 // number of times that requests were sent again
	DeliveredTokens, WastedTokens uint64 // tokens
	// GoodputTokens is the number of tokens delivered by requests that met their target.
	GoodputTokens                     uint64
	Outcomes                          map[outcome.Kind]uint64
	Reasons                           map[outcome.Reason]uint64
	QueueWait, FirstToken, Completion Latency
}

// Attainment returns the share of counted requests that met their target, or 1 if no
// request was counted.
func (c Counts) Attainment() float64 {
	if c.Counted == 0 {
		return 1
	}
	return float64(c.Met) / float64(c.Counted)
}

// WasteShare returns the share of generated tokens that were wasted, or 0 if none were
// generated.
func (c Counts) WasteShare() float64 {
	generated := c.DeliveredTokens + c.WastedTokens
	if generated == 0 {
		return 0
	}
	return float64(c.WastedTokens) / float64(generated)
}

// Latency summarizes a distribution of times.
type Latency struct {
	Count                    int64
	Mean                     float64 // ms
	P50, P95, P99, P999, Max clock.Millis
}
