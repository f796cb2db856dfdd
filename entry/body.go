package entry

import (
	"io"
	"net"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/stream"
)

const (
	// callerCheck is how often a waiting request looks whether its caller is
	// still there, and how often an idle stream sends a comment.
	callerCheck = 1 * clock.Second
	// maxRead bounds the events that one write to the caller carries.
	maxRead = 4096
)

var (
	errCallerGone = errors.New("the caller has gone")
	errReleased   = errors.New("the entry has ended")
)

// body is the response body of a streamed answer. The HTTP server reads it and
// closes it when the answer is complete or a write to the caller failed.
type body struct {
	clock   clock.Clock
	out     <-chan message
	cancel  func()
	closing <-chan struct{} // ends when the entry releases everything
	conn    net.Conn
	pending []byte
	spare   []byte
	ended   bool
	tick    <-chan struct{}
	release func()
	quiet   bool // nothing was sent since the last tick
}

func newBody(c clock.Clock, out <-chan message, cancel func(), closing <-chan struct{}, conn net.Conn) *body {
	b := &body{clock: c, out: out, cancel: cancel, closing: closing, conn: conn}
	b.tick, b.release = c.After(callerCheck)
	return b
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
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

// fill waits for one message and takes what else is there.
func (b *body) fill() error {
	b.spare = b.spare[:0]
	select {
	case m := <-b.out:
		b.add(m)
		b.drain()
		b.quiet = false
	case <-b.tick:
		b.tick, b.release = b.clock.After(callerCheck)
		if callerGone(b.conn) {
			return errCallerGone
		}
		if b.quiet {
			b.spare = stream.AppendComment(b.spare, "waiting")
		}
		b.quiet = true
	case <-b.closing:
		return errReleased
	}
	b.pending = b.spare
	return nil
}

func (b *body) drain() {
	for !b.ended && len(b.spare) < maxRead {
		select {
		case m := <-b.out:
			b.add(m)
		default:
			return
		}
	}
}

func (b *body) add(m message) {
	switch {
	case m.problem != nil:
		b.spare = append(b.spare, m.data...)
		b.spare = stream.AppendEvent(b.spare, "error", m.problem.encode())
		b.ended = true
	case m.done:
		b.spare = append(b.spare, m.data...)
		b.spare = stream.AppendEvent(b.spare, "", []byte(stream.Done))
		b.ended = true
	default:
		b.spare = append(b.spare, m.data...)
	}
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.release()
	b.cancel()
	return nil
}
