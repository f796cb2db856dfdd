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

// DefaultModelLoadsPerMinute is the default maximum rate of model loads.
const DefaultModelLoadsPerMinute = 6

const (
	// planInterval is how often the leader fetches the list of servers and plans.
	planInterval = 2 * clock.Second
	// digestTimeout bounds the fetch of a digest from one entry, so that an entry
	// that does not answer does not delay the fetch from the next one for long.
	digestTimeout = 500 * clock.Millisecond
	pathDigest    = "/peer/v1/digest"
)

// placementController runs the planner while this member leads: it fetches the
// list of servers, plans which engines load which models, and delivers the
// resulting orders. All fields but results and view may be used only by the
// goroutine of run.
type placementController struct {
	control        *Control
	planner        *placement.Planner
	registry       *backend.Registry
	entryClient    *peerClient      // client for entries; separate, because a failed call closes all idle connections
	lastEntry      string           // address of the entry that answered last
	rounds         uint64           // planning rounds since the start of the process
	ordersInFlight int              // orders in delivery
	results        chan orderResult // capacity maxOrdersInFlight, so that sending never blocks
	view           atomic.Pointer[placementView]
}

// placementView is an immutable copy of the placement state for /debug/state.
type placementView struct {
	rounds  uint64 // planning rounds since the start of the process
	pending []placement.Order
}

func newPlacementController(c *Control) *placementController {
	rate := lo.CoalesceOrEmpty(c.options.ModelLoadsPerMinute, DefaultModelLoadsPerMinute)
	p := &placementController{
		control: c,
		// The interval is rounded up, so that the rate is never exceeded.
		planner:     placement.New(placement.Options{ModelLoadInterval: (clock.Minute + clock.Millis(rate) - 1) / clock.Millis(rate)}),
		registry:    backend.New(backend.Options{Entry: c.options.Name, Epoch: uint64(c.options.Clock.Wall())}),
		entryClient: newPeerClient(c.options.PeerToken),
		results:     make(chan orderResult, maxOrdersInFlight),
	}
	p.view.Store(&placementView{})
	return p
}

// run plans every planInterval until ctx ends. It does not plan without the
// leader lease.
func (p *placementController) run(ctx context.Context) {
	p.control.options.Clock.Every(ctx, planInterval, func() {
		p.collectResults()
		if leadership(p.control.log.Load().Status()).LeaseRemaining <= 0 {
			p.view.Store(&placementView{rounds: p.rounds})
			return
		}
		// Without a new list the known announcements would become too old, and engines
		// that still serve would be treated as unusable.
		if p.fetchServers() {
			p.plan(ctx)
		}
	})
}

// leadership returns the term and the remaining leader lease of this member. The
// lease is 0 when this member does not lead.
func leadership(status replica.Status) placement.Leadership {
	result := placement.Leadership{Term: status.Term}
	if status.Role == replica.Leader {
		result.LeaseRemaining = status.LeaseRemaining
	}
	return result
}

// collectResults processes the results of the deliveries that have ended,
// without blocking.
func (p *placementController) collectResults() {
	for {
		select {
		case r := <-p.results:
			p.ordersInFlight--
			if r.refusedID != "" {
				p.planner.RecordRefusal(r.refusedID)
			}
		default:
			return
		}
	}
}

// fetchServers fetches the list of servers from one entry that holds a lease
// and reports whether it succeeded. It tries the entry that answered last first
// and then the others until one answers.
func (p *placementController) fetchServers() bool {
	addresses := lo.Map(p.control.leaderTasks.renewals(), func(r lease.Renewal, _ int) string { return r.Address })
	if lo.Contains(addresses, p.lastEntry) {
		addresses = append([]string{p.lastEntry}, lo.Without(addresses, p.lastEntry)...)
	}
	var lastErr error
	for _, address := range addresses {
		if lastErr = p.fetchServersFrom(address); lastErr == nil {
			p.lastEntry = address
			return true
		}
	}
	if lastErr != nil {
		p.control.options.Logger.Log(event.ServerListUnavailable, zap.Int("entries", len(addresses)), zap.Error(lastErr))
	}
	return false
}

// fetchServersFrom fetches a digest from the entry at an address and merges it
// into the registry.
func (p *placementController) fetchServersFrom(address string) error {
	body, err := backend.EncodeDigestRequest(backend.DigestRequest{Entry: p.control.options.Name, Since: p.registry.Version()})
	if err != nil {
		return err
	}
	startedAt := p.now()
	_, answer, err := p.entryClient.exchange(fasthttp.MethodPost, address, pathDigest, body, digestTimeout)
	if err != nil {
		return err
	}
	digest, err := backend.DecodeDigest(answer)
	if err != nil {
		return errors.Wrapf(err, "decoding the digest from %s", address)
	}
	if count, cause := digest.Refused(); count > 0 {
		p.control.recordRefused(RefusedServers{Count: count, Cause: cause})
	}
	now := p.now()
	p.registry.Merge(now, digest, now-startedAt)
	return nil
}

// plan runs one planning round and starts the delivery of its orders.
func (p *placementController) plan(ctx context.Context) {
	now := p.now()
	p.registry.SetPlannedStops(now, stoppingServers(p.control.machine.Configuration()))
	demands := sumDemands(p.control.leaderTasks.renewals())
	previous := p.planner.Pending()
	leaderStatus := leadership(p.control.log.Load().Status())
	p.planner.Plan(now, leaderStatus, demands, p.registry.Servers(now), orderSender{placementController: p, ctx: ctx})
	p.recordFinished(now, previous)
	p.rounds++
	p.view.Store(&placementView{rounds: p.rounds, pending: p.planner.Pending()})
}

func (p *placementController) now() clock.Millis { return p.control.options.Clock.Now() }

// recordFinished logs the orders that left the planner's pending list in this
// round, as done when the server's report shows their effect and as dropped
// otherwise, and counts those done. The argument previous is the pending list
// before the round.
func (p *placementController) recordFinished(now clock.Millis, previous []placement.Order) {
	pending := lo.KeyBy(p.planner.Pending(), func(o placement.Order) string { return o.ID })
	for _, o := range previous {
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

// log logs an event about an order, with the order's fields.
func (p *placementController) log(e event.Event, order placement.Order, fields ...zap.Field) {
	p.control.options.Logger.Log(e, append([]zap.Field{
		zap.String("order", order.ID), zap.String("kind", string(order.Kind)), zap.String("server", order.Server),
		zap.String("model", order.Model), zap.Uint64("term", order.FencingToken),
	}, fields...)...)
}

// stoppingServers returns the names of the servers with a planned stop.
func stoppingServers(c configuration.Configuration) []string {
	return lo.FilterMap(c.Stops(), func(s configuration.Stop, _ int) (string, bool) {
		return s.Name(), s.Kind() == configuration.StopServer
	})
}

// sumDemands sums the waiting requests of all entries by model and tier.
// Requests of entries that report no tiers count in the lowest tier, so that they
// get no precedence over other models.
func sumDemands(renewals []lease.Renewal) []placement.Demand {
	type key struct {
		model string
		tier  class.Tier
	}
	sums := map[key]int{}
	for _, r := range renewals {
		for _, d := range r.Demands {
			if len(d.WaitingByTier) == 0 {
				sums[key{d.Model, class.LowestTier}] += d.Waiting
			}
			for i, waiting := range d.WaitingByTier {
				sums[key{d.Model, class.HighestTier + class.Tier(i)}] += waiting
			}
		}
	}
	return lo.MapToSlice(sums, func(k key, waiting int) placement.Demand {
		return placement.Demand{Model: k.model, Tier: k.tier, Waiting: waiting}
	})
}
