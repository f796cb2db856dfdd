package replica

import "github.com/galenaslip/galenaslip/clock"

// sentRound is a heartbeat round and the time at which it was sent.
type sentRound struct {
	number uint64
	at     clock.Millis
}

// confirmedRoundSentAt returns the time at which the newest round that a quorum answered was sent.
func (l *leadership) confirmedRoundSentAt() clock.Millis { return l.sentRounds[0].at }

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

func (c *core) onHeartbeat(now clock.Millis, m Message) {
	c.commitIndex = max(c.commitIndex, min(m.Commit, c.log.last()))
	c.send(m.From, Message{Kind: MessageHeartbeatReply, Round: m.Round, DiskFailingFor: c.diskFailingFor(now)})
}

func (c *core) onHeartbeatReply(now clock.Millis, m Message) {
	p, ok := c.leadership.peers[m.From]
	if c.role != Leader || !ok {
		return
	}
	p.heardAt = now
	p.noteDisk(now, m.DiskFailingFor)
	p.round = max(p.round, min(m.Round, c.leadership.round))
	c.confirmRounds()
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
