package ratelimit

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// targetInterval is the shortest time between two divisions of the ring that only follow a
	// change of demand.
	targetInterval = 2 * clock.Second
	// minMisplaced is the part of the ring that must belong to other participants before a change
	// of demand divides it anew: each division leaves some servers unused for a moment.
	minMisplaced = 0.15
	// expiryInterval is the shortest time between two searches for what has ended, so that the cost of
	// a report does not grow with the participants.
	expiryInterval = 100 * clock.Millisecond
	// participantTimeout is how long a participant gets a part of the ring after its latest
	// report.
	participantTimeout = 2 * clock.Second
	// fractionTolerance allows for the rounding of sums of fractions. Without it, a participant that
	// lacks a rounding error would get another grant with each report.
	fractionTolerance = 1e-9
)

// Grant is what a participant may use while its lease is valid.
type Grant struct {
	Partition uint64   // identifies the Partition that has granted it
	Number    uint64   // number of the grant; a later one replaces it
	Interval  Interval // its part of the ring
	Fraction  float64  // its part of limits that have no positions on the ring, from 0 to 1
}

// isEmpty reports whether the grant allows nothing.
func (g Grant) isEmpty() bool { return g.Interval.IsEmpty() && g.Fraction <= 0 }

// allowsSame reports whether two grants allow the same.
func (g Grant) allowsSame(other Grant) bool {
	return g.Interval == other.Interval && g.Fraction == other.Fraction
}

// whole is all that a partition can divide.
var whole = Grant{Interval: wholeRing, Fraction: 1}

// Partition divides the ring among participants: entries, or members of the control group that
// divide their part among entries of their own. In the same way it divides limits without
// positions; there a participant keeps its fraction when others come and go, where its part of the
// ring may have to move. It is safe for concurrent use.
//
// A part is granted only once no other participant can hold it: the others have told that they
// hold a later grant without it, or the leases that came with it have ended. So the parts that
// are in use never overlap, and their fractions never add up to more than the whole, whatever
// happens to messages. While a new partition does not know yet who holds what, participants keep
// what they have.
type Partition struct {
	instance uint64
	lease    clock.Millis // how long a participant may use a grant after it has asked for it

	mu           sync.Mutex
	total        Grant // what is divided
	settledAt    clock.Millis
	number       uint64 // of the newest grant
	participants map[string]*participant
	expireAt     clock.Millis // when the next search for what has ended is due
	checkAt      clock.Millis // when the demand is compared with the targets next
	outdated     bool         // the targets are not for the present participants and total
}

// participant is what a partition knows of a participant.
type participant struct {
	weight       int // its demand
	targetWeight int // its demand when the targets were set
	target       Grant
	reportedAt   clock.Millis
	active       bool  // it has reported lately
	held         Grant // as reported
	holds        []hold
}

// hold is what a participant may hold until its lease ends: what it was granted, or what it has
// reported. Its number is that of the grant, or 0 if another partition has granted it.
type hold struct {
	Grant
	reported bool
	until    clock.Millis
}

// NewPartition returns a partition of the whole ring. Grants of former partitions may be in use
// until the given lease time has passed.
func NewPartition(now, lease clock.Millis) *Partition {
	return &Partition{
		instance: 1 + uint64(rand.Uint32()), lease: lease, total: whole, settledAt: now + lease,
		participants: map[string]*participant{},
	}
}

// SetTotal makes the partition divide what a grant allows in place of the whole. What participants
// hold beyond it is taken back with their next grants.
func (p *Partition) SetTotal(total Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.total.allowsSame(total) {
		p.total, p.outdated = total, true
	}
}

// Report records what a participant reports: its demand, the newest grant that it has received,
// and in it what it uses or has passed on.
func (p *Partition) Report(now clock.Millis, name string, weight int, held Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	q, ok := p.participants[name]
	if !ok {
		q = &participant{}
		p.participants[name] = q
	}
	if !q.active {
		q.active, p.outdated = true, true
	}
	if held.Partition != p.instance {
		held.Number = 0
	}
	q.weight, q.reportedAt, q.held = max(weight, 0), now, held
	q.acknowledge(held, now+p.lease)
}

// Grant returns the next grant of a participant, which is empty for one that has not reported
// lately. The lease that comes with it must end by the lease time from now.
func (p *Partition) Grant(now clock.Millis, name string) Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	q, ok := p.participants[name]
	if !ok {
		return Grant{}
	}
	return p.grant(now, q, p.wanted(now, q))
}

// acknowledge records what a participant holds. It has given up all earlier grants, and may hold
// this one or a later one. A member whose grant has become smaller may report more than it was
// granted, until its entries have given that up.
func (q *participant) acknowledge(held Grant, until clock.Millis) {
	q.holds = slices.DeleteFunc(q.holds, func(h hold) bool {
		return h.Number < held.Number || h.Number == held.Number && h.reported
	})
	isGranted := slices.ContainsFunc(q.holds, func(h hold) bool { return h.Number == held.Number && h.allowsSame(held) })
	if !held.isEmpty() && !isGranted {
		// Before the grants, so that the newest one stays last.
		q.holds = slices.Insert(q.holds, 0, hold{Grant: held, reported: true, until: until})
	}
}

// wanted returns what a participant should get. The caller holds the lock.
func (p *Partition) wanted(now clock.Millis, q *participant) Grant {
	if now < p.settledAt {
		return Grant{Interval: q.held.Interval.Intersect(p.total.Interval), Fraction: min(q.held.Fraction, p.total.Fraction)}
	}
	p.updateTargets(now)
	return q.target
}

// grant grants the largest part of what is wanted that no other participant can hold. The caller
// holds the lock.
func (p *Partition) grant(now clock.Millis, q *participant, wanted Grant) Grant {
	if last := len(q.holds) - 1; last >= 0 && !q.holds[last].reported && q.holds[last].allowsSame(wanted) && q.holds[last].until > now {
		q.holds[last].until = now + p.lease // nobody else can hold it
		return q.holds[last].Grant
	}
	var taken []Interval
	free := p.total.Fraction
	for _, other := range p.participants {
		if other == q {
			continue
		}
		free -= other.heldFraction()
		for _, h := range other.holds {
			taken = append(taken, h.Interval)
		}
	}
	fraction := wanted.Fraction
	if fraction > free+fractionTolerance {
		fraction = max(free, 0)
	}
	p.number++
	g := Grant{Partition: p.instance, Number: p.number, Interval: wanted.Interval.largestWithout(taken), Fraction: fraction}
	q.holds = append(q.holds, hold{Grant: g, until: now + p.lease})
	return g
}

// heldFraction returns the largest fraction that a participant may hold.
func (q *participant) heldFraction() float64 {
	return lo.Max(lo.Map(q.holds, func(h hold, _ int) float64 { return h.Fraction }))
}

// updateTargets divides the ring anew if participants have come or gone, or if their demand has
// changed much. The caller holds the lock.
func (p *Partition) updateTargets(now clock.Millis) {
	if !p.outdated {
		if now < p.checkAt {
			return
		}
		p.checkAt = now + targetInterval
		if p.misplaced() < minMisplaced {
			return
		}
	}
	p.outdated, p.checkAt = false, now+targetInterval
	names := lo.Keys(lo.PickBy(p.participants, func(_ string, q *participant) bool { return q.active }))
	slices.Sort(names)
	sum := lo.SumBy(names, func(name string) int { return p.participants[name].weight })
	total, before := p.total.Interval, 0
	begin := total.Begin
	for _, name := range names {
		q := p.participants[name]
		before += q.weight
		end, fraction := begin, 0.0
		if sum > 0 {
			fraction = p.total.Fraction * float64(q.weight) / float64(sum)
		}
		if sum > 0 && !total.IsEmpty() {
			end = total.Begin + uint64(float64(total.End-total.Begin)*float64(before)/float64(sum))
		}
		q.target, q.targetWeight = Grant{Interval: Interval{Begin: begin, End: end}, Fraction: fraction}, q.weight
		begin = end
	}
}

// misplaced returns the part of the total, from 0 to 1, that would belong to other participants
// if it was divided by the present demand. The caller holds the lock.
func (p *Partition) misplaced() float64 {
	var sum, targetSum float64
	for _, q := range p.participants {
		sum, targetSum = sum+float64(q.activeWeight()), targetSum+float64(q.targetWeight)
	}
	if sum == 0 || targetSum == 0 {
		return math.Abs(sum - targetSum)
	}
	difference := 0.0
	for _, q := range p.participants {
		difference += math.Abs(float64(q.activeWeight())/sum - float64(q.targetWeight)/targetSum)
	}
	return difference / 2
}

// activeWeight returns the demand of a participant that still reports it.
func (q *participant) activeWeight() int {
	if !q.active {
		return 0
	}
	return q.weight
}

// expire drops holds whose leases have ended, and participants that no longer report, from time to
// time. The caller holds the lock.
func (p *Partition) expire(now clock.Millis) {
	if now < p.expireAt {
		return
	}
	p.expireAt = now + expiryInterval
	for name, q := range p.participants {
		q.holds = slices.DeleteFunc(q.holds, func(h hold) bool { return h.until <= now })
		if q.active && now-q.reportedAt > participantTimeout {
			q.active, q.target, p.outdated = false, Grant{}, true
		}
		if !q.active && len(q.holds) == 0 {
			delete(p.participants, name)
		}
	}
}

// Held returns the smallest interval with all parts of the ring that participants may hold, and the
// largest sum of their fractions.
func (p *Partition) Held(now clock.Millis) (Interval, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	var held Interval
	fraction := 0.0
	for _, q := range p.participants {
		fraction += q.heldFraction()
		for _, h := range q.holds {
			held = held.hull(h.Interval)
		}
	}
	return held, fraction
}

// Weight returns the demand of all participants that have reported lately.
func (p *Partition) Weight(now clock.Millis) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	return lo.SumBy(lo.Values(p.participants), (*participant).activeWeight)
}
