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

// fakeControl grants leases and keeps claims in memory.
type fakeControl struct {
	mu            sync.Mutex
	clock         clock.Clock
	machine       *claim.Machine
	configuration configuration.Configuration
	entries       map[string]lease.Entry
	demand        []lease.Demand // of the newest renewal
	renewals      int
	down          bool
	claimsDown    bool // refuses the commands on claims, but renews leases
	afterSend     func()
	lostAnswers   map[string]int // answers that are lost, by call
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

func (f *fakeControl) set(change func(f *fakeControl)) {
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
	return f.lose("acquire", f.apply(claim.Acquire{Key: key, BodyHash: bodyHash, Attempt: a}))
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

func (f *fakeControl) Settle(_ context.Context, key string, a claim.Attempt, s claim.State, answer claim.Answer) control.ClaimReply {
	f.mu.Lock()
	lost := f.lostAnswers["settle"] > 0
	f.mu.Unlock()
	if lost {
		return f.lose("settle", control.ClaimReply{})
	}
	return f.apply(claim.Settle{Key: key, Attempt: a, State: s, Answer: answer})
}

// lose replaces a reply by one that says nothing, as often as was asked for.
func (f *fakeControl) lose(call string, reply control.ClaimReply) control.ClaimReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAnswers[call] == 0 {
		return reply
	}
	f.lostAnswers[call]--
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

// site is a small site: entries, engines and services on loopback addresses.
type site struct {
	t        testing.TB
	clock    clock.Clock
	control  *fakeControl
	entries  []*entry.Entry
	engines  []*standin.Engine
	services []*standin.Service
}

const (
	testModel = "m-small"
	// settleTime bounds every wait of these tests; it decides no result.
	settleTime = 20 * time.Second
)

func newSite(tb testing.TB, entries, engines, services int, adjust ...func(*entry.Options, *standin.EngineOptions)) *site {
	tb.Helper()
	s := &site{t: tb, clock: clock.New(), control: newFakeControl(tb)}
	eo := entry.Options{AvailabilityZone: "az-1", Listen: "127.0.0.1:0", Clock: clock.New(), Logger: event.Discard()}
	eo.Timeouts.StopWait = 50 * clock.Millisecond
	eo.Timeouts.Silence = 1500 * clock.Millisecond
	eo.Timeouts.DigestInterval = 50 * clock.Millisecond
	so := standin.EngineOptions{Listen: "127.0.0.1:0", Models: []string{testModel}, Clock: clock.New(), Logger: event.Discard()}
	so.TokenTime = 4 * clock.Millisecond
	for _, f := range adjust {
		f(&eo, &so)
	}
	for i := range entries {
		s.addEntry(fmt.Sprintf("entry-%d", i), eo)
	}
	so.Announce = s.announce()
	for i := range engines {
		s.addEngine(fmt.Sprintf("engine-%d", i), so)
	}
	for i := range services {
		s.addService(fmt.Sprintf("ledger-%d", i))
	}
	s.eventually("every server is known", func() bool { return s.known() })
	return s
}

// age returns the time since the site was started.
func (s *site) age() clock.Millis { return s.clock.Now() }

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

func (s *site) known() bool {
	for _, e := range s.entries {
		var state struct {
			Ready   bool
			Servers []struct{ Usable bool }
		}
		if get(s.t, e, "/debug/state", &state) != http.StatusOK || !state.Ready {
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

func (s *site) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := s.age() + clock.FromDuration(settleTime); s.age() < end; s.clock.Sleep(context.Background(), 10) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("not reached in %s: %s", settleTime, what)
}

func get(tb testing.TB, e *entry.Entry, path string, into any) int {
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

// reply is an answer as a caller sees it.
type reply struct {
	status  int
	headers http.Header
	body    []byte
}

func (r reply) code() string {
	var w struct {
		Error struct{ Code, Outcome string }
	}
	_ = json.Unmarshal(r.body, &w)
	return w.Error.Code + "/" + w.Error.Outcome
}

type option func(r *http.Request)

func with(name, value string) option {
	return func(r *http.Request) {
		r.Header.Del(name)
		if value != "" {
			r.Header.Set(name, value)
		}
	}
}

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

// expired returns a context that has ended, for a stop without any patience.
func expired() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
