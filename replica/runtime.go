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
	// inboxCapacity bounds messages from the transport; more are dropped.
	inboxCapacity = 4096
	// proposalCapacity bounds waiting proposals; more block their callers.
	proposalCapacity = 1024
	// requestCapacity bounds other requests; more block their callers.
	requestCapacity = 64
	// sendCapacity bounds messages to one member; more are dropped.
	sendCapacity = 256
	// applyCapacity bounds batches for the state machine; more wait in the loop.
	applyCapacity = 16
	// maxBatch bounds the proposals that enter the log in one step.
	maxBatch = 1024
)

type proposal struct {
	command []byte
	answer  chan Result
}

type requestKind uint8

const (
	askBarrier requestKind = iota
	askChange
	askTransfer
)

// request is a barrier, a membership change or a leadership transfer.
type request struct {
	kind   requestKind
	change MemberChange
	to     string
	answer chan Result

	point readPoint // of a barrier
	index uint64    // of a membership change
	term  uint64
	due   clock.Millis // of a transfer
}

// waiting is the caller of a proposal. Only an entry of the same term is its
// entry; another leader may have replaced it.
type waiting struct {
	term   uint64
	answer chan Result
}

// published is what Status reads.
type published struct {
	status     Status
	leaseUntil clock.Millis
	leaseIndex uint64 // the lease counts once this entry is applied
	peers      []peer
}

// order is work for the applier: a task with the callers that wait for it, a
// barrier, or a request for a snapshot.
type order struct {
	task     task
	answers  map[uint64]chan Result
	barrier  *request
	snapshot bool
}

// applied is a snapshot or failure from the applier.
type applied struct {
	index uint64
	data  []byte
	err   error
}

type written struct {
	batch batch
	err   error
}

// loop owns the core.
type loop struct {
	replica *Replica
	core    *core
	failure error

	writes  chan batch // capacity 1; the core has one batch in flight
	written chan written
	orders  chan order // capacity applyCapacity
	applied chan applied
	senders *senders

	pending      []order            // orders that wait for room
	proposals    map[uint64]waiting // by index of the entry
	proposalTerm uint64             // of the newest proposal
	requests     []request
	snapshotAt   uint64 // index at which the next snapshot is due
	role         Role   // as logged
	outside      bool   // as logged
}

// start runs the member's goroutines and returns a function that waits for them.
func start(ctx context.Context, r *Replica, c *core, j *storage.Journal) func() {
	l := &loop{
		replica:    r,
		core:       c,
		writes:     make(chan batch, 1),
		written:    make(chan written, 1),
		orders:     make(chan order, applyCapacity),
		applied:    make(chan applied, 1),
		proposals:  map[uint64]waiting{},
		snapshotAt: c.snapshot.Index + uint64(r.options.SnapshotEvery),
	}
	var group sync.WaitGroup
	l.senders = newSenders(ctx, &group, r.options.Transport)
	l.publish()
	group.Go(func() { l.run(ctx) })
	group.Go(func() { runWriter(ctx, j, l.writes, l.written) })
	group.Go(func() { runApplier(ctx, r, l.orders, l.applied) })
	return group.Wait
}

func runWriter(ctx context.Context, j *storage.Journal, in <-chan batch, out chan<- written) {
	for {
		select {
		case b := <-in:
			out <- written{batch: b, err: persist(j, b)}
		case <-ctx.Done():
			return
		}
	}
}

func (l *loop) now() clock.Millis { return l.replica.options.Clock.Now() }

func (l *loop) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.settle()
		l.waitEvent(ctx)
	}
}

// waitEvent handles one event, or a batch of proposals.
func (l *loop) waitEvent(ctx context.Context) {
	delay := l.core.due() - l.now()
	if l.failure != nil {
		delay = l.replica.options.ElectionTimeout
	}
	timer, release := l.replica.options.Clock.After(delay)
	defer release()
	var orders chan<- order
	var first order
	if len(l.pending) > 0 {
		orders, first = l.orders, l.pending[0]
	}
	select {
	case m := <-l.replica.inbox:
		l.receive(m)
	case p := <-l.replica.proposals:
		l.propose(p)
	case q := <-l.replica.requests:
		l.request(q)
	case w := <-l.written:
		l.finish(w)
	case a := <-l.applied:
		l.takeApplied(a)
	case orders <- first:
		l.pending = l.pending[1:]
	case <-timer:
		if l.failure == nil {
			l.core.tick(l.now())
		}
	case <-ctx.Done():
	}
}

// receive steps the waiting messages, so that their replies share a sync.
func (l *loop) receive(m Message) {
	for range maxBatch {
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

func (l *loop) propose(first proposal) {
	batch := []proposal{first}
	for len(batch) < maxBatch {
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
		l.proposals[index+uint64(i)] = waiting{term: l.proposalTerm, answer: p.answer}
	}
}

// notLeader names the leader unless it is this member, which then does not
// accept proposals.
func (l *loop) notLeader() Result {
	leader := l.core.leader
	if leader.Identity == l.core.identity() || leader.Address == l.replica.options.Address {
		return Result{Kind: NotLeader}
	}
	return Result{Kind: NotLeader, Leader: leader.Address}
}

func (l *loop) request(q request) {
	if l.failure != nil || !l.core.accepts() {
		q.answer <- l.notLeader()
		return
	}
	now, reason := l.now(), ""
	q.term = l.core.vote.Term
	switch q.kind {
	case askBarrier:
		q.point, _ = l.core.barrier(now)
	case askChange:
		q.index, reason = l.core.changeMember(now, q.change)
	case askTransfer:
		q.due = now + 4*l.replica.options.ElectionTimeout
		reason = l.core.transferLeadership(now, q.to)
	}
	if reason != "" {
		q.answer <- Result{Kind: Refused, Reason: reason}
		return
	}
	l.requests = append(l.requests, q)
}

func (l *loop) finish(w written) {
	if w.err != nil {
		l.fail(w.err)
		return
	}
	if l.failure == nil {
		l.core.finish(l.now(), w.batch)
	}
}

// fail stops all work of the member. It leaves office without another message,
// so the others elect a new leader.
func (l *loop) fail(err error) {
	if l.failure == nil {
		l.failure = err
		l.replica.options.Log(event.ReplicaFailed, zap.Error(err))
	}
	l.core.outside = true
	l.core.leaveOffice(l.now())
}

func (l *loop) takeApplied(a applied) {
	if a.err != nil {
		l.fail(a.err)
		return
	}
	l.core.takeSnapshot(a.index, a.data)
}

// settle carries out everything that follows from the last event. The status is
// published before messages leave, so that no one reads a lease that a message
// has given up.
func (l *loop) settle() {
	l.collectOrders()
	l.answerRequests()
	l.dropProposals()
	l.startWrite()
	l.publish()
	for _, e := range l.core.takeMessages() {
		if l.failure == nil {
			l.senders.send(e)
		}
	}
}

func (l *loop) startWrite() {
	for l.failure == nil {
		b, ok := l.core.begin()
		if !ok {
			return
		}
		if b.writes() {
			l.writes <- b
			return
		}
		l.core.finish(l.now(), b)
		l.collectOrders()
	}
}

// collectOrders passes committed entries to the applier with their callers.
func (l *loop) collectOrders() {
	for len(l.pending) < applyCapacity {
		t, ok := l.core.takeTask()
		if !ok {
			return
		}
		o := order{task: t, answers: map[uint64]chan Result{}}
		for _, e := range t.entries {
			w, ok := l.proposals[e.Index]
			if ok && w.term == e.Term {
				o.answers[e.Index] = w.answer
				delete(l.proposals, e.Index)
			}
		}
		l.pending = append(l.pending, o)
		if l.core.handed >= l.snapshotAt && t.restore == nil {
			l.snapshotAt = l.core.handed + uint64(l.replica.options.SnapshotEvery)
			l.pending = append(l.pending, order{snapshot: true})
		}
	}
}

// dropProposals answers the callers of a leader that has left office. Their
// entries may still commit. Entries that are committed and not yet handed to the
// applier get their answer there.
func (l *loop) dropProposals() {
	c := l.core
	if len(l.proposals) == 0 || c.role == Leader && c.vote.Term == l.proposalTerm {
		return
	}
	for index, w := range l.proposals {
		if index > c.handed && index <= c.commit && c.log.matches(index, w.term) && l.failure == nil {
			continue
		}
		w.answer <- Result{Kind: Unknown, Leader: l.notLeader().Leader}
		delete(l.proposals, index)
	}
}

// answerRequests answers requests that are done or can no longer be.
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

func (l *loop) answerRequest(q request) bool {
	c := l.core
	inOffice := c.role == Leader && c.vote.Term == q.term
	switch {
	case q.kind == askTransfer:
		return l.answerTransfer(q, inOffice)
	case q.kind == askBarrier && !inOffice:
		q.answer <- l.notLeader()
	case q.kind == askBarrier && c.reached(q.point):
		if c.handed < q.point.index {
			return false
		}
		l.pending = append(l.pending, order{barrier: &q})
	case q.kind == askChange && c.vote.Term == q.term && c.leadership.settled >= q.index:
		q.answer <- Result{Kind: Committed, Index: q.index}
	case q.kind == askChange && !inOffice:
		q.answer <- Result{Kind: Unknown, Leader: l.notLeader().Leader}
	default:
		return false
	}
	return true
}

func (l *loop) answerTransfer(q request, inOffice bool) bool {
	c := l.core
	switch {
	case c.leader.Identity == q.to:
		q.answer <- Result{Kind: Committed, Leader: c.leader.Address}
	case inOffice && c.leadership.transfer.to == "":
		q.answer <- Result{Kind: Refused, Reason: "the target did not catch up in time"}
	case l.now() >= q.due || l.failure != nil:
		q.answer <- Result{Kind: Unknown, Leader: l.notLeader().Leader}
	default:
		return false
	}
	return true
}

func (l *loop) publish() {
	c := l.core
	p := &published{
		status: Status{
			Identity: c.identity(), Name: c.options.self.Name, Role: c.role,
			Term: c.vote.Term, Epoch: c.vote.Epoch,
			Leader: c.leader.Address, LeaderIdentity: c.leader.Identity,
			Commit: c.commit, Members: c.current().value.members,
			Founded: c.founded, Excluded: c.outside && l.failure == nil, Failure: l.failure,
		},
	}
	if c.role == Leader {
		p.leaseUntil, p.leaseIndex = c.leaseUntil(), c.leadership.first
		for _, x := range c.orderedPeers() {
			p.peers = append(p.peers, *x)
		}
	}
	l.replica.published.Store(p)
	l.logChanges(p.status)
}

// logChanges logs what changed since the last status.
func (l *loop) logChanges(s Status) {
	c := l.core
	if s.Excluded && !l.outside {
		l.outside = true
		l.replica.options.Log(event.MemberNotAccepted, zap.String("identity", s.Identity))
	}
	if c.role != l.role {
		l.role = c.role
		l.replica.options.Log(event.RoleChanged, zap.String("role", c.role.String()), zap.Uint64("term", c.vote.Term))
	}
}
