package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a duration in milliseconds. Points in time come
// from the monotonic clock of one process and mean nothing in another process;
// only durations and ages may cross a wire.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
)

// Duration converts m for use with the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a standard duration, rounding down to milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// source is what a Clock reads time from.
type source interface {
	now() Millis
	wall() Millis
	after(delay Millis) (<-chan struct{}, func())
}

// Clock tells monotonic time, waits, and tells the time of day where a
// protocol needs it. The zero value is not usable; use New or NewManual.
type Clock struct {
	source source
}

// New returns a clock that reads the machine's time.
func New() Clock {
	return Clock{source: &systemSource{start: sinceBoot()}}
}

// Now returns the monotonic time since the clock was made.
func (c Clock) Now() Millis {
	return c.source.now()
}

// Wall returns the time of day in milliseconds since the Unix epoch. It is used
// for identifiers and records, never for leases or timeouts.
func (c Clock) Wall() Millis {
	return c.source.wall()
}

// Deadline returns the moment after a delay, for connections, which take a time
// of day and turn it into a delay at once.
func (c Clock) Deadline(delay Millis) time.Time {
	return time.Now().Add(delay.Duration())
}

// After returns a channel that is closed once delay has passed, and a function
// that releases the timer early.
func (c Clock) After(delay Millis) (<-chan struct{}, func()) {
	return c.source.after(delay)
}

// Sleep waits for delay or until ctx ends, and reports whether the whole delay
// has passed.
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

// Every calls f each interval until ctx ends. A call that takes longer than the
// interval delays the next one; calls never overlap.
func (c Clock) Every(ctx context.Context, interval Millis, f func()) {
	for c.Sleep(ctx, interval) {
		f()
	}
}

// systemSource reads the clock that goes on while the VM is suspended. A lease
// that is measured without that time would outlive its grant.
type systemSource struct {
	start time.Duration
}

func (s *systemSource) now() Millis {
	return FromDuration(sinceBoot() - s.start)
}

// sinceBoot returns the time since the VM started, suspended time included.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported kernel has this clock
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
