package relay

import "sync/atomic"

// memoryPool is the memory for the bodies of messages that the relay holds. It is safe for
// concurrent use.
type memoryPool struct {
	limit    int64 // bytes
	reserved atomic.Int64
}

// reservation is the part of a pool that one request holds. It is not safe for concurrent
// use.
type reservation struct {
	pool  *memoryPool
	bytes int64
}

// Reserve implements frame.Memory.
func (r *reservation) Reserve(bytes int) bool {
	if r.pool.reserved.Add(int64(bytes)) > r.pool.limit {
		r.pool.reserved.Add(-int64(bytes))
		return false
	}
	r.bytes += int64(bytes)
	return true
}

// release returns all that was reserved.
func (r *reservation) release() {
	r.pool.reserved.Add(-r.bytes)
	r.bytes = 0
}
