package slowstart

import (
	"encoding/binary"
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// initialShare is the part of a server's slots that all entries together use at first.
	initialShare = 1.0 / 8
	// minInitial is the least number of requests that all entries together send at first.
	minInitial = 2
	// unknownSlots is the number of slots assumed of a server that names none.
	unknownSlots = 16
	// maxDuration is the time after which the window ends: a server that is still slow then is a slow
	// server, and one that has refused so far is measured by its failures.
	maxDuration = 30 * clock.Second
	// slowFactor is how much longer than at the other servers answers may take on average.
	slowFactor = 2
	// maxSlowness bounds what a single answer adds to the average.
	maxSlowness = 4
	// slownessWeight is the weight of the newest answer in the average.
	slownessWeight = 0.25
	// minTurn and maxTurn bound the length of a turn; both are powers of two.
	minTurn = 64 * clock.Millisecond
	maxTurn = 2048 * clock.Millisecond
)

// Failed is the slowness of an answer that reports an error. Some errors are due to the requests, so
// only several of them reduce the window.
const Failed = maxSlowness

// Window is the number of requests that one entry may have at a server at a time. The zero value does
// not limit them.
type Window struct {
	begun     bool
	ended     bool    // the answers were as good as those of other servers
	answered  bool    // an answer or a failure has changed the window
	slots     float64 // requests that the server runs at a time
	size      float64 // requests; below 1, it is the part of all turns that the entry has
	floor     float64 // the least size
	threshold float64 // from this size on, the window grows by one request in each round of answers
	slowness  float64 // moving average; 1 is as fast as the other servers
	begunAt   clock.Millis
	reducedAt clock.Millis // when it began or was last reduced
}

// Begin returns the window for a server that starts or recovers now. The number of slots is 0 if it
// is unknown.
func Begin(now clock.Millis, slots, entries int) Window {
	if slots <= 0 {
		slots = unknownSlots
	}
	size := max(initialShare*float64(slots), minInitial) / float64(max(entries, 1))
	return Window{begun: true, slots: float64(slots), size: size, floor: size, threshold: math.Inf(1), slowness: 1, begunAt: now, reducedAt: now}
}

// Active reports whether the window limits requests.
func (w Window) Active(now clock.Millis) bool {
	return w.begun && !w.ended && now-w.begunAt < maxDuration
}

// Proven returns how many requests at a time the server answers this entry well since it has lately
// started or recovered. The entries tell each other.
func (w Window) Proven(now clock.Millis) int {
	if !w.begun || now-w.begunAt >= maxDuration || !w.ended && w.size <= w.floor {
		return 0
	}
	return int(min(w.size, w.slots))
}

// Size returns the number of requests, or 0 if there is no limit.
func (w Window) Size() float64 { return w.size }

// WithAnswer returns the window after the answer to a request that was sent at the given time. Its
// slowness is the time to its first byte relative to the other servers. usual is the number of
// requests that the entry has at another server; the window ends when it is clearly above that.
func (w Window) WithAnswer(now, sentAt clock.Millis, slowness, usual float64) Window {
	if !w.begun || w.ended || sentAt < w.reducedAt {
		return w
	}
	w.answered = true
	w.slowness += slownessWeight * (min(slowness, maxSlowness) - w.slowness)
	switch {
	case w.slowness > slowFactor:
		return w.WithFailure(now, sentAt)
	case slowness > slowFactor:
		return w
	case w.size < w.threshold:
		w.size++
	default:
		w.size += 1 / max(w.size, 1)
	}
	w.ended = w.size >= 1+2*usual
	return w
}

// WithFailure returns the window after a request failed or was refused that was sent at the given
// time. Requests that were sent before the last reduction say nothing about the present size.
func (w Window) WithFailure(now, sentAt clock.Millis) Window {
	if !w.begun || w.ended || sentAt < w.reducedAt {
		return w
	}
	w.size = max(w.size/2, w.floor)
	w.answered, w.threshold, w.slowness, w.reducedAt = true, w.size, 1, now
	return w
}

// Use is what an entry knows about the use of a server.
type Use struct {
	Own     int // running requests of this entry
	Proven  int // what the other entries have found proven together
	Entries int // all entries
}

// Turns are the times at which an entry may use a fraction of a request.
type Turns struct {
	Key    uint64 // differs between entries and between servers
	Length clock.Millis
}

// Holds reports whether the window limits requests, given what the other entries tell: it no longer
// does when the windows of all entries add up to the slots of the server.
func (w Window) Holds(now clock.Millis, use Use) bool {
	return w.Active(now) && float64(use.Proven)+w.size < w.slots
}

// Allows reports whether the entry may send another request now. A fraction of a request is granted
// in turns. An entry without answers of its own relies on those of the others: it gets the mean of
// their windows, so that the requests at the server double with each turn.
func (w Window) Allows(now clock.Millis, use Use, turns Turns) bool {
	if !w.Holds(now, use) {
		return true
	}
	size := w.size
	if !w.answered {
		size = max(size, min(float64(use.Proven)/float64(max(use.Entries, 1)), 1))
	}
	whole, own := math.Floor(size), float64(use.Own)
	return own < whole || own < whole+1 && hasTurn(now, turns, size-whole)
}

// AllowsOne is Allows for a request for which the servers in normal use have no room: the window is
// rounded up.
func (w Window) AllowsOne(now clock.Millis, own int) bool {
	return !w.Active(now) || float64(own) < math.Ceil(w.size)
}

// hasTurn reports whether an entry has the present turn, which it has in the given share of all turns.
func hasTurn(now clock.Millis, turns Turns, share float64) bool {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], turns.Key)
	binary.LittleEndian.PutUint64(data[8:], uint64(now/max(turns.Length, 1)))
	return float64(xxhash.Sum64(data[:])>>11)/(1<<53) < share
}

// TurnLength returns the length of a turn for requests that take the given time: within it, one
// request has ended. It is a power of two, so that a small change of that time does not end a turn.
func TurnLength(requestTime clock.Millis) clock.Millis {
	if requestTime >= maxTurn {
		return maxTurn
	}
	return max(1<<bits.Len64(uint64(max(requestTime-1, 0))), minTurn)
}
