package entry

import (
	"context"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/stream"
)

// place is where a stream runs that another entry has accepted.
type place struct {
	engine string
	peer   string
	found  bool
}

// follower passes on a stream that another entry has accepted. It has only the
// engine's buffer and cannot continue the answer on another engine.
type follower struct {
	entry    *Entry
	id       string
	engine   string
	position int
	out      chan message
	ctx      context.Context
	cancel   context.CancelFunc
}

// resumeStream serves GET /v1/streams/{request_id}.
func (e *Entry) resumeStream(c fiber.Ctx) error {
	id := string([]byte(c.Params("id")))
	position, err := strconv.Atoi(c.Query("position", "0"))
	if err != nil || position < 0 {
		return e.reject(c, invalid(outcome.ReasonInvalid, "position", "position must be a count of tokens"))
	}
	if !requestIDPattern.MatchString(id) {
		return e.reject(c, invalid(outcome.ReasonInvalid, "request_id", "invalid request identifier"))
	}
	c.Set(headerRequestID, id)
	at, p := ask(e, func(now clock.Millis) place { return e.dispatcher.locate(now, id) })
	if p != nil {
		return e.reject(c, p)
	}
	if !at.found {
		return e.reject(c, notFound(outcome.ReasonRequestNotFound, "request_id", "no engine holds the request"))
	}
	e.releaseAt(at.peer, id)
	f := newFollower(e, id, at.engine, position)
	e.tasks.Go(f.run)
	return e.streamAnswer(c, f.out, f.cancel)
}

// releaseAt tells the entry that accepted a stream to leave it to this one, so
// that it does not cancel the work when it notices that its caller has gone.
func (e *Entry) releaseAt(peer, id string) {
	ctx, cancel := context.WithTimeout(e.ctx, cancelTimeout.Duration())
	defer cancel()
	_, _ = e.client.Call(ctx, e.peerRequest(peer, releasePath+id, nil))
}

// released serves POST /peer/v1/release/{id}.
func (e *Entry) released(c fiber.Ctx) error {
	id := string([]byte(c.Params("id")))
	found, p := ask(e, func(clock.Millis) bool { return e.dispatcher.detach(id) })
	if p != nil {
		return p.write(c)
	}
	if !found {
		return notFound(outcome.ReasonRequestNotFound, "request_id", "the request does not run here").write(c)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// detach gives a running stream up without cancelling it.
func (d *dispatcher) detach(id string) bool {
	j, ok := d.jobs[id]
	if !ok || !j.running || !j.work.streamed {
		return false
	}
	d.interrupt(j, detached)
	return true
}

func newFollower(e *Entry, id, address string, position int) *follower {
	ctx, cancel := context.WithCancel(e.ctx)
	return &follower{
		entry: e, id: id, engine: address, position: position,
		out: make(chan message, e.options.Limits.Streams), ctx: ctx, cancel: cancel,
	}
}

func (f *follower) run() {
	defer f.cancel()
	for resumes := 0; resumes < maxResumes; resumes++ {
		s, err := f.entry.client.Resume(f.ctx, f.engine, f.id, f.position, f.entry.options.Timeouts.Resume)
		if err != nil {
			f.refuse(err)
			return
		}
		before := f.position
		done := f.follow(s)
		s.Close()
		if done {
			return
		}
		if f.position > before {
			resumes = -1
		}
	}
	f.emit(message{problem: unknown(outcome.ReasonIncomplete, "the engine's stream broke off")})
}

// follow reports whether the stream has ended for good.
func (f *follower) follow(s *engine.Stream) bool {
	if !f.emit(message{}) {
		return f.leave()
	}
	for {
		e, err := s.Next()
		switch {
		case f.ctx.Err() != nil:
			return f.leave()
		case err != nil:
			return false
		case e.Comment:
		case string(e.Data) == stream.Done:
			f.emit(message{done: true})
			return true
		default:
			if done, ended := f.pass(e); ended {
				return done
			}
		}
	}
}

// pass passes one chunk on. The second result ends the connection, the first
// one the stream.
func (f *follower) pass(e stream.Event) (done, ended bool) {
	c, err := stream.ParseChunk(e.Data)
	switch {
	case err != nil:
		return false, true
	case c.Finish == cancelledFinish:
		f.emit(message{problem: unknown(outcome.ReasonIncomplete, "the engine cancelled the answer")})
		return true, true
	}
	f.position = max(f.position, c.Position)
	if !f.emit(message{data: stream.AppendEvent(nil, "", e.Data)}) {
		return f.leave(), true
	}
	return false, false
}

// leave cancels the work of a caller that has gone.
func (f *follower) leave() bool {
	f.entry.cancelAt(f.engine, f.id, func() bool { return true })
	return true
}

func (f *follower) refuse(err error) {
	if f.ctx.Err() != nil {
		f.leave()
		return
	}
	p := unknown(outcome.ReasonBackendLost, err.Error())
	if engine.KindOf(err) == engine.Refused {
		p = notFound(outcome.ReasonRequestNotFound, "request_id", "the engine no longer holds the request")
	}
	f.emit(message{problem: p})
}

func (f *follower) emit(m message) bool {
	select {
	case f.out <- m:
		return true
	case <-f.ctx.Done():
		return false
	}
}
