package backend

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// Version is a version vector: the highest counter seen of each origin, that is, of
// each run of an entry process. It is immutable. The zero value has no origins.
type Version struct {
	counters map[string]uint64
}

// NewVersion returns a version with the given counters.
func NewVersion(counters map[string]uint64) Version {
	return Version{counters: maps.Clone(counters)}
}

// Counter returns the highest counter seen of an origin.
func (v Version) Counter(origin string) uint64 { return v.counters[origin] }

// Origins returns the origins, sorted.
func (v Version) Origins() []string { return sortedKeys(v.counters) }

// covers reports whether the announcement that was accepted as t has been seen.
func (v Version) covers(t acceptanceID) bool { return v.counters[t.origin] >= t.counter }

// Demand is the number of waiting requests of one pool and tier at an entry.
type Demand struct {
	Pool    string
	Tier    int
	Waiting int
	Oldest  clock.Millis // time that the oldest request has waited
}

// Stream is a running stream at an entry. Other entries need it to resume the stream
// from the engine's buffer if that entry is lost.
type Stream struct {
	ID       string
	Server   string
	Position int // position at which the stream starts
}

// Digest is the message from one entry to another. It contains the announcements that
// the receiver does not have yet, and the sender's own load. It is immutable.
type Digest struct {
	entry    string
	version  Version
	records  []digestRecord
	inFlight map[string]int
	waiting  []Demand
	load     loadDelta
	refused  refusedRecords
	// quarantine has what the sender knows of requests that end servers and the receiver does
	// not, and quarantinePosition where the next digest goes on.
	quarantine         quarantine.Report
	quarantinePosition gossip.Position
	// limits and limitsPosition are the same for the limits of servers.
	limits         ratelimit.Report
	limitsPosition gossip.Position
}

// refusedRecords counts the records of a digest that were left out when it was decoded, because
// they describe no usable server.
type refusedRecords struct {
	count int
	cause error // why the first of them was left out
}

func (r *refusedRecords) add(cause error) {
	if r.count == 0 {
		r.cause = cause
	}
	r.count++
}

// digestRecord is a record in a digest. A record whose stableFields is nil is called a
// refresh; its checksum identifies the stable fields that the receiver already has.
type digestRecord struct {
	server       string
	acceptanceID acceptanceID
	stableFields *stableFields
	checksum     uint32
	sequence     uint64
	state        State
	age          clock.Millis
	load         Load
	events       []CacheEvent
}

// Entry returns the name of the sender.
func (d Digest) Entry() string { return d.entry }

// Version returns the sender's version, which the receiver has reached after merging
// the digest.
func (d Digest) Version() Version { return d.version }

// RecordCount returns the number of announcement records.
func (d Digest) RecordCount() int { return len(d.records) }

// Refused returns the number of records that were left out when the digest was decoded, and
// why the first of them was.
func (d Digest) Refused() (int, error) { return d.refused.count, d.refused.cause }

// Quarantine returns the sender's news about requests that end servers, and the position up to
// which they lead. The position is zero if the sender takes no part in the exchange.
func (d Digest) Quarantine() (quarantine.Report, gossip.Position) {
	return d.quarantine, d.quarantinePosition
}

// WithQuarantine returns a copy with the sender's news about requests that end servers.
func (d Digest) WithQuarantine(r quarantine.Report, p gossip.Position) Digest {
	d.quarantine, d.quarantinePosition = r, p
	return d
}

// Limits returns the sender's news about the limits of servers, and the position up to which they
// lead. The position is zero if the sender takes no part in the exchange.
func (d Digest) Limits() (ratelimit.Report, gossip.Position) { return d.limits, d.limitsPosition }

// WithLimits returns a copy with the sender's news about the limits of servers.
func (d Digest) WithLimits(r ratelimit.Report, p gossip.Position) Digest {
	d.limits, d.limitsPosition = r, p
	return d
}

// InFlight returns the number of the sender's running requests by server. If the digest
// contains a load delta, only changed servers are included. The caller must not modify
// the map.
func (d Digest) InFlight() map[string]int { return d.inFlight }

// Streams returns the streams that the sender reports as started.
func (d Digest) Streams() []Stream {
	return lo.Map(d.load.started, func(s startedStream, _ int) Stream { return s.stream })
}

// WithInFlight returns a copy with the number of the sender's running requests by
// server, for a sender that has no LoadLog.
func (d Digest) WithInFlight(inFlight map[string]int) Digest {
	d.inFlight = maps.Clone(inFlight)
	return d
}

// WithStreams returns a copy with all running streams of the sender, for a sender
// that has no LoadLog.
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

// entryRunProgress is the highest counter seen of an origin, that is, of one run of an
// entry process, and the time at which that counter last rose.
type entryRunProgress struct {
	counter  uint64
	raisedAt clock.Millis
}

// Version returns the registry's version vector, for the next pull from any peer.
func (r *Registry) Version() Version {
	counters := lo.MapValues(r.progressByOrigin, func(p *entryRunProgress, _ string) uint64 { return p.counter })
	if r.counter > 0 {
		counters[r.origin] = r.counter
	}
	return Version{counters: counters}
}

// Digest returns the records that a peer with version since does not have. Records of
// serving servers that are too old to make the server usable are left out.
func (r *Registry) Digest(now clock.Millis, since Version) Digest {
	r.Expire(now)
	d := Digest{entry: r.entry, version: r.Version()}
	for _, name := range sortedKeys(r.records) {
		c := r.records[name]
		tooOld := c.announcement.state == Serving && now-c.announcedAt >= MaxUsableAge
		if tooOld || since.covers(c.acceptanceID) {
			continue
		}
		d.records = append(d.records, c.toDigestRecord(now, since))
	}
	return d
}

// toDigestRecord returns the record for a digest to a peer with version since. It omits
// the stable fields (a refresh) if the peer already has them and the server is in state
// Serving, because a refresh cannot express another state.
func (c *record) toDigestRecord(now clock.Millis, since Version) digestRecord {
	a := c.announcement
	load := a.load
	load.Age = now - c.loadMeasuredAt
	e := digestRecord{
		server: a.Server(), acceptanceID: c.acceptanceID, stableFields: a.stableFields, checksum: a.stableFields.checksum,
		sequence: a.sequence, state: a.state, age: now - c.announcedAt, load: load, events: a.events,
	}
	if since.covers(c.stableFieldsAcceptanceID) && a.state == Serving {
		e.stableFields = nil
	}
	return e
}

// Merge stores the records of a peer's digest. The whole round trip of the pull is
// added to each age, because the digest may have been created at any time during it.
func (r *Registry) Merge(now clock.Millis, d Digest, roundTrip clock.Millis) {
	r.Expire(now)
	complete := now-roundTrip >= r.resetAt
	for _, e := range d.records {
		if !r.merge(now, e, roundTrip) {
			complete = false
			r.resetVersion(now)
		}
	}
	if complete {
		r.advanceVersion(now, d.version)
	}
	r.pruneVersion(now)
}

// merge stores one record. It reports false if the record omits the stable fields and
// this registry does not have them.
func (r *Registry) merge(now clock.Millis, e digestRecord, roundTrip clock.Millis) bool {
	incoming := record{
		acceptanceID: e.acceptanceID, stableFieldsAcceptanceID: e.acceptanceID,
		announcedAt:    now - roundTrip - e.age,
		loadMeasuredAt: now - roundTrip - e.load.Age,
	}
	fields := e.stableFields
	if fields == nil {
		known, ok := r.records[e.server]
		if !ok {
			return false
		}
		if known.announcement.stableFields.checksum != e.checksum {
			// A refresh that is older than the known announcement is not needed.
			return known.announcement.sequence > e.sequence
		}
		fields, incoming.stableFieldsAcceptanceID = known.announcement.stableFields, known.stableFieldsAcceptanceID
	}
	incoming.announcement = Announcement{stableFields: fields, sequence: e.sequence, state: e.state, load: e.load, events: e.events}
	r.store(now, incoming)
	return true
}

// resetVersion makes the next pulls request all records. Digests of pulls that started
// earlier are still merged but do not advance the version.
func (r *Registry) resetVersion(now clock.Millis) {
	r.progressByOrigin = map[string]*entryRunProgress{}
	r.resetAt = now + 1
}

// advanceVersion raises the counters to those of a peer's version.
func (r *Registry) advanceVersion(now clock.Millis, v Version) {
	for origin, counter := range v.counters {
		if origin == r.origin {
			continue
		}
		p, ok := r.progressByOrigin[origin]
		if !ok {
			p = &entryRunProgress{raisedAt: now}
			r.progressByOrigin[origin] = p
		}
		if counter > p.counter {
			p.counter, p.raisedAt = counter, now
		}
	}
}

// pruneVersion removes origins whose counters have not risen for a long time. All
// their records have been dropped by then.
func (r *Registry) pruneVersion(now clock.Millis) {
	maps.DeleteFunc(r.progressByOrigin, func(_ string, p *entryRunProgress) bool { return now-p.raisedAt > 2*RecordLifetime })
}
