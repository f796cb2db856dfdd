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
	// maxAttempts bounds the servers that one request is tried on.
	maxAttempts = 8
	// maxResumes bounds the new connections in one attempt without any progress
	// between them.
	maxResumes = 2
	// cancelledFinish is the finish reason of an answer that was cancelled.
	cancelledFinish = "cancelled"
)

// errNoLease ends a call with nothing sent because the lease has lapsed.
var errNoLease = errors.New("the configuration lease has lapsed")

// message is what a request's goroutine tells the caller's connection.
type message struct {
	// data is one or more encoded server-sent events.
	data []byte
	// problem ends the answer with an error.
	problem *problem
	// done ends a complete answer. Whole is the engine's own body when the
	// answer was not streamed to the entry.
	done  bool
	whole []byte
}

// verdict is how an attempt ended.
type verdict string

const (
	complete verdict = "complete"
	moved    verdict = "moved" // interrupted; goes on elsewhere
	lost     verdict = "lost"  // the server failed
	declined verdict = "declined"
	gone     verdict = "gone" // the caller has gone
	handed   verdict = "handed"
	refused  verdict = "refused" // ends with the problem
)

// relay is the goroutine of one chat request. It takes assignments from the
// dispatcher, reads the engine's stream and writes to out. A caller that does
// not read fills out, which stops the reads from the engine.
type relay struct {
	entry      *Entry
	work       *work
	chat       *chat
	transcript stream.Transcript
	out        chan message
	ctx        context.Context // ends when the caller has gone
	cancel     context.CancelFunc
	sent       bool // a server may have run a part
	attempts   int
	ledger     ledger
	problem    *problem     // the reason of the last failed attempt
	address    atomic.Value // string: the server of the present attempt
	whole      []byte
	// spooling is closed when the attempt is interrupted. From then on events
	// go to the backlog when the caller is slow, so that the slot gets free and
	// no token is lost.
	spooling chan struct{}
	backlog  []byte
}

func newRelay(e *Entry, w *work, c *chat) *relay {
	ctx, cancel := context.WithCancel(e.ctx)
	return &relay{
		entry: e, work: w, chat: c,
		out: make(chan message, e.options.Limits.StreamBuffer),
		ctx: ctx, cancel: cancel,
	}
}

func (r *relay) run() {
	defer r.cancel()
	for {
		select {
		case a := <-r.work.assigned:
			if a.refused != nil {
				r.fail(a.refused)
				return
			}
			r.ledger.sent(a.at)
			if r.settle(a, r.attempt(a)) {
				return
			}
		case <-r.ctx.Done():
			r.entry.tell(func(d *dispatcher, now clock.Millis) { d.withdraw(now, r.work) })
			r.account(outcome.Unknown, outcome.ReasonCallerGone)
			return
		}
	}
}

// settle acts on the end of an attempt and reports whether the request has ended.
func (r *relay) settle(a assignment, v verdict) bool {
	switch v {
	case complete:
		r.finished(routing.Completed)
		r.emit(message{done: true, whole: r.whole})
		r.account(outcome.Answered, outcome.ReasonNone)
		return true
	case gone:
		taken := r.work.streamed && r.awaitResume()
		r.finished(routing.Cancelled)
		if taken {
			r.account(outcome.Unknown, outcome.ReasonCallerGone)
		} else {
			r.leave(a.address)
		}
		return true
	case handed:
		r.finished(routing.Cancelled)
		r.emit(message{problem: unknown(outcome.ReasonAnswerIncomplete, "another connection has taken the stream over")})
		r.account(outcome.Unknown, outcome.ReasonCallerGone)
		return true
	case refused:
		r.finished(routing.Cancelled)
		r.fail(r.problem)
		return true
	case moved:
		r.entry.tell(func(d *dispatcher, now clock.Millis) { d.again(now, r.work, routing.Cancelled) })
		return false
	}
	return r.retry(a, v)
}

// retry queues the request again after a failed attempt, unless it was tried
// too often or the retry budget is spent.
func (r *relay) retry(a assignment, v verdict) bool {
	r.attempts++
	pause, granted := r.mayRetry(v)
	if !granted {
		r.finished(routing.Failed)
		r.fail(r.problem)
		return true
	}
	r.entry.metrics.continued.Inc()
	r.entry.options.Logger.Log(event.RequestContinued, zap.String("request", r.work.id),
		zap.String("server", a.server), zap.Int("position", r.transcript.Position()), zap.Error(r.problem))
	// After a pause that the caller does not survive, run notices its absence.
	r.entry.options.Clock.Sleep(r.ctx, pause)
	r.entry.tell(func(d *dispatcher, now clock.Millis) { d.again(now, r.work, routing.Failed) })
	return false
}

// mayRetry returns the wait before the next attempt, if there is one. A stream
// that has begun is continued without the budget, and so is a request once after
// its first server was lost: a crash of one engine can lose more requests at a
// time than the budget allows. More failures may be due to the request itself.
func (r *relay) mayRetry(v verdict) (clock.Millis, bool) {
	if r.attempts >= maxAttempts || !r.transcript.Continuable() {
		return 0, false
	}
	if r.transcript.Position() > 0 || v == declined || r.attempts == 1 {
		return backoff(r.attempts), true
	}
	return r.entry.budget.take(retry.Work{Attempts: r.attempts})
}

func (r *relay) finished(result routing.Result) {
	r.entry.tell(func(d *dispatcher, now clock.Millis) { d.finished(now, r.work, result) })
}

// fail ends the request with an error. Once a server may have run a part, the
// outcome is unknown whatever the last reason was.
func (r *relay) fail(p *problem) {
	if r.sent {
		p = p.asUnknown(outcome.ReasonAnswerIncomplete)
	}
	if r.transcript.Position() > 0 {
		r.entry.options.Logger.Log(event.RequestIncomplete, zap.String("request", r.work.id), zap.Error(p))
	}
	r.emit(message{problem: p})
	r.account(p.outcome, p.reason)
}

// emit passes a message to the caller. It returns false when the caller has
// gone.
func (r *relay) emit(m message) bool {
	if len(r.backlog) > 0 {
		m.data = append(r.backlog, m.data...)
		r.backlog = nil
	}
	select {
	case r.out <- m:
		return true
	case <-r.spooling:
		r.backlog = m.data
		return true
	case <-r.ctx.Done():
		return false
	}
}

// account reports the request's only outcome.
func (r *relay) account(kind outcome.Kind, reason outcome.Reason) {
	if r.work.streamed || kind == outcome.Answered {
		r.ledger.delivered = r.transcript.Position()
	} else {
		r.ledger.wasted.Add(int64(r.transcript.Position()))
	}
	r.entry.account(r.work, &r.ledger, kind, reason)
}
