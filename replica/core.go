package replica

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/storage"
)

// Role is a member's role in the current term.
type Role uint8

// The roles of a member. PreCandidate is Raft's pre-vote extension.
const (
	// Follower receives entries from the leader.
	Follower Role = iota
	// PreCandidate asks the voters whether it could win an election, without changing its term.
	PreCandidate
	// Candidate has started an election and asks for votes.
	Candidate
	// Leader accepts proposals and replicates them.
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role's name.
func (r Role) String() string { return roleNames[r] }

const (
	// entryOverhead approximates the size in bytes of an entry without its data.
	entryOverhead = 64
	// defaultAppendBytes limits the entries in one append message and in one disk batch.
	defaultAppendBytes = 1 << 20
	// defaultSnapshotPartBytes is the size of the parts in which a snapshot is sent.
	defaultSnapshotPartBytes = 256 << 10
	// defaultKeptEntries is the number of entries that stay in memory after a snapshot,
	// so that a follower that is only slightly behind needs no snapshot.
	defaultKeptEntries = 1024
	// defaultKeptBytes is the size of these entries at most.
	defaultKeptBytes = 8 << 20
	// promotionLag is the number of committed entries that a learner may still lack
	// when it becomes a voter. They fit in one append message.
	promotionLag = 64
	// maxFailedTimeouts limits the jitter of the election timeout: it is one more election timeouts.
	maxFailedTimeouts = 7
	// maxKnownSenders limits the remembered message senders and the send queues.
	maxKnownSenders = 256
)

type coreOptions struct {
	self            Member
	heartbeat       clock.Millis
	electionTimeout clock.Millis
	seed            uint64
	limits          limits
}

// limits bounds memory use and message sizes.
type limits struct {
	keptEntries       uint64 // number of entries that stay in memory after a snapshot, at most
	keptBytes         int    // and their size
	appendBytes       int    // size of the entries in an append message or a disk batch
	snapshotPartBytes uint64 // size of a part in a snapshot transfer
}

var defaultLimits = limits{keptEntries: defaultKeptEntries, keptBytes: defaultKeptBytes, appendBytes: defaultAppendBytes, snapshotPartBytes: defaultSnapshotPartBytes}

// lease returns the length of the leader lease. It is shorter than the time for which
// voters refuse to vote after they heard from a leader.
func (o coreOptions) lease() clock.Millis { return o.electionTimeout - o.electionTimeout/10 }

// envelope is a message with its recipient.
type envelope struct {
	to      Member
	message Message
}

// task is work for the state machine: either a snapshot to restore or entries to apply.
type task struct {
	snapshotToRestore *storage.Snapshot
	entries           []storage.Entry
}

// indexedMembership is a membership with the index of its log entry.
type indexedMembership struct {
	index uint64
	value membership
}

// core implements the protocol without input and output. It isn't safe for concurrent
// use; one goroutine owns it.
type core struct {
	options coreOptions
	random  *rand.Rand

	vote        storage.Vote // current term, vote in that term, own identity and membership epoch
	log         entryLog
	snapshot    storage.Snapshot
	memberships []indexedMembership // from the snapshot and the log, oldest first; never empty
	founded     bool                // the folder IDs of all founding members are known
	// hasSetAsideFiles tells that the folder has files of a former identity.
	hasSetAsideFiles bool
	excluded         bool // another member reported that this one isn't in the group

	role              Role
	leader            Member // empty if unknown
	commitIndex       uint64
	dispatchedIndex   uint64            // index of the last entry that was passed to the applier
	snapshotToRestore *storage.Snapshot // to be loaded into the state machine; nil if none
	leaderHeardAt     clock.Millis      // when the last message from a leader arrived, or the start time
	electionDue       clock.Millis      // when the election timer expires
	preVotesGranted   map[string]bool   // by identity, in the current pre-vote
	votesGranted      map[string]bool   // by identity, in this member's election of the current term; nil if it has started none
	failedTimeouts    int               // election timeouts without a leader since the first election that nobody has won, up to maxFailedTimeouts
	leaderTerm        uint64            // newest term in which a leader was known, or the term at the start
	knownSenders      map[string]sender // by identity; addresses for replies to non-members
	elections         electionRecord
	reportedFolderIDs map[string]string // by identity; those received until the group is founded
	incomingSnapshot  *incomingSnapshot

	leadership leadership

	voteChanged         bool              // vote has to be written in the next disk batch
	voteInFlight        bool              // vote is part of the batch in flight
	firstUnwritten      uint64            // index of the first entry that is not yet part of a disk batch
	snapshotToWrite     *storage.Snapshot // to be written in the next disk batch; nil if none
	snapshotReplacesLog bool              // snapshotToWrite replaces the whole log
	messagesAfterWrite  []envelope        // to be sent once the next batch is durable
	readyMessages       []envelope        // may be sent immediately
	batchInFlight       bool
	disk                diskState
	durableTerm         uint64 // newest term that is durable on this member
	durableIndex        uint64 // index up to which entries are durable on this member
}

func newCore(now clock.Millis, options coreOptions, state storage.State) (*core, error) {
	c := &core{
		options: options,
		// Mixing in the identity keeps members with equal seeds from campaigning at
		// the same time.
		random:            rand.New(rand.NewPCG(options.seed, xxhash.Sum64String(state.Vote.Identity))),
		vote:              state.Vote,
		snapshot:          state.Snapshot,
		knownSenders:      map[string]sender{},
		reportedFolderIDs: map[string]string{},
		hasSetAsideFiles:  state.HasSetAsideFiles,
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
	c.commitIndex, c.dispatchedIndex = c.snapshot.Index, c.snapshot.Index
	c.durableIndex, c.firstUnwritten = c.log.last(), c.log.last()+1
	c.durableTerm, c.leaderTerm = c.vote.Term, c.vote.Term
	c.founded = len(c.vote.FounderFolderIDs) > 0 || !c.isFounder()
	// Before a restart the member may have heard from a leader whose lease relies on
	// this member not voting for an election timeout.
	c.leaderHeardAt = now
	c.resetElectionTimer(now)
	return c, nil
}

// loadMemberships reads the memberships in the snapshot, or the founding one, and in the log.
func (c *core) loadMemberships() error {
	members := c.snapshot.Members
	if c.snapshot.Index == 0 {
		members = c.vote.Founders
	}
	first, err := decodeMembership(members)
	if err != nil {
		return err
	}
	c.memberships = []indexedMembership{{index: c.snapshot.Index, value: first}}
	for _, e := range c.log.entries {
		if err := c.adoptMembership(e); err != nil {
			return err
		}
	}
	return nil
}

// adoptMembership applies a membership entry. As in Raft, a membership is effective
// as soon as it is in the log, even before it is committed. Other entries are ignored.
func (c *core) adoptMembership(e storage.Entry) error {
	if e.Kind != entryMembership {
		return nil
	}
	m, err := decodeMembership(e.Data)
	if err != nil {
		return err
	}
	c.memberships = append(c.memberships, indexedMembership{index: e.Index, value: m})
	return nil
}

func (c *core) identity() string { return c.vote.Identity }

// current returns the newest membership in the log.
func (c *core) current() indexedMembership { return c.memberships[len(c.memberships)-1] }

// committed returns the newest membership whose entry is committed.
func (c *core) committed() indexedMembership {
	for i := len(c.memberships) - 1; i > 0; i-- {
		if c.memberships[i].index <= c.commitIndex {
			return c.memberships[i]
		}
	}
	return c.memberships[0]
}

// mayVote reports whether this member may take part in elections.
func (c *core) mayVote() bool { return c.founded && !c.excluded && !c.diskFails() }

// mayCampaign reports whether this member may become a candidate. A voter whose removal
// is not committed yet still may: only its log may be complete enough to win.
func (c *core) mayCampaign() bool {
	return c.current().value.votes(c.identity()) || c.committed().value.votes(c.identity())
}

// resetElectionTimer restarts the election timeout with random jitter. The jitter grows with
// elections that nobody has won: members whose votes take long to store or to arrive must not all
// stand for election before one of them can win.
func (c *core) resetElectionTimer(now clock.Millis) {
	jitter := clock.Millis(c.random.Int64N(int64(c.options.electionTimeout) * int64(1+c.failedTimeouts)))
	c.electionDue = now + c.options.electionTimeout + jitter + c.electionDelay(now)
}

// nextTick returns the time at which tick has to be called next, or a batch has to be written again.
func (c *core) nextTick() clock.Millis {
	due := c.electionDue
	if c.role == Leader {
		due = c.leadership.heartbeatDue
	}
	if c.disk.failedBatch != nil {
		due = min(due, c.disk.retryAt)
	}
	return due
}

// tick runs the timers that have expired.
func (c *core) tick(now clock.Millis) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now < c.electionDue {
		return
	}
	switch {
	case c.vote.Term <= c.leaderTerm:
	case c.hearsMajority(now):
		c.failedTimeouts = min(c.failedTimeouts+1, maxFailedTimeouts)
	default:
		c.failedTimeouts = 0 // No election could be held, so a longer timeout would only delay the next one.
	}
	c.resetElectionTimer(now)
	switch {
	case !c.founded:
		c.sendHellos()
	case c.mayVote() && c.votePending():
		// The election in which it voted can still be won once the vote is stored.
		c.leader = Member{}
	case c.mayVote() && c.mayCampaign():
		c.preCampaign(now)
	case c.mayVote():
		c.checkIfRemoved()
	default:
		c.leader = Member{}
	}
}

// drainMessages returns the messages that may be sent now and removes them from the core.
func (c *core) drainMessages() []envelope {
	messages := c.readyMessages
	c.readyMessages = nil
	return messages
}

// nextTask returns the next task for the state machine, if there is one.
func (c *core) nextTask() (task, bool) {
	if s := c.snapshotToRestore; s != nil {
		c.snapshotToRestore = nil
		c.dispatchedIndex = max(c.dispatchedIndex, s.Index)
		return task{snapshotToRestore: s}, true
	}
	if c.dispatchedIndex >= c.commitIndex {
		return task{}, false
	}
	entries := c.log.entriesFrom(c.dispatchedIndex+1, c.options.limits.appendBytes)
	entries = entries[:min(uint64(len(entries)), c.commitIndex-c.dispatchedIndex)]
	c.dispatchedIndex += uint64(len(entries))
	return task{entries: entries}, true
}
