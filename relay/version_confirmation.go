package relay

import (
	"context"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/event"
)

const (
	// maxPendingTime is the age of a stream up to which heartbeats that are late or not known to a new leader may
	// still confirm at which version it has begun.
	maxPendingTime = 10 * clock.Second
	// heartbeatRetryAfter is the Retry-After time while heartbeats are awaited: about one interval.
	heartbeatRetryAfter = 1 * clock.Second
)

var (
	errVersionUnconfirmed = errors.New("it is not certain which version of the server began the stream")
	errVersionPending     = errors.New("the leader has not heard yet which version of the server began the stream")
	errControlUnavailable = errors.New("control cannot be asked for the versions of the servers")
	errVersionChanged     = errors.New("the server is no longer of the version that began the stream")
	errServerPending      = errors.New("the leader has not heard yet that the server is of the version that began the stream")
)

// confirmVersion is called before events of an attempt continue a stream. It returns an error unless
// control confirms that the server that continues it, and the one that began it, answered at the version
// that the relay takes them for. Either may have been started again under its name: a relay that is cut
// off or was frozen has not heard of it, and the heartbeats of the new run may be late.
func (x *exchange) confirmVersion(a *attempt) error {
	if !x.continues || a.versionConfirmed {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(maxConfirmationWait, x.deadline-x.relay.clock.Now()).Duration())
	defer cancel()
	server := a.forwardedTo
	answer, err := x.relay.origins.Heartbeats(ctx, lo.Uniq(lo.Compact([]string{server, x.begun.Server})))
	switch {
	case err != nil:
		return errors.Wrap(errControlUnavailable, err.Error())
	case !x.isBeginConfirmed(ctx, answer):
		return x.unconfirmedBegin(answer)
	case a.versionUncertain.Load():
		return errVersionChanged
	}
	newest, known := answer.ByServer[server]
	switch {
	case known && newest.Version != x.origin.Version:
		return errVersionChanged
	case !newest.Confirms(x.origin.Version, a.firstByteAt, answer.AskedAt):
		x.pendingFor = heartbeatRetryAfter
		return errServerPending
	}
	a.versionConfirmed = true
	return nil
}

// unconfirmedBegin returns the error of a stream of which it is not certain at which version it has begun. It may
// become certain if the leader has not heard from the server lately: it was elected a moment ago, or
// heartbeats are late.
func (x *exchange) unconfirmedBegin(answer continuation.Heartbeats) error {
	newest, known := answer.ByServer[x.begun.Server]
	x.pendingFor = heartbeatRetryAfter
	switch {
	case !known && answer.CompleteIn > 0:
		x.pendingFor = answer.CompleteIn
	case known && newest.Version != x.origin.Version, answer.AskedAt-x.begunAt >= maxPendingTime:
		return errVersionUnconfirmed
	}
	return errVersionPending
}

// isBeginConfirmed reports whether it is certain at which version the stream has begun, by the newest
// heartbeats and by what was confirmed when it began.
func (x *exchange) isBeginConfirmed(ctx context.Context, answer continuation.Heartbeats) bool {
	if x.begun.Server == "" {
		return true
	}
	if x.begun.Confirms(x.begunAt, answer) {
		return true
	}
	// The record may have been confirmed or contradicted since it was read or added.
	recorded, knowledge := x.relay.origins.Lookup(ctx, x.begun.Stream)
	confirmed := knowledge == continuation.Recorded && recorded.Origin == *x.origin && recorded.Confirms(x.begunAt, answer)
	if !confirmed {
		newest, known := answer.ByServer[x.begun.Server]
		x.relay.options.Logger.Log(event.StreamUnconfirmed, zap.String("request", x.requestInfo.ID), zap.String("stream", x.begun.Stream),
			zap.String("server", x.begun.Server), zap.String("version", x.origin.Version), zap.Int64("begun_ms", int64(answer.AskedAt-x.begunAt)),
			zap.Bool("recorded", knowledge == continuation.Recorded), zap.Bool("confirmed", recorded.Confirmed),
			zap.Bool("known", known), zap.Int64("complete_in_ms", int64(answer.CompleteIn)), zap.String("newest_version", newest.Version),
			zap.Int64("newest_age_ms", int64(newest.Age)), zap.Int64("newest_run_ms", int64(newest.RunAge)))
	}
	return confirmed
}

// refusePending returns the refusal of a stream that may go on once heartbeats have arrived.
func (x *exchange) refusePending() refusal {
	r := x.refuseStream("stream_version_unknown", *x.origin)
	r.retryAfter = withPauseJitter(x.pendingFor)
	return *r
}

// refuseChangedVersion returns the refusal of a stream whose latest server turned out to be of another version, of
// which this relay has not heard yet. The stream may go on at servers of its version that were not tried.
func (x *exchange) refuseChangedVersion() refusal {
	if x.relay.fleet.hasOrigin(x.relay.clock.Now(), *x.origin, x.requirements.excluded) {
		return x.noServer()
	}
	return *x.refuseStream("stream_version_gone", *x.origin)
}
