package relay

import (
	"fmt"
	"math"
	"slices"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// maxLoggedLimits bounds the limits in the log line of a refusal.
const maxLoggedLimits = 8

// recordLimit records how many requests the server takes if its response to the request says so.
// A response without a limit ends the limit, but not one that may be of another server: a
// response without an ID, or to a misdirected request.
func (x *exchange) recordLimit(a *attempt) {
	limit := a.responseInfo.Limit
	isOther := a.head.Status == statusMisdirected
	isUncertainEnd := !limit.Exists() && a.responseInfo.ID != x.requestInfo.ID
	if a.responseInfo.LimitUnreadable || isOther || isUncertainEnd {
		return
	}
	r := x.relay
	now := r.clock.Now()
	changed := r.limiter.Limits().Record(now, ratelimit.Run(a.run), limit, a.chosenAt, a.firstByteAt)
	if !changed {
		return
	}
	held := r.limiter.ServerRate(now, ratelimit.Run(a.run))
	r.options.Logger.Log(event.ServerLimited, zap.String("server", a.server.record.Server), zap.Int64("started_at", a.run.StartedAt),
		zap.Float64("rate", held.Limit), zap.Float64("own_rate", held.Rate), zap.String("request", x.requestInfo.ID))
}

// setShare stores the part of servers' limits and of retry budgets that control has granted with a
// lease.
func (r *Relay) setShare(now clock.Millis, share *ratelimit.Grant, leaseEnd clock.Millis) {
	granted := r.limiter.SetGrant(now, lo.FromPtr(share), leaseEnd)
	r.budget.SetShare(now, granted.Fraction, leaseEnd)
}

// shareReport returns the demand that decides about the relay's part of servers' limits, and the
// part that it holds. A relay that stops needs none.
func (r *Relay) shareReport() *control.ShareReport {
	now := r.clock.Now()
	weight := r.limiter.Weight(now)
	if r.closing.Load() {
		weight = 0
	}
	return &control.ShareReport{Weight: weight, Held: r.limiter.ReportGrant(now)}
}

// pickWithinLimits chooses one of the servers whose limits allow a request now, or returns nil if
// there is none. It also returns the servers from which an engine may copy parts of prompts. The caller
// holds the lock.
func (f *fleet) pickWithinLimits(now clock.Millis, req requirements, candidates []*server) (chosen *server, peers []*server) {
	if req.forEngine {
		return f.pickEngine(now, req, candidates)
	}
	candidates = f.withinLimits(now, req, candidates)
	if len(candidates) == 0 {
		return nil, nil
	}
	return f.pickByLoad(now, f.withinWindows(now, candidates)), nil
}

// divideByLimits returns the servers with those first that have a limit, and which share of them
// long prompts should get whose share of the work is given. A limit counts requests, whatever
// their size, so it leaves a server more work if its prompts are long. The caller holds the lock.
func (f *fleet) divideByLimits(p *pool, longWork float64, servers []*server) ([]*server, float64) {
	limited, others := lo.FilterReject(servers, func(s *server, _ int) bool {
		return f.limiter.Limits().Limit(ratelimit.Run(s.run())).Exists()
	})
	if len(limited) == 0 {
		return servers, longWork
	}
	ordered := slices.Concat(limited, others)
	longCapacity, shortCapacity := make([]float64, len(ordered)), make([]float64, len(ordered))
	for i, s := range ordered {
		rate := f.limiter.Limits().Limit(ratelimit.Run(s.run())).Rate()
		longCapacity[i], shortCapacity[i] = p.capacity(rate, len(ordered))
	}
	return ordered, longShareByCapacity(longWork, longCapacity, shortCapacity)
}

// capacity returns which part of its share of the work a server with a limit can take if all its
// prompts are long, and if all are short. Without a limit it is 1.
func (p *pool) capacity(rate float64, servers int) (long, short float64) {
	w := &p.promptWork
	total := w.long + w.short + p.otherEntriesLongWork + p.otherEntriesShortWork
	perServer := total * math.Ln2 / promptWorkHalfLife.Duration().Seconds() / float64(servers) // work a second
	of := func(work, count float64) float64 {
		if count == 0 || perServer == 0 || math.IsInf(rate, 1) {
			return 1
		}
		return min(rate*work/count/perServer, 1)
	}
	return of(w.long, w.longCount), of(w.short, w.shortCount)
}

// longShareByCapacity returns how many of the servers, as a share and in the given order, must get
// the long prompts so that the capacity of these servers for long prompts is the given share of
// the whole capacity.
func longShareByCapacity(share float64, longCapacity, shortCapacity []float64) float64 {
	n := len(longCapacity)
	long, short := 0.0, lo.Sum(shortCapacity)
	for i := range n {
		nextLong, nextShort := long+longCapacity[i], short-shortCapacity[i]
		if excess := nextLong - share*(nextLong+nextShort); excess >= 0 {
			// The share of the server at the border that is needed, by linear interpolation.
			missing := share*(long+short) - long
			return (float64(i) + missing/(missing+excess)) / float64(n)
		}
		long, short = nextLong, nextShort
	}
	return 1
}

// withinLimits returns the servers whose limits allow a request now. The caller holds the lock.
func (f *fleet) withinLimits(now clock.Millis, req requirements, servers []*server) []*server {
	if f.limiter.Limits().IsEmpty() {
		return servers
	}
	return lo.Filter(servers, func(s *server, _ int) bool {
		return f.limiter.Allows(now, ratelimit.Run(s.run()), req.service, req.urgency)
	})
}

// limitedServers returns the servers that may get a request, those included that it has tried, if
// all of them have limits, and none otherwise.
func (f *fleet) limitedServers(now clock.Millis, req requirements) []ratelimit.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []ratelimit.Run
	for _, s := range f.usableServers(now, requirements{service: req.service, version: req.version}) {
		run := ratelimit.Run(s.run())
		if !f.limiter.Limits().Limit(run).Exists() {
			return nil
		}
		runs = append(runs, run)
	}
	return runs
}

// withLimits returns the refusal of a request for which no server was found, with the limits of
// the servers if all of them have one. The limits tell when callers may come back.
func (x *exchange) withLimits(now clock.Millis, r refusal) refusal {
	runs := x.relay.fleet.limitedServers(now, x.requirements)
	if len(runs) == 0 {
		return r
	}
	r.reason = "servers_limited"
	r.retryAfter = max(x.relay.limiter.RefuseFor(now, x.service, runs, x.requirements.urgency), minRetryAfter)
	for _, run := range runs[:min(len(runs), maxLoggedLimits)] {
		held := x.relay.limiter.ServerRate(now, run)
		r.limits = append(r.limits, fmt.Sprintf("%s: %.3g/s, %.3g/s here, %.2g left", run.Server, held.Limit, held.Rate, held.Tokens))
	}
	return r
}
