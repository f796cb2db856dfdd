package entry

import (
	"sync"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/retry"
)

// The second and later continuations of a request wait, so that eight attempts
// last longer than an engine's announcements remain valid after its crash.
const (
	firstBackoff = 50 * clock.Millisecond
	maxBackoff   = 2 * clock.Second
)

// backoff returns the wait of a continuation after a number of failed attempts.
func backoff(attempts int) clock.Millis {
	if attempts <= 1 {
		return 0
	}
	return min(firstBackoff<<(attempts-2), maxBackoff)
}

// budget shares the retry budget between the goroutines of the requests.
type budget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newBudget(percentage int, seed uint64) *budget {
	return &budget{budget: retry.New(retry.Options{Percent: percentage, Attempts: maxAttempts, Seed: seed})}
}

// add counts a request.
func (b *budget) add() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.CountRequest()
}

// take decides on failed work. A granted retry waits for the delay.
func (b *budget) take(work retry.Work) (clock.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.budget.Retry(work)
	return d.Delay, d.Verdict == retry.Granted
}
