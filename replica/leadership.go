package replica

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// leadership is the state that a member has only while it is the leader.
type leadership struct {
	peers        map[string]*peer // by identity
	termStart    uint64           // index of the first entry of the leader's term
	round        uint64           // number of the newest heartbeat round
	sentRounds   []sentRound      // the newest confirmed round and those after it
	heartbeatDue clock.Millis
	completed    uint64 // index of the newest committed membership entry that completed a change
	transfer     transfer

	nextHandoverAt clock.Millis // earliest time of the next transfer because of this member's disk
}

// transfer is a leadership transfer in progress. The lease is not extended during it.
type transfer struct {
	target     string       // identity of the next leader; empty if no transfer is in progress
	leaseUntil clock.Millis // end of the lease, which the target must not campaign before
	deadline   clock.Millis // when the transfer is given up
}

// becomeLeader makes the member the leader of the current term.
func (c *core) becomeLeader(now clock.Millis) {
	c.role, c.preVotesGranted, c.votesGranted = Leader, nil, nil
	c.failedTimeouts, c.leaderTerm = 0, c.vote.Term
	c.leader = c.options.self
	c.leadership = leadership{
		peers:      map[string]*peer{},
		termStart:  c.log.last() + 1,
		sentRounds: []sentRound{{at: now}},
	}
	// The first entry of the term repeats the membership. Committing it commits the
	// earlier entries, and members that joined without the membership receive it.
	repeated := c.current().value
	if len(repeated.founderFolderIDs) == 0 {
		repeated.founderFolderIDs = c.vote.FounderFolderIDs
	}
	c.appendAsLeader(now, []storage.Entry{{Kind: entryMembership, Data: encodeMembership(repeated)}})
	c.heartbeat(now)
	c.sendAll(now)
}

// acceptsProposals reports whether this member is the leader and no leadership transfer is
// in progress.
func (c *core) acceptsProposals() bool {
	return c.role == Leader && c.leadership.transfer.target == ""
}

// tickLeader sends heartbeats when they are due, and steps down if no quorum answers them.
func (c *core) tickLeader(now clock.Millis) {
	l := &c.leadership
	if now-l.confirmedRoundSentAt() >= c.options.electionTimeout {
		// No quorum has answered for a whole election timeout.
		c.becomeFollower(now, c.vote.Term, Member{})
		return
	}
	if now >= l.heartbeatDue {
		c.heartbeat(now)
		c.resendAll(now)
		c.handOverIfDiskFails(now)
	}
	c.advanceTransfer(now)
}

// transferLeadership starts a leadership transfer or returns the reason for refusing it.
// The target campaigns only after the lease has ended, because callers may still rely on a
// lease that they have read.
func (c *core) transferLeadership(now clock.Millis, target string) string {
	current := c.current().value
	member, ok := current.find(target)
	switch {
	case !ok || !member.Voter || current.joint():
		return "the identity is not a voter"
	case target == c.identity():
		return "the identity is the leader"
	}
	c.leadership.transfer = transfer{target: target, leaseUntil: c.leaseUntil(), deadline: now + 2*c.options.electionTimeout}
	c.advanceTransfer(now)
	return ""
}

// advanceTransfer asks the target of a transfer to campaign once it has the whole log and
// the lease has ended, and gives the transfer up at its deadline.
func (c *core) advanceTransfer(now clock.Millis) {
	t := c.leadership.transfer
	if t.target == "" {
		return
	}
	if now >= t.leaseUntil && c.peer(t.target).matchIndex == c.log.last() {
		c.send(t.target, Message{Kind: MessageCampaign})
		c.becomeFollower(now, c.vote.Term, Member{})
		return
	}
	if now >= t.deadline {
		c.leadership.transfer = transfer{}
	}
}
