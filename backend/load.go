package backend

import (
	"maps"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

// tombstoneAge is how long an ended stream is remembered. A peer that has not
// pulled for longer gets the whole load.
const tombstoneAge = 10 * clock.Second

// LoadVersion is how much of a peer's load a reader has seen. The origin tells
// the peer's lives apart.
type LoadVersion struct {
	Origin  string
	Counter uint64
}

// LoadLog is an entry's own running requests, from which it tells each peer only
// what has changed. Sent whole, they would take ten times the space of all
// announcements.
type LoadLog struct {
	origin   string
	counter  uint64
	inFlight map[string]counted
	streams  map[string]startedStream
	ended    []endedStream // by counter
	forgot   uint64        // highest counter of a forgotten tombstone
}

type counted struct {
	n       int
	counter uint64
}

type startedStream struct {
	stream  Stream
	counter uint64
}

// endedStream names a stream by the counter of its start, which is shorter than
// its ID.
type endedStream struct {
	started uint64
	counter uint64
	at      clock.Millis
}

// loadDelta is the change of the sender's load between two versions. A delta
// from 0 is the whole load.
type loadDelta struct {
	origin   string
	from, to uint64
	started  []startedStream
	ended    []uint64
}

// NewLoadLog returns an empty log for the entry of the registry.
func NewLoadLog(options Options) *LoadLog {
	return &LoadLog{
		origin:   options.origin(),
		inFlight: map[string]counted{},
		streams:  map[string]startedStream{},
	}
}

// SetInFlight records the number of running requests at a server.
func (l *LoadLog) SetInFlight(server string, n int) {
	if l.inFlight[server].n == n {
		return
	}
	l.counter++
	l.inFlight[server] = counted{n: n, counter: l.counter}
}

// StartStream records a running stream, at the position at which it starts.
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

// AddLoadDelta returns the digest with what has changed since the reader's version.
func (l *LoadLog) AddLoadDelta(now clock.Millis, d Digest, since LoadVersion) Digest {
	l.forget(now)
	from := since.Counter
	if since.Origin != l.origin || from < l.forgot || from > l.counter {
		from = 0
	}
	d.load = loadDelta{origin: l.origin, from: from, to: l.counter}
	d.inFlight = map[string]int{}
	for server, c := range l.inFlight {
		if c.counter > from && (c.n > 0 || from > 0) {
			d.inFlight[server] = c.n
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

// forget drops old tombstones and idle servers that every reader has seen or
// will get with the whole load.
func (l *LoadLog) forget(now clock.Millis) {
	i := 0
	for i < len(l.ended) && now-l.ended[i].at > tombstoneAge {
		l.forgot = l.ended[i].counter
		i++
	}
	l.ended = slices.Delete(l.ended, 0, i)
	maps.DeleteFunc(l.inFlight, func(_ string, c counted) bool { return c.n == 0 && c.counter <= l.forgot })
}

// PeerLoads puts the loads of the peers together from their changes.
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

// Version returns what has been seen of a peer's load, for the next pull from it.
func (p *PeerLoads) Version(peer string) LoadVersion {
	if known, ok := p.peers[peer]; ok {
		return known.version
	}
	return LoadVersion{}
}

// Merge applies a digest. It reports false, and changes nothing, when the change
// does not follow on what is known or is older than it.
func (p *PeerLoads) Merge(d Digest) bool {
	known, ok := p.peers[d.entry]
	same := ok && known.version.Origin == d.load.origin
	switch {
	case same && d.load.to < known.version.Counter:
		return false
	case d.load.from > 0 && (!same || d.load.from > known.version.Counter):
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

// Streams returns a peer's running streams in the order of their start.
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

// Find returns the stream with an ID and the peer that runs it.
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

// Remove drops a peer that is gone.
func (p *PeerLoads) Remove(peer string) { delete(p.peers, peer) }
