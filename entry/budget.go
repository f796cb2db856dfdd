package entry

import (
	"sync"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/retry"
)

// The second and later retries of a request wait, so that eight attempts last
// longer than the announcements of a crashed engine stay valid.
const (
	firstBackoff = 50 * clock.Millisecond
	maxBackoff   = 2 * clock.Second
)

// backoff returns the delay before the next attempt after a number of failed ones.
func backoff(attempts int) clock.Millis {
	if attempts <= 1 {
		return 0
	}
	return min(firstBackoff<<(attempts-2), maxBackoff)
}

// budget makes the retry budget safe for concurrent use by the requests' goroutines.
type budget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newBudget(percentage int, seed uint64) *budget {
	return &budget{budget: retry.New(retry.Options{RetryPercent: percentage, Attempts: maxAttempts, Seed: seed})}
}

// addRequest counts a request, which enlarges the budget.
func (b *budget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.CountRequest()
}

// allowRetry reports whether the budget permits another attempt after a failed one,
// and returns how long to wait before it.
func (b *budget) allowRetry(work retry.FailedRequest) (clock.Millis, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.budget.Decide(work)
	return d.Delay, d.Result == retry.Granted
}
