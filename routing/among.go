package routing

import (
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

// CanStart reports whether a server may start a request: it is usable and not
// blocked after a failure.
func (r *Router) CanStart(now clock.Millis, name string) bool {
	r.applyTimeouts(now)
	s, ok := r.servers[name]
	return ok && s.usable && now >= s.blockedUntil
}

// ChooseAmong returns the best of the given servers for a request, or false if none
// may be chosen. The caller knows that each of them has a free slot, so the load
// counted here, which may be out of date, does not exclude a server.
func (r *Router) ChooseAmong(now clock.Millis, request Request, names []string) (Choice, bool) {
	r.applyTimeouts(now)
	p, ok := r.pools[request.Pool]
	if !ok {
		return Choice{}, false
	}
	var best *server
	shortest := clock.Millis(0)
	for _, name := range names {
		s, ok := r.servers[name]
		if !ok || !s.usable || now < s.blockedUntil || slices.Contains(request.Exclude, name) || p.membershipOf(s) == nil {
			continue
		}
		if predicted := r.predict(p, s, request); best == nil || predicted < shortest {
			best, shortest = s, predicted
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return r.choice(now, p, best, request), true
}
