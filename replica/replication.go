package replica

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// peer is what the leader knows about another member.
type peer struct {
	identity    string
	match       uint64 // entries known to be durable there
	next        uint64 // first entry to send
	outstanding bool   // an append or snapshot part was not answered yet
	sentAt      clock.Millis
	heardAt     clock.Millis
	round       uint64            // newest heartbeat round that it answered
	snapshot    *storage.Snapshot // in transfer
	offset      uint64
}

// sentRound is a heartbeat round with the time at which it was sent.
type sentRound struct {
	number uint64
	at     clock.Millis
}

// leadership is the state that a leader has only during its term.
type leadership struct {
	peers        map[string]*peer
	first        uint64 // first entry of the term
	round        uint64
	sent         []sentRound // from the newest confirmed round on
	heartbeatDue clock.Millis
	settled      uint64 // newest committed membership entry that ended a change
	transfer     transfer
}

// transfer is a leadership transfer. The lease is not extended meanwhile.
type transfer struct {
	to         string
	leaseUntil clock.Millis
	giveUp     clock.Millis
}

// confirmedAt returns when the newest round that a quorum answered was sent.
func (l *leadership) confirmedAt() clock.Millis { return l.sent[0].at }

func (c *core) becomeLeader(now clock.Millis) {
	c.role, c.granted = Leader, nil
	c.leader = c.options.self
	c.leadership = leadership{
		peers: map[string]*peer{},
		first: c.log.last() + 1,
		sent:  []sentRound{{at: now}},
	}
	// The membership is repeated as the first entry of the term. It commits
	// earlier entries, and tells it to members that joined without it.
	repeated := c.current().value
	if len(repeated.lives) == 0 {
		repeated.lives = c.vote.FounderFolderIDs
	}
	c.appendOwn(now, []storage.Entry{{Kind: entryMembership, Data: encodeMembership(repeated)}})
	c.heartbeat(now)
	c.sendAll(now)
}

// appendOwn numbers entries and adds them to the leader's log.
func (c *core) appendOwn(now clock.Millis, entries []storage.Entry) uint64 {
	first := c.log.last() + 1
	for i := range entries {
		entries[i].Index = first + uint64(i)
		entries[i].Term = c.vote.Term
	}
	c.appendEntries(entries)
	c.refreshPeers(now)
	return first
}

// refreshPeers follows the membership.
func (c *core) refreshPeers(now clock.Millis) {
	peers := map[string]*peer{}
	for _, m := range c.current().value.members {
		if m.Identity == c.identity() {
			continue
		}
		p, ok := c.leadership.peers[m.Identity]
		if !ok {
			p = &peer{identity: m.Identity, next: c.log.last(), heardAt: now}
		}
		peers[m.Identity] = p
	}
	c.leadership.peers = peers
}

// orderedPeers returns the peers in a fixed order, so that runs can be repeated.
func (c *core) orderedPeers() []*peer {
	peers := make([]*peer, 0, len(c.leadership.peers))
	for _, m := range c.current().value.members {
		if p, ok := c.leadership.peers[m.Identity]; ok {
			peers = append(peers, p)
		}
	}
	return peers
}

// propose appends commands and returns the index of the first.
func (c *core) propose(now clock.Millis, commands [][]byte) (uint64, bool) {
	if !c.accepts() {
		return 0, false
	}
	entries := make([]storage.Entry, len(commands))
	for i, command := range commands {
		entries[i] = storage.Entry{Kind: entryCommand, Data: command}
	}
	first := c.appendOwn(now, entries)
	c.sendAll(now)
	return first, true
}

// accepts reports whether proposals are accepted.
func (c *core) accepts() bool {
	return c.role == Leader && c.leadership.transfer.to == ""
}

// heartbeat starts a round.
func (c *core) heartbeat(now clock.Millis) {
	l := &c.leadership
	l.round++
	l.sent = append(l.sent, sentRound{number: l.round, at: now})
	l.heartbeatDue = now + c.options.heartbeat
	for _, p := range c.orderedPeers() {
		c.send(p.identity, Message{Kind: MessageHeartbeat, Round: l.round, Commit: min(p.match, c.commit)})
	}
	c.confirmRounds()
}

// confirmRounds drops the rounds before the newest one that a quorum answered.
func (c *core) confirmRounds() {
	l := &c.leadership
	confirmed := c.confirmedRound()
	for len(l.sent) > 1 && l.sent[1].number <= confirmed {
		l.sent = l.sent[1:]
	}
}

func (c *core) confirmedRound() uint64 {
	return c.current().value.quorum(func(identity string) uint64 {
		if identity == c.identity() {
			return c.leadership.round
		}
		return c.peer(identity).round
	})
}

// peer returns what is known about a member; nothing is known about a former
// voter that this leader has never seen in the membership.
func (c *core) peer(identity string) *peer {
	if p, ok := c.leadership.peers[identity]; ok {
		return p
	}
	return &peer{}
}

// leaseUntil returns the end of the leader lease; it is in the past when there
// is none.
func (c *core) leaseUntil() clock.Millis {
	l := &c.leadership
	switch {
	case c.role != Leader || c.commit < l.first || l.sent[0].number == 0:
		return 0
	case l.transfer.to != "":
		return l.transfer.leaseUntil
	default:
		return l.confirmedAt() + c.options.lease()
	}
}

func (c *core) tickLeader(now clock.Millis) {
	l := &c.leadership
	if now-l.confirmedAt() >= c.options.election {
		// No quorum answered for a whole election timeout.
		c.becomeFollower(now, c.vote.Term, Member{})
		return
	}
	if now >= l.heartbeatDue {
		c.heartbeat(now)
		c.resendAll(now)
	}
	c.tickTransfer(now)
}

// resendAll repeats messages whose answer is late.
func (c *core) resendAll(now clock.Millis) {
	for _, p := range c.orderedPeers() {
		if p.outstanding && now-p.sentAt >= 2*c.options.heartbeat {
			p.outstanding = false
		}
		c.sendEntries(now, p)
	}
}

func (c *core) sendAll(now clock.Millis) {
	for _, p := range c.orderedPeers() {
		c.sendEntries(now, p)
	}
}

// sendEntries sends the next entries to a peer, one message at a time. What
// arrives meanwhile goes into the next message.
func (c *core) sendEntries(now clock.Millis, p *peer) {
	if p.outstanding || p.next > c.log.last() && p.match+1 == p.next {
		return
	}
	p.outstanding, p.sentAt = true, now
	before := p.next - 1
	term, known := c.log.term(before)
	if p.snapshot != nil || !known {
		c.sendSnapshot(p)
		return
	}
	c.send(p.identity, Message{
		Kind: MessageAppend, Index: before, LogTerm: term, Commit: c.commit,
		Entries: c.log.slice(p.next, c.options.limits.appendBytes),
	})
}

func (c *core) onAppend(m Message) {
	last := m.Index + uint64(len(m.Entries))
	switch {
	case m.Index < c.commit:
		// Committed entries are the same on the leader.
		c.queue(m.From, Message{Kind: MessageAppendReply, Index: c.commit})
	case !c.log.matches(m.Index, m.LogTerm):
		hint := c.conflictHint(m.Index)
		c.queue(m.From, Message{Kind: MessageAppendReply, Reject: true, Index: m.Index, Hint: hint})
	default:
		c.takeEntries(m.Entries)
		c.commit = max(c.commit, min(m.Commit, last))
		c.queue(m.From, Message{Kind: MessageAppendReply, Index: last})
	}
}

// takeEntries adds the leader's entries and drops those that differ.
func (c *core) takeEntries(entries []storage.Entry) {
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

// conflictHint returns an index up to which this log may agree with one that
// differs at index. A whole term is skipped at once.
func (c *core) conflictHint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	term, _ := c.log.term(index)
	for index > c.commit && c.log.matches(index, term) {
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
	case m.Reject && m.Index != p.next-1:
		return // Answer to an earlier attempt.
	case m.Reject:
		p.next = max(p.match+1, min(m.Hint+1, p.next-1))
	case m.Index >= p.match:
		p.match, p.next = m.Index, m.Index+1
		if p.snapshot != nil && p.match >= p.snapshot.Index {
			p.snapshot = nil
		}
	}
	p.outstanding = false
	c.advanceCommit(now)
	if c.role == Leader {
		c.sendEntries(now, p)
	}
}

// advanceCommit commits what a quorum has stored. Only an entry of the current
// term is counted; entries of earlier terms commit with it, because a majority
// that holds only those can still be overruled.
func (c *core) advanceCommit(now clock.Millis) {
	reached := c.current().value.quorum(func(identity string) uint64 {
		if identity == c.identity() {
			return c.stable
		}
		return c.peer(identity).match
	})
	if reached <= c.commit || !c.log.matches(reached, c.vote.Term) {
		return
	}
	c.commit = reached
	c.settleMembership(now)
}

func (c *core) onHeartbeat(m Message) {
	c.commit = max(c.commit, min(m.Commit, c.log.last()))
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

// readPoint is a position that a linearizable read waits for.
type readPoint struct {
	index uint64
	round uint64
	term  uint64
}

// barrier returns the position of a read that starts now.
func (c *core) barrier(now clock.Millis) (readPoint, bool) {
	if !c.accepts() {
		return readPoint{}, false
	}
	point := readPoint{index: max(c.commit, c.leadership.first), term: c.vote.Term}
	if now >= c.leaseUntil() {
		c.heartbeat(now)
		point.round = c.leadership.round
	}
	return point, true
}

// reached reports whether the leader was confirmed after the read started.
func (c *core) reached(p readPoint) bool {
	return c.commit >= p.index && c.leadership.sent[0].number >= p.round
}

// changeMember starts a membership change and returns the index of its entry.
func (c *core) changeMember(now clock.Millis, change MemberChange) (uint64, string) {
	current := c.current()
	switch {
	case current.value.joint() || current.index > c.commit || c.commit < c.leadership.first:
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

// checkLearner keeps a member that would hold up commits from becoming a voter.
func (c *core) checkLearner(now clock.Millis, identity string) string {
	p, ok := c.leadership.peers[identity]
	switch {
	case !ok:
		return "the identity is not a member"
	case now-p.heardAt >= c.options.election:
		return "the learner does not answer"
	case p.match < c.current().index || p.match+promotionLag < c.commit:
		// It must also know the membership, or it could not take part in elections.
		return "the learner has not caught up"
	default:
		return ""
	}
}

func (c *core) appendMembership(now clock.Millis, m membership) uint64 {
	index := c.appendOwn(now, []storage.Entry{{Kind: entryMembership, Data: encodeMembership(m)}})
	c.sendAll(now)
	return index
}

// settleMembership ends a membership change whose entry is committed.
func (c *core) settleMembership(now clock.Millis) {
	current := c.current()
	if current.index > c.commit {
		return
	}
	if current.value.joint() {
		c.appendMembership(now, current.value.settled())
		return
	}
	c.leadership.settled = current.index
	if !current.value.votes(c.identity()) {
		// A leader that was removed leaves office once its removal is committed.
		c.heartbeat(now)
		c.becomeFollower(now, c.vote.Term, Member{})
	}
}

// transferLeadership starts a transfer. The target campaigns only after the
// lease has ended, so that leases do not overlap for anyone who read the lease.
func (c *core) transferLeadership(now clock.Millis, to string) string {
	current := c.current().value
	member, ok := current.find(to)
	switch {
	case !ok || !member.Voter || current.joint():
		return "the identity is not a voter"
	case to == c.identity():
		return "the identity is the leader"
	}
	c.leadership.transfer = transfer{to: to, leaseUntil: c.leaseUntil(), giveUp: now + 2*c.options.election}
	c.tickTransfer(now)
	return ""
}

func (c *core) tickTransfer(now clock.Millis) {
	t := c.leadership.transfer
	if t.to == "" {
		return
	}
	if now >= t.leaseUntil && c.peer(t.to).match == c.log.last() {
		c.send(t.to, Message{Kind: MessageCampaign})
		c.becomeFollower(now, c.vote.Term, Member{})
		return
	}
	if now >= t.giveUp {
		c.leadership.transfer = transfer{}
	}
}
