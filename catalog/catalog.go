package catalog

import (
	"cmp"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// RepeatPolicy says how often a request may run.
type RepeatPolicy uint8

// The kinds of repetition.
const (
	// OnceOnly requests run at most once.
	OnceOnly RepeatPolicy = iota + 1
	// Idempotent requests may run again after any failure.
	Idempotent
	// Resumable requests are streams that may go on at another server.
	Resumable
)

// Share is a service of a route with its weight among the route's services.
type Share struct {
	Service string
	Weight  int
}

// Route says where the requests under a host and a path prefix go.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	RepeatPolicy RepeatPolicy
	Stream       bool         // the answer is a stream of server-sent events
	Timeout      clock.Millis // from the request's arrival to its final answer
	Target       clock.Millis // latency target, to the first event of a stream
	GapTarget    clock.Millis // longest pause between events that is on time
	Tier         int          // 0 is the most urgent
	Shares       []Share
	Attempts     int  // servers that one request may be sent to
	Public       bool // requests need no key
	ForEngine    bool // requests describe their prompt, and servers keep prompt parts
}

// Service is a group of equal backend servers.
type Service struct {
	Name           string
	MaxConnections int // of all callers together to one server
	Engine         *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int // requests at once
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name string
	Keys []string
	Tier int // goes before the route's
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout clock.Millis
	IdleTimeout   clock.Millis
}

// Catalog is an immutable configuration with its indexes.
type Catalog struct {
	revision   uint64
	routes     map[string][]Route // by host, longest prefix first
	services   map[string]Service
	byKey      map[string]Workspace
	workspaces int
	limits     Limits
	urgencies  []urgency // distinct ones, most urgent first
	lowestTier int       // of the routes to engines
}

// urgency orders requests: by the workspace's tier, then by the route's.
type urgency struct {
	workspace int
	route     int
}

// Revision returns the revision; 0 means that there is no configuration yet.
func (c Catalog) Revision() uint64 { return c.revision }

// Limits returns the limits on callers.
func (c Catalog) Limits() Limits { return c.limits }

// NeedsKeys reports whether requests need a key.
func (c Catalog) NeedsKeys() bool { return c.workspaces > 0 }

// Workspace returns the workspace that holds a key.
func (c Catalog) Workspace(key string) (Workspace, bool) {
	w, ok := c.byKey[key]
	return w, ok
}

// Service returns the service with a name.
func (c Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// ServiceCount returns the number of services.
func (c Catalog) ServiceCount() int { return len(c.services) }

// Route returns the route with the longest prefix of the path among the host's
// routes. The path comes without its query.
func (c Catalog) Route(host, path string) (Route, bool) {
	return lo.Find(c.routes[strings.ToLower(host)], func(r Route) bool { return strings.HasPrefix(path, r.Prefix) })
}

// Urgency returns the rank of a request among all that the catalog allows; 0 is
// the most urgent.
func (c Catalog) Urgency(w Workspace, r Route) int {
	rank, _ := slices.BinarySearchFunc(c.urgencies, urgency{w.Tier, r.Tier}, compareUrgency)
	return rank
}

// RankCount returns the number of ranks.
func (c Catalog) RankCount() int { return len(c.urgencies) }

// IsLeastUrgent reports whether no other route to engines is less urgent.
func (c Catalog) IsLeastUrgent(r Route) bool { return r.ForEngine && r.Tier >= c.lowestTier }

func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
}

// ChooseService returns the service for a point between 0 and 1, so that each service
// gets its weight's share of evenly spread points.
func (r Route) ChooseService(point float64) string {
	total := lo.SumBy(r.Shares, func(s Share) int { return s.Weight })
	left := point * float64(total)
	for _, s := range r.Shares {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
