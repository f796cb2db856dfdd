package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
)

const (
	// resumeGrace is the time between the loss of a caller's connection and the
	// cancel of its stream, in which the caller can resume. With the check of the
	// connection each second, work is cancelled within 2 s after the caller went.
	resumeGrace = 700 * clock.Millisecond
	// cancelTimeout bounds one cancel call.
	cancelTimeout = 500 * clock.Millisecond
	// cancelPause is the wait before an unanswered cancel is sent again.
	cancelPause = 1 * clock.Second
	// cancelTries bounds the repetitions. The engine stops by itself 10 s after
	// its reader has gone.
	cancelTries = 5
	// drainTime is how long an interrupted stream is read on after the cancel
	// call, so that no generated token is lost.
	drainTime = 1 * clock.Second
)

// awaitResume gives a caller whose connection broke the time to resume, and
// reports whether another connection has taken the stream over.
func (r *relay) awaitResume() bool {
	taken := make(chan struct{})
	r.work.stop.arm(func(interruption) { close(taken) })
	due, release := r.entry.options.Clock.After(resumeGrace)
	defer release()
	select {
	case <-taken:
	case <-due:
	case <-r.entry.ctx.Done():
	}
	return r.work.stop.disarm() == detached
}

// cancelAt cancels a request at an engine in the background, as long as wanted
// reports true. In the end it calls ended with the engine's final position, or
// zero when that is not known.
func (e *Entry) cancelAt(address, id string, wanted func() bool, ended func(position int)) {
	e.tasks.Go(func() {
		position := 0
		defer func() { ended(position) }()
		for range cancelTries {
			if !wanted() {
				return
			}
			p, ok := e.cancelOnce(e.ctx, address, id)
			if position = p; ok || !e.options.Clock.Sleep(e.ctx, cancelPause) {
				return
			}
		}
		e.options.Logger.Log(event.CancelFailed, zap.String("request", id), zap.String("address", address))
	})
}

// cancelOnce returns the engine's final position and whether it has answered.
func (e *Entry) cancelOnce(ctx context.Context, address, id string) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout.Duration())
	defer cancel()
	position, err := e.client.Cancel(ctx, address, id)
	return position, err == nil || engine.KindOf(err) == engine.Refused
}

// interrupt ends an attempt. The engine is asked to cancel first and the stream
// is read to its end, so that every generated token is kept.
func (e *Entry) interrupt(ctx context.Context, cancel context.CancelFunc, reason interruption, address, id string) {
	if reason != detached {
		e.cancelOnce(ctx, address, id)
		e.options.Clock.Sleep(ctx, drainTime)
	}
	cancel()
}
