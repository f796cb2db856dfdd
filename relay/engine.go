package relay

import (
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
	// leastShare of the work is what each group gets servers for at least.
	leastShare = 0.08
	// shapeWeight is the weight of the newest request in a route's usual shape.
	shapeWeight = 0.05
	// demandHalfLife is how quickly the measured demand follows.
	demandHalfLife = 2 * clock.Second
)

// group says which servers of an engine service a request goes to. Prompts hold
// up the streams beside them, so requests with much to read are kept from those
// whose output takes most of their time.
type group uint8

const (
	longPrompts group = iota
	shortPrompts
	outputs
	groups int = iota
)

// demand measures the work of each group, in prompt tokens.
type demand struct {
	work   [groups]float64
	at     clock.Millis
	routes map[string]*routeShape
}

// routeShape is the usual shape of a route's short requests.
type routeShape struct {
	prompt, decode float64
}

func (d *demand) advance(now clock.Millis) {
	for g := range d.work {
		d.work[g] = halfLife(d.work[g], now-d.at, demandHalfLife)
	}
	d.at = now
}

// place returns the group of a request and counts its work.
func (d *demand) place(now clock.Millis, n need) group {
	d.advance(now)
	g := d.group(n)
	d.work[g] += float64(n.tokens-n.shared*3/4) + n.decode
	return g
}

func (d *demand) group(n need) group {
	if n.tokens >= longPrompt {
		return longPrompts
	}
	if d.routes == nil {
		d.routes = map[string]*routeShape{}
	}
	shape, ok := d.routes[n.route]
	if !ok {
		shape = &routeShape{prompt: float64(n.tokens - n.shared), decode: n.decode}
		d.routes[n.route] = shape
	}
	shape.prompt += shapeWeight * (float64(n.tokens-n.shared) - shape.prompt)
	shape.decode += shapeWeight * (n.decode - shape.decode)
	if shape.prompt > shape.decode {
		return shortPrompts
	}
	return outputs
}

// borders returns the number of servers of each group among n.
func (d *demand) borders(n int) [groups]int {
	total, least := lo.Sum(d.work[:]), leastShare*lo.Sum(d.work[:])
	var counts [groups]int
	if total == 0 {
		total, least = 1, 1
	}
	for _, w := range d.work {
		total += max(least-w, 0)
	}
	left := n
	for g := groups - 1; g > 0; g-- {
		counts[g] = int(max(d.work[g], least)/total*float64(n) + 0.5)
		counts[g] = min(max(counts[g], 1), left-g)
		left -= counts[g]
	}
	counts[0] = left
	return counts
}

// pickEngine keeps long prompts and short streams on different servers, and
// requests with equal prompt parts on the same ones.
func (f *fleet) pickEngine(now clock.Millis, n need, candidates []*server) *server {
	p := f.pool(n.service)
	g := p.demand.place(now, n)
	return f.pickNear(now, n, f.partition(p, g, candidates))
}

// pickNear prefers the servers that are likely to hold the request's prompt parts.
func (f *fleet) pickNear(now clock.Millis, n need, servers []*server) *server {
	if n.affinity == "" {
		return f.cheapest(now, servers)
	}
	total := lo.SumBy(servers, func(s *server) float64 { return f.engineCost(now, s) })
	bound := loadBound*total/float64(len(servers)) + float64(n.tokens) + n.decode
	ordered := slices.Clone(servers)
	slices.SortFunc(ordered, func(a, b *server) int {
		return lo.Ternary(a.affinity(n.affinity) > b.affinity(n.affinity), -1, 1)
	})
	for _, s := range ordered[:min(len(ordered), affinityTries)] {
		if f.engineCost(now, s) <= bound {
			return s
		}
	}
	return f.cheapest(now, servers)
}

func (f *fleet) cheapest(now clock.Millis, servers []*server) *server {
	return lo.MinBy(servers, func(a, b *server) bool { return f.engineCost(now, a) < f.engineCost(now, b) })
}

// affinityTries is the number of servers that a prompt part is spread over when
// the first ones are busy.
const affinityTries = 2

// partition returns the servers of a group. All entries have the same order of
// servers, so their borders are close to each other.
func (f *fleet) partition(p *pool, g group, candidates []*server) []*server {
	if len(candidates) < groups {
		return candidates
	}
	first := 0
	counts := p.demand.borders(len(candidates))
	for _, n := range counts[:g] {
		first += n
	}
	return candidates[first : first+counts[g]]
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
