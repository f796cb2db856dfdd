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
	// longest is the longest latency that histograms tell apart.
	longest = 1 * clock.Hour
	// digits is the precision of histograms.
	digits = 3
	// step is the width of a point of the time series.
	step = 1 * clock.Second
	// maxBreaches bounds the breaches that a report lists; all are counted.
	maxBreaches = 100
)

// BreachKind is the kind of a broken promise.
type BreachKind string

// The kinds of breaches.
const (
	// LostOutcome means that the caller got no final outcome.
	LostOutcome BreachKind = "lost"
	// ProtocolError means an answer that breaks the caller API, such as a second final
	// outcome or a position that goes back.
	ProtocolError BreachKind = "protocol"
	// WrongBytes means an answer that differs from the one generated.
	WrongBytes BreachKind = "wrong_bytes"
	// DuplicateRun means an at-most-once call that ran more than once.
	DuplicateRun BreachKind = "duplicate"
	// MisreportedOutcome means work reported as not run that ran, or as answered that
	// did not.
	MisreportedOutcome BreachKind = "misreported"
)

// Breach is one broken promise.
type Breach struct {
	Kind            BreachKind
	Request, Detail string
}

// account gathers the results. One goroutine owns it.
type account struct {
	scenario Scenario
	answer   func(Request) (string, bool)
	meter    *attainment.Meter
	classes  map[string]*classAccount
	results  []result // without texts, for the comparison with the stand-ins
	breaches []Breach
	counts   map[BreachKind]int

	checked              int // answers whose bytes were compared
	reconnects           int
	generated, delivered int64
	note                 string
}

type classAccount struct {
	measured, completion *hdrhistogram.Histogram
	series               []Point
}

func newAccount(s Scenario, answer func(Request) (string, bool)) *account {
	a := &account{
		scenario: s, answer: answer, meter: attainment.NewMeter(),
		classes: map[string]*classAccount{}, counts: map[BreachKind]int{},
	}
	for _, w := range s.Classes {
		a.classes[w.Class.Name()] = &classAccount{
			measured:   hdrhistogram.New(1, int64(longest), digits),
			completion: hdrhistogram.New(1, int64(longest), digits),
			series:     make([]Point, (s.Duration+step-1)/step),
		}
	}
	return a
}

func (a *account) record(r result) {
	sample := attainment.Sample{
		Class: r.request.Workload.Class, Outcome: r.outcome, Reason: r.reason,
		FirstToken: r.firstToken, Completion: r.completion, DeliveredTokens: r.delivered, Retries: r.reconnects,
	}
	a.meter.Record(sample)
	a.classes[sample.Class.Name()].record(r, sample)
	a.reconnects += r.reconnects
	a.delivered += int64(r.delivered)
	a.check(r)
	r.text = ""
	a.results = append(a.results, r)
}

func (c *classAccount) record(r result, sample attainment.Sample) {
	point := &c.series[r.request.At/step]
	point.Requests++
	point.Met += lo.Ternary(sample.Met(), 1, 0)
	point.Shed += lo.Ternary(sample.Shed(), 1, 0)
	if r.outcome != outcome.Answered {
		return
	}
	_ = c.measured.RecordValue(int64(min(r.measured(), longest)))
	_ = c.completion.RecordValue(int64(min(r.completion, longest)))
}

func (a *account) breachf(kind BreachKind, request, format string, arguments ...any) {
	a.counts[kind]++
	if len(a.breaches) < maxBreaches {
		a.breaches = append(a.breaches, Breach{Kind: kind, Request: request, Detail: fmt.Sprintf(format, arguments...)})
	}
}

// check compares one result with what its caller was promised.
func (a *account) check(r result) {
	if r.lost {
		a.breachf(LostOutcome, r.id, "no final outcome after %d connections, last status %d", r.reconnects, r.status)
	}
	for _, f := range r.faults {
		a.breachf(ProtocolError, r.id, "%s", f)
	}
	if a.answer == nil || r.outcome != outcome.Answered {
		return
	}
	want, known := a.answer(r.request)
	if !known {
		return
	}
	a.checked++
	if r.text != want {
		a.breachf(WrongBytes, r.id, "got %s, want %s", excerpt(r.text, want), excerpt(want, r.text))
	}
}

// excerpt returns the part of text around its first difference from other.
func excerpt(text, other string) string {
	const around = 20
	same := 0
	for same < min(len(text), len(other)) && text[same] == other[same] {
		same++
	}
	from := max(same-around, 0)
	return fmt.Sprintf("%d bytes with %q at %d", len(text), text[from:min(same+around, len(text))], from)
}

// checkStates compares the outcomes that callers saw with what ran.
func (a *account) checkStates(before, after map[string]wireState, err error) {
	if err != nil {
		a.note = fmt.Sprintf("states are incomplete: %v", err)
	}
	tokens, calls := map[string]int{}, map[string]int{}
	for name, state := range after {
		a.generated += state.TokensGenerated - before[name].TokensGenerated
		for id, n := range state.TokensByRequest {
			tokens[id] += n
		}
		for key, n := range state.CallsByKey {
			calls[key] += n
		}
	}
	for _, r := range a.results {
		a.checkRun(r, tokens[r.id], calls[r.key], len(after) > 0 && err == nil)
	}
}

func (a *account) checkRun(r result, tokens, calls int, complete bool) {
	switch {
	case r.key != "" && calls > 1:
		a.breachf(DuplicateRun, r.id, "the call ran %d times", calls)
	case r.outcome == outcome.NotRun && (tokens > 0 || r.key != "" && calls > 0):
		a.breachf(MisreportedOutcome, r.id, "reported as not run (%s), but %d tokens and %d calls ran", r.reason, tokens, calls)
	case complete && r.key != "" && r.outcome == outcome.Answered && r.status < 400 && calls == 0:
		a.breachf(MisreportedOutcome, r.id, "reported as answered, but no call ran")
	}
}
