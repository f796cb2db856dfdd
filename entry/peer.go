package entry

import (
	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

const (
	// demandAge is the age from which a peer's waiting requests no longer count.
	demandAge = 3 * clock.Second
	// streamAge is how long the streams of a silent peer are remembered. An
	// engine keeps the answer of a lost reader for 10 s.
	streamAge = 12 * clock.Second
)

// peerState is what another entry has last told.
type peerState struct {
	at      clock.Millis
	address string
	demands []admission.Demand
	streams map[string]backend.Stream
}

// digest builds the answer to a peer's pull.
func (d *dispatcher) digest(now clock.Millis, since backend.Version) backend.Digest {
	inFlight := map[string]int{}
	streams := make([]backend.Stream, 0, len(d.jobs))
	for id, j := range d.jobs {
		if !j.running {
			continue
		}
		inFlight[j.server]++
		if j.work.streamed {
			streams = append(streams, backend.Stream{ID: id, Server: j.server, Position: int(j.work.produced.Load())})
		}
	}
	for id, a := range d.adopted {
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

// merge uses a peer's digest.
func (d *dispatcher) merge(now clock.Millis, address string, digest backend.Digest, roundTrip clock.Millis) {
	d.registry.Merge(now, digest, roundTrip)
	d.router.RecordPeerLoad(now, digest.Entry(), digest.InFlight(), roundTrip)
	p := &peerState{at: now - roundTrip, address: address, streams: map[string]backend.Stream{}}
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

// demands returns what waits at peers that were heard recently.
func (d *dispatcher) demands(now clock.Millis) []admission.Demand {
	var demands []admission.Demand
	for _, p := range d.peers {
		if now-p.at < demandAge {
			demands = append(demands, p.demands...)
		}
	}
	return demands
}

func (d *dispatcher) dropPeers(now clock.Millis) {
	for name, p := range d.peers {
		if now-p.at >= streamAge {
			delete(d.peers, name)
		}
	}
}
