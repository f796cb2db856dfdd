package entry

import (
	"net"

	"github.com/gofiber/fiber/v3"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/outcome"
)

// chatCompletions serves POST /v1/chat/completions.
func (e *Entry) chatCompletions(c fiber.Ctx) error {
	h, p := e.readHeader(c)
	if p != nil {
		return e.reject(c, p)
	}
	request, p := parseChat(c.BodyRaw())
	if p != nil {
		return e.reject(c, p)
	}
	w := newWork(h.id, h.workspace, backend.ModelPool(request.model), h.class, e.options.Clock.Now())
	w.refuseIfLate = h.refuseIfLate
	w.streamed = request.stream
	w.promptTokens = len(request.prompt)/bytesPerToken + 1
	w.prefix = engine.Prefixes(request.model, request.prompt)
	if p := e.submit(w); p != nil {
		return e.reject(c, p)
	}
	e.budget.add()
	r := newRelay(e, w, request)
	e.tasks.Go(r.run)
	if request.stream {
		return e.streamAnswer(c, r.out, r.cancel)
	}
	return e.wholeAnswer(c, r)
}

// streamAnswer waits until the answer begins and streams it.
func (e *Entry) streamAnswer(c fiber.Ctx, out <-chan message, cancel func()) error {
	conn := c.RequestCtx().Conn()
	first, ok := e.wait(conn, out)
	if !ok {
		cancel()
		return conn.Close()
	}
	if first.problem != nil {
		return first.problem.write(c)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-store")
	b := newBody(e.options.Clock, out, cancel, e.ctx.Done(), conn)
	b.add(first)
	b.pending = b.spare
	c.Response().SetBodyStream(b, -1)
	return nil
}

// wholeAnswer waits for the end of the answer and sends it as one object.
func (e *Entry) wholeAnswer(c fiber.Ctx, r *relay) error {
	conn := c.RequestCtx().Conn()
	for {
		m, ok := e.wait(conn, r.out)
		switch {
		case !ok:
			r.cancel()
			return conn.Close()
		case m.problem != nil:
			return m.problem.write(c)
		case !m.done:
			continue
		case m.whole != nil:
			c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
			return c.Send(m.whole)
		}
		answer, err := completion(r.work.id, r.chat.model, int64(e.options.Clock.Wall()/clock.Second), &r.transcript)
		if err != nil {
			return unknown(outcome.ReasonAnswerIncomplete, err.Error()).write(c)
		}
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(answer)
	}
}

// wait returns the next message, or false once the caller has gone or the entry
// has ended.
func (e *Entry) wait(conn net.Conn, out <-chan message) (message, bool) {
	for {
		select {
		case m := <-out:
			return m, true
		default:
		}
		due, release := e.options.Clock.After(callerCheck)
		select {
		case m := <-out:
			release()
			return m, true
		case <-due:
			if callerGone(conn) {
				return message{}, false
			}
		case <-e.ctx.Done():
			release()
			return message{}, false
		}
	}
}

// reject answers a request that was never queued.
func (e *Entry) reject(c fiber.Ctx, p *problem) error {
	e.metrics.rejections.WithLabelValues(string(p.reason)).Inc()
	return p.write(c)
}
