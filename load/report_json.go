package load

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/attainment"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

type wireReport struct {
	Scenario        string             `json:"scenario"`
	Seed            uint64             `json:"seed"`
	RunID           string             `json:"run"`
	Duration        clock.Millis       `json:"duration_ms"`
	Elapsed         clock.Millis       `json:"elapsed_ms"`
	Sent            int                `json:"sent"`
	NotSent         int                `json:"not_sent"`
	Reconnects      int                `json:"reconnects"`
	AnswersCompared int                `json:"answers_compared"`
	GoodRequestRate float64            `json:"good_requests_per_second"`
	GoodTokenRate   float64            `json:"good_tokens_per_second"`
	TokensGenerated int64              `json:"tokens_generated"`
	TokensDelivered int64              `json:"tokens_delivered"`
	TokensWasted    int64              `json:"tokens_wasted"`
	WasteShare      float64            `json:"waste_share"`
	Classes         []wireClass        `json:"classes"`
	Tiers           []wireTier         `json:"tiers"`
	BreachCounts    map[BreachKind]int `json:"breach_counts"`
	Breaches        []wireBreach       `json:"breaches"`
	Faults          []wireAppliedFault `json:"faults"`
	Note            string             `json:"note,omitempty"`
}

type wireTier struct {
	Tier       int     `json:"tier"`
	Requests   uint64  `json:"requests"`
	Attainment float64 `json:"attainment"`
	Shed       uint64  `json:"shed"`
}

type wireClass struct {
	Class string `json:"class"`
	wireTier
	Target            clock.Millis              `json:"target_ms"`
	Measure           string                    `json:"measure"`
	Outcomes          map[outcome.Kind]uint64   `json:"outcomes"`
	Reasons           map[outcome.Reason]uint64 `json:"reasons"`
	DeliveredTokens   uint64                    `json:"tokens_delivered"`
	MeasuredLatency   wireDistribution          `json:"measured"`
	CompletionLatency wireDistribution          `json:"completion"`
	Series            []wirePoint               `json:"series"`
}

type wireDistribution struct {
	Count     int64          `json:"count"`
	Mean      float64        `json:"mean_ms"`
	P50       clock.Millis   `json:"p50_ms"`
	P95       clock.Millis   `json:"p95_ms"`
	P99       clock.Millis   `json:"p99_ms"`
	P999      clock.Millis   `json:"p999_ms"`
	Max       clock.Millis   `json:"max_ms"`
	Quantiles []wireQuantile `json:"quantiles"`
}

type wireQuantile struct {
	Percent float64      `json:"percent"`
	Latency clock.Millis `json:"ms"`
}

type wirePoint struct {
	Requests int `json:"requests"`
	Met      int `json:"met"`
	Shed     int `json:"shed"`
}

type wireBreach struct {
	Kind    BreachKind `json:"kind"`
	Request string     `json:"request"`
	Detail  string     `json:"detail"`
}

type wireAppliedFault struct {
	At       clock.Millis `json:"at_ms"`
	Kind     FaultKind    `json:"kind"`
	StandIns []string     `json:"stand_ins,omitempty"`
	Result   string       `json:"result"`
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r.wire()), "writing the report")
}

func (r Report) wire() wireReport {
	return wireReport{
		Scenario: r.Scenario, Seed: r.Seed, RunID: r.RunID, Duration: r.Duration, Elapsed: r.Elapsed,
		Sent: r.Sent, NotSent: r.NotSent, Reconnects: r.Reconnects, AnswersCompared: r.AnswersCompared,
		GoodRequestRate: r.GoodRequestRate(), GoodTokenRate: r.GoodTokenRate(),
		TokensGenerated: r.TokensGenerated, TokensDelivered: r.TokensDelivered, TokensWasted: r.TokensWasted(), WasteShare: r.WasteShare(),
		Classes:      lo.Map(r.Classes, func(c ClassReport, _ int) wireClass { return c.wire() }),
		Tiers:        lo.Map(r.Tiers, func(c attainment.Counts, _ int) wireTier { return newWireTier(c) }),
		BreachCounts: r.BreachCounts,
		Breaches:     lo.Map(r.Breaches, func(b Breach, _ int) wireBreach { return wireBreach(b) }),
		Faults: lo.Map(r.Faults, func(f AppliedFault, _ int) wireAppliedFault {
			return wireAppliedFault{At: f.At, Kind: f.Fault.Kind, StandIns: f.Fault.StandIns, Result: f.Result}
		}),
		Note: r.Note,
	}
}

func newWireTier(c attainment.Counts) wireTier {
	return wireTier{Tier: int(c.Tier), Requests: c.Requests, Attainment: c.Attainment(), Shed: c.Shed}
}

func (c ClassReport) wire() wireClass {
	return wireClass{
		Class: c.Class.Name(), wireTier: newWireTier(c.Counts), Target: c.Class.Target(), Measure: string(c.Class.Measure()),
		Outcomes: c.Counts.Outcomes, Reasons: c.Counts.Reasons, DeliveredTokens: c.Counts.DeliveredTokens,
		MeasuredLatency: c.MeasuredLatency.wire(), CompletionLatency: c.CompletionLatency.wire(),
		Series: lo.Map(c.Series, func(p Point, _ int) wirePoint { return wirePoint(p) }),
	}
}

func (d Distribution) wire() wireDistribution {
	return wireDistribution{
		Count: d.Count, Mean: d.Mean, P50: d.P50, P95: d.P95, P99: d.P99, P999: d.P999, Max: d.Max,
		Quantiles: lo.Map(d.Quantiles, func(q Quantile, _ int) wireQuantile { return wireQuantile(q) }),
	}
}
