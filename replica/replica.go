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

// StateMachine is the replicated state machine. It must be deterministic. Its methods
// are called by one goroutine.
type StateMachine interface {
	Apply(index uint64, command []byte) []byte
	Snapshot() []byte
	Restore(snapshot []byte) error
}

// Transport sends messages to other members. It may lose, delay, double and
// reorder them. Send is called by one goroutine for each receiver and may block.
type Transport interface {
	Send(to Member, message Message)
}

// Options are the settings of a member.
type Options struct {
	// Identity is used for the first life of the folder; later lives have a
	// random one. Empty means the identity under Name in Members, or a random one.
	Identity string
	Name     string // stable name from the settings
	Address  string // IP:port that peers use
	Folder   string
	// Members are the founding members. They are used when the folder is empty
	// and Identity is among them, otherwise the member waits to be added.
	Members      []Member
	Clock        clock.Clock
	StateMachine StateMachine
	Transport    Transport
	Seed         uint64 // election jitter
	// Heartbeat and Election default to 100 ms and 1,000 ms.
	Heartbeat, ElectionTimeout clock.Millis
	FileSystem                 storage.FileSystem // nil means the machine's disk
	SnapshotEvery              int                // entries between snapshots; 0 means DefaultSnapshotEvery
	Log                        func(e event.Event, fields ...zap.Field)
}

const (
	// DefaultHeartbeat is the interval of heartbeats.
	DefaultHeartbeat = 100 * clock.Millisecond
	// DefaultElectionTimeout is the shortest election timeout.
	DefaultElectionTimeout = clock.Second
	// DefaultSnapshotEvery bounds the entries that are replayed after a restart.
	DefaultSnapshotEvery = 4096
	// MaxCommandBytes is the largest command that Propose accepts.
	MaxCommandBytes = 4 << 20
)

// ResultKind says what became of a request.
type ResultKind uint8

// The kinds.
const (
	// Committed means that the request took effect.
	Committed ResultKind = iota + 1
	// NotLeader means that nothing was appended here.
	NotLeader
	// Unknown means that the request may still commit.
	Unknown
	// Refused means that a membership change, a transfer or a command is not
	// acceptable; nothing was appended.
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
	Index  uint64 // of the committed entry, or of the read point
	Value  []byte // what Apply returned
	Leader string // address of the leader, if it is known
	Reason string // for Refused
}

// Progress is what the leader knows about another member.
type Progress struct {
	MatchIndex uint64       // entries known to be durable there
	SilentFor  clock.Millis // time since it was last heard
}

// Status describes the member at the moment of the call.
type Status struct {
	Identity       string
	Name           string
	Role           Role
	Term           uint64
	Epoch          uint64
	Leader         string // address, if it is known
	LeaderIdentity string
	Commit         uint64
	Applied        uint64
	// LeaseRemaining is positive only at the leader, once it has applied all
	// entries of earlier terms. No other member is leader during that time.
	LeaseRemaining clock.Millis
	Members        []Member
	Progress       map[string]Progress // by identity; only at the leader
	Founded        bool                // false while other founding members are missing
	Excluded       bool                // the member must join again, see Abandon
	Failure        error               // of the disk or the state machine; the member does nothing until it restarts
}

// Replica is one member of the replicated log.
type Replica struct {
	options   Options
	inbox     chan Message
	proposals chan proposal
	requests  chan request
	published atomic.Pointer[published]
	applied   atomic.Uint64
	done      <-chan struct{}
}

// New opens the data folder and starts the member. The returned function stops
// it and waits for its goroutines. If damage is found in the folder, the files
// are set aside and the member starts under a new identity without a vote.
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
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
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
		self:      Member{Name: o.Name, Address: o.Address},
		heartbeat: o.Heartbeat,
		election:  o.ElectionTimeout,
		seed:      o.Seed,
		limits:    defaultLimits,
	}
}

func journalOptions(o Options) storage.Options {
	return storage.Options{Folder: o.Folder, Owner: o.Name, FileSystem: o.FileSystem}
}

// openJournal opens the folder and starts a new life in an empty one.
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
	if state.Fresh {
		state, err = firstState(o, j, state)
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

// AbandonIdentity sets the files of a folder aside, so that New starts under a new
// identity. It is for a member that is outside the group for good.
func AbandonIdentity(fileSystem storage.FileSystem, folder string) error {
	return storage.SetAside(fileSystem, folder, uuid.NewString())
}

// firstState stores the identity and the founding members before anything else.
func firstState(o Options, j *storage.Journal, state storage.State) (storage.State, error) {
	identity, founders := firstIdentity(o, state.HasSetAsideFiles)
	state.Vote = storage.Vote{Identity: identity, FolderID: uuid.NewString()}
	if len(founders) > 0 {
		state.Vote.Epoch = 1
		state.Vote.Founders = encodeMembership(membership{epoch: 1, members: founders})
	}
	return state, j.SaveVote(state.Vote)
}

// firstIdentity returns the identity of a new life and, if it founds the group,
// the founding members. A folder whose former files were set aside never founds.
func firstIdentity(o Options, aside bool) (string, []Member) {
	if aside {
		return uuid.NewString(), nil
	}
	members := slices.Clone(o.Members)
	for i, m := range members {
		if m.Identity == "" {
			members[i].Identity = m.Name
		}
	}
	for _, m := range members {
		named := o.Identity == "" && m.Name == o.Name
		if m.Voter && (named || m.Identity == o.Identity) {
			return m.Identity, members
		}
	}
	if o.Identity == "" {
		return uuid.NewString(), nil
	}
	return o.Identity, nil
}

// checkEpoch notices a recovery that was interrupted between its two writes.
func checkEpoch(state storage.State) error {
	// A folder that joined and heard of no membership yet has epoch 0 there.
	probe, err := newCore(0, coreOptions{election: 1}, state)
	if err != nil {
		return err
	}
	epoch := probe.current().value.epoch
	if epoch != 0 && epoch != state.Vote.Epoch {
		return errors.Errorf("replica: membership epoch %d does not agree with epoch %d of the vote; run the recovery again", epoch, state.Vote.Epoch)
	}
	return nil
}

// Propose appends a command and waits until it is applied here, or until ctx
// ends. The command is copied.
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

// Barrier returns a linearizable read point: once it is Committed, the state
// machine here holds everything that was committed before the call.
func (r *Replica) Barrier(ctx context.Context) Result {
	return r.ask(ctx, request{kind: askBarrier})
}

// ChangeMember changes the membership and waits until the change is committed.
// One change is possible at a time. A change that is already in effect is
// Committed again.
func (r *Replica) ChangeMember(ctx context.Context, change MemberChange) Result {
	return r.ask(ctx, request{kind: askChange, change: change})
}

// TransferLeadership hands leadership to the voter with the given identity. No
// proposal is accepted from the call until the lease has ended and the target
// has won its election.
func (r *Replica) TransferLeadership(ctx context.Context, to string) Result {
	return r.ask(ctx, request{kind: askTransfer, to: to})
}

func (r *Replica) ask(ctx context.Context, q request) Result {
	q.answer = make(chan Result, 1)
	select {
	case r.requests <- q:
		return r.wait(ctx, q.answer)
	case <-ctx.Done():
	case <-r.done:
	}
	return Result{Kind: NotLeader, Leader: r.Status().Leader}
}

func (r *Replica) wait(ctx context.Context, answer <-chan Result) Result {
	select {
	case result := <-answer:
		return result
	case <-ctx.Done():
	case <-r.done:
	}
	return Result{Kind: Unknown, Leader: r.Status().Leader}
}

// Receive takes a message from the transport. When the member is overloaded the
// message is dropped, as if the transport had lost it.
func (r *Replica) Receive(message Message) {
	select {
	case r.inbox <- message:
	default:
	}
}

// Status describes the member now. The lease is computed from the clock at the
// time of the call, so it is right after a freeze.
func (r *Replica) Status() Status {
	p := r.published.Load()
	now := r.options.Clock.Now()
	s := p.status
	s.Applied = r.applied.Load()
	if p.leaseUntil > now && s.Applied >= p.leaseIndex {
		s.LeaseRemaining = p.leaseUntil - now
	}
	s.Members = slices.Clone(s.Members)
	if s.Role == Leader {
		s.Progress = map[string]Progress{}
		for _, x := range p.peers {
			s.Progress[x.identity] = Progress{MatchIndex: x.match, SilentFor: now - x.heardAt}
		}
	}
	return s
}
