package routing

import (
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

// CanStart reports whether a server is usable and not blocked after a failure.
func (r *Router) CanStart(now clock.Millis, name string) bool {
	r.advance(now)
	s, ok := r.servers[name]
	return ok && s.usable && now >= s.blockedUntil
}

// ChooseAmong returns the best of the given servers for a request. The caller
// knows that each has a free slot, so the counted load, which may lag, does not
// exclude any.
func (r *Router) ChooseAmong(now clock.Millis, request Request, names []string) (Choice, bool) {
	r.advance(now)
	p, ok := r.pools[request.Pool]
	if !ok {
		return Choice{}, false
	}
	var best *server
	least := clock.Millis(0)
	for _, name := range names {
		s, ok := r.servers[name]
		if !ok || !s.usable || now < s.blockedUntil || slices.Contains(request.Exclude, name) || p.placeOf(s) == nil {
			continue
		}
		if first := r.predict(p, s, request); best == nil || first < least {
			best, least = s, first
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return r.choice(now, p, best, request), true
}
