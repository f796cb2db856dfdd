package standin

import (
	"io"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/stream"
)

// commentInterval is how often an idle stream sends a comment.
const commentInterval = 1 * clock.Second

// feed is the body of a streamed answer. The HTTP server reads it; it blocks
// until there are tokens or a comment is due.
type feed struct {
	engine   *Engine
	sequence *sequence
	position int
	pending  []byte
	chunk    []byte
	ended    bool
	stall    chan struct{}
	left     bool
}

// Read implements io.Reader.
func (f *feed) Read(p []byte) (int, error) {
	for len(f.pending) == 0 {
		if f.ended {
			return 0, io.EOF
		}
		if err := f.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, f.pending)
	f.pending = f.pending[n:]
	return n, nil
}

func (f *feed) fill() error {
	if !f.engine.fault.pass(f.stall, f.engine.closing) {
		return io.ErrUnexpectedEOF
	}
	f.pending = f.pending[:0]
	changed := f.collect()
	if len(f.pending) > 0 || f.ended {
		return nil
	}
	due, release := f.engine.options.Clock.After(commentInterval)
	defer release()
	select {
	case <-changed:
	case <-due:
		f.pending = stream.AppendComment(f.pending, "waiting")
	case <-f.stall:
	case <-f.engine.closing:
	}
	return nil
}

// collect appends every new token and returns a channel for the next change.
func (f *feed) collect() <-chan struct{} {
	b := f.engine.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	s := f.sequence
	for f.position < s.produced {
		f.append(stream.Chunk{ID: s.id, Model: s.model, Text: s.answer[f.position], Position: f.position + 1})
		f.position++
	}
	switch s.state {
	case stateFinished:
		f.finish(s, s.finish)
	case stateCancelled:
		f.finish(s, "cancelled")
	}
	return s.changed
}

func (f *feed) finish(s *sequence, reason string) {
	usage := stream.Usage{PromptTokens: len(s.prompt)/bytesPerToken + 1, CompletionTokens: f.position}
	f.append(stream.Chunk{ID: s.id, Model: s.model, Finish: reason, Position: f.position, Usage: usage})
	f.pending = stream.AppendEvent(f.pending, "", []byte(stream.Done))
	f.ended = true
}

func (f *feed) append(c stream.Chunk) {
	f.chunk = stream.AppendChunk(f.chunk[:0], c)
	f.pending = stream.AppendEvent(f.pending, "", f.chunk)
}

// Close implements io.Closer; the HTTP server calls it when the answer is
// complete or the reader has gone.
func (f *feed) Close() error {
	if f.left {
		return nil
	}
	f.left = true
	b := f.engine.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	f.sequence.readers--
	f.sequence.left = f.engine.options.Clock.Now()
	return nil
}
