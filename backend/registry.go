package backend

import (
	"container/heap"
	"fmt"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// MaxUsableAge is the age from which a server's newest announcement no longer
	// makes it usable. It bounds how long a leaving server can get new work.
	MaxUsableAge = 3 * clock.Second
	// RecordLifetime is the age at which a record is dropped. It is far above the age
	// at which a late announcement could still be accepted, so that an old
	// "serving" cannot follow a forgotten "leaving".
	RecordLifetime = 60 * clock.Second
)

// Acceptance says what became of an announcement.
type Acceptance string

// The acceptances.
const (
	// Accepted means that the announcement is the server's newest.
	Accepted Acceptance = "accepted"
	// Outdated means that the registry already had a newer one.
	Outdated Acceptance = "outdated"
	// Expired means that the announcement is too old to make the server usable.
	Expired Acceptance = "expired"
)

// Server is what the registry knows about a server at one moment.
type Server struct {
	Announcement
	// Age is the age of the newest announcement, never underestimated.
	Age clock.Millis
	// LoadAge is the estimated age of the load report. Unlike Age it assumes that
	// the announcement was sent shortly before it arrived.
	LoadAge clock.Millis
	// Usable reports whether the server may get new work.
	Usable bool
}

// Observer is told about changes, on the goroutine that owns the registry.
type Observer interface {
	// OnServerChanged is called after a new announcement and when a server becomes
	// usable or stops being so.
	OnServerChanged(now clock.Millis, server Server)
	// OnServerDropped is called when the record is dropped.
	OnServerDropped(server string)
}

// Options configure a registry.
type Options struct {
	Entry string
	// Epoch differs between the lives of an entry.
	Epoch uint64
}

// origin names one life of an entry. 32 bits of the epoch keep digests short.
func (o Options) origin() string {
	return fmt.Sprintf("%s/%x", o.Entry, uint32(o.Epoch))
}

// Registry holds the newest announcement of each server. It is not safe for
// concurrent use.
type Registry struct {
	entry    string
	origin   string
	counter  uint64
	records  map[string]*record
	pools    map[string]*pool
	due      dueHeap
	seen     map[string]*progress
	resetAt  clock.Millis
	stops    map[string]bool
	observer Observer
}

// tag identifies an accepted announcement: the entry that accepted it and that
// entry's running count.
type tag struct {
	origin  string
	counter uint64
}

type record struct {
	announcement Announcement
	tag          tag
	staticTag    tag
	heard        clock.Millis // latest time at which the announcement can have been made, on this clock
	measured     clock.Millis // estimated time of the load report
	usable       bool
	due          clock.Millis
	heapIndex    int
	places       []place
}

// New returns an empty registry.
func New(options Options) *Registry {
	r := &Registry{
		entry:   options.Entry,
		origin:  options.origin(),
		records: map[string]*record{},
		pools:   map[string]*pool{},
		seen:    map[string]*progress{},
		stops:   map[string]bool{},
	}
	return r
}

// Observe sets the observer and tells it about every known server.
func (r *Registry) Observe(now clock.Millis, observer Observer) {
	r.observer = observer
	for _, name := range sortedKeys(r.records) {
		observer.OnServerChanged(now, r.records[name].server(now))
	}
}

// Accept records an announcement whose echoed challenge was issued age ago. An
// announcement that the server leaves is recorded at any age.
func (r *Registry) Accept(now clock.Millis, a Announcement, age clock.Millis) Acceptance {
	r.Advance(now)
	if age >= MaxUsableAge && a.state == Serving {
		return Expired
	}
	r.counter++
	t := tag{origin: r.origin, counter: r.counter}
	return r.store(now, record{
		announcement: a,
		tag:          t,
		staticTag:    t,
		heard:        now - age,
		measured:     now - a.load.Age,
	})
}

// store keeps the newer of the incoming and the known announcement. Of two
// copies of one announcement the smaller age is kept, as both are upper bounds.
func (r *Registry) store(now clock.Millis, in record) Acceptance {
	known, ok := r.records[in.announcement.Server()]
	switch {
	case !ok:
		known = &record{heapIndex: -1}
		r.records[in.announcement.Server()] = known
	case known.announcement.newer(in.announcement):
		return Outdated
	case !in.announcement.newer(known.announcement):
		r.rejuvenate(now, known, in)
		return Accepted
	}
	r.replace(known, in)
	r.refresh(now, known)
	r.notify(now, known)
	return Accepted
}

func (r *Registry) rejuvenate(now clock.Millis, known *record, in record) {
	usable := known.usable
	known.heard = max(known.heard, in.heard)
	known.measured = max(known.measured, in.measured)
	r.refresh(now, known)
	if known.usable != usable {
		r.notify(now, known)
	}
}

// replace overwrites the announcement and shares the static part when it is the
// same, so that a thousand announcements hold one copy.
func (r *Registry) replace(known *record, in record) {
	old := known.announcement.static
	known.tag = in.tag
	if old != nil && old.check == in.announcement.static.check {
		in.announcement.static = old
	}
	if old != in.announcement.static {
		known.staticTag = in.staticTag
		r.unindex(known)
	}
	in.announcement.challenge = ""
	known.announcement = in.announcement
	known.heard, known.measured = in.heard, in.measured
}

// refresh recomputes whether a record is usable and when that ends.
func (r *Registry) refresh(now clock.Millis, c *record) {
	serving := c.announcement.state == Serving && !r.stops[c.announcement.Server()]
	c.usable = serving && now-c.heard < MaxUsableAge
	c.due = c.heard + RecordLifetime
	if c.usable {
		c.due = c.heard + MaxUsableAge
	}
	r.schedule(c)
	if !c.usable {
		r.unindex(c)
	} else if c.places == nil {
		r.index(c)
	}
}

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

// Advance takes servers out of use whose announcements have become too old, and
// forgets those that have been silent for long.
func (r *Registry) Advance(now clock.Millis) {
	for len(r.due) > 0 && r.due[0].due <= now {
		c := r.due[0]
		if c.usable {
			r.refresh(now, c)
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

// SetPlannedStops replaces the set of servers that operators have announced to stop.
// They are treated as leaving.
func (r *Registry) SetPlannedStops(now clock.Millis, servers []string) {
	r.Advance(now)
	old := r.stops
	r.stops = lo.SliceToMap(servers, func(s string) (string, bool) { return s, true })
	for _, name := range sortedKeys(lo.Assign(old, r.stops)) {
		c, ok := r.records[name]
		if !ok || old[name] == r.stops[name] {
			continue
		}
		r.refresh(now, c)
		r.notify(now, c)
	}
}

// Server returns what is known about a server, usable or not.
func (r *Registry) Server(now clock.Millis, name string) (Server, bool) {
	r.Advance(now)
	c, ok := r.records[name]
	if !ok {
		return Server{}, false
	}
	return c.server(now), true
}

// Pool returns the usable servers of a pool in no particular order.
func (r *Registry) Pool(now clock.Millis, name string) []Server {
	r.Advance(now)
	p, ok := r.pools[name]
	if !ok {
		return nil
	}
	return lo.Map(p.members, func(c *record, _ int) Server { return c.server(now) })
}

// PoolSize returns the number of usable servers in a pool.
func (r *Registry) PoolSize(now clock.Millis, name string) int {
	r.Advance(now)
	p, ok := r.pools[name]
	if !ok {
		return 0
	}
	return len(p.members)
}

// Pools returns the names of the pools that have a usable server, sorted.
func (r *Registry) Pools(now clock.Millis) []string {
	r.Advance(now)
	return sortedKeys(r.pools)
}

// Servers returns every known server, usable or not, sorted by name.
func (r *Registry) Servers(now clock.Millis) []Server {
	r.Advance(now)
	return lo.Map(sortedKeys(r.records), func(n string, _ int) Server { return r.records[n].server(now) })
}

func (c *record) server(now clock.Millis) Server {
	return Server{
		Announcement: c.announcement,
		Age:          now - c.heard,
		LoadAge:      now - c.measured,
		Usable:       c.usable,
	}
}
