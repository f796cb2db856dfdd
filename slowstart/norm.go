package slowstart

import (
	"math/bits"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// sampleWeight is the weight of the newest time in a mean.
	sampleWeight = 0.05
	// minSamples is the number of times from which a mean is used.
	minSamples = 8
	// minTime is the least time that answers are compared with. Differences between shorter times say
	// more about the network than about the server.
	minTime = 10 * clock.Millisecond
	// smallWork is the number of prompt tokens up to which all prompts are of one kind.
	smallWork = 256
	// kinds is the number of kinds of work.
	kinds = 12
)

// Norm is how long the servers of a service in normal use take to answer. Times are kept apart by the
// prompt tokens that a server has to process, because a server that has just started has none of
// them cached. The zero value is a norm without samples.
type Norm struct {
	firstByte [kinds]mean
	whole     mean
}

type mean struct {
	value float64 // ms
	count int
}

func (m *mean) add(t clock.Millis) {
	m.count++
	weight := max(sampleWeight, 1/float64(m.count))
	m.value += weight * (float64(t) - m.value)
}

// kindOf returns the kind of work of a number of prompt tokens: each has twice the tokens of the one
// before.
func kindOf(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0)/smallWork)), kinds-1)
}

// Record records the times of an answer from a server in normal use: to its first byte and to its end.
func (n *Norm) Record(tokens int, firstByte, whole clock.Millis) {
	n.firstByte[kindOf(tokens)].add(firstByte)
	n.whole.add(whole)
}

// Slowness returns the time to the first byte of an answer relative to that of other servers for the
// same kind of work. It is 1 if too little is known.
func (n *Norm) Slowness(tokens int, firstByte clock.Millis) float64 {
	m := n.firstByte[kindOf(tokens)]
	if m.count < minSamples {
		return 1
	}
	return max(float64(firstByte), float64(minTime)) / max(m.value, float64(minTime))
}

// RequestTime returns the mean time to the end of an answer, or a second if it is unknown.
func (n *Norm) RequestTime() clock.Millis {
	if n.whole.count == 0 {
		return clock.Second
	}
	return clock.Millis(n.whole.value)
}
