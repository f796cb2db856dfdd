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

// attemptResult is the result of an attempt. The empty result means that the attempt
// goes on. Results are only compared with each other; their texts appear nowhere else.
type attemptResult string

const (
	attemptComplete    attemptResult = "complete"
	attemptInterrupted attemptResult = "moved"    // interrupted; the request continues on another server
	attemptServerLost  attemptResult = "lost"     // the server failed; it may have run a part
	attemptDeclined    attemptResult = "declined" // the server has run nothing; another one may be tried
	attemptCallerGone  attemptResult = "gone"     // the caller has disconnected
	attemptTakenOver   attemptResult = "handed"   // another connection has taken the stream over
	attemptRejected    attemptResult = "refused"  // the request ends with chatTask.problem
)

// chatTask runs one chat request in a goroutine. It receives assignments from the
// dispatcher, reads the engine's stream and sends messages to the HTTP handler. When
// the caller does not read, the channel fills up and the engine's stream is not read.
type chatTask struct {
	entry         *Entry
	callerRequest *callerRequest
	chat          *chat
	transcript    stream.Transcript
	messages      chan message
	ctx           context.Context // ends when the caller has disconnected
	cancel        context.CancelFunc
	mayHaveRun    bool // a server may have run a part
	attempts      int  // failed attempts
	requestStats  requestStats
	observer      *endObserver
	problem       *problem     // the reason why the last attempt failed
	address       atomic.Value // string: address of the server of the present attempt, or empty
	wholeBody     []byte       // the engine's body when the answer is fetched as a whole
	// interrupted is closed when the attempt is interrupted. From then on events for a
	// slow caller are kept in the backlog, so that the engine's stream is read to its
	// end: the slot is freed soon and no token is lost.
	interrupted chan struct{}
	backlog     []byte // encoded events that the HTTP handler has not received yet
}

func newChatTask(e *Entry, r *callerRequest, c *chat, o *endObserver) *chatTask {
	ctx, cancel := context.WithCancel(e.ctx)
	return &chatTask{
		entry: e, callerRequest: r, chat: c, observer: o,
		messages: make(chan message, e.options.Limits.StreamBuffer),
		ctx:      ctx, cancel: cancel,
	}
}

// run serves assignments until the request has ended or its caller has disconnected.
func (t *chatTask) run() {
	defer t.cancel()
	for {
		select {
		case a := <-t.callerRequest.assigned:
			if a.rejection != nil {
				t.fail(a.rejection)
				return
			}
			if p := t.observer.judge(); p != nil {
				t.finishRequest(routing.Cancelled)
				t.fail(p)
				return
			}
			if a.beginsAnew {
				t.dropTranscript()
			}
			t.requestStats.recordDispatch(a.assignedAt)
			if t.handleAttemptResult(a, t.tryServer(a)) {
				return
			}
		case <-t.ctx.Done():
			t.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.withdraw(now, t.callerRequest) })
			t.recordOutcome(outcome.Unknown, outcome.ReasonCallerGone)
			return
		}
	}
}

// dropTranscript drops what earlier servers have produced, of which the caller has nothing.
func (t *chatTask) dropTranscript() {
	t.requestStats.wastedTokens.Add(int64(t.transcript.Position()))
	t.transcript = stream.Transcript{}
	t.callerRequest.producedTokens.Store(0)
}

// handleAttemptResult acts on the result of an attempt and reports whether the request has
// ended.
func (t *chatTask) handleAttemptResult(a assignment, result attemptResult) bool {
	switch result {
	case attemptComplete:
		t.finishRequest(routing.Completed)
		t.emit(message{done: true, wholeBody: t.wholeBody})
		t.recordOutcome(outcome.Answered, outcome.ReasonNone)
		return true
	case attemptCallerGone:
		resumed := t.callerRequest.streamed && t.awaitResume()
		t.finishRequest(routing.Cancelled)
		if resumed {
			t.recordOutcome(outcome.Unknown, outcome.ReasonCallerGone)
		} else {
			t.abandonRequest(a.address)
		}
		return true
	case attemptTakenOver:
		t.finishRequest(routing.Cancelled)
		t.emit(message{problem: unknown(outcome.ReasonAnswerIncomplete, "another connection has taken the stream over")})
		t.recordOutcome(outcome.Unknown, outcome.ReasonCallerGone)
		return true
	case attemptRejected:
		t.finishRequest(routing.Cancelled)
		t.fail(t.problem)
		return true
	case attemptInterrupted:
		t.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.requeue(now, t.callerRequest, routing.Cancelled) })
		return false
	}
	return t.queueRetry(a, result)
}

// queueRetry queues the request again after a failed attempt. It ends the request,
// and returns true, when no further attempt is allowed.
func (t *chatTask) queueRetry(a assignment, result attemptResult) bool {
	t.attempts++
	delay, granted := t.mayRetry(result)
	if !granted {
		t.finishRequest(routing.Failed)
		t.fail(t.problem)
		return true
	}
	t.entry.metrics.continuations.Inc()
	t.entry.options.Logger.Log(event.RequestContinued, zap.String("request", t.callerRequest.id),
		zap.String("server", a.server), zap.Int("position", t.transcript.Position()), zap.Error(t.problem))
	// When the caller disconnects during the delay, run notices it afterwards.
	t.entry.options.Clock.Sleep(t.ctx, delay)
	t.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.requeue(now, t.callerRequest, routing.Failed) })
	return false
}

// mayRetry returns the delay before the next attempt, and whether one is allowed. A
// stream that has begun is continued without the retry budget, and so is any request
// after its first failed attempt: a crash of one engine can end more requests at once
// than the budget allows. Later failures may be caused by the request itself, so they
// need the budget. A request that is suspect of ending servers is not sent again.
func (t *chatTask) mayRetry(result attemptResult) (clock.Millis, bool) {
	if t.attempts >= maxAttempts || !t.transcript.Continuable() {
		return 0, false
	}
	if result == attemptServerLost && !t.observer.mayRepeat() {
		return 0, false
	}
	if t.transcript.Position() > 0 || result == attemptDeclined || t.attempts == 1 {
		return backoff(t.attempts), true
	}
	return t.entry.budget.allowRetry(retry.FailedRequest{Attempts: t.attempts})
}

// finishRequest tells the dispatcher that the request has ended.
func (t *chatTask) finishRequest(result routing.Result) {
	t.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.finishRequest(now, t.callerRequest, result) })
}

// fail ends the request with an error. When a server may have run a part of it, the
// outcome is unknown, whatever the last attempt's problem was.
func (t *chatTask) fail(p *problem) {
	if t.mayHaveRun {
		p = p.asUnknown(outcome.ReasonAnswerIncomplete)
	}
	if t.transcript.Position() > 0 {
		t.entry.options.Logger.Log(event.RequestIncomplete, zap.String("request", t.callerRequest.id), zap.Error(p))
	}
	t.emit(message{problem: p})
	t.recordOutcome(p.outcome, p.reason)
}

// emit sends a message to the HTTP handler. After an interruption it keeps the message
// in the backlog if the handler is not ready. It returns false when the caller has
// disconnected.
func (t *chatTask) emit(m message) bool {
	if len(t.backlog) > 0 {
		m.data = append(t.backlog, m.data...)
		t.backlog = nil
	}
	select {
	case t.messages <- m:
		return true
	case <-t.interrupted:
		t.backlog = m.data
		return true
	case <-t.ctx.Done():
		return false
	}
}

// recordOutcome reports the request's outcome. Tokens that the caller did not get
// count as wasted.
func (t *chatTask) recordOutcome(kind outcome.Kind, reason outcome.Reason) {
	if t.callerRequest.streamed || kind == outcome.Answered {
		t.requestStats.deliveredTokens = t.transcript.Position()
	} else {
		t.requestStats.wastedTokens.Add(int64(t.transcript.Position()))
	}
	t.entry.recordOutcome(t.callerRequest, &t.requestStats, kind, reason)
}
