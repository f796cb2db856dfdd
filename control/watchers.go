package control

import (
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// watchingEntries holds the latest loads and demands of the entries that watch
// this member. It is safe for concurrent use.
type watchingEntries struct {
	mu         sync.Mutex
	entries    map[string]entryReport
	loadTotals map[string]Load // sum of the loads of all entries, by server
}

// entryReport is the report in the latest watch of an entry.
type entryReport struct {
	receivedAt clock.Millis // time at which the watch was received
	loads      []Load
	demands    []Demand
}

// update replaces the loads and demands of an entry with those of its watch, and
// removes the entries whose latest watch is too old.
func (w *watchingEntries) update(now clock.Millis, watch Watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entries == nil {
		w.entries, w.loadTotals = map[string]entryReport{}, map[string]Load{}
	}
	for name, e := range w.entries {
		if name == watch.Entry || now-e.receivedAt > entryTimeout {
			w.addLoads(e.loads, -1)
			delete(w.entries, name)
		}
	}
	w.entries[watch.Entry] = entryReport{receivedAt: now, loads: watch.Loads, demands: watch.Demands}
	w.addLoads(watch.Loads, 1)
}

// addLoads adds loads to the totals (sign 1) or subtracts them (sign -1). The
// caller holds the lock.
func (w *watchingEntries) addLoads(loads []Load, sign int) {
	for _, l := range loads {
		total := w.loadTotals[l.Server]
		total.Server = l.Server
		total.Requests += sign * l.Requests
		total.Pending += sign * l.Pending
		total.Decode += sign * l.Decode
		if total.Requests == 0 {
			delete(w.loadTotals, l.Server)
			continue
		}
		w.loadTotals[l.Server] = total
	}
}

// totalsExcept returns the number of entries that watch, including the given
// one, and the total loads and demands of all other entries.
func (w *watchingEntries) totalsExcept(now clock.Millis, entry string) (int, []Load, []Demand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ownLoads := map[string]Load{}
	for _, l := range w.entries[entry].loads {
		ownLoads[l.Server] = l
	}
	loads := make([]Load, 0, len(w.loadTotals))
	for server, total := range w.loadTotals {
		total.Requests -= ownLoads[server].Requests
		total.Pending -= ownLoads[server].Pending
		total.Decode -= ownLoads[server].Decode
		if total.Requests > 0 {
			loads = append(loads, total)
		}
	}
	entries, demandTotals := 0, map[string]Demand{}
	for name, e := range w.entries {
		if now-e.receivedAt > entryTimeout {
			continue
		}
		entries++
		for _, d := range e.demands {
			sum := demandTotals[d.Service]
			if name != entry {
				sum.Long += d.Long
				sum.Short += d.Short
			}
			sum.Service = d.Service
			demandTotals[d.Service] = sum
		}
	}
	return entries, loads, lo.Values(demandTotals)
}
