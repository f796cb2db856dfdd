package control

import (
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// recordHolders is what an entry knows of the processes that hold its records of streams: which of them lack
// records, because they were started again, joined the group later, or did not take a message. It is safe for
// concurrent use.
type recordHolders struct {
	mu        sync.Mutex
	byAddress map[string]recordHolder
}

// recordHolder is a member of the control group. The times are those of the newest event, never before the
// first one.
type recordHolder struct {
	run      string // identifies the process; "" if it has not answered or does not tell
	heardAt  clock.Millis
	askedAt  clock.Millis // when it was to be asked with an empty message
	behindAt clock.Millis // when it was found to lack records
	toldAt   clock.Millis // when it was to be told all records
}

// never is the time of an event that has not happened.
const never = -holderCheckInterval

// lacksRecords reports whether the holder has to be told all records: it lacks some, and has answered since.
func (h recordHolder) lacksRecords() bool {
	return h.behindAt >= h.toldAt && h.heardAt >= h.behindAt
}

func newRecordHolders() *recordHolders {
	return &recordHolders{byAddress: map[string]recordHolder{}}
}

// setMembers sets the members that may hold records. Those that are new lack the records so far.
func (h *recordHolders) setMembers(now clock.Millis, members []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(members) == len(h.byAddress) && len(lo.PickByKeys(h.byAddress, members)) == len(members) {
		return
	}
	byAddress := lo.PickByKeys(h.byAddress, members)
	for _, address := range members {
		if _, ok := byAddress[address]; !ok {
			byAddress[address] = recordHolder{heardAt: never, askedAt: never, behindAt: now, toldAt: never}
		}
	}
	h.byAddress = byAddress
}

// heard records the answer of a holder. One that answers as another process has lost its records in part.
func (h *recordHolders) heard(now clock.Millis, address, run string) {
	h.update(address, func(known recordHolder) recordHolder {
		if known.run != "" && known.run != run {
			known.behindAt = now
		}
		known.run, known.heardAt = run, now
		return known
	})
}

// missed records that a holder did not take a message with records.
func (h *recordHolders) missed(now clock.Millis, address string) {
	h.update(address, func(known recordHolder) recordHolder {
		known.behindAt = now
		return known
	})
}

// missedByAll records that records were not sent to any holder.
func (h *recordHolders) missedByAll(now clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byAddress = lo.MapValues(h.byAddress, func(known recordHolder, _ string) recordHolder {
		known.behindAt = now
		return known
	})
}

// update changes what is known of a member.
func (h *recordHolders) update(address string, change func(recordHolder) recordHolder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known, ok := h.byAddress[address]; ok {
		h.byAddress[address] = change(known)
	}
}

// takeDue returns the members that are to be asked whether they still are the processes that have taken
// records: those that have not been heard from or asked lately.
func (h *recordHolders) takeDue(now clock.Millis) []string {
	return h.take(func(known recordHolder) bool { return now-max(known.heardAt, known.askedAt) >= holderCheckInterval },
		func(known recordHolder) recordHolder {
			known.askedAt = now
			return known
		})
}

// takeBehind returns the members that have to be told all records now. None is told them again within
// holderCheckInterval.
func (h *recordHolders) takeBehind(now clock.Millis) []string {
	return h.take(func(known recordHolder) bool { return known.lacksRecords() && now-known.toldAt >= holderCheckInterval },
		func(known recordHolder) recordHolder {
			known.toldAt = now
			return known
		})
}

// take returns the members that match, and changes what is known of them.
func (h *recordHolders) take(matches func(recordHolder) bool, change func(recordHolder) recordHolder) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := lo.Keys(lo.PickBy(h.byAddress, func(_ string, known recordHolder) bool { return matches(known) }))
	for _, address := range taken {
		h.byAddress[address] = change(h.byAddress[address])
	}
	return taken
}
