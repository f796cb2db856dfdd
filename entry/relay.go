package entry

import (
	"context"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
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
		out: make(chan message, e.options.Limits.Streams),
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
			if r.settle(a, r.attempt(a)) {
				return
			}
		case <-r.ctx.Done():
			r.tell(func(d *dispatcher, now clock.Millis) { d.withdraw(now, r.work) })
			r.account(outcome.Unknown, outcome.ReasonCallerGone)
			return
		}
	}
}

// tell passes a message about this request to the dispatcher.
func (r *relay) tell(f func(d *dispatcher, now clock.Millis)) {
	d := r.entry.dispatcher
	d.send(r.entry.ctx, func(now clock.Millis) { f(d, now) })
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
		r.finished(routing.Cancelled)
		r.abandon(a.address)
		r.account(outcome.Unknown, outcome.ReasonCallerGone)
		return true
	case handed:
		r.finished(routing.Cancelled)
		r.emit(message{problem: unknown(outcome.ReasonIncomplete, "another connection has taken the stream over")})
		r.account(outcome.Unknown, outcome.ReasonCallerGone)
		return true
	case refused:
		r.finished(routing.Cancelled)
		r.fail(r.problem)
		return true
	case moved:
		r.tell(func(d *dispatcher, now clock.Millis) { d.again(now, r.work, routing.Cancelled) })
		return false
	}
	return r.retry(a, v)
}

// retry queues the request again after a failed attempt, unless it was tried
// too often or the retry budget is spent.
func (r *relay) retry(a assignment, v verdict) bool {
	r.attempts++
	if r.attempts >= maxAttempts || !r.transcript.Continuable() || !r.free(v) && !r.entry.budget.take() {
		r.finished(routing.Failed)
		r.fail(r.problem)
		return true
	}
	r.entry.metrics.continued.Inc()
	r.entry.options.Logger.Log(event.RequestContinued, zap.String("request", r.work.id),
		zap.String("server", a.server), zap.Int("position", r.transcript.Position()), zap.Error(r.problem))
	// After a pause that the caller does not survive, run notices its absence.
	r.entry.options.Clock.Sleep(r.ctx, backoff(r.attempts))
	r.tell(func(d *dispatcher, now clock.Millis) { d.again(now, r.work, routing.Failed) })
	return false
}

// free reports whether an attempt does not need the retry budget. A stream that
// has begun is continued in any case, and so is a request once after its first
// server was lost: a crash of one engine can lose more requests at a time than
// the budget allows. More failures than that may be due to the request itself.
func (r *relay) free(v verdict) bool {
	return r.transcript.Position() > 0 || v == declined || r.attempts == 1
}

func (r *relay) finished(result routing.Result) {
	r.tell(func(d *dispatcher, now clock.Millis) { d.finished(now, r.work, result) })
}

// fail ends the request with an error. Once a server may have run a part, the
// outcome is unknown whatever the last reason was.
func (r *relay) fail(p *problem) {
	if r.sent && p.outcome == outcome.NotRun {
		changed := *p
		changed.status, changed.outcome, changed.reason = 502, outcome.Unknown, outcome.ReasonIncomplete
		p = &changed
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

// attempt runs the request on one server.
func (r *relay) attempt(a assignment) verdict {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.address.Store(a.address)
	spooling := make(chan struct{})
	r.spooling = spooling
	r.work.stop.arm(func(reason interruption) {
		close(spooling)
		r.entry.interrupt(ctx, cancel, reason, a.address, r.work.id)
	})
	v := r.converse(ctx, a)
	reason := r.work.stop.disarm()
	r.spooling = nil
	switch {
	case v == complete:
		return complete
	case r.ctx.Err() != nil:
		return gone
	case reason == detached:
		return handed
	case reason != notInterrupted:
		return moved
	}
	return v
}

func (r *relay) converse(ctx context.Context, a assignment) verdict {
	if r.chat.opaque && !r.work.streamed {
		return r.fetch(ctx, a)
	}
	s, v := r.connect(ctx, a)
	if v != "" {
		return v
	}
	if !r.emit(message{}) {
		s.Close()
		return gone
	}
	for resumes := 0; ; resumes++ {
		before := r.transcript.Position()
		v := r.follow(s)
		s.Close()
		if v != lost || ctx.Err() != nil {
			return v
		}
		if r.transcript.Position() > before {
			resumes = 0
		}
		if s = r.resume(ctx, a, resumes); s == nil {
			return lost
		}
	}
}

// resume reads on from the engine's buffer on a new connection, because open
// connections may go silent while new ones work. It returns nil when the engine
// is given up.
func (r *relay) resume(ctx context.Context, a assignment, resumes int) *engine.Stream {
	if resumes >= maxResumes || !r.transcript.Continuable() {
		r.abandon(a.address)
		return nil
	}
	s, err := r.entry.client.Resume(ctx, a.address, r.work.id, r.transcript.Position(), r.entry.options.Timeouts.Resume)
	if err == nil {
		return s
	}
	if k := engine.KindOf(err); k != engine.Refused && k != engine.NotSent {
		r.abandon(a.address)
	}
	return nil
}

// abandon cancels the request at a server that it leaves. It stops when the
// request comes back to the same server, where it has the same identifier.
func (r *relay) abandon(address string) {
	r.address.Store("")
	r.entry.cancelAt(address, r.work.id, func() bool { return r.address.Load() != address })
}

// fetch takes an opaque answer as a whole. It is not continued after a failure
// but run again, which callers allow for model work.
func (r *relay) fetch(ctx context.Context, a assignment) verdict {
	body, err := r.chat.encode(a.priority, &r.transcript)
	if err != nil {
		r.problem = invalid(outcome.ReasonInvalid, "", err.Error())
		return refused
	}
	r.whole, err = r.entry.client.Whole(ctx, a.address, r.work.id, body, r.entry.options.Timeouts.Answer, r.checkLease)
	if err != nil {
		return r.judge(a, err)
	}
	return complete
}

// connect starts the answer at the engine.
func (r *relay) connect(ctx context.Context, a assignment) (*engine.Stream, verdict) {
	body, err := r.chat.encode(a.priority, &r.transcript)
	if err != nil {
		r.problem = invalid(outcome.ReasonInvalid, "", err.Error())
		return nil, refused
	}
	s, err := r.entry.client.Chat(ctx, a.address, r.work.id, body, r.checkLease)
	if err == nil {
		r.sent = true
		return s, ""
	}
	return nil, r.judge(a, err)
}

// checkLease runs directly before the first byte is written. Work that was sent
// before may go on without a lease.
func (r *relay) checkLease() error {
	if r.sent || r.entry.leases.valid() {
		return nil
	}
	return errNoLease
}

// judge decides what follows from a failure before the answer began.
func (r *relay) judge(a assignment, err error) verdict {
	var f *engine.Failure
	if !errors.As(err, &f) {
		f = &engine.Failure{Kind: engine.Lost, Address: a.address, Cause: err}
	}
	switch {
	case errors.Is(err, errNoLease):
		r.problem = noLease()
		return refused
	case f.ProvablyNotRun():
		r.problem = notRun(outcome.ReasonBackendRefused, f.Error())
		return declined
	case f.Kind == engine.Refused:
		return r.judgeStatus(f)
	}
	r.sent = true
	r.problem = unknown(outcome.ReasonBackendLost, f.Error())
	r.abandon(a.address)
	return lost
}

// judgeStatus passes errors of the caller on and tries other servers for the
// rest. An engine that answers with an error status has generated nothing.
func (r *relay) judgeStatus(f *engine.Failure) verdict {
	r.problem = notRun(outcome.ReasonBackendRefused, f.Error())
	switch f.Status {
	case 400, 413, 415, 422:
		r.problem = invalid(outcome.ReasonBackendRefused, "", f.Error()+": "+string(f.Body)).withStatus(f.Status)
		return refused
	}
	return declined
}

// follow passes the stream on until it ends.
func (r *relay) follow(s *engine.Stream) verdict {
	for {
		e, err := s.Next()
		if err != nil {
			return r.ended(err)
		}
		switch {
		case e.Comment:
		case e.Name == "error":
			r.problem = unknown(outcome.ReasonBackendLost, "the engine ended its answer with an error")
			return lost
		case string(e.Data) == stream.Done:
			return r.done(s)
		default:
			if v := r.pass(e.Data); v != "" {
				return v
			}
		}
	}
}

// ended judges the end of the body without the done event. The answer is
// complete once its finish reason has arrived.
func (r *relay) ended(err error) verdict {
	if r.transcript.Finish() != "" {
		return complete
	}
	r.problem = unknown(outcome.ReasonBackendLost, "the engine's stream broke off")
	if engine.KindOf(err) == engine.Silent {
		r.problem = timedOut("the engine's stream went silent")
	}
	if errors.Is(err, io.EOF) {
		r.problem = unknown(outcome.ReasonIncomplete, "the engine's stream ended early")
	}
	return lost
}

func (r *relay) done(s *engine.Stream) verdict {
	if r.transcript.Finish() == "" {
		return r.ended(io.EOF)
	}
	s.Finish()
	return complete
}

// pass adds a chunk to the transcript and passes it on. It returns a verdict
// when the answer ends here.
func (r *relay) pass(data []byte) verdict {
	c, err := stream.ParseChunk(data)
	if err != nil {
		r.problem = unknown(outcome.ReasonBackendLost, "the engine sent a malformed chunk")
		return lost
	}
	if c.Finish == cancelledFinish {
		r.problem = unknown(outcome.ReasonIncomplete, "the engine cancelled the answer")
		return lost
	}
	if !r.transcript.Add(c) {
		return ""
	}
	if c.Text != "" && r.work.firstToken.Load() == 0 {
		r.work.firstToken.Store(int64(r.entry.options.Clock.Now()))
	}
	r.work.produced.Store(int64(r.transcript.Position()))
	if !r.work.streamed {
		return ""
	}
	if !r.emit(message{data: stream.AppendEvent(nil, "", data)}) {
		return gone
	}
	return ""
}

// account reports the request's only outcome.
func (r *relay) account(kind outcome.Kind, reason outcome.Reason) {
	r.entry.account(sample{work: r.work, kind: kind, reason: reason, ended: r.entry.options.Clock.Now()})
}
