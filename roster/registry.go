package roster

import (
	"cmp"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

// keepGone is how long a server that has left is remembered, so that a delayed
// announcement of it is recognized.
const keepGone = 60 * clock.Second

// Record is a server as the registry knows it.
type Record struct {
	Announcement
	// Silent servers have not announced themselves for a while. They may be cut
	// off from control alone.
	Silent bool
}

type held struct {
	record   Record
	heardAt  clock.Millis
	position uint64 // of the newest change
}

// AcceptResult says what became of an announcement.
type AcceptResult uint8

// The acceptances.
const (
	// Stale announcements are older than what is known.
	Stale AcceptResult = iota
	// Refreshed announcements change nothing but the server's age.
	Refreshed
	// Changed announcements change what entries must know.
	Changed
)

// Registry holds the newest announcement of each server. It has one owner.
type Registry struct {
	silence  clock.Millis
	servers  map[string]*held
	position uint64
}

// New returns an empty registry that marks a server silent after the given time.
func New(silence clock.Millis) *Registry {
	return &Registry{silence: silence, servers: map[string]*held{}}
}

// Position returns the position of the newest change.
func (r *Registry) Position() uint64 { return r.position }

// Accept takes an announcement. Of two servers at one address the one that
// started later is there.
func (r *Registry) Accept(now clock.Millis, a Announcement) AcceptResult {
	known, ok := r.servers[a.Server]
	if ok && (!a.follows(known.record.Announcement) || returns(known.record, a)) {
		return Stale
	}
	if a.State != Gone && r.superseded(a) {
		return Stale
	}
	if !ok {
		known = &held{}
		r.servers[a.Server] = known
	}
	former := known.record
	known.record, known.heardAt = Record{Announcement: a}, now
	if ok && !differs(former, known.record) {
		return Refreshed
	}
	r.change(known)
	r.evict(now, a)
	return Changed
}

// returns reports whether an announcement would bring back a server that has
// left. Only a new start does.
func returns(known Record, a Announcement) bool {
	return known.State == Gone && a.StartedAt <= known.StartedAt
}

// RecordDeparture takes the word of a server that it goes. Entries may know a server that
// this registry, which may be new, has not heard of.
func (r *Registry) RecordDeparture(now clock.Millis, server string) AcceptResult {
	known, ok := r.servers[server]
	if ok && known.record.State == Gone {
		return Stale
	}
	if !ok {
		known = &held{record: Record{Announcement: Announcement{Server: server}}}
		r.servers[server] = known
	}
	r.end(now, known)
	return Changed
}

func (r *Registry) end(now clock.Millis, known *held) {
	known.record.Announcement = known.record.WithState(Gone)
	known.record.Silent, known.heardAt = false, now
	r.change(known)
}

// superseded reports whether a server that started later has the address.
func (r *Registry) superseded(a Announcement) bool {
	for _, other := range r.servers {
		o := other.record.Announcement
		if o.Server != a.Server && o.Address == a.Address && o.State != Gone && o.StartedAt > a.StartedAt {
			return true
		}
	}
	return false
}

// evict ends the other servers that were known at the address.
func (r *Registry) evict(now clock.Millis, a Announcement) {
	for _, other := range r.servers {
		o := other.record.Announcement
		if o.Server != a.Server && o.Address == a.Address && o.State != Gone && a.State != Gone {
			r.end(now, other)
		}
	}
}

func (r *Registry) change(known *held) {
	r.position++
	known.position = r.position
}

func differs(a, b Record) bool {
	a.Sequence, b.Sequence = 0, 0
	a.WarmupLeft, b.WarmupLeft = 0, 0
	return a != b
}

// Expire marks silent servers and forgets those that have left long ago. It
// reports whether entries have something to learn.
func (r *Registry) Expire(now clock.Millis) bool {
	before := r.position
	for id, known := range r.servers {
		age := now - known.heardAt
		switch {
		case known.record.State == Gone && age >= keepGone:
			delete(r.servers, id)
		case known.record.State != Gone && !known.record.Silent && age >= r.silence:
			known.record.Silent = true
			r.change(known)
		}
	}
	return r.position != before
}

// ChangedSince returns the servers that have changed after a position, oldest first.
func (r *Registry) ChangedSince(position uint64) []Record {
	var changed []*held
	for _, known := range r.servers {
		if known.position > position {
			changed = append(changed, known)
		}
	}
	slices.SortFunc(changed, func(a, b *held) int { return cmp.Compare(a.position, b.position) })
	records := make([]Record, len(changed))
	for i, known := range changed {
		records[i] = known.record
	}
	return records
}
