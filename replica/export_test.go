package replica

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// Core gives the simulation access to the protocol without its goroutines.
type Core struct{ core *core }

// Batch is a batch of records for the disk.
type Batch = batch

// CoreOptions configures a simulated member.
type CoreOptions struct {
	Options                        Options
	KeptEntries, SnapshotPartBytes uint64
	AppendBytes                    int
}

// OpenCore opens a folder and returns the core and journal of a member.
func OpenCore(now clock.Millis, o CoreOptions) (*Core, *storage.Journal, storage.State, func(), error) {
	options := withDefaults(o.Options)
	j, state, release, err := openJournal(options)
	if err != nil {
		return nil, nil, state, nil, err
	}
	settings := coreOptionsOf(options)
	settings.limits = limits{keptEntries: o.KeptEntries, keptBytes: defaultKeptBytes, appendBytes: o.AppendBytes, snapshotPartBytes: o.SnapshotPartBytes}
	c, err := newCore(now, settings, state)
	return &Core{core: c}, j, state, release, err
}

// EncodeFounders returns the stored encoding of the founding members.
func EncodeFounders(members []Member) []byte {
	return encodeMembership(membership{epoch: 1, members: members})
}

// Persist writes a batch to the journal.
var Persist = persist

// Tick runs the core's timers if one has expired.
func (c *Core) Tick(now clock.Millis) {
	if now >= c.core.nextTick() {
		c.core.tick(now)
	}
}

// Step handles a received message.
func (c *Core) Step(now clock.Millis, m Message) { c.core.step(now, m) }

// Campaign starts an election without waiting for the election timeout and without a
// pre-vote, because the guarantees must not depend on either.
func (c *Core) Campaign(now clock.Millis) {
	if c.core.role != Leader && c.core.mayVote() && c.core.mayCampaign() {
		c.core.campaign(now, false)
	}
}

// Propose proposes one command and reports whether it was accepted.
func (c *Core) Propose(now clock.Millis, command []byte) bool {
	_, ok := c.core.propose(now, [][]byte{command})
	return ok
}

// ChangeMember starts a membership change at the leader and returns the reason if it is
// refused.
func (c *Core) ChangeMember(now clock.Millis, change MemberChange) string {
	if !c.core.acceptsProposals() {
		return "not leader"
	}
	_, reason := c.core.changeMember(now, change)
	return reason
}

// TransferLeadership starts a leadership transfer if the member is the leader.
func (c *Core) TransferLeadership(now clock.Millis, to string) {
	if c.core.acceptsProposals() {
		c.core.transferLeadership(now, to)
	}
}

// NextBatch returns the next batch for the disk, if there is one.
func (c *Core) NextBatch(now clock.Millis) (Batch, bool) { return c.core.nextBatch(now) }

// BatchFailed reports to the core that a batch could not be written.
func (c *Core) BatchFailed(now clock.Millis, b Batch, err error) { c.core.batchFailed(now, b, err) }

// DiskFailingFor returns how long the disk of a member has taken no writes, as the leader knows.
func (c *Core) DiskFailingFor(now clock.Millis, identity string) clock.Millis {
	return c.core.peer(identity).diskFailingFor(now)
}

// BatchWritten reports to the core that a batch is durable.
func (c *Core) BatchWritten(now clock.Millis, b Batch) { c.core.batchWritten(now, b) }

// DrainMessages returns the messages that may be sent now and their recipients' addresses.
func (c *Core) DrainMessages() (messages []Message, addresses []string) {
	for _, e := range c.core.drainMessages() {
		messages = append(messages, e.message)
		addresses = append(addresses, e.to.Address)
	}
	return messages, addresses
}

// NextTask returns the next task for the state machine: a snapshot or entries.
func (c *Core) NextTask() (*storage.Snapshot, []storage.Entry, bool) {
	t, ok := c.core.nextTask()
	return t.snapshotToRestore, t.entries, ok
}

// TakeSnapshot passes a snapshot of the state machine to the core.
func (c *Core) TakeSnapshot(index uint64, data []byte) { c.core.takeSnapshot(index, data) }

// ReadIndex returns the index of a linearizable read. It reports false if the lease alone
// does not allow the read.
func (c *Core) ReadIndex(now clock.Millis) (uint64, bool) {
	point, ok := c.core.barrier(now)
	return point.index, ok && point.round == 0 && c.core.readConfirmed(point)
}

// Identity returns the member's identity.
func (c *Core) Identity() string { return c.core.identity() }

// Role returns the member's role.
func (c *Core) Role() Role { return c.core.role }

// Term returns the member's current term.
func (c *Core) Term() uint64 { return c.core.vote.Term }

// Excluded reports whether the member is excluded from the group.
func (c *Core) Excluded() bool { return c.core.excluded }

// LeaseUntil returns the time at which the member's leader lease ends.
func (c *Core) LeaseUntil() clock.Millis { return c.core.leaseUntil() }

// Members returns the members of the newest membership and, during a change, the
// identities of the former voters.
func (c *Core) Members() ([]Member, []string) {
	m := c.core.current().value
	return m.members, m.previous
}

// SilentFor returns the time since the leader last heard from a member.
func (c *Core) SilentFor(now clock.Millis, identity string) clock.Millis {
	return now - c.core.peer(identity).heardAt
}

// Log returns the entries in memory and the index before the first one.
func (c *Core) Log() (uint64, []storage.Entry) { return c.core.log.baseIndex, c.core.log.entries }

// CommitIndex returns the commit index.
func (c *Core) CommitIndex() uint64 { return c.core.commitIndex }

// CheckMembership decodes a membership, encodes it and decodes it again.
func CheckMembership(data []byte) error {
	m, err := decodeMembership(data)
	if err != nil {
		return err
	}
	_, err = decodeMembership(encodeMembership(m))
	if err != nil {
		panic(err)
	}
	return nil
}

// NoLeaderCause returns why the member knows no leader, as its log lines say.
func (c *Core) NoLeaderCause(now, since clock.Millis) string { return c.core.noLeaderCause(now, since) }

// Leader returns the identity of the leader, or an empty string.
func (c *Core) Leader() string { return c.core.leader.Identity }

// Answers returns the newest answers to the member's vote and pre-vote requests, by identity, as its
// log lines say.
func (c *Core) Answers() map[string]string {
	answers := map[string]string{}
	for identity, a := range c.core.elections.received {
		answers[identity] = a.String()
	}
	return answers
}

// Outbox holds the messages that wait for one recipient.
type Outbox struct{ outbox outbox }

// Put adds a message.
func (o *Outbox) Put(m Message) { o.outbox.put(envelope{message: m}) }

// Next removes the message to send next and returns it.
func (o *Outbox) Next() (Message, bool) {
	e, ok := o.outbox.next()
	return e.message, ok
}

// LastIndex returns the index of the last entry of the log.
func (c *Core) LastIndex() uint64 { return c.core.log.last() }
