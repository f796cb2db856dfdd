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
	// discoveryTime is the time after the entry's start in which it may not have received
	// the announcements of all servers yet. During this time a request for a model or
	// service without a known server is refused with status 503 instead of 404.
	discoveryTime = 3 * clock.Second
	// handoffMargin is how long before the deadline of a server's planned stop its
	// running streams are moved to other servers.
	handoffMargin = 2 * clock.Second
	// refusedDemandAge is how long a request that was refused for lack of a server
	// counts as demand for its model. It is longer than the interval between two model
	// loads, so that the demand is still reported when the next load is decided.
	refusedDemandAge = 30 * clock.Second
)

// pool returns the state of a pool, which it creates if necessary.
func (d *dispatcher) pool(name string) *poolState {
	p, ok := d.pools[name]
	if !ok {
		p = &poolState{waiting: newJobSet(), running: newJobSet()}
		d.pools[name] = p
	}
	return p
}

// poolExists reports whether a pool has or had a usable server. State is kept only
// for such pools, so that callers cannot exhaust memory with invented names.
func (d *dispatcher) poolExists(now clock.Millis, name string) bool {
	if p, ok := d.pools[name]; ok && p.hadServer {
		return true
	}
	if d.registry.PoolSize(now, name) == 0 {
		return false
	}
	d.pool(name).hadServer = true
	return true
}

// unknownPool returns the problem for a model or service that has no pool.
func unknownPool(pool string) *problem {
	if model, ok := strings.CutPrefix(pool, backend.ModelPool("")); ok {
		return notFound(outcome.ReasonUnknownModel, "model", "unknown model "+model)
	}
	return notFound(outcome.ReasonUnknownService, "service", "unknown service "+strings.TrimPrefix(pool, backend.ServicePool("")))
}

// tick does the periodic work: it drops outdated state, refuses requests that have
// waited too long for a server, and dispatches waiting requests.
func (d *dispatcher) tick(now clock.Millis) {
	d.registry.Expire(now)
	d.dropSilentPeers(now)
	d.applyStops(now)
	d.updateShare(now)
	d.slots.refresh(now)
	for name, p := range d.pools {
		for id, j := range p.running.jobs {
			d.router.RecordProgress(now, id, int(j.callerRequest.producedTokens.Load()))
		}
		d.refuseWithoutServer(now, name, p)
		d.dispatchWaiting(now, name)
	}
	d.publishDemand(now)
}

// publishDemand publishes the counts that the lease keeper and the metrics read from
// other goroutines.
func (d *dispatcher) publishDemand(now clock.Millis) {
	demand := []lease.Demand{}
	waiting, running := 0, 0
	for name, p := range d.pools {
		waiting += p.waiting.len()
		running += p.running.len()
		if model, ok := strings.CutPrefix(name, backend.ModelPool("")); ok {
			demand = append(demand, lease.Demand{
				Model: model, Waiting: p.waiting.len(), Servers: d.registry.PoolSize(now, name), WaitingByTier: p.demand(now),
			})
		}
	}
	d.demand.Store(&demand)
	d.waitingCount.Store(int64(waiting))
	d.runningCount.Store(int64(running))
}

// demand returns the number of requests that need a server, by tier with the highest
// first. The refused requests of a tier count as one request in total, because callers
// repeat them.
func (p *poolState) demand(now clock.Millis) []int {
	tiers := slices.Clone(p.waiting.tiers[class.HighestTier:])
	for tier, refusedAt := range p.lastRefused {
		if now-refusedAt < refusedDemandAge {
			tiers[tier-class.HighestTier] = max(tiers[tier-class.HighestTier], 1)
		}
	}
	return tiers
}

// refuseWithoutServer refuses the waiting requests of a pool that has had no usable
// server for Timeouts.NoServer, or only servers at their limits. If all of its servers are in a pause that they have asked for,
// the requests are refused at once, because the end of the pause is known.
func (d *dispatcher) refuseWithoutServer(now clock.Millis, name string, p *poolState) {
	_, limited := d.limitedServers(now, name)
	if d.registry.PoolSize(now, name) > 0 && !limited {
		p.hadServer = true
		p.lastUsable = now
		p.lastRefused = nil
		return
	}
	pause := d.pauseOf(now, name)
	if pause == 0 && now-p.lastUsable < d.options.Timeouts.NoServer {
		return
	}
	for id, j := range p.waiting.jobs {
		p.recordRefusal(now, j.callerRequest.class.Tier())
		d.queue.Remove(id)
		d.dropJob(j)
		if limited {
			pause = d.refuseForLimits(now, name)
		}
		j.callerRequest.assigned <- assignment{rejection: notRun(outcome.ReasonNoServer, "no backend server is available").withPause(pause)}
	}
}

// recordRefusal notes that a request of a tier was refused for lack of a server.
func (p *poolState) recordRefusal(now clock.Millis, tier class.Tier) {
	if p.lastRefused == nil {
		p.lastRefused = map[class.Tier]clock.Millis{}
	}
	p.lastRefused[tier] = now
}

// applyStops excludes servers with a planned stop, unreachable servers and those that want no
// requests from new work. It moves the streams of a stopping server shortly before its grace period ends.
func (d *dispatcher) applyStops(now clock.Millis) {
	plannedStops := lo.Filter(d.leases.configuration().Stops(), func(s configuration.Stop, _ int) bool {
		return s.Kind() == configuration.StopServer
	})
	names := lo.Map(plannedStops, func(s configuration.Stop, _ int) string { return s.Name() })
	names = append(names, d.unreachableServers(now)...)
	d.registry.SetPlannedStops(now, append(names, d.withdrawnServers(now)...))
	stillPlanned := map[string]clock.Millis{}
	for _, s := range plannedStops {
		firstSeen, ok := d.plannedStops[s.ID()]
		if !ok {
			firstSeen = now
		}
		stillPlanned[s.ID()] = firstSeen
		if s.Grace() > 0 && now >= firstSeen+s.Grace()-handoffMargin {
			d.moveStreams(now, s.Name())
		}
	}
	d.plannedStops = stillPlanned
}

// moveStreams interrupts the streams on a server, so that they continue on other
// servers. A stream that no other usable server can continue is left running.
func (d *dispatcher) moveStreams(now clock.Millis, server string) {
	for _, j := range d.jobs {
		if j.running && j.server == server && !j.callerRequest.onceOnly && d.canMove(now, j) {
			d.interrupt(j, serverStops)
		}
	}
}
