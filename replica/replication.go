package replica

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// peer is the leader's replication state for another member.
type peer struct {
	identity       string
	matchIndex     uint64            // index up to which entries are known to be durable on the peer
	nextIndex      uint64            // index of the next entry to send
	awaitingReply  bool              // an append or a snapshot part has not been answered yet
	sentAt         clock.Millis      // when the message without a reply was sent
	heardAt        clock.Millis      // when the last reply arrived
	round          uint64            // newest heartbeat round that the peer answered
	snapshot       *storage.Snapshot // the snapshot being sent; nil if none
	snapshotOffset uint64            // offset of the next part to send, in bytes
}

// sentRound is a heartbeat round and the time at which it was sent.
type sentRound struct {
	number uint64
	at     clock.Millis
}

// leadership is the state that a member has only while it is the leader.
type leadership struct {
	peers        map[string]*peer // by identity
	termStart    uint64           // index of the first entry of the leader's term
	round        uint64           // number of the newest heartbeat round
	sentRounds   []sentRound      // the newest confirmed round and those after it
	heartbeatDue clock.Millis
	completed    uint64 // index of the newest committed membership entry that completed a change
	transfer     transfer
}

// transfer is a leadership transfer in progress. The lease is not extended during it.
type transfer struct {
	target     string       // identity of the next leader; empty if no transfer is in progress
	leaseUntil clock.Millis // end of the lease, which the target must not campaign before
	deadline   clock.Millis // when the transfer is given up
}

// confirmedRoundSentAt returns the time at which the newest round that a quorum answered was sent.
func (l *leadership) confirmedRoundSentAt() clock.Millis { return l.sentRounds[0].at }

// becomeLeader makes the member the leader of the current term.
func (c *core) becomeLeader(now clock.Millis) {
	c.role, c.votesGranted = Leader, nil
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

// appendAsLeader sets the index and term of new entries and appends them to the leader's
// log. It returns the index of the first one.
func (c *core) appendAsLeader(now clock.Millis, entries []storage.Entry) uint64 {
	first := c.log.last() + 1
	for i := range entries {
		entries[i].Index = first + uint64(i)
		entries[i].Term = c.vote.Term
	}
	c.appendEntries(entries)
	c.updatePeers(now)
	return first
}

// updatePeers adds and removes peers to match the current membership.
func (c *core) updatePeers(now clock.Millis) {
	peers := map[string]*peer{}
	for _, m := range c.current().value.members {
		if m.Identity == c.identity() {
			continue
		}
		p, ok := c.leadership.peers[m.Identity]
		if !ok {
			p = &peer{identity: m.Identity, nextIndex: c.log.last(), heardAt: now}
		}
		peers[m.Identity] = p
	}
	c.leadership.peers = peers
}

// orderedPeers returns the peers in a fixed order, so that simulations are reproducible.
func (c *core) orderedPeers() []*peer {
	peers := make([]*peer, 0, len(c.leadership.peers))
	for _, m := range c.current().value.members {
		if p, ok := c.leadership.peers[m.Identity]; ok {
			peers = append(peers, p)
		}
	}
	return peers
}

// propose appends commands and returns the index of the first one. It reports false if
// this member does not accept proposals.
func (c *core) propose(now clock.Millis, commands [][]byte) (uint64, bool) {
	if !c.acceptsProposals() {
		return 0, false
	}
	entries := make([]storage.Entry, len(commands))
	for i, command := range commands {
		entries[i] = storage.Entry{Kind: entryCommand, Data: command}
	}
	first := c.appendAsLeader(now, entries)
	c.sendAll(now)
	return first, true
}

// acceptsProposals reports whether this member is the leader and no leadership transfer is
// in progress.
func (c *core) acceptsProposals() bool {
	return c.role == Leader && c.leadership.transfer.target == ""
}

// heartbeat starts a heartbeat round.
func (c *core) heartbeat(now clock.Millis) {
	l := &c.leadership
	l.round++
	l.sentRounds = append(l.sentRounds, sentRound{number: l.round, at: now})
	l.heartbeatDue = now + c.options.heartbeat
	for _, p := range c.orderedPeers() {
		c.send(p.identity, Message{Kind: MessageHeartbeat, Round: l.round, Commit: min(p.matchIndex, c.commitIndex)})
	}
	c.confirmRounds()
}

// confirmRounds removes the rounds before the newest one that a quorum answered.
func (c *core) confirmRounds() {
	l := &c.leadership
	confirmed := c.confirmedRound()
	for len(l.sentRounds) > 1 && l.sentRounds[1].number <= confirmed {
		l.sentRounds = l.sentRounds[1:]
	}
}

// confirmedRound returns the newest heartbeat round that a quorum answered.
func (c *core) confirmedRound() uint64 {
	return c.current().value.quorum(func(identity string) uint64 {
		if identity == c.identity() {
			return c.leadership.round
		}
		return c.peer(identity).round
	})
}

// peer returns the replication state of a member. It is empty for a former voter that has
// not been in the membership during this leader's term.
func (c *core) peer(identity string) *peer {
	if p, ok := c.leadership.peers[identity]; ok {
		return p
	}
	return &peer{}
}

// leaseUntil returns the time at which the leader lease ends, or 0 if there is none.
func (c *core) leaseUntil() clock.Millis {
	l := &c.leadership
	switch {
	case c.role != Leader || c.commitIndex < l.termStart || l.sentRounds[0].number == 0:
		return 0
	case l.transfer.target != "":
		return l.transfer.leaseUntil
	default:
		return l.confirmedRoundSentAt() + c.options.lease()
	}
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
	}
	c.advanceTransfer(now)
}

// resendAll sends messages again that were not answered within two heartbeat intervals.
func (c *core) resendAll(now clock.Millis) {
	for _, p := range c.orderedPeers() {
		if p.awaitingReply && now-p.sentAt >= 2*c.options.heartbeat {
			p.awaitingReply = false
		}
		c.sendEntries(now, p)
	}
}

// sendAll sends the next entries to all peers.
func (c *core) sendAll(now clock.Millis) {
	for _, p := range c.orderedPeers() {
		c.sendEntries(now, p)
	}
}

// sendEntries sends the next entries, or the next part of a snapshot, to a peer. At most
// one such message is in flight; entries that are appended meanwhile go into the next one.
func (c *core) sendEntries(now clock.Millis, p *peer) {
	if p.awaitingReply || p.nextIndex > c.log.last() && p.matchIndex+1 == p.nextIndex {
		return
	}
	p.awaitingReply, p.sentAt = true, now
	previous := p.nextIndex - 1
	term, known := c.log.term(previous)
	if p.snapshot != nil || !known {
		c.sendSnapshot(p)
		return
	}
	c.send(p.identity, Message{
		Kind: MessageAppend, Index: previous, LogTerm: term, Commit: c.commitIndex,
		Entries: c.log.entriesFrom(p.nextIndex, c.options.limits.appendBytes),
	})
}

func (c *core) onAppend(m Message) {
	last := m.Index + uint64(len(m.Entries))
	switch {
	case m.Index < c.commitIndex:
		// The leader has the same committed entries.
		c.sendAfterWrite(m.From, Message{Kind: MessageAppendReply, Index: c.commitIndex})
	case !c.log.matches(m.Index, m.LogTerm):
		hint := c.conflictHint(m.Index)
		c.sendAfterWrite(m.From, Message{Kind: MessageAppendReply, Reject: true, Index: m.Index, Hint: hint})
	default:
		c.storeEntries(m.Entries)
		c.commitIndex = max(c.commitIndex, min(m.Commit, last))
		c.sendAfterWrite(m.From, Message{Kind: MessageAppendReply, Index: last})
	}
}

// storeEntries appends the leader's entries and removes local entries that differ.
func (c *core) storeEntries(entries []storage.Entry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.log.last() {
			c.truncateFrom(e.Index)
		}
		c.appendEntries(entries[i:])
		return
	}
}

// conflictHint returns the highest index up to which this log may agree with a log that
// differs at index. It skips the whole term of the entry at index.
func (c *core) conflictHint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	term, _ := c.log.term(index)
	for index > c.commitIndex && c.log.matches(index, term) {
		index--
	}
	return index
}

func (c *core) onAppendReply(now clock.Millis, m Message) {
	p, ok := c.leadership.peers[m.From]
	if c.role != Leader || !ok {
		return
	}
	p.heardAt = now
	switch {
	case m.Reject && m.Index != p.nextIndex-1:
		return // The reply belongs to an earlier message.
	case m.Reject:
		p.nextIndex = max(p.matchIndex+1, min(m.Hint+1, p.nextIndex-1))
	case m.Index >= p.matchIndex:
		p.matchIndex, p.nextIndex = m.Index, m.Index+1
		if p.snapshot != nil && p.matchIndex >= p.snapshot.Index {
			p.snapshot = nil
		}
	}
	p.awaitingReply = false
	c.advanceCommit(now)
	if c.role == Leader {
		c.sendEntries(now, p)
	}
}

// advanceCommit commits the entries that a quorum has stored, provided that the last of
// them is from the current term. Entries of earlier terms are committed only together with
// one: a later leader can still replace them even if a majority has stored them.
func (c *core) advanceCommit(now clock.Millis) {
	reached := c.current().value.quorum(func(identity string) uint64 {
		if identity == c.identity() {
			return c.durableIndex
		}
		return c.peer(identity).matchIndex
	})
	if reached <= c.commitIndex || !c.log.matches(reached, c.vote.Term) {
		return
	}
	c.commitIndex = reached
	c.completeMembershipChange(now)
}

func (c *core) onHeartbeat(m Message) {
	c.commitIndex = max(c.commitIndex, min(m.Commit, c.log.last()))
	c.send(m.From, Message{Kind: MessageHeartbeatReply, Round: m.Round})
}

func (c *core) onHeartbeatReply(now clock.Millis, m Message) {
	p, ok := c.leadership.peers[m.From]
	if c.role != Leader || !ok {
		return
	}
	p.heardAt = now
	p.round = max(p.round, min(m.Round, c.leadership.round))
	c.confirmRounds()
}

// readPoint is what a linearizable read has to wait for.
type readPoint struct {
	index uint64 // entry that must be applied
	round uint64 // heartbeat round that must be confirmed; 0 means none
	term  uint64 // term of the leader
}

// barrier returns the read point of a read that starts now. If the lease has ended, it
// starts a heartbeat round to confirm that this member is still the leader.
func (c *core) barrier(now clock.Millis) (readPoint, bool) {
	if !c.acceptsProposals() {
		return readPoint{}, false
	}
	point := readPoint{index: max(c.commitIndex, c.leadership.termStart), term: c.vote.Term}
	if now >= c.leaseUntil() {
		c.heartbeat(now)
		point.round = c.leadership.round
	}
	return point, true
}

// readConfirmed reports whether the read point's entry is committed and the leader was
// confirmed after the read started. The entry may not be applied yet.
func (c *core) readConfirmed(p readPoint) bool {
	return c.commitIndex >= p.index && c.leadership.sentRounds[0].number >= p.round
}

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
