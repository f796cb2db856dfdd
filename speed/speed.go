// Package speed estimates how long work takes at a backend server, as its own answers show it: what it says
// itself, or else the time between the events of its streams. The lasting part is told apart from moments
// in which others' work on the server's machine slows it. The package needs no network.
package speed

import (
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// samples is the number of samples of which the median is the lasting slowness. A moment takes one
	// or two of them.
	samples = 7
	// sampleInterval is the time from one sample to the next. It is longer than most moments, so that
	// one moment does not fill the samples. The lowest value in it counts.
	sampleInterval = 500 * clock.Millisecond
	// momentLength is the age up to which a report tells how slow the server is now.
	momentLength = 300 * clock.Millisecond
	// minSlowness and maxSlowness bound an estimate, so that a server that reports nonsense is neither
	// flooded nor left out.
	minSlowness, maxSlowness = 0.25, 16
)

// Estimate is what is known of the speed of one run of a server. The zero value knows nothing. Slowness is
// a multiple of the usual time. Estimate is not safe for concurrent use.
type Estimate struct {
	recent   [samples]float64 // newest samples, as a ring
	count    int              // samples so far
	sampleAt clock.Millis     // begin of the newest sample
	lasting  float64          // median of the samples
	latest   float64          // newest value
	latestAt clock.Millis
}

// Record records how slow the server was at a moment.
func (e *Estimate) Record(now clock.Millis, slowness float64) {
	if !(slowness > 0) {
		return
	}
	slowness = min(max(slowness, minSlowness), maxSlowness)
	e.latest, e.latestAt = slowness, now
	if e.count > 0 && now-e.sampleAt < sampleInterval {
		newest := &e.recent[(e.count-1)%samples]
		*newest = min(*newest, slowness)
	} else {
		e.recent[e.count%samples] = slowness
		e.count, e.sampleAt = e.count+1, now
	}
	e.lasting = e.median()
}

// median returns the median of the samples.
func (e *Estimate) median() float64 {
	known := e.recent // a copy
	inUse := known[:min(e.count, samples)]
	slices.Sort(inUse)
	return inUse[(len(inUse)-1)/2]
}

// Lasting returns the lasting slowness, or 1 if nothing is known.
func (e *Estimate) Lasting() float64 {
	if e.count == 0 {
		return 1
	}
	return e.lasting
}

// Now returns the slowness at the present moment: that of the newest report if it is young enough, and
// otherwise the lasting one.
func (e *Estimate) Now(now clock.Millis) float64 {
	if e.count > 0 && now-e.latestAt < momentLength {
		return e.latest
	}
	return e.Lasting()
}
