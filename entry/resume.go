package entry

import (
	"context"
	"strconv"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/stream"
)

const (
	// maxSearch bounds the engines that are asked for a stream that no digest
	// has named: one that began shortly before its entry was lost.
	maxSearch = 64
	// maxSearches bounds the searches at the same time, because after the loss
	// of an entry many callers resume at once.
	maxSearches = 8
)

// place is where a stream runs.
type place struct {
	server string
	engine string
	peer   string // the entry that accepted it; empty when unknown or this one
	found  bool
}

// adopted is a stream that another connection or entry began.
type adopted struct {
	server   string
	position atomic.Int64
	handed   atomic.Bool // taken over by yet another connection or entry
	cancel   context.CancelFunc
}

// resumeStream serves GET /v1/streams/{request_id}.
func (e *Entry) resumeStream(c fiber.Ctx) error {
	id := string([]byte(c.Params("id")))
	position, err := strconv.Atoi(c.Query("position", "0"))
	if err != nil || position < 0 {
		return e.reject(c, invalid(outcome.ReasonInvalidRequest, "position", "position must be a count of tokens"))
	}
	if !requestIDPattern.MatchString(id) {
		return e.reject(c, invalid(outcome.ReasonInvalidRequest, "request_id", "invalid request identifier"))
	}
	c.Set(headerRequestID, id)
	at, p := ask(e, func(now clock.Millis) place { return e.dispatcher.locate(now, id) })
	if p != nil {
		return e.reject(c, p)
	}
	if !at.found {
		at = e.search(id, position)
	}
	if !at.found {
		return e.reject(c, notFound(outcome.ReasonRequestNotFound, "request_id", "no engine holds the request"))
	}
	if at.peer != "" {
		e.releaseAt(at.peer, id)
	}
	f := newFollower(e, id, at, position)
	e.tasks.Go(f.run)
	return e.streamAnswer(c, f.out, f.cancel)
}

// locate finds a stream here or in the peers' digests. A stream that runs here
// is given up by its first connection.
func (d *dispatcher) locate(now clock.Millis, id string) place {
	if j, ok := d.jobs[id]; ok && j.running {
		server, known := d.registry.Server(now, j.server)
		if known && d.detach(id) {
			return place{server: j.server, engine: server.Address(), found: true}
		}
	}
	if a, ok := d.adopted[id]; ok {
		server, known := d.registry.Server(now, a.server)
		if known && d.detach(id) {
			return place{server: a.server, engine: server.Address(), found: true}
		}
	}
	for _, p := range d.peers {
		s, found := p.streams[id]
		if !found {
			continue
		}
		if server, known := d.registry.Server(now, s.Server); known {
			return place{server: s.Server, engine: server.Address(), peer: p.address, found: true}
		}
	}
	return place{}
}

// detach gives a running stream up without cancelling it.
func (d *dispatcher) detach(id string) bool {
	if a, ok := d.adopted[id]; ok {
		a.handed.Store(true)
		a.cancel()
		return true
	}
	j, ok := d.jobs[id]
	if !ok || !j.running || !j.work.streamed {
		return false
	}
	d.interrupt(j, detached)
	return true
}

// search asks the engines for a stream that no digest has named.
func (e *Entry) search(id string, position int) place {
	select {
	case e.searches <- struct{}{}:
		defer func() { <-e.searches }()
	case <-e.ctx.Done():
		return place{}
	}
	servers, p := ask(e, func(now clock.Millis) []backend.Server { return e.dispatcher.registry.Servers(now) })
	if p != nil {
		return place{}
	}
	engines := lo.Filter(servers, func(s backend.Server, _ int) bool { return s.Kind() == backend.Engine && s.Usable })
	found := make(chan place, len(engines))
	var asked taskGroup
	for _, s := range engines[:min(len(engines), maxSearch)] {
		asked.Go(func() {
			if e.holds(s.Address(), id, position) {
				found <- place{server: s.Server(), engine: s.Address(), found: true}
			}
		})
	}
	asked.Wait()
	select {
	case at := <-found:
		return at
	default:
		return place{}
	}
}

func (e *Entry) holds(address, id string, position int) bool {
	ctx, cancel := context.WithTimeout(e.ctx, e.options.Timeouts.Resume.Duration())
	defer cancel()
	s, err := e.client.Resume(ctx, address, id, position, e.options.Timeouts.Resume)
	if err != nil {
		return false
	}
	s.Close()
	return true
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

// follower passes on a stream that another connection or entry began. It has
// only the engine's buffer and cannot continue the answer on another engine.
type follower struct {
	entry  *Entry
	id     string
	at     place
	stream *adopted
	out    chan message
	ctx    context.Context
	cancel context.CancelFunc
}

func newFollower(e *Entry, id string, at place, position int) *follower {
	ctx, cancel := context.WithCancel(e.ctx)
	f := &follower{
		entry: e, id: id, at: at, stream: &adopted{server: at.server, cancel: cancel},
		out: make(chan message, e.options.Limits.StreamBuffer), ctx: ctx, cancel: cancel,
	}
	f.stream.position.Store(int64(position))
	return f
}

func (f *follower) run() {
	defer f.cancel()
	d := f.entry.dispatcher
	d.send(f.entry.ctx, func(clock.Millis) {
		d.adopted[f.id] = f.stream
		d.slots.adopted(f.id, f.at.server)
	})
	defer d.send(f.entry.ctx, func(now clock.Millis) {
		if d.adopted[f.id] == f.stream {
			delete(d.adopted, f.id)
			d.slots.ended(now, adoptedRun(f.id))
		}
	})
	if p := f.relay(); p != nil {
		f.emit(message{problem: p})
	}
}

// relay connects until the stream has ended, and returns why it is incomplete.
func (f *follower) relay() *problem {
	for resumes := 0; resumes < maxResumes; resumes++ {
		before := f.stream.position.Load()
		s, err := f.entry.client.Resume(f.ctx, f.at.engine, f.id, int(before), f.entry.options.Timeouts.Resume)
		if err != nil {
			return f.refusal(err)
		}
		ended := f.follow(s)
		s.Close()
		if ended || f.gone() {
			return nil
		}
		if f.stream.position.Load() > before {
			resumes = -1
		}
	}
	return unknown(outcome.ReasonAnswerIncomplete, "the engine's stream broke off")
}

// follow reports whether the stream has ended for good.
func (f *follower) follow(s *engine.Stream) bool {
	if !f.emit(message{}) {
		return false
	}
	for {
		e, err := s.Next()
		switch {
		case err != nil:
			return false
		case e.Comment:
		case string(e.Data) == stream.Done:
			return f.emit(message{done: true})
		default:
			if goOn, ended := f.pass(e); !goOn {
				return ended
			}
		}
	}
}

func (f *follower) pass(e stream.Event) (goOn, ended bool) {
	c, err := stream.ParseChunk(e.Data)
	switch {
	case err != nil:
		return false, false
	case c.Finish == cancelledFinish:
		return false, f.emit(message{problem: unknown(outcome.ReasonAnswerIncomplete, "the engine cancelled the answer")})
	}
	f.stream.position.Store(max(f.stream.position.Load(), int64(c.Position)))
	return f.emit(message{data: stream.AppendEvent(nil, "", e.Data)}), false
}

// gone reports whether the caller has gone, and cancels its work then unless the
// caller resumes once more.
func (f *follower) gone() bool {
	if f.ctx.Err() == nil {
		return false
	}
	if !f.stream.handed.Load() {
		f.entry.options.Clock.Sleep(f.entry.ctx, resumeGrace)
	}
	if !f.stream.handed.Load() {
		f.entry.cancelAt(f.at.engine, f.id, func() bool { return true }, func(int) {})
	}
	return true
}

func (f *follower) refusal(err error) *problem {
	if f.gone() {
		return nil
	}
	if engine.KindOf(err) == engine.Refused {
		return notFound(outcome.ReasonRequestNotFound, "request_id", "the engine no longer holds the request")
	}
	return unknown(outcome.ReasonBackendLost, err.Error())
}

func (f *follower) emit(m message) bool {
	select {
	case f.out <- m:
		return true
	case <-f.ctx.Done():
		return false
	}
}
