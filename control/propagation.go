package control

import (
	"sync"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/propagation"
)

// propagationTimeout bounds the wait until the entries know a change. It is short enough
// that the caller, who sends the change again, learns why it is not acknowledged yet.
const propagationTimeout = 600 * clock.Millisecond

// changePropagation follows which entries that watch this member know the newest catalog and
// the newest list of backend servers. It is safe for concurrent use.
type changePropagation struct {
	mu       sync.Mutex
	catalogs *propagation.Tracker // by revision, which is valid in all terms
	servers  *propagation.Tracker // by position in the server list of a term
	lease    clock.Millis         // duration of the entries' leases
	// delegatesUntil is when the last lease ends that a member may have granted on behalf of
	// this one. Acknowledgements do not wait for members after it.
	delegatesUntil clock.Millis
}

func newChangePropagation(lease clock.Millis) *changePropagation {
	return &changePropagation{catalogs: propagation.New(lease), servers: propagation.New(lease), lease: lease}
}

// delegate records that members are told to answer entries on behalf of this one. When that
// begins, the entries of the members have not reported yet.
func (p *changePropagation) delegate(now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now >= p.delegatesUntil {
		p.catalogs.StartTerm(now)
		p.servers.StartTerm(now)
	}
	p.delegatesUntil = now + 2*p.lease
}

// startTerm begins the term of this member as leader. The given revision is the newest one, 0
// if there is none.
func (p *changePropagation) startTerm(now clock.Millis, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.catalogs.StartTerm(now)
	p.servers.StartTerm(now)
	if revision > 0 {
		p.catalogs.Publish(now, propagation.Version{Number: revision})
	}
}

// report records what the sender of a watch knows.
func (p *changePropagation) report(now clock.Millis, watch WatchRequest) {
	revision, position := watch.acknowledged()
	p.mu.Lock()
	defer p.mu.Unlock()
	if watch.Delegate != nil && now >= p.delegatesUntil {
		return
	}
	p.catalogs.Report(now, watch.Entry, propagation.Version{Number: revision})
	p.servers.Report(now, watch.Entry, propagation.Version{Term: watch.Epoch, Number: position})
}

// publishCatalog records that no older revision is granted any more.
func (p *changePropagation) publishCatalog(now clock.Millis, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.catalogs.Publish(now, propagation.Version{Number: revision})
}

// publishFirstCatalog records the revision of the first catalog. No entry can use an older one.
func (p *changePropagation) publishFirstCatalog(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.catalogs.PublishFirst(propagation.Version{Number: revision})
}

// publishServers records that no older position in the server list is granted any more.
func (p *changePropagation) publishServers(now clock.Millis, position propagation.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers.Publish(now, position)
}

// oldestKnown returns the revision and the position up to which this member and all entries
// that may hold a lease from it know all changes. The arguments are those of the member.
func (p *changePropagation) oldestKnown(now clock.Millis, revision uint64, position propagation.Version) (uint64, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	catalog := p.catalogs.OldestKnown(now, propagation.Version{Number: revision})
	servers := p.servers.OldestKnown(now, position)
	if servers.Term < position.Term {
		return catalog.Number, 0
	}
	return catalog.Number, servers.Number
}

// catalogInForce reports whether no entry uses a catalog older than the revision once the
// given time has passed.
func (p *changePropagation) catalogInForce(now clock.Millis, revision uint64, within clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.catalogs.InForce(now, propagation.Version{Number: revision}, within)
}

// serversInForce reports the same for a position in the server list.
func (p *changePropagation) serversInForce(now clock.Millis, position propagation.Version, within clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers.InForce(now, position, within)
}

// waiting returns the senders of watches that do not know the given revision or position.
func (p *changePropagation) waiting(now clock.Millis, revision uint64, position propagation.Version) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(p.catalogs.Waiting(now, propagation.Version{Number: revision}), p.servers.Waiting(now, position)...)
}

// awaitPropagation waits until the condition, which depends on what entries have reported,
// is met, and reports whether it is.
func (c *Control) awaitPropagation(inForce func(now clock.Millis) bool) bool {
	timeout, release := c.options.Clock.After(propagationTimeout)
	defer release()
	for {
		reported := c.reported.nextChange()
		if inForce(c.options.Clock.Now()) {
			return true
		}
		select {
		case <-reported:
		case <-timeout:
			return inForce(c.options.Clock.Now())
		}
	}
}
