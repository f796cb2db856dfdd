package placement

import (
	"fmt"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// Kind is the kind of an order.
type Kind string

// Possible kinds of an order.
const (
	LoadModel   Kind = "load_model"
	UnloadModel Kind = "unload_model"
	ChangeRole  Kind = "change_role"
)

// Order is an administrative command to an engine. It is idempotent by its ID.
type Order struct {
	ID           string
	FencingToken uint64
	Kind         Kind
	Server       string
	Address      string
	Model        string
	Role         backend.Role
}

// Demand is the number of requests of one tier that wait for a model.
type Demand struct {
	Model   string
	Tier    class.Tier
	Waiting int
}

// Leadership is what a control member knows of its own leadership.
type Leadership struct {
	Term           uint64
	LeaseRemaining clock.Millis // 0 if this member is not the leader
}

// Sender delivers orders. It may lose an order, but must not deliver it later than
// Options.MaxDelivery after Send was called.
type Sender interface {
	Send(order Order)
}

// Options configure a planner. Zero values are replaced by the defaults.
type Options struct {
	ModelLoadInterval    clock.Millis // minimum time between the orders of two model loads
	MaxPendingModelLoads int          // maximum number of pending model loads
	MaxModelsPerServer   int          // maximum number of models loaded on an engine
	ResendAfter          clock.Millis // time after which a pending order is sent again
	AbandonAfter         clock.Millis // time after which a pending order is dropped; its server then gets none for as long
	MaxFormerLease       clock.Millis // maximum lease of a former leader
	MaxDelivery          clock.Millis // maximum time that an order is in transit
}

// Default options and fixed limits.
const (
	defaultLoadInterval    = 5 * clock.Second
	defaultMaxPendingLoads = 4
	defaultModelsPerServer = 1
	defaultResend          = 2 * clock.Second
	defaultAbandon         = 5 * clock.Minute
	defaultFormerLease     = 900 * clock.Millisecond
	defaultDelivery        = 1 * clock.Second

	// clockDrift is a margin in percent for two clocks, each of which may be up to 1%
	// fast or slow.
	clockDrift = 2
	// maxWaitingPercent is the number of waiting requests per slot, in percent, above
	// which a model gets another engine.
	maxWaitingPercent = 50
)

// Planner plans orders. It is not safe for concurrent use.
type Planner struct {
	options       Options
	term          uint64
	termStart     clock.Millis             // time at which this planner learned of the term
	counter       int                      // number of orders created in this term
	pendingOrder  map[string]*pendingOrder // by server
	refused       map[string]bool          // servers that refused this term's fencing token
	excludedUntil map[string]clock.Millis  // by server, for servers that did not carry out an order
	nextModelLoad clock.Millis             // earliest time of the next order to load a model
}

// pendingOrder is an order whose effect no announcement has shown yet.
type pendingOrder struct {
	order       Order
	incarnation uint64 // of the server when the order was created
	createdAt   clock.Millis
	sentAt      clock.Millis // time of the last sending; -1 before the first
}

// New returns a planner. Options that are zero are replaced by their defaults.
func New(options Options) *Planner {
	options.ModelLoadInterval = lo.CoalesceOrEmpty(options.ModelLoadInterval, defaultLoadInterval)
	options.MaxPendingModelLoads = lo.CoalesceOrEmpty(options.MaxPendingModelLoads, defaultMaxPendingLoads)
	options.MaxModelsPerServer = lo.CoalesceOrEmpty(options.MaxModelsPerServer, defaultModelsPerServer)
	options.ResendAfter = lo.CoalesceOrEmpty(options.ResendAfter, defaultResend)
	options.AbandonAfter = lo.CoalesceOrEmpty(options.AbandonAfter, defaultAbandon)
	options.MaxFormerLease = lo.CoalesceOrEmpty(options.MaxFormerLease, defaultFormerLease)
	options.MaxDelivery = lo.CoalesceOrEmpty(options.MaxDelivery, defaultDelivery)
	return &Planner{
		options: options, pendingOrder: map[string]*pendingOrder{}, refused: map[string]bool{}, excludedUntil: map[string]clock.Millis{},
	}
}

// Plan creates the orders that the demands require and sends all orders that are due.
// Without a leader lease it does nothing.
func (p *Planner) Plan(now clock.Millis, l Leadership, demands []Demand, servers []backend.Server, sender Sender) {
	if l.LeaseRemaining <= 0 || l.Term < p.term {
		return
	}
	if l.Term > p.term {
		p.startTerm(now, l.Term)
	}
	set := newServerSet(servers)
	p.updatePending(now, set)
	for _, demand := range mergeDemands(demands) {
		p.meetDemand(now, set, demand)
	}
	for _, server := range p.pendingServers() {
		p.send(now, p.pendingOrder[server], sender)
	}
}

// startTerm drops the orders of the former term. The next model load has to wait for a
// full Options.ModelLoadInterval, because the former leader may just have ordered one.
func (p *Planner) startTerm(now clock.Millis, term uint64) {
	p.term, p.termStart, p.counter = term, now, 0
	p.pendingOrder, p.refused = map[string]*pendingOrder{}, map[string]bool{}
	p.nextModelLoad = now + p.options.ModelLoadInterval
}

// RecordRefusal records that an engine refused the order with the given ID because of its
// fencing token. The engine gets no more orders until a newer term. The caller must then
// verify that it still leads.
func (p *Planner) RecordRefusal(id string) {
	for server, o := range p.pendingOrder {
		if o.order.ID == id {
			p.refused[server] = true
			delete(p.pendingOrder, server)
		}
	}
}

// Pending returns the pending orders, sorted by server.
func (p *Planner) Pending() []Order {
	return lo.Map(p.pendingServers(), func(server string, _ int) Order { return p.pendingOrder[server].order })
}

// pendingServers returns the servers with a pending order, sorted.
func (p *Planner) pendingServers() []string {
	servers := lo.Keys(p.pendingOrder)
	slices.Sort(servers)
	return servers
}

// updatePending removes orders that are done or were abandoned, and those whose server
// has restarted or is no longer usable.
func (p *Planner) updatePending(now clock.Millis, set *serverSet) {
	for server, o := range p.pendingOrder {
		s, ok := set.byName[server]
		switch {
		case !ok || !s.Usable || s.Incarnation() != o.incarnation || o.order.IsFulfilledBy(s):
			delete(p.pendingOrder, server)
		case now-o.createdAt >= p.options.AbandonAfter:
			p.excludedUntil[server] = now + p.options.AbandonAfter
			delete(p.pendingOrder, server)
		}
	}
}

// IsFulfilledBy reports whether a server's announcement shows the effect of the order.
func (o Order) IsFulfilledBy(s backend.Server) bool {
	switch o.Kind {
	case LoadModel:
		return slices.Contains(s.Models(), o.Model)
	case UnloadModel:
		return !slices.Contains(s.Models(), o.Model)
	default:
		return s.Role() == o.Role
	}
}

// send sends an order unless it was sent less than Options.ResendAfter ago.
func (p *Planner) send(now clock.Millis, o *pendingOrder, sender Sender) {
	if o.sentAt >= 0 && now-o.sentAt < p.options.ResendAfter {
		return
	}
	o.sentAt = now
	sender.Send(o.order)
}

// mayOrder reports whether a server may get a new order now. Engines that ignore the
// fencing token get none until no order of a former leader can arrive any more.
func (p *Planner) mayOrder(now clock.Millis, s backend.Server) bool {
	if p.pendingOrder[s.Server()] != nil || p.refused[s.Server()] || now < p.excludedUntil[s.Server()] {
		return false
	}
	lease := p.options.MaxFormerLease * (100 + clockDrift) / 100
	return s.ChecksFencing() || now-p.termStart > lease+p.options.MaxDelivery
}

// order creates a pending order for a server.
func (p *Planner) order(now clock.Millis, s backend.Server, o Order) {
	p.counter++
	o.ID, o.FencingToken = fmt.Sprintf("%d-%d", p.term, p.counter), p.term
	o.Server, o.Address = s.Server(), s.Address()
	p.pendingOrder[s.Server()] = &pendingOrder{order: o, incarnation: s.Incarnation(), createdAt: now, sentAt: -1}
	if o.Kind == LoadModel {
		p.nextModelLoad = now + p.options.ModelLoadInterval
	}
}

// mayLoadModel reports whether the limits of the rate and of the number of pending model
// loads allow another model load.
func (p *Planner) mayLoadModel(now clock.Millis) bool {
	pendingLoads := lo.CountBy(lo.Values(p.pendingOrder), func(o *pendingOrder) bool { return o.order.Kind == LoadModel })
	return now >= p.nextModelLoad && pendingLoads < p.options.MaxPendingModelLoads
}
