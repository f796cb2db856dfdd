package retry

import (
	"math/rand/v2"

	"github.com/galenaslip/galenaslip/clock"
)

// Defaults of Options.
const (
	// DefaultPercent is the share of requests that may be retried.
	DefaultPercent = 10
	// DefaultInitialRetries lets work be retried before many requests have arrived.
	DefaultInitialRetries = 3
	// DefaultMaxSavedRetries covers the requests of some failed engines at once; a larger
	// one lets an idle hour pay for a retry storm.
	DefaultMaxSavedRetries = 100
	DefaultAttempts        = 3
	DefaultBaseDelay       = 50 * clock.Millisecond
	DefaultMaxDelay        = 2 * clock.Second
)

// whole is one retry in the unit of the balance.
const whole = 100

// Options configure a budget. Zero fields have the defaults.
type Options struct {
	// Percent is the number of retries for each 100 requests.
	Percent int
	// InitialRetries is the number of retries at the start.
	InitialRetries int
	// MaxSavedRetries is the largest number of retries that can be saved up.
	MaxSavedRetries int
	// Attempts is the largest number of times that one piece of work is sent.
	Attempts int
	// BaseDelay is the delay before the first retry; it doubles up to Maximum.
	BaseDelay, MaxDelay clock.Millis
	// Seed drives the jitter.
	Seed uint64
}

func (o Options) withDefaults() Options {
	o.Percent = orDefault(o.Percent, DefaultPercent)
	o.InitialRetries = orDefault(o.InitialRetries, DefaultInitialRetries)
	o.MaxSavedRetries = orDefault(o.MaxSavedRetries, DefaultMaxSavedRetries)
	o.Attempts = orDefault(o.Attempts, DefaultAttempts)
	o.BaseDelay = orDefault(o.BaseDelay, DefaultBaseDelay)
	o.MaxDelay = orDefault(o.MaxDelay, DefaultMaxDelay)
	return o
}

func orDefault[T int | clock.Millis](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
}

// Verdict says whether work is sent again.
type Verdict string

// The verdicts.
const (
	Granted Verdict = "granted"
	// OnceOnly refuses because the call may have run and must not run twice.
	OnceOnly Verdict = "once_only"
	// TooManyAttempts refuses because the work was sent as often as allowed.
	TooManyAttempts Verdict = "too_many_attempts"
	// NoBudget refuses because too many requests were retried lately.
	NoBudget Verdict = "no_budget"
)

// Work describes failed work.
type Work struct {
	// Attempts counts how often the work was sent.
	Attempts int
	// OnceOnly marks a non-idempotent call.
	OnceOnly bool
}

// Decision is a verdict and, when granted, the delay before the work is sent.
type Decision struct {
	Verdict Verdict
	Delay   clock.Millis
}

// Budget grants retries for a share of requests.
type Budget struct {
	options Options
	random  *rand.Rand
	balance int // in hundredths of a retry
	granted uint64
	refused uint64
}

// New returns a budget that holds its reserve.
func New(options Options) *Budget {
	o := options.withDefaults()
	return &Budget{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		balance: min(o.InitialRetries, o.MaxSavedRetries) * whole,
	}
}

// CountRequest counts a new request, which adds its share of a retry.
func (b *Budget) CountRequest() {
	b.balance = min(b.balance+b.options.Percent, b.options.MaxSavedRetries*whole)
}

// Retry decides on failed work and takes a granted retry from the budget.
func (b *Budget) Retry(work Work) Decision {
	verdict := b.verdict(work)
	if verdict != Granted {
		b.refused++
		return Decision{Verdict: verdict}
	}
	b.granted++
	b.balance -= whole
	return Decision{Verdict: Granted, Delay: b.delay(work.Attempts)}
}

// Granted returns the number of granted retries.
func (b *Budget) Granted() uint64 { return b.granted }

// Refused returns the number of refused retries.
func (b *Budget) Refused() uint64 { return b.refused }

func (b *Budget) verdict(work Work) Verdict {
	switch {
	case work.OnceOnly:
		return OnceOnly
	case work.Attempts >= b.options.Attempts:
		return TooManyAttempts
	case b.balance < whole:
		return NoBudget
	}
	return Granted
}

// delay doubles with each attempt. Half of it is random, so that requests that
// failed together do not return together.
func (b *Budget) delay(attempts int) clock.Millis {
	full := b.options.BaseDelay
	for i := 1; i < attempts && full < b.options.MaxDelay; i++ {
		full *= 2
	}
	full = min(full, b.options.MaxDelay)
	half := full / 2
	return full - half + clock.Millis(b.random.Int64N(int64(half)+1))
}
