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

// The kinds.
const (
	LoadModel   Kind = "load_model"
	UnloadModel Kind = "unload_model"
	ChangeRole  Kind = "change_role"
)

// Order tells an engine to change. It is idempotent by its ID.
type Order struct {
	ID           string
	FencingToken uint64
	Kind         Kind
	Server       string
	Address      string
	Model        string
	Role         backend.Role
}

// Demand is the work that waits for a model in one tier.
type Demand struct {
	Model   string
	Tier    class.Tier
	Waiting int
}

// Leadership is the control process's own view of its leadership.
type Leadership struct {
	Term           uint64
	LeaseRemaining clock.Millis // 0 when it is not the leader
}

// Sender delivers orders. It may lose them, but must not deliver one later than
// Options.MaxDelivery after it was sent.
type Sender interface {
	Send(order Order)
}

// Options configure a planner. Zero values are replaced by the defaults.
type Options struct {
	LoadInterval       clock.Millis // least time between the starts of two loads
	MaxPendingLoads    int          // most loads that are not shown by a report yet
	MaxModelsPerServer int
	ResendAfter        clock.Millis // time after which an order is sent again
	AbandonAfter       clock.Millis // time after which another server is tried
	MaxFormerLease     clock.Millis // longest lease of a former leader
	MaxDelivery        clock.Millis // longest time that an order is under way
}

// Defaults.
const (
	defaultLoadInterval    = 5 * clock.Second
	defaultLoadsAtOnce     = 4
	defaultModelsPerServer = 1
	defaultResend          = 2 * clock.Second
	defaultAbandon         = 5 * clock.Minute
	defaultFormerLease     = 900 * clock.Millisecond
	defaultDelivery        = 1 * clock.Second

	// clockDrift in percent covers clocks that differ by 1% in either direction.
	clockDrift = 2
	// outgrown is the waiting work per slot, in percent, above which a model gets
	// another server.
	outgrown = 50
)

// Planner plans orders. It is owned by one goroutine.
type Planner struct {
	options  Options
	term     uint64
	since    clock.Millis // when the term was first seen here
	counter  int
	pending  map[string]*pending // by server
	held     map[string]bool     // servers that refused this term's token
	failed   map[string]clock.Millis
	nextLoad clock.Millis
}

// pending is an order whose effect no report has shown yet.
type pending struct {
	order       Order
	incarnation uint64
	created     clock.Millis
	sent        clock.Millis
}

// New returns a planner.
func New(options Options) *Planner {
	options.LoadInterval = lo.CoalesceOrEmpty(options.LoadInterval, defaultLoadInterval)
	options.MaxPendingLoads = lo.CoalesceOrEmpty(options.MaxPendingLoads, defaultLoadsAtOnce)
	options.MaxModelsPerServer = lo.CoalesceOrEmpty(options.MaxModelsPerServer, defaultModelsPerServer)
	options.ResendAfter = lo.CoalesceOrEmpty(options.ResendAfter, defaultResend)
	options.AbandonAfter = lo.CoalesceOrEmpty(options.AbandonAfter, defaultAbandon)
	options.MaxFormerLease = lo.CoalesceOrEmpty(options.MaxFormerLease, defaultFormerLease)
	options.MaxDelivery = lo.CoalesceOrEmpty(options.MaxDelivery, defaultDelivery)
	return &Planner{
		options: options, pending: map[string]*pending{}, held: map[string]bool{}, failed: map[string]clock.Millis{},
	}
}

// Plan sends the orders that are due. Without a leader lease it sends nothing.
func (p *Planner) Plan(now clock.Millis, l Leadership, demands []Demand, servers []backend.Server, sender Sender) {
	if l.LeaseRemaining <= 0 || l.Term < p.term {
		return
	}
	if l.Term > p.term {
		p.newTerm(now, l.Term)
	}
	f := newFleet(servers)
	p.confirm(now, f)
	for _, n := range needs(demands) {
		p.cover(now, f, n)
	}
	for _, server := range p.waitingServers() {
		p.send(now, p.pending[server], sender)
	}
}

// newTerm forgets the orders of the former term. The rate limit starts anew with
// a full interval, because the former leader may just have started a load.
func (p *Planner) newTerm(now clock.Millis, term uint64) {
	p.term, p.since, p.counter = term, now, 0
	p.pending, p.held = map[string]*pending{}, map[string]bool{}
	p.nextLoad = now + p.options.LoadInterval
}

// RecordRefusal records that an engine refused an order because of its token. The
// server gets no more orders before a newer term; the caller verifies its lease.
func (p *Planner) RecordRefusal(id string) {
	for server, o := range p.pending {
		if o.order.ID == id {
			p.held[server] = true
			delete(p.pending, server)
		}
	}
}

// Pending returns the orders that no report has shown yet, in order of server.
func (p *Planner) Pending() []Order {
	return lo.Map(p.waitingServers(), func(n string, _ int) Order { return p.pending[n].order })
}

// waitingServers returns the servers with a pending order, sorted.
func (p *Planner) waitingServers() []string {
	names := lo.Keys(p.pending)
	slices.Sort(names)
	return names
}

// confirm drops orders that are shown, void or abandoned.
func (p *Planner) confirm(now clock.Millis, f *fleet) {
	for server, o := range p.pending {
		s, ok := f.byName[server]
		switch {
		case !ok || !s.Usable || s.Incarnation() != o.incarnation || o.order.IsFulfilledBy(s):
			delete(p.pending, server)
		case now-o.created >= p.options.AbandonAfter:
			p.failed[server] = now + p.options.AbandonAfter
			delete(p.pending, server)
		}
	}
}

// IsFulfilledBy reports whether a server's report shows the effect of the order.
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

// send sends an order the first time, and again when its effect is overdue.
func (p *Planner) send(now clock.Millis, o *pending, sender Sender) {
	if o.sent >= 0 && now-o.sent < p.options.ResendAfter {
		return
	}
	o.sent = now
	sender.Send(o.order)
}

// mayOrder reports whether a server may get an order now. Engines that ignore the
// token have to wait until no order of a former leader can arrive any more.
func (p *Planner) mayOrder(now clock.Millis, s backend.Server) bool {
	if p.pending[s.Server()] != nil || p.held[s.Server()] || now < p.failed[s.Server()] {
		return false
	}
	lease := p.options.MaxFormerLease * (100 + clockDrift) / 100
	return s.ChecksFencing() || now-p.since > lease+p.options.MaxDelivery
}

func (p *Planner) order(now clock.Millis, s backend.Server, o Order) {
	p.counter++
	o.ID, o.FencingToken = fmt.Sprintf("%d-%d", p.term, p.counter), p.term
	o.Server, o.Address = s.Server(), s.Address()
	p.pending[s.Server()] = &pending{order: o, incarnation: s.Incarnation(), created: now, sent: -1}
	if o.Kind == LoadModel {
		p.nextLoad = now + p.options.LoadInterval
	}
}

func (p *Planner) mayLoad(now clock.Millis) bool {
	loads := lo.CountBy(lo.Values(p.pending), func(o *pending) bool { return o.order.Kind == LoadModel })
	return now >= p.nextLoad && loads < p.options.MaxPendingLoads
}
