package load

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/outcome"
)

// WriteTable writes the report as text for a terminal.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := printer{writer: t}
	p.printf("scenario %s, seed %d, run %s, %d ms planned, %d ms elapsed\n", r.Scenario, r.Seed, r.RunID, r.Duration, r.Elapsed)
	p.printf("sent %d, not sent %d, reconnects %d, answers compared %d\n\n", r.Sent, r.NotSent, r.Reconnects, r.AnswersCompared)
	p.printf("class\ttier\ttarget ms\trequests\tattainment\tshed\tanswered\tnot run\tunknown\tp50 ms\tp95 ms\tp99 ms\tmax ms\ttokens\t\n")
	for _, c := range r.Classes {
		p.printClass(c)
	}
	p.printf("\ntier\trequests\tattainment\tshed\t\n")
	for _, c := range r.Tiers {
		p.printf("%d\t%d\t%.4f\t%d\t\n", c.Tier, c.Requests, c.Attainment(), c.Shed)
	}
	p.printf("\ngoodput %.1f requests/s, %.1f tokens/s\n", r.GoodRequestRate(), r.GoodTokenRate())
	p.printf("tokens generated %d, delivered %d, wasted %d (%.2f%%)\n", r.TokensGenerated, r.TokensDelivered, r.TokensWasted(), 100*r.WasteShare())
	p.printFaultsAndBreaches(r)
	if p.err != nil {
		return p.err
	}
	return errors.Wrap(t.Flush(), "writing the report")
}

// printer writes formatted text and records the first error. After an error it writes
// nothing.
type printer struct {
	writer io.Writer
	err    error
}

func (p *printer) printf(format string, arguments ...any) {
	if p.err != nil {
		return
	}
	_, err := fmt.Fprintf(p.writer, format, arguments...)
	p.err = errors.Wrap(err, "writing the report")
}

func (p *printer) printClass(c ClassReport) {
	latency, counts := c.MeasuredLatency, c.Counts
	p.printf("%s\t%d\t%d\t%d\t%.4f\t%d\t", c.Class.Name(), c.Class.Tier(), c.Class.Target(), counts.Requests, counts.Attainment(), counts.Shed)
	p.printf("%d\t%d\t%d\t", counts.Outcomes[outcome.Answered], counts.Outcomes[outcome.NotRun], counts.Outcomes[outcome.Unknown])
	p.printf("%d\t%d\t%d\t%d\t%d\t\n", latency.P50, latency.P95, latency.P99, latency.Max, counts.DeliveredTokens)
}

func (p *printer) printFaultsAndBreaches(r Report) {
	for _, f := range r.Faults {
		p.printf("fault at %d ms: %s %v: %s\n", f.At, f.Fault.Kind, f.Fault.StandIns, f.Result)
	}
	if r.Note != "" {
		p.printf("note: %s\n", r.Note)
	}
	total := 0
	for _, kind := range []BreachKind{LostOutcome, ProtocolError, WrongBytes, DuplicateRun, MisreportedOutcome} {
		total += r.BreachCounts[kind]
		p.printf("%s %d, ", kind, r.BreachCounts[kind])
	}
	p.printf("breaches %d\n", total)
	for _, b := range r.Breaches {
		p.printf("%s %s: %s\n", b.Kind, b.Request, b.Detail)
	}
}
