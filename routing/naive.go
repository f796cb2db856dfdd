package routing

import (
	"slices"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
)

// NaiveRouter chooses servers in turn and knows only its own running requests.
// It has the methods of Router and is the baseline for measurements.
type NaiveRouter struct {
	registry *backend.Registry
	next     map[string]int
	inFlight map[string]int
	running  map[string]string
}

// NewNaive returns a round-robin router.
func NewNaive(options Options) *NaiveRouter {
	return &NaiveRouter{
		registry: options.Registry,
		next:     map[string]int{},
		inFlight: map[string]int{},
		running:  map[string]string{},
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

// FreeSlots returns the slots that this entry does not use itself.
func (r *NaiveRouter) FreeSlots(now clock.Millis, pool string) int {
	free := 0
	for _, s := range r.registry.Pool(now, pool) {
		free += max(0, s.Slots()-r.inFlight[s.Server()])
	}
	return free
}

// Choose returns the next server in turn with a free slot.
func (r *NaiveRouter) Choose(now clock.Millis, request Request) (Choice, bool) {
	servers := r.pool(now, request.Pool)
	for i := range servers {
		s := servers[(r.next[request.Pool]+i)%len(servers)]
		if r.inFlight[s.Server()] >= s.Slots() || slices.Contains(request.Exclude, s.Server()) {
			continue
		}
		r.next[request.Pool] = (r.next[request.Pool] + i + 1) % len(servers)
		return Choice{Server: s, Priority: priority(request.Tier)}, true
	}
	return Choice{}, false
}

// RecordSent records that a request went to a server.
func (r *NaiveRouter) RecordSent(now clock.Millis, request Request, server string) {
	r.RecordFinished(now, request.ID, Cancelled)
	r.running[request.ID] = server
	r.inFlight[server]++
}

// RecordProgress does nothing.
func (r *NaiveRouter) RecordProgress(clock.Millis, string, int) {}

// RecordFinished records the end of a request.
func (r *NaiveRouter) RecordFinished(_ clock.Millis, id string, _ Result) {
	server, ok := r.running[id]
	if !ok {
		return
	}
	delete(r.running, id)
	r.inFlight[server]--
	if r.inFlight[server] == 0 {
		delete(r.inFlight, server)
	}
}

// RecordPeerLoad does nothing.
func (r *NaiveRouter) RecordPeerLoad(clock.Millis, string, map[string]int, clock.Millis) {}

// CacheEvents does nothing.
func (r *NaiveRouter) CacheEvents(string, []backend.CacheEvent) {}

// ExpectedTokens returns the same length for every class.
func (r *NaiveRouter) ExpectedTokens(_ string, produced int) float64 {
	return max(unknownLength, float64(produced))
}
