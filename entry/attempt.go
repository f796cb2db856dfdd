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
func (t *chatTask) tryServer(a assignment) verdict {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	t.address.Store(a.address)
	interrupted := make(chan struct{})
	t.interrupted = interrupted
	t.work.interrupts.setHandler(func(reason interruption) {
		close(interrupted)
		t.entry.interruptAttempt(ctx, cancel, reason, a.address, t.work.id)
	})
	v := t.readAnswer(ctx, a)
	reason := t.work.interrupts.reset()
	t.interrupted = nil
	switch {
	case v == verdictComplete:
		return verdictComplete
	case reason == streamTakenOver:
		return verdictTakenOver
	case t.ctx.Err() != nil:
		return verdictCallerGone
	case reason != notInterrupted:
		return verdictInterrupted
	}
	return v
}

// readAnswer requests the answer and forwards it. A broken stream is resumed at the
// same server on a new connection.
func (t *chatTask) readAnswer(ctx context.Context, a assignment) verdict {
	if t.chat.opaque && !t.work.streamed {
		return t.fetchWhole(ctx, a)
	}
	s, v := t.startStream(ctx, a)
	if v != "" {
		return v
	}
	if !t.emit(message{}) {
		s.Close()
		return verdictCallerGone
	}
	for resumes := 0; ; resumes++ {
		before := t.transcript.Position()
		v := t.readStream(s)
		s.Close()
		if v != verdictServerLost || ctx.Err() != nil {
			return v
		}
		if t.transcript.Position() > before {
			resumes = 0
		}
		if s = t.reconnect(ctx, a, resumes); s == nil {
			return verdictServerLost
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
	s, err := t.entry.client.Resume(ctx, a.address, t.work.id, t.transcript.Position(), t.entry.options.Timeouts.Resume)
	if err == nil {
		return s
	}
	t.markUnreachable(ctx, a, err)
	if k := engine.KindOf(err); k != engine.Refused && k != engine.NotSent {
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
	t.entry.cancelAtEngine(address, t.work.id, func() bool { return t.address.Load() != address }, func(position int) {
		t.stats.wastedTokens.Add(int64(max(position-keptTokens, 0)))
	})
}

// abandonRequest cancels the request in the background because its caller has
// disconnected. It records the outcome once the engine has reported its final
// position.
func (t *chatTask) abandonRequest(address string) {
	keptTokens := t.transcript.Position()
	t.entry.cancelAtEngine(address, t.work.id, func() bool { return true }, func(position int) {
		t.stats.wastedTokens.Add(int64(max(position-keptTokens, 0)))
		t.recordOutcome(outcome.Unknown, outcome.ReasonCallerGone)
	})
}

// fetchWhole requests an opaque answer as a whole. After a failure such an answer
// is not continued but generated again, which is permitted for model requests.
func (t *chatTask) fetchWhole(ctx context.Context, a assignment) verdict {
	body, err := t.chat.encode(a.priority, &t.transcript)
	if err != nil {
		t.problem = invalid(outcome.ReasonInvalidRequest, "", err.Error())
		return verdictRejected
	}
	t.wholeBody, err = t.entry.client.Whole(ctx, a.address, t.work.id, body, t.entry.options.Timeouts.WholeAnswer, t.checkLease)
	if err != nil {
		return t.classifyFailure(ctx, a, err)
	}
	return verdictComplete
}

// startStream sends the request to the engine. It returns a verdict only when there
// is no stream.
func (t *chatTask) startStream(ctx context.Context, a assignment) (*engine.Stream, verdict) {
	body, err := t.chat.encode(a.priority, &t.transcript)
	if err != nil {
		t.problem = invalid(outcome.ReasonInvalidRequest, "", err.Error())
		return nil, verdictRejected
	}
	s, err := t.entry.client.Chat(ctx, a.address, t.work.id, body, t.checkLease)
	if err == nil {
		t.mayHaveRun = true
		return s, ""
	}
	return nil, t.classifyFailure(ctx, a, err)
}

// checkLease runs immediately before the first byte of the request is written.
// A request that was sent to a server before may continue without a lease.
func (t *chatTask) checkLease() error {
	if t.mayHaveRun || t.entry.leases.valid() {
		return nil
	}
	return errNoLease
}

// classifyFailure returns the verdict on a failure before the answer began, and
// keeps the problem for the caller. When the server may still run the request, it
// is cancelled there.
func (t *chatTask) classifyFailure(ctx context.Context, a assignment, err error) verdict {
	t.markUnreachable(ctx, a, err)
	var f *engine.Failure
	if !errors.As(err, &f) {
		f = &engine.Failure{Kind: engine.Lost, Address: a.address, Cause: err}
	}
	switch {
	case errors.Is(err, errNoLease):
		t.problem = noLease()
		return verdictRejected
	case f.ProvablyNotRun():
		t.problem = notRun(outcome.ReasonBackendRefused, f.Error())
		return verdictDeclined
	case f.Kind == engine.Refused:
		return t.classifyStatus(f)
	}
	t.mayHaveRun = true
	t.problem = unknown(outcome.ReasonBackendLost, f.Error())
	t.abandonServer(a.address)
	return verdictServerLost
}

// markUnreachable tells the dispatcher to stop using a server whose connection
// failed.
func (t *chatTask) markUnreachable(ctx context.Context, a assignment, err error) {
	if connectionFailed(ctx, err) {
		t.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.markUnreachable(now, a.server) })
	}
}

// classifyStatus returns the verdict on an error status from an engine. Statuses
// that blame the request go to the caller; for all others another server is tried.
// An engine that answers with an error status has generated nothing.
func (t *chatTask) classifyStatus(f *engine.Failure) verdict {
	t.problem = notRun(outcome.ReasonBackendRefused, f.Error())
	switch f.Status {
	case 400, 413, 415, 422:
		t.problem = invalid(outcome.ReasonBackendRefused, "", f.Error()+": "+string(f.Body)).withStatus(f.Status)
		return verdictRejected
	}
	return verdictDeclined
}

// readStream forwards the stream until it ends.
func (t *chatTask) readStream(s *engine.Stream) verdict {
	for {
		e, err := s.Next()
		if err != nil {
			return t.classifyStreamEnd(err)
		}
		switch {
		case e.Comment:
		case e.Name == "error":
			t.problem = unknown(outcome.ReasonBackendLost, "the engine ended its answer with an error")
			return verdictServerLost
		case string(e.Data) == stream.Done:
			return t.finishStream(s)
		default:
			if v := t.forwardChunk(e.Data); v != "" {
				return v
			}
		}
	}
}

// classifyStreamEnd returns the verdict on a stream that ended without the done
// event. The answer is complete once its finish reason has arrived.
func (t *chatTask) classifyStreamEnd(err error) verdict {
	if t.transcript.Finish() != "" {
		return verdictComplete
	}
	t.problem = unknown(outcome.ReasonBackendLost, "the engine's stream broke off")
	if engine.KindOf(err) == engine.Silent {
		t.problem = timedOut("the engine's stream went silent")
	}
	if errors.Is(err, io.EOF) {
		t.problem = unknown(outcome.ReasonAnswerIncomplete, "the engine's stream ended early")
	}
	return verdictServerLost
}

// finishStream handles the done event. An answer without a finish reason is treated
// as a stream that ended early.
func (t *chatTask) finishStream(s *engine.Stream) verdict {
	if t.transcript.Finish() == "" {
		return t.classifyStreamEnd(io.EOF)
	}
	s.Finish()
	return verdictComplete
}

// forwardChunk adds a chunk to the transcript and sends it to the caller. It
// returns an empty verdict when the stream goes on.
func (t *chatTask) forwardChunk(data []byte) verdict {
	c, err := stream.ParseChunk(data)
	if err != nil {
		t.problem = unknown(outcome.ReasonBackendLost, "the engine sent a malformed chunk")
		return verdictServerLost
	}
	if c.Finish == finishCancelled {
		t.problem = unknown(outcome.ReasonAnswerIncomplete, "the engine cancelled the answer")
		return verdictServerLost
	}
	if !t.transcript.Add(c) {
		return ""
	}
	if c.Text != "" && t.work.firstToken.Load() == 0 {
		t.work.firstToken.Store(int64(t.entry.options.Clock.Now()))
	}
	t.work.producedTokens.Store(int64(t.transcript.Position()))
	if !t.work.streamed {
		return ""
	}
	if !t.emit(message{data: stream.AppendEvent(nil, "", data)}) {
		return verdictCallerGone
	}
	return ""
}
