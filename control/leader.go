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
)

// leaderInterval is how often the leader looks for lost voters and entries. A
// new leader grants its first lease within this time after its election.
const leaderInterval = 200 * clock.Millisecond

// leader is what only the leading member does: grant leases, replace lost
// voters and end the sent claims of lost entries.
type leader struct {
	control *Control
	mu      sync.Mutex
	grantor *lease.Grantor
	policy  *membership.Policy
}

func newLeader(c *Control) *leader {
	return &leader{control: c, grantor: lease.NewGrantor(), policy: membership.New(c.options.Clock.Now())}
}

// run is the leader's duty. It does nothing while another member leads.
func (l *leader) run(ctx context.Context) {
	l.tick(ctx)
	l.control.options.Clock.Every(ctx, leaderInterval, func() { l.tick(ctx) })
}

func (l *leader) tick(ctx context.Context) {
	log, ok := l.control.currentLog()
	if !ok {
		return
	}
	status := log.Status()
	if !status.Leads {
		l.resign()
		return
	}
	if !l.lead(ctx, log, status.Term) {
		return
	}
	l.endClaims(ctx, log)
	l.changeMembers(ctx, status)
}

// lead starts a term once everything committed before it is applied.
func (l *leader) lead(ctx context.Context, log Log, term uint64) bool {
	if current, leads := l.leads(); leads && current == term {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	if log.Barrier(ctx).Kind != Committed || log.Status().Term != term {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.grantor.Lead(now, term)
	l.policy = membership.New(now)
	l.control.options.Logger.Log(event.ControlLeads, zap.Uint64("term", term))
	return true
}

func (l *leader) resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, leads := l.grantor.Leads(); !leads {
		return
	}
	l.grantor.Resign()
	l.control.options.Logger.Log(event.ControlResigned)
}

func (l *leader) leads() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantor.Leads()
}

// renew grants a lease. The configuration is read before the leader lease is
// checked; see lease.Grantor.
func (l *leader) renew(r lease.Renewal) lease.Grant {
	log, ok := l.control.currentLog()
	if !ok {
		return lease.Grant{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.control.machine.Configuration()
	status := log.Status()
	term, leads := l.grantor.Leads()
	if !leads || !status.Leads || status.Term != term || status.Lease <= 0 {
		return lease.Grant{Term: status.Term, Revision: current.Revision()}
	}
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
func (l *leader) endClaims(ctx context.Context, log Log) {
	for _, owner := range l.control.machine.sentOwners() {
		if !l.expired(owner) {
			continue
		}
		l.control.options.Logger.Log(event.OwnerLeaseExpired, zap.String("entry", owner.Entry))
		l.propose(ctx, log, command{claim: claim.OwnerGone{Owner: owner}})
	}
}

func (l *leader) propose(ctx context.Context, log Log, c command) Result {
	c.at = l.control.options.Clock.Wall()
	data, err := encodeCommand(c)
	if err != nil {
		panic(err) // the leader's own commands can be encoded
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	return log.Propose(ctx, data)
}

func (l *leader) changeMembers(ctx context.Context, status Status) {
	l.mu.Lock()
	action, due := l.policy.Decide(l.now(), lo.Map(status.Members, func(m LogMember, _ int) membership.Member {
		return membership.Member{
			Identity: m.Identity, Name: m.Name, AvailabilityZone: m.AvailabilityZone,
			Voter: m.Voter, Leader: m.Leader, Behind: behind(status, m),
		}
	}))
	l.mu.Unlock()
	if !due {
		return
	}
	err := l.change(ctx, MemberChange{Remove: action.Remove, Promote: action.Promote})
	if err != nil {
		l.control.options.Logger.Log(event.MemberChangeFailed, zap.String("removed", action.Remove), zap.Error(err))
	}
}

// change removes a member. Its identity is retired first, so that it stays out
// even when the answer to the change is lost.
func (l *leader) change(ctx context.Context, change MemberChange) error {
	log, ok := l.control.currentLog()
	if !ok {
		return notRun("this member has not joined its group yet")
	}
	if _, err := valueOf(l.propose(ctx, log, command{retire: change.Remove})); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	if _, err := valueOf(log.ChangeMember(ctx, change)); err != nil {
		return err
	}
	l.control.options.Logger.Log(event.MemberReplaced,
		zap.String("removed", change.Remove), zap.String("promoted", change.Promote))
	return nil
}

func (l *leader) heard(identity string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.policy.Heard(l.now(), identity)
}

func (l *leader) silence(m LogMember) clock.Millis {
	if m.Leader {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.policy.Silence(l.now(), m.Identity)
}

func (l *leader) now() clock.Millis { return l.control.options.Clock.Now() }

// handOver gives leadership to the voter that is least behind.
func (c *Control) handOver(ctx context.Context) {
	l, ok := c.currentLog()
	if !ok {
		return
	}
	status := l.Status()
	others := lo.Filter(status.Members, func(m LogMember, _ int) bool { return m.Voter && !m.Leader })
	if !status.Leads || len(others) == 0 {
		return
	}
	next := lo.MaxBy(others, func(a, b LogMember) bool { return a.Match > b.Match })
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	l.TransferLeadership(ctx, next.Identity)
}
