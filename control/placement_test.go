package control_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/standin"
)

// planInterval is the time between two planning rounds of the leader.
const planInterval = 2 * clock.Second

// ledLog is a log that leads in the term that the test says.
type ledLog struct {
	fakeLog
	mu       sync.Mutex
	term     uint64
	lease    clock.Millis
	barriers int
}

func (l *ledLog) Status() replica.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return replica.Status{Role: replica.Leader, Term: l.term, LeaseRemaining: l.lease, Founded: true, Leader: "self"}
}

func (l *ledLog) Barrier(context.Context) replica.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.barriers++
	return replica.Result{Kind: replica.Committed}
}

func (l *ledLog) barrierCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.barriers
}

// yard is a leading control member on a manual clock, an entry that only serves
// digests, and stand-in engines that take orders.
type yard struct {
	t        *testing.T
	clock    clock.Clock
	manual   *clock.Manual
	log      *ledLog
	member   *control.Control
	client   *control.Client
	registry *backend.Registry
	mu       sync.Mutex // guards registry
	entry    *httptest.Server
	engines  map[string]*standin.Engine
	sequence uint64
	silent   string // address of another entry, which does not answer
	demand   []lease.Demand
}

func newYard(t *testing.T, ordersPerMinute int) *yard {
	t.Helper()
	y := &yard{t: t, log: &ledLog{term: 1, lease: 900}, engines: map[string]*standin.Engine{}}
	y.clock, y.manual = clock.NewManual(1)
	y.registry = backend.New(backend.Options{Entry: "e1", Epoch: 1})
	y.entry = httptest.NewServer(http.HandlerFunc(y.digest))
	t.Cleanup(y.entry.Close)
	member, release, err := control.New(control.Options{
		Name: "c1", Listen: "127.0.0.1:0", Folder: t.TempDir(), OrdersPerMinute: ordersPerMinute,
		Clock: y.clock, Logger: event.Discard(),
		OpenLog: func(replica.Options) (control.Log, func(), error) { return y.log, func() {}, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	y.member, y.client = member, newClient(t, "", member.Address())
	return y
}

func (y *yard) digest(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	pull, err := backend.DecodeDigestRequest(body)
	if err != nil || r.URL.Path != "/peer/v1/digest" {
		http.Error(w, "bad pull", http.StatusBadRequest)
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	data, err := backend.EncodeDigest(y.registry.Digest(y.clock.Now(), pull.Since))
	if err != nil {
		y.t.Error(err)
	}
	_, _ = w.Write(data)
}

func (y *yard) addEngine(name string, ignoreFencing bool, models ...string) {
	y.t.Helper()
	e, release, err := standin.NewEngine(standin.EngineOptions{
		Name: name, Listen: "127.0.0.1:0", Models: models, IgnoreFencing: ignoreFencing,
		Clock: clock.New(), Logger: event.Discard(),
	})
	if err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(release)
	y.engines[name] = e
}

// round announces the engines, renews the entry's lease and lets the leader plan
// once.
func (y *yard) round() {
	y.t.Helper()
	y.eventually("the leader waiting for its next round", func() bool { return y.manual.PendingTimers() >= 3 })
	before := y.state().Placement.Rounds
	y.manual.Advance(planInterval - 1)
	y.eventually("the other tasks waiting again", func() bool { return y.manual.PendingTimers() >= 3 })
	y.announce()
	y.renew()
	y.manual.Advance(1)
	y.eventually("a planning round", func() bool { return y.state().Placement.Rounds > before })
}

func (y *yard) announce() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.sequence++
	for name, e := range y.engines {
		a := backend.NewAnnouncement(name, 1, y.sequence, e.Address()).WithSlots(4).
			WithModels(e.State().Models...).WithChecksFencing(!strings.HasPrefix(name, "ignoring"))
		y.registry.Accept(y.clock.Now(), a, 0)
	}
}

func (y *yard) renew() {
	y.t.Helper()
	if y.silent != "" {
		_, _ = y.client.Renew(y.t.Context(), lease.Renewal{Entry: "e0", Incarnation: 1, Address: y.silent})
	}
	grant, reply := y.client.Renew(y.t.Context(), lease.Renewal{
		Entry: "e1", Incarnation: 1, Address: y.entry.Listener.Addr().String(), Demands: y.demand,
	})
	if !grant.Granted {
		y.t.Fatalf("renewal: %+v", reply)
	}
}

type placementState struct {
	Placement struct {
		Rounds  uint64 `json:"rounds"`
		Pending []struct {
			OrderID string `json:"order_id"`
			Kind    string `json:"kind"`
			Server  string `json:"server"`
			Model   string `json:"model"`
		} `json:"pending"`
	} `json:"placement"`
}

func (y *yard) state() placementState {
	var s placementState
	_, body := request(y.t, http.MethodGet, "http://"+y.member.Address()+"/debug/state", "", "")
	if err := json.Unmarshal([]byte(body), &s); err != nil {
		y.t.Fatal(err)
	}
	return s
}

func (y *yard) hasMetric(line string) bool {
	_, body := request(y.t, http.MethodGet, "http://"+y.member.Address()+"/metrics", "", "")
	return slices.Contains(strings.Split(body, "\n"), "galenaslip_control_"+line)
}

// eventually polls until the condition holds; the limit only ends a hopeless test.
func (y *yard) eventually(what string, condition func() bool) {
	y.t.Helper()
	ctx, cancel := context.WithTimeout(y.t.Context(), (60 * clock.Second).Duration())
	defer cancel()
	for !condition() {
		if !clock.New().Sleep(ctx, 2) {
			y.t.Fatalf("never saw %s", what)
		}
	}
}

// servers returns the engines that hold a model, sorted.
func (y *yard) servers(model string) []string {
	var names []string
	for name, e := range y.engines {
		if slices.Contains(e.State().Models, model) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func wants(model string, tiers ...int) lease.Demand {
	return lease.Demand{Model: model, Tiers: tiers}
}

// Guards against a model that stays without a server after its only engine is
// gone, and against one demand that loads it on several engines. An entry that
// does not answer must not keep the leader from the next one.
func TestModelWithoutServerIsLoadedOnce(t *testing.T) {
	t.Parallel()
	y := newYard(t, 60)
	y.silent = "127.0.0.1:1"
	y.addEngine("only", false, "m1")
	y.addEngine("spare-1", false)
	y.addEngine("spare-2", false)
	y.demand = []lease.Demand{wants("m1", 0, 1)}
	y.round()
	y.round()
	if got := y.servers("m1"); !slices.Equal(got, []string{"only"}) {
		t.Fatalf("with a live server: got m1 on %v, want no other", got)
	}
	delete(y.engines, "only")
	for range 5 {
		y.round()
	}
	y.eventually("m1 on another engine", func() bool { return len(y.servers("m1")) > 0 })
	for range 3 {
		y.round()
	}
	if got := y.servers("m1"); len(got) != 1 {
		t.Errorf("got m1 on %v, want one engine", got)
	}
	if !y.hasMetric(`orders_done_total{kind="load_model"} 1`) {
		t.Error("the metrics do not show one order as done")
	}
	if got := y.state().Placement.Pending; len(got) != 0 {
		t.Errorf("pending after the load: got %+v, want none", got)
	}
}

// Guards against a former leader whose late order takes effect at an engine that
// has seen a newer token, and against one that does not check its lease then or
// repeats the order in its term.
func TestLateOrderOfFormerLeader(t *testing.T) {
	t.Parallel()
	y := newYard(t, 60)
	y.addEngine("spare", false)
	newer := `{"order_id":"2-1","fencing_token":2,"kind":"unload_model","model":"none"}`
	if status, body := request(t, http.MethodPost, "http://"+y.engines["spare"].Address()+"/v1/orders", "", newer); status != http.StatusAccepted {
		t.Fatalf("order of the newer leader: got %d %s", status, body)
	}
	y.demand = []lease.Demand{wants("m1", 1)}
	y.round()
	y.round()
	y.eventually("a refused order", func() bool { return y.hasMetric(`orders_refused_total{kind="load_model"} 1`) })
	y.eventually("a check of the leadership", func() bool { return y.log.barrierCount() == 1 })
	for range 3 {
		y.round()
	}
	if got := y.servers("m1"); len(got) != 0 {
		t.Errorf("got m1 on %v, want it nowhere", got)
	}
	if !y.hasMetric(`orders_sent_total{kind="load_model"} 1`) {
		t.Error("the refused order was repeated in its term")
	}
}

// Guards against an order that is written after the leader lease has ended
// between planning and the write.
func TestLeaseEndsBeforeTheWrite(t *testing.T) {
	t.Parallel()
	y := newYard(t, 60)
	y.addEngine("spare", false)
	y.demand = []lease.Demand{wants("m1", 1)}
	y.round()
	if got := control.Withheld(t.Context(), y.member, y.engines["spare"].Address(), 2); !got {
		t.Error("an order of another term was sent")
	}
	y.log.mu.Lock()
	y.log.lease = 0
	y.log.mu.Unlock()
	if got := control.Withheld(t.Context(), y.member, y.engines["spare"].Address(), 1); !got {
		t.Error("an order was sent without the leader lease")
	}
	if got := y.servers("m1"); len(got) != 0 {
		t.Errorf("got m1 on %v, want it nowhere", got)
	}
}

// Guards against loads that exceed the rate of the weight store.
func TestLoadsAreSpaced(t *testing.T) {
	t.Parallel()
	y := newYard(t, 10)
	y.addEngine("spare-1", false)
	y.addEngine("spare-2", false)
	y.demand = []lease.Demand{wants("m1", 0, 0, 1), wants("m2", 1)}
	loaded := map[string]clock.Millis{}
	for range 20 {
		y.round()
		for _, o := range y.state().Placement.Pending {
			if _, ok := loaded[o.Model]; !ok {
				loaded[o.Model] = y.clock.Now()
			}
			y.eventually("the effect of the order", func() bool { return len(y.servers(o.Model)) == 1 })
		}
	}
	if len(loaded) != 2 {
		t.Fatalf("got loads at %v, want one of each model", loaded)
	}
	if got, want := loaded["m1"]-loaded["m2"], 6*clock.Second; got < want {
		t.Errorf("the lower tier's load came %d ms after the higher tier's, want at least %d", got, want)
	}
}

// Guards against an engine that ignores tokens and gets an order while one of the
// former leader may still arrive.
func TestIgnoringEngineWaitsForFormerLease(t *testing.T) {
	t.Parallel()
	y := newYard(t, 6000)
	y.addEngine("ignoring", true)
	y.demand = []lease.Demand{wants("m1", 1)}
	y.round() // the term is first seen here
	if got := y.state().Placement.Pending; len(got) != 0 {
		t.Errorf("first round: got pending %+v, want none", got)
	}
	y.round()
	y.eventually("the load", func() bool { return len(y.servers("m1")) == 1 })
}

// Guards against a member that plans without the leader lease.
func TestFollowerDoesNotPlan(t *testing.T) {
	t.Parallel()
	y := newYard(t, 60)
	y.addEngine("spare", false)
	y.demand = []lease.Demand{wants("m1", 1)}
	y.round()
	before := y.state().Placement.Rounds
	y.log.mu.Lock()
	y.log.lease = 0
	y.log.mu.Unlock()
	for range 3 {
		y.eventually("the tasks waiting", func() bool { return y.manual.PendingTimers() >= 3 })
		y.manual.Advance(planInterval)
	}
	y.eventually("the tasks waiting", func() bool { return y.manual.PendingTimers() >= 3 })
	if got := y.state().Placement.Rounds; got != before {
		t.Errorf("got %d rounds, want %d", got, before)
	}
	if _, reply := y.client.Members(t.Context()); reply.Kind != outcome.Answered {
		t.Errorf("members: %+v", reply)
	}
}
