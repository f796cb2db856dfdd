package backend

import (
	"maps"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

// tombstoneAge is how long the end of a stream is kept. A peer that has not pulled for
// longer gets the whole load instead of a delta.
const tombstoneAge = 10 * clock.Second

// LoadVersion is the version of a peer's load that a reader has received. Origin
// identifies one run of the peer's process, and Counter is the number of the last
// change in that run that the reader knows.
type LoadVersion struct {
	Origin  string
	Counter uint64
}

// LoadLog tracks an entry's own running requests and their changes, so that each peer
// gets only what has changed for it. Sending all running requests each time would take
// ten times the space of all announcements.
type LoadLog struct {
	origin      string
	counter     uint64                   // number of the last change
	inFlight    map[string]requestCount  // by server
	streams     map[string]startedStream // by ID
	ended       []endedStream            // tombstones, ordered by counter
	lastDeleted uint64                   // highest counter of a deleted tombstone
}

// requestCount is the number of running requests at a server.
type requestCount struct {
	requests int
	counter  uint64 // number of the change that set it
}

// startedStream is a running stream.
type startedStream struct {
	stream  Stream
	counter uint64 // number of the change that started it
}

// endedStream is the tombstone of an ended stream. It identifies the stream by the
// counter of its start, which is shorter than its ID.
type endedStream struct {
	started uint64 // counter of its startedStream
	counter uint64 // number of the change that ended it
	at      clock.Millis
}

// loadDelta is the change of the sender's load between two versions. A delta
// from 0 is the whole load.
type loadDelta struct {
	origin   string
	from, to uint64
	started  []startedStream
	ended    []uint64 // counters of the starts of the ended streams
}

// NewLoadLog returns an empty log for the entry of the registry.
func NewLoadLog(options Options) *LoadLog {
	return &LoadLog{
		origin:   options.origin(),
		inFlight: map[string]requestCount{},
		streams:  map[string]startedStream{},
	}
}

// SetInFlight sets the number of running requests at a server.
func (l *LoadLog) SetInFlight(server string, requests int) {
	if l.inFlight[server].requests == requests {
		return
	}
	l.counter++
	l.inFlight[server] = requestCount{requests: requests, counter: l.counter}
}

// StartStream records the start of a stream. Its Position is the one at which it
// starts.
func (l *LoadLog) StartStream(now clock.Millis, s Stream) {
	l.EndStream(now, s.ID)
	l.counter++
	l.streams[s.ID] = startedStream{stream: s, counter: l.counter}
}

// EndStream records the end of a stream.
func (l *LoadLog) EndStream(now clock.Millis, id string) {
	s, ok := l.streams[id]
	if !ok {
		return
	}
	delete(l.streams, id)
	l.counter++
	l.ended = append(l.ended, endedStream{started: s.counter, counter: l.counter, at: now})
}

// AddLoadDelta returns the digest with the load changes since the reader's version, or with
// the whole load if that version is not from this run or its tombstones are deleted.
func (l *LoadLog) AddLoadDelta(now clock.Millis, d Digest, since LoadVersion) Digest {
	l.prune(now)
	from := since.Counter
	if since.Origin != l.origin || from < l.lastDeleted || from > l.counter {
		from = 0
	}
	d.load = loadDelta{origin: l.origin, from: from, to: l.counter}
	d.inFlight = map[string]int{}
	for server, c := range l.inFlight {
		if c.counter > from && (c.requests > 0 || from > 0) {
			d.inFlight[server] = c.requests
		}
	}
	for _, id := range sortedKeys(l.streams) {
		if s := l.streams[id]; s.counter > from {
			d.load.started = append(d.load.started, s)
		}
	}
	for _, e := range l.ended {
		if e.counter > from && e.started <= from {
			d.load.ended = append(d.load.ended, e.started)
		}
	}
	return d
}

// prune deletes old tombstones and the counts of idle servers that no reader needs any
// more: each reader has either received them already or will get the whole load.
func (l *LoadLog) prune(now clock.Millis) {
	i := 0
	for i < len(l.ended) && now-l.ended[i].at > tombstoneAge {
		l.lastDeleted = l.ended[i].counter
		i++
	}
	l.ended = slices.Delete(l.ended, 0, i)
	maps.DeleteFunc(l.inFlight, func(_ string, c requestCount) bool { return c.requests == 0 && c.counter <= l.lastDeleted })
}

// PeerLoads stores the loads of the peers, built from the load deltas in their
// digests.
type PeerLoads struct {
	peers map[string]*peerLoad
}

type peerLoad struct {
	version  LoadVersion
	inFlight map[string]int
	streams  map[uint64]Stream
}

// NewPeerLoads returns an empty collection.
func NewPeerLoads() *PeerLoads { return &PeerLoads{peers: map[string]*peerLoad{}} }

// Version returns the version of a peer's load up to which its changes were merged, for
// the next pull from that peer.
func (p *PeerLoads) Version(peer string) LoadVersion {
	if known, ok := p.peers[peer]; ok {
		return known.version
	}
	return LoadVersion{}
}

// Merge applies the load delta of a digest. It reports false, and changes nothing, if
// the delta is older than the known load or starts from a version that is not known yet.
func (p *PeerLoads) Merge(d Digest) bool {
	known, ok := p.peers[d.entry]
	sameOrigin := ok && known.version.Origin == d.load.origin
	switch {
	case sameOrigin && d.load.to < known.version.Counter:
		return false
	case d.load.from > 0 && (!sameOrigin || d.load.from > known.version.Counter):
		return false
	case d.load.from == 0:
		known = &peerLoad{inFlight: map[string]int{}, streams: map[uint64]Stream{}}
		p.peers[d.entry] = known
	}
	known.apply(d)
	return true
}

func (k *peerLoad) apply(d Digest) {
	k.version = LoadVersion{Origin: d.load.origin, Counter: d.load.to}
	maps.Copy(k.inFlight, d.inFlight)
	maps.DeleteFunc(k.inFlight, func(_ string, n int) bool { return n == 0 })
	for _, s := range d.load.started {
		k.streams[s.counter] = s.stream
	}
	for _, started := range d.load.ended {
		delete(k.streams, started)
	}
}

// InFlight returns a peer's running requests by server.
func (p *PeerLoads) InFlight(peer string) map[string]int {
	if known, ok := p.peers[peer]; ok {
		return maps.Clone(known.inFlight)
	}
	return nil
}

// Streams returns a peer's running streams in the order in which they started.
func (p *PeerLoads) Streams(peer string) []Stream {
	known, ok := p.peers[peer]
	if !ok {
		return nil
	}
	order := slices.Sorted(maps.Keys(known.streams))
	streams := make([]Stream, 0, len(order))
	for _, c := range order {
		streams = append(streams, known.streams[c])
	}
	return streams
}

// Find returns the stream with the given ID and the name of the peer that runs it, or
// false if no peer runs it.
func (p *PeerLoads) Find(id string) (Stream, string, bool) {
	for _, peer := range sortedKeys(p.peers) {
		for _, s := range p.peers[peer].streams {
			if s.ID == id {
				return s, peer, true
			}
		}
	}
	return Stream{}, "", false
}

// Remove removes a peer that no longer exists.
func (p *PeerLoads) Remove(peer string) { delete(p.peers, peer) }
