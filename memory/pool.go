package memory

import "sync"

// FreeBytes is the memory of the messages of one Reservation, in bytes, for which nothing is
// reserved, so that usual messages do not depend on what faulty sources have left.
const FreeBytes = 8 << 10

// Pool is the memory for messages. It is safe for concurrent use.
type Pool struct {
	limit int64 // bytes

	mu       sync.Mutex
	reserved int64
}

// NewPool returns a pool with a number of bytes.
func NewPool(limitBytes int) *Pool { return &Pool{limit: int64(limitBytes)} }

// InUse returns the number of reserved bytes.
func (p *Pool) InUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int(p.reserved)
}

// Source is a source of messages, such as a backend server or all callers together. It belongs to
// one pool.
type Source struct {
	bytes int64 // reserved for its messages; guarded by the lock of the pool
}

// reserve reserves a number of bytes for messages of a source and reports whether it has. A source
// gets no more than is left for the others: one takes up to a half of the pool, two a third each.
func (p *Pool) reserve(s *Source, bytes int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.bytes+bytes > p.limit-p.reserved-bytes {
		return false
	}
	p.reserved += bytes
	s.bytes += bytes
	return true
}

// Reservation is the part of a pool that belongs to one request. It is not safe for concurrent use.
type Reservation struct {
	pool     *Pool
	freeUsed int64 // bytes of FreeBytes
	parts    []part
}

// part is what a reservation holds for messages of a source.
type part struct {
	source *Source
	bytes  int64
}

// Begin returns an empty reservation. Its owner calls Release when the messages are not used any more.
func (p *Pool) Begin() Reservation { return Reservation{pool: p} }

// Of returns the memory for messages of a source.
func (r *Reservation) Of(s *Source) Share { return Share{r, s} }

// Share is the memory for messages of one source in a reservation. It implements Budget.
type Share struct {
	reservation *Reservation
	source      *Source
}

// Reserve reserves a number of bytes and reports whether that many are left.
func (s Share) Reserve(bytes int) bool {
	r := s.reservation
	if r.freeUsed+int64(bytes) <= FreeBytes {
		r.freeUsed += int64(bytes)
		return true
	}
	if !r.pool.reserve(s.source, int64(bytes)) {
		return false
	}
	r.parts = append(r.parts, part{s.source, int64(bytes)})
	return true
}

// Release returns all that was reserved.
func (r *Reservation) Release() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	for _, p := range r.parts {
		r.pool.reserved -= p.bytes
		p.source.bytes -= p.bytes
	}
	r.parts, r.freeUsed = nil, 0
}
