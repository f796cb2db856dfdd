package entry

import (
	"context"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/retry"
	"github.com/galenaslip/galenaslip/routing"
)

const servicesPrefix = "/v1/services/"

// callTask runs one call to a plain service in a goroutine.
type callTask struct {
	entry         *Entry
	callerRequest *callerRequest
	method        string
	path          string
	headers       []engine.Header
	body          []byte
	observer      *endObserver
	once          *onceCall // nil for an idempotent call
	ctx           context.Context
	cancel        context.CancelFunc
	results       chan result
	attempts      int // attempts begun
	requestStats  requestStats
	mayHaveRun    bool // a server may have run the call
}

// result is the result of a call: an answer, or a problem.
type result struct {
	answer  engine.Answer
	problem *problem
}

// idempotent reports whether a call with the HTTP method may run more than once.
func idempotent(method string) bool {
	switch method {
	case fiber.MethodGet, fiber.MethodHead, fiber.MethodPut, fiber.MethodOptions:
		return true
	}
	return false
}

// serviceCall serves ANY /v1/services/{service}/*.
func (e *Entry) serviceCall(c fiber.Ctx) error {
	h, p := e.readHeader(c)
	if p != nil {
		return e.reject(c, problemBeforeClaim(c, p))
	}
	s, p := e.newCallTask(c, h)
	if p != nil {
		return e.reject(c, p)
	}
	e.budget.addRequest()
	e.tasks.Go(s.run)
	return e.answerCall(c, s)
}

// newCallTask validates a call and copies what it needs from the request, whose memory the
// HTTP server reuses. A non-idempotent call gets an onceCall.
func (e *Entry) newCallTask(c fiber.Ctx, h requestAttributes) (*callTask, *problem) {
	service, path, p := splitService(c.OriginalURL())
	if p != nil {
		return nil, p
	}
	r := newCallerRequest(h.id, h.workspace, backend.ServicePool(service), h.class, e.options.Clock.Now())
	r.refuseIfLate = h.refuseIfLate
	ctx, cancel := context.WithCancel(e.ctx)
	s := &callTask{
		entry:         e,
		callerRequest: r,
		method:        string([]byte(c.Method())),
		path:          path,
		headers:       callHeaders(c, h.id),
		body:          append([]byte(nil), c.BodyRaw()...),
		ctx:           ctx,
		cancel:        cancel,
		results:       make(chan result, 1),
	}
	s.observer = newEndObserver(e, r, s.method, s.path, s.body)
	if idempotent(s.method) {
		return s, nil
	}
	r.onceOnly = true
	s.once, p = e.newOnceCall(c.Get(headerIdempotencyKey), s)
	return s, p
}

// splitService splits the raw URL into the service's name and the rest, which the
// server gets unchanged as its path.
func splitService(url string) (service, path string, p *problem) {
	rest := strings.TrimPrefix(string([]byte(url)), servicesPrefix)
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	service, path = rest[:end], rest[end:]
	if !class.ValidName(service) {
		return "", "", invalid(outcome.ReasonInvalidRequest, "service", "invalid service name")
	}
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return service, path, nil
}

// callHeaders copies the caller's headers for the server, without hop-by-hop headers
// and those that only this router uses. It adds the request identifier.
func callHeaders(c fiber.Ctx, id string) []engine.Header {
	headers := []engine.Header{{Name: headerRequestID, Value: id}}
	for name, value := range c.Request().Header.All() {
		n := string(name)
		if engine.IsHopByHopHeader(n) || n == fiber.HeaderHost || n == headerRequestID || strings.HasPrefix(n, "X-Galenaslip-") {
			continue
		}
		headers = append(headers, engine.Header{Name: n, Value: string(value)})
	}
	return headers
}

// answerCall waits for the call's result and sends it. When the caller disconnects it
// cancels the call; a non-idempotent call that was sent is completed nevertheless, so
// that its answer is recorded.
func (e *Entry) answerCall(c fiber.Ctx, s *callTask) error {
	conn := c.RequestCtx().Conn()
	for {
		due, release := e.options.Clock.After(callerCheckInterval)
		select {
		case r := <-s.results:
			release()
			return writeResult(c, r)
		case <-due:
			if callerGone(conn) {
				s.cancel()
				<-s.results
				return conn.Close()
			}
		case <-e.ctx.Done():
			release()
			return conn.Close()
		}
	}
}

// writeResult sends the result of a call to the caller.
func writeResult(c fiber.Ctx, r result) error {
	if r.problem != nil {
		return r.problem.write(c)
	}
	c.Status(r.answer.Status)
	for _, h := range r.answer.Headers {
		if h.Name != headerRequestID {
			c.Response().Header.Add(h.Name, h.Value)
		}
	}
	return c.Send(r.answer.Body)
}

// run makes the call, with a claim if it is not idempotent, and calls finish with its
// result.
func (s *callTask) run() {
	defer s.cancel()
	if s.once == nil {
		s.finish(s.runQueued())
		return
	}
	s.finish(s.runOnce())
}

// finish passes the result to the HTTP handler and records the outcome.
func (s *callTask) finish(r result) {
	s.results <- r
	kind, reason := outcome.Answered, outcome.ReasonNone
	if r.problem != nil {
		kind, reason = r.problem.outcome, r.problem.reason
	}
	s.entry.recordOutcome(s.callerRequest, &s.requestStats, kind, reason)
}

// runQueued queues the call and tries servers until one answers or no further attempt
// is allowed.
func (s *callTask) runQueued() result {
	if p := s.entry.submit(s.callerRequest); p != nil {
		return result{problem: p}
	}
	for {
		select {
		case a := <-s.callerRequest.assigned:
			if a.rejection != nil {
				return result{problem: s.unknownIfSent(a.rejection)}
			}
			if p := s.observer.judge(); p != nil {
				s.finishRequest(routing.Cancelled)
				return result{problem: p}
			}
			r, retrying := s.tryServer(a)
			if !retrying {
				return r
			}
		case <-s.ctx.Done():
			s.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.withdraw(now, s.callerRequest) })
			return result{problem: s.unknownIfSent(notRun(outcome.ReasonCallerGone, "the caller has gone"))}
		}
	}
}

// unknownIfSent changes the outcome not_run to unknown when an earlier attempt may
// have run the call.
func (s *callTask) unknownIfSent(p *problem) *problem {
	if s.mayHaveRun {
		return p.asUnknown(outcome.ReasonBackendLost)
	}
	return p
}

// tryServer makes the call at the assigned server. It returns true when it has queued
// the call for another attempt.
func (s *callTask) tryServer(a assignment) (result, bool) {
	s.attempts++
	s.requestStats.recordDispatch(a.assignedAt)
	s.observer.beginAttempt(a)
	answer, err := s.send(a)
	if err == nil {
		if answer.Status < fiber.StatusInternalServerError {
			s.observer.recordSurvival()
		}
		s.finishRequest(routing.Completed)
		return result{answer: answer}, false
	}
	p := s.problemFor(err)
	// A timeout says nothing about the server: the call itself may be slow.
	if p.status != fiber.StatusGatewayTimeout && connectionFailed(s.ctx, err) {
		s.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.markUnreachable(now, a.server) })
	}
	s.recordFailure(err, p)
	if delay, granted := s.mayRetry(err); granted {
		s.entry.options.Clock.Sleep(s.ctx, delay)
		s.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.requeue(now, s.callerRequest, routing.Failed) })
		return result{}, true
	}
	s.finishRequest(routing.Failed)
	return result{problem: p}, false
}

// recordFailure records a failed attempt for the quarantine. After a timeout, or when the caller has
// left, it is not the server that has closed the connection.
func (s *callTask) recordFailure(err error, p *problem) {
	s.observer.recordFailure(err)
	if p.status == fiber.StatusGatewayTimeout || s.callContext().Err() != nil {
		s.observer.recordAbandoned()
		return
	}
	s.observer.recordServerEnd()
}

func (s *callTask) finishRequest(r routing.Result) {
	s.entry.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.finishRequest(now, s.callerRequest, r) })
}

// send sends the call to the assigned server and returns the answer.
func (s *callTask) send(a assignment) (engine.Answer, error) {
	ctx, cancel := context.WithTimeout(s.callContext(), s.entry.options.Timeouts.Call.Duration())
	defer cancel()
	answer, err := s.entry.client.Call(ctx, engine.Request{
		Method:        s.method,
		Address:       a.address,
		Path:          s.path,
		Headers:       s.headers,
		Body:          s.body,
		NewConnection: s.once != nil || s.attempts > 1,
		ReadTimeout:   s.entry.options.Timeouts.Call,
		Hooks:         engine.Hooks{BeforeWrite: s.beforeWrite, OnWithdrawal: s.observer.recordHead(s.entry.onWithdrawal(a))},
	})
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return answer, errors.WithMessage(err, "the call's time is over")
	}
	return answer, err
}

// callContext returns the context for sending the call. For a once-only call it
// does not end with the caller's connection, so that the answer is recorded.
func (s *callTask) callContext() context.Context {
	if s.once != nil {
		return s.entry.ctx
	}
	return s.ctx
}

// beforeWrite runs immediately before the first byte of the call is written. An error
// prevents the write.
func (s *callTask) beforeWrite() error {
	if s.once != nil {
		return s.once.markSent()
	}
	if !s.entry.leases.valid() && !s.mayHaveRun {
		return errNoLease
	}
	return nil
}

// problemFor converts the error of an attempt to the problem for the caller.
func (s *callTask) problemFor(err error) *problem {
	var f *engine.Failure
	var p *problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, errNoLease):
		return s.unknownIfSent(noLease())
	case errors.As(err, &f) && f.ProvablyNotRun():
		return s.unknownIfSent(notRun(outcome.ReasonBackendRefused, f.Error()))
	case s.ctx.Err() != nil && s.once == nil:
		return unknown(outcome.ReasonCallerGone, "the caller has gone")
	case errors.As(err, &f) && f.Kind == engine.TimedOut || strings.HasPrefix(err.Error(), "the call's time"):
		s.mayHaveRun = true
		return timedOut(err.Error())
	}
	s.mayHaveRun = true
	return unknown(outcome.ReasonBackendLost, err.Error())
}

// mayRetry returns the delay before the next attempt, and whether one is allowed. A call
// of which no byte was sent is tried again, unless its claim may be marked as sent
// already. Any other call must be idempotent, within the retry budget and not suspect of ending
// servers.
func (s *callTask) mayRetry(err error) (clock.Millis, bool) {
	var f *engine.Failure
	if s.attempts >= maxAttempts || s.ctx.Err() != nil || !errors.As(err, &f) || errors.Is(err, errNoLease) {
		return 0, false
	}
	if f.Kind == engine.NotSent {
		return backoff(s.attempts), s.once == nil || !s.once.markRequested
	}
	if !f.ProvablyNotRun() && !s.observer.mayRepeat() {
		return 0, false
	}
	return s.entry.budget.allowRetry(retry.FailedRequest{Attempts: s.attempts, OnceOnly: s.once != nil})
}
