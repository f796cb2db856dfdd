package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
)

const (
	// cancelTimeout bounds one cancel call. With the check of the caller's
	// connection each second, work is cancelled within 2 s after the caller went.
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

// cancelAt cancels a request at an engine in the background, as long as wanted
// reports true.
func (e *Entry) cancelAt(address, id string, wanted func() bool) {
	e.tasks.Go(func() {
		for range cancelTries {
			if !wanted() || e.cancelOnce(e.ctx, address, id) || !e.options.Clock.Sleep(e.ctx, cancelPause) {
				return
			}
		}
		e.options.Logger.Log(event.CancelFailed, zap.String("request", id), zap.String("address", address))
	})
}

// cancelOnce reports whether the engine has answered.
func (e *Entry) cancelOnce(ctx context.Context, address, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout.Duration())
	defer cancel()
	_, err := e.client.Cancel(ctx, address, id)
	return err == nil || engine.KindOf(err) == engine.Refused
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
