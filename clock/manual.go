package clock

import "sync"

// Manual drives a Clock by hand in tests.
type Manual struct {
	mu      sync.Mutex
	current Millis
	epoch   Millis
	timers  map[*manualTimer]struct{}
}

type manualTimer struct {
	due  Millis
	done chan struct{}
}

// NewManual returns a clock that stands still until its Manual is advanced. The
// time of day starts at wall.
func NewManual(wall Millis) (Clock, *Manual) {
	m := &Manual{epoch: wall, timers: map[*manualTimer]struct{}{}}
	return Clock{source: m}, m
}

// Advance moves the time forward and fires every timer that is due.
func (m *Manual) Advance(delay Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current += delay
	for t := range m.timers {
		if t.due <= m.current {
			close(t.done)
			delete(m.timers, t)
		}
	}
}

// PendingTimers returns the number of timers that have not fired, so that a test can
// advance only after its goroutines wait.
func (m *Manual) PendingTimers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.timers)
}

func (m *Manual) now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

func (m *Manual) wall() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch + m.current
}

func (m *Manual) after(delay Millis) (<-chan struct{}, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{due: m.current + delay, done: make(chan struct{})}
	if delay <= 0 {
		close(t.done)
		return t.done, func() {}
	}
	m.timers[t] = struct{}{}
	return t.done, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.timers, t)
	}
}
