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

// call is the goroutine of one call to a plain service.
type call struct {
	entry    *Entry
	work     *work
	method   string
	path     string
	headers  []engine.Header
	body     []byte
	once     *onceCall // nil for an idempotent call
	ctx      context.Context
	cancel   context.CancelFunc
	out      chan result
	attempts int
	ledger   ledger
	sent     bool
}

// result is the end of a call.
type result struct {
	answer  engine.Answer
	problem *problem
}

// idempotent reports whether a method may run more than once.
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
		return e.reject(c, beforeClaim(c, p))
	}
	s, p := e.newCall(c, h)
	if p != nil {
		return e.reject(c, p)
	}
	e.budget.add()
	e.tasks.Go(s.run)
	return e.answerCall(c, s)
}

func (e *Entry) newCall(c fiber.Ctx, h header) (*call, *problem) {
	service, path, p := splitService(c.OriginalURL())
	if p != nil {
		return nil, p
	}
	w := newWork(h.id, h.workspace, backend.ServicePool(service), h.class, e.options.Clock.Now())
	w.refuseIfLate = h.refuseIfLate
	ctx, cancel := context.WithCancel(e.ctx)
	s := &call{
		entry:   e,
		work:    w,
		method:  string([]byte(c.Method())),
		path:    path,
		headers: callHeaders(c, h.id),
		body:    append([]byte(nil), c.BodyRaw()...),
		ctx:     ctx,
		cancel:  cancel,
		out:     make(chan result, 1),
	}
	if idempotent(s.method) {
		return s, nil
	}
	w.onceOnly = true
	s.once, p = e.newOnce(c.Get(headerKey), s)
	return s, p
}

// splitService takes the service's name off the raw URL. The rest goes to the
// server unchanged.
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

// callHeaders copies the caller's headers without those of the connection and
// of this router.
func callHeaders(c fiber.Ctx, id string) []engine.Header {
	headers := []engine.Header{{Name: headerRequestID, Value: id}}
	for name, value := range c.Request().Header.All() {
		n := string(name)
		if engine.HopHeader(n) || n == fiber.HeaderHost || n == headerRequestID || strings.HasPrefix(n, "X-Galenaslip-") {
			continue
		}
		headers = append(headers, engine.Header{Name: n, Value: string(value)})
	}
	return headers
}

// answerCall waits for the call. It cancels an idempotent call, or one that was
// not sent, when the caller has gone.
func (e *Entry) answerCall(c fiber.Ctx, s *call) error {
	conn := c.RequestCtx().Conn()
	for {
		due, release := e.options.Clock.After(callerCheck)
		select {
		case r := <-s.out:
			release()
			return writeResult(c, r)
		case <-due:
			if callerGone(conn) {
				s.cancel()
				<-s.out
				return conn.Close()
			}
		case <-e.ctx.Done():
			release()
			return conn.Close()
		}
	}
}

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

func (s *call) run() {
	defer s.cancel()
	if s.once == nil {
		s.end(s.compete())
		return
	}
	s.end(s.runOnce())
}

func (s *call) end(r result) {
	s.out <- r
	kind, reason := outcome.Answered, outcome.ReasonNone
	if r.problem != nil {
		kind, reason = r.problem.outcome, r.problem.reason
	}
	s.entry.account(s.work, &s.ledger, kind, reason)
}

// compete queues the call and tries servers until one answers.
func (s *call) compete() result {
	if p := s.entry.submit(s.work); p != nil {
		return result{problem: p}
	}
	for {
		select {
		case a := <-s.work.assigned:
			if a.refused != nil {
				return result{problem: s.honest(a.refused)}
			}
			r, again := s.attempt(a)
			if !again {
				return r
			}
		case <-s.ctx.Done():
			s.entry.tell(func(d *dispatcher, now clock.Millis) { d.withdraw(now, s.work) })
			return result{problem: s.honest(notRun(outcome.ReasonCallerGone, "the caller has gone"))}
		}
	}
}

// honest turns not run into unknown when an earlier try may have run.
func (s *call) honest(p *problem) *problem {
	if s.sent {
		return p.asUnknown(outcome.ReasonBackendLost)
	}
	return p
}

// attempt makes the call at one server. It reports true when the call is queued
// again.
func (s *call) attempt(a assignment) (result, bool) {
	s.attempts++
	s.ledger.sent(a.at)
	answer, err := s.send(a)
	if err == nil {
		s.finished(routing.Completed)
		return result{answer: answer}, false
	}
	p := s.describe(err)
	// A call that took too long may be slow by itself.
	if p.status != fiber.StatusGatewayTimeout && connectionFailed(s.ctx, err) {
		s.entry.tell(func(d *dispatcher, now clock.Millis) { d.avoid(now, a.server) })
	}
	if pause, granted := s.mayRetry(err); granted {
		s.entry.options.Clock.Sleep(s.ctx, pause)
		s.entry.tell(func(d *dispatcher, now clock.Millis) { d.again(now, s.work, routing.Failed) })
		return result{}, true
	}
	s.finished(routing.Failed)
	return result{problem: p}, false
}

func (s *call) finished(r routing.Result) {
	s.entry.tell(func(d *dispatcher, now clock.Millis) { d.finished(now, s.work, r) })
}

func (s *call) send(a assignment) (engine.Answer, error) {
	ctx, cancel := context.WithTimeout(s.callContext(), s.entry.options.Timeouts.Call.Duration())
	defer cancel()
	answer, err := s.entry.client.Call(ctx, engine.Request{
		Method:      s.method,
		Address:     a.address,
		Path:        s.path,
		Headers:     s.headers,
		Body:        s.body,
		Fresh:       s.once != nil || s.attempts > 1,
		Silence:     s.entry.options.Timeouts.Call,
		BeforeWrite: s.beforeWrite,
	})
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return answer, errors.WithMessage(err, "the call's time is over")
	}
	return answer, err
}

// callContext lets an at-most-once call that was sent finish without its caller,
// so that its answer is recorded.
func (s *call) callContext() context.Context {
	if s.once != nil {
		return s.entry.ctx
	}
	return s.ctx
}

func (s *call) beforeWrite() error {
	if s.once != nil {
		return s.once.markSent()
	}
	if !s.entry.leases.valid() && !s.sent {
		return errNoLease
	}
	return nil
}

// describe turns a failure into what the caller is told.
func (s *call) describe(err error) *problem {
	var f *engine.Failure
	var p *problem
	switch {
	case errors.As(err, &p):
		return p
	case errors.Is(err, errNoLease):
		return s.honest(noLease())
	case errors.As(err, &f) && f.ProvablyNotRun():
		return s.honest(notRun(outcome.ReasonBackendRefused, f.Error()))
	case s.ctx.Err() != nil && s.once == nil:
		return unknown(outcome.ReasonCallerGone, "the caller has gone")
	case errors.As(err, &f) && f.Kind == engine.Silent || strings.HasPrefix(err.Error(), "the call's time"):
		s.sent = true
		return timedOut(err.Error())
	}
	s.sent = true
	return unknown(outcome.ReasonBackendLost, err.Error())
}

// mayRetry allows another server for a call that has provably not run, and for
// an idempotent one within the retry budget.
func (s *call) mayRetry(err error) (clock.Millis, bool) {
	var f *engine.Failure
	if s.attempts >= maxAttempts || s.ctx.Err() != nil || !errors.As(err, &f) || errors.Is(err, errNoLease) {
		return 0, false
	}
	if f.Kind == engine.NotSent {
		return backoff(s.attempts), s.once == nil || !s.once.marked
	}
	return s.entry.budget.take(retry.Work{Attempts: s.attempts, OnceOnly: s.once != nil})
}
