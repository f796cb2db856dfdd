package capacity

import (
	"math"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// meanHalfLife is the time after which an observation counts half as much in the mean. It is
	// shorter than servers take to start, and longer than a pause between two requests.
	meanHalfLife = 2 * clock.Second
	// sustainedHalfLife is the corresponding time for the demand that lasts: longer than a burst.
	sustainedHalfLife = 10 * clock.Second
	// burstMemory is how long a peak of the demand is remembered, because bursts return.
	burstMemory = 1 * clock.Minute
	// peakInterval is the length of the intervals of which the highest means are remembered.
	peakInterval = 1 * clock.Second
	// maxObservationGap is the time without an observation after which demand must be observed
	// anew: the process has stood still, or no entry reports.
	maxObservationGap = 3 * clock.Second
)

// peak is the highest mean in an interval that began at a time.
type peak struct {
	startedAt clock.Millis
	value     float64
}

// meter measures demand as a number of busy servers.
//
// The mean number of busy servers is the rate at which work arrives times the time that one
// server takes for it, so that neither the speed of a server nor the size of requests need be
// known.
type meter struct {
	mean          float64
	sustained     float64 // mean over a longer time
	waiting       int
	requests      int
	observed      bool
	observedSince clock.Millis
	updatedAt     clock.Millis
	peaks         []peak
}

// observe records the load of one moment. The number of slots is that of one server.
func (m *meter) observe(now clock.Millis, l Load, slots float64) {
	busy := float64(l.Reading)
	if slots > 0 {
		busy = max(busy, float64(l.Requests)/slots)
	}
	if !m.observed || now-m.updatedAt > maxObservationGap {
		m.mean, m.sustained, m.observed, m.observedSince = busy, busy, true, now
	} else {
		m.mean += weight(now-m.updatedAt, meanHalfLife) * (busy - m.mean)
		m.sustained += weight(now-m.updatedAt, sustainedHalfLife) * (busy - m.sustained)
	}
	m.waiting, m.requests, m.updatedAt = l.Waiting, l.Requests, now
	m.addPeak(now)
}

// weight returns the weight of an observation in an exponential mean, after the time since the
// former one.
func weight(elapsed, halfLife clock.Millis) float64 {
	return 1 - math.Exp2(-float64(elapsed)/float64(halfLife))
}

func (m *meter) addPeak(now clock.Millis) {
	for len(m.peaks) > 0 && now-m.peaks[0].startedAt > burstMemory {
		m.peaks = m.peaks[1:]
	}
	if n := len(m.peaks); n > 0 && now-m.peaks[n-1].startedAt < peakInterval {
		m.peaks[n-1].value = max(m.peaks[n-1].value, m.mean)
		return
	}
	m.peaks = append(m.peaks, peak{startedAt: now, value: m.mean})
}

// highest returns the highest mean that is remembered.
func (m *meter) highest() float64 {
	highest := 0.0
	for _, p := range m.peaks {
		highest = max(highest, p.value)
	}
	return highest
}

// current reports whether the newest observation is recent.
func (m *meter) current(now clock.Millis) bool {
	return m.observed && now-m.updatedAt <= maxObservationGap
}

// observedFor returns for how long demand has been observed without a gap; 0 if it is not now.
func (m *meter) observedFor(now clock.Millis) clock.Millis {
	if !m.current(now) {
		return 0
	}
	return now - m.observedSince
}
