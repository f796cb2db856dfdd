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
	// outputCost is what an output token costs, in prompt tokens: a place in the
	// batch for one step.
	outputCost = 9
	// runningTokens is what a running request still costs, in prompt tokens.
	runningTokens = 1200
	// loadBound is how far above the mean a server's load may be that is chosen
	// for the prompt parts it holds.
	loadBound = 1.4
	// minLongShare and maxLongShare bound the servers kept for long prompts.
	minLongShare = 0.35
	maxLongShare = 0.7
	// defaultLongShare is used until the demand is known.
	defaultLongShare = 0.5
	// demandHalfLife is how quickly the measured demand follows.
	demandHalfLife = 2 * clock.Second
)

// demand measures the prompt tokens of long and of short requests.
type demand struct {
	long, short float64
	at          clock.Millis
}

func (d *demand) advance(now clock.Millis) {
	d.long = halfLife(d.long, now-d.at, demandHalfLife)
	d.short = halfLife(d.short, now-d.at, demandHalfLife)
	d.at = now
}

func (d *demand) add(now clock.Millis, n need) {
	d.advance(now)
	work := n.work()
	if n.long {
		d.long += work
	} else {
		d.short += work
	}
}

// work returns what a request costs an engine, in prompt tokens. Shared parts are
// mostly cached.
func (n need) work() float64 {
	return float64(n.tokens - n.shared*3/4 + outputCost*n.output)
}

// longShare returns the share of servers that long prompts get.
func (d *demand) longShare() float64 {
	if d.long+d.short == 0 {
		return defaultLongShare
	}
	return min(max(d.long/(d.long+d.short), minLongShare), maxLongShare)
}

// pickEngine keeps long prompts and short streams on different servers, and
// requests with equal prompt parts on the same ones.
func (f *fleet) pickEngine(now clock.Millis, n need, candidates []*server) *server {
	p := f.pool(n.service)
	p.demand.add(now, n)
	part := f.partition(p, n.long, candidates)
	costs := lo.Map(part, func(s *server, _ int) float64 { return f.engineCost(now, s) })
	order := lo.Range(len(part))
	if n.affinity != "" {
		bound := loadBound*lo.Sum(costs)/float64(len(costs)) + n.work()
		slices.SortFunc(order, func(a, b int) int {
			return lo.Ternary(part[a].affinity(n.affinity) > part[b].affinity(n.affinity), -1, 1)
		})
		for _, i := range order[:min(len(order), affinityTries)] {
			if costs[i] <= bound {
				return part[i]
			}
		}
	}
	return part[lo.MinBy(order, func(a, b int) bool { return costs[a] < costs[b] })]
}

// affinityTries is the number of servers that a prompt part is spread over when
// the first ones are busy.
const affinityTries = 2

// partition returns the servers for long prompts, or the others. All entries
// have the same order of servers, so their borders are close to each other.
func (f *fleet) partition(p *pool, long bool, candidates []*server) []*server {
	if len(candidates) < 2 {
		return candidates
	}
	border := int(p.demand.longShare()*float64(len(candidates)) + 0.5)
	border = min(max(border, 1), len(candidates)-1)
	if long {
		return candidates[:border]
	}
	return candidates[border:]
}

// engineCost is the work at an engine, in prompt tokens.
func (f *fleet) engineCost(now clock.Millis, s *server) float64 {
	cost := s.unreadTokens(now) + runningTokens*s.load(now)
	return (cost + runningTokens) * (1 + failureCost*s.failureShare(now))
}
