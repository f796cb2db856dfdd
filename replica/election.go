package replica

import (
	"github.com/galenaslip/galenaslip/clock"
)

// becomeFollower makes the member a follower in the term. An empty leader means that it
// isn't known.
func (c *core) becomeFollower(now clock.Millis, term uint64, leader Member) {
	if c.role == Leader {
		// Like its followers, a former leader must not vote for another member before
		// its lease has ended.
		c.leaderHeardAt = max(c.leaderHeardAt, c.leadership.confirmedRoundSentAt())
	}
	if c.role != Follower {
		c.resetElectionTimer(now)
	}
	c.role, c.leader, c.preVotesGranted, c.votesGranted = Follower, leader, nil, nil
	if term > c.vote.Term {
		c.vote.Term, c.vote.VotedFor = term, ""
		c.voteChanged = true
	}
}

// hearsLeader reports whether this member is the leader or heard from one within the
// election timeout, and therefore refuses to vote. This period is longer than the lease.
func (c *core) hearsLeader(now clock.Millis) bool {
	return c.role == Leader || now < c.leaderHeardAt+c.options.electionTimeout
}

// followLeader accepts the message's sender as the leader of the current term.
func (c *core) followLeader(now clock.Millis, m Message) {
	leader := Member{Identity: m.From, Name: m.Name, Address: m.Address}
	if c.role != Follower || c.leader.Identity != m.From {
		c.becomeFollower(now, m.Term, leader)
	}
	c.leaderHeardAt, c.failedTimeouts, c.leaderTerm = now, 0, c.vote.Term
	c.resetElectionTimer(now)
}

// hearsMajority reports whether a majority of the voters, this member included, was heard within
// the longest election timeout.
func (c *core) hearsMajority(now clock.Millis) bool {
	heard, longest := map[string]bool{c.identity(): true}, c.options.electionTimeout*clock.Millis(2+c.failedTimeouts)
	for identity, s := range c.knownSenders {
		heard[identity] = heard[identity] || now-s.heardAt < longest
	}
	return c.current().value.hasMajority(heard)
}

// preCampaign asks the voters whether they would vote for this member.
func (c *core) preCampaign(now clock.Millis) {
	c.role, c.leader = PreCandidate, Member{}
	c.elections.preVotes, c.elections.stoodAt = c.elections.preVotes+1, now
	c.preVotesGranted = map[string]bool{}
	c.requestVotes(Message{Kind: MessagePreVote, Term: c.vote.Term + 1})
}

// votePending reports whether a vote that this member has cast is not durable yet.
func (c *core) votePending() bool {
	return c.vote.VotedFor != "" && (c.voteChanged || c.voteInFlight)
}

// checkIfRemoved sends pre-vote requests whose answers are not counted. It lets a
// learner that receives nothing from a leader find out that it was removed.
func (c *core) checkIfRemoved() {
	c.leader = Member{}
	c.requestVotes(Message{Kind: MessagePreVote, Term: c.vote.Term + 1})
}

// campaign starts an election. Unless a leadership transfer asked for it, a member that
// heard from a leader recently may not vote for itself either.
func (c *core) campaign(now clock.Millis, transfer bool) {
	if !transfer && c.hearsLeader(now) || c.diskFails() {
		return
	}
	c.role, c.leader = Candidate, Member{}
	c.vote.Term++
	c.vote.VotedFor = c.identity()
	c.voteChanged = true
	c.elections.started, c.elections.stoodAt = c.elections.started+1, now
	c.resetElectionTimer(now)
	c.votesGranted = map[string]bool{}
	c.requestVotes(Message{Kind: MessageVote, Transfer: transfer})
}

// requestVotes sends a vote or pre-vote request to every voter. This member's own vote
// is a message to itself, so that it counts only once it is durable.
func (c *core) requestVotes(m Message) {
	m.Index, m.LogTerm = c.log.last(), c.log.lastTerm()
	reply := Message{Kind: m.Kind + 1, Term: m.Term}
	for _, member := range c.current().value.members {
		switch {
		case member.Identity == c.identity():
			c.sendAfterWrite(member.Identity, reply)
		case c.current().value.votes(member.Identity):
			c.sendAfterWrite(member.Identity, m)
		}
	}
}

// candidateUpToDate reports whether the candidate's log is at least as up to date as this
// member's.
func (c *core) candidateUpToDate(m Message) bool {
	last := c.log.lastTerm()
	return m.LogTerm > last || m.LogTerm == last && m.Index >= c.log.last()
}

func (c *core) onPreVote(now clock.Millis, m Message) {
	if r := c.preVoteRefusal(now, m); r != refusalNone {
		c.noteGiven(now, m, r)
		c.sendAfterWrite(m.From, Message{Kind: MessagePreVoteReply, Reject: true, Hint: uint64(r)})
		return
	}
	c.noteGiven(now, m, refusalNone)
	c.sendAfterWrite(m.From, Message{Kind: MessagePreVoteReply, Term: m.Term})
}

func (c *core) onPreVoteReply(now clock.Millis, m Message) {
	if c.role != PreCandidate || m.Reject || m.Term != c.vote.Term+1 {
		return
	}
	c.preVotesGranted[m.From] = true
	if c.current().value.hasMajority(c.preVotesGranted) {
		c.campaign(now, false)
	}
}

func (c *core) onVote(now clock.Millis, m Message) {
	r := c.voteRefusal(now, m)
	c.noteGiven(now, m, r)
	if r != refusalNone {
		c.sendAfterWrite(m.From, Message{Kind: MessageVoteReply, Reject: true, Hint: uint64(r)})
		return
	}
	if c.vote.VotedFor == "" {
		c.vote.VotedFor = m.From
		c.voteChanged = true
	}
	c.resetElectionTimer(now)
	c.sendAfterWrite(m.From, Message{Kind: MessageVoteReply})
}

// onVoteReply counts a vote. Votes of the current term count even if this member asks for pre-votes again
// because they were late: it has voted for itself, so that no other member can win the term.
func (c *core) onVoteReply(now clock.Millis, m Message) {
	if c.votesGranted == nil || c.role == Leader || m.Reject {
		return
	}
	c.votesGranted[m.From] = true
	if c.current().value.hasMajority(c.votesGranted) {
		c.becomeLeader(now)
	}
}

// onCampaign starts an election for a leadership transfer.
func (c *core) onCampaign(now clock.Millis) {
	if c.current().value.votes(c.identity()) {
		c.campaign(now, true)
	}
}
