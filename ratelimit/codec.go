package ratelimit

import (
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// WireReported is the JSON form of Reported. Its keys are short, because a thousand servers may
// name limits at once.
type WireReported struct {
	Server      string       `json:"s"`
	StartedAt   int64        `json:"b,omitempty"`
	Rate        float64      `json:"r,omitempty"` // requests a second; 0 if the limit has ended
	EarliestAge clock.Millis `json:"e"`
	LatestAge   clock.Millis `json:"l"`
}

// ToWire returns the JSON form of a report.
func ToWire(report Report) []WireReported {
	return lo.Map(report, func(r Reported, _ int) WireReported {
		return WireReported{Server: r.Server, StartedAt: r.StartedAt, Rate: r.Limit.rate, EarliestAge: r.EarliestAge, LatestAge: r.LatestAge}
	})
}

// FromWire returns the report that has a JSON form. It leaves out rates below 0.
func FromWire(wire []WireReported) Report {
	return lo.FilterMap(wire, func(w WireReported, _ int) (Reported, bool) {
		r := Reported{Run: Run{Server: w.Server, StartedAt: w.StartedAt}, EarliestAge: w.EarliestAge, LatestAge: w.LatestAge}
		if w.Rate > 0 {
			r.Limit = NewLimit(w.Rate)
		}
		return r, w.Rate >= 0
	})
}

// WireInterval is the JSON form of Interval: its begin and its end.
type WireInterval [2]uint64

// WireGrant is the JSON form of Grant.
type WireGrant struct {
	Partition uint64       `json:"partition"`
	Number    uint64       `json:"number"`
	Interval  WireInterval `json:"interval"`
	Fraction  float64      `json:"fraction,omitempty"` // missing in messages of former builds
}

// ToWireGrant returns the JSON form of a grant.
func ToWireGrant(g Grant) WireGrant {
	return WireGrant{Partition: g.Partition, Number: g.Number, Interval: WireInterval{g.Interval.Begin, g.Interval.End}, Fraction: g.Fraction}
}

// Grant returns the grant that has a JSON form.
func (w WireGrant) Grant() Grant {
	interval := Interval{Begin: min(w.Interval[0], ringSize), End: min(w.Interval[1], ringSize)}
	return Grant{Partition: w.Partition, Number: w.Number, Interval: interval, Fraction: min(max(w.Fraction, 0), 1)}
}
