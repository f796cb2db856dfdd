package replica

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// Role is what a member does in the current term.
type Role uint8

// The roles.
const (
	// Follower takes entries from the leader.
	Follower Role = iota
	// PreCandidate asks whether it could win an election.
	PreCandidate
	// Candidate asks for votes.
	Candidate
	// Leader accepts proposals.
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role's name.
func (r Role) String() string { return roleNames[r] }

const (
	// entryOverhead approximates the bytes of an entry besides its data.
	entryOverhead = 64
	// defaultAppendBytes bounds one append message and one batch for the disk.
	defaultAppendBytes = 1 << 20
	// defaultPartBytes is the size of one part of a snapshot in transfer.
	defaultPartBytes = 256 << 10
	// defaultKept entries stay in memory after a snapshot, for followers that are
	// only slightly behind.
	defaultKept = 1024
	// promotionLag is the number of entries that a learner may be behind when it
	// becomes a voter; it receives them in one append message.
	promotionLag = 64
	// maxContacts bounds the senders that are remembered.
	maxContacts = 256
)

// coreOptions are the settings of a core.
type coreOptions struct {
	self      Member
	heartbeat clock.Millis
	election  clock.Millis
	seed      uint64
	limits    limits
}

// limits bound memory and messages.
type limits struct {
	kept        uint64 // entries that stay in memory after a snapshot
	appendBytes int    // of an append message and of a batch for the disk
	partBytes   uint64 // of a part of a snapshot
}

var defaultLimits = limits{kept: defaultKept, appendBytes: defaultAppendBytes, partBytes: defaultPartBytes}

// lease is shorter than the time for which voters refuse votes.
func (o coreOptions) lease() clock.Millis { return o.election - o.election/10 }

// envelope is a message with its receiver.
type envelope struct {
	to      Member
	message Message
}

// batch is what must be durable before its messages may be sent.
type batch struct {
	vote     *storage.Vote
	entries  []storage.Entry
	snapshot *storage.Snapshot
	reset    bool // the snapshot replaces the log and comes before the entries
	messages []envelope
}

func (b batch) writes() bool {
	return b.vote != nil || len(b.entries) > 0 || b.snapshot != nil
}

// task is work for the state machine: a snapshot to restore or entries to apply.
type task struct {
	restore *storage.Snapshot
	entries []storage.Entry
}

// placedMembership is a membership with the index of its entry.
type placedMembership struct {
	index uint64
	value membership
}

// core is the protocol without input and output. One goroutine owns it.
type core struct {
	options coreOptions
	random  *rand.Rand

	vote        storage.Vote // term, vote, identity and epoch
	log         entryLog
	snapshot    storage.Snapshot
	memberships []placedMembership // of the log's entries, oldest first; never empty
	founded     bool               // the founding members' folders are known
	outside     bool               // another member says that this one is not in the group

	role        Role
	leader      Member
	commit      uint64
	handed      uint64 // entries handed to the state machine
	restore     *storage.Snapshot
	lastHeard   clock.Millis // from a leader, or start
	electionDue clock.Millis
	granted     map[string]bool
	contacts    map[string]Member // senders that are not in the membership
	lives       map[string]string // while the group is not founded
	incoming    *incoming

	leadership leadership

	dirtyVote   bool
	unsaved     uint64 // first entry that was not handed to the disk
	newSnapshot *storage.Snapshot
	resetLog    bool
	queued      []envelope // sent after the next batch
	ready       []envelope // may be sent at once
	writing     bool
	durableTerm uint64
	stable      uint64 // entries that are durable here
}

func newCore(now clock.Millis, options coreOptions, state storage.State) (*core, error) {
	c := &core{
		options: options,
		// Members that were given equal seeds must not campaign in step.
		random:   rand.New(rand.NewPCG(options.seed, xxhash.Sum64String(state.Vote.Identity))),
		vote:     state.Vote,
		snapshot: state.Snapshot,
		contacts: map[string]Member{},
		lives:    map[string]string{},
	}
	c.options.self.Identity = state.Vote.Identity
	c.log.reset(state.Snapshot.Index, state.Snapshot.Term)
	for _, e := range state.Entries {
		if e.Index > state.Snapshot.Index {
			c.log.entries = append(c.log.entries, e)
		}
	}
	if err := c.loadMemberships(); err != nil {
		return nil, err
	}
	c.commit, c.handed = c.snapshot.Index, c.snapshot.Index
	c.stable, c.unsaved = c.log.last(), c.log.last()+1
	c.durableTerm = c.vote.Term
	c.founded = len(c.vote.FounderFolderIDs) > 0 || !c.isFounder()
	// The member may have promised before a crash not to vote.
	c.lastHeard = now
	c.resetElection(now)
	return c, nil
}

func (c *core) loadMemberships() error {
	members := c.snapshot.Members
	if c.snapshot.Index == 0 {
		members = c.vote.Founders
	}
	first, err := decodeMembership(members)
	if err != nil {
		return err
	}
	c.memberships = []placedMembership{{index: c.snapshot.Index, value: first}}
	for _, e := range c.log.entries {
		if err := c.noteMembership(e); err != nil {
			return err
		}
	}
	return nil
}

// noteMembership puts a membership entry in force, committed or not.
func (c *core) noteMembership(e storage.Entry) error {
	if e.Kind != entryMembership {
		return nil
	}
	m, err := decodeMembership(e.Data)
	if err != nil {
		return err
	}
	c.memberships = append(c.memberships, placedMembership{index: e.Index, value: m})
	return nil
}

func (c *core) identity() string { return c.vote.Identity }

// current returns the newest membership in the log.
func (c *core) current() placedMembership { return c.memberships[len(c.memberships)-1] }

// committed returns the newest membership whose entry is committed.
func (c *core) committed() placedMembership {
	for i := len(c.memberships) - 1; i > 0; i-- {
		if c.memberships[i].index <= c.commit {
			return c.memberships[i]
		}
	}
	return c.memberships[0]
}

// mayVote reports whether this member may take part in elections at all.
func (c *core) mayVote() bool { return c.founded && !c.outside }

// mayLead reports whether this member campaigns. A voter whose removal is not
// committed still does: its log may be the only one that can win the election.
func (c *core) mayLead() bool {
	return c.current().value.votes(c.identity()) || c.committed().value.votes(c.identity())
}

func (c *core) resetElection(now clock.Millis) {
	jitter := clock.Millis(c.random.Int64N(int64(c.options.election)))
	c.electionDue = now + c.options.election + jitter
}

// due returns the time of the next tick that has something to do.
func (c *core) due() clock.Millis {
	if c.role == Leader {
		return c.leadership.heartbeatDue
	}
	return c.electionDue
}

// tick does what is due.
func (c *core) tick(now clock.Millis) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now < c.electionDue {
		return
	}
	c.resetElection(now)
	switch {
	case !c.founded:
		c.sayHello()
	case c.mayVote() && c.mayLead():
		c.preCampaign()
	case c.mayVote():
		c.askMembership()
	}
}

// step handles a message. Messages of a past life, another group or a removed
// member are not processed.
func (c *core) step(now clock.Millis, m Message) {
	if m.To != c.identity() {
		return
	}
	c.noteContact(m)
	switch m.Kind {
	case MessageHello:
		c.onHello(m)
		return
	case MessageHelloReply:
		c.onHelloReply(m)
		return
	case MessageExcluded:
		c.onOutside(now, m.Epoch)
		return
	}
	if !c.founded {
		// The sender may be the only one left that knows the founding lives.
		c.send(m.From, Message{Kind: MessageHello, FolderID: c.vote.FolderID})
		return
	}
	if c.outside || !c.admit(now, m) || !c.stepTerm(now, m) {
		return
	}
	c.dispatch(now, m)
}

// noteContact remembers where to answer a sender outside the known membership.
func (c *core) noteContact(m Message) {
	if len(c.contacts) >= maxContacts {
		clear(c.contacts)
	}
	c.contacts[m.From] = Member{Identity: m.From, Name: m.Name, Address: m.Address}
}

// onOutside takes note that the group goes on without this member. A member that
// hears a leader, or is one, knows better: a recovery at the wrong member must
// not end a group that works.
func (c *core) onOutside(now clock.Millis, epoch uint64) {
	if epoch < c.vote.Epoch || c.hearsLeader(now) {
		return
	}
	c.outside = true
	c.leaveOffice(now)
}

// leaveOffice gives up any role when the member is outside the group.
func (c *core) leaveOffice(now clock.Millis) {
	if c.outside {
		c.becomeFollower(now, c.vote.Term, Member{})
	}
}

// admit checks the sender's membership epoch and that it was not removed.
func (c *core) admit(now clock.Millis, m Message) bool {
	if c.vote.Epoch == 0 && m.fromLeader() && m.Epoch > 0 {
		c.vote.Epoch = m.Epoch
		c.dirtyVote = true
	}
	if m.Epoch > c.vote.Epoch && m.fromLeader() {
		c.onOutside(now, m.Epoch)
	}
	if m.Epoch < c.vote.Epoch || c.committed().value.isRemoved(m.From) {
		c.send(m.From, Message{Kind: MessageExcluded})
		return false
	}
	return m.Epoch == c.vote.Epoch
}

// stepTerm compares the message's term with the member's and reports whether
// the message is to be processed.
func (c *core) stepTerm(now clock.Millis, m Message) bool {
	if m.Term < c.vote.Term {
		if m.fromLeader() || m.Kind == MessagePreVote {
			// Tells a former leader or a candidate that its term is over.
			c.queue(m.From, Message{Kind: MessageAppendReply, Reject: true})
		}
		return false
	}
	if m.Term == c.vote.Term {
		return true
	}
	switch {
	case m.Kind == MessagePreVote, m.Kind == MessagePreVoteReply && !m.Reject:
		return true // The term is only proposed.
	case m.Kind == MessageVote && !m.Transfer && c.hearsLeader(now):
		return false
	default:
		c.becomeFollower(now, m.Term, Member{})
		return true
	}
}

func (c *core) dispatch(now clock.Millis, m Message) {
	if m.fromLeader() {
		if c.role == Leader {
			return // Not possible while every member keeps its vote.
		}
		c.followLeader(now, m)
	}
	switch m.Kind {
	case MessagePreVote:
		c.onPreVote(now, m)
	case MessagePreVoteReply:
		c.onPreVoteReply(now, m)
	case MessageVote:
		c.onVote(now, m)
	case MessageVoteReply:
		c.onVoteReply(now, m)
	case MessageAppend:
		c.onAppend(m)
	case MessageAppendReply:
		c.onAppendReply(now, m)
	case MessageHeartbeat:
		c.onHeartbeat(m)
	case MessageHeartbeatReply:
		c.onHeartbeatReply(now, m)
	case MessageSnapshot:
		c.onSnapshot(m)
	case MessageSnapshotReply:
		c.onSnapshotReply(now, m)
	case MessageCampaign:
		c.onCampaign(now)
	}
}

// address completes a message to a member.
func (c *core) address(to string, m Message) envelope {
	m.From, m.To = c.identity(), to
	m.Name, m.Address = c.options.self.Name, c.options.self.Address
	m.Epoch = c.vote.Epoch
	if m.Term == 0 {
		m.Term = c.vote.Term
	}
	member, ok := c.current().value.find(to)
	if !ok {
		member = c.contacts[to]
	}
	return envelope{to: member, message: m}
}

// queue sends a message once everything that is pending is durable.
func (c *core) queue(to string, m Message) {
	c.queued = append(c.queued, c.address(to, m))
}

// send sends a message at once if the term it speaks for is durable.
func (c *core) send(to string, m Message) {
	if c.durableTerm != c.vote.Term {
		c.queue(to, m)
		return
	}
	c.ready = append(c.ready, c.address(to, m))
}

// takeMessages returns the messages that may be sent now.
func (c *core) takeMessages() []envelope {
	messages := c.ready
	c.ready = nil
	return messages
}

// takeTask returns the next work for the state machine.
func (c *core) takeTask() (task, bool) {
	if s := c.restore; s != nil {
		c.restore = nil
		c.handed = max(c.handed, s.Index)
		return task{restore: s}, true
	}
	if c.handed >= c.commit {
		return task{}, false
	}
	entries := c.log.slice(c.handed+1, c.options.limits.appendBytes)
	entries = entries[:min(uint64(len(entries)), c.commit-c.handed)]
	c.handed += uint64(len(entries))
	return task{entries: entries}, true
}

// begin returns the next batch for the disk. There is at most one batch at a
// time; everything that arrives meanwhile goes into the next one.
func (c *core) begin() (batch, bool) {
	if c.writing {
		return batch{}, false
	}
	b := batch{snapshot: c.newSnapshot, reset: c.resetLog}
	if c.dirtyVote {
		vote := c.vote
		b.vote = &vote
	}
	b.entries = c.log.slice(c.unsaved, c.options.limits.appendBytes)
	c.unsaved += uint64(len(b.entries))
	if c.unsaved > c.log.last() {
		// Replies may speak for entries that are only in a later batch.
		b.messages, c.queued = c.queued, nil
	}
	if !b.writes() && len(b.messages) == 0 {
		return batch{}, false
	}
	c.dirtyVote, c.newSnapshot, c.resetLog = false, nil, false
	c.writing = true
	return b, true
}

// finish takes note that a batch is durable.
func (c *core) finish(now clock.Millis, b batch) {
	c.writing = false
	if b.vote != nil {
		c.durableTerm = b.vote.Term
	}
	if b.snapshot != nil {
		c.stable = max(c.stable, b.snapshot.Index)
	}
	if n := len(b.entries); n > 0 && c.log.matches(b.entries[n-1].Index, b.entries[n-1].Term) {
		c.stable = max(c.stable, b.entries[n-1].Index)
	}
	for _, e := range b.messages {
		if e.message.To == c.identity() {
			c.step(now, e.message)
			continue
		}
		c.ready = append(c.ready, e)
	}
	if c.role == Leader {
		c.advanceCommit(now)
	}
}

// persist writes a batch. One sync covers all entries.
func persist(j *storage.Journal, b batch) error {
	if b.vote != nil {
		if err := j.SaveVote(*b.vote); err != nil {
			return err
		}
	}
	if b.snapshot != nil && b.reset {
		if err := j.SaveSnapshot(*b.snapshot, true); err != nil {
			return err
		}
	}
	if err := j.Append(b.entries); err != nil {
		return err
	}
	if b.snapshot != nil && !b.reset {
		return j.SaveSnapshot(*b.snapshot, false)
	}
	return nil
}

// appendEntries adds entries at the end of the log.
func (c *core) appendEntries(entries []storage.Entry) {
	for _, e := range entries {
		c.log.entries = append(c.log.entries, e)
		if err := c.noteMembership(e); err != nil {
			panic(errors.Wrapf(err, "replica: entry %d", e.Index))
		}
	}
}

// truncateFrom drops uncommitted entries that differ from the leader's.
func (c *core) truncateFrom(index uint64) {
	if index <= c.commit {
		panic(errors.Errorf("replica: entry %d is committed and cannot be replaced", index))
	}
	c.log.truncate(index)
	c.unsaved = min(c.unsaved, index)
	c.stable = min(c.stable, index-1)
	for len(c.memberships) > 1 && c.current().index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}
