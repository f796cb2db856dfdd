package relay

import (
	"math"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// The work at an engine is measured in equivalent prompt tokens: the number of uncached
// prompt tokens whose processing would take the engine as long.
const (
	// longPromptTokens is the number of prompt tokens from which a prompt counts as
	// long: processing it noticeably delays the streams that run on the same engine.
	longPromptTokens = 3000
	// tokensPerStep is the number of prompt tokens that an engine processes in the time
	// of one decode step. In a decode step, each slot generates one output token.
	tokensPerStep = 290
	// remainingOutputShare is the share of a running request's output that is assumed
	// to be not generated yet.
	remainingOutputShare = 0.6
	// baseRequestCost is the fixed cost of a request, in equivalent prompt tokens.
	baseRequestCost = 300
	// affinityLoadBound limits the cost of a server that is chosen for its cached
	// prompt parts, as a multiple of the mean cost of all servers.
	affinityLoadBound = 1.4
	// copyingLoadBound is affinityLoadBound where a server copies the parts that it lacks: a part at a
	// further server then costs little.
	copyingLoadBound = 1.2
	// minLongShare and maxLongShare bound the share of servers that get the long prompts.
	minLongShare = 0.3
	maxLongShare = 0.75
	// defaultLongShare is the share of servers for long prompts while no work is
	// recorded.
	defaultLongShare = 0.6
	// shortPromptHeadroom is the factor by which the work of short prompts is raised when
	// the servers are divided: these requests are more urgent and have tighter latency
	// targets, so their servers need spare capacity.
	shortPromptHeadroom = 1.4
	// minShareChange is the smallest change of the share of servers for long prompts
	// that is applied.
	minShareChange = 0.08
	// minShareInterval is the shortest time between two changes of that share.
	minShareInterval = 1 * clock.Second
	// promptWorkHalfLife is the time after which recorded work has decayed to a half.
	promptWorkHalfLife = 2 * clock.Second
)

// promptWork measures the recent work of long and of short prompts, in equivalent
// prompt tokens, and computes which share of the servers gets the long prompts. That
// share changes in steps, because each change sends long prompts to servers where
// streams still run, which slows these streams.
type promptWork struct {
	long, short      float64 // work of long and of short prompts, decayed until updatedAt
	longCount        float64 // number of long prompts, decayed in the same way
	shortCount       float64
	updatedAt        clock.Millis
	appliedLongShare float64      // share of the servers that currently get the long prompts
	changedAt        clock.Millis // when appliedLongShare last changed
}

// decayTo applies the decay of the recorded work until now.
func (w *promptWork) decayTo(now clock.Millis) {
	w.long = decay(w.long, now-w.updatedAt, promptWorkHalfLife)
	w.short = decay(w.short, now-w.updatedAt, promptWorkHalfLife)
	w.longCount = decay(w.longCount, now-w.updatedAt, promptWorkHalfLife)
	w.shortCount = decay(w.shortCount, now-w.updatedAt, promptWorkHalfLife)
	w.updatedAt = now
}

// addRequest adds the work of a request. It counts a quarter of the tokens in shared
// prompt parts, because most of them are cached.
func (w *promptWork) addRequest(now clock.Millis, req requirements) {
	w.decayTo(now)
	work := float64(req.promptTokens-req.sharedTokens*3/4) + req.decodeCost
	if req.long() {
		w.long += work
		w.longCount++
	} else {
		w.short += work
		w.shortCount++
	}
}

// longWorkShare returns the share of long prompts in the work of this entry and that of the other
// entries, within the bounds for the share of their servers. It is 0 if there is no work.
func (p *pool) longWorkShare() float64 {
	long := p.promptWork.long + p.otherEntriesLongWork
	short := (p.promptWork.short + p.otherEntriesShortWork) * shortPromptHeadroom
	if long+short == 0 {
		return 0
	}
	return min(max(long/(long+short), minLongShare), maxLongShare)
}

// applyLongShare returns the share of the servers for long prompts, given the wanted one. It
// changes in steps.
func (w *promptWork) applyLongShare(now clock.Millis, wanted float64) float64 {
	if wanted == 0 {
		return defaultLongShare
	}
	changed := math.Abs(wanted-w.appliedLongShare) > minShareChange && now-w.changedAt > minShareInterval
	if w.appliedLongShare == 0 || changed {
		w.appliedLongShare, w.changedAt = wanted, now
	}
	return w.appliedLongShare
}

// long reports whether the prompt is long enough to delay streams on the same engine.
func (r requirements) long() bool { return r.promptTokens >= longPromptTokens }

// pickEngine chooses an engine whose limit allows a request, or returns nil if there is none. It
// keeps long and short prompts on different servers and requests that share prompt parts on the
// same servers. It also returns the servers for prompts of this length.
func (f *fleet) pickEngine(now clock.Millis, req requirements, candidates []*server) (chosen *server, own []*server) {
	p := f.pool(req.service)
	if len(req.excluded) == 0 {
		p.promptWork.addRequest(now, req) // retries are not counted as new work
	}
	// The servers are divided before those are left out whose limits allow no request just now:
	// otherwise the division would change with each request.
	own, others := f.serversForPromptLength(now, p, req.long(), candidates)
	if allowed := f.withinLimits(now, req, own); len(allowed) > 0 {
		return f.pickByAffinity(now, req, f.withinWindows(now, allowed)), own
	}
	allowed := f.withinLimits(now, req, others)
	if len(allowed) == 0 {
		return nil, own
	}
	return f.pickNearest(now, req, f.withinWindows(now, allowed)), own
}

// pickByAffinity prefers the servers that probably have the request's prompt parts
// cached, unless they are much busier than the others.
func (f *fleet) pickByAffinity(now clock.Millis, req requirements, servers []*server) *server {
	if req.affinityPartID == "" {
		return f.cheapestEngine(now, servers)
	}
	count, bound := maxPreferredServers, f.affinityBound(now, req, servers)
	if f.copiesCaches(req.service) {
		count, bound = maxCopyingServers, copyingLoadBound*f.meanEngineCost(now, servers)+(float64(req.promptTokens)+req.decodeCost)/2
	}
	for _, s := range preferredServers(req.affinityPartID, servers, count) {
		if f.engineCost(now, s) <= bound {
			return s
		}
	}
	return f.cheapestEngine(now, servers)
}

// affinityBound returns the cost up to which a server is chosen although others are less busy.
func (f *fleet) affinityBound(now clock.Millis, req requirements, servers []*server) float64 {
	return affinityLoadBound*f.meanEngineCost(now, servers) + float64(req.promptTokens) + req.decodeCost
}

// meanEngineCost returns the mean cost of engines.
func (f *fleet) meanEngineCost(now clock.Millis, servers []*server) float64 {
	return lo.SumBy(servers, func(s *server) float64 { return f.engineCost(now, s) }) / float64(len(servers))
}

// pickNearest chooses a server for a request whose own servers are all at their limits. It prefers
// those next to them, unless they are much busier than the others, so that few servers get both
// long and short prompts.
func (f *fleet) pickNearest(now clock.Millis, req requirements, servers []*server) *server {
	bound := f.affinityBound(now, req, servers)
	for _, s := range servers {
		if f.engineCost(now, s) <= bound {
			return s
		}
	}
	return f.cheapestEngine(now, servers)
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

// serversForPromptLength returns the servers for long or for short prompts, and the others, those
// next to the border first. All entries sort the servers in the same way, so their divisions are
// nearly the same.
func (f *fleet) serversForPromptLength(now clock.Millis, p *pool, long bool, candidates []*server) (own, others []*server) {
	if len(candidates) < 2 {
		return candidates, nil
	}
	wanted := p.longWorkShare()
	if !f.limiter.Limits().IsEmpty() && wanted > 0 {
		candidates, wanted = f.divideByLimits(p, wanted, candidates)
	}
	share := p.promptWork.applyLongShare(now, wanted)
	longServers := int(share*float64(len(candidates)) + 0.5)
	longServers = min(max(longServers, 1), len(candidates)-1)
	if long {
		return candidates[:longServers], candidates[longServers:]
	}
	others = slices.Clone(candidates[:longServers])
	slices.Reverse(others)
	return candidates[longServers:], others
}

// engineCost estimates the work at an engine, in prompt tokens that an engine of usual speed would process
// in the same time. Recent failures of the engine raise the estimate.
func (f *fleet) engineCost(now clock.Millis, s *server) float64 {
	cost := s.totalUnprocessedTokens(now) + baseRequestCost*(s.load(now)+1) + remainingOutputShare*s.totalDecodeCost(now)
	return cost * s.speed.Now(now) * (1 + failureCost*s.failureShare(now))
}

// estimateDecodeCost estimates the work of generating a request's output, in equivalent
// prompt tokens. It returns 0 if the number of slots of the engines is unknown.
func (f *fleet) estimateDecodeCost(req requirements) float64 {
	service, ok := f.catalog.Service(req.service)
	if !ok || service.Engine == nil || service.Engine.Slots <= 0 {
		return 0
	}
	return float64(req.outputTokens) * tokensPerStep / float64(service.Engine.Slots)
}
