package replica

import (
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/storage"
)

// publishedStatus is what the loop publishes for Replica.Status.
type publishedStatus struct {
	status     Status
	leaseUntil clock.Millis
	leaseIndex uint64 // the lease is valid once this entry is applied
	peers      []peer
	leaderless leaderless
}

// publish makes the current state available to Replica.Status.
func (l *loop) publish() {
	c := l.core
	p := &publishedStatus{
		status: Status{
			Identity: c.identity(), Name: c.options.self.Name, Role: c.role,
			Term: c.vote.Term, Epoch: c.vote.Epoch,
			Leader: c.leader.Address, LeaderIdentity: c.leader.Identity,
			Commit: c.commitIndex, Members: c.current().value.members,
			Founded: c.founded, Excluded: c.excluded && l.failure == nil, Failure: l.failure,
			DiskFailure: c.disk.failure, DiskFailures: c.disk.failures,
			Elections: c.elections.started,
		},
	}
	if c.role == Leader {
		p.leaseUntil, p.leaseIndex = c.leaseUntil(), c.leadership.termStart
		for _, x := range c.orderedPeers() {
			p.peers = append(p.peers, *x)
		}
	}
	now := l.now()
	l.elections.observe(now, l)
	p.leaderless = l.elections.leaderless
	l.replica.publishedStatus.Store(p)
	l.logChanges(p.status)
}

// logChanges logs a change of the role or the disk or an exclusion from the group since the last
// call.
func (l *loop) logChanges(s Status) {
	c := l.core
	if s.Excluded && !l.loggedExcluded {
		l.loggedExcluded = true
		l.replica.options.Log(event.MemberNotAccepted, zap.String("identity", s.Identity))
	}
	l.logDisk()
	if c.role != l.role {
		l.role = c.role
		l.replica.options.Log(event.RoleChanged, zap.String("role", c.role.String()), zap.Uint64("term", c.vote.Term))
	}
}

// logDisk logs that the disk has begun to refuse writes or takes them again.
func (l *loop) logDisk() {
	d := &l.core.disk
	if l.core.diskFails() == l.diskFails {
		return
	}
	l.diskFails = l.core.diskFails()
	if l.diskFails {
		l.replica.options.Log(event.DiskRefusesWrites, zap.Stringer("outcome", storage.OutcomeOf(d.failure)), zap.Error(d.failure))
		return
	}
	l.replica.options.Log(event.DiskTakesWrites, zap.Int64("after_ms", int64(l.now()-d.failingSince)), zap.Int("cut_bytes", l.cutBytes))
	l.cutBytes = 0
}
