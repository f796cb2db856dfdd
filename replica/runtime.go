package replica

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/storage"
)

const (
	// inboxCapacity limits the queued messages from the transport; further ones are dropped.
	inboxCapacity = 4096
	// proposalCapacity limits the queued proposals; further callers block.
	proposalCapacity = 1024
	// requestCapacity limits the other queued requests; further callers block.
	requestCapacity = 64
	// sendCapacity limits the queued messages to one member; further ones are dropped.
	sendCapacity = 256
	// applyCapacity limits the applier's queue, and also the number of jobs that wait in
	// the loop until the queue has space.
	applyCapacity = 16
	// maxEventsPerStep limits the proposals, and the messages, handled in one step of
	// the loop.
	maxEventsPerStep = 1024
)

type proposal struct {
	command []byte
	answer  chan Result
}

type requestKind uint8

const (
	barrierRequest requestKind = iota
	membershipRequest
	transferRequest
)

// request is a barrier, a membership change or a leadership transfer.
type request struct {
	kind   requestKind
	change MemberChange
	target string // identity of a leadership transfer's target
	answer chan Result

	point    readPoint    // what a barrier waits for
	index    uint64       // index of a membership change's entry
	term     uint64       // term in which the leader accepted the request
	deadline clock.Millis // when a leadership transfer's caller gets the outcome Unknown
}

// proposalWaiter is a caller that waits for its proposal to be applied. The term shows
// whether the entry at the proposal's index is still the caller's: another leader may have
// replaced it.
type proposalWaiter struct {
	term   uint64
	answer chan Result
}

// publishedStatus is what the loop publishes for Replica.Status.
type publishedStatus struct {
	status     Status
	leaseUntil clock.Millis
	leaseIndex uint64 // the lease is valid once this entry is applied
	peers      []peer
}

// applierJob is a job for the applier: a task with the callers that wait for its entries,
// a barrier, or the request to take a snapshot.
type applierJob struct {
	task     task
	answers  map[uint64]chan Result // callers' channels by index of the entry
	barrier  *request
	snapshot bool
}

// applied is what the applier returns to the loop: a snapshot after the entry at index, or
// a failure.
type applied struct {
	index uint64
	data  []byte
	err   error
}

// writeResult is a batch that the writer has processed.
type writeResult struct {
	batch batch
	err   error
}

// loop is the goroutine that owns the core and connects it to the other goroutines.
type loop struct {
	replica *Replica
	core    *core
	failure error

	writes      chan batch // to the writer; capacity 1, because at most one batch is in flight
	writeResult chan writeResult
	applierJobs chan applierJob // to the applier; capacity applyCapacity
	applied     chan applied
	senders     *senders

	pendingJobs       []applierJob              // jobs that wait until the applier's queue has space
	proposals         map[uint64]proposalWaiter // callers that wait, by index of their entry
	proposalTerm      uint64                    // term of the newest proposal
	requests          []request                 // not answered yet
	nextSnapshotIndex uint64                    // index at which the next snapshot is due
	role              Role                      // role that was logged last
	loggedExcluded    bool                      // the exclusion from the group was logged
}

// start starts the member's goroutines and returns a function that waits for their end.
func start(ctx context.Context, r *Replica, c *core, j *storage.Journal) func() {
	l := &loop{
		replica:           r,
		core:              c,
		writes:            make(chan batch, 1),
		writeResult:       make(chan writeResult, 1),
		applierJobs:       make(chan applierJob, applyCapacity),
		applied:           make(chan applied, 1),
		proposals:         map[uint64]proposalWaiter{},
		nextSnapshotIndex: c.snapshot.Index + uint64(r.options.SnapshotEvery),
	}
	var group sync.WaitGroup
	l.senders = newSenders(ctx, &group, r.options.Transport)
	l.publish()
	group.Go(func() { l.run(ctx) })
	group.Go(func() { runWriter(ctx, j, l.writes, l.writeResult) })
	group.Go(func() { runApplier(ctx, r, l.applierJobs, l.applied) })
	return group.Wait
}

// runWriter writes batches to the journal until ctx ends. It is the only goroutine that uses
// the journal.
func runWriter(ctx context.Context, j *storage.Journal, in <-chan batch, out chan<- writeResult) {
	for {
		select {
		case b := <-in:
			out <- writeResult{batch: b, err: persist(j, b)}
		case <-ctx.Done():
			return
		}
	}
}

func (l *loop) now() clock.Millis { return l.replica.options.Clock.Now() }

func (l *loop) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.processEffects()
		l.handleNextEvent(ctx)
	}
}

// handleNextEvent waits for an event and handles it. With a message or a proposal it also
// handles the others that are already queued.
func (l *loop) handleNextEvent(ctx context.Context) {
	delay := l.core.nextTick() - l.now()
	if l.failure != nil {
		delay = l.replica.options.ElectionTimeout
	}
	timer, release := l.replica.options.Clock.After(delay)
	defer release()
	var applierJobs chan<- applierJob
	var first applierJob
	if len(l.pendingJobs) > 0 {
		applierJobs, first = l.applierJobs, l.pendingJobs[0]
	}
	select {
	case m := <-l.replica.inbox:
		l.receive(m)
	case p := <-l.replica.proposals:
		l.propose(p)
	case q := <-l.replica.requests:
		l.request(q)
	case w := <-l.writeResult:
		l.batchWritten(w)
	case a := <-l.applied:
		l.handleApplierResult(a)
	case applierJobs <- first:
		l.pendingJobs = l.pendingJobs[1:]
	case <-timer:
		if l.failure == nil {
			l.core.tick(l.now())
		}
	case <-ctx.Done():
	}
}

// receive handles the queued messages together, so that their replies share one sync.
func (l *loop) receive(m Message) {
	for range maxEventsPerStep {
		if l.failure == nil {
			l.core.step(l.now(), m)
		}
		select {
		case m = <-l.replica.inbox:
		default:
			return
		}
	}
}

// propose proposes the queued commands together, so that they share one sync.
func (l *loop) propose(first proposal) {
	batch := []proposal{first}
	for len(batch) < maxEventsPerStep {
		select {
		case p := <-l.replica.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.command
	}
	index, ok := uint64(0), false
	if l.failure == nil {
		index, ok = l.core.propose(l.now(), commands)
	}
	for i, p := range batch {
		if !ok {
			p.answer <- l.notLeader()
			continue
		}
		l.proposalTerm = l.core.vote.Term
		l.proposals[index+uint64(i)] = proposalWaiter{term: l.proposalTerm, answer: p.answer}
	}
}

// notLeader returns a NotLeader result. It names the leader unless that is this member,
// which then does not accept requests at the moment.
func (l *loop) notLeader() Result {
	leader := l.core.leader
	if leader.Identity == l.core.identity() || leader.Address == l.replica.options.Address {
		return Result{Kind: NotLeader}
	}
	return Result{Kind: NotLeader, Leader: leader.Address}
}

// request starts a request at the core, and answers it if it is refused.
func (l *loop) request(q request) {
	if l.failure != nil || !l.core.acceptsProposals() {
		q.answer <- l.notLeader()
		return
	}
	now, reason := l.now(), ""
	q.term = l.core.vote.Term
	switch q.kind {
	case barrierRequest:
		q.point, _ = l.core.barrier(now)
	case membershipRequest:
		q.index, reason = l.core.changeMember(now, q.change)
	case transferRequest:
		q.deadline = now + 4*l.replica.options.ElectionTimeout
		reason = l.core.transferLeadership(now, q.target)
	}
	if reason != "" {
		q.answer <- Result{Kind: Refused, Reason: reason}
		return
	}
	l.requests = append(l.requests, q)
}

func (l *loop) batchWritten(w writeResult) {
	if w.err != nil {
		l.fail(w.err)
		return
	}
	if l.failure == nil {
		l.core.batchWritten(l.now(), w.batch)
	}
}

// fail stops all work of the member. If it is the leader, it steps down without sending
// another message, so that the others elect a new leader.
func (l *loop) fail(err error) {
	if l.failure == nil {
		l.failure = err
		l.replica.options.Log(event.ReplicaFailed, zap.Error(err))
	}
	l.core.excluded = true
	l.core.stepDownIfExcluded(l.now())
}

func (l *loop) handleApplierResult(a applied) {
	if a.err != nil {
		l.fail(a.err)
		return
	}
	l.core.takeSnapshot(a.index, a.data)
}

// processEffects carries out everything that follows from the last event. It publishes the
// status before it sends messages, so that nobody reads a lease that one of the messages
// has ended.
func (l *loop) processEffects() {
	l.queueApplierJobs()
	l.answerRequests()
	l.answerLostProposals()
	l.startWrite()
	l.publish()
	for _, e := range l.core.drainMessages() {
		if l.failure == nil {
			l.senders.send(e)
		}
	}
}

// startWrite passes the next batch to the writer. A batch without records is done at once.
func (l *loop) startWrite() {
	for l.failure == nil {
		b, ok := l.core.nextBatch()
		if !ok {
			return
		}
		if b.writes() {
			l.writes <- b
			return
		}
		l.core.batchWritten(l.now(), b)
		l.queueApplierJobs()
	}
}

// queueApplierJobs turns committed entries and their waiting callers into jobs for the
// applier, and adds a snapshot job when one is due.
func (l *loop) queueApplierJobs() {
	for len(l.pendingJobs) < applyCapacity {
		t, ok := l.core.nextTask()
		if !ok {
			return
		}
		o := applierJob{task: t, answers: map[uint64]chan Result{}}
		for _, e := range t.entries {
			w, ok := l.proposals[e.Index]
			if ok && w.term == e.Term {
				o.answers[e.Index] = w.answer
				delete(l.proposals, e.Index)
			}
		}
		l.pendingJobs = append(l.pendingJobs, o)
		if l.core.dispatchedIndex >= l.nextSnapshotIndex && t.snapshotToRestore == nil {
			l.nextSnapshotIndex = l.core.dispatchedIndex + uint64(l.replica.options.SnapshotEvery)
			l.pendingJobs = append(l.pendingJobs, applierJob{snapshot: true})
		}
	}
}

// answerLostProposals answers Unknown to the waiting callers after this member has lost the
// leadership, because their entries may still be committed. It skips entries that are
// committed but not yet passed to the applier; the applier answers those.
func (l *loop) answerLostProposals() {
	c := l.core
	if len(l.proposals) == 0 || c.role == Leader && c.vote.Term == l.proposalTerm {
		return
	}
	for index, w := range l.proposals {
		if index > c.dispatchedIndex && index <= c.commitIndex && c.log.matches(index, w.term) && l.failure == nil {
			continue
		}
		w.answer <- Result{Kind: Unknown, Leader: l.notLeader().Leader}
		delete(l.proposals, index)
	}
}

// answerRequests answers the requests that are complete or can no longer succeed, and
// keeps the rest.
func (l *loop) answerRequests() {
	kept := l.requests[:0]
	for _, q := range l.requests {
		if !l.answerRequest(q) {
			kept = append(kept, q)
		}
	}
	clear(l.requests[len(kept):])
	l.requests = kept
}

// answerRequest answers the request if its outcome is known and reports whether it did.
func (l *loop) answerRequest(q request) bool {
	c := l.core
	stillLeader := c.role == Leader && c.vote.Term == q.term
	switch {
	case q.kind == transferRequest:
		return l.answerTransfer(q, stillLeader)
	case q.kind == barrierRequest && !stillLeader:
		q.answer <- l.notLeader()
	case q.kind == barrierRequest && c.readConfirmed(q.point):
		if c.dispatchedIndex < q.point.index {
			return false
		}
		l.pendingJobs = append(l.pendingJobs, applierJob{barrier: &q})
	case q.kind == membershipRequest && c.vote.Term == q.term && c.leadership.completed >= q.index:
		q.answer <- Result{Kind: Committed, Index: q.index}
	case q.kind == membershipRequest && !stillLeader:
		q.answer <- Result{Kind: Unknown, Leader: l.notLeader().Leader}
	default:
		return false
	}
	return true
}

// answerTransfer answers a leadership transfer if its outcome is known and reports whether it
// did.
func (l *loop) answerTransfer(q request, stillLeader bool) bool {
	c := l.core
	switch {
	case c.leader.Identity == q.target:
		q.answer <- Result{Kind: Committed, Leader: c.leader.Address}
	case stillLeader && c.leadership.transfer.target == "":
		q.answer <- Result{Kind: Refused, Reason: "the target did not catch up in time"}
	case l.now() >= q.deadline || l.failure != nil:
		q.answer <- Result{Kind: Unknown, Leader: l.notLeader().Leader}
	default:
		return false
	}
	return true
}

// publish makes the current state available to Replica.Status.
func (l *loop) publish() {
	c := l.core
	p := &publishedStatus{
		status: Status{
			Identity: c.identity(), Name: c.options.self.Name, Role: c.role,
			Term: c.vote.Term, Epoch: c.vote.Epoch,
			Leader: c.leader.Address, LeaderIdentity: c.leader.Identity,
			Commit: c.commitIndex, Members: c.current().value.members,
			Founded: c.founded, Excluded: c.excluded && l.failure == nil, Failure: l.failure,
		},
	}
	if c.role == Leader {
		p.leaseUntil, p.leaseIndex = c.leaseUntil(), c.leadership.termStart
		for _, x := range c.orderedPeers() {
			p.peers = append(p.peers, *x)
		}
	}
	l.replica.publishedStatus.Store(p)
	l.logChanges(p.status)
}

// logChanges logs a change of the role or an exclusion from the group since the last call.
func (l *loop) logChanges(s Status) {
	c := l.core
	if s.Excluded && !l.loggedExcluded {
		l.loggedExcluded = true
		l.replica.options.Log(event.MemberNotAccepted, zap.String("identity", s.Identity))
	}
	if c.role != l.role {
		l.role = c.role
		l.replica.options.Log(event.RoleChanged, zap.String("role", c.role.String()), zap.Uint64("term", c.vote.Term))
	}
}
