package replica

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/storage"
)

// StateMachine is the replicated state machine. It must be deterministic. Its methods are
// called by one goroutine.
type StateMachine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Transport sends messages to other members. It may lose, delay, duplicate and reorder
// them. Send may block; it is called by one goroutine per recipient.
type Transport interface {
	Send(to Member, message Message)
}

// Options configures a member.
type Options struct {
	// Identity is used when the folder is used for the first time. A folder whose
	// files were set aside gets a random identity. If Identity is empty, the identity
	// of Name in Members is used, or a random one.
	Identity string
	Name     string // stable name of the member
	Address  string // IP:port at which peers reach this member
	Folder   string
	// Members are the founding members. They are used only if the folder is empty
	// and this member is a voter among them; otherwise the member waits until it is
	// added to a group.
	Members      []Member
	Clock        clock.Clock
	StateMachine StateMachine
	Transport    Transport
	Seed         uint64 // seed of the random part of the election timeout
	// HeartbeatInterval is the heartbeat interval, by default 100 ms. ElectionTimeout is the
	// shortest election timeout, by default 1,000 ms.
	HeartbeatInterval, ElectionTimeout clock.Millis
	FileSystem                         storage.FileSystem // nil means the operating system's file system
	// A snapshot is taken after SnapshotEvery entries, or earlier after entries of SnapshotBytes; 0 means
	// the defaults.
	SnapshotEvery, SnapshotBytes int
	Log                          func(e event.Event, fields ...zap.Field)
}

const (
	// DefaultHeartbeatInterval is the default heartbeat interval.
	DefaultHeartbeatInterval = 100 * clock.Millisecond
	// DefaultElectionTimeout is the default of the shortest election timeout. Each timeout adds a
	// random part of up to the same length.
	DefaultElectionTimeout = clock.Second
	// DefaultSnapshotEvery is the default number of entries between snapshots. It limits
	// the entries that are replayed after a restart.
	DefaultSnapshotEvery = 4096
	// DefaultSnapshotBytes is the default number of bytes of entries between snapshots. It limits
	// the disk and the memory that large entries take.
	DefaultSnapshotBytes = 16 << 20
	// MaxCommandBytes is the largest command that Propose accepts.
	MaxCommandBytes = 4 << 20
)

// ResultKind is the kind of a request's outcome.
type ResultKind uint8

// The kinds of outcomes.
const (
	// Committed means that the request took effect.
	Committed ResultKind = iota + 1
	// NotLeader means that this member is not the leader, or does not accept requests now,
	// and that nothing was appended.
	NotLeader
	// Unknown means that the request may have been committed or may still be.
	Unknown
	// Refused means that a membership change, a leadership transfer or a command is
	// invalid or not possible now; nothing was appended.
	Refused
)

var resultNames = map[ResultKind]string{
	Committed: "committed", NotLeader: "not leader", Unknown: "unknown", Refused: "refused",
}

// String returns the kind's name.
func (k ResultKind) String() string { return resultNames[k] }

// Result is the outcome of a request.
type Result struct {
	Kind   ResultKind
	Index  uint64 // index of the committed entry, or of a linearizable read
	Value  []byte // return value of StateMachine.Apply
	Leader string // address of the leader; empty if unknown
	Reason string // why the request was refused; only for Refused
}

// Progress is the replication state of another member, as the leader knows it.
type Progress struct {
	MatchIndex     uint64       // index up to which entries are known to be durable on the member
	SilentFor      clock.Millis // time since the leader last heard from the member
	DiskFailingFor clock.Millis // how long the member's disk has taken no writes; 0 if it works
}

// Status describes a member at the time of the call to Replica.Status.
type Status struct {
	Identity       string
	Name           string
	Role           Role
	Term           uint64
	Epoch          uint64
	Leader         string // address; empty if unknown
	LeaderIdentity string
	Commit         uint64
	Applied        uint64
	// LeaseRemaining is positive only at a leader that has applied all entries of earlier
	// terms. No other member becomes leader before this time has passed.
	LeaseRemaining clock.Millis
	Members        []Member
	Progress       map[string]Progress // by identity; nil unless this member is the leader
	Founded        bool                // false until all founding members have been reached
	Excluded       bool                // the member isn't in the group and must join again; see AbandonIdentity
	Failure        error               // failure of the state machine; the member is inactive until restarted
	DiskFailure    error               // why the disk refuses writes; the member tries again and casts no votes meanwhile
	DiskFailures   uint64              // number of times that the disk began to refuse writes
	Elections      uint64              // number of elections that this member started
	NoLeaderFor    clock.Millis        // how long no leader has been known; 0 if one is
	NoLeaderTotal  clock.Millis        // how long no leader was known since the start, all times together
}

// Replica is one member of the replicated log.
type Replica struct {
	options         Options
	inbox           chan Message
	proposals       chan proposal
	requests        chan request
	publishedStatus atomic.Pointer[publishedStatus]
	applied         atomic.Uint64
	done            <-chan struct{}
}

// New opens the data folder and starts the member. The returned function stops the member
// and waits for its goroutines. If the folder is damaged, its files are set aside and the
// member starts under a new identity, which is not a voter.
func New(options Options) (*Replica, func(), error) {
	options = withDefaults(options)
	j, state, release, err := openJournal(options)
	if err != nil {
		return nil, nil, err
	}
	if state.Snapshot.Index > 0 {
		if err := options.StateMachine.Restore(state.Snapshot.Data); err != nil {
			release()
			return nil, nil, errors.Wrap(err, "replica: restore the snapshot")
		}
	}
	c, err := newCore(options.Clock.Now(), coreOptionsOf(options), state)
	if err != nil {
		release()
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Replica{
		options:   options,
		inbox:     make(chan Message, inboxCapacity),
		proposals: make(chan proposal, proposalCapacity),
		requests:  make(chan request, requestCapacity),
		done:      ctx.Done(),
	}
	r.applied.Store(state.Snapshot.Index)
	wait := start(ctx, r, c, j)
	var once sync.Once
	return r, func() {
		once.Do(func() {
			cancel()
			wait()
			release()
		})
	}, nil
}

func withDefaults(o Options) Options {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.FileSystem == nil {
		o.FileSystem = storage.OSFileSystem{}
	}
	if o.Log == nil {
		o.Log = func(event.Event, ...zap.Field) {}
	}
	return o
}

func coreOptionsOf(o Options) coreOptions {
	return coreOptions{
		self:            Member{Name: o.Name, Address: o.Address},
		heartbeat:       o.HeartbeatInterval,
		electionTimeout: o.ElectionTimeout,
		seed:            o.Seed,
		limits:          defaultLimits,
	}
}

func journalOptions(o Options) storage.Options {
	return storage.Options{Folder: o.Folder, Owner: o.Name, FileSystem: o.FileSystem}
}

// openJournal opens the data folder and initializes it if it is empty. It sets the files
// of a damaged folder aside first.
func openJournal(o Options) (*storage.Journal, storage.State, func(), error) {
	j, state, release, err := storage.Open(journalOptions(o))
	if err != nil && storage.OutcomeOf(err) == storage.Damaged {
		o.Log(event.JournalDamaged, zap.Error(err))
		if err := AbandonIdentity(o.FileSystem, o.Folder); err != nil {
			return nil, state, nil, err
		}
		j, state, release, err = storage.Open(journalOptions(o))
	}
	if err != nil {
		return nil, state, nil, err
	}
	if state.TruncatedBytes > 0 {
		o.Log(event.JournalTruncated, zap.Int("bytes", state.TruncatedBytes))
	}
	if state.Empty {
		state, err = createState(o, j, state)
	}
	if err == nil {
		err = checkEpoch(state)
	}
	if err != nil {
		release()
		return nil, state, nil, err
	}
	return j, state, release, nil
}

// AbandonIdentity sets the files of a data folder aside, so that New starts under a new identity.
// It is meant for a member that was permanently excluded from the group or whose folder is
// damaged.
func AbandonIdentity(fileSystem storage.FileSystem, folder string) error {
	return storage.SetAside(fileSystem, folder, uuid.NewString())
}

// createState stores the first vote in an empty folder: the identity, a new folder ID and,
// if this is a founding member, the founding members.
func createState(o Options, j *storage.Journal, state storage.State) (storage.State, error) {
	identity, founders := chooseIdentity(o, state.HasSetAsideFiles)
	state.Vote = storage.Vote{Identity: identity, FolderID: uuid.NewString()}
	if len(founders) > 0 {
		state.Vote.Epoch = 1
		state.Vote.Founders = encodeMembership(membership{epoch: 1, members: founders})
	}
	return state, j.SaveVote(state.Vote)
}

// chooseIdentity returns the identity for an empty folder and, if the member helps to found
// the group, the founding members. A member whose former files were set aside never does.
func chooseIdentity(o Options, hasSetAside bool) (string, []Member) {
	if hasSetAside {
		return uuid.NewString(), nil
	}
	members := slices.Clone(o.Members)
	for i, m := range members {
		if m.Identity == "" {
			members[i].Identity = m.Name
		}
	}
	for _, m := range members {
		matchesName := o.Identity == "" && m.Name == o.Name
		if m.Voter && (matchesName || m.Identity == o.Identity) {
			return m.Identity, members
		}
	}
	if o.Identity == "" {
		return uuid.NewString(), nil
	}
	return o.Identity, nil
}

// checkEpoch returns an error if a recovery was interrupted between its two writes.
func checkEpoch(state storage.State) error {
	// The epoch is 0 if the member joined later and has received no membership yet.
	loaded, err := newCore(0, coreOptions{electionTimeout: 1}, state)
	if err != nil {
		return err
	}
	epoch := loaded.current().value.epoch
	if epoch != 0 && epoch != state.Vote.Epoch {
		return errors.Errorf("replica: membership epoch %d does not agree with epoch %d of the vote; run the recovery again", epoch, state.Vote.Epoch)
	}
	return nil
}

// Propose appends a command and waits until it is applied on this member or ctx ends. It
// copies the command.
func (r *Replica) Propose(ctx context.Context, command []byte) Result {
	if len(command) > MaxCommandBytes {
		return Result{Kind: Refused, Reason: "the command is too large"}
	}
	p := proposal{command: slices.Clone(command), answer: make(chan Result, 1)}
	select {
	case r.proposals <- p:
		return r.wait(ctx, p.answer)
	case <-ctx.Done():
	case <-r.done:
	}
	return Result{Kind: NotLeader, Leader: r.Status().Leader}
}

// Barrier makes a linearizable read possible: when the result is Committed, the state
// machine of this member has applied everything that was committed before the call.
func (r *Replica) Barrier(ctx context.Context) Result {
	return r.submit(ctx, request{kind: barrierRequest})
}

// ChangeMember changes the membership and waits until the change is committed. Only one
// change can be in progress. A change that was already made returns Committed.
func (r *Replica) ChangeMember(ctx context.Context, change MemberChange) Result {
	return r.submit(ctx, request{kind: membershipRequest, change: change})
}

// TransferLeadership transfers leadership to the voter with the identity target. From the
// call on, no proposals are accepted until the lease has ended and the target has won its
// election, or the transfer is given up.
func (r *Replica) TransferLeadership(ctx context.Context, target string) Result {
	return r.submit(ctx, request{kind: transferRequest, target: target})
}

// submit passes a request to the loop and waits for its result.
func (r *Replica) submit(ctx context.Context, q request) Result {
	q.answer = make(chan Result, 1)
	select {
	case r.requests <- q:
		return r.wait(ctx, q.answer)
	case <-ctx.Done():
	case <-r.done:
	}
	return Result{Kind: NotLeader, Leader: r.Status().Leader}
}

// wait waits for the result of an accepted request. It returns Unknown if ctx ends or the
// member stops before.
func (r *Replica) wait(ctx context.Context, answer <-chan Result) Result {
	select {
	case result := <-answer:
		return result
	case <-ctx.Done():
	case <-r.done:
	}
	return Result{Kind: Unknown, Leader: r.Status().Leader}
}

// Receive passes a message from the transport to the member. It doesn't block: if the
// member is overloaded, the message is dropped as if the transport had lost it.
func (r *Replica) Receive(message Message) {
	select {
	case r.inbox <- message:
	default:
	}
}

// Status returns the member's current status. It computes the remaining lease from the
// clock at the time of the call, so that it is correct even after the process was frozen.
func (r *Replica) Status() Status {
	p := r.publishedStatus.Load()
	now := r.options.Clock.Now()
	s := p.status
	s.Applied = r.applied.Load()
	if p.leaseUntil > now && s.Applied >= p.leaseIndex {
		s.LeaseRemaining = p.leaseUntil - now
	}
	s.NoLeaderFor, s.NoLeaderTotal = p.leaderless.durations(now)
	s.Members = slices.Clone(s.Members)
	if s.Role == Leader {
		s.Progress = map[string]Progress{}
		for _, x := range p.peers {
			s.Progress[x.identity] = Progress{MatchIndex: x.matchIndex, SilentFor: now - x.heardAt, DiskFailingFor: x.diskFailingFor(now)}
		}
	}
	return s
}
