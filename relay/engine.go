package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// longPromptTokens is the number of prompt tokens from which a prompt counts as
	// long: reading it noticeably delays the streams that run on the same engine.
	longPromptTokens = 3000
	// tokensPerStep is the number of prompt tokens that an engine reads in the time
	// of one step. An output token occupies one slot of the batch for one step.
	tokensPerStep = 290
	// remainingOutput is the share of a running request's output that is assumed
	// to be still ungenerated.
	remainingOutput = 0.6
	// baseRequestCost is the fixed cost of a request, in prompt tokens.
	baseRequestCost = 300
	// affinityLoadBound limits the cost of a server that is chosen for its cached
	// prompt parts, as a multiple of the mean cost of all servers.
	affinityLoadBound = 1.4
	// minLongShare and maxLongShare bound the share of servers for long prompts.
	minLongShare = 0.3
	maxLongShare = 0.75
	// defaultLongShare is the share of servers for long prompts until the demand is
	// known.
	defaultLongShare = 0.6
	// shortHeadroom multiplies the work of short prompts when servers are divided:
	// these requests are more urgent and have tighter latency targets.
	shortHeadroom = 1.4
	// minShareChange is the smallest change of the share for long prompts that is
	// applied.
	minShareChange = 0.08
	// minShareInterval is the shortest time between two changes of that share.
	minShareInterval = 1 * clock.Second
	// demandHalfLife is the time after which recorded work counts half.
	demandHalfLife = 2 * clock.Second
)

// demand measures the recent work of long and of short prompts, in prompt tokens,
// and divides the servers between them. The share of the servers for long prompts
// changes in steps, because each change puts long prompts on servers where streams
// still run, and slows these.
type demand struct {
	long, short  float64 // work of long and of short prompts, decayed until updatedAt
	updatedAt    clock.Millis
	appliedShare float64      // share of the servers for long prompts that is in force
	changedAt    clock.Millis // when appliedShare last changed
}

// decayTo applies the decay of the recorded work until now.
func (d *demand) decayTo(now clock.Millis) {
	d.long = decay(d.long, now-d.updatedAt, demandHalfLife)
	d.short = decay(d.short, now-d.updatedAt, demandHalfLife)
	d.updatedAt = now
}

// addRequest adds the work of a request. It counts a quarter of the tokens in shared
// prompt parts, because most of them are cached.
func (d *demand) addRequest(now clock.Millis, req requirements) {
	d.decayTo(now)
	work := float64(req.promptTokens-req.sharedTokens*3/4) + req.decodeCost
	if req.long() {
		d.long += work
	} else {
		d.short += work
	}
}

// longShare returns the share of servers for long prompts, computed from the demand
// of this entry and that of the other entries.
func (d *demand) longShare(now clock.Millis, othersLong, othersShort float64) float64 {
	long, short := d.long+othersLong, (d.short+othersShort)*shortHeadroom
	if long+short == 0 {
		return defaultLongShare
	}
	wanted := min(max(long/(long+short), minLongShare), maxLongShare)
	changed := math.Abs(wanted-d.appliedShare) > minShareChange && now-d.changedAt > minShareInterval
	if d.appliedShare == 0 || changed {
		d.appliedShare, d.changedAt = wanted, now
	}
	return d.appliedShare
}

// long reports whether the prompt is long enough to delay streams on the same engine.
func (r requirements) long() bool { return r.promptTokens >= longPromptTokens }

// pickEngine chooses an engine. It keeps long and short prompts on different servers
// and requests that share prompt parts on the same servers.
func (f *fleet) pickEngine(now clock.Millis, req requirements, candidates []*server) *server {
	p := f.pool(req.service)
	if len(req.excluded) == 0 {
		p.demand.addRequest(now, req) // retries are not counted as new work
	}
	return f.pickByAffinity(now, req, f.partition(now, p, req.long(), candidates))
}

// pickByAffinity prefers the servers that probably have the request's prompt parts
// cached, unless they are much busier than the others.
func (f *fleet) pickByAffinity(now clock.Millis, req requirements, servers []*server) *server {
	if req.affinityPart == "" {
		return f.cheapestEngine(now, servers)
	}
	total := lo.SumBy(servers, func(s *server) float64 { return f.engineCost(now, s) })
	bound := affinityLoadBound*total/float64(len(servers)) + float64(req.promptTokens) + req.decodeCost
	for _, s := range affinityServers(req.affinityPart, servers) {
		if f.engineCost(now, s) <= bound {
			return s
		}
	}
	return f.cheapestEngine(now, servers)
}

// affinityServers returns the servers for a prompt part, the preferred one first.
// Every entry computes the same order.
func affinityServers(part string, servers []*server) []*server {
	type ranked struct {
		server *server
		rank   uint64
	}
	ranks := lo.Map(servers, func(s *server, _ int) ranked { return ranked{s, s.affinityRank(part)} })
	slices.SortFunc(ranks, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	return lo.Map(ranks[:min(len(ranks), maxAffinityServers)], func(r ranked, _ int) *server { return r.server })
}

// cheapestEngine returns the engine with the lowest cost.
func (f *fleet) cheapestEngine(now clock.Millis, servers []*server) *server {
	var best *server
	lowestCost := 0.0
	for _, s := range servers {
		if cost := f.engineCost(now, s); best == nil || cost < lowestCost {
			best, lowestCost = s, cost
		}
	}
	return best
}

// maxAffinityServers is the number of servers that may be chosen for a cached prompt
// part: if the first is busy, the second is tried.
const maxAffinityServers = 2

// partition returns the servers for long or for short prompts. All entries sort the
// servers in the same way, so they divide them nearly alike.
func (f *fleet) partition(now clock.Millis, p *pool, long bool, candidates []*server) []*server {
	if len(candidates) < 2 {
		return candidates
	}
	share := p.demand.longShare(now, p.othersLong, p.othersShort)
	longServers := int(share*float64(len(candidates)) + 0.5)
	longServers = min(max(longServers, 1), len(candidates)-1)
	if long {
		return candidates[:longServers]
	}
	return candidates[longServers:]
}

// engineCost estimates the work at an engine, in prompt tokens. Recent failures of
// the engine raise it.
func (f *fleet) engineCost(now clock.Millis, s *server) float64 {
	cost := s.unreadTokens(now) + baseRequestCost*(s.load(now)+1) + remainingOutput*s.totalDecodeCost(now)
	return cost * (1 + failureCost*s.failureShare(now))
}

// estimateDecodeCost returns the estimated cost of a request's output, in prompt tokens.
func (f *fleet) estimateDecodeCost(req requirements) float64 {
	service, ok := f.catalog.Service(req.service)
	if !ok || service.Engine == nil || service.Engine.Slots <= 0 {
		return 0
	}
	return float64(req.outputTokens) * tokensPerStep / float64(service.Engine.Slots)
}
