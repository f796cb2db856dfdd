package event

import (
	"io"
	"sync/atomic"
)

const (
	// writerCapacityLines is the number of lines that can wait for the output.
	// Further lines are dropped and counted.
	writerCapacityLines = 2048
	// maxBatchBytes is the size from which no further line is added to a batch
	// that is written at once.
	maxBatchBytes = 32 << 10
)

// writer writes lines to an output in a separate goroutine, so that logging never
// waits for the output. Its methods Write and Sync are safe for concurrent use.
type writer struct {
	out     io.Writer
	lines   chan []byte        // holds up to writerCapacityLines; lines are dropped when it is full
	flushes chan chan struct{} // each request is a channel that run closes when it has flushed
	dropped atomic.Uint64
}

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, lines: make(chan []byte, writerCapacityLines), flushes: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of one line, or drops it if the queue is full. It never waits
// and returns no error.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits until all queued lines have been written to the output.
func (w *writer) Sync() error {
	done := make(chan struct{})
	w.flushes <- done
	<-done
	return nil
}

// run writes the queued lines. It never returns.
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

// write writes a line together with queued lines, up to about maxBatchBytes.
func (w *writer) write(batch []byte) {
	for len(batch) < maxBatchBytes && len(w.lines) > 0 {
		batch = append(batch, <-w.lines...)
	}
	// An error of the log's output cannot be reported anywhere.
	_, _ = w.out.Write(batch)
}
