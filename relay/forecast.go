package relay

import (
	"github.com/galenaslip/galenaslip/clock"
)

const (
	// lateBase and lateStep are how many targets the least urgent requests may be
	// expected to wait at an engine before they are refused, and how many more each
	// higher rank may. Work that begins after its target earns little and delays
	// all that follows.
	lateBase = 0.5
	lateStep = 0.5
	// forecastWeight is the weight of the newest wait.
	forecastWeight = 0.05
	// forecastHalfLife lets a rank be tried again of which all requests are refused.
	forecastHalfLife = 5 * clock.Second
	// forecastWork is the least work, in prompt tokens, at which waits tell the pace.
	forecastWork = 10_000
	// forecastClip bounds a wait by the pace so far: a server that is frozen says
	// nothing about the others.
	forecastClip = 4
)

// pace is how long requests of one rank wait for their first byte, in ms for each
// prompt token of work at their server.
type pace struct {
	value float64
	at    clock.Millis
}

func (p pace) now(now clock.Millis) float64 { return halfLife(p.value, now-p.at, forecastHalfLife) }

// withWait returns the pace after one more wait.
func (p pace) withWait(now clock.Millis, work float64, wait clock.Millis) pace {
	sample := float64(wait) / work
	former := p.now(now)
	if p.value == 0 {
		return pace{sample, now}
	}
	sample = min(sample, forecastClip*p.value)
	return pace{former + forecastWeight*(sample-former), now}
}

// late reports whether a request of the least urgent route would begin so late at
// a server with this much work that it is refused. Of two ranks the less urgent
// one is refused sooner, and the most urgent one never. Other routes are never
// refused, so that none is while a less urgent one is served.
func (p *pool) late(now clock.Millis, n need, work float64) bool {
	if !n.yields || n.rank == 0 || n.target == 0 {
		return false
	}
	allowed := lateBase + lateStep*float64(n.below)
	return work*p.paces[n.rank].now(now) > allowed*float64(n.target)
}

// learn notes how long a request has waited for its first byte.
func (p *pool) learn(now clock.Millis, rank int, work float64, wait clock.Millis) {
	if work >= forecastWork {
		p.paces[rank] = p.paces[rank].withWait(now, work, wait)
	}
}
