package routing

import (
	"math"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// pool holds the servers of one model or service.
type pool struct {
	name      string
	members   int
	free      []*place // servers with a free slot, in no order
	freeSlots int
	speeds    speeds
	slow      []*place // stragglers, by the time of their next probe as far as known
	model     model
}

// place is a server's position and statistics in one pool.
type place struct {
	pool   *pool
	server *server
	index  int // in pool.free; -1 if not there
	speed  speed
}

// place puts a server into exactly the given pools and keeps the statistics of
// those that it stays in.
func (r *Router) place(s *server, names []string) {
	names = lo.Uniq(names)
	if slices.EqualFunc(s.places, names, func(at *place, name string) bool { return at.pool.name == name }) {
		return
	}
	for _, at := range s.places {
		at.pool.setFree(at, s.free, 0)
		if !slices.Contains(names, at.pool.name) {
			r.leave(at)
		}
	}
	s.free = 0
	s.places = lo.Map(names, func(name string, _ int) *place { return r.placeIn(s, name) })
}

func (r *Router) placeIn(s *server, name string) *place {
	for _, at := range s.places {
		if at.pool.name == name {
			return at
		}
	}
	p, ok := r.pools[name]
	if !ok {
		p = &pool{name: name, model: newModel()}
		r.pools[name] = p
	}
	p.members++
	return &place{pool: p, server: s, index: -1}
}

func (r *Router) leave(at *place) {
	p := at.pool
	p.members--
	p.speeds.remove(&at.speed)
	p.slow = slices.DeleteFunc(p.slow, func(o *place) bool { return o == at })
	if p.members == 0 {
		delete(r.pools, p.name)
	}
}

// setFree moves a server into or out of the free set.
func (p *pool) setFree(at *place, before, after int) {
	p.freeSlots += after - before
	switch {
	case after > 0 && at.index < 0:
		at.index = len(p.free)
		p.free = append(p.free, at)
	case after == 0 && at.index >= 0:
		last := len(p.free) - 1
		p.free[at.index] = p.free[last]
		p.free[at.index].index = at.index
		p.free[last] = nil
		p.free = p.free[:last]
		at.index = -1
	}
}

func (p *pool) isFree(s *server) bool {
	at := p.placeOf(s)
	return at != nil && at.index >= 0
}

func (p *pool) placeOf(s *server) *place {
	for _, at := range s.places {
		if at.pool == p {
			return at
		}
	}
	return nil
}

// pick returns a free server that is not excluded, starting at a random one. It
// looks at no more servers than can be excluded, plus one.
func (p *pool) pick(random uint64, exclude []string, taken []*server) *server {
	n := len(p.free)
	if n == 0 {
		return nil
	}
	start := int(random % uint64(n))
	for i := range min(n, len(exclude)+len(taken)+1) {
		s := p.free[(start+i)%n].server
		if !slices.Contains(exclude, s.name) && !slices.Contains(taken, s) {
			return s
		}
	}
	return nil
}

// betweenTokens returns the time between tokens measured on a server, or the
// pool's median where there is no measurement.
func (p *pool) betweenTokens(s *server) float64 {
	if at := p.placeOf(s); at != nil && at.speed.samples >= minSamples {
		return at.speed.millis
	}
	return p.speeds.median()
}

// slowness returns how many times slower than the pool's median a server is.
func (p *pool) slowness(s *server) float64 {
	at := p.placeOf(s)
	median := p.speeds.median()
	if at == nil || at.speed.samples < minSamples || median == 0 {
		return 1
	}
	return min(max(at.speed.millis/median, 0.5), 16)
}

// Speeds are counted in buckets of 10% from 0.1 ms to 18 s, so that the median is
// found in constant time.
const (
	speedBuckets = 128
	speedFloor   = 0.1
	speedRatio   = 1.1
)

type speeds struct {
	counts [speedBuckets]int32
	total  int32
	cached float64
}

// speed is a running mean of the time between tokens.
type speed struct {
	millis  float64
	samples int
	bucket  int // plus one; 0 if not counted
	slow    bool
	probeAt clock.Millis
	backoff clock.Millis
}

func (s *speeds) set(v *speed) {
	s.remove(v)
	b := int(math.Round(math.Log(max(v.millis, speedFloor)/speedFloor) / math.Log(speedRatio)))
	v.bucket = min(b, speedBuckets-1) + 1
	s.counts[v.bucket-1]++
	s.total++
	s.cached = s.find()
}

func (s *speeds) remove(v *speed) {
	if v.bucket == 0 {
		return
	}
	s.counts[v.bucket-1]--
	s.total--
	v.bucket = 0
	s.cached = s.find()
}

// median returns the middle of the median's bucket, or 0 without measurements.
func (s *speeds) median() float64 { return s.cached }

func (s *speeds) find() float64 {
	sum := int32(0)
	for b, n := range s.counts {
		sum += n
		if n > 0 && sum*2 >= s.total {
			return speedFloor * math.Pow(speedRatio, float64(b))
		}
	}
	return 0
}
