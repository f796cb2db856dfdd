package replica

import (
	"github.com/galenaslip/galenaslip/clock"
)

// diskHandoverPatience is how long the leader's disk must have taken no writes before the lead is
// handed to a voter whose disk has failed recently too, in election timeouts.
const diskHandoverPatience = 10

// diskState is what a member knows of its own disk. A write that has failed is repeated until it
// succeeds. Meanwhile the member keeps what it has in memory, but promises nothing: it sends no
// message that has to be durable, and takes no part in elections.
type diskState struct {
	failure      error        // why the newest write failed; nil if it succeeded
	failures     uint64       // number of times that the disk began to refuse writes
	failingSince clock.Millis // when the disk began to refuse writes
	failedBatch  *batch       // to be written again at retryAt; nil if none
	retryAt      clock.Millis
	retryDelay   clock.Millis // doubles with each failed attempt
	writeBegunAt clock.Millis // when the batch in flight was passed to the disk
	failedAt     clock.Millis // when the disk was last seen to refuse a write; 0 if never
}

// diskFails reports whether the newest write has failed.
func (c *core) diskFails() bool { return c.disk.failure != nil }

// diskFailingFor returns how long the disk has taken no write that it was given, or 0 if it works. A
// write that takes longer than an election timeout counts as failing: such a disk stalls.
func (c *core) diskFailingFor(now clock.Millis) clock.Millis {
	switch {
	case c.diskFails():
		return max(now-c.disk.failingSince, 1)
	case c.batchInFlight && now-c.disk.writeBegunAt >= c.options.electionTimeout:
		return now - c.disk.writeBegunAt
	default:
		return 0
	}
}

// batchFailed records that a batch could not be written, and schedules the next attempt. The
// messages that wait for the batch are dropped as if the network had lost them, because they would
// be outdated by the time it is durable.
func (c *core) batchFailed(now clock.Millis, b batch, err error) {
	d := &c.disk
	if d.failure == nil {
		d.failures++
		d.failingSince, d.retryDelay = now, c.options.heartbeat
	}
	d.failure, d.failedAt = err, now
	b.messages = nil
	d.failedBatch, d.retryAt = &b, now+d.retryDelay
	d.retryDelay = min(2*d.retryDelay, c.options.electionTimeout)
	c.messagesAfterWrite = nil
	if c.role == Candidate || c.role == PreCandidate {
		c.becomeFollower(now, c.vote.Term, Member{})
	}
}

// failedBatchDue returns the batch that could not be written when the next attempt is due.
func (c *core) failedBatchDue(now clock.Millis) (batch, bool) {
	if c.disk.failedBatch == nil || now < c.disk.retryAt {
		return batch{}, false
	}
	b := *c.disk.failedBatch
	c.disk.failedBatch = nil
	return b, true
}

// electionDelay is added to the election timeout of a member whose disk has failed recently, so
// that voters with working disks campaign first.
func (c *core) electionDelay(now clock.Millis) clock.Millis {
	if c.disk.failedAt == 0 || now-c.disk.failedAt >= c.diskTrustTime() {
		return 0
	}
	return 2 * c.options.electionTimeout
}

// diskTrustTime is how long a disk must have worked to be preferred over one that has just failed.
// It keeps disks that fail again and again from moving the lead each time.
func (c *core) diskTrustTime() clock.Millis { return 5 * c.options.electionTimeout }

// handOverIfDiskFails starts a leadership transfer if the leader's disk fails and a quorum of the
// other voters has stored entries since. Otherwise the leader stays: it can commit what a quorum of
// the others stores and keeps its lease without a disk, while an election needs a quorum of disks.
func (c *core) handOverIfDiskFails(now clock.Millis) {
	l := &c.leadership
	failingFor := c.diskFailingFor(now)
	if failingFor == 0 || l.transfer.target != "" || now < l.nextHandoverAt {
		return
	}
	working := map[string]bool{}
	var target *peer
	patience := diskHandoverPatience * c.options.electionTimeout
	for _, p := range c.orderedPeers() {
		member, _ := c.current().value.find(p.identity)
		reachable := now-p.heardAt < c.options.electionTimeout
		if !member.Voter || !reachable || p.diskFailingSince != 0 || p.storedAt <= now-failingFor {
			continue
		}
		working[p.identity] = true
		trusted := c.diskFails() && now-p.diskWorksSince >= c.diskTrustTime()
		if (trusted || failingFor >= patience) && (target == nil || p.matchIndex > target.matchIndex) {
			target = p
		}
	}
	if target == nil || !c.current().value.hasMajority(working) {
		return
	}
	l.nextHandoverAt = now + diskHandoverPatience*c.options.electionTimeout
	c.transferLeadership(now, target.identity)
}

// noteDisk records what the peer reports of its disk.
func (p *peer) noteDisk(now, failingFor clock.Millis) {
	if failingFor == 0 {
		p.diskFailingSince = 0
		return
	}
	p.diskFailingSince, p.diskWorksSince = max(now-failingFor, 1), now
}

// diskFailingFor returns how long the peer's disk has taken no writes, or 0 if it works.
func (p *peer) diskFailingFor(now clock.Millis) clock.Millis {
	if p.diskFailingSince == 0 {
		return 0
	}
	return now - p.diskFailingSince
}
