package relay

import (
	"math/rand/v2"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/forecast"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/roster"
)

// requirements are the properties of a request that the choice of a server depends on.
type requirements struct {
	service        string
	forEngine      bool     // the request goes to model engines
	affinityPartID string   // ID of the last prompt part that other requests may share; "" if there is none
	promptTokens   int      // all tokens of the prompt, cached or not
	sharedTokens   int      // prompt tokens in parts that other requests may share
	outputTokens   int      // expected output tokens
	decodeCost     float64  // estimated work of generating the output, in equivalent prompt tokens
	excluded       []string // names of servers that were already tried
	version        *string  // version of the servers that can continue the stream; nil for any
	urgency        ratelimit.Urgency
	repeatable     bool // it may be sent to another server if the first one does not answer
	// refusable describes the request to the forecast; nil if it is not refused as too late.
	refusable *forecast.Request
}

// pickServer chooses a server, registers the attempt there and reports whether it did. It
// does not if all servers are excluded or unusable, or if the request would begin too late;
// in that case it sets a.tooLate.
func (f *fleet) pickServer(now clock.Millis, req requirements, a *attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	req.repeatable = a.repeatable
	candidates := f.usableServers(now, req)
	if len(candidates) == 0 {
		return false
	}
	a.onlyServer = len(candidates) == 1
	req.decodeCost = f.estimateDecodeCost(req)
	s, peers := f.pickWithinLimits(now, req, candidates)
	if s == nil {
		return false
	}
	if req.forEngine {
		a.engineWork = f.engineCost(now, s) + float64(req.promptTokens)
		if a.tooLate = req.refusable != nil && f.pool(req.service).waits.TooLate(now, *req.refusable, a.engineWork); a.tooLate {
			return false
		}
	}
	a.cacheSource = f.cacheSource(now, s, req, peers)
	f.registerAttempt(now, s, req, a)
	return true
}

// registerAttempt counts an attempt at the server that was chosen for it. The caller holds the lock.
func (f *fleet) registerAttempt(now clock.Millis, s *server, req requirements, a *attempt) {
	a.chosenAt, a.load, a.loadAge = now, s.load(now), now-s.otherEntriesReportedAt
	a.uncachedTokens = req.promptTokens
	if req.affinityPartID != "" && f.promptParts.Use(now, s.promptCache, req.affinityPartID) {
		a.uncachedTokens -= req.sharedTokens
	}
	a.server, a.requirements, a.run, a.version = s, req, s.run(), s.record.Version
	f.limiter.Take(now, ratelimit.Run(a.run), req.service, req.urgency)
	if s.unresponsive {
		f.delayTrial(now, s)
	}
	s.attempts[a] = struct{}{}
	s.unprocessedTokens += a.uncachedTokens
	a.decodeCost = req.decodeCost
	s.decodeCost += a.decodeCost
}

// usableServers returns the servers that may get the request, in an order that is the
// same at every entry. It returns silent or unresponsive servers only if there are no
// others or a trial is due, and never one that has said that it wants no requests. The caller holds the lock.
func (f *fleet) usableServers(now clock.Millis, req requirements) []*server {
	var responsive, fallback []*server
	for _, s := range f.servers {
		if !f.isUsable(now, s, req) {
			continue
		}
		if s.isSilent(now) || s.unresponsive && !s.isTrialDue(now, req) {
			fallback = append(fallback, s)
			continue
		}
		responsive = append(responsive, s)
	}
	if len(responsive) == 0 {
		responsive = fallback
	}
	slices.SortFunc(responsive, func(a, b *server) int { return lo.Ternary(a.nameHash < b.nameHash, -1, 1) })
	return responsive
}

// isUsable reports whether a server may get the request. The caller holds the lock.
func (f *fleet) isUsable(now clock.Millis, s *server, req requirements) bool {
	return s.record.Service == req.service && s.record.State == roster.Serving && s.withdrawal.Accepts(now) && !s.wrongServer && s.blockedUntil <= now &&
		(req.version == nil || s.record.Version == *req.version) && !lo.Contains(req.excluded, s.record.Server) && f.hasFreeConnection(s)
}

// hasAlternative reports whether another server that responds may take over from an attempt: one of the
// same version if the response has begun. The caller holds the lock.
func (f *fleet) hasAlternative(now clock.Millis, a *attempt) bool {
	req := a.requirements
	if a.firstByteSeen {
		req.version = &a.version
	}
	for _, s := range f.servers {
		if s != a.server && !s.unresponsive && !s.isSilent(now) && f.isUsable(now, s, req) {
			return true
		}
	}
	return false
}

// hasFreeConnection reports whether there is an idle connection to the server, or
// this entry's share of the server's connections permits another one.
func (f *fleet) hasFreeConnection(s *server) bool {
	service, ok := f.catalog.Service(s.record.Service)
	if !ok || service.MaxConnections == 0 || len(s.idle) > 0 {
		return true
	}
	return s.openConns < max(service.MaxConnections/(f.entryCount+1), 1)
}

// pickByLoad returns the server with the shortest expected wait. Among nearly equal
// ones it prefers servers in the relay's availability zone.
func (f *fleet) pickByLoad(now clock.Millis, candidates []*server) *server {
	typicalLatency := medianLatency(now, candidates)
	return lo.MinBy(candidates, func(a, b *server) bool {
		return f.loadCost(now, a, typicalLatency) < f.loadCost(now, b, typicalLatency)
	})
}

const (
	// failureCost is how much failures raise the cost of a server: the cost is
	// multiplied by 1 + failureCost times the share of failed attempts.
	failureCost = 12
	// zoneCost is half of the cost that is added for a server in another availability
	// zone, as a number of running requests.
	zoneCost = 0.15
	// costJitter is the upper bound of the random cost that is added to each server, as
	// a number of running requests. It spreads requests over servers of equal cost.
	costJitter = 0.1
)

// loadCost returns the cost of choosing a server, as the share of its slots that would
// be in use. It is scaled by the server's latency relative to typicalLatency (in ms),
// and raised for failures and for another availability zone.
func (f *fleet) loadCost(now clock.Millis, s *server, typicalLatency float64) float64 {
	slots := float64(max(s.record.Slots, 1))
	cost := (s.load(now) + 1) / slots
	if typicalLatency > 0 {
		cost *= min(max((s.meanLatency(now)+typicalLatency)/(2*typicalLatency), 0.7), 8)
	}
	cost *= 1 + failureCost*s.failureShare(now)
	if s.record.AvailabilityZone != f.zone {
		cost += zoneCost / slots * 2
	}
	return cost + rand.Float64()*costJitter/slots
}

// medianLatency returns the median of the servers' mean latencies in ms, or 0 if none
// is known.
func medianLatency(now clock.Millis, servers []*server) float64 {
	means := lo.FilterMap(servers, func(s *server, _ int) (float64, bool) {
		m := s.meanLatency(now)
		return m, m > 0
	})
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[len(means)/2]
}
