package entry

import (
	"io"
	"net"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/stream"
)

const (
	// callerCheckInterval is how often a waiting request checks whether its caller is
	// still connected, and how often an idle stream sends a comment.
	callerCheckInterval = 1 * clock.Second
	// maxBatchBytes is the size from which no further events are added to one write
	// to the caller.
	maxBatchBytes = 4096
)

var (
	errCallerGone   = errors.New("the caller has closed its connection")
	errEntryStopped = errors.New("the entry has stopped")
)

// streamBody is the response body of a streamed answer. The HTTP server reads it
// and closes it when the answer is complete or a write to the caller failed.
type streamBody struct {
	clock           clock.Clock
	messages        <-chan message
	cancel          func()
	entryStopped    <-chan struct{} // closed when the entry stops
	conn            net.Conn
	pending         []byte          // encoded events that Read has not returned yet
	batch           []byte          // reused to encode the next batch
	ended           bool            // the last event was added, so Read ends after pending
	callerCheckDue  <-chan struct{} // closed when the next check that the caller is still connected is due
	stopCallerCheck func()          // stops the timer of callerCheckDue
	idle            bool            // no message arrived since the last check
}

func newStreamBody(c clock.Clock, messages <-chan message, cancel func(), entryStopped <-chan struct{}, conn net.Conn) *streamBody {
	b := &streamBody{clock: c, messages: messages, cancel: cancel, entryStopped: entryStopped, conn: conn}
	b.callerCheckDue, b.stopCallerCheck = c.After(callerCheckInterval)
	return b
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		if err := b.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// fill waits for a message or the next caller check and encodes the next batch of events. After a
// message it adds those that are available without waiting.
func (b *streamBody) fill() error {
	b.batch = b.batch[:0]
	select {
	case m := <-b.messages:
		b.add(m)
		b.drain()
		b.idle = false
	case <-b.callerCheckDue:
		b.callerCheckDue, b.stopCallerCheck = b.clock.After(callerCheckInterval)
		if callerGone(b.conn) {
			return errCallerGone
		}
		if b.idle {
			b.batch = stream.AppendComment(b.batch, "waiting")
		}
		b.idle = true
	case <-b.entryStopped:
		return errEntryStopped
	}
	b.pending = b.batch
	return nil
}

// drain adds the available messages up to maxBatchBytes.
func (b *streamBody) drain() {
	for !b.ended && len(b.batch) < maxBatchBytes {
		select {
		case m := <-b.messages:
			b.add(m)
		default:
			return
		}
	}
}

// add appends the events of a message to the batch.
func (b *streamBody) add(m message) {
	switch {
	case m.problem != nil:
		b.batch = append(b.batch, m.data...)
		b.batch = stream.AppendEvent(b.batch, "error", m.problem.encode())
		b.ended = true
	case m.done:
		b.batch = append(b.batch, m.data...)
		b.batch = stream.AppendEvent(b.batch, "", []byte(stream.Done))
		b.ended = true
	default:
		b.batch = append(b.batch, m.data...)
	}
}

// Close implements io.Closer.
func (b *streamBody) Close() error {
	b.stopCallerCheck()
	b.cancel()
	return nil
}
