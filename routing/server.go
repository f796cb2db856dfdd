package routing

import (
	"slices"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
)

// Bounds of the time for which a server gets no work after a failure. Without
// it a crashed server looks idle and attracts work until it is 3 s silent.
const (
	firstBlock = 500 * clock.Millisecond
	maxBlock   = 4 * clock.Second
)

// server is what the router knows about a server.
type server struct {
	name        string
	incarnation uint64
	slots       int
	usable      bool

	own           int   // running requests of this entry
	byPeer        []int // running requests by peer index
	peers         int   // sum of byPeer
	reported      int   // running and waiting requests in the newest report
	reportedAt    clock.Millis
	hasReport     bool
	history       history // own + peers over time
	pendingTokens int     // prompt tokens of own requests without a first token

	failures     int
	blockedUntil clock.Millis

	cache  cacheState
	places []*place
	free   int // free slots as counted in the pools
}

// known returns the requests that this entry and its peers run on the server.
func (s *server) known() int { return s.own + s.peers }

// load returns the estimated number of requests at the server: the report plus
// what has been sent and minus what has finished since, as far as known here.
func (s *server) load() int {
	if !s.hasReport {
		return s.known()
	}
	unknown := s.reported - s.history.at(s.reportedAt)
	return s.known() + max(0, unknown)
}

func (s *server) setPeer(index, inFlight int) {
	for len(s.byPeer) <= index {
		s.byPeer = append(s.byPeer, 0)
	}
	s.peers += inFlight - s.byPeer[index]
	s.byPeer[index] = inFlight
}

// freeSlots returns how many requests the server can start now.
func (s *server) freeSlots(now clock.Millis) int {
	if !s.usable || now < s.blockedUntil {
		return 0
	}
	return max(0, s.allowedSlots()-s.load())
}

// OnServerChanged implements backend.Observer.
func (r *Router) OnServerChanged(now clock.Millis, in backend.Server) {
	s, ok := r.servers[in.Server()]
	if !ok {
		s = r.addServer(now, in)
	}
	if in.Incarnation() != s.incarnation {
		s.incarnation, s.hasReport = in.Incarnation(), false
		s.cache.restart()
	}
	s.usable, s.slots = in.Usable, in.Slots()
	if at := now - in.LoadAge; !s.hasReport || at > s.reportedAt {
		s.reported, s.reportedAt, s.hasReport = in.Load().Running+in.Load().Waiting, at, true
	}
	r.place(s, in.Pools())
	r.CacheEvents(s.name, in.CacheEvents())
	r.update(now, s)
}

func (r *Router) addServer(now clock.Millis, in backend.Server) *server {
	s := &server{name: in.Server(), incarnation: in.Incarnation()}
	r.servers[s.name] = s
	for _, run := range r.running {
		if run.server == s.name {
			s.own++
		}
	}
	for _, p := range r.peers {
		s.setPeer(p.index, p.inFlight[s.name])
	}
	s.history.add(now, s.known())
	return s
}

// OnServerDropped implements backend.Observer.
func (r *Router) OnServerDropped(name string) {
	s, ok := r.servers[name]
	if !ok {
		return
	}
	r.place(s, nil)
	s.cache.restart()
	r.blocked = slices.DeleteFunc(r.blocked, func(b *server) bool { return b == s })
	delete(r.servers, name)
}

// loadChanged records the known load and updates the pools.
func (r *Router) loadChanged(now clock.Millis, s *server) {
	s.history.add(now, s.known())
	r.update(now, s)
}

// update recomputes the free slots of a server in each of its pools.
func (r *Router) update(now clock.Millis, s *server) {
	free := s.freeSlots(now)
	for _, at := range s.places {
		at.pool.setFree(at, s.free, free)
	}
	s.free = free
}

// recordResult blocks a server that failed, for longer each time in a row. The
// requests that a crash ends together count as one failure.
func (r *Router) recordResult(now clock.Millis, s *server, result Result) {
	if result == Completed {
		s.failures = 0
	}
	if result != Failed {
		return
	}
	if now >= s.blockedUntil {
		r.blocked = append(r.blocked, s)
		s.blockedUntil = now + min(maxBlock, firstBlock<<min(s.failures, 10))
		s.failures++
	}
}

func (r *Router) unblock(now clock.Millis) {
	if len(r.blocked) == 0 {
		return
	}
	r.blocked = slices.DeleteFunc(r.blocked, func(s *server) bool {
		if now < s.blockedUntil {
			return false
		}
		r.update(now, s)
		return true
	})
}

// History keeps the known load of the last seconds, to find out what a lagging
// report already contains.
const (
	historyStep = 250 * clock.Millisecond // changes within a step share an entry
	historySize = 32                      // covers reports up to 8 s old
)

type history struct {
	points []point // oldest first
}

type point struct {
	begin, at clock.Millis
	known     int
}

func (h *history) add(at clock.Millis, known int) {
	if n := len(h.points); n > 0 {
		last := &h.points[n-1]
		at = max(at, last.at)
		if at-last.begin < historyStep {
			last.at, last.known = at, known
			return
		}
	}
	if len(h.points) == historySize {
		h.points = slices.Delete(h.points, 0, 1)
	}
	h.points = append(h.points, point{begin: at, at: at, known: known})
}

// at returns the known load at a time.
func (h *history) at(t clock.Millis) int {
	for i := len(h.points) - 1; i >= 0; i-- {
		if h.points[i].at <= t {
			return h.points[i].known
		}
	}
	if len(h.points) == historySize {
		return h.points[0].known
	}
	return 0
}
