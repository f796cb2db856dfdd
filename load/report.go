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
	// RunID starts the ids of the run's requests.
	RunID             string
	Duration, Elapsed clock.Millis
	// Sent counts requests that were started, NotSent those that were not because
	// too many were open.
	Sent, NotSent int
	// Reconnects counts connections that callers lost or could not open.
	Reconnects int
	// AnswersCompared counts answers whose bytes were compared.
	AnswersCompared int
	Classes         []ClassReport
	Tiers           []attainment.Counts
	// TokensGenerated counts tokens that stand-ins generated, Delivered those that
	// reached callers.
	TokensGenerated, TokensDelivered int64
	Breaches                         []Breach
	BreachCounts                     map[BreachKind]int
	Faults                           []AppliedFault
	// Note says what the checks could not include.
	Note string
}

// ClassReport is the result of one class.
type ClassReport struct {
	Class  class.Class
	Counts attainment.Counts
	// MeasuredLatency is the latency that the target is measured to.
	MeasuredLatency, CompletionLatency Distribution
	Series                             []Point
}

// Point counts the requests that arrived within one second.
type Point struct {
	Requests, Met, Shed int
}

// Distribution sums up latencies of answered requests.
type Distribution struct {
	Count               int64
	Mean                float64
	P50, P95, P99, P999 clock.Millis
	Max                 clock.Millis
	// Quantiles are points of the whole distribution.
	Quantiles []Quantile
}

// Quantile is a point of a distribution.
type Quantile struct {
	Percent float64
	Latency clock.Millis
}

// TokensWasted returns the tokens that were generated and not delivered.
func (r Report) TokensWasted() int64 { return max(r.TokensGenerated-r.TokensDelivered, 0) }

// WasteShare returns the wasted share of generated tokens.
func (r Report) WasteShare() float64 {
	if r.TokensGenerated == 0 {
		return 0
	}
	return float64(r.TokensWasted()) / float64(r.TokensGenerated)
}

// GoodRequestRate returns the requests per second that met their target.
func (r Report) GoodRequestRate() float64 {
	met := lo.SumBy(r.Tiers, func(c attainment.Counts) uint64 { return c.Met })
	return perSecond(met, r.Elapsed)
}

// GoodTokenRate returns the tokens per second of requests that met their target.
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

func (a *account) report(run string, notSent int, applied []AppliedFault, elapsed clock.Millis) Report {
	state := a.meter.State()
	r := Report{
		Scenario: a.scenario.Name, Seed: a.scenario.Seed, RunID: run, Duration: a.scenario.Duration, Elapsed: elapsed,
		Sent: len(a.results), NotSent: notSent, Reconnects: a.reconnects, AnswersCompared: a.checked,
		Tiers: state.Tiers, TokensGenerated: a.generated, TokensDelivered: a.delivered,
		Breaches: a.breaches, BreachCounts: a.counts, Faults: applied, Note: a.note,
	}
	for _, w := range a.scenario.Classes {
		r.Classes = append(r.Classes, a.classReport(w.Class, state))
	}
	return r
}

func (a *account) classReport(c class.Class, state attainment.State) ClassReport {
	counts, _ := lo.Find(state.Classes, func(counts attainment.Counts) bool { return counts.Class == c.Name() })
	of := a.classes[c.Name()]
	return ClassReport{
		Class: c, Counts: counts, Series: of.series,
		MeasuredLatency: newDistribution(of.measured), CompletionLatency: newDistribution(of.completion),
	}
}

func newDistribution(h *hdrhistogram.Histogram) Distribution {
	at := func(percent float64) clock.Millis { return clock.Millis(h.ValueAtQuantile(percent)) }
	d := Distribution{
		Count: h.TotalCount(), Mean: h.Mean(),
		P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: clock.Millis(h.Max()),
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
