package slot

import (
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// ServerState describes how an entry uses a server.
type ServerState struct {
	Server       string
	Owner        string
	Mode         Mode
	Used         int // requests of this entry
	UnusedOffers int // offers that no request of this entry uses yet
	Free         int // slots to hand out; only of this entry's own servers
}

// State describes all servers, in order of their names.
func (t *Table) State(now clock.Millis) []ServerState {
	return lo.Map(sortedNames(t.servers), func(name string, _ int) ServerState {
		s := t.servers[name]
		state := ServerState{Server: name, Owner: s.owner, Mode: t.Mode(now, name), Used: s.used}
		state.UnusedOffers = lo.CountBy(t.held, func(h held) bool { return h.Server == name })
		if s.owner == t.options.Entry {
			state.Free = max(t.free(s), 0)
		}
		return state
	})
}
