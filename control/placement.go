package control

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/placement"
	"github.com/galenaslip/galenaslip/replica"
)

// DefaultOrdersPerMinute is the rate of model loads.
const DefaultOrdersPerMinute = 6

const (
	// planInterval is how often the leader pulls the list of servers and plans.
	planInterval = 2 * clock.Second
	// digestTimeout bounds one pull, so that a silent entry does not keep the
	// leader from the next one for long.
	digestTimeout = 500 * clock.Millisecond
	pathDigest    = "/peer/v1/digest"
)

// placer plans which models engines load while this member leads. Its goroutine
// owns planner, registry and the number of orders under way.
type placer struct {
	control  *Control
	planner  *placement.Planner
	registry *backend.Registry
	entries  *peers // apart from the members, whose connections a dead entry would close
	source   string // address of the entry that answered last
	rounds   uint64
	underWay int
	results  chan orderResult // capacity maxUnderWay, so a result never waits
	view     atomic.Pointer[placementView]
}

// placementView is an immutable copy for /debug/state.
type placementView struct {
	rounds  uint64 // planning rounds since the start of the process
	pending []placement.Order
}

func newPlacer(c *Control) *placer {
	rate := lo.CoalesceOrEmpty(c.options.OrdersPerMinute, DefaultOrdersPerMinute)
	p := &placer{
		control: c,
		// Rounded up, so that the rate is never exceeded.
		planner:  placement.New(placement.Options{LoadInterval: (clock.Minute + clock.Millis(rate) - 1) / clock.Millis(rate)}),
		registry: backend.New(backend.Options{Entry: c.options.Name, Epoch: uint64(c.options.Clock.Wall())}),
		entries:  newPeers(c.options.PeerToken),
		results:  make(chan orderResult, maxUnderWay),
	}
	p.view.Store(&placementView{})
	return p
}

// run plans every planInterval. It does nothing while another member leads.
func (p *placer) run(ctx context.Context) {
	p.control.options.Clock.Every(ctx, planInterval, func() {
		p.collect()
		if leadership(p.control.log.Load().Status()).LeaseRemaining <= 0 {
			p.view.Store(&placementView{rounds: p.rounds})
			return
		}
		// An old list would show engines as gone that serve.
		if p.pull() {
			p.plan(ctx)
		}
	})
}

func leadership(s replica.Status) placement.Leadership {
	l := placement.Leadership{Term: s.Term}
	if s.Role == replica.Leader {
		l.LeaseRemaining = s.LeaseRemaining
	}
	return l
}

// collect takes in how the orders under way ended.
func (p *placer) collect() {
	for {
		select {
		case r := <-p.results:
			p.underWay--
			if r.refused != "" {
				p.planner.RecordRefusal(r.refused)
			}
		default:
			return
		}
	}
}

// pull merges the digest of one entry that holds a lease: the one that answered
// last, or the next one that answers.
func (p *placer) pull() bool {
	addresses := lo.Map(p.control.leader.renewals(), func(r lease.Renewal, _ int) string { return r.Address })
	if lo.Contains(addresses, p.source) {
		addresses = append([]string{p.source}, lo.Without(addresses, p.source)...)
	}
	var last error
	for _, address := range addresses {
		if last = p.pullFrom(address); last == nil {
			p.source = address
			return true
		}
	}
	if last != nil {
		p.control.options.Logger.Log(event.ServerListUnavailable, zap.Int("entries", len(addresses)), zap.Error(last))
	}
	return false
}

func (p *placer) pullFrom(address string) error {
	body, err := backend.EncodeDigestRequest(backend.DigestRequest{Entry: p.control.options.Name, Since: p.registry.Version()})
	if err != nil {
		return err
	}
	began := p.now()
	_, answer, err := p.entries.exchange(fasthttp.MethodPost, address, pathDigest, body, digestTimeout)
	if err != nil {
		return err
	}
	digest, err := backend.DecodeDigest(answer)
	if err != nil {
		return errors.Wrapf(err, "reading the servers from %s", address)
	}
	now := p.now()
	p.registry.Merge(now, digest, now-began)
	return nil
}

func (p *placer) plan(ctx context.Context) {
	now := p.now()
	p.registry.SetPlannedStops(now, stoppingServers(p.control.machine.Configuration()))
	demands := demandsOf(p.control.leader.renewals())
	former := p.planner.Pending()
	l := leadership(p.control.log.Load().Status())
	p.planner.Plan(now, l, demands, p.registry.Servers(now), orderSender{placer: p, ctx: ctx})
	p.record(now, former)
	p.rounds++
	p.view.Store(&placementView{rounds: p.rounds, pending: p.planner.Pending()})
}

func (p *placer) now() clock.Millis { return p.control.options.Clock.Now() }

// record counts the orders that the planner no longer pursues.
func (p *placer) record(now clock.Millis, former []placement.Order) {
	pending := lo.KeyBy(p.planner.Pending(), func(o placement.Order) string { return o.ID })
	for _, o := range former {
		if _, ok := pending[o.ID]; ok {
			continue
		}
		s, ok := p.registry.Server(now, o.Server)
		if !ok || !o.IsFulfilledBy(s) {
			p.log(event.OrderAbandoned, o)
			continue
		}
		p.control.metrics.ordersDone.WithLabelValues(string(o.Kind)).Inc()
		p.log(event.OrderCompleted, o)
	}
}

func (p *placer) log(e event.Event, o placement.Order, fields ...zap.Field) {
	p.control.options.Logger.Log(e, append([]zap.Field{
		zap.String("order", o.ID), zap.String("kind", string(o.Kind)), zap.String("server", o.Server),
		zap.String("model", o.Model), zap.Uint64("term", o.FencingToken),
	}, fields...)...)
}

func stoppingServers(c configuration.Configuration) []string {
	return lo.FilterMap(c.Stops(), func(s configuration.Stop, _ int) (string, bool) {
		return s.Name(), s.Kind() == configuration.StopServer
	})
}

// demandsOf adds up the demand of all entries by model and tier. Demand without
// tiers counts in the lowest one, so that it displaces nothing.
func demandsOf(renewals []lease.Renewal) []placement.Demand {
	type key struct {
		model string
		tier  class.Tier
	}
	sums := map[key]int{}
	for _, r := range renewals {
		for _, d := range r.Demands {
			if len(d.Tiers) == 0 {
				sums[key{d.Model, class.LowestTier}] += d.Waiting
			}
			for i, waiting := range d.Tiers {
				sums[key{d.Model, class.HighestTier + class.Tier(i)}] += waiting
			}
		}
	}
	return lo.MapToSlice(sums, func(k key, waiting int) placement.Demand {
		return placement.Demand{Model: k.model, Tier: k.tier, Waiting: waiting}
	})
}
