package backend

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// Version is a version vector: the highest counter seen of each origin. It is
// immutable; the zero value has seen nothing.
type Version struct {
	counters map[string]uint64
}

// NewVersion returns a version with the given counters.
func NewVersion(counters map[string]uint64) Version {
	return Version{counters: maps.Clone(counters)}
}

// Counter returns the highest counter seen of an origin.
func (v Version) Counter(origin string) uint64 { return v.counters[origin] }

// Origins returns the origins in order.
func (v Version) Origins() []string { return sortedKeys(v.counters) }

func (v Version) covers(t tag) bool { return v.counters[t.origin] >= t.counter }

// Demand is the number of waiting requests of one pool and tier at the sender.
type Demand struct {
	Pool    string
	Tier    int
	Waiting int
	Oldest  clock.Millis // how long the oldest has waited
}

// Stream is a running stream at the sender, so that another entry can resume it
// from the engine's buffer.
type Stream struct {
	ID       string
	Server   string
	Position int
}

// Digest is what an entry tells another: the announcements that the other does
// not have yet, and the sender's own load. It is immutable.
type Digest struct {
	entry    string
	version  Version
	records  []entryRecord
	inFlight map[string]int
	waiting  []Demand
	load     loadDelta
}

// entryRecord is a record on its way. A refresh has no static part but the
// checksum of the one that the receiver has.
type entryRecord struct {
	server   string
	tag      tag
	static   *static
	check    uint32
	sequence uint64
	state    State
	age      clock.Millis
	load     Load
	events   []CacheEvent
}

// Entry returns the name of the sender.
func (d Digest) Entry() string { return d.entry }

// Version returns what the receiver has seen after merging.
func (d Digest) Version() Version { return d.version }

// Records returns the number of announcement records.
func (d Digest) Records() int { return len(d.records) }

// InFlight returns the sender's running requests by server, or the changed ones
// if the digest holds a change. The caller must not modify the map.
func (d Digest) InFlight() map[string]int { return d.inFlight }

// Streams returns the streams that the sender reports as started.
func (d Digest) Streams() []Stream {
	return lo.Map(d.load.started, func(s startedStream, _ int) Stream { return s.stream })
}

// WithInFlight returns a copy with all running requests of the sender, for a
// sender that keeps no LoadLog.
func (d Digest) WithInFlight(inFlight map[string]int) Digest {
	d.inFlight = maps.Clone(inFlight)
	return d
}

// WithStreams returns a copy with all running streams of the sender, for a sender
// that keeps no LoadLog.
func (d Digest) WithStreams(streams []Stream) Digest {
	d.load.started = lo.Map(streams, func(s Stream, i int) startedStream {
		return startedStream{stream: s, counter: uint64(i) + 1}
	})
	return d
}

// Waiting returns the sender's waiting requests. The caller must not modify the
// slice.
func (d Digest) Waiting() []Demand { return d.waiting }

// WithWaiting returns a copy with the sender's waiting requests.
func (d Digest) WithWaiting(waiting []Demand) Digest {
	d.waiting = slices.Clone(waiting)
	return d
}

// progress is the highest counter seen of an origin and when it last rose.
type progress struct {
	counter uint64
	at      clock.Millis
}

// Version returns what this registry has seen, for the next pull from any peer.
func (r *Registry) Version() Version {
	counters := lo.MapValues(r.seen, func(p *progress, _ string) uint64 { return p.counter })
	if r.counter > 0 {
		counters[r.origin] = r.counter
	}
	return Version{counters: counters}
}

// Digest returns the records that a peer with version since does not have.
// Serving records that are too old to be used are left out.
func (r *Registry) Digest(now clock.Millis, since Version) Digest {
	r.Advance(now)
	d := Digest{entry: r.entry, version: r.Version()}
	for _, name := range sortedKeys(r.records) {
		c := r.records[name]
		tooOld := c.announcement.state == Serving && now-c.heard >= MaxUsableAge
		if tooOld || since.covers(c.tag) {
			continue
		}
		d.records = append(d.records, c.travel(now, since))
	}
	return d
}

func (c *record) travel(now clock.Millis, since Version) entryRecord {
	a := c.announcement
	load := a.load
	load.Age = now - c.measured
	e := entryRecord{
		server: a.Server(), tag: c.tag, static: a.static, check: a.static.check,
		sequence: a.sequence, state: a.state, age: now - c.heard, load: load, events: a.events,
	}
	if since.covers(c.staticTag) && a.state == Serving {
		e.static = nil
	}
	return e
}

// Merge adds a peer's records. The whole round trip of the pull is added to each
// age, because the digest may have been made at any moment during it.
func (r *Registry) Merge(now clock.Millis, d Digest, roundTrip clock.Millis) {
	r.Advance(now)
	complete := now-roundTrip >= r.resetAt
	for _, e := range d.records {
		if !r.merge(now, e, roundTrip) {
			complete = false
			r.reset(now)
		}
	}
	if complete {
		r.advanceVersion(now, d.version)
	}
	r.pruneVersion(now)
}

// merge stores one record. It reports false for a refresh whose static part is
// not known here.
func (r *Registry) merge(now clock.Millis, e entryRecord, roundTrip clock.Millis) bool {
	in := record{
		tag: e.tag, staticTag: e.tag,
		heard:    now - roundTrip - e.age,
		measured: now - roundTrip - e.load.Age,
	}
	fixed := e.static
	if fixed == nil {
		known, ok := r.records[e.server]
		if !ok {
			return false
		}
		if known.announcement.static.check != e.check {
			return known.announcement.sequence > e.sequence
		}
		fixed, in.staticTag = known.announcement.static, known.staticTag
	}
	in.announcement = Announcement{static: fixed, sequence: e.sequence, state: e.state, load: e.load, events: e.events}
	r.store(now, in)
	return true
}

// reset makes the next pulls ask for everything. Digests of pulls that started
// earlier are merged but do not advance the version.
func (r *Registry) reset(now clock.Millis) {
	r.seen = map[string]*progress{}
	r.resetAt = now + 1
}

func (r *Registry) advanceVersion(now clock.Millis, v Version) {
	for origin, counter := range v.counters {
		if origin == r.origin {
			continue
		}
		p, ok := r.seen[origin]
		if !ok {
			p = &progress{at: now}
			r.seen[origin] = p
		}
		if counter > p.counter {
			p.counter, p.at = counter, now
		}
	}
}

// pruneVersion drops origins that ended long ago; all their records have been
// forgotten by then.
func (r *Registry) pruneVersion(now clock.Millis) {
	maps.DeleteFunc(r.seen, func(_ string, p *progress) bool { return now-p.at > 2*RecordLifetime })
}
