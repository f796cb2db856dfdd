package entry

import (
	"maps"
	"slices"
	"sync"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/gossip"
)

// peerQuarantines holds up to which position this entry knows the peers' records of requests that
// end servers, by address. It is safe for concurrent use.
type peerQuarantines struct {
	mu        sync.Mutex
	positions map[string]gossip.Position
}

// known returns the position up to which a peer's records are known.
func (q *peerQuarantines) known(address string) *gossip.Position {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.positions[address]
	return &p
}

// record stores the position up to which a peer's records are known now.
func (q *peerQuarantines) record(address string, p gossip.Position) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.positions == nil {
		q.positions = map[string]gossip.Position{}
	}
	q.positions[address] = p
}

// keepOnly forgets all other peers.
func (q *peerQuarantines) keepOnly(addresses []string) {
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
	e.peerQuarantines.record(address, position)
}
