package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/caller"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/site"
	"github.com/galenaslip/galenaslip/standin"
)

// Sizes of the demo's site.
const (
	entries     = 4
	engines     = 3
	modelName   = "m-small"
	serviceName = "ledger"
	freePort    = "127.0.0.1:0"
)

const (
	tokenTime   = 5 * clock.Millisecond
	prefillRate = 50_000 // tokens a second
	engineSlots = 8
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
	classes, err := makeClasses()
	if err != nil {
		return err
	}
	fmt.Fprintf(options.Output, "Starting 3 control members, %d entries, %d stand-in engines and a ledger on loopback ports.\n", entries, engines)
	s, release, err := site.New(ctx, siteOptions(options, classes))
	if err != nil {
		return err
	}
	defer release()
	d := &demo{clock: options.Clock, site: s, caller: caller.New()}
	d.run()
	return d.report(options.Output)
}

type classSpec struct {
	name    string
	tier    class.Tier
	target  clock.Millis
	measure class.Measure
}

var classSpecs = []classSpec{
	{"clause-query", 1, 580 * clock.Millisecond, class.FirstToken},
	{"posting", 1, 2 * clock.Second, class.Completion},
	{"lookup", 2, 1 * clock.Second, class.Completion},
	{"treaty-digest", 3, 8 * clock.Hour, class.Completion},
	{"row-tagging", 4, 30 * clock.Second, class.Completion},
}

func makeClasses() ([]class.Class, error) {
	classes := make([]class.Class, 0, len(classSpecs))
	for _, spec := range classSpecs {
		c, err := class.New(spec.name, spec.tier, spec.target, spec.measure)
		if err != nil {
			return nil, err
		}
		classes = append(classes, c)
	}
	return classes, nil
}

func siteOptions(options Options, classes []class.Class) site.Options {
	return site.Options{
		Entries: lo.Times(entries, func(int) string { return freePort }),
		Engines: lo.Times(engines, func(i int) site.Server {
			return site.Server{Name: fmt.Sprintf("engine-%d", i+1), Address: freePort, Offers: []string{modelName}}
		}),
		Services: []site.Server{{Name: "ledger-1", Address: freePort, Offers: []string{serviceName}}},
		Engine:   standin.EngineOptions{TokenTime: tokenTime, PrefillRate: prefillRate, Slots: engineSlots},
		Entry:    entry.Options{Policy: entry.PolicyStandard, SlotLeases: true},
		Classes:  classes,
		Clock:    options.Clock,
		Logger:   options.Logger,
	}
}

// demo sends the work and collects the results.
type demo struct {
	clock  clock.Clock
	site   *site.Site
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
	return d.site.Entries()[i%entries]
}

func (d *demo) chat(i int, class, prompt string, streamed bool) {
	started := d.clock.Now()
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
	d.add(result{class: class, kind: r.Outcome, correct: correct, latency: d.clock.Now() - started, detail: detail(r, err)})
}

func (d *demo) lookup(i int) {
	started := d.clock.Now()
	r, err := d.caller.Call(caller.Request{
		Entry: d.entry(i), Class: "lookup", Workspace: "demo",
		Method: http.MethodGet, Path: "/v1/services/" + serviceName + "/treaties/7",
	})
	d.add(result{class: "lookup", kind: r.Outcome, correct: true, latency: d.clock.Now() - started, detail: detail(r, err)})
}

// posting sends the one posting to an entry. The second time it is the
// repetition of a caller that did not get the first answer.
func (d *demo) posting(i int) {
	started := d.clock.Now()
	r, err := d.caller.Call(caller.Request{
		Entry: d.entry(i), Class: "posting", Workspace: "demo", Key: d.key,
		Method: http.MethodPost, Path: "/v1/services/" + serviceName + "/postings", Body: []byte(`{"premium":1200}`),
	})
	d.add(result{class: "posting", kind: r.Outcome, correct: true, latency: d.clock.Now() - started, detail: detail(r, err)})
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
	runs := d.site.Runs(d.key)
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
