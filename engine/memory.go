package engine

import (
	"sync"

	"github.com/galenaslip/galenaslip/memory"
)

// responseMemory is the memory for responses that are being read. It is safe for concurrent use.
type responseMemory struct {
	pool *memory.Pool

	mu      sync.Mutex
	sources map[string]*responseSource // by address; those of running calls
}

// responseSource is a server with running calls.
type responseSource struct {
	memory.Source
	calls int
}

func newResponseMemory(limitBytes int) *responseMemory {
	return &responseMemory{pool: memory.NewPool(limitBytes), sources: map[string]*responseSource{}}
}

// begin returns the memory for the response of a call to an address. The call ends with end.
func (m *responseMemory) begin(address string) (memory.Reservation, *memory.Source) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.sources[address]
	if !ok {
		s = &responseSource{}
		m.sources[address] = s
	}
	s.calls++
	return m.pool.Begin(), &s.Source
}

// end returns the memory of a call.
func (m *responseMemory) end(address string, r *memory.Reservation) {
	r.Release()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sources[address]
	s.calls--
	if s.calls == 0 {
		delete(m.sources, address)
	}
}
