package control

import (
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// watchers holds the entries that watch, with their newest loads, at the leader.
type watchers struct {
	mu      sync.Mutex
	entries map[string]watching
	totals  map[string]ServerLoad // by server
}

type watching struct {
	at      clock.Millis
	loads   []ServerLoad
	demands []ServiceDemand
}

// take replaces what an entry has under way.
func (w *watchers) take(now clock.Millis, watch WatchRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entries == nil {
		w.entries, w.totals = map[string]watching{}, map[string]ServerLoad{}
	}
	for name, e := range w.entries {
		if name == watch.Entry || now-e.at > entryForgotten {
			w.add(e.loads, -1)
			delete(w.entries, name)
		}
	}
	w.entries[watch.Entry] = watching{at: now, loads: watch.Loads, demands: watch.Demands}
	w.add(watch.Loads, 1)
}

func (w *watchers) add(loads []ServerLoad, sign int) {
	for _, l := range loads {
		total := w.totals[l.Server]
		total.Server = l.Server
		total.Requests += sign * l.Requests
		total.PendingPromptTokens += sign * l.PendingPromptTokens
		total.DecodeCost += sign * l.DecodeCost
		if total.Requests == 0 {
			delete(w.totals, l.Server)
			continue
		}
		w.totals[l.Server] = total
	}
}

// others returns the number of entries, and what all but one have under way and
// demand.
func (w *watchers) others(now clock.Millis, entry string) (int, []ServerLoad, []ServiceDemand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	own := map[string]ServerLoad{}
	for _, l := range w.entries[entry].loads {
		own[l.Server] = l
	}
	loads := make([]ServerLoad, 0, len(w.totals))
	for server, total := range w.totals {
		total.Requests -= own[server].Requests
		total.PendingPromptTokens -= own[server].PendingPromptTokens
		total.DecodeCost -= own[server].DecodeCost
		if total.Requests > 0 {
			loads = append(loads, total)
		}
	}
	entries, sums := 0, map[string]ServiceDemand{}
	for name, e := range w.entries {
		if now-e.at > entryForgotten {
			continue
		}
		entries++
		for _, d := range e.demands {
			sum := sums[d.Service]
			if name != entry {
				sum.LongPromptTokens += d.LongPromptTokens
				sum.ShortPromptTokens += d.ShortPromptTokens
			}
			sum.Service = d.Service
			sums[d.Service] = sum
		}
	}
	return entries, loads, lo.Values(sums)
}
