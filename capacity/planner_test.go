package capacity_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/capacity"
	"github.com/galenaslip/galenaslip/clock"
)

// scene is a planner with a market under a constant load, as a share of the servers of the start.
type scene struct {
	market  *market
	planner *capacity.Planner
	now     clock.Millis
	busy    int // servers
	waiting int
	onOrder func(o capacity.Order)
}

func newScene(seed uint64) *scene {
	return &scene{market: newMarket(seed, 35), planner: capacity.New(), now: clock.Second, onOrder: func(capacity.Order) {}}
}

// run advances the scene in steps of a second.
func (s *scene) run(duration clock.Millis) {
	for end := s.now + duration; s.now < end; s.now += clock.Second {
		s.market.advance(s.now, clock.Second)
		servers := s.market.announced(s.now)
		load := capacity.Load{Requests: s.busy * slots / 2, Reading: min(s.busy, len(servers)), Waiting: s.waiting}
		s.planner.Observe(s.now, load, servers)
		for _, o := range s.planner.Plan(s.now, s.market.terms, servers) {
			s.onOrder(o)
			s.planner.Record(s.now, o, s.market.order(s.now, o))
		}
	}
}

// total returns the servers of a kind.
func (s *scene) total(kind capacity.Kind) int {
	n := 0
	for _, z := range s.market.terms.Zones {
		n += s.market.count(capacity.Place{Zone: z.Name, Kind: kind})
	}
	return n
}

// TestReplacementServesFirst guards against a gap in which ordinary servers have been given back and the
// cheaper ones do not serve yet.
func TestReplacementServesFirst(t *testing.T) {
	s := newScene(1)
	s.busy = 60
	lowest := s.market.serving(s.now)
	for range 120 {
		s.run(clock.Second)
		lowest = min(lowest, s.market.serving(s.now))
	}
	if lowest < 140 {
		t.Errorf("servers that serve: got %d at the lowest, want 140", lowest)
	}
	if got := s.total(capacity.Reclaimable); got < 100 {
		t.Errorf("reclaimable servers: got %d, want most of them", got)
	}
	if got := s.total(capacity.Ordinary); got < 28 || got > 40 {
		t.Errorf("ordinary servers: got %d, want a fifth of 140", got)
	}
}

// TestNoRepeatedOrders guards against orders that go up and down under constant demand, and against
// orders that are repeated although they were carried out.
func TestNoRepeatedOrders(t *testing.T) {
	s := newScene(1)
	s.busy = 60
	s.run(3 * clock.Minute)
	before := s.market.orders
	s.run(5 * clock.Minute)
	if got := s.market.orders - before; got != 0 {
		t.Errorf("orders under constant demand: got %d, want none", got)
	}
}

// TestUnknownDemand guards against servers that are given back while no entry has reported: the number
// of the start must remain.
func TestUnknownDemand(t *testing.T) {
	s := newScene(1)
	for range 300 {
		s.market.advance(s.now, clock.Second)
		servers := s.market.announced(s.now)
		for _, o := range s.planner.Plan(s.now, s.market.terms, servers) {
			s.planner.Record(s.now, o, s.market.order(s.now, o))
		}
		s.now += clock.Second
	}
	if got := s.market.serving(s.now); got < 140 {
		t.Errorf("servers: got %d, want 140 at least", got)
	}
}

// TestDemandFalls guards against servers that are never given back, and against a number below what the
// demand needs.
func TestDemandFalls(t *testing.T) {
	s := newScene(1)
	s.busy = 60
	s.run(2 * clock.Minute)
	s.busy = 10
	s.run(10 * clock.Minute)
	if got := s.market.serving(s.now); got < 20 || got > 40 {
		t.Errorf("servers for a demand of 10: got %d, want 20 to 40", got)
	}
}

// TestBurstReturns guards against servers that are given back after a burst and missed in the next
// one.
func TestBurstReturns(t *testing.T) {
	s := newScene(1)
	s.busy = 20
	s.run(3 * clock.Minute)
	s.busy = 90
	s.run(30 * clock.Second)
	s.busy = 20
	s.run(40 * clock.Second)
	if got := s.market.serving(s.now); got < 128 {
		t.Errorf("servers 40 s after a burst of 90 busy ones: got %d, want 128 at least", got)
	}
}

// TestWaitingRequests guards against servers that are given back while requests wait.
func TestWaitingRequests(t *testing.T) {
	s := newScene(1)
	s.busy, s.waiting = 5, 3
	s.onOrder = func(o capacity.Order) {
		if o.Count < s.market.count(o.Place) {
			t.Errorf("order %+v gives servers back while requests wait", o)
		}
	}
	s.run(2 * clock.Minute)
}

// TestReclaim guards against too few servers when a zone loses all of its reclaimable ones and has no
// more of them.
func TestReclaim(t *testing.T) {
	for _, says := range []bool{true, false} {
		s := newScene(1)
		s.busy, s.market.says = 60, says
		s.run(3 * clock.Minute)
		number := s.planner.View().Number
		// After the first reclaim nine in ten remain. After the second, the rest can do the work.
		for i, least := range []float64{0.9 * float64(number), float64(s.busy) / 0.9} {
			zone := s.market.terms.Zones[i].Name
			s.market.reclaim(s.now, zone, 5*clock.Minute)
			s.run(5 * clock.Second)
			if got := s.market.serving(s.now); float64(got) < least {
				t.Errorf("servers after zone %s was reclaimed: got %d, want %g", zone, got, least)
			}
			s.run(30 * clock.Second)
			if got := s.market.serving(s.now); got < number {
				t.Errorf("servers 30 s after zone %s was reclaimed: got %d, want %d", zone, got, number)
			}
		}
		if got := s.market.count(capacity.Place{Zone: "a", Kind: capacity.Reclaimable}); got != 0 {
			t.Errorf("reclaimable servers of a zone that has none: got %d, want 0", got)
		}
	}
}

// TestReclaimIsNoLoss guards against calls for servers in a zone that has just lost them: the first order
// there only takes the former one back.
func TestReclaimIsNoLoss(t *testing.T) {
	s := newScene(1)
	s.busy = 60
	s.run(3 * clock.Minute)
	s.market.reclaim(s.now, "a", clock.Minute)
	var got []capacity.Order
	s.onOrder = func(o capacity.Order) {
		if o.Place == (capacity.Place{Zone: "a", Kind: capacity.Reclaimable}) {
			got = append(got, o)
		}
	}
	s.run(8 * clock.Second)
	if len(got) != 1 || got[0].Count != 0 || got[0].Reason != capacity.AfterReturn {
		t.Errorf("orders for the zone: got %+v, want one for no servers", got)
	}
}

// TestRefusals guards against orders that are repeated at once where no servers are to be had, and
// against a service that gets none elsewhere.
func TestRefusals(t *testing.T) {
	s := newScene(1)
	s.busy = 100
	for _, z := range s.market.terms.Zones {
		s.market.unavailable[capacity.Place{Zone: z.Name, Kind: capacity.Reclaimable}] = clock.Hour
	}
	s.run(2 * clock.Minute)
	if got := s.total(capacity.Ordinary); got < 200 {
		t.Errorf("ordinary servers for a demand of 100 without reclaimable ones: got %d, want 200 at least", got)
	}
	before := s.market.orders
	s.run(10 * clock.Minute)
	if got := s.market.orders - before; got > 4*12 {
		t.Errorf("orders in ten minutes while four zones refuse: got %d, want at most one a minute and zone", got)
	}
}

// TestLostOrders guards against an order that is never repeated: the first outcome is unknown, and
// nothing was carried out.
func TestLostOrders(t *testing.T) {
	s := newScene(1)
	s.busy = 60
	servers := s.market.announced(s.now)
	s.planner.Observe(s.now, capacity.Load{Reading: 60}, servers)
	orders := s.planner.Plan(s.now, s.market.terms, servers)
	if len(orders) == 0 {
		t.Fatal("orders at the start: got none")
	}
	for _, o := range orders {
		s.planner.Record(s.now, o, capacity.Unknown)
	}
	for range 5 {
		s.now += clock.Second
		if got := s.planner.Plan(s.now, s.market.terms, servers); len(got) > 0 {
			t.Fatalf("orders while the servers may be starting: got %+v, want none", got)
		}
	}
	s.run(10 * clock.Second)
	if got := s.total(capacity.Reclaimable); got == 0 {
		t.Error("reclaimable servers after the orders were lost: got none")
	}
}

// TestEndedServers guards against a zone that never gets reclaimable servers again, because those that were
// taken back ended without announcing their departure.
func TestEndedServers(t *testing.T) {
	s := newScene(1)
	s.busy = 60
	s.run(3 * clock.Minute)
	s.market.reclaim(s.now, "a", 5*clock.Second)
	s.run(2 * clock.Second)
	ended := s.market.announced(s.now)
	for range 60 {
		s.now += clock.Second
		s.market.advance(s.now, clock.Second)
		servers := s.market.announced(s.now)
		for _, e := range ended {
			if e.Leaving {
				e.SilentFor = 5 * clock.Second
				servers = append(servers, e)
			}
		}
		s.planner.Observe(s.now, capacity.Load{Requests: 1, Reading: 90}, servers)
		for _, o := range s.planner.Plan(s.now, s.market.terms, servers) {
			s.planner.Record(s.now, o, s.market.order(s.now, o))
		}
	}
	if got := s.market.count(capacity.Place{Zone: "a", Kind: capacity.Reclaimable}); got == 0 {
		t.Error("reclaimable servers a minute after a reclaim: got none although demand has grown")
	}
}

// TestSilentServers guards against a reaction to a link of control that is down: most servers are
// silent, and nothing may be ordered or given back.
func TestSilentServers(t *testing.T) {
	s := newScene(1)
	servers := s.market.announced(s.now)
	for i := range servers[:60] {
		servers[i].SilentFor = 5 * clock.Second
	}
	s.planner.Observe(s.now, capacity.Load{Reading: 100}, servers)
	if got := s.planner.Plan(s.now, s.market.terms, servers); len(got) > 0 {
		t.Errorf("orders while 60 of 140 servers are silent: got %+v, want none", got)
	}
	if s.planner.View().Held == "" {
		t.Error("view: got no reason why nothing is ordered")
	}
}

// TestNewLeader guards against a successor that orders other numbers than its predecessor, or gives
// servers back before it knows the demand.
func TestNewLeader(t *testing.T) {
	for _, at := range []clock.Millis{3 * clock.Second, 6 * clock.Second, 20 * clock.Second, 2 * clock.Minute} {
		s := newScene(1)
		s.busy = 60
		s.run(at)
		s.planner = capacity.New()
		lowest := s.market.serving(s.now)
		for range 120 {
			s.run(clock.Second)
			lowest = min(lowest, s.market.serving(s.now))
		}
		if lowest < 130 {
			t.Errorf("servers after a change of leader at %d ms: got %d at the lowest, want 130", at, lowest)
		}
		if got := s.market.serving(s.now); got > 280 {
			t.Errorf("servers after a change of leader at %d ms: got %d, want at most 280", at, got)
		}
	}
}

// TestPlannerHoldsBounds guards against orders outside the bounds of a zone, against a service that stays
// short of servers, and against endless orders, while orders are late, refused and reclaimed.
func TestPlannerHoldsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScene(rapid.Uint64().Draw(t, "seed"))
		s.market.lateShare = rapid.Float64Range(0, 0.5).Draw(t, "late share")
		s.onOrder = func(o capacity.Order) {
			if o.Count < 0 || o.Count > s.market.terms.Max {
				t.Fatalf("order %+v is out of bounds", o)
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			s.busy = rapid.IntRange(0, 90).Draw(t, "busy")
			zone := rapid.SampledFrom([]string{"", "a", "b", "c", "d"}).Draw(t, "reclaimed zone")
			if zone != "" {
				s.market.reclaim(s.now, zone, rapid.SampledFrom([]clock.Millis{5 * clock.Second, clock.Minute}).Draw(t, "dry"))
			}
			if rapid.Bool().Draw(t, "new leader") {
				s.planner = capacity.New()
			}
			s.run(clock.Millis(rapid.IntRange(1, 60).Draw(t, "seconds")) * clock.Second)
		}
		s.market.lateShare = 0
		s.run(3 * clock.Minute)
		for _, z := range s.market.terms.Zones {
			if got := s.market.zoneCount(z.Name); got < s.market.terms.Min || got > s.market.terms.Max {
				t.Fatalf("servers in zone %s: got %d, want %d to %d", z.Name, got, s.market.terms.Min, s.market.terms.Max)
			}
		}
		if got := s.market.serving(s.now); got < 2*s.busy {
			t.Fatalf("servers: got %d, want twice the demand of %d", got, s.busy)
		}
		before := s.market.orders
		s.run(5 * clock.Minute)
		if got := s.market.orders - before; got > 200 {
			t.Fatalf("orders under constant demand: got %d", got)
		}
	})
}
