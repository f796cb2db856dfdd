package continuation

import (
	"maps"

	"github.com/galenaslip/galenaslip/clock"
)

// Presence finds out which versions have had no server for Retention, for the leader of a term. Nothing
// is known of the time before, so each version counts as present at the begin of the term.
type Presence struct {
	startedAt clock.Millis
	seenAt    map[Origin]clock.Millis
}

// NewPresence returns the presence of versions in a term that begins now.
func NewPresence(now clock.Millis) *Presence {
	return &Presence{startedAt: now, seenAt: map[Origin]clock.Millis{}}
}

// Update records which versions have servers now, and returns the changes that the table needs:
// versions to remove, and such that have a server and are not in it, because one was announced while
// its version was removed.
func (p *Presence) Update(now clock.Millis, table Table, present []Origin) []Change {
	var changes []Change
	for _, o := range present {
		p.seenAt[o] = now
		if !table.Has(o) {
			changes = append(changes, Change{Origin: o})
		}
	}
	for _, o := range table.Origins() {
		seenAt, ok := p.seenAt[o]
		if !ok {
			seenAt = p.startedAt
		}
		if now-seenAt > Retention {
			changes = append(changes, Change{Origin: o, Remove: true})
		}
	}
	// Those that are not in the table, too: it may have had no room for them.
	maps.DeleteFunc(p.seenAt, func(_ Origin, at clock.Millis) bool { return now-at > Retention })
	return changes
}
