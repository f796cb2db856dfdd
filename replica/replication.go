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

	diskFailingSince clock.Millis // when the peer's disk began to take no writes; 0 if it works
	storedAt         clock.Millis // when the peer last confirmed that it has stored an entry
	diskWorksSince   clock.Millis // when the peer's disk was last known to fail, or the start of the term
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
			p = &peer{identity: m.Identity, nextIndex: c.log.last(), heardAt: now, diskWorksSince: now}
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

// peer returns the replication state of a member. It is empty for a former voter that has
// not been in the membership during this leader's term.
func (c *core) peer(identity string) *peer {
	if p, ok := c.leadership.peers[identity]; ok {
		return p
	}
	return &peer{}
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
// one such message is in flight; entries that are appended meanwhile go into the next one. A
// peer whose disk fails could not store them.
func (c *core) sendEntries(now clock.Millis, p *peer) {
	if p.awaitingReply || p.diskFailingSince != 0 || p.nextIndex > c.log.last() && p.matchIndex+1 == p.nextIndex {
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
		if m.Index > p.matchIndex {
			p.storedAt = now
		}
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
