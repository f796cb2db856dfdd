package replica

import (
	"github.com/galenaslip/galenaslip/clock"
)

func (c *core) becomeFollower(now clock.Millis, term uint64, leader Member) {
	if c.role == Leader {
		// A leader promises like its followers to wait for the end of its lease.
		c.lastHeard = max(c.lastHeard, c.leadership.confirmedAt())
	}
	if c.role != Follower {
		c.resetElection(now)
	}
	c.role, c.leader, c.granted = Follower, leader, nil
	if term > c.vote.Term {
		c.vote.Term, c.vote.VotedFor = term, ""
		c.dirtyVote = true
	}
}

// hearsLeader reports whether votes are refused because a leader was heard
// recently. It outlasts the leader's lease.
func (c *core) hearsLeader(now clock.Millis) bool {
	return c.role == Leader || now < c.lastHeard+c.options.election
}

// followLeader accepts the sender as the leader of the current term.
func (c *core) followLeader(now clock.Millis, m Message) {
	leader := Member{Identity: m.From, Name: m.Name, Address: m.Address}
	if c.role != Follower || c.leader.Identity != m.From {
		c.becomeFollower(now, m.Term, leader)
	}
	c.lastHeard = now
	c.resetElection(now)
}

func (c *core) preCampaign() {
	c.role, c.leader = PreCandidate, Member{}
	c.askVotes(Message{Kind: MessagePreVote, Term: c.vote.Term + 1})
}

// askMembership asks the voters for a vote that would not count. A learner that
// no leader sends to learns in this way that it was removed.
func (c *core) askMembership() {
	c.leader = Member{}
	c.askVotes(Message{Kind: MessagePreVote, Term: c.vote.Term + 1})
}

// campaign votes for this member. Its own vote keeps the same promise to a
// leader as a vote for another member.
func (c *core) campaign(now clock.Millis, transfer bool) {
	if !transfer && c.hearsLeader(now) {
		return
	}
	c.role, c.leader = Candidate, Member{}
	c.vote.Term++
	c.vote.VotedFor = c.identity()
	c.dirtyVote = true
	c.resetElection(now)
	c.askVotes(Message{Kind: MessageVote, Transfer: transfer})
}

// askVotes asks every voter. The own vote counts like the others, when it is
// durable.
func (c *core) askVotes(m Message) {
	c.granted = map[string]bool{}
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	reply := Message{Kind: m.Kind + 1, Term: m.Term}
	for _, member := range c.current().value.members {
		switch {
		case member.Identity == c.identity():
			c.queue(member.Identity, reply)
		case c.current().value.votes(member.Identity):
			c.queue(member.Identity, m)
		}
	}
}

// newer reports whether a candidate's log holds all that this member's holds.
func (c *core) newer(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= c.log.last()
}

func (c *core) onPreVote(now clock.Millis, m Message) {
	if m.Term <= c.vote.Term || !c.newer(m) || c.hearsLeader(now) {
		c.queue(m.From, Message{Kind: MessagePreVoteReply, Reject: true})
		return
	}
	c.queue(m.From, Message{Kind: MessagePreVoteReply, Term: m.Term})
}

func (c *core) onPreVoteReply(now clock.Millis, m Message) {
	if c.role != PreCandidate || m.Reject || m.Term != c.vote.Term+1 {
		return
	}
	c.granted[m.From] = true
	if c.current().value.won(c.granted) {
		c.campaign(now, false)
	}
}

func (c *core) onVote(now clock.Millis, m Message) {
	free := c.vote.VotedFor == "" || c.vote.VotedFor == m.From
	if !free || !c.newer(m) || !m.Transfer && c.hearsLeader(now) {
		c.queue(m.From, Message{Kind: MessageVoteReply, Reject: true})
		return
	}
	if c.vote.VotedFor == "" {
		c.vote.VotedFor = m.From
		c.dirtyVote = true
	}
	c.resetElection(now)
	c.queue(m.From, Message{Kind: MessageVoteReply})
}

func (c *core) onVoteReply(now clock.Millis, m Message) {
	if c.role != Candidate || m.Reject {
		return
	}
	c.granted[m.From] = true
	if c.current().value.won(c.granted) {
		c.becomeLeader(now)
	}
}

// onCampaign starts an election for a leadership transfer.
func (c *core) onCampaign(now clock.Millis) {
	if c.current().value.votes(c.identity()) {
		c.campaign(now, true)
	}
}
