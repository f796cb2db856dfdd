package entry

import (
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

// The second and later retries of a request wait, so that eight attempts last
// longer than an engine's announcements remain valid after its crash.
const (
	firstBackoff = 50 * clock.Millisecond
	maxBackoff   = 2 * clock.Second
)

// backoff returns the wait after a number of failed attempts.
func backoff(attempts int) clock.Millis {
	if attempts <= 1 {
		return 0
	}
	return min(firstBackoff<<(attempts-2), maxBackoff)
}

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
