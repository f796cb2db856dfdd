package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
)

const (
	// resumeGrace is how long a stream goes on after its caller's connection was
	// lost, so that the caller can resume it. Connections are checked every second,
	// so an abandoned request is cancelled within 2 s.
	resumeGrace = 700 * clock.Millisecond
	// cancelTimeout bounds one cancel call to an engine or release call to a peer.
	cancelTimeout = 500 * clock.Millisecond
	// cancelRetryDelay is the delay before an unanswered cancel call is repeated.
	cancelRetryDelay = 1 * clock.Second
	// maxCancelAttempts bounds the number of cancel calls. More are not needed, because an
	// engine stops a request by itself 10 s after its reader has disconnected.
	maxCancelAttempts = 5
	// drainTime is how long an interrupted stream is still read after the cancel
	// call, so that no generated token is lost.
	drainTime = 1 * clock.Second
)

// awaitResume waits up to resumeGrace for a caller whose connection broke, and
// reports whether the caller has resumed the stream on another connection.
func (t *chatTask) awaitResume() bool {
	resumed := make(chan struct{})
	t.callerRequest.interrupts.setHandler(func(interruption) { close(resumed) })
	due, release := t.entry.options.Clock.After(resumeGrace)
	defer release()
	select {
	case <-resumed:
	case <-due:
	case <-t.entry.ctx.Done():
	}
	return t.callerRequest.interrupts.reset() == streamTakenOver
}

// cancelAtEngine cancels a request at an engine in the background and repeats
// unanswered calls while stillWanted returns true. In the end it calls onEnd with
// the engine's final position in tokens, or with zero when that is not known.
func (e *Entry) cancelAtEngine(address, id string, stillWanted func() bool, onEnd func(position int)) {
	e.tasks.Go(func() {
		position := 0
		defer func() { onEnd(position) }()
		for range maxCancelAttempts {
			if !stillWanted() {
				return
			}
			p, ok := e.cancelOnce(e.ctx, address, id)
			if position = p; ok || !e.options.Clock.Sleep(e.ctx, cancelRetryDelay) {
				return
			}
		}
		e.options.Logger.Log(event.CancelFailed, zap.String("request", id), zap.String("address", address))
	})
}

// cancelOnce sends one cancel call. It returns the engine's final position and
// whether the engine has answered.
func (e *Entry) cancelOnce(ctx context.Context, address, id string) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout.Duration())
	defer cancel()
	position, err := e.client.Cancel(ctx, address, id)
	return position, err == nil || engine.FailureKindOf(err) == engine.Refused
}

// interruptAttempt ends an attempt by calling cancel. Unless another connection has
// taken the stream over, it first cancels the request at the engine and leaves time
// to read the stream to its end, so that every generated token is kept.
func (e *Entry) interruptAttempt(ctx context.Context, cancel context.CancelFunc, reason interruption, address, id string) {
	if reason != streamTakenOver {
		e.cancelOnce(ctx, address, id)
		e.options.Clock.Sleep(ctx, drainTime)
	}
	cancel()
}
