package retry

import (
	"math/rand/v2"

	"github.com/galenaslip/galenaslip/clock"
)

// Defaults of the fields of Options.
const (
	// DefaultRetryPercent is the percentage of requests that may be retried.
	DefaultRetryPercent = 10
	// DefaultMaxSavedRetries is enough for the requests of several engines that fail at once.
	// With a larger limit, retries saved up during a quiet hour could cause a retry
	// storm.
	DefaultMaxSavedRetries = 100
	DefaultAttempts        = 3
	DefaultBaseDelay       = 50 * clock.Millisecond
	DefaultMaxDelay        = 2 * clock.Second
)

// retryCost is the cost of one retry in the unit of Budget.balance.
const retryCost = 100

// Options configure a budget. Fields that are zero get their defaults.
type Options struct {
	// RetryPercent is the number of retries that 100 requests add to the budget.
	RetryPercent int
	// MaxSavedRetries is the maximum number of unused retries that the budget can contain.
	MaxSavedRetries int
	// Attempts is how often one request may be sent, including the first time.
	Attempts int
	// BaseDelay is the delay before the first retry. It doubles with each further retry, up
	// to MaxDelay.
	BaseDelay, MaxDelay clock.Millis
	// Seed is the seed of the random part of the delays.
	Seed uint64
}

func (o Options) withDefaults() Options {
	o.RetryPercent = orDefault(o.RetryPercent, DefaultRetryPercent)
	o.MaxSavedRetries = orDefault(o.MaxSavedRetries, DefaultMaxSavedRetries)
	o.Attempts = orDefault(o.Attempts, DefaultAttempts)
	o.BaseDelay = orDefault(o.BaseDelay, DefaultBaseDelay)
	o.MaxDelay = orDefault(o.MaxDelay, DefaultMaxDelay)
	return o
}

func orDefault[T int | clock.Millis](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Result says whether a failed request is sent again, or why not.
type Result string

// The possible results.
const (
	// Granted means that the request is sent again.
	Granted Result = "granted"
	// OnceOnly refuses a retry because the call may have run and must not run twice.
	OnceOnly Result = "once_only"
	// TooManyAttempts refuses a retry because the request was sent as often as allowed.
	TooManyAttempts Result = "too_many_attempts"
	// NoBudget refuses a retry because the budget is used up by earlier retries.
	NoBudget Result = "no_budget"
)

// FailedRequest describes a failed request.
type FailedRequest struct {
	// Attempts is how often the request was sent.
	Attempts int
	// OnceOnly marks a non-idempotent call.
	OnceOnly bool
}

// Decision says whether a failed request is sent again. If the retry is granted,
// Delay is the time until then.
type Decision struct {
	Result Result
	Delay  clock.Millis
}

// Budget limits retries to a percentage of the requests. It is not safe for concurrent
// use.
type Budget struct {
	options Options
	random  *rand.Rand
	balance int // retries that may still be granted, in hundredths of a retry
	granted uint64
	refused uint64
}

// New returns an empty budget: retries that each start adds would not be bounded by the requests.
func New(options Options) *Budget {
	o := options.withDefaults()
	return &Budget{options: o, random: rand.New(rand.NewPCG(o.Seed, 0))}
}

// CountRequest counts a new request, which adds a fraction of a retry to the budget.
func (b *Budget) CountRequest() {
	b.balance = min(b.balance+b.options.RetryPercent, b.options.MaxSavedRetries*retryCost)
}

// Decide decides whether a failed request is sent again. A granted retry is deducted
// from the budget.
func (b *Budget) Decide(failed FailedRequest) Decision {
	result := b.result(failed)
	if result != Granted {
		b.refused++
		return Decision{Result: result}
	}
	b.granted++
	b.balance -= retryCost
	return Decision{Result: Granted, Delay: b.delay(failed.Attempts)}
}

// Granted returns the number of granted retries.
func (b *Budget) Granted() uint64 { return b.granted }

// Refused returns the number of refused retries.
func (b *Budget) Refused() uint64 { return b.refused }

func (b *Budget) result(failed FailedRequest) Result {
	switch {
	case failed.OnceOnly:
		return OnceOnly
	case failed.Attempts >= b.options.Attempts:
		return TooManyAttempts
	case b.balance < retryCost:
		return NoBudget
	}
	return Granted
}

// delay returns the delay before the next attempt, which doubles with each attempt. Up
// to half of it is random, so that requests that failed together are not sent again at
// the same time.
func (b *Budget) delay(attempts int) clock.Millis {
	fullDelay := b.options.BaseDelay
	for i := 1; i < attempts && fullDelay < b.options.MaxDelay; i++ {
		fullDelay *= 2
	}
	fullDelay = min(fullDelay, b.options.MaxDelay)
	halfDelay := fullDelay / 2
	return fullDelay - halfDelay + clock.Millis(b.random.Int64N(int64(halfDelay)+1))
}
