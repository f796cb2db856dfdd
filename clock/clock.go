package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a duration in milliseconds. Points in time from
// Clock.Now are valid only within one process; send durations or ages to another
// process instead.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

// Duration converts m to a duration of the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a duration of the standard library to milliseconds. It
// drops fractions of a millisecond.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// source provides the time and the timers of a Clock.
type source interface {
	now() Millis
	wall() Millis
	after(delay Millis) (<-chan struct{}, func())
}

// Clock returns the monotonic time and the time of day, and waits. It is safe for
// concurrent use. The zero value is not usable; use New or NewManual.
type Clock struct {
	source source
}

// New returns a clock with the time of the operating system.
func New() Clock {
	return Clock{source: &systemSource{start: timeSinceBoot()}}
}

// Now returns the monotonic time since the clock was created.
func (c Clock) Now() Millis {
	return c.source.now()
}

// Wall returns the time of day in milliseconds since the Unix epoch. Use it for
// identifiers, records and protocols that need it, never for leases or timeouts.
func (c Clock) Wall() Millis {
	return c.source.wall()
}

// Deadline returns the system time of day after a delay, for the SetDeadline
// methods of net.Conn. These convert it back to a delay when they are called.
func (c Clock) Deadline(delay Millis) time.Time {
	return time.Now().Add(delay.Duration())
}

// After returns a channel that is closed after delay, and a function that stops
// the timer. Call the function when the channel is no longer needed.
func (c Clock) After(delay Millis) (<-chan struct{}, func()) {
	return c.source.after(delay)
}

// Sleep waits for delay or until ctx is done. It returns false if ctx ended the
// wait.
func (c Clock) Sleep(ctx context.Context, delay Millis) bool {
	done, release := c.After(delay)
	defer release()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// TimeLeft returns the time until the deadline of ctx, and false if it has none.
func (c Clock) TimeLeft(ctx context.Context) (Millis, bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0, false
	}
	return max(FromDuration(time.Until(deadline)), 0), true
}

// Every calls f repeatedly until ctx is done. It waits for interval before each
// call, so calls never overlap and a slow call delays the next one.
func (c Clock) Every(ctx context.Context, interval Millis, f func()) {
	for c.Sleep(ctx, interval) {
		f()
	}
}

// systemSource is the time of the operating system. Its monotonic time includes
// the time for which the VM was suspended. Otherwise a lease could outlive its
// grant on a VM that was suspended.
type systemSource struct {
	start time.Duration
}

func (s *systemSource) now() Millis {
	return FromDuration(timeSinceBoot() - s.start)
}

// timeSinceBoot returns the time since the VM was booted, including the time for
// which it was suspended.
func timeSinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // cannot happen: every supported kernel has this clock
	}
	return time.Duration(t.Nano())
}

func (s *systemSource) wall() Millis {
	return Millis(time.Now().UnixMilli())
}

func (s *systemSource) after(delay Millis) (<-chan struct{}, func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(delay.Duration(), func() { close(done) })
	return done, func() { timer.Stop() }
}
