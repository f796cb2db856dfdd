package routing

import (
	"slices"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

const (
	// The time between tokens is measured over a window of windowTokens tokens or
	// windowMillis, whichever is complete first, because engines and networks
	// deliver tokens in bursts.
	windowTokens = 8
	windowMillis = 1 * clock.Second

	// minSamples is the number of measured windows before a server can become a
	// straggler.
	minSamples = 4
	// minMeasuredServers is the number of measured servers in a pool from which its
	// median is used.
	minMeasuredServers = 3

	// A server becomes a straggler when its time between tokens exceeds slowFactor
	// times the pool's median, and recovers below recoverFactor times the median.
	// The difference prevents flapping.
	slowFactor    = 2.0
	recoverFactor = 1.5

	// normalWeight is the weight of a new window in the running mean.
	normalWeight = 0.2
	// probeWeight is the weight of a new window of a straggler. It is higher, so
	// that the few windows of its probes suffice to see a recovery.
	probeWeight = 0.5

	// Bounds of the interval between probes of a straggler, which doubles with each
	// request sent to it.
	minProbeInterval = 2 * clock.Second
	maxProbeInterval = 16 * clock.Second
	// topTierProbeDelay is how long a due probe waits for a request of a lower tier
	// before it uses one of the highest tier.
	topTierProbeDelay = 4 * clock.Second
)

// measureWindow adds the time between tokens of a running request to its server's
// mean once the window is complete, and starts the next window.
func (r *Router) measureWindow(now clock.Millis, run *runningRequest) {
	tokens, elapsed := run.tokens-run.windowStartTokens, now-run.windowStart
	if tokens == 0 || elapsed <= 0 || tokens < windowTokens && elapsed < windowMillis {
		return
	}
	run.windowStart, run.windowStartTokens = now, run.tokens
	s, ok := r.servers[run.server]
	p := r.pools[run.request.Pool]
	if !ok || p == nil {
		return
	}
	m := p.membershipOf(s)
	if m == nil {
		return
	}
	if m.observe(now, float64(elapsed)/float64(tokens)) {
		r.updateFreeSlots(now, s)
	}
}

// observe adds a measured time between tokens in ms. It reports whether the server's
// allowed slots may have changed: it became a straggler, is one, or recovered.
func (m *poolMembership) observe(now clock.Millis, millis float64) bool {
	v := &m.serverTokenTime
	weight := normalWeight
	if v.slow {
		weight = probeWeight
	}
	if v.samples == 0 {
		weight = 1
	}
	v.millis += weight * (millis - v.millis)
	v.samples++
	if v.samples >= minSamples {
		m.pool.poolTokenTimes.setMean(v)
	}
	return m.updateStraggler(now)
}

// updateStraggler decides whether the server is a straggler in the pool. It reports
// whether the server became a straggler, is one, or recovered.
func (m *poolMembership) updateStraggler(now clock.Millis) bool {
	v, median := &m.serverTokenTime, m.pool.poolTokenTimes.median()
	if v.samples < minSamples || m.pool.poolTokenTimes.total < minMeasuredServers || median == 0 {
		return false
	}
	switch {
	case !v.slow && v.millis > slowFactor*median:
		v.slow, v.probeInterval, v.probeAt = true, minProbeInterval, now+minProbeInterval
		m.pool.slow = append(m.pool.slow, m)
		return true
	case v.slow && v.millis < recoverFactor*median:
		v.slow = false
		m.pool.slow = slices.DeleteFunc(m.pool.slow, func(o *poolMembership) bool { return o == m })
		return true
	}
	return v.slow
}

// allowedSlots returns how many of its slots a server may use. A straggler may use
// slots * (median/own)^2, at least 1, where median and own are the times between tokens
// of the pool and of the server. The ratio is squared so that the server gets less load
// than its lower speed alone would require.
func (s *server) allowedSlots() int {
	allowed := s.slots
	for _, m := range s.memberships {
		if !m.serverTokenTime.slow {
			continue
		}
		ratio := m.pool.poolTokenTimes.median() / m.serverTokenTime.millis
		allowed = min(allowed, max(1, int(float64(s.slots)*ratio*ratio)))
	}
	return allowed
}

// dueProbe returns a straggler that is due for a probe and should get this request,
// or nil. Without probes its recovery would go unnoticed. Requests of the highest tier
// are used only if no other request came within topTierProbeDelay.
func (p *pool) dueProbe(now clock.Millis, request Request) *server {
	for _, m := range p.slow[:min(len(p.slow), maxProbeScan)] {
		due := m.serverTokenTime.probeAt
		if request.Tier == class.HighestTier {
			due += topTierProbeDelay
		}
		if now >= due && m.index >= 0 && !slices.Contains(request.Exclude, m.server.name) {
			return m.server
		}
	}
	return nil
}

// maxProbeScan bounds the number of stragglers that one decision examines.
const maxProbeScan = 8

// scheduleProbe schedules the next probe of a straggler that was just sent a request,
// and moves it to the end of the stragglers of each pool.
func (s *server) scheduleProbe(now clock.Millis) {
	for _, m := range s.memberships {
		v := &m.serverTokenTime
		if !v.slow {
			continue
		}
		v.probeAt = now + v.probeInterval
		v.probeInterval = min(maxProbeInterval, 2*v.probeInterval)
		p := m.pool
		i := slices.Index(p.slow, m)
		p.slow = append(slices.Delete(p.slow, i, i+1), m)
	}
}
