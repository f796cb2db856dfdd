package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/placement"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// engine simulates how an engine executes orders: an order with a known ID has no
// effect, and an order with an old fencing token is refused if the engine checks tokens.
type engine struct {
	checksFencing bool // refuses orders with an old fencing token
	models        []string
	role          backend.Role
	highestToken  uint64          // fencing token
	staleOrders   int             // orders executed after one with a higher fencing token
	executed      map[string]bool // IDs of executed orders
}

func (e *engine) execute(o placement.Order) {
	if o.FencingToken < e.highestToken {
		if e.checksFencing {
			return
		}
		e.staleOrders++
	}
	e.highestToken = max(e.highestToken, o.FencingToken)
	if e.executed[o.ID] {
		return
	}
	e.executed[o.ID] = true
	switch o.Kind {
	case placement.LoadModel:
		e.models = lo.Uniq(append(e.models, o.Model))
	case placement.UnloadModel:
		e.models = lo.Without(e.models, o.Model)
	case placement.ChangeRole:
		e.role = o.Role
	}
}

// simulation delivers orders to simulated engines with random delay and loss.
type simulation struct {
	now                 clock.Millis
	random              *rand.Rand
	loss                int          // percent
	delay, checkedDelay clock.Millis // maximum for engines that ignore, and that check, fencing tokens
	engines             map[string]*engine
	inTransit           []delivery
	sent                []placement.Order
	sentAt              []clock.Millis // time of each order in sent
}

type delivery struct {
	at    clock.Millis
	order placement.Order
}

func (s *simulation) Send(o placement.Order) {
	s.sent, s.sentAt = append(s.sent, o), append(s.sentAt, s.now)
	if s.random.IntN(100) < s.loss {
		return
	}
	delay := s.delay
	if s.engines[o.Server].checksFencing {
		delay = s.checkedDelay
	}
	s.inTransit = append(s.inTransit, delivery{at: s.now + clock.Millis(s.random.Int64N(int64(delay)+1)), order: o})
}

// deliver makes the engines execute the orders that have arrived.
func (s *simulation) deliver() {
	s.inTransit = lo.Filter(s.inTransit, func(d delivery, _ int) bool {
		if d.at <= s.now {
			s.engines[d.order.Server].execute(d.order)
		}
		return d.at > s.now
	})
}

func (s *simulation) names() []string {
	names := lo.Keys(s.engines)
	slices.Sort(names)
	return names
}

func (s *simulation) servers() []backend.Server {
	var all []backend.Server
	for _, name := range s.names() {
		e := s.engines[name]
		a := backend.NewAnnouncement(name, 1, 1, "10.0.0.7:9000").WithModels(e.models...).
			WithRole(e.role).WithSlots(8).WithChecksFencing(e.checksFencing)
		all = append(all, backend.Server{Announcement: a, Usable: true})
	}
	return all
}

func newSimulation(seed uint64, engines int, checksFencing func(int) bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 2)), delay: 1000, checkedDelay: 1000, engines: map[string]*engine{}}
	for i := range engines {
		s.engines[fmt.Sprint("engine-", i)] = &engine{checksFencing: checksFencing(i), role: backend.Generate, executed: map[string]bool{}}
	}
	return s
}

// Guards against stale orders. The former leader plans until its lease ends on its own
// clock, which may run up to 1% slow, and the new leader plans from its election on. No
// engine may execute an order of the former leader after one of the new leader. Engines
// that check fencing tokens must ensure this however late an order arrives.
func TestNoStaleOrders(t *testing.T) {
	const lease = 900
	uncheckedExecutions := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 4, func(i int) bool { return i%2 == 0 })
		s.loss, s.checkedDelay = rapid.IntRange(0, 60).Draw(t, "loss"), 8000
		electedAt := clock.Millis(rapid.IntRange(3000, 9000).Draw(t, "elected"))
		// The new leader may be elected before the former leader's lease has ended by
		// the former leader's clock, if that clock runs slow or was stopped for a while.
		formerLeaseEnd := electedAt + clock.Millis(rapid.IntRange(-1500, lease*101/100).Draw(t, "former ends"))
		options := placement.Options{ModelLoadInterval: 300, ResendAfter: 200, MaxModelsPerServer: 2}
		formerLeader, newLeader := placement.New(options), placement.New(options)
		models := []string{"a", "b", "c", "d"}
		for ; s.now < 20_000; s.now += 50 {
			s.deliver()
			demand := []placement.Demand{{Model: models[s.random.IntN(4)], Tier: 1, Waiting: 100}}
			formerLeader.Plan(s.now, placement.Leadership{Term: 1, LeaseRemaining: formerLeaseEnd - s.now}, demand, s.servers(), s)
			if s.now >= electedAt {
				newLeader.Plan(s.now, placement.Leadership{Term: 2, LeaseRemaining: lease}, demand, s.servers(), s)
			}
			for _, name := range s.names() {
				e := s.engines[name]
				if e.staleOrders > 0 {
					t.Fatalf("%s executed an old order at %d after a new one", name, s.now)
				}
				if e.highestToken == 2 && s.random.IntN(20) == 0 {
					e.models = nil // causes further orders
				}
				if e.highestToken == 2 && !e.checksFencing {
					uncheckedExecutions++
				}
			}
		}
	})
	if uncheckedExecutions == 0 {
		t.Error("no engine that ignores tokens executed an order of the new leader")
	}
}

// Guards against more model loads than the weight store allows, model loads for a lower
// tier before those for a higher one, resent orders that have changed, and lost orders
// that are never resent.
func TestLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), 6, func(int) bool { return true })
		s.loss, s.checkedDelay = rapid.IntRange(0, 70).Draw(t, "loss"), 6000
		p := placement.New(placement.Options{ModelLoadInterval: 1000, MaxPendingModelLoads: 2, ResendAfter: 300})
		tiers := rapid.Permutation([]class.Tier{1, 2, 3, 4}).Draw(t, "tiers")
		var demands []placement.Demand
		for i, tier := range tiers {
			demands = append(demands, placement.Demand{Model: fmt.Sprint("m", tier), Tier: tier, Waiting: 1 + i})
		}
		for ; s.now < 60_000; s.now += 100 {
			s.deliver()
			p.Plan(s.now, placement.Leadership{Term: 1, LeaseRemaining: 900}, demands, s.servers(), s)
			if got := len(p.Pending()); got > 2 {
				t.Fatalf("pending loads: got %d, want at most 2", got)
			}
		}
		checkModelLoads(t, s)
	})
}

func checkModelLoads(t *rapid.T, w *simulation) {
	firstSentAt := map[string]clock.Millis{}
	var models []string
	byID := map[string]placement.Order{}
	lastSentAt := clock.Millis(-1 << 40)
	for i, o := range w.sent {
		if known, ok := byID[o.ID]; ok && known != o {
			t.Fatalf("order %s: got %v, want %v", o.ID, o, known)
		}
		if _, ok := byID[o.ID]; ok {
			continue
		}
		byID[o.ID], firstSentAt[o.ID] = o, w.sentAt[i]
		models = append(models, o.Model)
		if w.sentAt[i]-lastSentAt < 1000 {
			t.Fatalf("loads started at %d and %d, want 1000 between them", lastSentAt, w.sentAt[i])
		}
		lastSentAt = w.sentAt[i]
	}
	if want := []string{"m1", "m2", "m3", "m4"}; !slices.Equal(models, want) {
		t.Fatalf("loads: got %v, want %v", models, want)
	}
	for _, m := range models {
		if !lo.SomeBy(lo.Values(w.engines), func(e *engine) bool { return slices.Contains(e.models, m) }) {
			t.Fatalf("%s was never loaded", m)
		}
	}
}

// Guards against orders that are unnecessary, not allowed or of the wrong kind.
func TestPlan(t *testing.T) {
	idleEngine := backend.NewAnnouncement("idle", 1, 1, "10.0.0.7:9000").WithSlots(8).WithChecksFencing(true)
	uncheckedEngine := idleEngine.WithChecksFencing(false)
	prefillEngine := idleEngine.WithModels("m").WithRole(backend.Prefill)
	servingEngine := idleEngine.WithModels("m")
	otherEngine := backend.NewAnnouncement("other", 1, 1, "10.0.0.7:9000").WithSlots(8).WithModels("x")
	tests := []struct {
		name    string
		servers []backend.Announcement
		waiting int
		lease   clock.Millis
		at      clock.Millis
		want    []placement.Kind
	}{
		{name: "no server", servers: []backend.Announcement{idleEngine}, waiting: 1, lease: 900, at: 9000, want: []placement.Kind{"load_model"}},
		{name: "no demand", servers: []backend.Announcement{idleEngine}, lease: 900, at: 9000},
		{name: "no lease", servers: []backend.Announcement{idleEngine}, waiting: 1, at: 9000},
		{name: "new term's rate limit", servers: []backend.Announcement{idleEngine}, waiting: 1, lease: 900, at: 100},
		{name: "role first", servers: []backend.Announcement{prefillEngine, otherEngine}, waiting: 1, lease: 900, at: 100, want: []placement.Kind{"change_role"}},
		{name: "ignores token, early", servers: []backend.Announcement{uncheckedEngine.WithModels("m").WithRole(backend.Prefill)}, waiting: 1, lease: 900, at: 1900},
		{name: "ignores token, late", servers: []backend.Announcement{uncheckedEngine}, waiting: 1, lease: 900, at: 9000, want: []placement.Kind{"load_model"}},
		{name: "enough servers", servers: []backend.Announcement{servingEngine}, waiting: 4, lease: 900, at: 9000},
		{name: "outgrown, no room", servers: []backend.Announcement{servingEngine, otherEngine}, waiting: 5, lease: 900, at: 9000},
		{name: "makes room", servers: []backend.Announcement{idleEngine.WithModels("x"), otherEngine}, waiting: 1, lease: 900, at: 9000, want: []placement.Kind{"unload_model"}},
		{name: "keeps the last server", servers: []backend.Announcement{otherEngine}, waiting: 1, lease: 900, at: 9000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(1, 0, nil)
			s.engines = map[string]*engine{"idle": {}, "other": {}}
			servers := lo.Map(tt.servers, func(a backend.Announcement, _ int) backend.Server {
				return backend.Server{Announcement: a, Usable: true}
			})
			p := placement.New(placement.Options{})
			for _, now := range []clock.Millis{0, tt.at} {
				p.Plan(now, placement.Leadership{Term: 3, LeaseRemaining: tt.lease}, []placement.Demand{{Model: "m", Tier: 2, Waiting: tt.waiting}}, servers, s)
			}
			got := lo.Map(p.Pending(), func(o placement.Order, _ int) placement.Kind { return o.Kind })
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a further order to an engine in a term whose fencing token it refused.
func TestRefused(t *testing.T) {
	s := newSimulation(1, 1, func(int) bool { return true })
	p := placement.New(placement.Options{ModelLoadInterval: 100})
	plan := func(now clock.Millis, term uint64) int {
		p.Plan(now, placement.Leadership{Term: term, LeaseRemaining: 900}, []placement.Demand{{Model: "m", Tier: 1, Waiting: 1}}, s.servers(), s)
		return len(p.Pending())
	}
	plan(0, 1)
	plan(1000, 1)
	p.RecordRefusal(p.Pending()[0].ID)
	if got := plan(9000, 1); got != 0 {
		t.Errorf("same term: got %d orders, want 0", got)
	}
	plan(10_000, 2)
	if got := plan(11_000, 2); got != 1 {
		t.Errorf("next term: got %d orders, want 1", got)
	}
}
