package control

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/capacity"
	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/duty"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// loadSampleInterval is how often the reports of the entries are sampled. Entries report in
	// about these intervals.
	loadSampleInterval = 200 * clock.Millisecond
	// capacityInterval is how often the leader decides how many servers there are to be.
	capacityInterval = 1 * clock.Second
)

const (
	// budgetWait is how long an order waits for the budget of calls before it counts as not sent, and
	// budgetPollInterval how often it asks.
	budgetWait         = 1 * clock.Second
	budgetPollInterval = 20 * clock.Millisecond
)

// ServerOrders carries out orders for backend servers.
type ServerOrders interface {
	// OrderServers asks for a number of servers of a service, with a fence. It calls mayAct directly
	// before it sends the first byte, and sends nothing if that reports false.
	OrderServers(ctx context.Context, service string, o capacity.Order, f duty.Fence, mayAct func() bool) (duty.Outcome, error)
}

// capacityController orders backend servers while this member leads. It is safe for concurrent
// use.
type capacityController struct {
	control *Control

	mu        sync.Mutex
	term      uint64       // leader term that the planners belong to
	readyAt   clock.Millis // when all servers have been heard of in this term
	plannedAt clock.Millis
	revision  uint64            // of the catalog that was decoded last
	services  []catalog.Service // those with catalog.Service.Scale
	planners  map[string]*capacity.Planner
	held      map[string]bool // services whose plan was held last
}

func newCapacityController(c *Control) *capacityController {
	return &capacityController{control: c, planners: map[string]*capacity.Planner{}, held: map[string]bool{}}
}

// run samples the load and plans until ctx ends.
func (s *capacityController) run(ctx context.Context) {
	s.control.options.Clock.Every(ctx, loadSampleInterval, func() {
		term, due := s.decide()
		for service, orders := range due {
			for _, o := range orders {
				s.control.startTask(func() { s.deliver(ctx, term, service, o) })
			}
		}
	})
}

// decide records the load of the services and returns the orders that are due, with the term in which
// they may be sent.
func (s *capacityController) decide() (uint64, map[string][]capacity.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.control.options.Clock.Now()
	leadership := s.control.leadership()
	if leadership.LeaseRemaining <= 0 {
		s.term = 0
		return 0, nil
	}
	if s.term != leadership.Term {
		s.startTerm(now, leadership.Term)
	}
	s.loadCatalog()
	if now < s.readyAt || len(s.services) == 0 {
		return 0, nil
	}
	servers := s.control.serverRegistry.capacityServers(s.term)
	loads, reported := s.loads(now)
	due := now-s.plannedAt >= capacityInterval
	if due {
		s.plannedAt = now
	}
	orders := map[string][]capacity.Order{}
	for _, service := range s.services {
		planner := s.planner(service.Name)
		own := servers[service.Name]
		if reported {
			planner.Observe(now, serviceLoad(own, loads), capacityOf(own))
		}
		if !due {
			continue
		}
		if planned := planner.Plan(now, toTerms(*service.Scale), capacityOf(own)); len(planned) > 0 {
			orders[service.Name] = planned
		}
		s.logHeld(service.Name, planner.View().Held)
	}
	return s.term, orders
}

// startTerm forgets what was known in a former term. A new leader has heard all servers that serve
// once they would count as silent.
func (s *capacityController) startTerm(now clock.Millis, term uint64) {
	s.term, s.readyAt = term, now+s.control.serverTimeout()
	s.planners, s.held = map[string]*capacity.Planner{}, map[string]bool{}
}

// loadCatalog decodes the newest catalog unless it is known already.
func (s *capacityController) loadCatalog() {
	document := s.control.machine.Catalog()
	if document.Revision == s.revision {
		return
	}
	s.revision = document.Revision
	decoded, err := s.control.options.Format.Decode(document.Body)
	if err != nil {
		s.services = nil
		s.control.options.Logger.Log(event.CatalogUnreadable, zap.Uint64("revision", document.Revision), zap.Error(err))
		return
	}
	s.services = lo.Filter(decoded.Services(), func(v catalog.Service, _ int) bool { return v.Scale != nil })
	maps.DeleteFunc(s.planners, func(name string, _ *capacity.Planner) bool {
		service, ok := decoded.Service(name)
		return !ok || service.Scale == nil
	})
}

func (s *capacityController) planner(service string) *capacity.Planner {
	p, ok := s.planners[service]
	if !ok {
		p = capacity.New()
		s.planners[service] = p
	}
	return p
}

// loads returns the total load of each server, and whether an entry has reported any.
func (s *capacityController) loads(now clock.Millis) (map[string]ServerLoad, bool) {
	loads := s.control.watchingEntries.loadsExcept(now, "")
	byServer := lo.KeyBy(loads, func(l ServerLoad) string { return l.Server })
	return byServer, s.control.watchingEntries.count(now) > 0
}

// logHeld logs when the plan of a service begins to be held.
func (s *capacityController) logHeld(service, reason string) {
	held := reason != ""
	if held && !s.held[service] {
		s.control.options.Logger.Log(event.ServersPlanHeld, zap.String("service", service), zap.String("reason", reason))
	}
	s.held[service] = held
}

// deliver has an order of a term carried out and records the outcome.
func (s *capacityController) deliver(ctx context.Context, term uint64, service string, o capacity.Order) {
	outcome := toOrderOutcome(s.call(ctx, term, service, o))
	s.control.metrics.serverOrders.WithLabelValues(outcome.String()).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term {
		return // the planner of that term is gone
	}
	view := capacity.View{}
	if planner, ok := s.planners[service]; ok {
		planner.Record(s.control.options.Clock.Now(), o, outcome)
		view = planner.View()
	}
	s.control.options.Logger.Log(event.ServersOrdered,
		zap.String("service", service), zap.String("availability_zone", o.Zone), zap.Stringer("kind", o.Kind), zap.Int("count", o.Count),
		zap.String("reason", string(o.Reason)), zap.Stringer("outcome", outcome), zap.Uint64("term", s.term),
		zap.Int("present", view.Present[o.Place]), zap.Int("wanted", view.Number), zap.Float64("demand", view.Demand), zap.Float64("peak", view.Peak))
}

// call makes the call for an order as soon as the budget of calls allows it.
func (s *capacityController) call(ctx context.Context, term uint64, service string, o capacity.Order) duty.Outcome {
	deadline := s.control.options.Clock.Now() + budgetWait
	for {
		outcome, begun := s.control.duties.call(ctx, dutyServers, func(f duty.Fence, mayAct func() bool) (duty.Outcome, error) {
			if f.Token != term {
				return duty.Withheld, errors.New("the order was planned in a former term")
			}
			return s.control.options.ServerOrders.OrderServers(ctx, service, o, f, mayAct)
		})
		if begun || s.control.options.Clock.Now() >= deadline || !s.control.options.Clock.Sleep(ctx, budgetPollInterval) {
			return outcome
		}
	}
}

// toOrderOutcome returns what the outcome of a call means for an order. A conflict means that there are no
// such servers, unless a later leader has acted; the member learns that from the group.
func toOrderOutcome(o duty.Outcome) capacity.Outcome {
	switch o {
	case duty.Accepted:
		return capacity.Accepted
	case duty.Superseded:
		return capacity.Refused
	case duty.Unknown:
		return capacity.Unknown
	case duty.Withheld, duty.Limited, duty.Rejected:
	}
	return capacity.NotSent
}

// capacityServer is a server with its name.
type capacityServer struct {
	name string
	capacity.Server
}

func capacityOf(servers []capacityServer) []capacity.Server {
	return lo.Map(servers, func(s capacityServer, _ int) capacity.Server { return s.Server })
}

// capacityServers returns the servers that are not gone, by service.
func (s *serverRegistry) capacityServers(term uint64) map[string][]capacityServer {
	s.receive(term, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.control.options.Clock.Now()
	servers := map[string][]capacityServer{}
	for _, r := range s.registry.ChangedSince(0) {
		if r.State == roster.Gone {
			continue
		}
		server := capacity.Server{
			Zone: r.AvailabilityZone, Kind: lo.Ternary(r.Reclaimable, capacity.Reclaimable, capacity.Ordinary), Slots: r.Slots,
			Leaving: r.State == roster.Leaving, Reclaimed: r.State == roster.Leaving && r.Reclaimable && r.LeavesIn > 0,
		}
		if h, ok := s.registry.Heartbeat(now, r.Server); ok && r.Silent {
			server.SilentFor = h.Age
		}
		servers[r.Service] = append(servers[r.Service], capacityServer{name: r.Server, Server: server})
	}
	return servers
}

// serviceLoad sums up the loads of servers.
func serviceLoad(servers []capacityServer, loads map[string]ServerLoad) capacity.Load {
	var sum capacity.Load
	for _, s := range servers {
		l := loads[s.name]
		sum.Requests += l.Requests
		if s.Slots > 0 {
			sum.Waiting += max(l.Requests-s.Slots, 0)
		}
		if l.PendingPromptTokens > 0 {
			sum.Reading++
		}
	}
	return sum
}

func toTerms(s catalog.Scale) capacity.Terms {
	zones := lo.MapToSlice(s.ZonePrices, func(name string, price float64) capacity.Zone { return capacity.Zone{Name: name, Price: price} })
	slices.SortFunc(zones, func(a, b capacity.Zone) int { return lo.Ternary(a.Name < b.Name, -1, 1) })
	return capacity.Terms{Min: s.Min, Max: s.Max, StartTime: s.StartTime, ReclaimablePrice: s.ReclaimablePrice, Zones: zones}
}

// sum returns a sum over the services for which servers are ordered.
func (s *capacityController) sum(value func(capacity.View) float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == 0 {
		return 0
	}
	return lo.SumBy(lo.Values(s.planners), func(p *capacity.Planner) float64 { return value(p.View()) })
}

// wireCapacity is the part of /debug/state about the number of servers of a service.
type wireCapacity struct {
	Service  string              `json:"service"`
	Wanted   int                 `json:"wanted"` // servers that are to remain after a reclaim
	Demand   float64             `json:"demand"` // busy servers
	Peak     float64             `json:"peak"`
	Observed clock.Millis        `json:"observed_ms"`
	Held     string              `json:"held,omitempty"`
	Places   []wireCapacityPlace `json:"places"`
}

type wireCapacityPlace struct {
	AvailabilityZone string       `json:"availability_zone"`
	Kind             string       `json:"kind"`
	Target           int          `json:"target"`
	Present          int          `json:"present"`
	Ordered          *int         `json:"ordered,omitempty"` // nil if no order is known that may be carried out
	BlockedFor       clock.Millis `json:"blocked_ms,omitempty"`
}

// state returns what the leader believes and has ordered.
func (s *capacityController) state() []wireCapacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == 0 {
		return nil
	}
	return lo.FilterMap(s.services, func(service catalog.Service, _ int) (wireCapacity, bool) {
		planner, ok := s.planners[service.Name]
		if !ok {
			return wireCapacity{}, false
		}
		return toWireCapacity(service, planner.View()), true
	})
}

func toWireCapacity(service catalog.Service, v capacity.View) wireCapacity {
	w := wireCapacity{Service: service.Name, Wanted: v.Number, Demand: v.Demand, Peak: v.Peak, Observed: v.Observed, Held: v.Held}
	for _, z := range toTerms(*service.Scale).Zones {
		for _, kind := range []capacity.Kind{capacity.Ordinary, capacity.Reclaimable} {
			at := capacity.Place{Zone: z.Name, Kind: kind}
			place := wireCapacityPlace{AvailabilityZone: z.Name, Kind: kind.String(), Target: v.Targets[at], Present: v.Present[at], BlockedFor: v.Blocked[at]}
			if ordered, ok := v.Ordered[at]; ok {
				place.Ordered = &ordered
			}
			w.Places = append(w.Places, place)
		}
	}
	return w
}
