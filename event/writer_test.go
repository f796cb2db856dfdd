package event_test

import (
	"bytes"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
)

// stuck is an output whose reader has stopped.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stuck) Write(data []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(data)
}

// Guards against a process that stops serving because nobody reads its log, and
// against lines that are lost without being counted.
func TestLogNeverWaits(t *testing.T) {
	const lines = 20_000
	out := &stuck{release: make(chan struct{})}
	l, flush := event.NewTo(out, "p", event.Info)
	for i := range lines {
		l.Log(event.ProcessStarted, zap.Int("i", i))
	}
	dropped := l.Dropped()
	if dropped == 0 {
		t.Fatal("got no dropped lines, want some")
	}
	close(out.release)
	flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	got := uint64(bytes.Count(out.written.Bytes(), []byte("\n"))) + l.Dropped()
	if want := uint64(lines); got != want {
		t.Errorf("written and dropped: got %d, want %d", got, want)
	}
}
