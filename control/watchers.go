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
	loadTotals map[string]ServerLoad // sum of the loads of all entries, by server
}

// entryReport holds the loads and demands in the latest WatchRequest of an entry.
type entryReport struct {
	receivedAt clock.Millis
	loads      []ServerLoad
	demands    []ServiceDemand
}

// update replaces the loads and demands of an entry with those of its watch, and
// removes the entries whose latest watch is too old.
func (w *watchingEntries) update(now clock.Millis, watch WatchRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entries == nil {
		w.entries, w.loadTotals = map[string]entryReport{}, map[string]ServerLoad{}
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
func (w *watchingEntries) addLoads(loads []ServerLoad, sign int) {
	for _, l := range loads {
		total := w.loadTotals[l.Server]
		total.Server = l.Server
		total.Requests += sign * l.Requests
		total.PendingPromptTokens += sign * l.PendingPromptTokens
		total.DecodeCost += sign * l.DecodeCost
		if total.Requests == 0 {
			delete(w.loadTotals, l.Server)
			continue
		}
		w.loadTotals[l.Server] = total
	}
}

// totalsExcept returns the number of entries that watch, including the given
// one, and the total loads and demands of all other entries.
func (w *watchingEntries) totalsExcept(now clock.Millis, entry string) (int, []ServerLoad, []ServiceDemand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ownLoads := map[string]ServerLoad{}
	for _, l := range w.entries[entry].loads {
		ownLoads[l.Server] = l
	}
	loads := make([]ServerLoad, 0, len(w.loadTotals))
	for server, total := range w.loadTotals {
		total.Requests -= ownLoads[server].Requests
		total.PendingPromptTokens -= ownLoads[server].PendingPromptTokens
		total.DecodeCost -= ownLoads[server].DecodeCost
		if total.Requests > 0 {
			loads = append(loads, total)
		}
	}
	entries, demandTotals := 0, map[string]ServiceDemand{}
	for name, e := range w.entries {
		if now-e.receivedAt > entryTimeout {
			continue
		}
		entries++
		for _, d := range e.demands {
			sum := demandTotals[d.Service]
			if name != entry {
				sum.LongPromptTokens += d.LongPromptTokens
				sum.ShortPromptTokens += d.ShortPromptTokens
			}
			sum.Service = d.Service
			demandTotals[d.Service] = sum
		}
	}
	return entries, loads, lo.Values(demandTotals)
}
