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

// leaderInterval is how often the leader looks for lost voters and entries. A
// new leader grants its first lease within this time after its election.
const leaderInterval = 200 * clock.Millisecond

// handOverTimeout covers the rest of the leader lease and one election.
const handOverTimeout = 4 * clock.Second

// leader is what only the leading member does: grant leases, replace lost
// voters and end the sent claims of lost entries.
type leader struct {
	control *Control
	mu      sync.Mutex
	grantor *lease.Grantor
	policy  *membership.Policy
}

func newLeader(c *Control) *leader {
	return &leader{control: c, grantor: lease.NewGrantor(), policy: membership.New(c.options.Clock.Now(), c.options.membership())}
}

// run does the leader's duty. It does nothing while another member leads.
func (l *leader) run(ctx context.Context) {
	l.control.options.Clock.Every(ctx, leaderInterval, func() {
		status := l.control.log.Load().Status()
		if !l.follow(status) {
			return
		}
		l.endClaims(ctx)
		l.changeMembers(ctx, status)
	})
}

// follow starts or ends the leader's term and reports whether this member leads
// with a lease. The log gives a lease only once everything that was committed
// before the term is applied here.
func (l *leader) follow(s replica.Status) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	term, leads := l.grantor.LeadingTerm()
	switch {
	case s.Role != replica.Leader:
		if leads {
			l.grantor.EndTerm()
			l.control.options.Logger.Log(event.LeadershipLost, zap.Uint64("term", term))
		}
		return false
	case s.LeaseRemaining <= 0:
		return false
	case !leads || term != s.Term:
		now := l.now()
		l.grantor.StartTerm(now, s.Term)
		l.policy = membership.New(now, l.control.options.membership())
		l.control.options.Logger.Log(event.LeadershipGained, zap.Uint64("term", s.Term))
	}
	return true
}

// renew grants a lease. The configuration is read before the leader lease is
// checked; see lease.Grantor.
func (l *leader) renew(r lease.Renewal) lease.Grant {
	current := l.control.machine.Configuration()
	status := l.control.log.Load().Status()
	if !l.follow(status) {
		return lease.Grant{Term: status.Term, Revision: current.Revision()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantor.Renew(l.now(), current, r)
}

// expired reports whether the lease of a claim's owner has certainly expired.
func (l *leader) expired(o claim.Owner) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantor.Expired(l.now(), o.Entry, o.Incarnation)
}

func (l *leader) renewals() []lease.Renewal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantor.Renewals(l.now())
}

// endClaims makes the sent claims of entries without a lease unknown.
func (l *leader) endClaims(ctx context.Context) {
	for _, owner := range l.control.machine.sentOwners() {
		if !l.expired(owner) {
			continue
		}
		l.control.options.Logger.Log(event.OwnerLeaseExpired, zap.String("entry", owner.Entry))
		_, err := l.control.propose(ctx, command{claim: claim.ExpireOwner{Owner: owner}})
		if err != nil {
			return // the next round tries again
		}
	}
}

func (l *leader) changeMembers(ctx context.Context, s replica.Status) {
	l.mu.Lock()
	action, due := l.policy.Decide(l.now(), lo.Map(s.Members, func(m replica.Member, _ int) membership.Member {
		return membership.Member{
			Identity: m.Identity, Name: m.Name, AvailabilityZone: m.AvailabilityZone,
			Voter: m.Voter, Leader: m.Identity == s.Identity,
			Silent: s.Progress[m.Identity].Silent, Behind: behind(s, m.Identity),
		}
	}))
	l.mu.Unlock()
	if !due {
		return
	}
	if err := l.change(ctx, changeOf(action)); err != nil {
		l.control.options.Logger.Log(event.MemberChangeFailed, zap.String("removed", action.Remove), zap.Error(err))
	}
}

func (o Options) membership() membership.Options {
	return membership.Options{Voters: o.Voters, LostAfter: o.LostAfter}
}

func changeOf(a membership.Action) replica.MemberChange {
	switch {
	case a.Promote == "":
		return replica.MemberChange{Kind: replica.Remove, Member: replica.Member{Identity: a.Remove}}
	case a.Remove == "":
		return replica.MemberChange{Kind: replica.Promote, Member: replica.Member{Identity: a.Promote}}
	}
	return replica.MemberChange{Kind: replica.Replace, Member: replica.Member{Identity: a.Promote}, Replaces: a.Remove}
}

func (l *leader) change(ctx context.Context, change replica.MemberChange) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	if _, err := valueOf(l.control.log.Load().ChangeMember(ctx, change)); err != nil {
		return err
	}
	l.control.options.Logger.Log(event.MembersChanged, zap.Uint8("kind", uint8(change.Kind)),
		zap.String("member", change.Member.Identity), zap.String("replaces", change.Replaces))
	return nil
}

func (l *leader) now() clock.Millis { return l.control.options.Clock.Now() }

// handOver gives leadership to the voter that is least behind.
func (c *Control) handOver(ctx context.Context) {
	log := c.log.Load()
	s := log.Status()
	others := lo.Filter(s.Members, func(m replica.Member, _ int) bool { return m.Voter && m.Identity != s.Identity })
	if s.Role != replica.Leader || len(others) == 0 {
		return
	}
	next := lo.MaxBy(others, func(a, b replica.Member) bool {
		return s.Progress[a.Identity].Match > s.Progress[b.Identity].Match
	})
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout.Duration())
	defer cancel()
	result := log.TransferLeadership(ctx, next.Identity)
	c.options.Logger.Log(event.LeadershipTransferred, zap.String("to", next.Identity), zap.Stringer("result", result.Kind))
}
