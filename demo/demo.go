package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/caller"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/standin"
)

const (
	burstSize   = 48
	lookupCount = 4
	queryCount  = 4
)

// Options configure the demo.
type Options struct {
	Clock  clock.Clock
	Logger event.Logger
	Output io.Writer
}

// result is the end of one request.
type result struct {
	class   string
	kind    outcome.Kind
	correct bool
	latency clock.Millis
	detail  string
}

// Run starts a site, sends every kind of work and prints what became of it. It
// returns an error when a promise of the router was broken.
func Run(ctx context.Context, options Options) error {
	folder, err := os.MkdirTemp("", "galenaslip-demo-")
	if err != nil {
		return errors.Wrap(err, "cannot make a temporary folder")
	}
	defer os.RemoveAll(folder) //nolint:errcheck // The folder is temporary.
	fmt.Fprintf(options.Output, "Starting %d control members, %d entries, %d stand-in engines and a ledger on loopback ports.\n", zones, entries, engines)
	s, err := newSite(ctx, options.Clock, options.Logger, folder)
	defer s.release()
	if err != nil {
		return err
	}
	d := &demo{site: s, caller: caller.New()}
	d.run()
	return d.report(options.Output)
}

// demo sends the work and collects the results.
type demo struct {
	site   *site
	caller *caller.Caller
	mu     sync.Mutex
	all    []result
	key    string
}

// run sends a long digest, short queries, a burst of row tagging, a posting
// twice with one key and lookups, all at the same time.
func (d *demo) run() {
	d.key = uuid.Must(uuid.NewV7()).String()
	var group sync.WaitGroup
	group.Go(func() { d.chat(0, "treaty-digest", "digest of treaty 7 [tokens=600]", true) })
	for i := range burstSize {
		group.Go(func() { d.chat(i, "row-tagging", fmt.Sprintf("tag row %d [tokens=8]", i), false) })
	}
	for i := range queryCount {
		group.Go(func() { d.chat(i, "clause-query", fmt.Sprintf("what does clause %d say? [tokens=20]", i), true) })
	}
	for i := range lookupCount {
		group.Go(func() { d.lookup(i) })
	}
	group.Go(func() {
		d.posting(0)
		d.posting(1)
	})
	group.Wait()
}

func (d *demo) add(r result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, r)
}

func (d *demo) entry(i int) string {
	return d.site.entries[i%len(d.site.entries)]
}

func (d *demo) chat(i int, class, prompt string, streamed bool) {
	started := d.site.clock.Now()
	q, err := caller.Chat(d.entry(i), class, "demo", modelName, prompt, streamed)
	if err != nil {
		d.add(result{class: class, kind: outcome.NotRun, detail: err.Error()})
		return
	}
	send := d.caller.Whole
	if streamed {
		send = d.caller.Stream
	}
	r, err := send(q)
	correct := r.Outcome != outcome.Answered || r.Text == strings.Join(standin.Answer(modelName, prompt), "")
	d.add(result{class: class, kind: r.Outcome, correct: correct, latency: d.site.clock.Now() - started, detail: detail(r, err)})
}

func (d *demo) lookup(i int) {
	started := d.site.clock.Now()
	r, err := d.caller.Call(caller.Request{
		Entry: d.entry(i), Class: "lookup", Workspace: "demo",
		Method: http.MethodGet, Path: "/v1/services/" + serviceName + "/treaties/7",
	})
	d.add(result{class: "lookup", kind: r.Outcome, correct: true, latency: d.site.clock.Now() - started, detail: detail(r, err)})
}

// posting sends the one posting to an entry. The second time it is the
// repetition of a caller that did not get the first answer.
func (d *demo) posting(i int) {
	started := d.site.clock.Now()
	r, err := d.caller.Call(caller.Request{
		Entry: d.entry(i), Class: "posting", Workspace: "demo", Key: d.key,
		Method: http.MethodPost, Path: "/v1/services/" + serviceName + "/postings", Body: []byte(`{"premium":1200}`),
	})
	d.add(result{class: "posting", kind: r.Outcome, correct: true, latency: d.site.clock.Now() - started, detail: detail(r, err)})
}

func detail(r caller.Reply, err error) string {
	if err != nil {
		return err.Error()
	}
	if r.Outcome != outcome.Answered {
		return r.Text
	}
	return ""
}

// report prints the table and returns an error when a promise was broken.
func (d *demo) report(w io.Writer) error {
	if err := d.table(w); err != nil {
		return err
	}
	runs := d.site.ledger.State().Runs[d.key]
	fmt.Fprintf(w, "\nThe posting was sent twice with one key; the ledger ran it %d time(s).\n", runs)
	if runs != 1 {
		return errors.Errorf("broken promise: the posting ran %d times, want 1", runs)
	}
	return d.check()
}

func (d *demo) table(w io.Writer) error {
	byClass := lo.GroupBy(d.all, func(r result) string { return r.class })
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "\nCLASS\tTIER\tSENT\tANSWERED\tNOT RUN\tUNKNOWN\tSLOWEST")
	for _, spec := range classSpecs {
		results := byClass[spec.name]
		slowest := lo.MaxBy(results, func(a, b result) bool { return a.latency > b.latency })
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d ms\n", spec.name, spec.tier, len(results),
			count(results, outcome.Answered), count(results, outcome.NotRun), count(results, outcome.Unknown), slowest.latency)
	}
	return errors.Wrap(tw.Flush(), "cannot write table")
}

func count(results []result, kind outcome.Kind) int {
	return lo.CountBy(results, func(r result) bool { return r.kind == kind })
}

// check looks for wrong answers and for work that was not answered: the site has
// capacity for all of it.
func (d *demo) check() error {
	for _, r := range d.all {
		if !r.correct {
			return errors.Errorf("broken promise: a %s request got another answer than its engine made", r.class)
		}
		if r.kind != outcome.Answered {
			return errors.Errorf("broken promise: a %s request ended as %s: %s", r.class, r.kind, r.detail)
		}
	}
	return nil
}
