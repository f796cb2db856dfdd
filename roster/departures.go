package roster

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// departureRetention is how long a departure is kept. Announcements from before it arrive sooner.
	departureRetention = 60 * clock.Second
	// maxDepartures bounds the departures that are kept; the oldest ones are dropped first.
	maxDepartures = 4096
)

// Departure is the last announcement of a run of a server that leaves or has left.
type Departure struct {
	Announcement
	At clock.Millis // time of day when it was proposed
}

// Departures are the acknowledged departures of servers. They are replicated, so that a departure holds
// although all processes were started again. The value is immutable and deterministic.
type Departures struct {
	byServer map[string]Departure
}

// With returns the departures with further ones. Each replaces an earlier one of its server, and those
// that have been kept for long are dropped.
func (d Departures) With(added ...Departure) Departures {
	next := Departures{byServer: maps.Clone(d.byServer)}
	if next.byServer == nil {
		next.byServer = map[string]Departure{}
	}
	newest := clock.Millis(0)
	for _, a := range added {
		next.byServer[a.Server] = a
		newest = max(newest, a.At)
	}
	kept := lo.Filter(next.All(), func(a Departure, _ int) bool { return newest-a.At < departureRetention })
	kept = kept[max(len(kept)-maxDepartures, 0):]
	return Departures{byServer: lo.SliceToMap(kept, func(a Departure) (string, Departure) { return a.Server, a })}
}

// All returns the departures, oldest first.
func (d Departures) All() []Departure {
	all := lo.Values(d.byServer)
	slices.SortFunc(all, func(a, b Departure) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Server, b.Server)) })
	return all
}

// Has reports whether a departure is known: that of the same run, in the same state.
func (d Departures) Has(a Announcement) bool {
	known, ok := d.byServer[a.Server]
	return ok && known.StartedAt == a.StartedAt && known.State == a.State
}
