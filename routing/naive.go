package routing

import (
	"slices"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
)

// NaiveRouter chooses servers round-robin and knows only its own running requests.
// It has the main methods of Router and is the baseline for measurements.
type NaiveRouter struct {
	registry        *backend.Registry
	nextIndex       map[string]int    // by pool
	inFlight        map[string]int    // running requests by server
	serverByRequest map[string]string // by request ID
}

// NewNaive returns a round-robin router.
func NewNaive(options Options) *NaiveRouter {
	return &NaiveRouter{
		registry:        options.Registry,
		nextIndex:       map[string]int{},
		inFlight:        map[string]int{},
		serverByRequest: map[string]string{},
	}
}

func (r *NaiveRouter) pool(now clock.Millis, name string) []backend.Server {
	servers := r.registry.Pool(now, name)
	slices.SortFunc(servers, func(a, b backend.Server) int {
		if a.Server() < b.Server() {
			return -1
		}
		return 1
	})
	return servers
}

// FreeSlots returns the number of slots of a pool that this entry does not use
// itself.
func (r *NaiveRouter) FreeSlots(now clock.Millis, pool string) int {
	free := 0
	for _, s := range r.registry.Pool(now, pool) {
		free += max(0, s.Slots()-r.inFlight[s.Server()])
	}
	return free
}

// Choose returns the next server with a free slot in round-robin order, or false if
// there is none.
func (r *NaiveRouter) Choose(now clock.Millis, request Request) (Choice, bool) {
	servers := r.pool(now, request.Pool)
	for i := range servers {
		s := servers[(r.nextIndex[request.Pool]+i)%len(servers)]
		if r.inFlight[s.Server()] >= s.Slots() || slices.Contains(request.Exclude, s.Server()) {
			continue
		}
		r.nextIndex[request.Pool] = (r.nextIndex[request.Pool] + i + 1) % len(servers)
		return Choice{Server: s, Priority: priority(request.Tier)}, true
	}
	return Choice{}, false
}

// RecordSent records that a request went to a server.
func (r *NaiveRouter) RecordSent(now clock.Millis, request Request, server string) {
	r.RecordFinished(now, request.ID, Cancelled)
	r.serverByRequest[request.ID] = server
	r.inFlight[server]++
}

// RecordProgress does nothing: NaiveRouter does not measure token times.
func (r *NaiveRouter) RecordProgress(clock.Millis, string, int) {}

// RecordFinished records the end of a request and releases its slot.
func (r *NaiveRouter) RecordFinished(_ clock.Millis, id string, _ Result) {
	server, ok := r.serverByRequest[id]
	if !ok {
		return
	}
	delete(r.serverByRequest, id)
	r.inFlight[server]--
	if r.inFlight[server] == 0 {
		delete(r.inFlight, server)
	}
}

// RecordPeerLoad does nothing: NaiveRouter ignores the load of other entries.
func (r *NaiveRouter) RecordPeerLoad(clock.Millis, string, map[string]int, clock.Millis) {}

// CacheEvents does nothing: NaiveRouter ignores prefix caches.
func (r *NaiveRouter) CacheEvents(string, []backend.CacheEvent) {}

// ExpectedTokens returns the same expected length for every class, and at least
// produced.
func (r *NaiveRouter) ExpectedTokens(_ string, produced int) float64 {
	return max(defaultLength, float64(produced))
}
