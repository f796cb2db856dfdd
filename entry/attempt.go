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

// tryServer runs one attempt of the request on the assigned server.
func (r *chatTask) tryServer(a assignment) verdict {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.address.Store(a.address)
	interrupted := make(chan struct{})
	r.interrupted = interrupted
	r.work.interrupts.setHandler(func(reason interruption) {
		close(interrupted)
		r.entry.interruptAttempt(ctx, cancel, reason, a.address, r.work.id)
	})
	v := r.readAnswer(ctx, a)
	reason := r.work.interrupts.reset()
	r.interrupted = nil
	switch {
	case v == verdictComplete:
		return verdictComplete
	case reason == streamTakenOver:
		return verdictTakenOver
	case r.ctx.Err() != nil:
		return verdictCallerGone
	case reason != notInterrupted:
		return verdictInterrupted
	}
	return v
}

// readAnswer requests the answer and forwards it. A broken stream is resumed at the
// same server on a new connection.
func (r *chatTask) readAnswer(ctx context.Context, a assignment) verdict {
	if r.chat.opaque && !r.work.streamed {
		return r.fetchWhole(ctx, a)
	}
	s, v := r.startStream(ctx, a)
	if v != "" {
		return v
	}
	if !r.emit(message{}) {
		s.Close()
		return verdictCallerGone
	}
	for resumes := 0; ; resumes++ {
		before := r.transcript.Position()
		v := r.readStream(s)
		s.Close()
		if v != verdictServerLost || ctx.Err() != nil {
			return v
		}
		if r.transcript.Position() > before {
			resumes = 0
		}
		if s = r.reconnect(ctx, a, resumes); s == nil {
			return verdictServerLost
		}
	}
}

// reconnect continues to read the stream from the engine's buffer on a new
// connection, because an open connection may go silent while new ones still work.
// It returns nil when the attempt at this engine is abandoned.
func (r *chatTask) reconnect(ctx context.Context, a assignment, resumes int) *engine.Stream {
	if resumes >= maxResumes || !r.transcript.Continuable() {
		r.abandonServer(a.address)
		return nil
	}
	s, err := r.entry.client.Resume(ctx, a.address, r.work.id, r.transcript.Position(), r.entry.options.Timeouts.Resume)
	if err == nil {
		return s
	}
	r.markUnreachable(ctx, a, err)
	if k := engine.KindOf(err); k != engine.Refused && k != engine.NotSent {
		r.abandonServer(a.address)
	}
	return nil
}

// abandonServer cancels the request at a server in the background, because the
// request continues on another one. It stops trying when the request is assigned
// to the same server again, where a cancel would end the new attempt: both have the
// same identifier.
func (r *chatTask) abandonServer(address string) {
	r.address.Store("")
	keptTokens := r.transcript.Position()
	r.entry.cancelAtEngine(address, r.work.id, func() bool { return r.address.Load() != address }, func(position int) {
		r.stats.wastedTokens.Add(int64(max(position-keptTokens, 0)))
	})
}

// abandonRequest cancels the request in the background because its caller has
// disconnected. It records the outcome once the engine has reported its final
// position.
func (r *chatTask) abandonRequest(address string) {
	keptTokens := r.transcript.Position()
	r.entry.cancelAtEngine(address, r.work.id, func() bool { return true }, func(position int) {
		r.stats.wastedTokens.Add(int64(max(position-keptTokens, 0)))
		r.recordOutcome(outcome.Unknown, outcome.ReasonCallerGone)
	})
}

// fetchWhole requests an opaque answer as a whole. After a failure such an answer
// is not continued but generated again, which is permitted for model requests.
func (r *chatTask) fetchWhole(ctx context.Context, a assignment) verdict {
	body, err := r.chat.encode(a.priority, &r.transcript)
	if err != nil {
		r.problem = invalid(outcome.ReasonInvalid, "", err.Error())
		return verdictRejected
	}
	r.wholeBody, err = r.entry.client.Whole(ctx, a.address, r.work.id, body, r.entry.options.Timeouts.Answer, r.checkLease)
	if err != nil {
		return r.classifyFailure(ctx, a, err)
	}
	return verdictComplete
}

// startStream sends the request to the engine. It returns a verdict only when there
// is no stream.
func (r *chatTask) startStream(ctx context.Context, a assignment) (*engine.Stream, verdict) {
	body, err := r.chat.encode(a.priority, &r.transcript)
	if err != nil {
		r.problem = invalid(outcome.ReasonInvalid, "", err.Error())
		return nil, verdictRejected
	}
	s, err := r.entry.client.Chat(ctx, a.address, r.work.id, body, r.checkLease)
	if err == nil {
		r.mayHaveRun = true
		return s, ""
	}
	return nil, r.classifyFailure(ctx, a, err)
}

// checkLease runs immediately before the first byte of the request is written.
// A request that was sent to a server before may continue without a lease.
func (r *chatTask) checkLease() error {
	if r.mayHaveRun || r.entry.leases.valid() {
		return nil
	}
	return errNoLease
}

// classifyFailure returns the verdict on a failure before the answer began, and
// keeps the problem for the caller. When the server may still run the request, it
// is cancelled there.
func (r *chatTask) classifyFailure(ctx context.Context, a assignment, err error) verdict {
	r.markUnreachable(ctx, a, err)
	var f *engine.Failure
	if !errors.As(err, &f) {
		f = &engine.Failure{Kind: engine.Lost, Address: a.address, Cause: err}
	}
	switch {
	case errors.Is(err, errNoLease):
		r.problem = noLease()
		return verdictRejected
	case f.ProvablyNotRun():
		r.problem = notRun(outcome.ReasonBackendRefused, f.Error())
		return verdictDeclined
	case f.Kind == engine.Refused:
		return r.classifyStatus(f)
	}
	r.mayHaveRun = true
	r.problem = unknown(outcome.ReasonBackendLost, f.Error())
	r.abandonServer(a.address)
	return verdictServerLost
}

// markUnreachable tells the dispatcher to stop using a server whose connection
// failed.
func (r *chatTask) markUnreachable(ctx context.Context, a assignment, err error) {
	if connectionFailed(ctx, err) {
		r.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.markUnreachable(now, a.server) })
	}
}

// classifyStatus returns the verdict on an error status from an engine. Statuses
// that blame the request go to the caller; for all others another server is tried.
// An engine that answers with an error status has generated nothing.
func (r *chatTask) classifyStatus(f *engine.Failure) verdict {
	r.problem = notRun(outcome.ReasonBackendRefused, f.Error())
	switch f.Status {
	case 400, 413, 415, 422:
		r.problem = invalid(outcome.ReasonBackendRefused, "", f.Error()+": "+string(f.Body)).withStatus(f.Status)
		return verdictRejected
	}
	return verdictDeclined
}

// readStream forwards the stream until it ends.
func (r *chatTask) readStream(s *engine.Stream) verdict {
	for {
		e, err := s.Next()
		if err != nil {
			return r.classifyStreamEnd(err)
		}
		switch {
		case e.Comment:
		case e.Name == "error":
			r.problem = unknown(outcome.ReasonBackendLost, "the engine ended its answer with an error")
			return verdictServerLost
		case string(e.Data) == stream.Done:
			return r.finishStream(s)
		default:
			if v := r.forwardChunk(e.Data); v != "" {
				return v
			}
		}
	}
}

// classifyStreamEnd returns the verdict on a stream that ended without the done
// event. The answer is complete once its finish reason has arrived.
func (r *chatTask) classifyStreamEnd(err error) verdict {
	if r.transcript.Finish() != "" {
		return verdictComplete
	}
	r.problem = unknown(outcome.ReasonBackendLost, "the engine's stream broke off")
	if engine.KindOf(err) == engine.Silent {
		r.problem = timedOut("the engine's stream went silent")
	}
	if errors.Is(err, io.EOF) {
		r.problem = unknown(outcome.ReasonIncomplete, "the engine's stream ended early")
	}
	return verdictServerLost
}

// finishStream handles the done event. An answer without a finish reason is treated
// as a stream that ended early.
func (r *chatTask) finishStream(s *engine.Stream) verdict {
	if r.transcript.Finish() == "" {
		return r.classifyStreamEnd(io.EOF)
	}
	s.Finish()
	return verdictComplete
}

// forwardChunk adds a chunk to the transcript and sends it to the caller. It
// returns an empty verdict when the stream goes on.
func (r *chatTask) forwardChunk(data []byte) verdict {
	c, err := stream.ParseChunk(data)
	if err != nil {
		r.problem = unknown(outcome.ReasonBackendLost, "the engine sent a malformed chunk")
		return verdictServerLost
	}
	if c.Finish == finishCancelled {
		r.problem = unknown(outcome.ReasonIncomplete, "the engine cancelled the answer")
		return verdictServerLost
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
		return verdictCallerGone
	}
	return ""
}
