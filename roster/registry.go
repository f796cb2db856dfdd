package roster

import (
	"cmp"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

// goneRetention is how long a gone server is remembered, so that a delayed announcement
// from it is recognized as stale.
const goneRetention = 60 * clock.Second

// orderRetention is how long the newest announcement of a server keeps older ones out. Delayed
// announcements arrive sooner. If the server's own ones are still older after that time, the
// newest has come from another writer.
const orderRetention = 60 * clock.Second

// lateHeartbeatTime is how long heartbeats of a server are ignored whose departure was announced to a
// registry that did not know it. The departure does not tell the run, so that a heartbeat that was sent
// before it and arrives late could not be told from that of a new run.
const lateHeartbeatTime = 10 * clock.Second

const (
	// SilentRetention is how long a silent server is remembered before it counts as gone. Until then it may
	// have lost only its connection to control.
	SilentRetention = 1 * clock.Hour
	// MaxServers bounds the servers that a registry knows, without departures, which it forgets after
	// goneRetention.
	MaxServers = 50_000
)

// Record is the registry's knowledge of a server.
type Record struct {
	Announcement
	// Silent is set when the server has missed heartbeats. It may still serve requests
	// and have lost only its connection to control.
	Silent bool
}

// registration is a server's record with the number of its newest change.
type registration struct {
	record       Record
	updatedAt    clock.Millis // time of the newest announcement or of the departure
	runKnownAt   clock.Millis // time of the first announcement or departure of the record's run
	changeNumber uint64       // number of the record's newest change
	// departedUnknown is set if the server has departed and this registry did not know it before.
	departedUnknown bool
}

// AcceptResult is the result of processing an announcement.
type AcceptResult uint8

// The possible results.
const (
	// Stale means that the announcement or departure was ignored, because the registry
	// already holds the same or newer information.
	Stale AcceptResult = iota
	// Refreshed means that the announcement only shows that the server is still alive.
	Refreshed
	// Changed means that the change must be reported to the entries.
	Changed
	// Full means that the registry knows MaxServers servers already.
	Full
)

// Registry holds the newest announcement of each server. It numbers the changes of all
// servers in one sequence. It is not safe for concurrent use.
type Registry struct {
	silentAfter  clock.Millis
	servers      map[string]*registration
	byAddress    map[string][]*registration // servers by their address; they may be gone
	changeNumber uint64
}

// New returns an empty registry that marks a server silent after the given time
// without an announcement.
func New(silentAfter clock.Millis) *Registry {
	return &Registry{silentAfter: silentAfter, servers: map[string]*registration{}, byAddress: map[string][]*registration{}}
}

// LastChangeNumber returns the number of the newest change, 0 if there is none.
func (r *Registry) LastChangeNumber() uint64 { return r.changeNumber }

// NewestChangeOf returns the number of the newest change of the given servers, 0 if none of
// them is known.
func (r *Registry) NewestChangeOf(servers []string) uint64 {
	newest := uint64(0)
	for _, server := range servers {
		if known, ok := r.servers[server]; ok {
			newest = max(newest, known.changeNumber)
		}
	}
	return newest
}

// Accept processes an announcement. If two servers announce the same address, the one
// that started later replaces the other.
func (r *Registry) Accept(now clock.Millis, a Announcement) AcceptResult {
	known, ok := r.servers[a.Server]
	if ok && known.outranks(now, a) || a.State != Gone && r.superseded(now, a) {
		return Stale
	}
	if !ok && len(r.servers) >= MaxServers {
		return Full
	}
	if !ok {
		known = &registration{}
		r.servers[a.Server] = known
	}
	previous := known.record
	if !ok || previous.StartedAt != a.StartedAt {
		known.runKnownAt = now
	}
	known.record, known.updatedAt, known.departedUnknown = Record{Announcement: a}, now, false
	if previous.Address != a.Address {
		r.removeAddress(previous.Address, known)
		r.byAddress[a.Address] = append(r.byAddress[a.Address], known)
	}
	if ok && !differs(previous, known.record) {
		return Refreshed
	}
	r.assignChangeNumber(known)
	r.markOthersGone(now, a)
	return Changed
}

// outranks reports whether an announcement of the same server must be ignored, because the
// newest one is from a later time.
func (k *registration) outranks(now clock.Millis, a Announcement) bool {
	if now-k.updatedAt >= orderRetention {
		return false
	}
	if k.departedUnknown && now-k.updatedAt < lateHeartbeatTime {
		return true
	}
	return !a.isNewerThan(k.record.Announcement) || returnsWithoutRestart(k.record, a)
}

// returnsWithoutRestart reports whether a gone server announces itself again without
// having restarted, which is not allowed.
func returnsWithoutRestart(known Record, a Announcement) bool {
	return known.State == Gone && a.StartedAt <= known.StartedAt
}

// RecordDeparture marks a server as gone, unless the departure is that of a run before the newest one;
// startedAt is 0 if it does not tell the run. It also records servers that this registry
// does not know: after a change of leader the registry is new, while entries may still
// know and use the server.
func (r *Registry) RecordDeparture(now clock.Millis, server string, startedAt int64) AcceptResult {
	known, ok := r.servers[server]
	if ok && (known.record.State == Gone || startedAt != 0 && startedAt < known.record.StartedAt) {
		return Stale
	}
	if !ok {
		known = &registration{record: Record{Announcement: Announcement{Server: server, StartedAt: startedAt}}, departedUnknown: startedAt == 0, runKnownAt: now}
		r.servers[server] = known
	}
	if startedAt > known.record.StartedAt {
		known.record.StartedAt, known.runKnownAt = startedAt, now
	}
	r.markGone(now, known)
	return Changed
}

// Restore adds the departure of a server that an earlier registry has acknowledged.
func (r *Registry) Restore(now clock.Millis, a Announcement) {
	known := &registration{record: Record{Announcement: a}, updatedAt: now, runKnownAt: now, departedUnknown: a.State == Gone && a.StartedAt == 0}
	r.servers[a.Server] = known
	r.byAddress[a.Address] = append(r.byAddress[a.Address], known)
	r.assignChangeNumber(known)
}

// Announcement returns the newest announcement of a server, or its departure.
func (r *Registry) Announcement(server string) (Announcement, bool) {
	known, ok := r.servers[server]
	if !ok {
		return Announcement{}, false
	}
	return known.record.Announcement, true
}

// markGone marks a server as gone and records the change.
func (r *Registry) markGone(now clock.Millis, known *registration) {
	known.record.Announcement = known.record.WithState(Gone)
	known.record.Silent, known.updatedAt = false, now
	r.assignChangeNumber(known)
}

// superseded reports whether another server that started later has the same address.
func (r *Registry) superseded(now clock.Millis, a Announcement) bool {
	for _, other := range r.byAddress[a.Address] {
		o := other.record.Announcement
		if o.Server != a.Server && o.State != Gone && o.StartedAt > a.StartedAt && now-other.updatedAt < orderRetention {
			return true
		}
	}
	return false
}

// markOthersGone marks all other servers at the announced address as gone, unless the
// announcing server itself is gone.
func (r *Registry) markOthersGone(now clock.Millis, a Announcement) {
	for _, other := range r.byAddress[a.Address] {
		o := other.record.Announcement
		if o.Server != a.Server && o.State != Gone && a.State != Gone {
			r.markGone(now, other)
		}
	}
}

// removeAddress removes a server from those at an address.
func (r *Registry) removeAddress(address string, known *registration) {
	rest := slices.DeleteFunc(r.byAddress[address], func(other *registration) bool { return other == known })
	if len(rest) == 0 {
		delete(r.byAddress, address)
		return
	}
	r.byAddress[address] = rest
}

// assignChangeNumber assigns the next change number to a changed record.
func (r *Registry) assignChangeNumber(known *registration) {
	r.changeNumber++
	known.changeNumber = r.changeNumber
}

// differs reports whether two records differ in a field that entries must know. It
// ignores the sequence number and the remaining times, which change with every heartbeat.
func differs(a, b Record) bool {
	a.Sequence, b.Sequence = 0, 0
	a.WarmupLeft, b.WarmupLeft = 0, 0
	a.LeavesIn, b.LeavesIn = 0, 0
	return a != b
}

// Heartbeat is the newest announcement of a server.
type Heartbeat struct {
	Announcement
	Age         clock.Millis // time since it was received
	RunKnownFor clock.Millis // time since the first announcement of its run was received
}

// Heartbeat returns the newest announcement of a server.
func (r *Registry) Heartbeat(now clock.Millis, server string) (Heartbeat, bool) {
	known, ok := r.servers[server]
	if !ok || known.departedUnknown {
		return Heartbeat{}, false
	}
	return Heartbeat{Announcement: known.record.Announcement, Age: now - known.updatedAt, RunKnownFor: now - known.runKnownAt}, true
}

// Len returns the number of servers that are known, gone ones included.
func (r *Registry) Len() int { return len(r.servers) }

// CheckTimeouts marks servers that have become silent, or gone after SilentRetention, and removes those
// that have been gone for goneRetention. It reports whether there are changes for the entries.
func (r *Registry) CheckTimeouts(now clock.Millis) bool {
	before := r.changeNumber
	for id, known := range r.servers {
		age := now - known.updatedAt
		switch {
		case known.record.State == Gone && age >= goneRetention:
			delete(r.servers, id)
			r.removeAddress(known.record.Address, known)
		case known.record.State != Gone && age >= SilentRetention:
			r.markGone(now, known)
		case known.record.State != Gone && !known.record.Silent && age >= r.silentAfter:
			known.record.Silent = true
			r.assignChangeNumber(known)
		}
	}
	return r.changeNumber != before
}

// ChangedSince returns the records that changed after the change with the given number,
// in the order of their newest changes.
func (r *Registry) ChangedSince(changeNumber uint64) []Record {
	if changeNumber >= r.changeNumber {
		return nil
	}
	var changed []*registration
	for _, known := range r.servers {
		if known.changeNumber > changeNumber {
			changed = append(changed, known)
		}
	}
	slices.SortFunc(changed, func(a, b *registration) int { return cmp.Compare(a.changeNumber, b.changeNumber) })
	records := make([]Record, len(changed))
	for i, known := range changed {
		records[i] = known.record
	}
	return records
}
