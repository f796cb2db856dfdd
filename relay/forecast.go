package relay

import (
	"github.com/galenaslip/galenaslip/clock"
)

const (
	// lateBaseTargets and lateStepTargets bound the expected wait at an engine, as
	// multiples of the request's latency target: a request is refused if it would wait
	// for more than lateBaseTargets plus lateStepTargets for each less urgent rank. Work
	// that begins after its target is worth little and delays all later requests.
	lateBaseTargets = 0.5
	lateStepTargets = 0.5
	// waitWeight is the weight of the newest wait in the moving average.
	waitWeight = 0.05
	// waitHalfLife is the time after which a forecast has decayed to a half. Without this
	// decay, a rank whose requests are all refused would get no new measurements and
	// would be refused for ever.
	waitHalfLife = 5 * clock.Second
	// minForecastWork is the smallest work, in equivalent prompt tokens, at which the
	// wait for the first byte is long enough to compute a wait per token from it.
	minForecastWork = 10_000
	// maxForecastGrowth is the largest value of a new sample, as a multiple of the
	// average so far, so that one frozen server does not distort the forecast for the
	// others.
	maxForecastGrowth = 4
)

// waitRate is a moving average of the time that requests of one rank wait for their
// first byte, in ms per equivalent prompt token of work at their engine.
type waitRate struct {
	value     float64 // ms per equivalent prompt token, at updatedAt
	updatedAt clock.Millis
}

// now returns the average, decayed since its last update.
func (w waitRate) now(now clock.Millis) float64 { return decay(w.value, now-w.updatedAt, waitHalfLife) }

// withWait returns the average with one more wait included.
func (w waitRate) withWait(now clock.Millis, work float64, wait clock.Millis) waitRate {
	sample := float64(wait) / work
	previous := w.now(now)
	if w.value == 0 {
		return waitRate{sample, now}
	}
	sample = min(sample, maxForecastGrowth*w.value)
	return waitRate{previous + waitWeight*(sample-previous), now}
}

// tooLate reports whether a request is refused because it would begin too late: the
// expected wait for its first byte is too long at an engine with this much work, in
// equivalent prompt tokens. Less urgent ranks are refused sooner; the most urgent rank
// never is. Only requests to the least urgent route are refused, so that no request is
// refused while a less urgent route is served.
func (p *pool) tooLate(now clock.Millis, req requirements, work float64) bool {
	if !req.mayRefuseAsTooLate || req.rank == 0 || req.target == 0 {
		return false
	}
	allowed := lateBaseTargets + lateStepTargets*float64(req.lessUrgentRankCount)
	return work*p.waitRates[req.rank].now(now) > allowed*float64(req.target)
}

// recordWait records how long a request has waited for its first byte.
func (p *pool) recordWait(now clock.Millis, rank int, work float64, wait clock.Millis) {
	if work >= minForecastWork {
		p.waitRates[rank] = p.waitRates[rank].withWait(now, work, wait)
	}
}
