package forecast

import (
	"math"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// baseTargets and stepTargets bound the expected wait for other work at an engine, as
	// multiples of the request's latency target: a request is refused if it would wait for
	// more than baseTargets plus stepTargets for each less urgent rank. A request that
	// begins after its target is late anyway and delays all later ones.
	baseTargets = 0.5
	stepTargets = 0.5
	// maxShareOfTimeLeft bounds the expected wait as a share of the time until the request's
	// deadline. The rest is for the answer, which would otherwise be cut off.
	maxShareOfTimeLeft = 0.75
	// waitWeight is the weight of the newest wait in the moving average.
	waitWeight = 0.05
	// waitHalfLife is the time after which a forecast has decayed to a half. Without this
	// decay, a rank whose requests are all refused would get no new measurements and
	// would be refused for ever.
	waitHalfLife = 5 * clock.Second
	// minWork is the smallest work, in equivalent prompt tokens, at which the
	// wait for the first byte is long enough to compute a wait per token from it.
	minWork = 10_000
	// maxGrowth is the largest value of a new sample, as a multiple of the
	// average so far, so that one frozen server does not distort the forecast for the
	// others.
	maxGrowth = 4
)

// Request describes a request that is refused if it would begin too late.
type Request struct {
	Rank            int          // urgency rank; 0 is the most urgent
	LessUrgentRanks int          // number of less urgent ranks
	Target          clock.Millis // latency target; 0 if there is none
	TimeLeft        clock.Millis // time until the deadline
	PromptTokens    int          // of the request itself
}

// longestWait returns the longest wait with which the request is not refused.
func (r Request) longestWait() float64 {
	targets := baseTargets + stepTargets*float64(r.LessUrgentRanks)
	return min(targets*float64(r.Target), maxShareOfTimeLeft*float64(r.TimeLeft))
}

// Waits forecasts the waits at the engines of one service. It is not safe for concurrent
// use.
type Waits struct {
	rates map[int]rate // by urgency rank
}

// New returns a forecast without any recorded waits.
func New() *Waits { return &Waits{rates: map[int]rate{}} }

// rate is a moving average of the time that requests of one rank wait for their
// first byte, in ms per equivalent prompt token of work at their engine.
type rate struct {
	value     float64 // at updatedAt
	updatedAt clock.Millis
}

// now returns the average, decayed since its last update.
func (r rate) now(now clock.Millis) float64 {
	return r.value * math.Exp2(-float64(max(now-r.updatedAt, 0))/float64(waitHalfLife))
}

// withWait returns the average with one more wait included.
func (r rate) withWait(now clock.Millis, work float64, wait clock.Millis) rate {
	sample := float64(wait) / work
	previous := r.now(now)
	if r.value == 0 {
		return rate{sample, now}
	}
	sample = min(sample, maxGrowth*r.value)
	return rate{previous + waitWeight*(sample-previous), now}
}

// TooLate reports whether a request is refused because the expected wait is too long at an
// engine with this much work, in equivalent prompt tokens, the request's prompt included. The
// time for its own prompt is no wait: a long prompt would be refused at an idle engine. The
// most urgent rank is never refused.
func (w *Waits) TooLate(now clock.Millis, r Request, work float64) bool {
	if r.Rank == 0 || r.Target == 0 {
		return false
	}
	return (work-float64(r.PromptTokens))*w.rates[r.Rank].now(now) > r.longestWait()
}

// Record records how long a request has waited for its first byte. The parameter work is the
// work at the engine when it was chosen, the request's prompt included.
func (w *Waits) Record(now clock.Millis, rank int, work float64, wait clock.Millis) {
	if work >= minWork {
		w.rates[rank] = w.rates[rank].withWait(now, work, wait)
	}
}
