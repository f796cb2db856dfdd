package metering

import (
	"slices"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// readingAge is how long the time of day of a sender counts.
	readingAge = 3 * clock.Second
	// settleTime is how long a leader collects times of day before it tells one.
	settleTime = 1 * clock.Second
)

// Timeline estimates Unix time from the times of day of many machines: the median of their differences
// to the monotonic clock of this process. Clocks of a minority may be wrong by any amount. It is safe
// for concurrent use.
type Timeline struct {
	mu       sync.Mutex
	since    clock.Millis // of the current run of readings
	lastAt   clock.Millis
	readings map[string]reading
}

type reading struct {
	offset clock.Millis // time of day less monotonic time
	at     clock.Millis
}

// Observe records the time of day of a machine.
func (t *Timeline) Observe(now clock.Millis, sender string, wall clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readings == nil || now-t.lastAt > readingAge {
		t.readings, t.since = map[string]reading{}, now
	}
	t.lastAt = now
	t.readings[sender] = reading{offset: wall - now, at: now}
}

// Unix returns the Unix time, and whether enough is known to tell it.
func (t *Timeline) Unix(now clock.Millis) (clock.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var offsets []clock.Millis
	for sender, r := range t.readings {
		if now-r.at > readingAge {
			delete(t.readings, sender)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	if len(offsets) == 0 || now-t.since < settleTime {
		return 0, false
	}
	slices.Sort(offsets)
	return now + offsets[len(offsets)/2], true
}
