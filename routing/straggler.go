package routing

import (
	"slices"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

const (
	// A window between tokens is measured over several tokens, because engines
	// and networks deliver tokens in bursts.
	windowTokens = 8
	windowMillis = 1 * clock.Second

	// minSamples is the number of windows before a server is judged.
	minSamples = 4
	// minMeasured is the number of measured servers before a median means
	// anything.
	minMeasured = 3

	// A server is a straggler above slowFactor times the pool's median, and taken
	// back below recoverFactor. The gap keeps it from flapping.
	slowFactor    = 2.0
	recoverFactor = 1.5

	normalWeight = 0.2
	// probeWeight lets a few windows of probes decide.
	probeWeight = 0.5

	firstProbe = 2 * clock.Second
	maxProbe   = 16 * clock.Second
	// probeGrace is how long a due probe waits for a request of a lower tier
	// before it takes one of the highest.
	probeGrace = 4 * clock.Second
)

// measureWindow adds the time between tokens to the server's speed once the
// window is long enough.
func (r *Router) measureWindow(now clock.Millis, run *running) {
	tokens, elapsed := run.tokens-run.windowFrom, now-run.windowAt
	if tokens == 0 || elapsed <= 0 || tokens < windowTokens && elapsed < windowMillis {
		return
	}
	run.windowAt, run.windowFrom = now, run.tokens
	s, ok := r.servers[run.server]
	p := r.pools[run.request.Pool]
	if !ok || p == nil {
		return
	}
	at := p.placeOf(s)
	if at == nil {
		return
	}
	if at.observe(now, float64(elapsed)/float64(tokens)) {
		r.update(now, s)
	}
}

// observe adds a measured time between tokens. It reports whether the server
// became a straggler, recovered, or changed its share.
func (a *place) observe(now clock.Millis, millis float64) bool {
	v := &a.speed
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
		a.pool.speeds.set(v)
	}
	return a.judge(now)
}

func (a *place) judge(now clock.Millis) bool {
	v, median := &a.speed, a.pool.speeds.median()
	if v.samples < minSamples || a.pool.speeds.total < minMeasured || median == 0 {
		return false
	}
	switch {
	case !v.slow && v.millis > slowFactor*median:
		v.slow, v.backoff, v.probeAt = true, firstProbe, now+firstProbe
		a.pool.slow = append(a.pool.slow, a)
		return true
	case v.slow && v.millis < recoverFactor*median:
		v.slow = false
		a.pool.slow = slices.DeleteFunc(a.pool.slow, func(o *place) bool { return o == a })
		return true
	}
	return v.slow
}

// allowedSlots returns the slots that a server may use. A straggler keeps a share
// that falls with the square of its slowness: it is slower and is relieved too.
func (s *server) allowedSlots() int {
	allowed := s.slots
	for _, at := range s.places {
		if !at.speed.slow {
			continue
		}
		ratio := at.pool.speeds.median() / at.speed.millis
		allowed = min(allowed, max(1, int(float64(s.slots)*ratio*ratio)))
	}
	return allowed
}

// dueProbe returns a straggler that should get this request, so that its
// recovery is noticed. Requests of the highest tier are used last.
func (p *pool) dueProbe(now clock.Millis, request Request) *server {
	for _, at := range p.slow[:min(len(p.slow), maxProbeScan)] {
		due := at.speed.probeAt
		if request.Tier == class.HighestTier {
			due += probeGrace
		}
		if now >= due && at.index >= 0 && !slices.Contains(request.Exclude, at.server.name) {
			return at.server
		}
	}
	return nil
}

// maxProbeScan bounds the stragglers that one decision looks at.
const maxProbeScan = 8

// probed schedules the next probe after a request was sent, and moves the server
// to the end of its pool's list.
func (s *server) probed(now clock.Millis) {
	for _, at := range s.places {
		v := &at.speed
		if !v.slow {
			continue
		}
		v.probeAt = now + v.backoff
		v.backoff = min(maxProbe, 2*v.backoff)
		p := at.pool
		i := slices.Index(p.slow, at)
		p.slow = append(slices.Delete(p.slow, i, i+1), at)
	}
}
