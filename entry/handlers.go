package entry

import (
	"net"

	"github.com/gofiber/fiber/v3"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/outcome"
)

// chatPath is the path of chat requests.
const chatPath = "/v1/chat/completions"

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
	r := newCallerRequest(h.id, h.workspace, backend.ModelPool(request.model), h.class, e.options.Clock.Now())
	r.refuseIfLate = h.refuseIfLate
	r.streamed = request.stream
	r.promptTokens = len(request.prompt)/bytesPerToken + 1
	r.prefix = engine.HashPrefixes(request.model, request.prompt)
	if p := e.submit(r); p != nil {
		return e.reject(c, p)
	}
	e.budget.addRequest()
	observer := newEndObserver(e, r, fiber.MethodPost, chatPath, c.BodyRaw())
	observer.partIDs = request.partIDs
	task := newChatTask(e, r, request, observer)
	e.tasks.Go(task.run)
	if request.stream {
		return e.streamAnswer(c, task.messages, task.cancel)
	}
	return e.wholeAnswer(c, task)
}

// streamAnswer waits for the first message and then streams the answer.
func (e *Entry) streamAnswer(c fiber.Ctx, messages <-chan message, cancel func()) error {
	conn := c.RequestCtx().Conn()
	firstMessage, ok := e.nextMessage(conn, messages)
	if !ok {
		cancel()
		return conn.Close()
	}
	if firstMessage.problem != nil {
		return firstMessage.problem.write(c)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-store")
	b := newStreamBody(e.options.Clock, messages, cancel, e.ctx.Done(), conn)
	b.add(firstMessage)
	b.pending = b.batch
	c.Response().SetBodyStream(b, -1)
	return nil
}

// wholeAnswer waits until the answer is complete and sends it as one JSON object.
func (e *Entry) wholeAnswer(c fiber.Ctx, task *chatTask) error {
	conn := c.RequestCtx().Conn()
	for {
		m, ok := e.nextMessage(conn, task.messages)
		switch {
		case !ok:
			task.cancel()
			return conn.Close()
		case m.problem != nil:
			return m.problem.write(c)
		case !m.done:
			continue
		case m.wholeBody != nil:
			c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
			return c.Send(m.wholeBody)
		}
		answer, err := completion(task.callerRequest.id, task.chat.model, int64(e.options.Clock.Wall()/clock.Second), &task.transcript)
		if err != nil {
			return unknown(outcome.ReasonAnswerIncomplete, err.Error()).write(c)
		}
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(answer)
	}
}

// nextMessage returns the next message. It returns false when the caller has disconnected or
// the entry has stopped.
func (e *Entry) nextMessage(conn net.Conn, messages <-chan message) (message, bool) {
	for {
		select {
		case m := <-messages:
			return m, true
		default:
		}
		due, release := e.options.Clock.After(callerCheckInterval)
		select {
		case m := <-messages:
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

// reject answers a request that was refused before it was queued, and counts it.
func (e *Entry) reject(c fiber.Ctx, p *problem) error {
	e.metrics.rejections.WithLabelValues(string(p.reason)).Inc()
	return p.write(c)
}
