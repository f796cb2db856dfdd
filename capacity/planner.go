package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

// Utilisations are shares of the servers that are busy, see meter.
const (
	// targetUtilisation is the utilisation under the demand that lasts. Work arrives unevenly: with
	// half of the servers busy, few requests find theirs busy.
	targetUtilisation = 0.5
	// peakUtilisation is the utilisation in the present burst, and in one like the highest that is
	// remembered.
	peakUtilisation = 0.7
	// securedUtilisation is the highest utilisation after a reclaim while other zones have no
	// reclaimable servers: those that remain can still do the work.
	securedUtilisation = 0.9
	// maxUtilisationAfter is the highest utilisation with which a server may be given back.
	maxUtilisationAfter = 0.6
)

const (
	// minObservation is how long demand must have been observed before fewer servers are wanted.
	minObservation = 15 * clock.Second
	// giveBackDelay is how long fewer servers must have been wanted before the number falls.
	giveBackDelay = 15 * clock.Second
	// minChange is the smallest change of the wanted number that is acted on, as a share of it.
	minChange = 0.05
	// giveBackChange is the corresponding share for a lower number, so that demand that swings
	// about a bound does not order and give back by turns.
	giveBackChange = 0.15
	// maxGrowth bounds the wanted number, as a multiple of the servers that serve: entries that
	// cannot reach servers report as many busy ones as an overload.
	maxGrowth = 1.5
)

const (
	// busyStepShare is the share of the servers that may be given back in one step while
	// requests run, and stepInterval the time between two steps: a server that leaves has finished
	// its requests by then.
	busyStepShare = 0.1
	stepInterval  = 5 * clock.Second
	// idleStepShare and idleStepInterval hold while no request runs.
	idleStepShare    = 1.0 / 3
	idleStepInterval = 1 * clock.Second
)

const (
	// announceTime is how long after its start time a server may take until it is heard of.
	announceTime = 3 * clock.Second
	// notSentPause is the time until an order that was not sent is given again.
	notSentPause = 1 * clock.Second
	// minRefusalPause and maxRefusalPause bound the time for which nothing is ordered at a place
	// after a refusal; it doubles with each further one.
	minRefusalPause = 5 * clock.Second
	maxRefusalPause = 1 * clock.Minute
	// reclaimPause is the time for which no reclaimable servers are ordered in a zone that has
	// just lost them.
	reclaimPause = 10 * clock.Second
	// minReclaimShare is the share of the servers of a place that leave together when the platform
	// takes them back. The others have not announced it yet.
	minReclaimShare = 0.75
)

// placeState is what the planner knows about its orders at a place.
type placeState struct {
	ordered      int // count of the newest order that may be carried out
	orderedAt    clock.Millis
	hasOrder     bool
	pending      bool // the newest order has no outcome yet
	refusals     int
	blockedUntil clock.Millis // nothing is ordered until then
	reclaimed    bool         // the platform is taking the servers back
	confirmed    bool         // and no more are ordered there
}

// Planner decides how many servers of one service there are to be. It is not safe for concurrent
// use.
type Planner struct {
	meter      meter
	number     int          // servers that are to remain after one reclaim; 0 before the first plan
	lowerSince clock.Millis // since when fewer are wanted; 0 if they are not
	steppedAt  clock.Millis // when servers were last given back
	places     map[Place]*placeState
	view       View
}

// View is the state of a planner for people.
type View struct {
	Number   int     // servers that are to remain after one reclaim
	Demand   float64 // busy servers, as a mean
	Peak     float64 // the highest such mean that is remembered
	Held     string  // why nothing is decided; empty otherwise
	Targets  map[Place]int
	Present  map[Place]int
	Ordered  map[Place]int          // newest orders
	Blocked  map[Place]clock.Millis // remaining time for which nothing is ordered
	Observed clock.Millis           // how long demand has been observed
}

// New returns a planner that has observed nothing.
func New() *Planner { return &Planner{places: map[Place]*placeState{}} }

// Observe records what the entries have reported at one moment.
func (p *Planner) Observe(now clock.Millis, l Load, servers []Server) {
	p.meter.observe(now, l, takeCensus(servers).slots)
}

// Record records the outcome of an order.
func (p *Planner) Record(now clock.Millis, o Order, outcome Outcome) {
	s := p.place(o.Place)
	s.pending = false
	switch outcome {
	case Accepted:
		s.refusals = 0
	case Refused:
		pause := min(minRefusalPause<<min(s.refusals, 8), maxRefusalPause)
		s.refusals++
		s.hasOrder, s.blockedUntil = false, max(s.blockedUntil, now+pause)
	case NotSent:
		s.hasOrder, s.blockedUntil = false, max(s.blockedUntil, now+notSentPause)
	case Unknown: // it may be carried out; the announcements will tell
	}
}

// View returns the planner's state at its latest plan.
func (p *Planner) View() View { return p.view }

// Plan returns the orders that are due. Each of them must be followed by a call to Record.
func (p *Planner) Plan(now clock.Millis, t Terms, servers []Server) []Order {
	c := takeCensus(servers)
	p.view = View{Number: p.number, Demand: p.meter.mean, Peak: p.meter.highest(), Present: c.present, Observed: p.meter.observedFor(now)}
	if len(t.Zones) == 0 || total(c.serving) == 0 || c.mostlySilent() {
		p.view.Held = "most servers are silent, or none is known"
		return nil
	}
	p.noteReclaims(now, c)
	grown := p.updateNumber(now, t, c)
	expected := p.expected(now, t, c)
	orders := p.confirmReclaims(c)
	more := p.raise(now, t, c, expected, p.targets(t, c, expected, p.blocked(now)), Reclaimable, grown)
	for _, o := range more {
		expected[o.Place] = o.Count
	}
	// Ordinary servers are ordered and given back for the reclaimable ones that are ordered and that
	// are there, not for those that may be refused.
	targets := p.targets(t, c, expected, noMoreReclaimable)
	more = append(more, p.raise(now, t, c, expected, targets, Ordinary, grown)...)
	p.view.Number, p.view.Targets = p.number, targets
	orders = append(orders, more...)
	p.recordOrders(now, orders)
	fewer := p.giveBack(now, t, c, p.targets(t, c, c.present, noMoreReclaimable))
	p.recordOrders(now, fewer)
	p.fillView(now)
	return append(orders, fewer...)
}

// recordOrders records orders that are about to be sent.
func (p *Planner) recordOrders(now clock.Millis, orders []Order) {
	for _, o := range orders {
		s := p.place(o.Place)
		s.ordered, s.orderedAt, s.hasOrder, s.pending = o.Count, now, true, true
	}
}

// targets returns the wanted number of servers at each place, lost ones included: the platform counts
// them, although they are of no use.
func (p *Planner) targets(t Terms, c census, expected map[Place]int, blocked func(at Place) bool) map[Place]int {
	targets := placement{terms: t, expected: expected, blocked: blocked}.targets(p.number, p.secured())
	for at, lost := range c.lost {
		targets[at] += lost
	}
	return targets
}

// secured returns the number of servers that are to remain after a reclaim while other zones have no
// reclaimable servers: enough for the demand that is known, if it has been observed for some time.
func (p *Planner) secured() int {
	tolerated := int((1 - shortfall) * float64(p.number))
	if p.view.Observed < minObservation {
		return tolerated
	}
	return min(tolerated, int(math.Ceil(p.meter.highest()/securedUtilisation)))
}

// blocked returns a function that reports whether nothing can be ordered at a place now.
func (p *Planner) blocked(now clock.Millis) func(at Place) bool {
	return func(at Place) bool { return p.place(at).blockedUntil > now }
}

func noMoreReclaimable(at Place) bool { return at.Kind == Reclaimable }

func (p *Planner) fillView(now clock.Millis) {
	p.view.Ordered, p.view.Blocked = map[Place]int{}, map[Place]clock.Millis{}
	for at, s := range p.places {
		if s.hasOrder {
			p.view.Ordered[at] = s.ordered
		}
		if s.blockedUntil > now {
			p.view.Blocked[at] = s.blockedUntil - now
		}
	}
}

func (p *Planner) place(at Place) *placeState {
	s, ok := p.places[at]
	if !ok {
		s = &placeState{}
		p.places[at] = s
	}
	return s
}

// noteReclaims blocks the places whose servers the platform takes back, until they are gone and a pause
// is over.
func (p *Planner) noteReclaims(now clock.Millis, c census) {
	for at, s := range p.places {
		if at.Kind != Reclaimable {
			continue
		}
		s.reclaimed = c.leaving[at] > 0 && (s.reclaimed || isReclaim(*s, c, at))
		s.confirmed = s.confirmed && s.reclaimed
		if s.reclaimed {
			s.blockedUntil = max(s.blockedUntil, now+reclaimPause)
		}
	}
}

// isReclaim reports whether the platform takes the servers of a place back. Not all servers that it takes
// back say so, but nearly all of a place leave, and nobody has ordered that.
func isReclaim(s placeState, c census, at Place) bool {
	ordered := s.hasOrder && s.ordered <= c.present[at]
	return c.reclaimed[at] > 0 || !ordered && float64(c.leaving[at]) >= minReclaimShare*float64(c.leaving[at]+c.present[at])
}

// updateNumber follows the demand, and reports whether the number has grown.
func (p *Planner) updateNumber(now clock.Millis, t Terms, c census) bool {
	serving := total(c.serving)
	if p.number == 0 {
		p.number = max(c.afterReclaim(), 1)
	}
	if !p.meter.current(now) {
		p.lowerSince = 0
		return false
	}
	wanted := max(p.meter.sustained/targetUtilisation, p.meter.highest()/peakUtilisation)
	wanted = min(wanted, maxGrowth*float64(serving), float64(t.Max*len(t.Zones)))
	next := max(int(math.Ceil(wanted)), 1)
	number := float64(p.number)
	switch {
	case float64(next) >= number*(1+minChange):
		p.number, p.lowerSince = next, 0
		return true
	case float64(next) > number*(1-giveBackChange) || p.meter.observedFor(now) < minObservation || p.meter.waiting > 0:
		p.lowerSince = 0
	case p.lowerSince == 0:
		p.lowerSince = now
	case now-p.lowerSince >= giveBackDelay:
		p.number = max(next, int(number*(1-busyStepShare)))
		p.lowerSince = now
	}
	return false
}

// settled reports whether the announcements should show the newest order at a place by now.
func (s *placeState) settled(now clock.Millis, t Terms) bool {
	return !s.hasOrder || !s.pending && now-s.orderedAt >= t.StartTime+announceTime
}

// expected returns the servers that are there or were ordered a short time ago. An order that the
// announcements have not shown in time does not count any more.
func (p *Planner) expected(now clock.Millis, t Terms, c census) map[Place]int {
	expected := map[Place]int{}
	for _, z := range t.Zones {
		for _, kind := range []Kind{Ordinary, Reclaimable} {
			at := Place{Zone: z.Name, Kind: kind}
			s := p.place(at)
			expected[at] = c.present[at]
			if !s.settled(now, t) && !s.reclaimed {
				expected[at] = s.ordered
			}
		}
	}
	return expected
}

// confirmReclaims orders no more servers than go on serving where the platform has taken some back, so
// that it does not replace them later, when others serve in their place. It does so once for each reclaim.
func (p *Planner) confirmReclaims(c census) []Order {
	var orders []Order
	for _, at := range p.sortedPlaces() {
		if s := p.places[at]; s.reclaimed && !s.pending && !s.confirmed {
			s.confirmed = true
			orders = append(orders, Order{Place: at, Count: c.serving[at], Reason: AfterReturn})
		}
	}
	return orders
}

func (p *Planner) sortedPlaces() []Place {
	places := make([]Place, 0, len(p.places))
	for at := range p.places {
		places = append(places, at)
	}
	slices.SortFunc(places, func(a, b Place) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Kind, b.Kind)) })
	return places
}

// raise returns the orders for more servers of a kind.
func (p *Planner) raise(now clock.Millis, t Terms, c census, expected, targets map[Place]int, kind Kind, grown bool) []Order {
	sum, belowMin := 0, false
	for _, z := range t.Zones {
		at, other := Place{z.Name, kind}, Place{z.Name, kind.other()}
		sum += max(targets[at]-expected[at], 0)
		belowMin = belowMin || expected[at]+expected[other] < t.Min
	}
	if float64(sum) < max(minChange*float64(p.number)/2, 1) && !belowMin {
		return nil
	}
	var orders []Order
	for _, z := range t.Zones {
		at, other := Place{z.Name, kind}, Place{z.Name, kind.other()}
		s := p.place(at)
		count := min(targets[at], t.Max-max(expected[other], c.present[other]))
		if s.pending || s.reclaimed || s.blockedUntil > now || count <= max(expected[at], c.present[at]) {
			continue
		}
		orders = append(orders, Order{Place: at, Count: count, Reason: p.reasonToRaise(s, at, grown)})
	}
	return orders
}

func (p *Planner) reasonToRaise(s *placeState, at Place, grown bool) Reason {
	present := p.view.Present
	switch {
	case grown:
		return ForDemand
	case at.Kind == Reclaimable && total(present) >= p.number && (!s.hasOrder || s.ordered <= present[at]):
		return ForPrice
	}
	return ForLoss
}

// giveBack returns the orders for fewer servers. A server is given back only while so many others
// serve that the wanted number remains even after a reclaim, no request waits, and the rest is not
// too busy. The targets must not count on servers that are not there yet.
func (p *Planner) giveBack(now clock.Millis, t Terms, c census, targets map[Place]int) []Order {
	share, interval := busyStepShare, stepInterval
	if p.meter.current(now) && p.meter.requests == 0 {
		share, interval = idleStepShare, idleStepInterval
	}
	surplus := 0
	for at, n := range c.present {
		surplus += max(n-targets[at], 0)
	}
	if p.steppedAt > 0 && now-p.steppedAt < interval || p.meter.waiting > 0 || float64(surplus) < minChange*float64(p.number) {
		return nil
	}
	rest := c.clone()
	for range int(math.Ceil(share * float64(total(c.serving)))) {
		at, ok := p.mostSuperfluous(now, t, rest, targets)
		if !ok {
			break
		}
		rest.present[at]--
		rest.serving[at]--
	}
	return p.givenBack(now, c, rest)
}

// mostSuperfluous returns the place with the most servers above its target of those that one can be
// taken from.
func (p *Planner) mostSuperfluous(now clock.Millis, t Terms, rest census, targets map[Place]int) (Place, bool) {
	busy := 0.0
	if p.meter.current(now) {
		busy = p.meter.mean / maxUtilisationAfter
	}
	var best Place
	most := 0
	for _, at := range p.sortedPlaces() {
		s, excess := p.places[at], rest.present[at]-targets[at]
		if excess <= most || rest.serving[at] == 0 || s.pending || s.hasOrder && s.ordered < rest.present[at] && !s.settled(now, t) {
			continue
		}
		rest.serving[at]--
		if rest.afterReclaim() >= p.number && float64(total(rest.serving)) >= busy {
			best, most = at, excess
		}
		rest.serving[at]++
	}
	return best, most > 0
}

// givenBack returns the orders that leave the rest of a census.
func (p *Planner) givenBack(now clock.Millis, c, rest census) []Order {
	var orders []Order
	for _, at := range p.sortedPlaces() {
		if rest.present[at] >= c.present[at] {
			continue
		}
		reason := DemandFell
		if at.Kind == Ordinary && c.serving[Place{Zone: at.Zone, Kind: Reclaimable}] > 0 {
			reason = Replaced
		}
		orders = append(orders, Order{Place: at, Count: rest.present[at], Reason: reason})
		p.steppedAt = now
	}
	return orders
}
