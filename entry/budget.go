package entry

import "sync"

// Retry budget: retries may be a share of requests, with a small reserve so
// that the first failures after a quiet time are retried.
const (
	defaultRetryPercentage = 10
	retryReserve           = 10
)

// budget bounds retries to a share of requests.
type budget struct {
	mu    sync.Mutex
	share float64
	left  float64
}

func newBudget(percentage int) *budget {
	return &budget{share: float64(orDefault(percentage, defaultRetryPercentage)) / 100, left: retryReserve}
}

// add counts a request.
func (b *budget) add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+b.share, retryReserve)
}

// take reports whether one more retry is allowed, and counts it.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
