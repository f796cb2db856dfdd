package forecast

import (
	"maps"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// durationWindow is how long a duration counts at least.
	durationWindow = 30 * clock.Second
	// maxDurationRoutes is the number of routes from which those without recent requests are dropped:
	// catalogs rename routes.
	maxDurationRoutes = 4096
)

// Durations tells how long the requests of each route have lasted lately. It is safe for concurrent
// use.
type Durations struct {
	mu     sync.Mutex
	routes map[string]longestDurations
}

// longestDurations are the longest durations of a route in the present window and in the one before.
type longestDurations struct {
	since             clock.Millis // begin of the present window
	present, previous clock.Millis
}

// NewDurations returns durations of no routes.
func NewDurations() *Durations { return &Durations{routes: map[string]longestDurations{}} }

// at returns the durations of a route in the windows of a time. The caller holds the lock.
func (d *Durations) at(now clock.Millis, route string) longestDurations {
	l, ok := d.routes[route]
	switch {
	case !ok || now-l.since >= 2*durationWindow:
		return longestDurations{since: now}
	case now-l.since >= durationWindow:
		return longestDurations{since: l.since + durationWindow, previous: l.present}
	}
	return l
}

// Record records how long a request of a route has lasted.
func (d *Durations) Record(now clock.Millis, route string, lasted clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.at(now, route)
	l.present = max(l.present, lasted)
	d.routes[route] = l
	if len(d.routes) > maxDurationRoutes {
		maps.DeleteFunc(d.routes, func(_ string, l longestDurations) bool { return now-l.since >= 2*durationWindow })
	}
}

// Longest returns the longest duration of a route in the last durationWindow or somewhat longer, or 0
// if no request has ended in that time.
func (d *Durations) Longest(now clock.Millis, route string) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.at(now, route)
	return max(l.present, l.previous)
}
