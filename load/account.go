package load

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/attainment"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

const (
	// maxLatency is the highest latency that the histograms can represent. Longer
	// latencies are recorded as this value.
	maxLatency = 1 * clock.Hour
	// significantDigits is the number of decimal digits that the histograms keep of a
	// value.
	significantDigits = 3
	// seriesInterval is the time that one point of a time series covers.
	seriesInterval = 1 * clock.Second
	// maxListedBreaches bounds the breaches that a report lists in detail. All breaches
	// are counted.
	maxListedBreaches = 100
)

// BreachKind says which of its guarantees the router violated.
type BreachKind string

// Kinds of breaches: the ways in which the router can violate its guarantees to a caller.
const (
	// LostOutcome means that the caller got no final outcome.
	LostOutcome BreachKind = "lost"
	// ProtocolError means that an answer violates the caller API, for example by a second
	// final outcome or by a token position that does not increase.
	ProtocolError BreachKind = "protocol"
	// WrongBytes means that an answer differs from the expected text or body.
	WrongBytes BreachKind = "wrong_bytes"
	// DuplicateRun means that a call with an idempotency key ran more than once.
	DuplicateRun BreachKind = "duplicate"
	// MisreportedOutcome means that work was reported as not run although it ran, or that a
	// call was reported as answered although it did not run.
	MisreportedOutcome BreachKind = "misreported"
)

// Breach is one violation of the router's guarantees. Request is the request id.
type Breach struct {
	Kind            BreachKind
	Request, Detail string
}

// aggregator collects the results of a run and checks them. It is not safe for
// concurrent use.
type aggregator struct {
	scenario       Scenario
	expectedAnswer func(Request) (string, bool)
	meter          *attainment.Meter
	classes        map[string]*classAggregate
	results        []result // results without their answer texts, for the comparison with the stand-ins' states
	breaches       []Breach
	breachCounts   map[BreachKind]int

	comparedAnswers                  int // answers whose text or body was compared with the expected one
	reconnects                       int
	tokensGenerated, tokensDelivered int64
	note                             string
}

// classAggregate collects the latencies in milliseconds and the time series of one
// class.
type classAggregate struct {
	measuredLatency, completionLatency *hdrhistogram.Histogram
	series                             []Point
}

// newAggregator returns an aggregator without results. With a nil expectedAnswer it
// compares no answers with expected ones.
func newAggregator(s Scenario, expectedAnswer func(Request) (string, bool)) *aggregator {
	a := &aggregator{
		scenario: s, expectedAnswer: expectedAnswer, meter: attainment.NewMeter(),
		classes: map[string]*classAggregate{}, breachCounts: map[BreachKind]int{},
	}
	for _, w := range s.Classes {
		a.classes[w.Class.Name()] = &classAggregate{
			measuredLatency:   hdrhistogram.New(1, int64(maxLatency), significantDigits),
			completionLatency: hdrhistogram.New(1, int64(maxLatency), significantDigits),
			series:            make([]Point, (s.Duration+seriesInterval-1)/seriesInterval),
		}
	}
	return a
}

// record adds the result of one request and checks it.
func (a *aggregator) record(r result) {
	sample := attainment.Sample{
		Class: r.request.Workload.Class, Outcome: r.outcome, Reason: r.reason,
		FirstToken: r.firstTokenLatency, Completion: r.completionLatency, DeliveredTokens: r.tokensDelivered, Retries: r.reconnects,
	}
	a.meter.Record(sample)
	a.classes[sample.Class.Name()].record(r, sample)
	a.reconnects += r.reconnects
	a.tokensDelivered += int64(r.tokensDelivered)
	a.checkResult(r)
	r.text = ""
	a.results = append(a.results, r)
}

func (c *classAggregate) record(r result, sample attainment.Sample) {
	point := &c.series[r.request.At/seriesInterval]
	point.Requests++
	point.Met += lo.Ternary(sample.Met(), 1, 0)
	point.Shed += lo.Ternary(sample.Shed(), 1, 0)
	if r.outcome != outcome.Answered {
		return
	}
	_ = c.measuredLatency.RecordValue(int64(min(r.measuredLatency(), maxLatency)))
	_ = c.completionLatency.RecordValue(int64(min(r.completionLatency, maxLatency)))
}

// addBreachf counts a breach and lists it unless maxListedBreaches are listed already.
func (a *aggregator) addBreachf(kind BreachKind, request, format string, arguments ...any) {
	a.breachCounts[kind]++
	if len(a.breaches) < maxListedBreaches {
		a.breaches = append(a.breaches, Breach{Kind: kind, Request: request, Detail: fmt.Sprintf(format, arguments...)})
	}
}

// checkResult checks one result against the guarantees of the caller API.
func (a *aggregator) checkResult(r result) {
	if r.noFinalOutcome {
		a.addBreachf(LostOutcome, r.id, "no final outcome after %d connections, last status %d", r.reconnects, r.status)
	}
	for _, violation := range r.protocolViolations {
		a.addBreachf(ProtocolError, r.id, "%s", violation)
	}
	if a.expectedAnswer == nil || r.outcome != outcome.Answered {
		return
	}
	want, known := a.expectedAnswer(r.request)
	if !known {
		return
	}
	a.comparedAnswers++
	if r.text != want {
		a.addBreachf(WrongBytes, r.id, "got %s, want %s", excerpt(r.text, want), excerpt(want, r.text))
	}
}

// excerpt returns the length of text and the part around its first difference from
// other.
func excerpt(text, other string) string {
	const contextBytes = 20
	commonPrefix := 0
	for commonPrefix < min(len(text), len(other)) && text[commonPrefix] == other[commonPrefix] {
		commonPrefix++
	}
	start := max(commonPrefix-contextBytes, 0)
	return fmt.Sprintf("%d bytes with %q at %d", len(text), text[start:min(commonPrefix+contextBytes, len(text))], start)
}

// checkStandInStates compares the outcomes that callers got with the work that the
// stand-ins did. before and after are their states at the start and the end of the run,
// by name. A non-nil err means that states are missing from after.
func (a *aggregator) checkStandInStates(before, after map[string]wireState, err error) {
	if err != nil {
		a.note = fmt.Sprintf("states are incomplete: %v", err)
	}
	tokens, calls := map[string]int{}, map[string]int{}
	for name, state := range after {
		a.tokensGenerated += state.TokensGenerated - before[name].TokensGenerated
		for id, n := range state.TokensByRequest {
			tokens[id] += n
		}
		for key, n := range state.CallsByKey {
			calls[key] += n
		}
	}
	for _, r := range a.results {
		a.checkExecution(r, tokens[r.id], calls[r.key], len(after) > 0 && err == nil)
	}
}

// checkExecution compares one outcome with the number of tokens that the stand-ins
// generated and the number of calls that they ran for it. A call that did not run is
// detected only when the states of all stand-ins are known.
func (a *aggregator) checkExecution(r result, tokens, calls int, statesComplete bool) {
	switch {
	case r.key != "" && calls > 1:
		a.addBreachf(DuplicateRun, r.id, "the call ran %d times", calls)
	case r.outcome == outcome.NotRun && (tokens > 0 || r.key != "" && calls > 0):
		a.addBreachf(MisreportedOutcome, r.id, "reported as not run (%s), but %d tokens and %d calls ran", r.reason, tokens, calls)
	case statesComplete && r.key != "" && r.outcome == outcome.Answered && r.status < 400 && calls == 0:
		a.addBreachf(MisreportedOutcome, r.id, "reported as answered, but no call ran")
	}
}
