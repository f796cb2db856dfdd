package control

import (
	"cmp"
	"slices"
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/delegation"
)

// watchingEntries holds the latest loads and demands of the entries that watch
// this member, and of the members that watch it for their own entries. It is safe for
// concurrent use.
type watchingEntries struct {
	mu         sync.Mutex
	entries    map[string]entryReport
	loadTotals map[string]ServerLoad // sum of the loads of all entries, by server
}

// entryReport holds what the latest WatchRequest of an entry has reported.
type entryReport struct {
	receivedAt  clock.Millis
	loads       []ServerLoad
	demands     []ServiceDemand
	entryCount  int // number of entries that the report stands for
	delegate    *delegation.Member
	loadsSentAt clock.Millis // when the entry was last sent the loads of the others
}

func newEntryReport(now clock.Millis, watch WatchRequest) entryReport {
	count := 1
	if watch.Delegate != nil {
		count = watch.EntryCount
	}
	return entryReport{
		receivedAt: now, loads: watch.Loads, demands: watch.Demands, entryCount: count,
		delegate: watch.Delegate,
	}
}

// isCurrent reports whether the entry still counts as watching.
func (e entryReport) isCurrent(now clock.Millis) bool { return now-e.receivedAt <= entryTimeout }

// update replaces the report of an entry with that of its watch, and removes the entries
// whose latest watch is too old.
func (w *watchingEntries) update(now clock.Millis, watch WatchRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.entries == nil {
		w.entries, w.loadTotals = map[string]entryReport{}, map[string]ServerLoad{}
	}
	former := w.entries[watch.Entry]
	w.remove(watch.Entry)
	w.removeExpired(now)
	report := newEntryReport(now, watch)
	report.loadsSentAt = former.loadsSentAt
	if watch.LoadsKept {
		report.loads = former.loads // none any more if they have expired; the next report brings all
	}
	w.entries[watch.Entry] = report
	w.addLoads(report.loads, 1)
}

// removeExpired removes the entries that no longer count as watching, and the loads of those that have not
// watched for loadTimeout. The caller holds the lock.
func (w *watchingEntries) removeExpired(now clock.Millis) {
	for name, e := range w.entries {
		switch {
		case !e.isCurrent(now):
			w.remove(name)
		case now-e.receivedAt > loadTimeout:
			w.addLoads(e.loads, -1)
			e.loads = nil
			w.entries[name] = e
		}
	}
}

// remove removes an entry, if it is known. The caller holds the lock.
func (w *watchingEntries) remove(name string) {
	w.addLoads(w.entries[name].loads, -1)
	delete(w.entries, name)
}

// takeLoads reports whether the entry is to be sent loads now, and records that. There are
// otherLoads of them beside those that the entries here have reported.
func (w *watchingEntries) takeLoads(now clock.Millis, entry string, otherLoads int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.entries[entry]
	if ok && e.loadsSentAt > 0 && now-e.loadsSentAt < loadsInterval(max(otherLoads, len(w.loadTotals))) {
		return false
	}
	e.loadsSentAt = now
	if ok {
		w.entries[entry] = e
	}
	return true
}

// addLoads adds loads to the totals (sign 1) or subtracts them (sign -1). The
// caller holds the lock.
func (w *watchingEntries) addLoads(loads []ServerLoad, sign int) {
	for _, l := range loads {
		total := w.loadTotals[l.Server].plus(l, sign)
		if total.Requests == 0 && total.Proven == 0 {
			delete(w.loadTotals, l.Server)
			continue
		}
		w.loadTotals[l.Server] = total
	}
}

// plus returns the load with another load of the same server added (sign 1) or subtracted
// (sign -1).
func (l ServerLoad) plus(other ServerLoad, sign int) ServerLoad {
	l.Server = other.Server
	l.Requests += sign * other.Requests
	l.PendingPromptTokens += sign * other.PendingPromptTokens
	l.DecodeCost += sign * other.DecodeCost
	l.Proven += sign * other.Proven
	return l
}

// loadsExcept returns the total loads of all entries other than the given one.
func (w *watchingEntries) loadsExcept(now clock.Millis, entry string) []ServerLoad {
	w.mu.Lock()
	defer w.mu.Unlock()
	// Without watches, nothing else removes the entries of a member that entries have left.
	w.removeExpired(now)
	own := map[string]ServerLoad{}
	for _, l := range w.entries[entry].loads {
		own[l.Server] = l
	}
	loads := make([]ServerLoad, 0, len(w.loadTotals))
	for server, total := range w.loadTotals {
		if l, ok := own[server]; ok {
			total = total.plus(l, -1)
		}
		if total.Requests > 0 || total.Proven > 0 {
			loads = append(loads, total)
		}
	}
	return loads
}

// demandsExcept returns the number of entries that watch, including the given
// one, and the total demands of all other entries.
func (w *watchingEntries) demandsExcept(now clock.Millis, entry string) (int, []ServiceDemand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	entries, demands := 0, []ServiceDemand(nil)
	for name, e := range w.entries {
		if !e.isCurrent(now) {
			continue
		}
		entries += e.entryCount
		if name == entry {
			// Without its own services, an entry would not learn that the others' demand has ended.
			demands = append(demands, lo.Map(e.demands, func(d ServiceDemand, _ int) ServiceDemand { return ServiceDemand{Service: d.Service} })...)
			continue
		}
		demands = append(demands, e.demands...)
	}
	return entries, sumServiceDemands(nil, demands)
}

// count returns the number of entries that watch.
func (w *watchingEntries) count(now clock.Millis) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.entries {
		if e.isCurrent(now) {
			n += e.entryCount
		}
	}
	return n
}

// watches returns the number of entries that watch this member themselves.
func (w *watchingEntries) watches(now clock.Millis) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.entries {
		if e.delegate == nil && e.isCurrent(now) {
			n++
		}
	}
	return n
}

// delegates returns the members that watch this one, and this member itself, ordered by
// address.
func (w *watchingEntries) delegates(now clock.Millis, self delegation.Member) []delegation.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	members := []delegation.Member{self}
	for _, e := range w.entries {
		if e.delegate != nil && e.isCurrent(now) {
			members = append(members, *e.delegate)
		}
	}
	slices.SortFunc(members, func(a, b delegation.Member) int { return cmp.Compare(a.Address, b.Address) })
	return members
}

// sumLoads returns the sums of two lists of loads, one element for each server.
func sumLoads(a, b []ServerLoad) []ServerLoad {
	if len(a) == 0 {
		return b
	}
	totals := make(map[string]ServerLoad, len(a)+len(b))
	for _, l := range a {
		totals[l.Server] = totals[l.Server].plus(l, 1)
	}
	for _, l := range b {
		totals[l.Server] = totals[l.Server].plus(l, 1)
	}
	return lo.Values(totals)
}

// sumServiceDemands returns the sums of two lists of demands, one element for each service.
func sumServiceDemands(a, b []ServiceDemand) []ServiceDemand {
	totals := map[string]ServiceDemand{}
	for _, d := range append(slices.Clone(a), b...) {
		sum := totals[d.Service]
		sum.Service = d.Service
		sum.LongPromptTokens += d.LongPromptTokens
		sum.ShortPromptTokens += d.ShortPromptTokens
		totals[d.Service] = sum
	}
	return lo.Values(totals)
}
