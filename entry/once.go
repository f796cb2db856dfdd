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
	// retryInProgress is the retry time of a call whose key is in progress.
	retryInProgress = 1 * clock.Second
	// settlePause is the first wait before an unrecorded outcome is sent again.
	// It doubles up to maxSettlePause. The tries go on while the entry lives: as
	// long as it does, nobody else may settle the claim.
	settlePause    = 500 * clock.Millisecond
	maxSettlePause = 8 * clock.Second
	// maxNotFound bounds the tries to settle a claim that the group does not
	// know. With the pauses they take over 20 s, ten times as long as a proposal.
	maxNotFound = 6
)

// onceCall is the claim of one at-most-once call.
type onceCall struct {
	entry   *Entry
	key     string
	hash    string
	attempt claim.Attempt
	// marked is set before the claim is marked as sent, because the mark may be
	// in force even when its answer is lost.
	marked bool
	tries  int
}

func (e *Entry) newOnce(key string, s *call) (*onceCall, *problem) {
	if key == "" {
		return nil, invalid(outcome.ReasonKeyMissing, headerKey, "the call needs an idempotency key")
	}
	if _, ok := claim.KeyTime(key); !ok {
		return nil, invalid(outcome.ReasonKeyInvalid, headerKey, "the idempotency key is not a UUID of version 7")
	}
	return &onceCall{
		entry:   e,
		key:     string([]byte(key)),
		hash:    hashCall(s),
		attempt: claim.Attempt{Owner: claim.Owner{Entry: e.options.Name, Incarnation: e.incarnation}, ID: control.NewAttemptID()},
	}, nil
}

// beforeClaim returns the refusal of a call whose key was not looked up. An earlier
// attempt with the key may have run, unless the call itself is invalid.
func beforeClaim(c fiber.Ctx, p *problem) *problem {
	if idempotent(c.Method()) || c.Get(headerKey) == "" || p.status != fiber.StatusServiceUnavailable {
		return p
	}
	return p.asUnknown(p.reason)
}

// hashCall covers all that makes two calls the same.
func hashCall(s *call) string {
	h := sha256.New()
	for _, part := range []string{s.work.pool, s.method, s.path} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(s.body)
	return hex.EncodeToString(h.Sum(nil))
}

// runOnce claims the key, makes the call and records how it ended.
func (s *call) runOnce() result {
	o := s.once
	o.entry.leases.claims.Add(1)
	defer o.entry.leases.claims.Add(-1)
	if r, ok := o.acquire(); !ok {
		return r
	}
	r := s.compete()
	o.record(r)
	return r
}

func (o *onceCall) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(o.entry.ctx, o.entry.options.Timeouts.Claim.Duration())
}

// acquire claims the key. It returns the caller's answer when the call must not
// be made. Without an answer from control, an earlier attempt may have run.
func (o *onceCall) acquire() (result, bool) {
	ctx, cancel := o.context()
	defer cancel()
	reply := o.entry.options.Control.Acquire(ctx, o.key, o.hash, o.attempt)
	if reply.Kind == outcome.Unknown {
		// The claim may still commit, and would then stay without an end.
		o.settleLater(claim.NotRun, claim.Answer{})
	}
	if reply.Kind != outcome.Answered {
		return result{problem: unknown(outcome.ReasonControlUnavailable, "the key could not be claimed: "+reply.Message)}, false
	}
	if reply.Result.Owned && reply.Result.State == claim.Claimed {
		return result{}, true
	}
	return o.former(reply.Result), false
}

// former answers from the state of a claim that this attempt does not own.
func (o *onceCall) former(r claim.Result) result {
	if r.Reason != outcome.ReasonNone && r.Reason != outcome.ReasonCallInProgress {
		return result{problem: o.refusal(r.Reason)}
	}
	switch r.State {
	case claim.Answered:
		return result{answer: recorded(r.Answer)}
	case claim.Unknown:
		return result{problem: unknown(outcome.ReasonBackendLost, "an earlier call with this key may have run")}
	}
	p := unknown(outcome.ReasonCallInProgress, "a call with this key is in progress").withStatus(fiber.StatusTooEarly)
	p.retryAfter = retryInProgress
	return result{problem: p}
}

func (o *onceCall) refusal(reason outcome.Reason) *problem {
	switch reason {
	case outcome.ReasonKeyReused:
		return invalid(reason, headerKey, "the key was used with another call").withStatus(fiber.StatusConflict)
	case outcome.ReasonKeyExpired:
		return unknown(reason, "the key is too old").withStatus(fiber.StatusGone)
	case outcome.ReasonKeyInvalid:
		return invalid(reason, headerKey, "the key is invalid")
	}
	return notRun(reason, "the key could not be claimed")
}

// markSent runs once connected, directly before the first byte. The lease is
// checked after the last wait.
func (o *onceCall) markSent() error {
	o.marked = true
	ctx, cancel := o.context()
	defer cancel()
	reply := o.entry.options.Control.MarkSent(ctx, o.key, o.attempt)
	switch {
	case reply.Kind != outcome.Answered:
		return notRun(outcome.ReasonControlUnavailable, "the call could not be marked as sent: "+reply.Message)
	case !reply.Result.Owned || reply.Result.State != claim.Sent:
		// Whoever took the claim over may have run the call.
		lost := unknown(outcome.ReasonControlUnavailable, "the claim was lost")
		return o.former(reply.Result).problemOr(lost).asUnknown(outcome.ReasonControlUnavailable)
	case !o.entry.leases.valid():
		return noLease()
	}
	return nil
}

func (r result) problemOr(p *problem) *problem {
	if r.problem != nil {
		return r.problem
	}
	return p
}

// record settles the claim. The answer goes to the caller even when it could
// not be recorded; the record is then tried again in the background.
func (o *onceCall) record(r result) {
	state, answer := o.end(r)
	if o.settle(state, answer) {
		return
	}
	o.entry.options.Logger.Log(event.SettleFailed, zap.String("key", o.key), zap.String("state", string(state)))
	o.settleLater(state, answer)
}

func (o *onceCall) settleLater(state claim.State, answer claim.Answer) {
	o.entry.leases.claims.Add(1)
	o.entry.tasks.Go(func() {
		defer o.entry.leases.claims.Add(-1)
		pause := settlePause
		for o.entry.options.Clock.Sleep(o.entry.ctx, pause) && !o.settle(state, answer) {
			pause = min(2*pause, maxSettlePause)
		}
	})
}

func (o *onceCall) end(r result) (claim.State, claim.Answer) {
	switch {
	case r.problem == nil:
		return claim.Answered, recording(r.answer)
	case r.problem.outcome == outcome.NotRun:
		return claim.NotRun, claim.Answer{}
	}
	return claim.Unknown, claim.Answer{}
}

// settle reports whether the outcome is recorded, or cannot be by any try.
func (o *onceCall) settle(state claim.State, answer claim.Answer) bool {
	ctx, cancel := o.context()
	defer cancel()
	reply := o.entry.options.Control.Settle(ctx, o.key, o.attempt, state, answer)
	if reply.Result.Reason == outcome.ReasonTooLarge {
		reply = o.entry.options.Control.Settle(ctx, o.key, o.attempt, claim.Unknown, claim.Answer{})
	}
	return reply.Kind == outcome.Answered && !o.mayCommitLater(reply.Result.Reason)
}

// mayCommitLater reports whether the claim itself may still be under way.
func (o *onceCall) mayCommitLater(reason outcome.Reason) bool {
	o.tries++
	return reason == outcome.ReasonRequestNotFound && o.tries < maxNotFound
}

func recording(a engine.Answer) claim.Answer {
	headers := map[string][]string{}
	for _, h := range a.Headers {
		headers[h.Name] = append(headers[h.Name], h.Value)
	}
	return claim.Answer{Status: a.Status, Headers: headers, Body: a.Body}
}

func recorded(a claim.Answer) engine.Answer {
	answer := engine.Answer{Status: a.Status, Body: a.Body}
	for name, values := range a.Headers {
		for _, v := range values {
			answer.Headers = append(answer.Headers, engine.Header{Name: name, Value: v})
		}
	}
	return answer
}

// newOnceLookup checks a key that is only looked up.
func (e *Entry) newOnceLookup(key string) (*onceCall, *problem) {
	if _, ok := claim.KeyTime(key); !ok {
		return nil, invalid(outcome.ReasonKeyInvalid, "key", "the key is not a UUID of version 7")
	}
	return &onceCall{entry: e, key: key}, nil
}
