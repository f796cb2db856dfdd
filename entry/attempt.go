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
func (t *chatTask) tryServer(a assignment) attemptResult {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	t.address.Store(a.address)
	interrupted := make(chan struct{})
	t.interrupted = interrupted
	t.observer.beginAttempt(a)
	t.callerRequest.interrupts.setHandler(func(reason interruption) {
		close(interrupted)
		t.entry.interruptAttempt(ctx, cancel, reason, a.address, t.callerRequest.id)
	})
	result := t.readAnswer(ctx, a)
	reason := t.callerRequest.interrupts.reset()
	t.interrupted = nil
	if result == attemptComplete {
		t.observer.recordSurvival()
		return attemptComplete
	}
	if reason != notInterrupted || t.ctx.Err() != nil {
		t.observer.recordAbandoned()
	}
	switch {
	case reason == streamTakenOver:
		return attemptTakenOver
	case t.ctx.Err() != nil:
		return attemptCallerGone
	case reason != notInterrupted:
		return attemptInterrupted
	case result == attemptServerLost:
		t.observer.recordServerEnd()
	}
	return result
}

// readAnswer requests the answer and forwards it. A broken stream is resumed at the
// same server on a new connection.
func (t *chatTask) readAnswer(ctx context.Context, a assignment) attemptResult {
	if t.chat.cannotContinue && !t.callerRequest.streamed {
		return t.fetchWhole(ctx, a)
	}
	s, result := t.startStream(ctx, a)
	if result != "" {
		return result
	}
	if !t.emit(message{}) {
		s.Close()
		return attemptCallerGone
	}
	for resumes := 0; ; resumes++ {
		before := t.transcript.Position()
		result := t.readStream(s)
		s.Close()
		if result != attemptServerLost || ctx.Err() != nil {
			return result
		}
		if t.transcript.Position() > before {
			resumes = 0
		}
		if s = t.reconnect(ctx, a, resumes); s == nil {
			return attemptServerLost
		}
	}
}

// reconnect continues to read the stream from the engine's buffer on a new
// connection, because an open connection may go silent while new ones still work.
// It returns nil when the attempt at this engine is abandoned.
func (t *chatTask) reconnect(ctx context.Context, a assignment, resumes int) *engine.Stream {
	if resumes >= maxResumes || !t.transcript.Continuable() {
		t.abandonServer(a.address)
		return nil
	}
	s, err := t.entry.client.Resume(ctx, a.address, t.callerRequest.id, t.transcript.Position(), t.entry.options.Timeouts.Resume)
	if err == nil {
		t.observer.recordReconnect()
		return s
	}
	t.markUnreachable(ctx, a, err)
	if k := engine.FailureKindOf(err); k != engine.Refused && k != engine.NotSent {
		t.abandonServer(a.address)
	}
	return nil
}

// abandonServer cancels the request at a server in the background, because the
// request continues on another one. It stops trying when the request is assigned
// to the same server again, where a cancel would end the new attempt: both have the
// same identifier.
func (t *chatTask) abandonServer(address string) {
	t.address.Store("")
	keptTokens := t.transcript.Position()
	t.entry.cancelAtEngine(address, t.callerRequest.id, func() bool { return t.address.Load() != address }, func(position int) {
		t.requestStats.wastedTokens.Add(int64(max(position-keptTokens, 0)))
	})
}

// abandonRequest cancels the request in the background because its caller has
// disconnected. It records the outcome once the engine has reported its final
// position.
func (t *chatTask) abandonRequest(address string) {
	keptTokens := t.transcript.Position()
	t.entry.cancelAtEngine(address, t.callerRequest.id, func() bool { return true }, func(position int) {
		t.requestStats.wastedTokens.Add(int64(max(position-keptTokens, 0)))
		t.recordOutcome(outcome.Unknown, outcome.ReasonCallerGone)
	})
}

// fetchWhole requests an answer as a whole instead of as a stream. After a failure
// such an answer is not continued but generated again, which is permitted for model
// requests.
func (t *chatTask) fetchWhole(ctx context.Context, a assignment) attemptResult {
	body, err := t.chat.encode(a.priority, &t.transcript)
	if err != nil {
		t.problem = invalid(outcome.ReasonInvalidRequest, "", err.Error())
		return attemptRejected
	}
	hooks := t.hooks(a)
	hooks.OnWithdrawal = t.observer.recordHead(hooks.OnWithdrawal)
	t.wholeBody, err = t.entry.client.ChatUnstreamed(ctx, a.address, t.callerRequest.id, body, t.entry.options.Timeouts.WholeAnswer, hooks)
	if err != nil {
		return t.classifyFailure(ctx, a, err)
	}
	return attemptComplete
}

// startStream sends the request to the engine and returns the stream. Without a
// stream it returns the attempt's result.
func (t *chatTask) startStream(ctx context.Context, a assignment) (*engine.Stream, attemptResult) {
	body, err := t.chat.encode(a.priority, &t.transcript)
	if err != nil {
		t.problem = invalid(outcome.ReasonInvalidRequest, "", err.Error())
		return nil, attemptRejected
	}
	s, err := t.entry.client.Chat(ctx, a.address, t.callerRequest.id, body, t.hooks(a))
	if err == nil {
		t.mayHaveRun = true
		return s, ""
	}
	return nil, t.classifyFailure(ctx, a, err)
}

// hooks returns the functions that run during the call of an attempt.
func (t *chatTask) hooks(a assignment) engine.Hooks {
	return engine.Hooks{BeforeWrite: t.checkLease, OnWithdrawal: t.entry.onWithdrawal(a)}
}

// checkLease returns an error when the request must not be sent for lack of a lease.
// It runs immediately before the first byte of the request is written. A request that
// was already sent to a server may continue without a lease.
func (t *chatTask) checkLease() error {
	if t.mayHaveRun || t.entry.leases.valid() {
		return nil
	}
	return errNoLease
}

// classifyFailure returns the result of an attempt that failed before the answer
// began, and stores the problem for the caller in t.problem. When the server may
// still run the request, the request is cancelled there.
func (t *chatTask) classifyFailure(ctx context.Context, a assignment, err error) attemptResult {
	t.markUnreachable(ctx, a, err)
	t.observer.recordFailure(err)
	var f *engine.Failure
	if !errors.As(err, &f) {
		f = &engine.Failure{Kind: engine.Lost, Address: a.address, Cause: err}
	}
	switch {
	case errors.Is(err, errNoLease):
		t.problem = noLease()
		return attemptRejected
	case f.ProvablyNotRun():
		t.problem = notRun(outcome.ReasonBackendRefused, f.Error())
		return attemptDeclined
	case f.Kind == engine.Refused:
		return t.classifyStatus(f)
	}
	t.mayHaveRun = true
	t.problem = unknown(outcome.ReasonBackendLost, f.Error())
	t.abandonServer(a.address)
	return attemptServerLost
}

// markUnreachable tells the dispatcher to stop using a server whose connection
// failed.
func (t *chatTask) markUnreachable(ctx context.Context, a assignment, err error) {
	if connectionFailed(ctx, err) {
		t.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.markUnreachable(now, a.server) })
	}
}

// classifyStatus returns the result of an attempt that the engine answered with an
// error status. 400, 413, 415 and 422 mean that the request is invalid and go to the
// caller, unless another engine has begun the answer; after any other status another
// server is tried. An engine that answers with an error status has generated nothing.
func (t *chatTask) classifyStatus(f *engine.Failure) attemptResult {
	t.problem = notRun(outcome.ReasonBackendRefused, f.Error())
	if t.transcript.Position() > 0 {
		return attemptDeclined
	}
	switch f.Status {
	case 400, 413, 415, 422:
		t.observer.recordSurvival()
		t.problem = invalid(outcome.ReasonBackendRefused, "", f.Error()+": "+string(f.Body)).withStatus(f.Status)
		return attemptRejected
	}
	return attemptDeclined
}

// readStream forwards the stream until it ends.
func (t *chatTask) readStream(s *engine.Stream) attemptResult {
	for {
		e, err := s.Next()
		if err != nil {
			return t.classifyStreamEnd(err)
		}
		switch {
		case e.Comment:
		case e.Name == "error":
			t.problem = unknown(outcome.ReasonBackendLost, "the engine ended its answer with an error")
			return attemptServerLost
		case string(e.Data) == stream.Done:
			return t.finishStream(s)
		default:
			t.observer.recordProgress()
			if result := t.forwardChunk(e.Data); result != "" {
				return result
			}
		}
	}
}

// classifyStreamEnd returns the result of an attempt whose stream ended without the
// engine's last event. The answer is complete once its finish reason has arrived.
func (t *chatTask) classifyStreamEnd(err error) attemptResult {
	if t.transcript.Finish() != "" {
		return attemptComplete
	}
	t.observer.recordFailure(err)
	t.problem = unknown(outcome.ReasonBackendLost, "the engine's stream broke off")
	if engine.FailureKindOf(err) == engine.TimedOut {
		t.problem = timedOut("the engine's stream went silent")
	}
	if errors.Is(err, io.EOF) {
		t.problem = unknown(outcome.ReasonAnswerIncomplete, "the engine's stream ended early")
	}
	return attemptServerLost
}

// finishStream handles the engine's last event. An answer without a finish reason is treated
// as a stream that ended early.
func (t *chatTask) finishStream(s *engine.Stream) attemptResult {
	if t.transcript.Finish() == "" {
		return t.classifyStreamEnd(io.EOF)
	}
	s.Finish()
	return attemptComplete
}

// endsBefore reports whether a chunk ends an answer before the given position, so that it ends
// another answer than the one that has reached the position.
func endsBefore(c stream.Chunk, position int) bool {
	return c.Finish != "" && c.Position > 0 && c.Position < position
}

// forwardChunk adds a chunk to the transcript and sends it to the caller. It
// returns an empty result when the stream goes on.
func (t *chatTask) forwardChunk(data []byte) attemptResult {
	c, err := stream.ParseChunk(data)
	if err != nil {
		t.problem = unknown(outcome.ReasonBackendLost, "the engine sent a malformed chunk")
		return attemptServerLost
	}
	if c.Finish == finishCancelled {
		t.problem = unknown(outcome.ReasonAnswerIncomplete, "the engine cancelled the answer")
		return attemptServerLost
	}
	if endsBefore(c, t.transcript.Position()) {
		t.problem = unknown(outcome.ReasonAnswerIncomplete, "the engine ended its answer before its newest token")
		return attemptServerLost
	}
	if !t.transcript.Add(c) {
		return ""
	}
	if c.Text != "" && t.callerRequest.firstTokenAt.Load() == 0 {
		t.callerRequest.firstTokenAt.Store(int64(t.entry.options.Clock.Now()))
	}
	t.callerRequest.producedTokens.Store(int64(t.transcript.Position()))
	if !t.callerRequest.streamed {
		return ""
	}
	if !t.emit(message{data: stream.AppendEvent(nil, "", data)}) {
		return attemptCallerGone
	}
	return ""
}
