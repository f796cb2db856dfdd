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
	freeLinks       []*link // links of the servers with a free slot, unordered
	freeSlots       int     // total of all servers of the pool
	poolTokenTimes  poolTokenTimes
	slow            []*link // links of the stragglers; the most recently probed is last
	firstTokenModel firstTokenModel
}

// link is the membership of a server in one pool, with the server's statistics in that
// pool. A server has one link for each pool that it belongs to.
type link struct {
	pool            *pool
	server          *server
	index           int // position in pool.freeLinks; -1 if the server has no free slot
	serverTokenTime serverTokenTime
}

// link sets the pools that a server belongs to. The server keeps its statistics in the
// pools to which it already belonged.
func (r *Router) link(s *server, names []string) {
	names = lo.Uniq(names)
	if slices.EqualFunc(s.links, names, func(l *link, name string) bool { return l.pool.name == name }) {
		return
	}
	for _, l := range s.links {
		l.pool.setFree(l, s.countedSlots, 0)
		if !slices.Contains(names, l.pool.name) {
			r.removeLink(l)
		}
	}
	s.countedSlots = 0
	s.links = lo.Map(names, func(name string, _ int) *link { return r.findOrCreateLink(s, name) })
}

// findOrCreateLink returns the server's link with a pool. It creates the link, and the pool
// too, if there is none yet.
func (r *Router) findOrCreateLink(s *server, name string) *link {
	for _, l := range s.links {
		if l.pool.name == name {
			return l
		}
	}
	p, ok := r.pools[name]
	if !ok {
		p = &pool{name: name, firstTokenModel: newFirstTokenModel()}
		r.pools[name] = p
	}
	p.memberCount++
	return &link{pool: p, server: s, index: -1}
}

// removeLink removes the server of a link from the pool, and deletes the pool if it has no
// other server.
func (r *Router) removeLink(l *link) {
	p := l.pool
	p.memberCount--
	p.poolTokenTimes.remove(&l.serverTokenTime)
	p.slow = slices.DeleteFunc(p.slow, func(o *link) bool { return o == l })
	if p.memberCount == 0 {
		delete(r.pools, p.name)
	}
}

// setFree changes the number of free slots of a server in the pool from before to after,
// and adds the server to freeLinks or removes it from there.
func (p *pool) setFree(l *link, before, after int) {
	p.freeSlots += after - before
	switch {
	case after > 0 && l.index < 0:
		l.index = len(p.freeLinks)
		p.freeLinks = append(p.freeLinks, l)
	case after == 0 && l.index >= 0:
		last := len(p.freeLinks) - 1
		p.freeLinks[l.index] = p.freeLinks[last]
		p.freeLinks[l.index].index = l.index
		p.freeLinks[last] = nil
		p.freeLinks = p.freeLinks[:last]
		l.index = -1
	}
}

func (p *pool) isFree(s *server) bool {
	l := p.linkFor(s)
	return l != nil && l.index >= 0
}

// linkFor returns the link of a server with this pool, or nil if the server does not belong
// to it.
func (p *pool) linkFor(s *server) *link {
	for _, l := range s.links {
		if l.pool == p {
			return l
		}
	}
	return nil
}

// pickFree returns a server with a free slot that is neither in exclude nor in chosen,
// or nil. It starts at a random position and examines at most one server more than the
// two lists contain together.
func (p *pool) pickFree(random uint64, exclude []string, chosen []*server) *server {
	n := len(p.freeLinks)
	if n == 0 {
		return nil
	}
	start := int(random % uint64(n))
	for i := range min(n, len(exclude)+len(chosen)+1) {
		s := p.freeLinks[(start+i)%n].server
		if !slices.Contains(exclude, s.name) && !slices.Contains(chosen, s) {
			return s
		}
	}
	return nil
}

// betweenTokens returns the time between tokens in ms measured on a server. It
// returns the pool's median if the server has fewer than minSamples measurements.
func (p *pool) betweenTokens(s *server) float64 {
	if l := p.linkFor(s); l != nil && l.serverTokenTime.samples >= minSamples {
		return l.serverTokenTime.millis
	}
	return p.poolTokenTimes.median()
}

// slowness returns how many times slower than the pool's median a server is, from
// 0.5 to 16, or 1 if it is unknown.
func (p *pool) slowness(s *server) float64 {
	l := p.linkFor(s)
	median := p.poolTokenTimes.median()
	if l == nil || l.serverTokenTime.samples < minSamples || median == 0 {
		return 1
	}
	return min(max(l.serverTokenTime.millis/median, 0.5), 16)
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

// set counts a server in the bucket of its mean time between tokens, in place of its
// former bucket, and updates the median.
func (s *poolTokenTimes) set(v *serverTokenTime) {
	s.remove(v)
	b := int(math.Round(math.Log(max(v.millis, minTokenMillis)/minTokenMillis) / math.Log(tokenTimeRatio)))
	v.bucket = min(b, tokenTimeBuckets-1) + 1
	s.counts[v.bucket-1]++
	s.total++
	s.medianMillis = s.findMedian()
}

// remove no longer counts a server, and updates the median.
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
