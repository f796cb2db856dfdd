package capacity

import (
	"maps"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// lostAfter is how long a server is silent before another one is ordered in its place. A
	// server that was started again, or lost only its connection to control, is back sooner.
	lostAfter = 10 * clock.Second
	// maxSilentShare is the share of silent servers above which nothing is ordered: it is more
	// likely that control does not hear them.
	maxSilentShare = 1.0 / 3
)

// census counts the servers of a service.
type census struct {
	present   map[Place]int // those that are not leaving
	serving   map[Place]int // of these, those that are not silent
	lost      map[Place]int // of these, those that have been silent for long
	leaving   map[Place]int
	reclaimed map[Place]int // of these, those of which it is known that the platform takes them back
	slots     float64       // of one server, as a mean
}

func takeCensus(servers []Server) census {
	c := census{present: map[Place]int{}, serving: map[Place]int{}, lost: map[Place]int{}, leaving: map[Place]int{}, reclaimed: map[Place]int{}}
	slots, counted := 0, 0
	for _, s := range servers {
		at := Place{Zone: s.Zone, Kind: s.Kind}
		if s.Leaving && s.SilentFor > 0 {
			continue // it was ended before it could announce its departure
		}
		if s.Leaving {
			c.leaving[at]++
			if s.Reclaimed {
				c.reclaimed[at]++
			}
			continue
		}
		c.present[at]++
		slots, counted = slots+s.Slots, counted+1
		switch {
		case s.SilentFor == 0:
			c.serving[at]++
		case s.SilentFor >= lostAfter:
			c.lost[at]++
		}
	}
	if counted > 0 {
		c.slots = float64(slots) / float64(counted)
	}
	return c
}

// clone returns a copy whose counts of present and of serving servers can be changed.
func (c census) clone() census {
	c.present, c.serving = maps.Clone(c.present), maps.Clone(c.serving)
	return c
}

// mostlySilent reports whether so many servers are silent that the census cannot be trusted.
func (c census) mostlySilent() bool {
	silent := total(c.present) - total(c.serving) - total(c.lost)
	return float64(silent) > maxSilentShare*float64(total(c.present))
}

// largestReclaim returns the largest number of servers that one reclaim can take.
func (c census) largestReclaim() int {
	largest := 0
	for at, n := range c.serving {
		if at.Kind == Reclaimable {
			largest = max(largest, n)
		}
	}
	return largest
}

// afterReclaim returns the number of servers that serve after the largest reclaim.
func (c census) afterReclaim() int { return total(c.serving) - c.largestReclaim() }

func total(counts map[Place]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}
