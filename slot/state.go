package slot

import (
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// ServerState describes a server as one entry sees it.
type ServerState struct {
	Server       string
	Owner        string
	Mode         Mode
	Used         int // running requests of this entry
	UnusedOffers int // offers to this entry that no request uses yet
	Free         int // slots that can be offered; 0 unless this entry owns the server
}

// State returns the state of all servers, sorted by name.
func (t *Table) State(now clock.Millis) []ServerState {
	return lo.Map(sortedKeys(t.servers), func(name string, _ int) ServerState {
		s := t.servers[name]
		state := ServerState{Server: name, Owner: s.owner, Mode: t.Mode(now, name), Used: s.usedSlots}
		state.UnusedOffers = lo.CountBy(t.unusedOffers, func(offer unusedOffer) bool { return offer.Server == name })
		if s.owner == t.options.Entry {
			state.Free = max(t.freeSlots(s), 0)
		}
		return state
	})
}
