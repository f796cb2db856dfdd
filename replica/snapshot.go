package replica

import (
	"slices"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// incomingSnapshot is a snapshot of which some parts have been received.
type incomingSnapshot struct {
	index, term uint64
	data        []byte
}

// sendSnapshot sends the next part of a snapshot to a peer that lacks entries which are no
// longer in memory. A transfer in progress continues with the snapshot that it began with.
func (c *core) sendSnapshot(p *peer) {
	if p.snapshot == nil {
		snapshot := c.snapshot
		p.snapshot, p.snapshotOffset = &snapshot, 0
	}
	s := p.snapshot
	end := min(uint64(len(s.Data)), p.snapshotOffset+c.options.limits.snapshotPartBytes)
	c.send(p.identity, Message{
		Kind: MessageSnapshot, Index: s.Index, LogTerm: s.Term, Members: s.Members,
		Offset: p.snapshotOffset, Data: s.Data[p.snapshotOffset:end], Done: end == uint64(len(s.Data)),
	})
}

func (c *core) onSnapshot(m Message) {
	if m.Index <= c.commitIndex {
		c.incomingSnapshot = nil
		c.sendAfterWrite(m.From, Message{Kind: MessageAppendReply, Index: c.commitIndex})
		return
	}
	in := c.incomingSnapshot
	if in == nil || in.index != m.Index || in.term != m.LogTerm {
		in = &incomingSnapshot{index: m.Index, term: m.LogTerm}
		c.incomingSnapshot = in
	}
	if m.Offset != uint64(len(in.data)) {
		c.sendAfterWrite(m.From, Message{Kind: MessageSnapshotReply, Index: m.Index, Offset: uint64(len(in.data))})
		return
	}
	in.data = append(in.data, m.Data...)
	if !m.Done {
		c.sendAfterWrite(m.From, Message{Kind: MessageSnapshotReply, Index: m.Index, Offset: uint64(len(in.data))})
		return
	}
	c.incomingSnapshot = nil
	members, err := decodeMembership(m.Members)
	if err != nil {
		return
	}
	c.installSnapshot(storage.Snapshot{Index: in.index, Term: in.term, Members: m.Members, Data: in.data}, members)
	c.sendAfterWrite(m.From, Message{Kind: MessageAppendReply, Index: m.Index})
}

// installSnapshot replaces the start of the log, or the whole log if it doesn't contain the
// snapshot's last entry, by a snapshot from the leader.
func (c *core) installSnapshot(s storage.Snapshot, members membership) {
	reset := !c.log.matches(s.Index, s.Term)
	if reset {
		c.log.reset(s.Index, s.Term)
		c.memberships = []indexedMembership{{index: s.Index, value: members}}
		c.firstUnwritten, c.durableIndex = s.Index+1, s.Index
	}
	c.commitIndex = s.Index
	c.snapshot, c.snapshotToWrite, c.snapshotToRestore = s, &s, &s
	c.snapshotReplacesLog = c.snapshotReplacesLog || reset
	if !reset {
		c.compact(s.Index)
	}
}

func (c *core) onSnapshotReply(now clock.Millis, m Message) {
	p, ok := c.leadership.peers[m.From]
	if c.role != Leader || !ok {
		return
	}
	p.heardAt = now
	if p.snapshot == nil || p.snapshot.Index != m.Index || m.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	p.snapshotOffset = m.Offset
	p.awaitingReply = false
	c.sendEntries(now, p)
}

// takeSnapshot schedules a snapshot of the state machine after the entry at index for
// writing, and removes entries that are no longer needed from memory.
func (c *core) takeSnapshot(index uint64, data []byte) {
	if index <= c.snapshot.Index {
		return
	}
	term, _ := c.log.term(index)
	effective := c.memberships[0]
	for _, m := range c.memberships {
		if m.index <= index {
			effective = m
		}
	}
	s := storage.Snapshot{Index: index, Term: term, Members: encodeMembership(effective.value), Data: data}
	c.snapshot, c.snapshotToWrite = s, &s
	c.compact(c.log.removable(index, c.options.limits.keptEntries, c.options.limits.keptBytes))
}

// compact removes entries up to index from memory, except those that are not part of a disk
// batch yet.
func (c *core) compact(index uint64) {
	index = min(index, c.firstUnwritten-1)
	for len(c.memberships) > 1 && c.memberships[1].index <= index {
		c.memberships = slices.Clone(c.memberships[1:])
	}
	c.log.compact(index)
}
