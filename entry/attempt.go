package entry

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/stream"
)

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
	case reason == detached:
		return handed
	case r.ctx.Err() != nil:
		return gone
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
	r.avoid(ctx, a, err)
	if k := engine.KindOf(err); k != engine.Refused && k != engine.NotSent {
		r.abandon(a.address)
	}
	return nil
}

// abandon cancels the request at a server that it leaves. It stops when the
// request comes back to the same server, where it has the same identifier.
func (r *relay) abandon(address string) {
	r.address.Store("")
	kept := r.transcript.Position()
	r.entry.cancelAt(address, r.work.id, func() bool { return r.address.Load() != address }, func(position int) {
		r.ledger.wasted.Add(int64(max(position-kept, 0)))
	})
}

// leave cancels the request because its caller has gone, and accounts for it
// once the engine has told how far it came.
func (r *relay) leave(address string) {
	kept := r.transcript.Position()
	r.entry.cancelAt(address, r.work.id, func() bool { return true }, func(position int) {
		r.ledger.wasted.Add(int64(max(position-kept, 0)))
		r.account(outcome.Unknown, outcome.ReasonCallerGone)
	})
}

// fetch takes an opaque answer as a whole. It is not continued after a failure
// but run again, which callers allow for model work.
func (r *relay) fetch(ctx context.Context, a assignment) verdict {
	body, err := r.chat.encode(a.priority, &r.transcript)
	if err != nil {
		r.problem = invalid(outcome.ReasonInvalidRequest, "", err.Error())
		return refused
	}
	r.whole, err = r.entry.client.Whole(ctx, a.address, r.work.id, body, r.entry.options.Timeouts.WholeAnswer, r.checkLease)
	if err != nil {
		return r.judge(ctx, a, err)
	}
	return complete
}

// connect starts the answer at the engine.
func (r *relay) connect(ctx context.Context, a assignment) (*engine.Stream, verdict) {
	body, err := r.chat.encode(a.priority, &r.transcript)
	if err != nil {
		r.problem = invalid(outcome.ReasonInvalidRequest, "", err.Error())
		return nil, refused
	}
	s, err := r.entry.client.Chat(ctx, a.address, r.work.id, body, r.checkLease)
	if err == nil {
		r.sent = true
		return s, ""
	}
	return nil, r.judge(ctx, a, err)
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
func (r *relay) judge(ctx context.Context, a assignment, err error) verdict {
	r.avoid(ctx, a, err)
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

// avoid keeps new work from a server whose connection failed.
func (r *relay) avoid(ctx context.Context, a assignment, err error) {
	if connectionFailed(ctx, err) {
		r.entry.tell(func(d *dispatcher, now clock.Millis) { d.avoid(now, a.server) })
	}
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
		r.problem = unknown(outcome.ReasonAnswerIncomplete, "the engine's stream ended early")
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
		r.problem = unknown(outcome.ReasonAnswerIncomplete, "the engine cancelled the answer")
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
