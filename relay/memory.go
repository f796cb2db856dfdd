package relay

import (
	"sync"

	"github.com/galenaslip/galenaslip/frame"
)

// freeMessageBytes is the memory of the messages of one request, in bytes, for which nothing is
// reserved, so that usual requests do not depend on the memory that faulty peers have left.
const freeMessageBytes = 8 << 10

// memoryPool is the memory for the messages that the relay holds. It is safe for concurrent use.
type memoryPool struct {
	limit int64 // bytes

	mu       sync.Mutex
	reserved int64
}

// memoryHolder is a source of messages: a backend server, or all callers together.
type memoryHolder struct {
	bytes int64 // guarded by the lock of the pool
}

// reserve reserves a number of bytes for messages of a holder and reports whether it has. A holder
// gets no more than is left for the others: one takes up to a half of the pool, two a third each.
func (p *memoryPool) reserve(h *memoryHolder, bytes int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.bytes+bytes > p.limit-p.reserved {
		return false
	}
	p.reserved += bytes
	h.bytes += bytes
	return true
}

// inUse returns the number of reserved bytes.
func (p *memoryPool) inUse() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserved
}

// reservation is the part of a pool that the messages of one request hold. It is not safe for
// concurrent use.
type reservation struct {
	pool     *memoryPool
	freeUsed int64 // bytes of freeMessageBytes
	parts    []reservedPart
}

type reservedPart struct {
	holder *memoryHolder
	bytes  int64
}

// messageMemory implements frame.Memory for messages of one holder.
type messageMemory struct {
	reservation *reservation
	holder      *memoryHolder
}

var _ frame.Memory = messageMemory{}

// of returns the memory for messages of a holder.
func (r *reservation) of(h *memoryHolder) messageMemory { return messageMemory{r, h} }

// Reserve implements frame.Memory.
func (m messageMemory) Reserve(bytes int) bool {
	r := m.reservation
	if r.freeUsed+int64(bytes) <= freeMessageBytes {
		r.freeUsed += int64(bytes)
		return true
	}
	if !r.pool.reserve(m.holder, int64(bytes)) {
		return false
	}
	r.parts = append(r.parts, reservedPart{m.holder, int64(bytes)})
	return true
}

// release returns all that was reserved.
func (r *reservation) release() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	for _, p := range r.parts {
		r.pool.reserved -= p.bytes
		p.holder.bytes -= p.bytes
	}
	r.parts, r.freeUsed = nil, 0
}
