package control

import (
	"slices"
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// recordHolders is what an entry knows of the processes that hold its records of streams. It is safe for
// concurrent use.
type recordHolders struct {
	mu        sync.Mutex
	byAddress map[string]recordHolder
	restarted []string // addresses of holders that were started again and were not told the records since
}

// recordHolder is a process that has answered a message with records.
type recordHolder struct {
	run     string // identifies the process; "" if it does not tell
	heardAt clock.Millis
}

func newRecordHolders() *recordHolders {
	return &recordHolders{byAddress: map[string]recordHolder{}}
}

// heard records the answer of a holder.
func (h *recordHolders) heard(now clock.Millis, address, run string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.byAddress[address]
	if ok && known.run != run && !slices.Contains(h.restarted, address) {
		h.restarted = append(h.restarted, address)
	}
	h.byAddress[address] = recordHolder{run: run, heardAt: now}
}

// due returns the holders among the members that have not been heard from lately. It forgets those that
// are no members any more.
func (h *recordHolders) due(now clock.Millis, members []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byAddress = lo.PickByKeys(h.byAddress, members)
	return lo.Keys(lo.PickBy(h.byAddress, func(_ string, known recordHolder) bool { return now-known.heardAt >= holderCheckInterval }))
}

// takeRestarted returns the holders that were started again and have to be told the records.
func (h *recordHolders) takeRestarted() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	restarted := h.restarted
	h.restarted = nil
	return restarted
}
