package replica

import (
	"slices"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// incoming is a snapshot that arrives in parts.
type incoming struct {
	index, term uint64
	data        []byte
}

// sendSnapshot sends the next part of a snapshot to a peer that is too far
// behind. A transfer that has begun goes on with the same snapshot.
func (c *core) sendSnapshot(p *peer) {
	if p.snapshot == nil {
		snapshot := c.snapshot
		p.snapshot, p.offset = &snapshot, 0
	}
	s := p.snapshot
	end := min(uint64(len(s.Data)), p.offset+c.options.limits.partBytes)
	c.send(p.identity, Message{
		Kind: MessageSnapshot, Index: s.Index, LogTerm: s.Term, Members: s.Members,
		Offset: p.offset, Data: s.Data[p.offset:end], Done: end == uint64(len(s.Data)),
	})
}

func (c *core) onSnapshot(m Message) {
	if m.Index <= c.commit {
		c.incoming = nil
		c.queue(m.From, Message{Kind: MessageAppendReply, Index: c.commit})
		return
	}
	in := c.incoming
	if in == nil || in.index != m.Index || in.term != m.LogTerm {
		in = &incoming{index: m.Index, term: m.LogTerm}
		c.incoming = in
	}
	if m.Offset != uint64(len(in.data)) {
		c.queue(m.From, Message{Kind: MessageSnapshotReply, Index: m.Index, Offset: uint64(len(in.data))})
		return
	}
	in.data = append(in.data, m.Data...)
	if !m.Done {
		c.queue(m.From, Message{Kind: MessageSnapshotReply, Index: m.Index, Offset: uint64(len(in.data))})
		return
	}
	c.incoming = nil
	members, err := decodeMembership(m.Members)
	if err != nil {
		return
	}
	c.install(storage.Snapshot{Index: in.index, Term: in.term, Members: m.Members, Data: in.data}, members)
	c.queue(m.From, Message{Kind: MessageAppendReply, Index: m.Index})
}

// install puts a snapshot from the leader in the place of the log's start.
func (c *core) install(s storage.Snapshot, members membership) {
	reset := !c.log.matches(s.Index, s.Term)
	if reset {
		c.log.reset(s.Index, s.Term)
		c.memberships = []placedMembership{{index: s.Index, value: members}}
		c.unsaved, c.stable = s.Index+1, s.Index
	}
	c.commit = s.Index
	c.snapshot, c.newSnapshot, c.restore = s, &s, &s
	c.resetLog = c.resetLog || reset
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
	p.offset = m.Offset
	p.outstanding = false
	c.sendEntries(now, p)
}

// takeSnapshot stores the state machine's state after the entry at index and
// drops entries that are no longer needed.
func (c *core) takeSnapshot(index uint64, data []byte) {
	if index <= c.snapshot.Index {
		return
	}
	term, _ := c.log.term(index)
	placed := c.memberships[0]
	for _, m := range c.memberships {
		if m.index <= index {
			placed = m
		}
	}
	s := storage.Snapshot{Index: index, Term: term, Members: encodeMembership(placed.value), Data: data}
	c.snapshot, c.newSnapshot = s, &s
	if kept := c.options.limits.kept; index > kept {
		c.compact(index - kept)
	}
}

// compact drops entries up to index that are already handed to the disk.
func (c *core) compact(index uint64) {
	index = min(index, c.unsaved-1)
	for len(c.memberships) > 1 && c.memberships[1].index <= index {
		c.memberships = slices.Clone(c.memberships[1:])
	}
	c.log.compact(index)
}
