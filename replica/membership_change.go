package replica

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// changeMember starts a membership change and returns the index of its entry, or the reason
// for refusing it.
func (c *core) changeMember(now clock.Millis, change MemberChange) (uint64, string) {
	current := c.current()
	switch {
	case current.value.joint() || current.index > c.commitIndex || c.commitIndex < c.leadership.termStart:
		return 0, "another membership change is in progress"
	case current.value.inEffect(change):
		return current.index, ""
	case change.Kind == Promote || change.Kind == Replace:
		if reason := c.checkLearner(now, change.Member.Identity); reason != "" {
			return 0, reason
		}
	}
	next, reason := current.value.withChange(change)
	if reason != "" {
		return 0, reason
	}
	return c.appendMembership(now, next), ""
}

// checkLearner returns the reason why a learner must not become a voter yet, if any. A
// voter that lags behind or doesn't answer would delay commits.
func (c *core) checkLearner(now clock.Millis, identity string) string {
	p, ok := c.leadership.peers[identity]
	switch {
	case !ok:
		return "the identity is not a member"
	case now-p.heardAt >= c.options.electionTimeout:
		return "the learner does not answer"
	case p.matchIndex < c.current().index || p.matchIndex+promotionLag < c.commitIndex:
		// A voter also needs the current membership to take part in elections.
		return "the learner has not caught up"
	default:
		return ""
	}
}

func (c *core) appendMembership(now clock.Millis, m membership) uint64 {
	index := c.appendAsLeader(now, []storage.Entry{{Kind: entryMembership, Data: encodeMembership(m)}})
	c.sendAll(now)
	return index
}

// completeMembershipChange takes the next step of a membership change whose entry is
// committed: it ends a joint membership and steps down if this member was removed.
func (c *core) completeMembershipChange(now clock.Millis) {
	current := c.current()
	if current.index > c.commitIndex {
		return
	}
	if current.value.joint() {
		c.appendMembership(now, current.value.completed())
		return
	}
	c.leadership.completed = current.index
	if !current.value.votes(c.identity()) {
		// A leader that was removed steps down once its removal is committed. The last
		// heartbeat tells the others the commit index.
		c.heartbeat(now)
		c.becomeFollower(now, c.vote.Term, Member{})
	}
}
