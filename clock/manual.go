package clock

import "sync"

// Manual controls the time of a Clock in tests. It is safe for concurrent use.
type Manual struct {
	mu        sync.Mutex
	elapsed   Millis
	startWall Millis
	timers    map[*manualTimer]struct{}
}

type manualTimer struct {
	due  Millis
	done chan struct{}
}

// NewManual returns a clock whose time changes only through the returned Manual.
// The time of day starts at wall, the monotonic time at 0.
func NewManual(wall Millis) (Clock, *Manual) {
	m := &Manual{startWall: wall, timers: map[*manualTimer]struct{}{}}
	return Clock{source: m}, m
}

// Advance moves the time forward by delay and fires every timer that is due.
func (m *Manual) Advance(delay Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.elapsed += delay
	for t := range m.timers {
		if t.due <= m.elapsed {
			close(t.done)
			delete(m.timers, t)
		}
	}
}

// PendingTimers returns the number of pending timers. A test can use it to advance the
// time only after its goroutines have started to wait.
func (m *Manual) PendingTimers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.timers)
}

func (m *Manual) now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.elapsed
}

func (m *Manual) wall() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startWall + m.elapsed
}

func (m *Manual) after(delay Millis) (<-chan struct{}, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{due: m.elapsed + delay, done: make(chan struct{})}
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
