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
	// maxParallelProbes bounds the engines that a search asks at the same time for a stream that
	// no digest lists. Such a stream began shortly before its entry was lost, or its entry was lost
	// together with those that it had told.
	maxParallelProbes = 64
	// maxParallelSearches bounds the concurrent searches, because after the loss of an
	// entry many callers resume at once.
	maxParallelSearches = 8
)

// streamLocation tells where a stream runs.
type streamLocation struct {
	server        string // name of the engine
	engineAddress string // address of the engine
	peerAddress   string // address of the entry that accepted it; empty when unknown or this one
	found         bool
}

// resumedStream is a running stream that a caller has resumed at this entry. It was started
// on another connection or at another entry.
type resumedStream struct {
	server    string
	position  atomic.Int64 // in tokens
	takenOver atomic.Bool  // whether another connection or entry reads the stream now
	cancel    context.CancelFunc
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
	location, p := queryDispatcher(e, func(now clock.Millis) streamLocation { return e.dispatcher.locate(now, id) })
	if p != nil {
		return e.reject(c, p)
	}
	if !location.found {
		location = e.searchEngines(id, position)
	}
	if !location.found {
		return e.reject(c, notFound(outcome.ReasonRequestNotFound, "request_id", "no engine holds the request"))
	}
	if location.peerAddress != "" {
		e.releaseAtPeer(location.peerAddress, id)
	}
	f := newStreamForwarder(e, id, location, position)
	e.tasks.Go(f.run)
	return e.streamAnswer(c, f.messages, f.cancel)
}

// locate looks for a stream at this entry and in the peers' digests. If this entry still
// reads the stream for another connection, that reading ends; the engine keeps
// generating.
func (d *dispatcher) locate(now clock.Millis, id string) streamLocation {
	if j, ok := d.jobs[id]; ok && j.running {
		server, known := d.registry.Server(now, j.server)
		if known && d.releaseStream(id) {
			return streamLocation{server: j.server, engineAddress: server.Address(), found: true}
		}
	}
	if a, ok := d.resumedStream[id]; ok {
		server, known := d.registry.Server(now, a.server)
		if known && d.releaseStream(id) {
			return streamLocation{server: a.server, engineAddress: server.Address(), found: true}
		}
	}
	for _, p := range d.peers {
		s, found := p.streams[id]
		if !found {
			continue
		}
		if server, known := d.registry.Server(now, s.Server); known {
			return streamLocation{server: s.Server, engineAddress: server.Address(), peerAddress: p.address, found: true}
		}
	}
	return streamLocation{}
}

// releaseStream ends this entry's reading of a stream without cancelling it at the
// engine. It returns false when the entry has no such stream.
func (d *dispatcher) releaseStream(id string) bool {
	if a, ok := d.resumedStream[id]; ok {
		a.takenOver.Store(true)
		a.cancel()
		return true
	}
	j, ok := d.jobs[id]
	if !ok || !j.running || !j.callerRequest.streamed {
		return false
	}
	d.interrupt(j, streamTakenOver)
	return true
}

// searchEngines asks all engines for a stream that no digest lists.
func (e *Entry) searchEngines(id string, position int) streamLocation {
	select {
	case e.searchSemaphore <- struct{}{}:
		defer func() { <-e.searchSemaphore }()
	case <-e.ctx.Done():
		return streamLocation{}
	}
	servers, p := queryDispatcher(e, func(now clock.Millis) []backend.Server { return e.dispatcher.registry.Servers(now) })
	if p != nil {
		return streamLocation{}
	}
	engines := lo.Filter(servers, func(s backend.Server, _ int) bool { return s.Kind() == backend.Engine && s.Usable })
	for _, batch := range lo.Chunk(engines, maxParallelProbes) {
		if location := e.probeEngines(batch, id, position); location.found {
			return location
		}
	}
	return streamLocation{}
}

// probeEngines asks engines for a stream at the same time.
func (e *Entry) probeEngines(engines []backend.Server, id string, position int) streamLocation {
	found := make(chan streamLocation, len(engines))
	var probes taskGroup
	for _, s := range engines {
		probes.Go(func() {
			if e.engineHasStream(s.Address(), id, position) {
				found <- streamLocation{server: s.Server(), engineAddress: s.Address(), found: true}
			}
		})
	}
	probes.Wait()
	select {
	case location := <-found:
		return location
	default:
		return streamLocation{}
	}
}

// engineHasStream reports whether an engine still has a stream in its buffer.
func (e *Entry) engineHasStream(address, id string, position int) bool {
	ctx, cancel := context.WithTimeout(e.ctx, e.options.Timeouts.Resume.Duration())
	defer cancel()
	s, err := e.client.Resume(ctx, address, id, position, e.options.Timeouts.Resume)
	if err != nil {
		return false
	}
	s.Close()
	return true
}

// releaseAtPeer asks the entry that accepted a stream to release it, so that it does
// not cancel the request when it notices that its caller has disconnected.
func (e *Entry) releaseAtPeer(peer, id string) {
	ctx, cancel := context.WithTimeout(e.ctx, cancelTimeout.Duration())
	defer cancel()
	_, _ = e.client.Call(ctx, e.peerRequest(peer, releasePath+id, nil))
}

// handleRelease serves POST /peer/v1/release/{id}.
func (e *Entry) handleRelease(c fiber.Ctx) error {
	id := string([]byte(c.Params("id")))
	found, p := queryDispatcher(e, func(clock.Millis) bool { return e.dispatcher.releaseStream(id) })
	if p != nil {
		return p.write(c)
	}
	if !found {
		return notFound(outcome.ReasonRequestNotFound, "request_id", "the request does not run here").write(c)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// streamForwarder forwards a stream that another connection or entry began. It knows only
// what is in the engine's buffer, so it cannot continue the answer on another engine.
type streamForwarder struct {
	entry    *Entry
	id       string
	location streamLocation
	stream   *resumedStream
	messages chan message
	ctx      context.Context
	cancel   context.CancelFunc
	finished bool // the engine has sent a finish reason
}

func newStreamForwarder(e *Entry, id string, location streamLocation, position int) *streamForwarder {
	ctx, cancel := context.WithCancel(e.ctx)
	f := &streamForwarder{
		entry: e, id: id, location: location, stream: &resumedStream{server: location.server, cancel: cancel},
		messages: make(chan message, e.options.Limits.StreamBuffer), ctx: ctx, cancel: cancel,
	}
	f.stream.position.Store(int64(position))
	return f
}

// run registers the stream with the dispatcher and forwards it.
func (f *streamForwarder) run() {
	defer f.cancel()
	d := f.entry.dispatcher
	d.send(f.entry.ctx, func(clock.Millis) {
		d.resumedStream[f.id] = f.stream
		d.slots.resumedStream(f.id, f.location.server)
	})
	defer d.send(f.entry.ctx, func(now clock.Millis) {
		if d.resumedStream[f.id] == f.stream {
			delete(d.resumedStream, f.id)
			d.slots.ended(now, resumedRunID(f.id))
		}
	})
	if p := f.forward(); p != nil {
		f.emit(message{problem: p})
	}
}

// forward reads the stream to its end and reconnects when a connection breaks. It
// returns the reason when the answer stays incomplete.
func (f *streamForwarder) forward() *problem {
	for resumes := 0; resumes < maxResumes; resumes++ {
		before := f.stream.position.Load()
		s, err := f.entry.client.Resume(f.ctx, f.location.engineAddress, f.id, int(before), f.entry.options.Timeouts.Resume)
		if err != nil {
			return f.problemFor(err)
		}
		ended := f.readStream(s)
		s.Close()
		if ended || f.cancelIfCallerGone() {
			return nil
		}
		if f.stream.position.Load() > before {
			resumes = -1
		}
	}
	return unknown(outcome.ReasonAnswerIncomplete, "the engine's stream broke off")
}

// readStream forwards the events of one connection. It returns true when the stream
// has ended and a new connection would be of no use.
func (f *streamForwarder) readStream(s *engine.Stream) bool {
	if !f.emit(message{}) {
		return false
	}
	for {
		e, err := s.Next()
		switch {
		case err != nil:
			return false
		case e.Comment:
		case e.Name == "error":
			return f.emit(message{problem: unknown(outcome.ReasonBackendLost, "the engine ended its answer with an error")})
		case string(e.Data) == stream.Done:
			return f.finished && f.emit(message{done: true})
		default:
			if more, ended := f.forwardChunk(e); !more {
				return ended
			}
		}
	}
}

// forwardChunk sends a chunk to the caller unless the caller has its text. It returns whether
// to read on, and if not, whether the stream has ended.
func (f *streamForwarder) forwardChunk(e stream.Event) (more, ended bool) {
	c, err := stream.ParseChunk(e.Data)
	switch {
	case err != nil:
		return false, false
	case c.Finish == finishCancelled:
		return false, f.emit(message{problem: unknown(outcome.ReasonAnswerIncomplete, "the engine cancelled the answer")})
	}
	position := int(f.stream.position.Load())
	switch {
	case endsBefore(c, position):
		return false, false
	case c.Text != "" && c.Position > 0 && c.Position <= position:
		return true, false
	}
	f.finished = f.finished || c.Finish != ""
	f.stream.position.Store(int64(max(position, c.Position)))
	return f.emit(message{data: stream.AppendEvent(nil, "", e.Data)}), false
}

// cancelIfCallerGone reports whether the caller has disconnected. In that case it
// cancels the request at the engine, unless the caller resumes the stream again within
// resumeGrace.
func (f *streamForwarder) cancelIfCallerGone() bool {
	if f.ctx.Err() == nil {
		return false
	}
	if !f.stream.takenOver.Load() {
		f.entry.options.Clock.Sleep(f.entry.ctx, resumeGrace)
	}
	if !f.stream.takenOver.Load() {
		f.entry.cancelAtEngine(f.location.engineAddress, f.id, func() bool { return true }, func(int) {})
	}
	return true
}

// problemFor describes a failed reconnect to the caller. It returns nil when the caller
// has disconnected.
func (f *streamForwarder) problemFor(err error) *problem {
	if f.cancelIfCallerGone() {
		return nil
	}
	if engine.FailureKindOf(err) == engine.Refused {
		return notFound(outcome.ReasonRequestNotFound, "request_id", "the engine no longer holds the request")
	}
	return unknown(outcome.ReasonBackendLost, err.Error())
}

// emit sends a message to the HTTP handler. It returns false when the caller has
// disconnected.
func (f *streamForwarder) emit(m message) bool {
	select {
	case f.messages <- m:
		return true
	case <-f.ctx.Done():
		return false
	}
}
