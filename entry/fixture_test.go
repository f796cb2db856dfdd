package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/standin"
)

// fakeControl is a control group that grants leases and keeps claims in memory.
type fakeControl struct {
	mu            sync.Mutex
	clock         clock.Clock
	machine       *claim.Machine
	configuration configuration.Configuration
	entries       map[string]lease.Entry
	demand        []lease.Demand // reported by the last renewal
	renewals      int            // granted renewals
	down          bool           // refuses all commands
	claimsDown    bool           // refuses the commands on claims, but renews leases
	afterSend     func()         // runs after each MarkSent, before its reply
	lostReplies   map[string]int // number of replies to lose, by command
}

func newFakeControl(tb testing.TB) *fakeControl {
	tb.Helper()
	c := configuration.Configuration{}.WithRevision(1)
	for name, tier := range map[string]class.Tier{"query": 1, "digest": 3, "tagging": 4} {
		k, err := class.New(name, tier, 2*clock.Second, class.FirstToken)
		if err != nil {
			tb.Fatal(err)
		}
		c = c.WithClass(k)
	}
	return &fakeControl{clock: clock.New(), machine: claim.NewMachine(), configuration: c, entries: map[string]lease.Entry{}}
}

// update changes the fields under the lock.
func (f *fakeControl) update(change func(f *fakeControl)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeControl) Renew(_ context.Context, r lease.Renewal) (lease.Grant, control.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return lease.Grant{}, control.Reply{Kind: outcome.NotRun}
	}
	f.demand, f.renewals = r.Demands, f.renewals+1
	f.entries[r.Entry] = lease.Entry{Name: r.Entry, Address: r.Address, AvailabilityZone: r.AvailabilityZone}
	g := lease.Grant{Granted: true, Duration: lease.Duration, Term: 1, Revision: f.configuration.Revision()}
	if r.Revision < g.Revision {
		c := f.configuration
		g.Configuration = &c
	}
	for _, e := range f.entries {
		g.Entries = append(g.Entries, e)
	}
	return g, control.Reply{Kind: outcome.Answered}
}

func (f *fakeControl) apply(command claim.Command) control.ClaimReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.claimsDown {
		return control.ClaimReply{Reply: control.Reply{Kind: outcome.NotRun}}
	}
	return control.ClaimReply{
		Reply:  control.Reply{Kind: outcome.Answered},
		Result: f.machine.Apply(f.clock.Wall(), command),
	}
}

func (f *fakeControl) Acquire(_ context.Context, key, bodyHash string, a claim.Attempt) control.ClaimReply {
	return f.loseReply("acquire", f.apply(claim.Acquire{Key: key, BodyHash: bodyHash, Attempt: a}))
}

func (f *fakeControl) MarkSent(_ context.Context, key string, a claim.Attempt) control.ClaimReply {
	reply := f.apply(claim.MarkSent{Key: key, Attempt: a})
	f.mu.Lock()
	hook := f.afterSend
	f.mu.Unlock()
	if hook != nil {
		hook()
	}
	return reply
}

func (f *fakeControl) EndAttempt(_ context.Context, key string, a claim.Attempt, s claim.State, answer claim.Answer) control.ClaimReply {
	f.mu.Lock()
	lost := f.lostReplies["settle"] > 0
	f.mu.Unlock()
	if lost {
		return f.loseReply("settle", control.ClaimReply{})
	}
	return f.apply(claim.EndAttempt{Key: key, Attempt: a, State: s, Answer: answer})
}

// loseReply returns the reply, or an unknown outcome while replies to this command are
// to be lost.
func (f *fakeControl) loseReply(call string, reply control.ClaimReply) control.ClaimReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostReplies[call] == 0 {
		return reply
	}
	f.lostReplies[call]--
	return control.ClaimReply{Reply: control.Reply{Kind: outcome.Unknown}}
}

func (f *fakeControl) Lookup(_ context.Context, key string) control.ClaimReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.claimsDown {
		return control.ClaimReply{Reply: control.Reply{Kind: outcome.NotRun}}
	}
	return control.ClaimReply{Reply: control.Reply{Kind: outcome.Answered}, Result: f.machine.Lookup(key)}
}

// site runs entries, engines and services on loopback addresses.
type site struct {
	t        testing.TB
	clock    clock.Clock
	control  *fakeControl
	entries  []*entry.Entry
	engines  []*standin.Engine
	services []*standin.Service

	engineOptions standin.EngineOptions // of the engines that newSite starts
}

const (
	testModel = "m-small"
	// eventuallyTimeout bounds the wait for a condition. It is far longer than any wait
	// that a test expects, so that a slow machine does not change the result.
	eventuallyTimeout = 20 * time.Second
)

// newSite starts a site and waits until every entry knows every server. The adjust
// functions change the options first.
func newSite(tb testing.TB, entries, engines, services int, adjustments ...func(*entry.Options, *standin.EngineOptions)) *site {
	tb.Helper()
	s := &site{t: tb, clock: clock.New(), control: newFakeControl(tb)}
	entryOptions := entry.Options{AvailabilityZone: "az-1", Listen: "127.0.0.1:0", Clock: clock.New(), Logger: event.Discard()}
	entryOptions.Timeouts.StopWait = 50 * clock.Millisecond
	entryOptions.Timeouts.ReadTimeout = 1500 * clock.Millisecond
	entryOptions.Timeouts.DigestInterval = 50 * clock.Millisecond
	engineOptions := standin.EngineOptions{Listen: "127.0.0.1:0", Models: []string{testModel}, Clock: clock.New(), Logger: event.Discard()}
	engineOptions.TokenTime = 4 * clock.Millisecond
	for _, change := range adjustments {
		change(&entryOptions, &engineOptions)
	}
	for i := range entries {
		s.addEntry(fmt.Sprintf("entry-%d", i), entryOptions)
	}
	engineOptions.Announce = s.announce()
	s.engineOptions = engineOptions
	for i := range engines {
		s.addEngine(fmt.Sprintf("engine-%d", i), engineOptions)
	}
	for i := range services {
		s.addService(fmt.Sprintf("ledger-%d", i))
	}
	s.eventually("every server is known", func() bool { return s.allServersKnown() })
	return s
}

// elapsed returns the time since the site was started.
func (s *site) elapsed() clock.Millis { return s.clock.Now() }

// announce returns the options with which servers announce themselves to all entries.
func (s *site) announce() standin.Announce {
	a := standin.Announce{Interval: 100 * clock.Millisecond}
	for _, e := range s.entries {
		a.Entries = append(a.Entries, e.Address())
	}
	return a
}

func (s *site) addEntry(name string, o entry.Options) {
	s.t.Helper()
	o.Name, o.Control = name, s.control
	e, release, err := entry.New(o)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(release)
	s.entries = append(s.entries, e)
}

func (s *site) addEngine(name string, o standin.EngineOptions) {
	s.t.Helper()
	o.Name = name
	e, release, err := standin.NewEngine(o)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(release)
	s.engines = append(s.engines, e)
}

func (s *site) addService(name string) {
	s.t.Helper()
	v, release, err := standin.NewService(standin.ServiceOptions{
		Name: name, Listen: "127.0.0.1:0", Services: []string{"ledger"}, Announce: s.announce(),
		Clock: clock.New(), Logger: event.Discard(),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(release)
	s.services = append(s.services, v)
}

// allServersKnown reports whether every entry is ready and can use every server.
func (s *site) allServersKnown() bool {
	for _, e := range s.entries {
		var state struct {
			Ready   bool
			Servers []struct{ Usable bool }
		}
		if getJSON(s.t, e, "/debug/state", &state) != http.StatusOK || !state.Ready {
			return false
		}
		usable := 0
		for _, v := range state.Servers {
			if v.Usable {
				usable++
			}
		}
		if usable < len(s.engines)+len(s.services) {
			return false
		}
	}
	return true
}

// eventually waits until a condition holds. It fails the test after eventuallyTimeout.
func (s *site) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := s.elapsed() + clock.FromDuration(eventuallyTimeout); s.elapsed() < end; s.clock.Sleep(context.Background(), 10) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("condition not met within %s: %s", eventuallyTimeout, what)
}

// getJSON requests a path of an entry, decodes the answer into a value unless that is
// nil, and returns the status.
func getJSON(tb testing.TB, e *entry.Entry, path string, into any) int {
	tb.Helper()
	r, err := http.Get("http://" + e.Address() + path)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		tb.Fatal(err)
	}
	if into != nil {
		if err := json.Unmarshal(body, into); err != nil {
			tb.Fatalf("%s: %v", body, err)
		}
	}
	return r.StatusCode
}

// reply is an HTTP response that was read whole.
type reply struct {
	status  int
	headers http.Header
	body    []byte
}

// code returns the error's code and outcome, such as "no_server/not_run", or "/" when
// there is no error.
func (r reply) code() string {
	var w struct {
		Error struct{ Code, Outcome string }
	}
	_ = json.Unmarshal(r.body, &w)
	return w.Error.Code + "/" + w.Error.Outcome
}

// option changes a request before it is sent.
type option func(r *http.Request)

// withHeader sets a header, or removes it when the value is empty.
func withHeader(name, value string) option {
	return func(r *http.Request) {
		r.Header.Del(name)
		if value != "" {
			r.Header.Set(name, value)
		}
	}
}

// request returns a request with the headers that every caller must send.
func request(tb testing.TB, method, url string, body []byte, options ...option) *http.Request {
	tb.Helper()
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	r.Header.Set("X-Galenaslip-Class", "query")
	r.Header.Set("X-Galenaslip-Workspace", "bordelund")
	for _, o := range options {
		o(r)
	}
	return r
}

// do sends a request and reads the whole response.
func do(tb testing.TB, method, url string, body []byte, options ...option) reply {
	tb.Helper()
	r, err := http.DefaultClient.Do(request(tb, method, url, body, options...))
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	answer, err := io.ReadAll(r.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return reply{status: r.StatusCode, headers: r.Header, body: answer}
}

func chatBody(prompt string, streamed bool) []byte {
	body, err := json.Marshal(map[string]any{
		"model": testModel, "stream": streamed,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// expiredContext returns a context that has ended, to stop an entry without a grace
// period.
func expiredContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
