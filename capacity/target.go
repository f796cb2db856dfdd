package capacity

import (
	"cmp"
	"math"
	"slices"
)

const (
	// ordinaryShare is the least share of ordinary servers. They serve the most urgent requests
	// when the reclaimable ones of several zones are taken one after the other.
	ordinaryShare = 0.2
	// maxOrdinaryZoneShare bounds the ordinary servers of one zone, which would be lost with it.
	maxOrdinaryZoneShare = 0.5
	// maxUnevenness bounds the reclaimable servers of one zone, as a multiple of an even share. Up
	// to there they stay where they are after a reclaim: moving them back would interrupt work.
	maxUnevenness = 1.5
	// shortfall is the share of the wanted number that may lack after a second reclaim, before
	// ordinary servers are ordered for that case.
	shortfall = 0.1
)

// split is how many servers of each kind are wanted.
type split struct {
	ordinary    int
	reclaimable int
}

// cheapestSplit returns the cheapest servers of which at least the given number remains when one
// zone loses its reclaimable ones.
func cheapestSplit(t Terms, number int) split {
	zones := len(t.Zones)
	if t.ReclaimablePrice <= 0 || zones < 2 {
		return split{ordinary: number}
	}
	ordinary := int(math.Ceil(ordinaryShare * float64(number)))
	spread := float64(zones) / float64(zones-1)
	reclaimable := int(math.Ceil(float64(number-ordinary) * spread))
	if float64(ordinary)+t.ReclaimablePrice*float64(reclaimable) >= float64(number) {
		return split{ordinary: number}
	}
	return split{ordinary: ordinary, reclaimable: reclaimable}
}

// placement computes the wanted number of servers at each place.
type placement struct {
	terms    Terms
	expected map[Place]int      // servers that are there or ordered
	blocked  func(p Place) bool // reports whether no more servers are to be had at a place now
}

// targets returns the wanted number of servers at each place: the given number, spread such that it
// remains after a reclaim. While other zones have no reclaimable servers, only the secured number remains.
func (p placement) targets(number, secured int) map[Place]int {
	s := cheapestSplit(p.terms, number)
	targets := map[Place]int{}
	p.placeReclaimable(s.reclaimable, targets)
	sum, largest := 0, 0
	for _, n := range targets {
		sum, largest = sum+n, max(largest, n)
	}
	p.placeOrdinary(max(s.ordinary, number-sum, secured-(sum-largest)), targets)
	return targets
}

// placeReclaimable spreads reclaimable servers evenly. Those that are there stay where they are,
// within maxUnevenness.
func (p placement) placeReclaimable(wanted int, targets map[Place]int) {
	if len(p.terms.Zones) == 0 {
		return
	}
	most := int(math.Ceil(maxUnevenness * float64(wanted) / float64(len(p.terms.Zones))))
	sum := 0
	for _, z := range p.terms.Zones {
		at := Place{Zone: z.Name, Kind: Reclaimable}
		targets[at] = min(p.expected[at], most, p.terms.Max)
		sum += targets[at]
	}
	for ; sum < wanted; sum++ {
		at, ok := p.emptiest(targets, most)
		if !ok {
			return
		}
		targets[at]++
	}
	for ; sum > wanted; sum-- {
		targets[p.fullest(targets)]--
	}
}

// emptiest returns the place with the fewest reclaimable servers at which more are to be had, the
// cheaper one of several.
func (p placement) emptiest(targets map[Place]int, most int) (Place, bool) {
	var best Place
	found := false
	for _, z := range p.byPrice() {
		at := Place{Zone: z.Name, Kind: Reclaimable}
		if p.blocked(at) || targets[at] >= min(most, p.terms.Max) || found && targets[at] >= targets[best] {
			continue
		}
		best, found = at, true
	}
	return best, found
}

// fullest returns the place with the most reclaimable servers, the dearer one of several.
func (p placement) fullest(targets map[Place]int) Place {
	var best Place
	for _, z := range p.byPrice() {
		at := Place{Zone: z.Name, Kind: Reclaimable}
		if best.Zone == "" || targets[at] >= targets[best] {
			best = at
		}
	}
	return best
}

// placeOrdinary keeps ordinary servers where they are, within the largest share of a zone, and adds
// and removes them by price. Each zone gets at least as many as its lower bound asks for.
func (p placement) placeOrdinary(wanted int, targets map[Place]int) {
	most := int(math.Ceil(maxOrdinaryZoneShare * float64(wanted)))
	zones := p.byPrice()
	sum := 0
	for _, z := range zones {
		at := Place{Zone: z.Name, Kind: Ordinary}
		targets[at] = min(p.expected[at], most, p.room(at, targets))
		sum += targets[at]
	}
	for _, limit := range []int{most, wanted} { // the second round when other zones have no room
		for _, z := range zones {
			at := Place{Zone: z.Name, Kind: Ordinary}
			added := min(max(min(limit, p.room(at, targets))-targets[at], 0), max(wanted-sum, 0))
			targets[at], sum = targets[at]+added, sum+added
		}
	}
	slices.Reverse(zones)
	for _, z := range zones {
		at := Place{Zone: z.Name, Kind: Ordinary}
		removed := min(targets[at], max(sum-wanted, 0))
		targets[at], sum = targets[at]-removed, sum-removed
		targets[at] = max(targets[at], p.terms.Min-targets[Place{Zone: z.Name, Kind: Reclaimable}])
	}
}

// room returns how many ordinary servers a place can have beside the reclaimable ones of its zone.
func (p placement) room(at Place, targets map[Place]int) int {
	room := max(p.terms.Max-targets[Place{Zone: at.Zone, Kind: Reclaimable}], 0)
	if p.blocked(at) {
		return min(room, p.expected[at])
	}
	return room
}

// byPrice returns the zones, the cheapest first.
func (p placement) byPrice() []Zone {
	zones := slices.Clone(p.terms.Zones)
	slices.SortFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	return zones
}
