package attainment

import (
	"cmp"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

const (
	// maxTime is the longest time that histograms record; longer times count as maxTime.
	maxTime = 1 * clock.Hour
	// significantDigits is the precision of histograms. A histogram needs 25 KB with
	// two digits and 200 KB with three.
	significantDigits = 2
)

// Meter counts samples. It does no I/O and is not safe for concurrent use.
type Meter struct {
	classes map[string]*counter
	tiers   map[class.Tier]*counter
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter {
	return &Meter{classes: map[string]*counter{}, tiers: map[class.Tier]*counter{}}
}

// Record counts one sample.
func (m *Meter) Record(s Sample) {
	name, tier := s.Class.Name(), s.Class.Tier()
	m.class(name).record(s)
	m.class(name).counts.Tier = tier
	m.tier(tier).record(s)
}

// State returns a copy of the counts.
func (m *Meter) State() State {
	state := State{Classes: []Counts{}, Tiers: []Counts{}}
	for _, c := range m.classes {
		state.Classes = append(state.Classes, c.state())
	}
	for _, c := range m.tiers {
		state.Tiers = append(state.Tiers, c.state())
	}
	slices.SortFunc(state.Classes, func(a, b Counts) int { return cmp.Compare(a.Class, b.Class) })
	slices.SortFunc(state.Tiers, func(a, b Counts) int { return cmp.Compare(a.Tier, b.Tier) })
	return state
}

func (m *Meter) class(name string) *counter {
	c, ok := m.classes[name]
	if !ok {
		c = newCounter(Counts{Class: name})
		m.classes[name] = c
	}
	return c
}

func (m *Meter) tier(tier class.Tier) *counter {
	c, ok := m.tiers[tier]
	if !ok {
		c = newCounter(Counts{Tier: tier})
		m.tiers[tier] = c
	}
	return c
}

// counter collects the counts and latency histograms of one class or tier.
type counter struct {
	counts                            Counts
	queueWait, firstToken, completion *hdrhistogram.Histogram
}

func newCounter(counts Counts) *counter {
	counts.Outcomes = map[outcome.Kind]uint64{}
	counts.Reasons = map[outcome.Reason]uint64{}
	return &counter{counts: counts, queueWait: newHistogram(), firstToken: newHistogram(), completion: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxTime), significantDigits)
}

func (c *counter) record(s Sample) {
	c.counts.Requests++
	c.counts.Counted += countIf(s.Counted())
	c.counts.Met += countIf(s.Met())
	c.counts.Shed += countIf(s.Shed())
	c.counts.Retries += uint64(s.Retries)
	c.counts.DeliveredTokens += uint64(s.DeliveredTokens)
	c.counts.WastedTokens += uint64(s.WastedTokens)
	if s.Met() {
		c.counts.GoodputTokens += uint64(s.DeliveredTokens)
	}
	c.counts.Outcomes[s.Outcome]++
	if s.Reason != outcome.ReasonNone {
		c.counts.Reasons[s.Reason]++
	}
	if s.Outcome == outcome.Answered {
		c.recordTimes(s)
	}
}

func (c *counter) recordTimes(s Sample) {
	record(c.queueWait, s.QueueWait)
	record(c.completion, s.Completion)
	if s.Class.Measure() == class.FirstToken {
		record(c.firstToken, s.FirstToken)
	}
}

// countIf returns 1 if b is true, and otherwise 0.
func countIf(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// record adds a time to a histogram, limited to the range from 0 to maxTime.
func record(h *hdrhistogram.Histogram, t clock.Millis) {
	_ = h.RecordValue(int64(min(max(t, 0), maxTime)))
}

func (c *counter) state() Counts {
	counts := c.counts
	counts.Outcomes = maps.Clone(c.counts.Outcomes)
	counts.Reasons = maps.Clone(c.counts.Reasons)
	counts.QueueWait = newLatency(c.queueWait)
	counts.FirstToken = newLatency(c.firstToken)
	counts.Completion = newLatency(c.completion)
	return counts
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	quantile := func(percent float64) clock.Millis { return clock.Millis(h.ValueAtQuantile(percent)) }
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean(),
		P50: quantile(50), P95: quantile(95), P99: quantile(99), P999: quantile(99.9), Max: clock.Millis(h.Max()),
	}
}
