package ratelimit

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// maxPoints bounds the points of a server on the ring.
	maxPoints = 1024
	// burstPerPoint and burst are the numbers of unused requests that all entries together save
	// up, for each point of a server and beside that. With them, a server that takes r requests a
	// second gets at most 5.5 r + 5 requests in any 4 s.
	burstPerPoint = 1.5
	burst         = 3
	// demandHalfLife is the time after which a request counts half for the demand of an entry.
	demandHalfLife = 3 * clock.Second
	// urgentReserve is the part of the saved requests beyond the first one that requests of the
	// least urgent rank leave for more urgent ones while some of these are refused.
	urgentReserve = 0.8
	// scarcityTime is for how long a refusal tells that requests are refused.
	scarcityTime = 10 * clock.Second
	// starvationBound is how long requests of a rank may be refused while more urgent ones take
	// all of a limit. After it, the next request of the rank goes first.
	starvationBound = 5 * clock.Second
	// starvationReserve is the part of the saved requests beyond the first one that is kept for
	// such a request.
	starvationReserve = 0.5
	// MaxReturnTime bounds the time after which a refused caller is told to come back. Limits
	// change, and entries come and go.
	MaxReturnTime = 10 * clock.Second
	// minReturnRate is the lowest rate at which refused callers are told to come back, in
	// requests a second.
	minReturnRate = 0.2
)

// Urgency is how urgent a request is: its rank from 0, the most urgent one, of a number of ranks.
type Urgency struct{ Rank, Ranks int }

// reserve returns the number of saved requests of the given capacity that must stay for more
// urgent requests.
func (u Urgency) reserve(capacity float64) float64 {
	if u.Ranks < 2 || capacity <= 1 {
		return 0
	}
	return urgentReserve * (capacity - 1) * float64(u.Rank) / float64(u.Ranks-1)
}

// Limiter holds back the requests of one entry to servers with a limit. It is safe for concurrent
// use. All times are on the clock of the process.
type Limiter struct {
	limits *Limits

	mu       sync.Mutex
	holding  Holding // the part of the ring that this entry holds
	demand   float64 // recent requests a second at demandAt
	demandAt clock.Millis
	buckets  map[Run]*bucket
	refused  map[string]map[int]refusals // by service and rank
	returnAt map[string]clock.Millis     // when the caller of a service that was refused last comes back
	expireAt clock.Millis                // when buckets of former limits are searched for next
}

// refusals are the refusals of a rank for the limits of servers.
type refusals struct {
	latest  clock.Millis
	waiting bool         // no request of the rank has been sent to a server with a limit since a refusal
	since   clock.Millis // the time of that refusal
}

// isStarving reports whether the rank has waited for too long and still does.
func (r refusals) isStarving(now clock.Millis) bool {
	return r.waiting && now-r.since >= starvationBound && now-r.latest < starvationBound
}

// bucket holds the requests that may be sent to a server now.
type bucket struct {
	tokens      float64
	at          clock.Millis // when tokens was right
	rate, burst float64      // tokens a second, and the most that are saved up
	share       Interval     // share for which rate and burst hold
	limit       Limit        // limit for which rate and burst hold
}

// NewLimiter returns a limiter of an entry that holds no part of the ring yet.
func NewLimiter(limits *Limits) *Limiter {
	return &Limiter{limits: limits, buckets: map[Run]*bucket{}, refused: map[string]map[int]refusals{}, returnAt: map[string]clock.Millis{}}
}

// Limits returns the limits that the limiter keeps.
func (l *Limiter) Limits() *Limits { return l.limits }

// SetGrant stores the grant that has answered the latest report of this entry, with the end of its
// lease, and returns what of it the entry holds; see Holding.Set.
func (l *Limiter) SetGrant(now clock.Millis, granted Grant, until clock.Millis) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding.Set(now, granted, until)
}

// ReportGrant returns the grant that this entry reports to control.
func (l *Limiter) ReportGrant(now clock.Millis) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holding.Report(now)
}

// CountRequest counts a request of a caller for the demand of this entry.
func (l *Limiter) CountRequest(now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decayDemand(now)
	l.demand += math.Ln2 * float64(clock.Second) / float64(demandHalfLife)
}

// decayDemand applies the decay of the demand until now. The caller holds the lock.
func (l *Limiter) decayDemand(now clock.Millis) {
	l.demand *= math.Exp2(-float64(now-l.demandAt) / float64(demandHalfLife))
	l.demandAt = now
}

// Weight returns the demand of this entry, which decides about its part of the ring: ten times the
// recent requests a second, and 1 more, so that an entry that is idle may send requests too.
func (l *Limiter) Weight(now clock.Millis) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decayDemand(now)
	return 1 + int(10*l.demand)
}

// Share returns the part of the ring that this entry may use, from 0 to 1.
func (l *Limiter) Share(now clock.Millis) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validShare(now).Size()
}

// validShare returns the part of the ring that this entry may use. The caller holds the lock.
func (l *Limiter) validShare(now clock.Millis) Interval {
	return l.holding.Current(now).Interval
}

// Allows reports whether a request of a service may be sent to a server now.
func (l *Limiter) Allows(now clock.Millis, run Run, service string, u Urgency) bool {
	if l.limits.IsEmpty() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits.Limit(run)
	if !limit.Exists() {
		return true
	}
	b := l.bucket(now, run, limit)
	return b.rate > 0 && b.tokens >= 1+l.reserve(now, service, u, b.burst)
}

// reserve returns how many tokens a request must leave for more urgent ones while some of these
// are refused, and for a rank that has been refused for too long. The caller holds the lock.
func (l *Limiter) reserve(now clock.Millis, service string, u Urgency, burst float64) float64 {
	reserve := 0.0
	for rank, r := range l.refused[service] {
		if rank < u.Rank && now-r.latest < scarcityTime {
			reserve = max(reserve, u.reserve(burst))
		}
		if rank != u.Rank && r.isStarving(now) {
			reserve = max(reserve, starvationReserve*(burst-1))
		}
	}
	if r, ok := l.refused[service][u.Rank]; ok && r.isStarving(now) {
		return 0
	}
	return reserve
}

// Take counts a request that is sent to a server. Allows must have reported true.
func (l *Limiter) Take(now clock.Millis, run Run, service string, u Urgency) {
	if l.limits.IsEmpty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.refused[service][u.Rank]; ok {
		r.waiting = false
		l.refused[service][u.Rank] = r
	}
	if b, ok := l.buckets[run]; ok {
		b.tokens--
	}
}

// Return takes back the count of a request that has not reached its server.
func (l *Limiter) Return(run Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b, ok := l.buckets[run]; ok {
		b.tokens = min(b.tokens+1, b.burst)
	}
}

// bucket returns the bucket of a server with a limit, filled up to now. The caller holds the lock.
func (l *Limiter) bucket(now clock.Millis, run Run, limit Limit) *bucket {
	l.expire(now)
	b, ok := l.buckets[run]
	if !ok {
		b = &bucket{at: now}
		l.buckets[run] = b
	}
	b.tokens = min(b.tokens+b.rate*(now-b.at).Duration().Seconds(), b.burst)
	b.at = now
	if share := l.validShare(now); b.limit != limit || b.share != share {
		b.limit, b.share = limit, share
		held, all := points(run, limit, share)
		part := float64(held) / float64(all)
		b.rate, b.burst = limit.Rate()*part, (burstPerPoint*float64(all)+burst)*part
		if held > 0 {
			b.burst = max(b.burst, 1)
		}
		b.tokens = min(b.tokens, b.burst)
	}
	return b
}

// points returns how many of the points of a server are in an interval, and their number. They
// are evenly spaced, and the name of the server tells where they begin.
func points(run Run, limit Limit, share Interval) (held, all int) {
	all = min(max(int(limit.Rate()), 1), maxPoints)
	if share.IsEmpty() {
		return 0, all
	}
	step := uint64(ringSize / all)
	offset := xxhash.Sum64String(run.Server) % step
	return pointsBefore(share.End, offset, step, all) - pointsBefore(share.Begin, offset, step, all), all
}

// pointsBefore returns how many of the points offset, offset+step and so on are before a position.
func pointsBefore(position, offset, step uint64, all int) int {
	if position <= offset {
		return 0
	}
	return min(int((position-offset+step-1)/step), all)
}

// expire removes the buckets of limits that have ended, and refusals that have no effect any more, at
// most once a second. The caller holds the lock.
func (l *Limiter) expire(now clock.Millis) {
	if now < l.expireAt {
		return
	}
	l.expireAt = now + clock.Second
	for run := range l.buckets {
		if !l.limits.Limit(run).Exists() {
			delete(l.buckets, run)
		}
	}
	maps.DeleteFunc(l.returnAt, func(_ string, at clock.Millis) bool { return at <= now })
	for service, ranks := range l.refused {
		maps.DeleteFunc(ranks, func(_ int, r refusals) bool { return now-r.latest >= max(scarcityTime, starvationBound) })
		if len(ranks) == 0 {
			delete(l.refused, service)
		}
	}
}

// RefuseFor records that a request of a service is refused because all of the given servers have
// limits that allow none now. It returns after which time the caller should come back. The limits
// of the servers tell how many callers can come back in each second, and the times are spread
// accordingly.
func (l *Limiter) RefuseFor(now clock.Millis, service string, runs []Run, u Urgency) clock.Millis {
	total := lo.SumBy(runs, func(run Run) float64 { return min(l.limits.Limit(run).Rate(), MaxRate) })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	l.recordRefusal(now, service, u.Rank)
	rate := total * l.validShare(now).Size()
	if rate == 0 {
		// Other entries hold the limits: the caller finds one of them soon.
		return 1 + rand.N(clock.Second)
	}
	gap := float64(clock.Second) / max(rate, minReturnRate) * (0.5 + rand.Float64())
	at := max(l.returnAt[service], now) + clock.Millis(math.Ceil(gap))
	l.returnAt[service] = min(at, now+MaxReturnTime)
	return l.returnAt[service] - now
}

// recordRefusal records the refusal of a request of a service. The caller holds the lock.
func (l *Limiter) recordRefusal(now clock.Millis, service string, rank int) {
	if l.refused[service] == nil {
		l.refused[service] = map[int]refusals{}
	}
	r := l.refused[service][rank]
	if !r.waiting || now-r.latest >= starvationBound {
		r.waiting, r.since = true, now
	}
	r.latest = now
	l.refused[service][rank] = r
}

// ServerRate is what a limiter holds of the limit of one server.
type ServerRate struct {
	Limit  float64 // requests a second that the server takes from all entries together; 0 without a limit
	Rate   float64 // requests a second that this entry may send
	Tokens float64 // requests that it may send now
}

// ServerRate returns what the limiter holds of the limit of a server.
func (l *Limiter) ServerRate(now clock.Millis, run Run) ServerRate {
	limit := l.limits.Limit(run)
	if !limit.Exists() {
		return ServerRate{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, run, limit)
	return ServerRate{Limit: limit.Rate(), Rate: b.rate, Tokens: b.tokens}
}
