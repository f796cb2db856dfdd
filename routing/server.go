package routing

import (
	"slices"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
)

// Bounds of the time for which a server gets no work after a failure. Without this
// block a crashed server looks idle and attracts work until it is no longer usable
// after 3 s without an announcement.
const (
	minBlockTime = 500 * clock.Millisecond
	maxBlockTime = 4 * clock.Second
)

// server is the router's state of a backend server.
type server struct {
	name        string
	incarnation uint64
	slots       int
	usable      bool

	ownRequests      int   // running requests of this entry
	requestsByPeer   []int // running requests of each peer, by peerLoad.index
	peerRequests     int   // sum of requestsByPeer
	reportedRequests int   // running and waiting requests in the newest load report
	reportedAt       clock.Millis
	hasReport        bool
	requestHistory   requestHistory // knownRequests over time
	pendingTokens    int            // uncached prompt tokens of this entry's requests without a first token

	consecutiveFailures int // blocks since the last success
	blockedUntil        clock.Millis

	cache        cacheState
	memberships  []*poolMembership
	countedSlots int // free slots as last counted in the pools
}

// knownRequests returns the number of requests that this entry and its peers run on
// the server.
func (s *server) knownRequests() int { return s.ownRequests + s.peerRequests }

// load returns the estimated number of requests at the server: the newest report,
// corrected by the requests that this entry and its peers are known to have started
// and finished since then.
func (s *server) load() int {
	if !s.hasReport {
		return s.knownRequests()
	}
	otherRequests := s.reportedRequests - s.requestHistory.at(s.reportedAt)
	return s.knownRequests() + max(0, otherRequests)
}

func (s *server) setPeerLoad(index, inFlight int) {
	for len(s.requestsByPeer) <= index {
		s.requestsByPeer = append(s.requestsByPeer, 0)
	}
	s.peerRequests += inFlight - s.requestsByPeer[index]
	s.requestsByPeer[index] = inFlight
}

// freeSlots returns the number of requests that the server can start now.
func (s *server) freeSlots(now clock.Millis) int {
	if !s.usable || now < s.blockedUntil {
		return 0
	}
	return max(0, s.allowedSlots()-s.load())
}

// OnServerChanged implements backend.Observer.
func (r *Router) OnServerChanged(now clock.Millis, current backend.Server) {
	s, ok := r.servers[current.Server()]
	if !ok {
		s = r.addServer(now, current)
	}
	if current.Incarnation() != s.incarnation {
		s.incarnation, s.hasReport = current.Incarnation(), false
		s.cache.restart()
	}
	s.usable, s.slots = current.Usable, current.Slots()
	if at := now - current.LoadAge; !s.hasReport || at > s.reportedAt {
		s.reportedRequests, s.reportedAt, s.hasReport = current.Load().Running+current.Load().Waiting, at, true
	}
	r.setPools(s, current.Pools())
	r.CacheEvents(s.name, current.CacheEvents())
	r.updateFreeSlots(now, s)
}

func (r *Router) addServer(now clock.Millis, current backend.Server) *server {
	s := &server{name: current.Server(), incarnation: current.Incarnation()}
	r.servers[s.name] = s
	for _, run := range r.runningRequest {
		if run.server == s.name {
			s.ownRequests++
		}
	}
	for _, p := range r.peers {
		s.setPeerLoad(p.index, p.inFlight[s.name])
	}
	s.requestHistory.add(now, s.knownRequests())
	return s
}

// OnServerDropped implements backend.Observer.
func (r *Router) OnServerDropped(name string) {
	s, ok := r.servers[name]
	if !ok {
		return
	}
	r.setPools(s, nil)
	s.cache.restart()
	r.blockedServers = slices.DeleteFunc(r.blockedServers, func(b *server) bool { return b == s })
	delete(r.servers, name)
}

// loadChanged records the server's known requests in its history and updates its
// free slots.
func (r *Router) loadChanged(now clock.Millis, s *server) {
	s.requestHistory.add(now, s.knownRequests())
	r.updateFreeSlots(now, s)
}

// updateFreeSlots recomputes the free slots of a server in each of its pools.
func (r *Router) updateFreeSlots(now clock.Millis, s *server) {
	countedSlots := s.freeSlots(now)
	for _, m := range s.memberships {
		m.pool.setFree(m, s.countedSlots, countedSlots)
	}
	s.countedSlots = countedSlots
}

// recordResult blocks a server after a failed request. The time doubles with each
// consecutive failure. Failures while the server is blocked are ignored, so that all
// requests that one crash ends count as one failure.
func (r *Router) recordResult(now clock.Millis, s *server, result Result) {
	if result == Completed {
		s.consecutiveFailures = 0
	}
	if result != Failed {
		return
	}
	if now >= s.blockedUntil {
		r.blockedServers = append(r.blockedServers, s)
		s.blockedUntil = now + min(maxBlockTime, minBlockTime<<min(s.consecutiveFailures, 10))
		s.consecutiveFailures++
	}
}

// unblock ends the blocks of servers that are due.
func (r *Router) unblock(now clock.Millis) {
	if len(r.blockedServers) == 0 {
		return
	}
	r.blockedServers = slices.DeleteFunc(r.blockedServers, func(s *server) bool {
		if now < s.blockedUntil {
			return false
		}
		r.updateFreeSlots(now, s)
		return true
	})
}

// Bounds of the history of known requests.
const (
	historyStep = 250 * clock.Millisecond // changes within a step share one requestCount
	historySize = 32                      // maximum number of counts; covers reports up to 8 s old
)

// requestHistory stores the number of known requests at a server during the last seconds,
// to determine which of them an old load report already includes.
type requestHistory struct {
	counts []requestCount // oldest first
}

// requestCount is the number of known requests after the last of a series of changes. The
// first change was made at begin and the last one at at, less than historyStep later.
type requestCount struct {
	begin, at clock.Millis
	requests  int
}

// add records the number of known requests after a change. A change less than historyStep
// after the first one of the newest requestCount is merged into that requestCount.
func (h *requestHistory) add(at clock.Millis, requests int) {
	if n := len(h.counts); n > 0 {
		last := &h.counts[n-1]
		at = max(at, last.at)
		if at-last.begin < historyStep {
			last.at, last.requests = at, requests
			return
		}
	}
	if len(h.counts) == historySize {
		h.counts = slices.Delete(h.counts, 0, 1)
	}
	h.counts = append(h.counts, requestCount{begin: at, at: at, requests: requests})
}

// at returns the number of known requests at time t. If t is before the oldest count,
// it returns the oldest count if the history is full, and otherwise 0.
func (h *requestHistory) at(t clock.Millis) int {
	for i := len(h.counts) - 1; i >= 0; i-- {
		if h.counts[i].at <= t {
			return h.counts[i].requests
		}
	}
	if len(h.counts) == historySize {
		return h.counts[0].requests
	}
	return 0
}
