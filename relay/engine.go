package relay

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// longPrompt is the number of prompt tokens, without those that the server
	// has cached, that noticeably delays the streams beside it.
	longPrompt = 3000
	// stepTokens is the number of prompt tokens that an engine reads in the time
	// of one step. An output token costs its place in the batch for one step.
	stepTokens = 290
	// decodeLeft is the part of a request's output that is expected to be left.
	decodeLeft = 0.6
	// requestTokens is the least that a request costs, in prompt tokens.
	requestTokens = 300
	// loadBound is how far above the mean a server's load may be that is chosen
	// for the prompt parts it holds.
	loadBound = 1.4
	// minLongShare and maxLongShare bound the share of servers for long prompts.
	minLongShare = 0.3
	maxLongShare = 0.75
	// defaultLongShare is used until the demand is known.
	defaultLongShare = 0.6
	// shortHeadroom is the room that the others get beyond their share of the
	// work: they are the more urgent ones and have tighter targets.
	shortHeadroom = 1.4
	// borderStep is the least change of the share that moves the border.
	borderStep = 0.08
	// borderPause is the least time between two moves.
	borderPause = 1 * clock.Second
	// demandHalfLife is how quickly the measured demand follows.
	demandHalfLife = 2 * clock.Second
)

// demand measures the work of long and of short prompts, in prompt tokens. Its
// border between the servers of both moves in steps, because streams that run
// beside the border's new neighbours suffer.
type demand struct {
	long, short float64
	at          clock.Millis
	border      float64 // share of the servers that long prompts have
	movedAt     clock.Millis
}

func (d *demand) advance(now clock.Millis) {
	d.long = halfLife(d.long, now-d.at, demandHalfLife)
	d.short = halfLife(d.short, now-d.at, demandHalfLife)
	d.at = now
}

func (d *demand) add(now clock.Millis, n need) {
	d.advance(now)
	work := float64(n.tokens-n.shared*3/4) + n.decode
	if n.long() {
		d.long += work
	} else {
		d.short += work
	}
}

// longShare returns the share of servers that long prompts get, from this
// entry's demand and the others'.
func (d *demand) longShare(now clock.Millis, othersLong, othersShort float64) float64 {
	long, short := d.long+othersLong, (d.short+othersShort)*shortHeadroom
	if long+short == 0 {
		return defaultLongShare
	}
	wanted := min(max(long/(long+short), minLongShare), maxLongShare)
	moved := math.Abs(wanted-d.border) > borderStep && now-d.movedAt > borderPause
	if d.border == 0 || moved {
		d.border, d.movedAt = wanted, now
	}
	return d.border
}

// long reports whether the prompt holds up the streams beside it.
func (n need) long() bool { return n.tokens >= longPrompt }

// pickEngine keeps long prompts and short streams on different servers, and
// requests with equal prompt parts on the same ones.
func (f *fleet) pickEngine(now clock.Millis, n need, candidates []*server) *server {
	p := f.pool(n.service)
	if len(n.excluded) == 0 {
		p.demand.add(now, n) // a request that is sent again is the same work
	}
	return f.pickNear(now, n, f.partition(now, p, n.long(), candidates))
}

// pickNear prefers the servers that are likely to hold the request's prompt parts.
func (f *fleet) pickNear(now clock.Millis, n need, servers []*server) *server {
	if n.affinity == "" {
		return f.cheapest(now, servers)
	}
	total := lo.SumBy(servers, func(s *server) float64 { return f.engineCost(now, s) })
	bound := loadBound*total/float64(len(servers)) + float64(n.tokens) + n.decode
	for _, s := range preferred(n.affinity, servers) {
		if f.engineCost(now, s) <= bound {
			return s
		}
	}
	return f.cheapest(now, servers)
}

// preferred returns the servers that every entry prefers for a prompt part, the
// first one first.
func preferred(part string, servers []*server) []*server {
	type ranked struct {
		server *server
		rank   uint64
	}
	ranks := lo.Map(servers, func(s *server, _ int) ranked { return ranked{s, s.affinity(part)} })
	slices.SortFunc(ranks, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	return lo.Map(ranks[:min(len(ranks), affinityTries)], func(r ranked, _ int) *server { return r.server })
}

func (f *fleet) cheapest(now clock.Millis, servers []*server) *server {
	var best *server
	least := 0.0
	for _, s := range servers {
		if cost := f.engineCost(now, s); best == nil || cost < least {
			best, least = s, cost
		}
	}
	return best
}

// affinityTries is the number of servers that a prompt part is spread over when
// the first ones are busy.
const affinityTries = 2

// partition returns the servers for long prompts, or for the others. All entries
// have the same order of servers, so their borders are close to each other.
func (f *fleet) partition(now clock.Millis, p *pool, long bool, candidates []*server) []*server {
	if len(candidates) < 2 {
		return candidates
	}
	share := p.demand.longShare(now, p.othersLong, p.othersShort)
	border := int(share*float64(len(candidates)) + 0.5)
	border = min(max(border, 1), len(candidates)-1)
	if long {
		return candidates[:border]
	}
	return candidates[border:]
}

// engineCost is the work at an engine, in prompt tokens.
func (f *fleet) engineCost(now clock.Millis, s *server) float64 {
	cost := s.unreadTokens(now) + requestTokens*(s.load(now)+1) + decodeLeft*s.decodeTokens(now)
	return cost * (1 + failureCost*s.failureShare(now))
}

// decodeCost returns what the output of a request costs, in prompt tokens.
func (f *fleet) decodeCost(n need) float64 {
	service, ok := f.catalog.Service(n.service)
	if !ok || service.Engine == nil || service.Engine.Slots <= 0 {
		return 0
	}
	return float64(n.output) * stepTokens / float64(service.Engine.Slots)
}
