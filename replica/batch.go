package replica

import (
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// batch contains records for the disk, and messages that may be sent only after these
// records are durable.
type batch struct {
	vote        *storage.Vote
	entries     []storage.Entry
	snapshot    *storage.Snapshot
	replacesLog bool // the snapshot replaces the whole log and is written before the entries
	messages    []envelope
}

// writes reports whether the batch contains records for the disk.
func (b batch) writes() bool {
	return b.vote != nil || len(b.entries) > 0 || b.snapshot != nil
}

// nextBatch returns the next batch for the disk. At most one batch is in flight;
// everything that arrives while it is being written goes into the next one. A batch that could
// not be written stays in flight and is returned again.
func (c *core) nextBatch(now clock.Millis) (batch, bool) {
	if b, ok := c.failedBatchDue(now); ok {
		return b, true
	}
	if c.batchInFlight {
		return batch{}, false
	}
	b := batch{snapshot: c.snapshotToWrite, replacesLog: c.snapshotReplacesLog}
	if c.voteChanged {
		vote := c.vote
		b.vote = &vote
		c.voteInFlight = true
	}
	b.entries = c.log.entriesFrom(c.firstUnwritten, c.options.limits.appendBytes)
	c.firstUnwritten += uint64(len(b.entries))
	if c.firstUnwritten > c.log.last() {
		// Otherwise a reply could confirm entries that are only in a later batch.
		b.messages, c.messagesAfterWrite = c.messagesAfterWrite, nil
	}
	if !b.writes() && len(b.messages) == 0 {
		return batch{}, false
	}
	c.voteChanged, c.snapshotToWrite, c.snapshotReplacesLog = false, nil, false
	c.batchInFlight, c.disk.writeBegunAt = true, now
	return b, true
}

// batchWritten records that a batch is durable and releases its messages.
func (c *core) batchWritten(now clock.Millis, b batch) {
	c.batchInFlight, c.disk.failure = false, nil
	if b.vote != nil {
		c.durableTerm, c.voteInFlight = b.vote.Term, false
		if b.vote.VotedFor != "" && c.role != Leader {
			c.resetElectionTimer(now) // The vote, or the requests for votes, are sent only now.
		}
	}
	if b.snapshot != nil {
		c.durableIndex = max(c.durableIndex, b.snapshot.Index)
	}
	if n := len(b.entries); n > 0 && c.log.matches(b.entries[n-1].Index, b.entries[n-1].Term) {
		c.durableIndex = max(c.durableIndex, b.entries[n-1].Index)
	}
	for _, e := range b.messages {
		if e.message.To == c.identity() {
			c.step(now, e.message)
			continue
		}
		c.readyMessages = append(c.readyMessages, e)
	}
	if c.role == Leader {
		c.advanceCommit(now)
	}
}

// persist writes a batch to the journal. All its entries share one sync. After a failure it
// repairs the journal first, so that the batch can be passed again, and returns the number of bytes
// that this has cut off.
func persist(j *storage.Journal, b batch) (cutBytes int, err error) {
	if cutBytes, err = j.Repair(); err != nil {
		return 0, err
	}
	return cutBytes, writeRecords(j, b)
}

func writeRecords(j *storage.Journal, b batch) error {
	if b.vote != nil {
		if err := j.SaveVote(*b.vote); err != nil {
			return err
		}
	}
	if b.snapshot != nil && b.replacesLog {
		if err := j.SaveSnapshot(*b.snapshot, true); err != nil {
			return err
		}
	}
	if err := j.Append(b.entries); err != nil {
		return err
	}
	if b.snapshot != nil && !b.replacesLog {
		return j.SaveSnapshot(*b.snapshot, false)
	}
	return nil
}

// appendEntries adds entries to the end of the log.
func (c *core) appendEntries(entries []storage.Entry) {
	for _, e := range entries {
		c.log.entries = append(c.log.entries, e)
		if err := c.adoptMembership(e); err != nil {
			panic(errors.Wrapf(err, "replica: entry %d", e.Index))
		}
	}
}

// truncateFrom drops the uncommitted entries from index on, because they differ from the
// leader's.
func (c *core) truncateFrom(index uint64) {
	if index <= c.commitIndex {
		panic(errors.Errorf("replica: entry %d is committed and cannot be replaced", index))
	}
	c.log.truncate(index)
	c.firstUnwritten = min(c.firstUnwritten, index)
	c.durableIndex = min(c.durableIndex, index-1)
	for len(c.memberships) > 1 && c.current().index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}
