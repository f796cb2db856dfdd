package duty

import "github.com/galenaslip/galenaslip/clock"

// The pause after calls that were not accepted doubles from minPause to maxPause. The longest one is
// short compared with the time in which a report is due.
const (
	minPause = 100 * clock.Millisecond
	maxPause = 2 * clock.Second
)

// Budget paces the calls of all duties of a holder. It is not safe for concurrent use.
type Budget struct {
	interval clock.Millis // shortest time between two calls
	pause    clock.Millis // after the newest call that was not accepted; 0 after an accepted one
	nextAt   clock.Millis // when the next call may be made
}

// NewBudget returns a budget of at most callsPerSecond calls in any second.
func NewBudget(callsPerSecond float64) *Budget {
	// Two calls at both ends of a second must not make one too many, so that the interval is rounded up.
	return &Budget{interval: clock.Millis(float64(clock.Second)/callsPerSecond) + 1}
}

// Take reports whether a call may be made now, and counts it if so.
func (b *Budget) Take(now clock.Millis) bool {
	if now < b.nextAt {
		return false
	}
	b.nextAt = now + b.interval
	return true
}

// Record adapts the pace to the outcome of a call that ended now. Outcomes that say that the receiver
// cannot be reached, or does not carry out the call, lengthen the pause.
func (b *Budget) Record(now clock.Millis, o Outcome) {
	if o == Accepted {
		b.pause = 0
		return
	}
	b.pause = min(max(2*b.pause, minPause), maxPause)
	b.nextAt = max(b.nextAt, now+b.pause)
}

// Pause returns the current pause after calls that were not accepted.
func (b *Budget) Pause() clock.Millis { return b.pause }
