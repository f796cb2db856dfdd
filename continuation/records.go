package continuation

import (
	"slices"
	"strings"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// Retention is how long a record is kept, and how long a version stays in the table after its
	// last server has gone. A stream that runs for longer is recorded again.
	Retention = 2 * clock.Minute
	// maxStreamIDBytes is the longest ID of a stream that is recorded. Callers choose the IDs.
	maxStreamIDBytes = 128
)

// Record is the origin of a stream.
type Record struct {
	Stream string       // ID of the request that brought the first event
	Origin Origin       // empty if it is known that records with different origins exist
	Server string       // the server that began the stream
	Age    clock.Millis // time since it began
	// Confirmed is set once a heartbeat has confirmed that the server was of the version of the origin when
	// the stream began.
	Confirmed bool
}

// Valid reports whether the record can be kept.
func (r Record) Valid() bool {
	return r.Stream != "" && len(r.Stream) <= maxStreamIDBytes && len(r.Origin.Service) <= maxNameBytes && len(r.Origin.Version) <= maxNameBytes &&
		len(r.Server) <= maxNameBytes
}

// Records holds records of streams for Retention. When there are too many, the oldest ones are
// dropped. It is safe for concurrent use.
type Records struct {
	limit int

	mu       sync.Mutex
	byStream map[string]keptRecord
	byAge    []agedStream // oldest first; a stream that was recorded again appears more than once
}

// keptRecord is the record of a stream.
type keptRecord struct {
	origin        Origin
	server        string
	begunAt       clock.Millis
	confirmed     bool
	contradictory bool
	until         clock.Millis
}

// record returns the record of the stream.
func (k keptRecord) record(now clock.Millis, stream string) Record {
	return Record{Stream: stream, Origin: k.origin, Server: k.server, Age: now - k.begunAt, Confirmed: k.confirmed}
}

// agedStream is a stream with the end of its retention when it was recorded.
type agedStream struct {
	stream string
	until  clock.Millis
}

// NewRecords returns an empty set that keeps up to limit records.
func NewRecords(limit int) *Records {
	return &Records{limit: limit, byStream: map[string]keptRecord{}}
}

// Add keeps a record, and reports whether it was kept: one that is not valid is left out. The order of
// records makes no difference.
func (r *Records) Add(now clock.Millis, record Record) bool {
	if !record.Valid() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	kept, ok := r.byStream[record.Stream]
	if ok && kept.origin != record.Origin || record.Origin == (Origin{}) {
		kept.contradictory = true
	}
	if !ok {
		kept.origin, kept.server, kept.begunAt = record.Origin, record.Server, now-record.Age
	}
	// A record is told with a delay, and is read from disk without its age: the earliest begin is the true one.
	kept.begunAt = min(kept.begunAt, now-record.Age)
	kept.confirmed = kept.confirmed || record.Confirmed
	stream := strings.Clone(record.Stream) // the ID may be a part of a long header line
	if kept.until != now+Retention {
		kept.until = now + Retention
		r.byAge = append(r.byAge, agedStream{stream, kept.until})
	}
	r.byStream[stream] = kept
	for len(r.byStream) > r.limit {
		r.dropOldest()
	}
	if len(r.byAge) > 2*r.limit {
		r.byAge = slices.DeleteFunc(r.byAge, func(a agedStream) bool { return r.byStream[a.stream].until != a.until })
	}
	return true
}

// Lookup returns what is known of the origin of a stream.
func (r *Records) Lookup(now clock.Millis, stream string) (Record, Knowledge) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept, ok := r.byStream[stream]
	switch {
	case !ok || kept.until <= now:
		return Record{}, Unrecorded
	case kept.contradictory:
		return Record{}, Contradictory
	}
	return kept.record(now, stream), Recorded
}

// All returns the records that are kept. The origin of contradictory ones is empty.
func (r *Records) All(now clock.Millis) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	all := make([]Record, 0, len(r.byStream))
	for stream, kept := range r.byStream {
		record := kept.record(now, stream)
		if kept.contradictory {
			record.Origin = Origin{}
		}
		all = append(all, record)
	}
	return all
}

// Len returns the number of records.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byStream)
}

// expire drops the records whose retention has ended. The caller holds the lock.
func (r *Records) expire(now clock.Millis) {
	for len(r.byAge) > 0 && r.byAge[0].until <= now {
		r.dropOldest()
	}
}

// dropOldest drops the oldest record, unless its stream was recorded again later. The caller holds the
// lock.
func (r *Records) dropOldest() {
	oldest := r.byAge[0]
	r.byAge = r.byAge[1:]
	if r.byStream[oldest.stream].until == oldest.until {
		delete(r.byStream, oldest.stream)
	}
}
