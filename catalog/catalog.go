package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// RepeatPolicy defines whether a request may run more than once.
type RepeatPolicy uint8

// The values of RepeatPolicy; 0 is invalid.
const (
	// OnceOnly requests run at most once.
	OnceOnly RepeatPolicy = iota + 1
	// Idempotent requests may run again after any failure.
	Idempotent
	// Resumable requests are streams that another server may resume after a failure.
	Resumable
)

// Share is one of a route's services. The service gets a part of the requests that is
// Weight divided by the sum of the weights of all services of the route.
type Share struct {
	Service string
	Weight  int
}

// Route defines how requests for a host and a path prefix are handled.
type Route struct {
	Name            string
	Host            string
	Prefix          string // begins and ends with a slash
	RepeatPolicy    RepeatPolicy
	Stream          bool         // the response is a stream of server-sent events
	Timeout         clock.Millis // longest time from the arrival of the request to the end of its response
	Target          clock.Millis // latency target; for a stream, the target for its first event
	GapTarget       clock.Millis // longest pause between two events of a stream that still meets the target
	Tier            int          // 0 is the most urgent
	Shares          []Share      // services that the requests are distributed over
	MaxPossibleRuns int          // maximum number of attempts per request; attempts that certainly did not run do not count
	Public          bool         // requests need no API key
	ForEngine       bool         // requests go to model engines, which cache prompt parts
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string
	MaxConnections int     // largest number of connections to one server, from all its clients together; 0 means no limit
	Engine         *Engine // set if the servers are model engines
	Scale          *Scale  // set if galenaslip decides how many servers there are
}

// Scale bounds the number of servers of a service, and tells what they cost.
type Scale struct {
	Min, Max         int                // servers in one availability zone
	StartTime        clock.Millis       // from an order until its servers serve
	ReclaimablePrice float64            // of servers that the platform may take back, as a share of the price of the others; 0 if there are none
	ZonePrices       map[string]float64 // price of a server by availability zone
}

// Validate returns an error if servers cannot be ordered under these conditions.
func (s Scale) Validate() error {
	switch {
	case s.Min < 0 || s.Max < 1 || s.Min > s.Max || s.Max > maxServersPerZone:
		return errors.Errorf("servers of a zone from %d to %d: want 0 to %d, and at least one", s.Min, s.Max, maxServersPerZone)
	case s.StartTime < 0 || s.StartTime > maxStartTime:
		return errors.Errorf("start time %d ms: want 0 to %d", s.StartTime, maxStartTime)
	case s.ReclaimablePrice < 0 || s.ReclaimablePrice > maxPrice:
		return errors.Errorf("price %g of reclaimable servers: want 0 to %g", s.ReclaimablePrice, float64(maxPrice))
	case len(s.ZonePrices) == 0:
		return errors.New("no availability zone has a price")
	}
	for zone, price := range s.ZonePrices {
		if zone == "" || price < 0 || price > maxPrice {
			return errors.Errorf("price %g in availability zone %.60q: want a name, and 0 to %g", price, zone, float64(maxPrice))
		}
	}
	return nil
}

// Limits of Scale.
const (
	maxServersPerZone = 1 << 16
	maxStartTime      = 1 * clock.Hour
	maxPrice          = 1e9
)

// Engine describes the model engines of a service.
type Engine struct {
	Slots        int  // requests that one engine runs at the same time
	CopiesCaches bool // an engine can copy cached parts of prompts from another one
}

// Workspace is a customer with API keys of its own.
type Workspace struct {
	Name string
	Keys []string
	Tier int // 0 is the most urgent; takes precedence over the route's tier
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout clock.Millis // longest time from the first byte to the end of the header
	IdleTimeout   clock.Millis // longest time between two requests on a connection
}

// Catalog is a validated, indexed configuration. It is immutable and thus safe for
// concurrent use. The zero value is an empty configuration with revision 0.
type Catalog struct {
	revision        uint64
	routes          map[string][]Route // by host, longest prefix first
	services        map[string]Service
	workspaceByKey  map[string]Workspace
	needsKeys       bool
	limits          Limits
	urgencies       []urgency // distinct urgencies of requests to engines, most urgent first
	leastUrgentTier int       // tier of the least urgent routes to engines
}

// urgency determines the order of requests: by the workspace's tier, then by the
// route's.
type urgency struct {
	workspaceTier int
	routeTier     int
}

// Revision returns the catalog's revision; 0 means that there is no configuration yet.
func (c Catalog) Revision() uint64 { return c.revision }

// Limits returns the limits on what callers may send.
func (c Catalog) Limits() Limits { return c.limits }

// NeedsKeys reports whether requests to routes that are not public need an API key: if the document has a list of
// workspaces. When the last workspace was removed, its list is empty, and all keys are refused.
func (c Catalog) NeedsKeys() bool { return c.needsKeys }

// Workspace returns the workspace that an API key belongs to.
func (c Catalog) Workspace(key string) (Workspace, bool) {
	w, ok := c.workspaceByKey[key]
	return w, ok
}

// Service returns the service with the given name.
func (c Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the services, ordered by name.
func (c Catalog) Services() []Service {
	return slices.SortedFunc(maps.Values(c.services), func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
}

// ServiceNames returns the names of the services.
func (c Catalog) ServiceNames() []string { return lo.Keys(c.services) }

// RouteNames returns the names of the routes.
func (c Catalog) RouteNames() []string {
	return lo.FlatMap(lo.Values(c.routes), func(routes []Route, _ int) []string {
		return lo.Map(routes, func(r Route, _ int) string { return r.Name })
	})
}

// ServiceCount returns the number of services.
func (c Catalog) ServiceCount() int { return len(c.services) }

// Route returns the route of the host whose prefix is the longest match for the path.
// The path must not contain the query; the case of the host does not matter.
func (c Catalog) Route(host, path string) (Route, bool) {
	return lo.Find(c.routes[strings.ToLower(host)], func(r Route) bool { return strings.HasPrefix(path, r.Prefix) })
}

// Urgency returns the urgency rank of a workspace's requests to a route, among all
// combinations of workspaces and engine routes. Rank 0 is the most urgent.
func (c Catalog) Urgency(w Workspace, r Route) int {
	rank, _ := slices.BinarySearchFunc(c.urgencies, urgency{w.Tier, r.Tier}, compareUrgency)
	return rank
}

// RankCount returns the number of urgency ranks.
func (c Catalog) RankCount() int { return len(c.urgencies) }

// IsLeastUrgent reports whether r is a route to engines and no other such route is less
// urgent.
func (c Catalog) IsLeastUrgent(r Route) bool { return r.ForEngine && r.Tier >= c.leastUrgentTier }

// compareUrgency returns a negative number if a is more urgent than b, 0 if they are
// equal, and a positive number otherwise.
func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.workspaceTier, b.workspaceTier), cmp.Compare(a.routeTier, b.routeTier))
}

// ChooseService maps a point from 0 up to but not including 1 to one of the route's
// services. Evenly distributed points give each service requests in proportion to its
// weight.
func (r Route) ChooseService(point float64) string {
	total := lo.SumBy(r.Shares, func(s Share) float64 { return float64(s.Weight) })
	remaining := point * total
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
