package event_test

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
)

// blockedOutput is an output that blocks each write until release is closed, like a
// pipe whose reader has stopped.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedOutput) Write(data []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(data)
}

// Guards against a process that stops serving because nobody reads its log, and
// against lines that are dropped without being counted.
func TestLogNeverWaits(t *testing.T) {
	const lines = 20_000
	out := &blockedOutput{release: make(chan struct{})}
	l, flush := event.NewWithOutput(out, "p", event.Info)
	for i := range lines {
		l.Log(event.ProcessStarted, zap.Int("i", i))
	}
	dropped := l.DroppedLines()
	if dropped == 0 {
		t.Fatal("got no dropped lines, want some")
	}
	close(out.release)
	flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	got := uint64(bytes.Count(out.written.Bytes(), []byte("\n"))) + l.DroppedLines()
	if want := uint64(lines); got != want {
		t.Errorf("written and dropped: got %d, want %d", got, want)
	}
}

// BenchmarkLog measures the cost of a log line for the goroutine that logs it.
func BenchmarkLog(b *testing.B) {
	l, flush := event.NewWithOutput(io.Discard, "relay-1", event.Info)
	defer flush()
	b.ReportAllocs()
	for b.Loop() {
		l.Log(event.RequestAnswered, zap.String("request", "9c41d07be2a35f68"), zap.String("route", "r-fi6y7z5"),
			zap.String("server", "i-7f3a91c2"), zap.Int("status", 200), zap.Int("sends", 1), zap.Float64("load", 3.5),
			zap.Int64("load_age_ms", 120), zap.Int("urgency", 2), zap.Uint64("revision", 7),
			zap.Int64("first_byte_ms", 41), zap.Int64("took_ms", 830))
	}
}
