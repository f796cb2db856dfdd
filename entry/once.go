package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
)

const (
	// retryInProgress is the Retry-After value sent while another call with the same
	// key is in progress.
	retryInProgress = 1 * clock.Second
	// endAttemptRetryDelay is the first delay before an outcome that could not be recorded is
	// sent again. It doubles up to maxEndAttemptRetryDelay. The entry goes on sending it
	// while it runs, because until then no other process may end the attempt.
	endAttemptRetryDelay    = 500 * clock.Millisecond
	maxEndAttemptRetryDelay = 8 * clock.Second
	// maxNotFoundReplies bounds how often the outcome is sent for a claim that the control
	// group does not know. With the delays in between this takes over 20 s, which is ten
	// times as long as a proposal may take to commit.
	maxNotFoundReplies = 6
)

// onceCall is the claim of one once-only call: the record in the control group,
// by idempotency key, that keeps the call from running twice.
type onceCall struct {
	entry    *Entry
	key      string // idempotency key
	callHash string // hash of the call's content, see hashCall
	attempt  claim.Attempt
	// markRequested is set before the control group is asked to mark the claim as sent,
	// because the mark may be recorded even when the answer is lost.
	markRequested     bool
	endAttemptReplies int // number of replies to requests to end the attempt
}

// newOnceCall checks the idempotency key and prepares the claim of a call.
func (e *Entry) newOnceCall(key string, s *callTask) (*onceCall, *problem) {
	if key == "" {
		return nil, invalid(outcome.ReasonKeyMissing, headerIdempotencyKey, "the call needs an idempotency key")
	}
	if _, ok := claim.KeyTime(key); !ok {
		return nil, invalid(outcome.ReasonKeyInvalid, headerIdempotencyKey, "the idempotency key is not a UUID of version 7")
	}
	return &onceCall{
		entry:    e,
		key:      string([]byte(key)),
		callHash: hashCall(s),
		attempt:  claim.Attempt{Owner: claim.Owner{Entry: e.options.Name, Incarnation: e.incarnation}, ID: control.NewAttemptID()},
	}, nil
}

// problemBeforeClaim returns the problem to report when a request is refused before
// its idempotency key was looked up. For a non-idempotent call with a key that is
// refused with status 503 the outcome becomes unknown, because an earlier call with
// the key may have run.
func problemBeforeClaim(c fiber.Ctx, p *problem) *problem {
	if idempotent(c.Method()) || c.Get(headerIdempotencyKey) == "" || p.status != fiber.StatusServiceUnavailable {
		return p
	}
	return p.asUnknown(p.reason)
}

// hashCall returns a hash of everything in which two calls with the same idempotency
// key must agree: pool, method, path with query, and body.
func hashCall(s *callTask) string {
	h := sha256.New()
	for _, part := range []string{s.callerRequest.pool, s.method, s.path} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(s.body)
	return hex.EncodeToString(h.Sum(nil))
}

// runOnce claims the key, makes the call and records its outcome.
func (s *callTask) runOnce() result {
	o := s.once
	o.entry.leases.openClaims.Add(1)
	defer o.entry.leases.openClaims.Add(-1)
	if r, ok := o.acquire(); !ok {
		return r
	}
	r := s.runQueued()
	o.endAttemptWith(r)
	return r
}

// context returns a context for one command to the control group. It does not depend
// on the caller's connection.
func (o *onceCall) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(o.entry.ctx, o.entry.options.Timeouts.Claim.Duration())
}

// acquire claims the key. It returns true when the call may be made, and otherwise
// the result for the caller. When the control group does not answer, that result is
// unknown, because an earlier call with the key may have run.
func (o *onceCall) acquire() (result, bool) {
	ctx, cancel := o.context()
	defer cancel()
	reply := o.entry.options.Control.Acquire(ctx, o.key, o.callHash, o.attempt)
	if reply.Kind == outcome.Unknown {
		// The claim may still be committed later. Unless its attempt is ended, the
		// claim would then stay open for ever.
		o.endAttemptLater(claim.NotRun, claim.Answer{})
	}
	if reply.Kind != outcome.Answered {
		return result{problem: unknown(outcome.ReasonControlUnavailable, "the key could not be claimed: "+reply.Message)}, false
	}
	if reply.Result.Owned && reply.Result.State == claim.Claimed {
		return result{}, true
	}
	return o.resultOfClaim(reply.Result), false
}

// resultOfClaim returns the result for the caller from a claim that this attempt does
// not own.
func (o *onceCall) resultOfClaim(r claim.Result) result {
	if r.Reason != outcome.ReasonNone && r.Reason != outcome.ReasonCallInProgress {
		return result{problem: o.problemFor(r.Reason)}
	}
	switch r.State {
	case claim.Answered:
		return result{answer: fromClaimAnswer(r.Answer)}
	case claim.Unknown:
		return result{problem: unknown(outcome.ReasonBackendLost, "an earlier call with this key may have run")}
	}
	p := unknown(outcome.ReasonCallInProgress, "a call with this key is in progress").withStatus(fiber.StatusTooEarly)
	p.retryAfter = retryInProgress
	return result{problem: p}
}

// problemFor describes to the caller why the control group refused the key.
func (o *onceCall) problemFor(reason outcome.Reason) *problem {
	switch reason {
	case outcome.ReasonKeyReused:
		return invalid(reason, headerIdempotencyKey, "the key was used with another call").withStatus(fiber.StatusConflict)
	case outcome.ReasonKeyExpired:
		return unknown(reason, "the key is too old").withStatus(fiber.StatusGone)
	case outcome.ReasonKeyInvalid:
		return invalid(reason, headerIdempotencyKey, "the key is invalid")
	}
	return notRun(reason, "the key could not be claimed")
}

// markSent marks the claim as sent. It runs once the server is connected, immediately
// before the first byte is written. It checks the lease last, because the lease may
// expire during the wait for the control group.
func (o *onceCall) markSent() error {
	o.markRequested = true
	ctx, cancel := o.context()
	defer cancel()
	reply := o.entry.options.Control.MarkSent(ctx, o.key, o.attempt)
	switch {
	case reply.Kind != outcome.Answered:
		return notRun(outcome.ReasonControlUnavailable, "the call could not be marked as sent: "+reply.Message)
	case !reply.Result.Owned || reply.Result.State != claim.Sent:
		// The present owner of the claim may have run the call.
		claimLost := unknown(outcome.ReasonControlUnavailable, "the claim was lost")
		return o.resultOfClaim(reply.Result).problemOr(claimLost).asUnknown(outcome.ReasonControlUnavailable)
	case !o.entry.leases.valid():
		return noLease()
	}
	return nil
}

// problemOr returns the result's problem, or p when there is none.
func (r result) problemOr(p *problem) *problem {
	if r.problem != nil {
		return r.problem
	}
	return p
}

// endAttemptWith records the result of the call in the claim. When that fails it tries
// again in the background, and the caller gets the answer nevertheless.
func (o *onceCall) endAttemptWith(r result) {
	state, answer := o.finalState(r)
	if o.endAttempt(state, answer) {
		return
	}
	o.entry.options.Logger.Log(event.EndAttemptFailed, zap.String("key", o.key), zap.String("state", string(state)))
	o.endAttemptLater(state, answer)
}

// endAttemptLater repeats endAttempt in the background until it succeeds or the entry ends.
func (o *onceCall) endAttemptLater(state claim.State, answer claim.Answer) {
	o.entry.leases.openClaims.Add(1)
	o.entry.tasks.Go(func() {
		defer o.entry.leases.openClaims.Add(-1)
		delay := endAttemptRetryDelay
		for o.entry.options.Clock.Sleep(o.entry.ctx, delay) && !o.endAttempt(state, answer) {
			delay = min(2*delay, maxEndAttemptRetryDelay)
		}
	})
}

// finalState returns the state in which the attempt ends and, if that state is
// claim.Answered, the answer to record.
func (o *onceCall) finalState(r result) (claim.State, claim.Answer) {
	switch {
	case r.problem == nil:
		return claim.Answered, toClaimAnswer(r.answer)
	case r.problem.outcome == outcome.NotRun:
		return claim.NotRun, claim.Answer{}
	}
	return claim.Unknown, claim.Answer{}
}

// endAttempt asks the control group to record the outcome. It returns true when the
// outcome is recorded or cannot be recorded by repeating the request. An answer that is too
// large is recorded as unknown.
func (o *onceCall) endAttempt(state claim.State, answer claim.Answer) bool {
	ctx, cancel := o.context()
	defer cancel()
	reply := o.entry.options.Control.EndAttempt(ctx, o.key, o.attempt, state, answer)
	if reply.Result.Reason == outcome.ReasonTooLarge {
		reply = o.entry.options.Control.EndAttempt(ctx, o.key, o.attempt, claim.Unknown, claim.Answer{})
	}
	return reply.Kind == outcome.Answered && !o.mayCommitLater(reply.Result.Reason)
}

// mayCommitLater reports whether the control group does not know the claim yet but
// may still commit it.
func (o *onceCall) mayCommitLater(reason outcome.Reason) bool {
	o.endAttemptReplies++
	return reason == outcome.ReasonRequestNotFound && o.endAttemptReplies < maxNotFoundReplies
}

// toClaimAnswer converts a server's answer to its recorded form.
func toClaimAnswer(a engine.Answer) claim.Answer {
	headers := map[string][]string{}
	for _, h := range a.Headers {
		headers[h.Name] = append(headers[h.Name], h.Value)
	}
	return claim.Answer{Status: a.Status, Headers: headers, Body: a.Body}
}

// fromClaimAnswer converts a recorded answer back to a server's answer.
func fromClaimAnswer(a claim.Answer) engine.Answer {
	answer := engine.Answer{Status: a.Status, Body: a.Body}
	for name, values := range a.Headers {
		for _, v := range values {
			answer.Headers = append(answer.Headers, engine.Header{Name: name, Value: v})
		}
	}
	return answer
}

// newClaimLookup checks an idempotency key and returns an onceCall with which the key's
// claim can be looked up but not acquired.
func (e *Entry) newClaimLookup(key string) (*onceCall, *problem) {
	if _, ok := claim.KeyTime(key); !ok {
		return nil, invalid(outcome.ReasonKeyInvalid, "key", "the key is not a UUID of version 7")
	}
	return &onceCall{entry: e, key: key}, nil
}
