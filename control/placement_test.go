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

// fakeLeaderLog is a fake replicated log of a leader whose term and remaining
// lease are set by the test. It counts the calls of Barrier.
type fakeLeaderLog struct {
	fakeLog
	mu       sync.Mutex
	term     uint64
	lease    clock.Millis
	barriers int
}

func (l *fakeLeaderLog) Status() replica.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return replica.Status{Role: replica.Leader, Term: l.term, LeaseRemaining: l.lease, Founded: true, Leader: "self"}
}

func (l *fakeLeaderLog) Barrier(context.Context) replica.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.barriers++
	return replica.Result{Kind: replica.Committed}
}

func (l *fakeLeaderLog) barrierCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.barriers
}

// placementEnv is a test environment for placement: a leading control member on
// a manual clock, an entry that only serves digests, and stand-in engines that
// accept orders.
type placementEnv struct {
	t           *testing.T
	clock       clock.Clock
	manual      *clock.Manual
	log         *fakeLeaderLog
	member      *control.Control
	client      *control.Client
	registry    *backend.Registry
	mu          sync.Mutex // guards registry
	entry       *httptest.Server
	engines     map[string]*standin.Engine
	sequence    uint64
	silentEntry string // address of a second entry that does not answer; none when empty
	demands     []lease.Demand
}

func newPlacementEnv(t *testing.T, ordersPerMinute int) *placementEnv {
	t.Helper()
	env := &placementEnv{t: t, log: &fakeLeaderLog{term: 1, lease: 900}, engines: map[string]*standin.Engine{}}
	env.clock, env.manual = clock.NewManual(1)
	env.registry = backend.New(backend.Options{Entry: "e1", Epoch: 1})
	env.entry = httptest.NewServer(http.HandlerFunc(env.serveDigest))
	t.Cleanup(env.entry.Close)
	member, release, err := control.New(control.Options{
		Name: "c1", Listen: "127.0.0.1:0", Folder: t.TempDir(), ModelLoadsPerMinute: ordersPerMinute,
		Clock: env.clock, Logger: event.Discard(),
		OpenLog: func(replica.Options) (control.Log, func(), error) { return env.log, func() {}, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	env.member, env.client = member, newClient(t, "", member.Address())
	return env
}

// serveDigest serves the digest of the entry's registry.
func (env *placementEnv) serveDigest(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	pull, err := backend.DecodeDigestRequest(body)
	if err != nil || r.URL.Path != "/peer/v1/digest" {
		http.Error(w, "bad pull", http.StatusBadRequest)
		return
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	data, err := backend.EncodeDigest(env.registry.Digest(env.clock.Now(), pull.Since))
	if err != nil {
		env.t.Error(err)
	}
	_, _ = w.Write(data)
}

// addEngine starts a stand-in engine. The name of an engine that ignores
// fencing tokens starts with "ignoring".
func (env *placementEnv) addEngine(name string, ignoreFencing bool, models ...string) {
	env.t.Helper()
	e, release, err := standin.NewEngine(standin.EngineOptions{
		Name: name, Listen: "127.0.0.1:0", Models: models, IgnoreFencing: ignoreFencing,
		Clock: clock.New(), Logger: event.Discard(),
	})
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(release)
	env.engines[name] = e
}

// runRound announces the engines, renews the entry's lease and runs one
// planning round of the leader.
func (env *placementEnv) runRound() {
	env.t.Helper()
	env.eventually("the leader waiting for its next round", func() bool { return env.manual.PendingTimers() >= 3 })
	before := env.state().Placement.Rounds
	env.manual.Advance(planInterval - 1)
	env.eventually("the other tasks waiting again", func() bool { return env.manual.PendingTimers() >= 3 })
	env.announce()
	env.renew()
	env.manual.Advance(1)
	env.eventually("a planning round", func() bool { return env.state().Placement.Rounds > before })
}

// announce reports the state of all engines to the entry's registry.
func (env *placementEnv) announce() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.sequence++
	for name, e := range env.engines {
		a := backend.NewAnnouncement(name, 1, env.sequence, e.Address()).WithSlots(4).
			WithModels(e.State().Models...).WithChecksFencing(!strings.HasPrefix(name, "ignoring"))
		env.registry.Accept(env.clock.Now(), a, 0)
	}
}

// renew renews the leases of the entries. The entry reports the demand.
func (env *placementEnv) renew() {
	env.t.Helper()
	if env.silentEntry != "" {
		_, _ = env.client.Renew(env.t.Context(), lease.Renewal{Entry: "e0", Incarnation: 1, Address: env.silentEntry})
	}
	grant, reply := env.client.Renew(env.t.Context(), lease.Renewal{
		Entry: "e1", Incarnation: 1, Address: env.entry.Listener.Addr().String(), Demands: env.demands,
	})
	if !grant.Granted {
		env.t.Fatalf("renewal: %+v", reply)
	}
}

// placementState is the part of /debug/state about placement.
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

func (env *placementEnv) state() placementState {
	var s placementState
	_, body := request(env.t, http.MethodGet, "http://"+env.member.Address()+"/debug/state", "", "")
	if err := json.Unmarshal([]byte(body), &s); err != nil {
		env.t.Fatal(err)
	}
	return s
}

// hasMetric reports whether the metrics contain a line, without its common
// prefix.
func (env *placementEnv) hasMetric(line string) bool {
	_, body := request(env.t, http.MethodGet, "http://"+env.member.Address()+"/metrics", "", "")
	return slices.Contains(strings.Split(body, "\n"), "galenaslip_control_"+line)
}

// eventually polls until the condition holds. The test fails after 60 s of real
// time, which is far longer than a correct program needs.
func (env *placementEnv) eventually(what string, condition func() bool) {
	env.t.Helper()
	ctx, cancel := context.WithTimeout(env.t.Context(), (60 * clock.Second).Duration())
	defer cancel()
	for !condition() {
		if !clock.New().Sleep(ctx, 2) {
			env.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// enginesWith returns the sorted names of the engines that have loaded a model.
func (env *placementEnv) enginesWith(model string) []string {
	var names []string
	for name, e := range env.engines {
		if slices.Contains(e.State().Models, model) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// demandFor returns the demand for a model, as waiting requests by tier.
func demandFor(model string, tiers ...int) lease.Demand {
	return lease.Demand{Model: model, WaitingByTier: tiers}
}

// Guards against a model that stays without a server after its only engine is
// gone, against a demand that loads a model on several engines, and against an
// entry without answers that keeps the leader from asking the next entry.
func TestModelWithoutServerIsLoadedOnce(t *testing.T) {
	t.Parallel()
	env := newPlacementEnv(t, 60)
	env.silentEntry = "127.0.0.1:1"
	env.addEngine("only", false, "m1")
	env.addEngine("spare-1", false)
	env.addEngine("spare-2", false)
	env.demands = []lease.Demand{demandFor("m1", 0, 1)}
	env.runRound()
	env.runRound()
	if got := env.enginesWith("m1"); !slices.Equal(got, []string{"only"}) {
		t.Fatalf("with a live server: got m1 on %v, want no other", got)
	}
	delete(env.engines, "only")
	for range 5 {
		env.runRound()
	}
	env.eventually("m1 on another engine", func() bool { return len(env.enginesWith("m1")) > 0 })
	for range 3 {
		env.runRound()
	}
	if got := env.enginesWith("m1"); len(got) != 1 {
		t.Errorf("got m1 on %v, want one engine", got)
	}
	if !env.hasMetric(`orders_done_total{kind="load_model"} 1`) {
		t.Error("the metrics do not show one order as done")
	}
	if got := env.state().Placement.Pending; len(got) != 0 {
		t.Errorf("pending after the load: got %+v, want none", got)
	}
}

// Guards against a late order of a former leader that takes effect at an engine
// that has seen a newer fencing token. After the refusal the former leader must
// check its leadership and must not repeat the order in its term.
func TestLateOrderOfFormerLeader(t *testing.T) {
	t.Parallel()
	env := newPlacementEnv(t, 60)
	env.addEngine("spare", false)
	newer := `{"order_id":"2-1","fencing_token":2,"kind":"unload_model","model":"none"}`
	if status, body := request(t, http.MethodPost, "http://"+env.engines["spare"].Address()+"/v1/orders", "", newer); status != http.StatusAccepted {
		t.Fatalf("order of the newer leader: got %d %s", status, body)
	}
	env.demands = []lease.Demand{demandFor("m1", 1)}
	env.runRound()
	env.runRound()
	env.eventually("a refused order", func() bool { return env.hasMetric(`orders_refused_total{kind="load_model"} 1`) })
	env.eventually("a check of the leadership", func() bool { return env.log.barrierCount() == 1 })
	for range 3 {
		env.runRound()
	}
	if got := env.enginesWith("m1"); len(got) != 0 {
		t.Errorf("got m1 on %v, want it nowhere", got)
	}
	if !env.hasMetric(`orders_sent_total{kind="load_model"} 1`) {
		t.Error("the refused order was repeated in its term")
	}
}

// Guards against an order that is sent although the leader lease expired between
// planning and sending.
func TestLeaseEndsBeforeTheWrite(t *testing.T) {
	t.Parallel()
	env := newPlacementEnv(t, 60)
	env.addEngine("spare", false)
	env.demands = []lease.Demand{demandFor("m1", 1)}
	env.runRound()
	if got := control.OrderBlockedByLease(t.Context(), env.member, env.engines["spare"].Address(), 2); !got {
		t.Error("an order of another term was sent")
	}
	env.log.mu.Lock()
	env.log.lease = 0
	env.log.mu.Unlock()
	if got := control.OrderBlockedByLease(t.Context(), env.member, env.engines["spare"].Address(), 1); !got {
		t.Error("an order was sent without the leader lease")
	}
	if got := env.enginesWith("m1"); len(got) != 0 {
		t.Errorf("got m1 on %v, want it nowhere", got)
	}
}

// Guards against model loads that exceed the configured rate, which protects
// the weight store.
func TestLoadRateLimit(t *testing.T) {
	t.Parallel()
	env := newPlacementEnv(t, 10)
	env.addEngine("spare-1", false)
	env.addEngine("spare-2", false)
	env.demands = []lease.Demand{demandFor("m1", 0, 0, 1), demandFor("m2", 1)}
	loadTimes := map[string]clock.Millis{}
	for range 20 {
		env.runRound()
		for _, o := range env.state().Placement.Pending {
			if _, ok := loadTimes[o.Model]; !ok {
				loadTimes[o.Model] = env.clock.Now()
			}
			env.eventually("the effect of the order", func() bool { return len(env.enginesWith(o.Model)) == 1 })
		}
	}
	if len(loadTimes) != 2 {
		t.Fatalf("got loads at %v, want one of each model", loadTimes)
	}
	if got, want := loadTimes["m1"]-loadTimes["m2"], 6*clock.Second; got < want {
		t.Errorf("the lower tier's load came %d ms after the higher tier's, want at least %d", got, want)
	}
}

// Guards against an order to an engine that ignores fencing tokens while an
// order of the former leader may still arrive there.
func TestIgnoringEngineWaitsForFormerLease(t *testing.T) {
	t.Parallel()
	env := newPlacementEnv(t, 6000)
	env.addEngine("ignoring", true)
	env.demands = []lease.Demand{demandFor("m1", 1)}
	env.runRound() // the planner sees the term for the first time
	if got := env.state().Placement.Pending; len(got) != 0 {
		t.Errorf("first round: got pending %+v, want none", got)
	}
	env.runRound()
	env.eventually("the load", func() bool { return len(env.enginesWith("m1")) == 1 })
}

// Guards against a member that plans although it does not hold the leader lease.
func TestFollowerDoesNotPlan(t *testing.T) {
	t.Parallel()
	env := newPlacementEnv(t, 60)
	env.addEngine("spare", false)
	env.demands = []lease.Demand{demandFor("m1", 1)}
	env.runRound()
	before := env.state().Placement.Rounds
	env.log.mu.Lock()
	env.log.lease = 0
	env.log.mu.Unlock()
	for range 3 {
		env.eventually("the tasks waiting", func() bool { return env.manual.PendingTimers() >= 3 })
		env.manual.Advance(planInterval)
	}
	env.eventually("the tasks waiting", func() bool { return env.manual.PendingTimers() >= 3 })
	if got := env.state().Placement.Rounds; got != before {
		t.Errorf("got %d rounds, want %d", got, before)
	}
	if _, reply := env.client.Members(t.Context()); reply.Kind != outcome.Answered {
		t.Errorf("members: %+v", reply)
	}
}
