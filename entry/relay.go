package entry

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/retry"
	"github.com/galenaslip/galenaslip/routing"
	"github.com/galenaslip/galenaslip/stream"
)

const (
	// maxAttempts bounds the failed attempts of one request or call.
	maxAttempts = 8
	// maxResumes bounds the consecutive reconnects to one engine that bring no new
	// token.
	maxResumes = 2
	// finishCancelled is the finish reason of an answer that the engine cancelled.
	finishCancelled = "cancelled"
)

// errNoLease ends a call before anything was sent, because the lease has expired.
var errNoLease = errors.New("the configuration lease has lapsed")

// message passes a part of an answer from the request's goroutine to the HTTP
// handler. The zero value means that the answer begins.
type message struct {
	// data is one or more encoded server-sent events.
	data []byte
	// problem ends the answer with an error.
	problem *problem
	// done ends a complete answer.
	done bool
	// wholeBody is the engine's own body when the answer was not streamed to the entry.
	wholeBody []byte
}

// verdict is the result of an attempt. The empty verdict means that the attempt goes
// on.
type verdict string

const (
	verdictComplete    verdict = "complete"
	verdictInterrupted verdict = "moved"    // interrupted; the request continues on another server
	verdictServerLost  verdict = "lost"     // the server failed; it may have run a part
	verdictDeclined    verdict = "declined" // the server has run nothing; another one may be tried
	verdictCallerGone  verdict = "gone"     // the caller has disconnected
	verdictTakenOver   verdict = "handed"   // another connection has taken the stream over
	verdictRejected    verdict = "refused"  // the request ends with chatTask.problem
)

// chatTask runs one chat request in a goroutine. It receives assignments from the
// dispatcher, reads the engine's stream and sends messages to the HTTP handler. When
// the caller does not read, the channel fills up and the engine's stream is not read.
type chatTask struct {
	entry      *Entry
	work       *work
	chat       *chat
	transcript stream.Transcript
	messages   chan message
	ctx        context.Context // ends when the caller has disconnected
	cancel     context.CancelFunc
	mayHaveRun bool // a server may have run a part
	attempts   int  // failed attempts
	stats      stats
	problem    *problem     // the reason why the last attempt failed
	address    atomic.Value // string: the server of the present attempt, or empty
	wholeBody  []byte       // the engine's body when the answer is fetched as a whole
	// interrupted is closed when the attempt is interrupted. From then on events for a
	// slow caller are kept in the backlog, so that the engine's stream is read to its
	// end: the slot is freed soon and no token is lost.
	interrupted chan struct{}
	backlog     []byte
}

func newChatTask(e *Entry, w *work, c *chat) *chatTask {
	ctx, cancel := context.WithCancel(e.ctx)
	return &chatTask{
		entry: e, work: w, chat: c,
		messages: make(chan message, e.options.Limits.Streams),
		ctx:      ctx, cancel: cancel,
	}
}

// run serves assignments until the request has ended or its caller has disconnected.
func (r *chatTask) run() {
	defer r.cancel()
	for {
		select {
		case a := <-r.work.assigned:
			if a.rejection != nil {
				r.fail(a.rejection)
				return
			}
			r.stats.recordDispatch(a.assignedAt)
			if r.handleVerdict(a, r.tryServer(a)) {
				return
			}
		case <-r.ctx.Done():
			r.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.withdraw(now, r.work) })
			r.recordOutcome(outcome.Unknown, outcome.ReasonCallerGone)
			return
		}
	}
}

// handleVerdict acts on the result of an attempt and reports whether the request has
// ended.
func (r *chatTask) handleVerdict(a assignment, v verdict) bool {
	switch v {
	case verdictComplete:
		r.finishWork(routing.Completed)
		r.emit(message{done: true, wholeBody: r.wholeBody})
		r.recordOutcome(outcome.Answered, outcome.ReasonNone)
		return true
	case verdictCallerGone:
		resumed := r.work.streamed && r.awaitResume()
		r.finishWork(routing.Cancelled)
		if resumed {
			r.recordOutcome(outcome.Unknown, outcome.ReasonCallerGone)
		} else {
			r.abandonRequest(a.address)
		}
		return true
	case verdictTakenOver:
		r.finishWork(routing.Cancelled)
		r.emit(message{problem: unknown(outcome.ReasonIncomplete, "another connection has taken the stream over")})
		r.recordOutcome(outcome.Unknown, outcome.ReasonCallerGone)
		return true
	case verdictRejected:
		r.finishWork(routing.Cancelled)
		r.fail(r.problem)
		return true
	case verdictInterrupted:
		r.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.requeue(now, r.work, routing.Cancelled) })
		return false
	}
	return r.queueRetry(a, v)
}

// queueRetry queues the request again after a failed attempt. It ends the request,
// and returns true, when no further attempt is allowed.
func (r *chatTask) queueRetry(a assignment, v verdict) bool {
	r.attempts++
	delay, granted := r.mayRetry(v)
	if !granted {
		r.finishWork(routing.Failed)
		r.fail(r.problem)
		return true
	}
	r.entry.metrics.continuations.Inc()
	r.entry.options.Logger.Log(event.RequestContinued, zap.String("request", r.work.id),
		zap.String("server", a.server), zap.Int("position", r.transcript.Position()), zap.Error(r.problem))
	// When the caller disconnects during the delay, run notices it afterwards.
	r.entry.options.Clock.Sleep(r.ctx, delay)
	r.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.requeue(now, r.work, routing.Failed) })
	return false
}

// mayRetry returns the delay before the next attempt, and whether one is allowed. A
// stream that has begun is continued without the retry budget, and so is any request
// after its first failed attempt: a crash of one engine can end more requests at once
// than the budget allows. Later failures may be caused by the request itself, so they
// need the budget.
func (r *chatTask) mayRetry(v verdict) (clock.Millis, bool) {
	if r.attempts >= maxAttempts || !r.transcript.Continuable() {
		return 0, false
	}
	if r.transcript.Position() > 0 || v == verdictDeclined || r.attempts == 1 {
		return backoff(r.attempts), true
	}
	return r.entry.budget.allowRetry(retry.Work{Attempts: r.attempts})
}

func (r *chatTask) finishWork(result routing.Result) {
	r.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.finishWork(now, r.work, result) })
}

// fail ends the request with an error. When a server may have run a part of it, the
// outcome is unknown, whatever the last attempt's problem was.
func (r *chatTask) fail(p *problem) {
	if r.mayHaveRun {
		p = p.asUnknown(outcome.ReasonIncomplete)
	}
	if r.transcript.Position() > 0 {
		r.entry.options.Logger.Log(event.RequestIncomplete, zap.String("request", r.work.id), zap.Error(p))
	}
	r.emit(message{problem: p})
	r.recordOutcome(p.outcome, p.reason)
}

// emit sends a message to the HTTP handler. After an interruption it keeps the message
// in the backlog if the handler is not ready. It returns false when the caller has
// disconnected.
func (r *chatTask) emit(m message) bool {
	if len(r.backlog) > 0 {
		m.data = append(r.backlog, m.data...)
		r.backlog = nil
	}
	select {
	case r.messages <- m:
		return true
	case <-r.interrupted:
		r.backlog = m.data
		return true
	case <-r.ctx.Done():
		return false
	}
}

// recordOutcome reports the request's outcome. Tokens that the caller did not get
// count as wasted.
func (r *chatTask) recordOutcome(kind outcome.Kind, reason outcome.Reason) {
	if r.work.streamed || kind == outcome.Answered {
		r.stats.deliveredTokens = r.transcript.Position()
	} else {
		r.stats.wastedTokens.Add(int64(r.transcript.Position()))
	}
	r.entry.recordOutcome(r.work, &r.stats, kind, reason)
}
