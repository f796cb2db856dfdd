package replica

import "github.com/galenaslip/galenaslip/clock"

// step handles a received message. It ignores messages that are addressed to a former
// identity of this member or come from another membership epoch or a removed member.
func (c *core) step(now clock.Millis, m Message) {
	if m.To != c.identity() && !c.replaceFounder(m) {
		return
	}
	c.rememberSender(now, m)
	switch m.Kind {
	case MessageHello:
		c.onHello(m)
		return
	case MessageHelloReply:
		c.onHelloReply(m)
		return
	case MessageExcluded:
		c.onExcluded(now, m.Epoch)
		return
	}
	if !c.founded {
		// The sender may be the only remaining member that knows the founding folder IDs.
		c.send(m.From, Message{Kind: MessageHello, FolderID: c.vote.FolderID})
		return
	}
	if c.diskFails() && (m.Kind == MessagePreVote || m.Kind == MessageVote) {
		c.refuseAtOnce(now, m, refusalDiskFails)
		return // A vote would have to be durable, and so would the term of the request.
	}
	if c.excluded || !c.acceptSender(now, m) {
		return
	}
	c.noteReceived(now, m)
	if !c.stepTerm(now, m) {
		return
	}
	c.handleMessage(now, m)
}

// rememberSender stores the sender's address, so that a sender that isn't in the known
// membership can be answered, and when it was heard.
func (c *core) rememberSender(now clock.Millis, m Message) {
	if len(c.knownSenders) >= maxKnownSenders {
		clear(c.knownSenders)
	}
	c.knownSenders[m.From] = sender{
		member: Member{Identity: m.From, Name: m.Name, Address: m.Address}, heardAt: now, epoch: m.Epoch,
	}
}

// onExcluded handles the report that this member no longer belongs to the group. A member
// that is in contact with a leader, or is the leader, ignores it: a recovery that was run
// at the wrong member must not stop a working group.
func (c *core) onExcluded(now clock.Millis, epoch uint64) {
	if epoch < c.vote.Epoch || c.hearsLeader(now) {
		return
	}
	c.excluded = true
	c.stepDownIfExcluded(now)
}

// stepDownIfExcluded makes the member a follower if it is excluded from the group.
func (c *core) stepDownIfExcluded(now clock.Millis) {
	if c.excluded {
		c.becomeFollower(now, c.vote.Term, Member{})
	}
}

// acceptSender reports whether the sender has this member's membership epoch and was not
// removed from the group. It answers a sender that no longer belongs to the group with
// MessageExcluded.
func (c *core) acceptSender(now clock.Millis, m Message) bool {
	if c.vote.Epoch == 0 && m.fromLeader() && m.Epoch > 0 {
		c.vote.Epoch = m.Epoch
		c.voteChanged = true
	}
	if m.Epoch > c.vote.Epoch && m.fromLeader() {
		c.onExcluded(now, m.Epoch)
	}
	if m.Epoch < c.vote.Epoch || c.committed().value.isRemoved(m.From) {
		c.send(m.From, Message{Kind: MessageExcluded})
		return false
	}
	return m.Epoch == c.vote.Epoch
}

// stepTerm compares the message's term with this member's and moves to a newer term if
// necessary. It reports whether the message should be processed.
func (c *core) stepTerm(now clock.Millis, m Message) bool {
	if m.Term < c.vote.Term {
		if m.Kind == MessagePreVote {
			c.noteGiven(now, m, refusalOldTerm)
		}
		if m.fromLeader() || m.Kind == MessagePreVote {
			// The reply tells a former leader or a pre-candidate the newer term.
			c.sendAfterWrite(m.From, Message{Kind: MessageAppendReply, Reject: true})
		}
		return false
	}
	if m.Term == c.vote.Term {
		return true
	}
	switch {
	case m.Kind == MessagePreVote, m.Kind == MessagePreVoteReply && !m.Reject:
		return true // The sender has not moved to this term yet.
	case m.Kind == MessageVote && !m.Transfer && c.hearsLeader(now):
		c.refuseAtOnce(now, m, refusalHearsLeader)
		return false
	default:
		c.becomeFollower(now, m.Term, Member{})
		return true
	}
}

// handleMessage calls the handler for the message's kind.
func (c *core) handleMessage(now clock.Millis, m Message) {
	if m.fromLeader() {
		if c.role == Leader {
			return // A second leader in a term is impossible unless a member lost its vote.
		}
		c.followLeader(now, m)
	}
	switch m.Kind {
	case MessagePreVote:
		c.onPreVote(now, m)
	case MessagePreVoteReply:
		c.onPreVoteReply(now, m)
	case MessageVote:
		c.onVote(now, m)
	case MessageVoteReply:
		c.onVoteReply(now, m)
	case MessageAppend:
		c.onAppend(m)
	case MessageAppendReply:
		c.onAppendReply(now, m)
	case MessageHeartbeat:
		c.onHeartbeat(now, m)
	case MessageHeartbeatReply:
		c.onHeartbeatReply(now, m)
	case MessageSnapshot:
		c.onSnapshot(m)
	case MessageSnapshotReply:
		c.onSnapshotReply(now, m)
	case MessageCampaign:
		c.onCampaign(now)
	}
}

// envelopeFor fills in the message's sender, recipient, epoch and term and looks up the
// recipient's address.
func (c *core) envelopeFor(to string, m Message) envelope {
	m.From, m.To = c.identity(), to
	m.Name, m.Address = c.options.self.Name, c.options.self.Address
	m.Epoch = c.vote.Epoch
	if m.Term == 0 {
		m.Term = c.vote.Term
	}
	member, ok := c.current().value.find(to)
	if !ok {
		member = c.knownSenders[to].member
	}
	return envelope{to: member, message: m}
}

// sendAfterWrite sends a message once all pending records are durable. It drops the message while
// the disk fails, because it would be outdated by the time the disk works again.
func (c *core) sendAfterWrite(to string, m Message) {
	if c.diskFails() {
		return
	}
	c.messagesAfterWrite = append(c.messagesAfterWrite, c.envelopeFor(to, m))
}

// send sends a message immediately if the current term is durable, otherwise after the
// pending records.
func (c *core) send(to string, m Message) {
	if c.durableTerm != c.vote.Term {
		c.sendAfterWrite(to, m)
		return
	}
	c.readyMessages = append(c.readyMessages, c.envelopeFor(to, m))
}
