package control

import (
	"context"
	"sync"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/membership"
	"github.com/galenaslip/galenaslip/replica"
)

// leaderInterval is how often the leader checks for lost voters and for entries
// whose leases have expired. A new leader grants its first lease within this time after its
// election.
const leaderInterval = 200 * clock.Millisecond

// transferTimeout bounds a leadership transfer. It covers the rest of the leader
// lease and one election.
const transferTimeout = 4 * clock.Second

// leaderTasks runs the tasks of the leading member: it grants configuration
// leases, replaces lost voters, and marks the sent claims of entries whose leases
// have expired as unknown.
type leaderTasks struct {
	control          *Control
	mu               sync.Mutex
	grantor          *lease.Grantor
	membershipPolicy *membership.Policy
}

func newLeaderTasks(c *Control) *leaderTasks {
	return &leaderTasks{control: c, grantor: lease.NewGrantor(), membershipPolicy: membership.New(c.options.Clock.Now(), c.options.membership())}
}

// run performs the leader's tasks every leaderInterval until ctx ends. It does
// nothing while this member does not lead.
func (l *leaderTasks) run(ctx context.Context) {
	l.control.options.Clock.Every(ctx, leaderInterval, func() {
		status := l.control.log.Load().Status()
		if !l.updateTerm(status) {
			return
		}
		l.markSentClaimsUnknown(ctx)
		l.changeMembers(ctx, status)
	})
}

// updateTerm starts or ends the grantor's term according to the status of the
// log, and reports whether this member leads and holds the leader lease. The
// log gives this lease only once this member has applied every entry that was
// committed before the term.
func (l *leaderTasks) updateTerm(status replica.Status) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	term, leads := l.grantor.LeadingTerm()
	switch {
	case status.Role != replica.Leader:
		if leads {
			l.grantor.EndTerm()
			l.control.options.Logger.Log(event.LeadershipLost, zap.Uint64("term", term))
		}
		return false
	case status.LeaseRemaining <= 0:
		return false
	case !leads || term != status.Term:
		now := l.now()
		l.grantor.StartTerm(now, status.Term)
		l.membershipPolicy = membership.New(now, l.control.options.membership())
		l.control.options.Logger.Log(event.LeadershipGained, zap.Uint64("term", status.Term))
	}
	return true
}

// renewLease grants a configuration lease. It reads the configuration before it
// checks the leader lease, as lease.Grantor.Renew requires.
func (l *leaderTasks) renewLease(renewal lease.Renewal) lease.Grant {
	current := l.control.machine.Configuration()
	status := l.control.log.Load().Status()
	if !l.updateTerm(status) {
		return lease.Grant{Term: status.Term, Revision: current.Revision()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantor.Renew(l.now(), current, renewal)
}

// leaseExpired reports whether the configuration lease of a claim's owner has
// certainly expired.
func (l *leaderTasks) leaseExpired(owner claim.Owner) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantor.Expired(l.now(), owner.Entry, owner.Incarnation)
}

// renewals returns the newest renewal of each entry that holds a lease.
func (l *leaderTasks) renewals() []lease.Renewal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantor.Renewals(l.now())
}

// markSentClaimsUnknown marks the sent claims of entries whose lease has expired as
// unknown.
func (l *leaderTasks) markSentClaimsUnknown(ctx context.Context) {
	for _, owner := range l.control.machine.sentClaimOwners() {
		if !l.leaseExpired(owner) {
			continue
		}
		l.control.options.Logger.Log(event.OwnerLeaseExpired, zap.String("entry", owner.Entry))
		_, err := l.control.propose(ctx, command{claim: claim.ExpireOwner{Owner: owner}})
		if err != nil {
			return // run tries again after leaderInterval
		}
	}
}

// changeMembers makes the membership change that the policy decides on, if any.
func (l *leaderTasks) changeMembers(ctx context.Context, status replica.Status) {
	l.mu.Lock()
	action, hasAction := l.membershipPolicy.Decide(l.now(), lo.Map(status.Members, func(m replica.Member, _ int) membership.Member {
		return membership.Member{
			Identity: m.Identity, Name: m.Name, AvailabilityZone: m.AvailabilityZone,
			Voter: m.Voter, Leader: m.Identity == status.Identity,
			SilentFor: status.Progress[m.Identity].SilentFor, DiskFailingFor: status.Progress[m.Identity].DiskFailingFor,
			Behind: missingEntries(status, m.Identity),
		}
	}))
	l.mu.Unlock()
	if !hasAction {
		return
	}
	if err := l.change(ctx, toMemberChange(action)); err != nil {
		l.control.options.Logger.Log(event.MemberChangeFailed, zap.String("removed", action.Remove), zap.Error(err))
	}
}

func (o Options) membership() membership.Options {
	return membership.Options{Voters: o.Voters, VoterTimeout: o.VoterTimeout}
}

func toMemberChange(action membership.Action) replica.MemberChange {
	switch {
	case action.Promote == "":
		return replica.MemberChange{Kind: replica.Remove, Member: replica.Member{Identity: action.Remove}}
	case action.Remove == "":
		return replica.MemberChange{Kind: replica.Promote, Member: replica.Member{Identity: action.Promote}}
	}
	return replica.MemberChange{Kind: replica.Replace, Member: replica.Member{Identity: action.Promote}, Replaces: action.Remove}
}

// change commits a membership change.
func (l *leaderTasks) change(ctx context.Context, change replica.MemberChange) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	if _, err := committedValue(l.control.log.Load().ChangeMember(ctx, change)); err != nil {
		return err
	}
	l.control.options.Logger.Log(event.MembersChanged, zap.Uint8("kind", uint8(change.Kind)),
		zap.String("member", change.Member.Identity), zap.String("replaces", change.Replaces))
	return nil
}

func (l *leaderTasks) now() clock.Millis { return l.control.options.Clock.Now() }

// transferLeadership transfers leadership to the other voter with the most
// complete log whose disk takes writes. It does nothing when this member does
// not lead or there is no such voter.
func (c *Control) transferLeadership(ctx context.Context) {
	log := c.log.Load()
	status := log.Status()
	otherVoters := lo.Filter(status.Members, func(m replica.Member, _ int) bool {
		return m.Voter && m.Identity != status.Identity && status.Progress[m.Identity].DiskFailingFor == 0
	})
	if status.Role != replica.Leader || len(otherVoters) == 0 {
		return
	}
	successor := lo.MaxBy(otherVoters, func(a, b replica.Member) bool {
		return status.Progress[a.Identity].MatchIndex > status.Progress[b.Identity].MatchIndex
	})
	ctx, cancel := context.WithTimeout(ctx, transferTimeout.Duration())
	defer cancel()
	result := log.TransferLeadership(ctx, successor.Identity)
	c.options.Logger.Log(event.LeadershipTransferred, zap.String("to", successor.Identity), zap.Stringer("result", result.Kind))
}
