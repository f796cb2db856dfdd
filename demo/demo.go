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

// The size of the demo's site, its model and its service.
const (
	entryCount  = 4
	engineCount = 3
	modelName   = "m-small"
	serviceName = "ledger"
	anyFreePort = "127.0.0.1:0"
)

// The speed of the stand-in engines.
const (
	tokenTime   = 5 * clock.Millisecond
	prefillRate = 50_000 // prompt tokens per second
	engineSlots = 8
)

// The number of requests of the classes row-tagging, lookup and clause-query.
const (
	taggingCount = 48
	lookupCount  = 4
	queryCount   = 4
)

// Options configures the demo. The report is written to Output.
type Options struct {
	Clock  clock.Clock
	Logger event.Logger
	Output io.Writer
}

// result is the outcome of one request. The failureReason is empty if it was answered.
type result struct {
	class         string
	kind          outcome.Kind
	correct       bool
	latency       clock.Millis
	failureReason string
}

// Run starts a site, sends requests of each class and prints their outcomes. It
// returns an error if the posting did not run exactly once, an answer was wrong or a
// request was not answered.
func Run(ctx context.Context, options Options) error {
	classes, err := newClasses()
	if err != nil {
		return err
	}
	fmt.Fprintf(options.Output, "Starting 3 control members, %d entries, %d stand-in engines and a ledger on loopback ports.\n", entryCount, engineCount)
	s, release, err := site.New(ctx, siteOptions(options, classes))
	if err != nil {
		return err
	}
	defer release()
	d := &demo{clock: options.Clock, site: s, caller: caller.New()}
	d.sendAll()
	return d.printReport(options.Output)
}

// classSpec describes a request class of the demo.
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

func newClasses() ([]class.Class, error) {
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
		Entries: lo.Times(entryCount, func(int) string { return anyFreePort }),
		Engines: lo.Times(engineCount, func(i int) site.Server {
			return site.Server{Name: fmt.Sprintf("engine-%d", i+1), Address: anyFreePort, Offers: []string{modelName}}
		}),
		Services: []site.Server{{Name: "ledger-1", Address: anyFreePort, Offers: []string{serviceName}}},
		Engine:   standin.EngineOptions{TokenTime: tokenTime, PrefillRate: prefillRate, Slots: engineSlots},
		Entry:    entry.Options{Policy: entry.PolicyStandard, SlotLeases: true},
		Classes:  classes,
		Clock:    options.Clock,
		Logger:   options.Logger,
	}
}

// demo sends the requests and collects the results. The mutex guards allResults.
type demo struct {
	clock      clock.Clock
	site       *site.Site
	caller     *caller.Caller
	mu         sync.Mutex
	allResults []result
	postingKey string
}

// sendAll sends a long digest, short queries, a burst of row tagging and lookups at
// the same time. It also sends one posting twice with the same key, one after the
// other.
func (d *demo) sendAll() {
	d.postingKey = uuid.Must(uuid.NewV7()).String()
	var group sync.WaitGroup
	group.Go(func() { d.sendChat(0, "treaty-digest", "digest of treaty 7 [tokens=600]", true) })
	for i := range taggingCount {
		group.Go(func() { d.sendChat(i, "row-tagging", fmt.Sprintf("tag row %d [tokens=8]", i), false) })
	}
	for i := range queryCount {
		group.Go(func() { d.sendChat(i, "clause-query", fmt.Sprintf("what does clause %d say? [tokens=20]", i), true) })
	}
	for i := range lookupCount {
		group.Go(func() { d.sendLookup(i) })
	}
	group.Go(func() {
		d.sendPosting(0)
		d.sendPosting(1)
	})
	group.Wait()
}

func (d *demo) addResult(r result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.allResults = append(d.allResults, r)
}

func (d *demo) entryAddress(i int) string {
	return d.site.Entries()[i%entryCount]
}

func (d *demo) sendChat(i int, class, prompt string, streamed bool) {
	startedAt := d.clock.Now()
	q, err := caller.Chat(d.entryAddress(i), class, "demo", modelName, prompt, streamed)
	if err != nil {
		d.addResult(result{class: class, kind: outcome.NotRun, failureReason: err.Error()})
		return
	}
	send := d.caller.ChatUnstreamed
	if streamed {
		send = d.caller.ChatStreamed
	}
	r, err := send(q)
	correct := r.Outcome != outcome.Answered || r.Text == strings.Join(standin.AnswerTokens(modelName, prompt), "")
	d.addResult(result{class: class, kind: r.Outcome, correct: correct, latency: d.clock.Now() - startedAt, failureReason: failureReason(r, err)})
}

func (d *demo) sendLookup(i int) {
	startedAt := d.clock.Now()
	r, err := d.caller.Call(caller.Request{
		Entry: d.entryAddress(i), Class: "lookup", Workspace: "demo",
		Method: http.MethodGet, Path: "/v1/services/" + serviceName + "/treaties/7",
	})
	d.addResult(result{class: "lookup", kind: r.Outcome, correct: true, latency: d.clock.Now() - startedAt, failureReason: failureReason(r, err)})
}

// sendPosting sends the posting to the i-th entry. The second call stands for a caller
// that repeats the posting because it did not get the first answer.
func (d *demo) sendPosting(i int) {
	startedAt := d.clock.Now()
	r, err := d.caller.Call(caller.Request{
		Entry: d.entryAddress(i), Class: "posting", Workspace: "demo", Key: d.postingKey,
		Method: http.MethodPost, Path: "/v1/services/" + serviceName + "/postings", Body: []byte(`{"premium":1200}`),
	})
	d.addResult(result{class: "posting", kind: r.Outcome, correct: true, latency: d.clock.Now() - startedAt, failureReason: failureReason(r, err)})
}

// failureReason returns why a request was not answered, or "" if it was.
func failureReason(r caller.Reply, err error) string {
	if err != nil {
		return err.Error()
	}
	if r.Outcome != outcome.Answered {
		return r.Text
	}
	return ""
}

// printReport prints the results. It returns an error if the posting did not run exactly
// once, an answer was wrong or a request was not answered.
func (d *demo) printReport(w io.Writer) error {
	if err := d.printTable(w); err != nil {
		return err
	}
	runs := d.site.Runs(d.postingKey)
	fmt.Fprintf(w, "\nThe posting was sent twice with one key; the ledger ran it %d time(s).\n", runs)
	if runs != 1 {
		return errors.Errorf("broken promise: the posting ran %d times, want 1", runs)
	}
	return d.checkResults()
}

// printTable prints the number of requests by class and outcome.
func (d *demo) printTable(w io.Writer) error {
	byClass := lo.GroupBy(d.allResults, func(r result) string { return r.class })
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "\nCLASS\tTIER\tSENT\tANSWERED\tNOT RUN\tUNKNOWN\tSLOWEST")
	for _, spec := range classSpecs {
		results := byClass[spec.name]
		slowest := lo.MaxBy(results, func(a, b result) bool { return a.latency > b.latency })
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d ms\n", spec.name, spec.tier, len(results),
			countKind(results, outcome.Answered), countKind(results, outcome.NotRun), countKind(results, outcome.Unknown), slowest.latency)
	}
	return errors.Wrap(tw.Flush(), "cannot write table")
}

func countKind(results []result, kind outcome.Kind) int {
	return lo.CountBy(results, func(r result) bool { return r.kind == kind })
}

// checkResults returns an error if an answer is wrong or a request was not answered.
// The site has the capacity to answer all of them.
func (d *demo) checkResults() error {
	for _, r := range d.allResults {
		if !r.correct {
			return errors.Errorf("broken promise: a %s request got another answer than its engine made", r.class)
		}
		if r.kind != outcome.Answered {
			return errors.Errorf("broken promise: a %s request ended as %s: %s", r.class, r.kind, r.failureReason)
		}
	}
	return nil
}
