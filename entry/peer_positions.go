package entry

import (
	"maps"
	"slices"
	"sync"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/gossip"
)

// peerPositions holds up to which position this entry knows the peers' records of some kind, by
// address. It is safe for concurrent use.
type peerPositions struct {
	mu        sync.Mutex
	positions map[string]gossip.Position
}

// known returns the position up to which a peer's records are known.
func (q *peerPositions) known(address string) *gossip.Position {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.positions[address]
	return &p
}

// record stores the position up to which a peer's records are known now.
func (q *peerPositions) record(address string, p gossip.Position) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.positions == nil {
		q.positions = map[string]gossip.Position{}
	}
	q.positions[address] = p
}

// keepOnly forgets all other peers.
func (q *peerPositions) keepOnly(addresses []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.positions, func(address string, _ gossip.Position) bool { return !slices.Contains(addresses, address) })
}

// mergeQuarantine takes over what a peer knows of requests that end servers. A peer of a former
// build says nothing about them.
func (e *Entry) mergeQuarantine(address string, digest backend.Digest) {
	report, position := digest.Quarantine()
	if position.Instance == 0 {
		return
	}
	e.quarantine.Merge(e.options.Clock.Now(), report)
	e.quarantinePositions.record(address, position)
}

// mergeLimits takes over what a peer knows of the limits of servers. A peer of a former build says
// nothing about them.
func (e *Entry) mergeLimits(address string, digest backend.Digest) {
	report, position := digest.Limits()
	if position.Instance == 0 {
		return
	}
	e.dispatcher.limiter.Limits().Merge(e.options.Clock.Now(), report)
	e.limitPositions.record(address, position)
}
