package standin

import (
	"io"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/stream"
)

// commentInterval is the time after which a stream without new tokens sends a comment.
const commentInterval = 1 * clock.Second

// answerBody is the body of a streamed answer, read by the HTTP server. A read blocks
// until there are new tokens or a comment is due. A response that is not streamed uses
// it to wait for the end of the answer.
type answerBody struct {
	engine     *Engine
	sequence   *sequence
	position   int
	unread     []byte // encoded events that were not read yet
	chunk      []byte // buffer for encoding a chunk
	ended      bool
	stall      chan struct{} // closed to stall this stream
	readerLeft bool          // set by Close: nobody reads this body any more
}

// Read implements io.Reader.
func (f *answerBody) Read(p []byte) (int, error) {
	for len(f.unread) == 0 {
		if f.ended {
			return 0, io.EOF
		}
		if err := f.fillUnread(); err != nil {
			return 0, err
		}
	}
	n := copy(p, f.unread)
	f.unread = f.unread[n:]
	return n, nil
}

// fillUnread appends the events for new tokens. When there are none, it waits for the
// next change of the sequence, and appends a comment if that takes longer than
// commentInterval.
func (f *answerBody) fillUnread() error {
	if !f.engine.activeFaults.waitWhileSilent(f.stall, f.engine.closing) {
		return io.ErrUnexpectedEOF
	}
	f.unread = f.unread[:0]
	changed := f.appendNewTokens()
	if len(f.unread) > 0 || f.ended {
		return nil
	}
	commentDue, stopTimer := f.engine.options.Clock.After(commentInterval)
	defer stopTimer()
	select {
	case <-changed:
	case <-commentDue:
		f.unread = stream.AppendComment(f.unread, "waiting")
	case <-f.stall:
	case <-f.engine.closing:
	}
	return nil
}

// appendNewTokens appends the events for all new tokens and, at the end of the answer,
// the final events. It returns a channel that is closed at the next change of the
// sequence.
func (f *answerBody) appendNewTokens() <-chan struct{} {
	b := f.engine.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	s := f.sequence
	for f.position < s.producedTokens {
		f.appendChunk(stream.Chunk{ID: s.id, Model: s.model, Text: s.answerTokens[f.position], Position: f.position + 1})
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

// finish appends the final events: a chunk with the finish reason and the end marker.
func (f *answerBody) finish(s *sequence, reason string) {
	usage := stream.Usage{PromptTokens: len(s.prompt)/bytesPerToken + 1, CompletionTokens: f.position}
	f.appendChunk(stream.Chunk{ID: s.id, Model: s.model, Finish: reason, Position: f.position, Usage: usage})
	f.unread = stream.AppendEvent(f.unread, "", []byte(stream.Done))
	f.ended = true
}

func (f *answerBody) appendChunk(c stream.Chunk) {
	f.chunk = stream.AppendChunk(f.chunk[:0], c)
	f.unread = stream.AppendEvent(f.unread, "", f.chunk)
}

// Close implements io.Closer. The HTTP server calls it when the answer is complete or
// the client has disconnected.
func (f *answerBody) Close() error {
	if f.readerLeft {
		return nil
	}
	f.readerLeft = true
	b := f.engine.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	f.sequence.readers--
	f.sequence.readerLeft = f.engine.options.Clock.Now()
	return nil
}
