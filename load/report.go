package load

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/attainment"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// Report is the result of a run. It is immutable.
type Report struct {
	Scenario string
	Seed     uint64
	// RunID is the prefix of the ids of the run's requests.
	RunID string
	// Duration is the planned time of the arrivals. Elapsed is the time from the start of
	// the run until its last request had ended and the stand-ins' states were checked.
	Duration, Elapsed clock.Millis
	// Sent counts the requests that were started. NotSent counts those that were not
	// started because too many were in flight.
	Sent, NotSent int
	// Reconnects counts the connections that callers lost or could not open.
	Reconnects int
	// AnswersCompared counts the answers whose text or body was compared with the expected one.
	AnswersCompared int
	Classes         []ClassReport
	Tiers           []attainment.Counts // sums over the classes of each tier
	// TokensGenerated counts the tokens that the stand-ins generated. TokensDelivered
	// counts those that reached callers.
	TokensGenerated, TokensDelivered int64
	Breaches                         []Breach
	BreachCounts                     map[BreachKind]int // all breaches; Breaches lists only the first ones
	Faults                           []AppliedFault
	// Note says which checks are incomplete. It is empty when all were made.
	Note string
}

// ClassReport is the result of one class.
type ClassReport struct {
	Class  class.Class
	Counts attainment.Counts
	// MeasuredLatency is the latency that the class's target applies to, which is the time to
	// the first token or to completion. CompletionLatency is always the time to completion.
	MeasuredLatency, CompletionLatency Distribution
	Series                             []Point
}

// Point counts the requests that arrived within one second, and those of them that met
// their target or were shed.
type Point struct {
	Requests, Met, Shed int
}

// Distribution summarizes the latencies of answered requests.
type Distribution struct {
	Count               int64
	Mean                float64
	P50, P95, P99, P999 clock.Millis
	Max                 clock.Millis
	// Quantiles are points of the cumulative distribution.
	Quantiles []Quantile
}

// Quantile is one point of a cumulative distribution: Percent of the latencies are at
// most Latency.
type Quantile struct {
	Percent float64
	Latency clock.Millis
}

// TokensWasted returns the number of tokens that were generated but not delivered.
func (r Report) TokensWasted() int64 { return max(r.TokensGenerated-r.TokensDelivered, 0) }

// WasteShare returns the share of the generated tokens that was wasted, from 0 to 1.
func (r Report) WasteShare() float64 {
	if r.TokensGenerated == 0 {
		return 0
	}
	return float64(r.TokensWasted()) / float64(r.TokensGenerated)
}

// GoodRequestRate returns the goodput in requests: those that met their target, per
// second.
func (r Report) GoodRequestRate() float64 {
	met := lo.SumBy(r.Tiers, func(c attainment.Counts) uint64 { return c.Met })
	return perSecond(met, r.Elapsed)
}

// GoodTokenRate returns the goodput in tokens: those of requests that met their target,
// per second.
func (r Report) GoodTokenRate() float64 {
	good := lo.SumBy(r.Tiers, func(c attainment.Counts) uint64 { return c.GoodputTokens })
	return perSecond(good, r.Elapsed)
}

func perSecond(n uint64, elapsed clock.Millis) float64 {
	if elapsed <= 0 {
		return 0
	}
	return float64(n) * float64(clock.Second) / float64(elapsed)
}

func (a *aggregator) report(runID string, notSent int, applied []AppliedFault, elapsed clock.Millis) Report {
	state := a.meter.State()
	r := Report{
		Scenario: a.scenario.Name, Seed: a.scenario.Seed, RunID: runID, Duration: a.scenario.Duration, Elapsed: elapsed,
		Sent: len(a.results), NotSent: notSent, Reconnects: a.reconnects, AnswersCompared: a.comparedAnswers,
		Tiers: state.Tiers, TokensGenerated: a.tokensGenerated, TokensDelivered: a.tokensDelivered,
		Breaches: a.breaches, BreachCounts: a.breachCounts, Faults: applied, Note: a.note,
	}
	for _, w := range a.scenario.Classes {
		r.Classes = append(r.Classes, a.classReport(w.Class, state))
	}
	return r
}

func (a *aggregator) classReport(c class.Class, state attainment.State) ClassReport {
	counts, _ := lo.Find(state.Classes, func(counts attainment.Counts) bool { return counts.Class == c.Name() })
	aggregate := a.classes[c.Name()]
	return ClassReport{
		Class: c, Counts: counts, Series: aggregate.series,
		MeasuredLatency: newDistribution(aggregate.measuredLatency), CompletionLatency: newDistribution(aggregate.completionLatency),
	}
}

func newDistribution(h *hdrhistogram.Histogram) Distribution {
	valueAt := func(percent float64) clock.Millis { return clock.Millis(h.ValueAtQuantile(percent)) }
	d := Distribution{
		Count: h.TotalCount(), Mean: h.Mean(),
		P50: valueAt(50), P95: valueAt(95), P99: valueAt(99), P999: valueAt(99.9), Max: clock.Millis(h.Max()),
		Quantiles: []Quantile{},
	}
	if d.Count == 0 {
		return d
	}
	for _, b := range h.CumulativeDistribution() {
		d.Quantiles = append(d.Quantiles, Quantile{Percent: b.Quantile, Latency: clock.Millis(b.ValueAt)})
	}
	return d
}
