package backend

import (
	"container/heap"
	"fmt"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// MaxUsableAge is the age at which a server's newest announcement no longer makes
	// the server usable. It bounds how long a leaving server can get new work.
	MaxUsableAge = 3 * clock.Second
	// RecordLifetime is the age at which a record is dropped. It is far above the age up
	// to which a late announcement is accepted, so that an old announcement with
	// state "serving" cannot be accepted after the record of "leaving" was dropped.
	RecordLifetime = 60 * clock.Second
)

// Acceptance is the registry's decision on an announcement.
type Acceptance string

// Possible decisions on an announcement.
const (
	// Accepted means that the announcement is the server's newest.
	Accepted Acceptance = "accepted"
	// Outdated means that the registry already has a newer announcement.
	Outdated Acceptance = "outdated"
	// Expired means that the announcement is too old to make the server usable.
	Expired Acceptance = "expired"
)

// Server is the registry's state of a backend server at one point in time.
type Server struct {
	Announcement
	// Age is an upper bound of the age of the newest announcement.
	Age clock.Millis
	// LoadAge is the estimated age of the load report. Unlike Age it assumes that
	// the announcement was sent shortly before it arrived.
	LoadAge clock.Millis
	// Usable reports whether the server may get new work.
	Usable bool
}

// Observer is notified of changes on the goroutine that owns the registry.
type Observer interface {
	// OnServerChanged is called after a new announcement and when a server becomes usable
	// or unusable.
	OnServerChanged(now clock.Millis, server Server)
	// OnServerDropped is called when the record of a server is dropped.
	OnServerDropped(server string)
}

// Options configure a registry.
type Options struct {
	Entry string
	// Epoch must change with each restart of the entry.
	Epoch uint64
}

// origin returns the identifier of one run of the entry process. It contains only 32
// bits of the epoch to keep digests short.
func (o Options) origin() string {
	return fmt.Sprintf("%s/%x", o.Entry, uint32(o.Epoch))
}

// Registry stores the newest announcement of each server. It is not safe for
// concurrent use.
type Registry struct {
	entry            string
	origin           string
	counter          uint64 // counter of the last acceptanceID that this registry assigned
	records          map[string]*record
	pools            map[string]*pool
	due              dueHeap                      // all records, by the time of their next change due to age
	progressByOrigin map[string]*entryRunProgress // by origin, without this registry's own
	resetAt          clock.Millis                 // digests of pulls that started earlier do not advance the version
	plannedStops     map[string]bool              // servers with a planned stop
	observer         Observer
}

// acceptanceID identifies an accepted announcement by the origin of the entry that
// accepted it and by that entry's counter of accepted announcements.
type acceptanceID struct {
	origin  string
	counter uint64
}

// record is the newest announcement of a server with what is derived from it. All
// times are those of this entry's clock.
type record struct {
	announcement             Announcement
	acceptanceID             acceptanceID
	stableFieldsAcceptanceID acceptanceID // acceptanceID of the first announcement with the current stable fields
	announcedAt              clock.Millis // lower bound of the time at which the announcement was created
	loadMeasuredAt           clock.Millis // estimated time at which the load was measured
	usable                   bool
	due                      clock.Millis   // when the record becomes unusable or, if it already is, is dropped
	heapIndex                int            // position in Registry.due; -1 if not in it
	poolPositions            []poolPosition // empty while the record is not usable
}

// New returns an empty registry.
func New(options Options) *Registry {
	r := &Registry{
		entry:            options.Entry,
		origin:           options.origin(),
		records:          map[string]*record{},
		pools:            map[string]*pool{},
		progressByOrigin: map[string]*entryRunProgress{},
		plannedStops:     map[string]bool{},
	}
	return r
}

// Observe sets the observer and calls its OnServerChanged for each known server.
func (r *Registry) Observe(now clock.Millis, observer Observer) {
	r.observer = observer
	for _, name := range sortedKeys(r.records) {
		observer.OnServerChanged(now, r.records[name].server(now))
	}
}

// Accept stores an announcement whose echoed challenge was issued age milliseconds ago.
// An announcement of a leaving server is stored at any age.
func (r *Registry) Accept(now clock.Millis, a Announcement, age clock.Millis) Acceptance {
	r.Expire(now)
	if age >= MaxUsableAge && a.state == Serving {
		return Expired
	}
	r.counter++
	t := acceptanceID{origin: r.origin, counter: r.counter}
	return r.store(now, record{
		announcement:             a,
		acceptanceID:             t,
		stableFieldsAcceptanceID: t,
		announcedAt:              now - age,
		loadMeasuredAt:           now - a.load.Age,
	})
}

// store keeps the newer of the incoming and the known announcement. Of two copies of
// the same announcement it keeps the smaller age, because both ages are upper bounds.
func (r *Registry) store(now clock.Millis, incoming record) Acceptance {
	known, ok := r.records[incoming.announcement.Server()]
	switch {
	case !ok:
		known = &record{heapIndex: -1}
		r.records[incoming.announcement.Server()] = known
	case known.announcement.newerThan(incoming.announcement):
		return Outdated
	case !incoming.announcement.newerThan(known.announcement):
		r.lowerAge(now, known, incoming)
		return Accepted
	}
	r.replace(known, incoming)
	r.updateUsable(now, known)
	r.notify(now, known)
	return Accepted
}

// lowerAge lowers the ages of a record to those of another copy of its announcement.
func (r *Registry) lowerAge(now clock.Millis, known *record, incoming record) {
	usable := known.usable
	known.announcedAt = max(known.announcedAt, incoming.announcedAt)
	known.loadMeasuredAt = max(known.loadMeasuredAt, incoming.loadMeasuredAt)
	r.updateUsable(now, known)
	if known.usable != usable {
		r.notify(now, known)
	}
}

// replace overwrites the announcement of a record. If the stable fields have not changed,
// the existing copy is kept, so that consecutive announcements share one copy.
func (r *Registry) replace(known *record, incoming record) {
	old := known.announcement.stableFields
	known.acceptanceID = incoming.acceptanceID
	if old != nil && old.checksum == incoming.announcement.stableFields.checksum {
		incoming.announcement.stableFields = old
	}
	if old != incoming.announcement.stableFields {
		known.stableFieldsAcceptanceID = incoming.stableFieldsAcceptanceID
		r.unindex(known)
	}
	incoming.announcement.challenge = ""
	known.announcement = incoming.announcement
	known.announcedAt, known.loadMeasuredAt = incoming.announcedAt, incoming.loadMeasuredAt
}

// updateUsable recomputes whether a record is usable and when it changes next.
func (r *Registry) updateUsable(now clock.Millis, c *record) {
	serving := c.announcement.state == Serving && !r.plannedStops[c.announcement.Server()]
	c.usable = serving && now-c.announcedAt < MaxUsableAge
	c.due = c.announcedAt + RecordLifetime
	if c.usable {
		c.due = c.announcedAt + MaxUsableAge
	}
	r.schedule(c)
	if !c.usable {
		r.unindex(c)
	} else if c.poolPositions == nil {
		r.index(c)
	}
}

// schedule updates the position of a record in the heap after its due time changed.
func (r *Registry) schedule(c *record) {
	if c.heapIndex < 0 {
		heap.Push(&r.due, c)
		return
	}
	heap.Fix(&r.due, c.heapIndex)
}

func (r *Registry) notify(now clock.Millis, c *record) {
	if r.observer != nil {
		r.observer.OnServerChanged(now, c.server(now))
	}
}

// Expire marks servers as unusable whose announcements have become older than
// MaxUsableAge, and drops those older than RecordLifetime.
func (r *Registry) Expire(now clock.Millis) {
	for len(r.due) > 0 && r.due[0].due <= now {
		c := r.due[0]
		if c.usable {
			r.updateUsable(now, c)
			r.notify(now, c)
			continue
		}
		heap.Pop(&r.due)
		r.unindex(c)
		delete(r.records, c.announcement.Server())
		if r.observer != nil {
			r.observer.OnServerDropped(c.announcement.Server())
		}
	}
}

// SetPlannedStops replaces the set of servers for which operators have planned a stop.
// These servers are treated as leaving.
func (r *Registry) SetPlannedStops(now clock.Millis, servers []string) {
	r.Expire(now)
	old := r.plannedStops
	r.plannedStops = lo.SliceToMap(servers, func(s string) (string, bool) { return s, true })
	for _, name := range sortedKeys(lo.Assign(old, r.plannedStops)) {
		c, ok := r.records[name]
		if !ok || old[name] == r.plannedStops[name] {
			continue
		}
		r.updateUsable(now, c)
		r.notify(now, c)
	}
}

// Server returns the current state of a server, usable or not, or false if the server
// is unknown.
func (r *Registry) Server(now clock.Millis, name string) (Server, bool) {
	r.Expire(now)
	c, ok := r.records[name]
	if !ok {
		return Server{}, false
	}
	return c.server(now), true
}

// Pool returns the usable servers of a pool in no particular order.
func (r *Registry) Pool(now clock.Millis, name string) []Server {
	r.Expire(now)
	p, ok := r.pools[name]
	if !ok {
		return nil
	}
	return lo.Map(p.members, func(c *record, _ int) Server { return c.server(now) })
}

// PoolSize returns the number of usable servers in a pool.
func (r *Registry) PoolSize(now clock.Millis, name string) int {
	r.Expire(now)
	p, ok := r.pools[name]
	if !ok {
		return 0
	}
	return len(p.members)
}

// Pools returns the names of the pools that have a usable server, sorted.
func (r *Registry) Pools(now clock.Millis) []string {
	r.Expire(now)
	return sortedKeys(r.pools)
}

// Servers returns every known server, usable or not, sorted by name.
func (r *Registry) Servers(now clock.Millis) []Server {
	r.Expire(now)
	return lo.Map(sortedKeys(r.records), func(n string, _ int) Server { return r.records[n].server(now) })
}

func (c *record) server(now clock.Millis) Server {
	return Server{
		Announcement: c.announcement,
		Age:          now - c.announcedAt,
		LoadAge:      now - c.loadMeasuredAt,
		Usable:       c.usable,
	}
}
