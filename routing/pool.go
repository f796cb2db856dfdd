package routing

import (
	"math"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// pool is the set of servers of one model or service.
type pool struct {
	name            string
	memberCount     int
	freeMemberships []*poolMembership // memberships of the servers with a free slot, unordered
	freeSlots       int               // total of all servers of the pool
	poolTokenTimes  poolTokenTimes
	slow            []*poolMembership // memberships of the stragglers; the most recently probed is last
	firstTokenModel firstTokenModel
}

// poolMembership is the membership of a server in one pool, with the server's statistics
// in that pool.
type poolMembership struct {
	pool            *pool
	server          *server
	index           int // position in pool.freeMemberships; -1 if the server has no free slot
	serverTokenTime serverTokenTime
}

// setPools sets the pools that a server belongs to. The server keeps its statistics in the
// pools to which it already belonged.
func (r *Router) setPools(s *server, names []string) {
	names = lo.Uniq(names)
	if slices.EqualFunc(s.memberships, names, func(m *poolMembership, name string) bool { return m.pool.name == name }) {
		return
	}
	for _, m := range s.memberships {
		m.pool.setFree(m, s.countedSlots, 0)
		if !slices.Contains(names, m.pool.name) {
			r.removeMembership(m)
		}
	}
	s.countedSlots = 0
	s.memberships = lo.Map(names, func(name string, _ int) *poolMembership { return r.findOrCreateMembership(s, name) })
}

// findOrCreateMembership returns the server's membership in a pool. It creates the
// membership, and the pool too, if there is none yet.
func (r *Router) findOrCreateMembership(s *server, name string) *poolMembership {
	for _, m := range s.memberships {
		if m.pool.name == name {
			return m
		}
	}
	p, ok := r.pools[name]
	if !ok {
		p = &pool{name: name, firstTokenModel: newFirstTokenModel()}
		r.pools[name] = p
	}
	p.memberCount++
	return &poolMembership{pool: p, server: s, index: -1}
}

// removeMembership removes the server of a membership from the pool, and deletes the pool
// if it has no other server.
func (r *Router) removeMembership(m *poolMembership) {
	p := m.pool
	p.memberCount--
	p.poolTokenTimes.remove(&m.serverTokenTime)
	p.slow = slices.DeleteFunc(p.slow, func(o *poolMembership) bool { return o == m })
	if p.memberCount == 0 {
		delete(r.pools, p.name)
	}
}

// setFree changes the number of free slots of a server in the pool from before to after,
// and adds the server to freeMemberships or removes it from there.
func (p *pool) setFree(m *poolMembership, before, after int) {
	p.freeSlots += after - before
	switch {
	case after > 0 && m.index < 0:
		m.index = len(p.freeMemberships)
		p.freeMemberships = append(p.freeMemberships, m)
	case after == 0 && m.index >= 0:
		last := len(p.freeMemberships) - 1
		p.freeMemberships[m.index] = p.freeMemberships[last]
		p.freeMemberships[m.index].index = m.index
		p.freeMemberships[last] = nil
		p.freeMemberships = p.freeMemberships[:last]
		m.index = -1
	}
}

func (p *pool) isFree(s *server) bool {
	m := p.membershipOf(s)
	return m != nil && m.index >= 0
}

// membershipOf returns the membership of a server in this pool, or nil if the server does
// not belong to it.
func (p *pool) membershipOf(s *server) *poolMembership {
	for _, m := range s.memberships {
		if m.pool == p {
			return m
		}
	}
	return nil
}

// pickFree returns a server with a free slot that is neither in exclude nor in chosen,
// or nil. It starts at a random position and examines at most one server more than the
// two lists contain together.
func (p *pool) pickFree(random uint64, exclude []string, chosen []*server) *server {
	n := len(p.freeMemberships)
	if n == 0 {
		return nil
	}
	start := int(random % uint64(n))
	for i := range min(n, len(exclude)+len(chosen)+1) {
		s := p.freeMemberships[(start+i)%n].server
		if !slices.Contains(exclude, s.name) && !slices.Contains(chosen, s) {
			return s
		}
	}
	return nil
}

// betweenTokens returns the time between tokens in ms measured on a server. It
// returns the pool's median if the server has fewer than minSamples measurements.
func (p *pool) betweenTokens(s *server) float64 {
	if m := p.membershipOf(s); m != nil && m.serverTokenTime.samples >= minSamples {
		return m.serverTokenTime.millis
	}
	return p.poolTokenTimes.median()
}

// slowness returns how many times slower than the pool's median a server is, from
// 0.5 to 16, or 1 if it is unknown.
func (p *pool) slowness(s *server) float64 {
	m := p.membershipOf(s)
	median := p.poolTokenTimes.median()
	if m == nil || m.serverTokenTime.samples < minSamples || median == 0 {
		return 1
	}
	return min(max(m.serverTokenTime.millis/median, 0.5), 16)
}

// Times between tokens are counted in buckets that grow by 10% from 0.1 ms to 18 s,
// so that the median is found in constant time.
const (
	tokenTimeBuckets = 128
	minTokenMillis   = 0.1
	tokenTimeRatio   = 1.1
)

// poolTokenTimes counts the servers of a pool by their mean time between tokens.
type poolTokenTimes struct {
	counts       [tokenTimeBuckets]int32 // number of servers, by bucket
	total        int32                   // sum of counts
	medianMillis float64                 // median as of the last change; 0 without measurements
}

// serverTokenTime holds the running mean of a server's time between tokens in one pool,
// and whether the server is a straggler there.
type serverTokenTime struct {
	millis        float64      // running mean in ms
	samples       int          // number of measured windows
	bucket        int          // index in poolTokenTimes.counts plus one; 0 if not counted
	slow          bool         // set while the server is a straggler
	probeAt       clock.Millis // time of the next probe of a straggler
	probeInterval clock.Millis // time from the next probe to the one after it
}

// setMean counts a server in the bucket of its mean time between tokens, in place of its
// former bucket, and updates the median.
func (s *poolTokenTimes) setMean(v *serverTokenTime) {
	s.remove(v)
	b := int(math.Round(math.Log(max(v.millis, minTokenMillis)/minTokenMillis) / math.Log(tokenTimeRatio)))
	v.bucket = min(b, tokenTimeBuckets-1) + 1
	s.counts[v.bucket-1]++
	s.total++
	s.medianMillis = s.findMedian()
}

// remove removes a server from the counts, if it is counted, and updates the median.
func (s *poolTokenTimes) remove(v *serverTokenTime) {
	if v.bucket == 0 {
		return
	}
	s.counts[v.bucket-1]--
	s.total--
	v.bucket = 0
	s.medianMillis = s.findMedian()
}

// median returns the median time between tokens in ms, rounded to the middle of its
// bucket, or 0 without measurements.
func (s *poolTokenTimes) median() float64 { return s.medianMillis }

func (s *poolTokenTimes) findMedian() float64 {
	sum := int32(0)
	for b, n := range s.counts {
		sum += n
		if n > 0 && sum*2 >= s.total {
			return minTokenMillis * math.Pow(tokenTimeRatio, float64(b))
		}
	}
	return 0
}
