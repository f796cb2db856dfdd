package event

import (
	"io"
	"sync/atomic"
)

const (
	// writerCapacity is the number of lines that wait for the output; more are
	// dropped and counted.
	writerCapacity = 2048
	// writerBatch bounds the bytes that leave in one write.
	writerBatch = 32 << 10
)

// writer passes lines to an output in a goroutine of its own, so that logging
// never waits for the output.
type writer struct {
	out     io.Writer
	lines   chan []byte // capacity writerCapacity; when full, lines are dropped
	flushes chan chan struct{}
	dropped atomic.Uint64
}

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, lines: make(chan []byte, writerCapacity), flushes: make(chan chan struct{})}
	go w.run()
	return w
}

// Write takes one line, which is copied.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until the lines that were written before have left.
func (w *writer) Sync() error {
	done := make(chan struct{})
	w.flushes <- done
	<-done
	return nil
}

func (w *writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case done := <-w.flushes:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			close(done)
		}
	}
}

// write writes a line together with those that wait.
func (w *writer) write(batch []byte) {
	for len(batch) < writerBatch && len(w.lines) > 0 {
		batch = append(batch, <-w.lines...)
	}
	// There is nowhere to report an error of the log's own output.
	_, _ = w.out.Write(batch)
}
