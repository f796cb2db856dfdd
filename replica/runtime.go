package replica

import (
	"context"
	"sync"

	"github.com/pkg/errors"
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
	// applyCapacity limits the applier's queue, and also the number of jobs that wait in
	// the loop until the queue has space.
	applyCapacity = 16
	// maxEventsPerStep limits the proposals, and the messages, handled in one step of
	// the loop.
	maxEventsPerStep = 1024
)

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
	batch    batch
	cutBytes int // bytes of former writes that had failed and were cut off
	err      error
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
	snapshotBytes     int                       // size of the entries that were dispatched since the latest snapshot
	role              Role                      // role that was logged last
	diskFails         bool                      // whether the latest log event of the disk was its failure
	cutBytes          int                       // bytes cut off since that event
	loggedExcluded    bool                      // the exclusion from the group was logged
	elections         electionLog
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
			cutBytes, err := persist(j, b)
			out <- writeResult{batch: b, cutBytes: cutBytes, err: err}
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
	due := l.core.nextTick()
	if l.failure != nil {
		due = l.now() + l.replica.options.ElectionTimeout
	}
	delay := l.elections.nextReport(due) - l.now()
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

// batchWritten passes the result of a write to the core. The core repeats a write that the disk has
// refused. A member whose confirmed data can no longer be read leaves the group, because it must
// not vote under this identity again; see AbandonIdentity.
func (l *loop) batchWritten(w writeResult) {
	var refused *storage.Error
	l.cutBytes += w.cutBytes
	switch {
	case l.failure != nil:
	case w.err == nil:
		l.core.batchWritten(l.now(), w.batch)
	case !errors.As(w.err, &refused):
		l.fail(w.err)
	case refused.Outcome == storage.Damaged:
		l.replica.options.Log(event.JournalDamaged, zap.Error(w.err))
		l.core.excluded = true
		l.core.stepDownIfExcluded(l.now())
	default:
		l.core.batchFailed(l.now(), w.batch, w.err)
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
		b, ok := l.core.nextBatch(l.now())
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
		for _, e := range t.entries {
			l.snapshotBytes += len(e.Data) + entryOverhead
		}
		due := l.core.dispatchedIndex >= l.nextSnapshotIndex || l.snapshotBytes >= l.replica.options.SnapshotBytes
		if due && t.snapshotToRestore == nil {
			l.nextSnapshotIndex, l.snapshotBytes = l.core.dispatchedIndex+uint64(l.replica.options.SnapshotEvery), 0
			l.pendingJobs = append(l.pendingJobs, applierJob{snapshot: true})
		}
	}
}
