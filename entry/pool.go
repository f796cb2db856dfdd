package entry

import (
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
)

const (
	// learnTime is how long after its start an entry does not know yet which
	// models and services exist.
	learnTime = 3 * clock.Second
	// handoffMargin is the time before the deadline of a server's planned stop
	// at which running streams move to another server.
	handoffMargin = 2 * clock.Second
	// missedAge is how long a request that was refused for lack of a server counts
	// as demand. It is longer than the interval between two model loads, so that
	// the model is still wanted when its turn comes.
	missedAge = 30 * clock.Second
)

func (d *dispatcher) pool(name string) *poolState {
	p, ok := d.pools[name]
	if !ok {
		p = &poolState{waiting: newJobSet(), running: newJobSet()}
		d.pools[name] = p
	}
	return p
}

// known reports whether a pool has or had a server. Only such pools are kept,
// so that callers cannot fill the memory with names.
func (d *dispatcher) known(now clock.Millis, name string) bool {
	if p, ok := d.pools[name]; ok && p.served {
		return true
	}
	if d.registry.PoolSize(now, name) == 0 {
		return false
	}
	d.pool(name).served = true
	return true
}

func unknownPool(pool string) *problem {
	if model, ok := strings.CutPrefix(pool, backend.ModelPool("")); ok {
		return notFound(outcome.ReasonUnknownModel, "model", "unknown model "+model)
	}
	return notFound(outcome.ReasonUnknownService, "service", "unknown service "+strings.TrimPrefix(pool, backend.ServicePool("")))
}

// tick does what time alone makes necessary.
func (d *dispatcher) tick(now clock.Millis) {
	d.registry.Advance(now)
	d.dropPeers(now)
	d.applyStops(now)
	d.slots.advance(now)
	for name, p := range d.pools {
		for id, j := range p.running.jobs {
			d.router.RecordProgress(now, id, int(j.work.produced.Load()))
		}
		d.giveUp(now, name, p)
		d.pump(now, name)
	}
	d.publishDemand(now)
}

// publishDemand publishes counts for the lease keeper and the metrics.
func (d *dispatcher) publishDemand(now clock.Millis) {
	demand := []lease.Demand{}
	waiting, running := 0, 0
	for name, p := range d.pools {
		waiting += p.waiting.len()
		running += p.running.len()
		if model, ok := strings.CutPrefix(name, backend.ModelPool("")); ok {
			demand = append(demand, lease.Demand{
				Model: model, Waiting: p.waiting.len(), Servers: d.registry.PoolSize(now, name), Tiers: p.demand(now),
			})
		}
	}
	d.demand.Store(&demand)
	d.waitingCount.Store(int64(waiting))
	d.runningCount.Store(int64(running))
}

// demand returns the requests in need of a server by tier, the highest first. Any
// number of refused requests of a tier counts as one, because callers repeat them.
func (p *poolState) demand(now clock.Millis) []int {
	tiers := slices.Clone(p.waiting.tiers[class.HighestTier:])
	for tier, at := range p.missed {
		if now-at < missedAge {
			tiers[tier-class.HighestTier] = max(tiers[tier-class.HighestTier], 1)
		}
	}
	return tiers
}

// giveUp refuses waiting work of a pool that has had no usable server for long.
func (d *dispatcher) giveUp(now clock.Millis, name string, p *poolState) {
	if d.registry.PoolSize(now, name) > 0 {
		p.served = true
		p.since = now
		p.missed = nil
		return
	}
	if now-p.since < d.options.Timeouts.NoServer {
		return
	}
	for id, j := range p.waiting.jobs {
		p.miss(now, j.work.class.Tier())
		d.queue.Remove(id)
		d.forget(j)
		j.work.assigned <- assignment{refused: notRun(outcome.ReasonNoServer, "no backend server is available")}
	}
}

func (p *poolState) miss(now clock.Millis, tier class.Tier) {
	if p.missed == nil {
		p.missed = map[class.Tier]clock.Millis{}
	}
	p.missed[tier] = now
}

// applyStops treats servers with a planned stop as leaving, and moves their
// streams when the grace period is nearly over.
func (d *dispatcher) applyStops(now clock.Millis) {
	stops := lo.Filter(d.leases.configuration().Stops(), func(s configuration.Stop, _ int) bool {
		return s.Kind() == configuration.StopServer
	})
	names := lo.Map(stops, func(s configuration.Stop, _ int) string { return s.Name() })
	d.registry.SetPlannedStops(now, append(names, d.stillUnreached(now)...))
	seen := map[string]clock.Millis{}
	for _, s := range stops {
		since, ok := d.stops[s.ID()]
		if !ok {
			since = now
		}
		seen[s.ID()] = since
		if s.Grace() > 0 && now >= since+s.Grace()-handoffMargin {
			d.moveFrom(now, s.Name())
		}
	}
	d.stops = seen
}

// moveFrom moves streams to other servers. Where there is none, a stream runs on
// as long as its server does.
func (d *dispatcher) moveFrom(now clock.Millis, server string) {
	for _, j := range d.jobs {
		if j.running && j.server == server && !j.work.onceOnly && d.registry.PoolSize(now, j.work.pool) > 0 {
			d.interrupt(j, serverStops)
		}
	}
}
