package replica

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// Core gives the simulation access to the protocol without its goroutines.
type Core struct{ core *core }

// Batch is a batch for the disk.
type Batch = batch

// CoreOptions are the settings of a simulated member.
type CoreOptions struct {
	Options         Options
	Kept, PartBytes uint64
	AppendBytes     int
}

// OpenCore opens a folder and returns the core and journal of a member.
func OpenCore(now clock.Millis, o CoreOptions) (*Core, *storage.Journal, storage.State, func(), error) {
	options := withDefaults(o.Options)
	j, state, release, err := openJournal(options)
	if err != nil {
		return nil, nil, state, nil, err
	}
	settings := coreOptionsOf(options)
	settings.limits = limits{kept: o.Kept, appendBytes: o.AppendBytes, partBytes: o.PartBytes}
	c, err := newCore(now, settings, state)
	return &Core{core: c}, j, state, release, err
}

// EncodeFounders returns the stored form of the founding members.
func EncodeFounders(members []Member) []byte {
	return encodeMembership(membership{epoch: 1, members: members})
}

// Persist writes a batch.
var Persist = persist

// Tick calls the core.
func (c *Core) Tick(now clock.Millis) {
	if now >= c.core.due() {
		c.core.tick(now)
	}
}

// Step calls the core.
func (c *Core) Step(now clock.Millis, m Message) { c.core.step(now, m) }

// Campaign starts an election now, as if its timeout had ended and the others
// had granted a pre-vote. The guarantees must not depend on either.
func (c *Core) Campaign(now clock.Millis) {
	if c.core.role != Leader && c.core.mayVote() && c.core.mayLead() {
		c.core.campaign(now, false)
	}
}

// Propose calls the core with one command.
func (c *Core) Propose(now clock.Millis, command []byte) bool {
	_, ok := c.core.propose(now, [][]byte{command})
	return ok
}

// Change calls the core at the leader.
func (c *Core) Change(now clock.Millis, change MemberChange) string {
	if !c.core.accepts() {
		return "not leader"
	}
	_, reason := c.core.changeMember(now, change)
	return reason
}

// Transfer calls the core at the leader.
func (c *Core) Transfer(now clock.Millis, to string) {
	if c.core.accepts() {
		c.core.transferLeadership(now, to)
	}
}

// Begin calls the core.
func (c *Core) Begin() (Batch, bool) { return c.core.begin() }

// Finish calls the core.
func (c *Core) Finish(now clock.Millis, b Batch) { c.core.finish(now, b) }

// Messages returns the messages that may be sent now, with their addresses.
func (c *Core) Messages() (messages []Message, addresses []string) {
	for _, e := range c.core.takeMessages() {
		messages = append(messages, e.message)
		addresses = append(addresses, e.to.Address)
	}
	return messages, addresses
}

// Task returns the next work for the state machine.
func (c *Core) Task() (*storage.Snapshot, []storage.Entry, bool) {
	t, ok := c.core.takeTask()
	return t.restore, t.entries, ok
}

// TakeSnapshot calls the core.
func (c *Core) TakeSnapshot(index uint64, data []byte) { c.core.takeSnapshot(index, data) }

// Read returns the index of a linearizable read that the lease alone allows.
func (c *Core) Read(now clock.Millis) (uint64, bool) {
	point, ok := c.core.barrier(now)
	return point.index, ok && point.round == 0 && c.core.reached(point)
}

// Identity, Role, Term and Outside describe the member.
func (c *Core) Identity() string { return c.core.identity() }

// Role returns the member's role.
func (c *Core) Role() Role { return c.core.role }

// Term returns the member's term.
func (c *Core) Term() uint64 { return c.core.vote.Term }

// Outside reports whether the member is outside the group.
func (c *Core) Outside() bool { return c.core.outside }

// LeaseUntil returns the end of the lease.
func (c *Core) LeaseUntil() clock.Millis { return c.core.leaseUntil() }

// Members returns the newest membership and the former voters of a change.
func (c *Core) Members() ([]Member, []string) {
	m := c.core.current().value
	return m.members, m.previous
}

// Silent returns how long the leader has not heard from a member.
func (c *Core) Silent(now clock.Millis, identity string) clock.Millis {
	return now - c.core.peer(identity).heardAt
}

// Log returns the entries in memory and the index before the first.
func (c *Core) Log() (uint64, []storage.Entry) { return c.core.log.base, c.core.log.entries }

// Commit returns the commit index.
func (c *Core) Commit() uint64 { return c.core.commit }

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
