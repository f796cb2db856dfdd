package entry

import (
	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

const (
	// maxDemandAge is the age from which the waiting requests in a peer's digest are
	// ignored.
	maxDemandAge = 3 * clock.Second
	// maxStreamAge is how long the streams of a silent peer are remembered. It exceeds
	// the 10 s for which an engine keeps the answer of a disconnected reader.
	maxStreamAge = 12 * clock.Second
)

// peerState is the content of a peer's last digest.
type peerState struct {
	pulledAt clock.Millis // when the pull of the digest began
	address  string
	demands  []admission.Demand        // waiting requests
	streams  map[string]backend.Stream // running streams, by request identifier
}

// digest builds the digest that answers a peer's pull: the servers that changed since
// the peer's version, and this entry's requests in flight, waiting requests and
// streams.
func (d *dispatcher) digest(now clock.Millis, since backend.Version) backend.Digest {
	inFlight := map[string]int{}
	streams := make([]backend.Stream, 0, len(d.jobs))
	for id, j := range d.jobs {
		if !j.running {
			continue
		}
		inFlight[j.server]++
		if j.callerRequest.streamed {
			streams = append(streams, backend.Stream{ID: id, Server: j.server, Position: int(j.callerRequest.producedTokens.Load())})
		}
	}
	for id, a := range d.resumedStream {
		inFlight[a.server]++
		streams = append(streams, backend.Stream{ID: id, Server: a.server, Position: int(a.position.Load())})
	}
	waiting := []backend.Demand{}
	for _, w := range d.queue.Waiting() {
		waiting = append(waiting, backend.Demand{
			Pool: w.Pool, Tier: int(w.Tier), Waiting: w.Waiting, Oldest: max(now-w.Oldest, 0),
		})
	}
	return d.registry.Digest(now, since).WithInFlight(inFlight).WithWaiting(waiting).WithStreams(streams)
}

// mergeDigest stores a peer's digest. Its data may be as old as the round trip of the
// pull, so that is taken as the age of the data.
func (d *dispatcher) mergeDigest(now clock.Millis, address string, digest backend.Digest, roundTrip clock.Millis) {
	d.registry.Merge(now, digest, roundTrip)
	d.router.RecordPeerLoad(now, digest.Entry(), digest.InFlight(), roundTrip)
	p := &peerState{pulledAt: now - roundTrip, address: address, streams: map[string]backend.Stream{}}
	for _, w := range digest.Waiting() {
		p.demands = append(p.demands, admission.Demand{
			Pool: w.Pool, Tier: class.Tier(w.Tier), Waiting: w.Waiting, Oldest: now - w.Oldest,
		})
	}
	for _, s := range digest.Streams() {
		p.streams[s.ID] = s
	}
	d.peers[digest.Entry()] = p
}

// demands returns the waiting requests of all peers whose last digest (the state that
// this entry pulls from each peer) is younger than maxDemandAge.
func (d *dispatcher) demands(now clock.Millis) []admission.Demand {
	var demands []admission.Demand
	for _, p := range d.peers {
		if now-p.pulledAt < maxDemandAge {
			demands = append(demands, p.demands...)
		}
	}
	return demands
}

// dropSilentPeers forgets peers whose last digest is too old.
func (d *dispatcher) dropSilentPeers(now clock.Millis) {
	for name, p := range d.peers {
		if now-p.pulledAt >= maxStreamAge {
			delete(d.peers, name)
		}
	}
}
