package event

import (
	"sync"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
)

// Limiter writes an event at most once in an interval, for events that other processes can
// cause at any rate. It is safe for concurrent use.
type Limiter struct {
	logger   Logger
	interval clock.Millis

	mu         sync.Mutex
	nextAt     clock.Millis // when the next line may be written
	suppressed uint64       // events since the latest line
}

// NewLimiter returns a limiter that writes to a logger.
func NewLimiter(logger Logger, interval clock.Millis) *Limiter {
	return &Limiter{logger: logger, interval: interval}
}

// Log writes an event with its fields and the number of those that were left out since the
// latest line, or counts it among them.
func (l *Limiter) Log(now clock.Millis, e Event, fields ...zap.Field) {
	l.mu.Lock()
	if now < l.nextAt {
		l.suppressed++
		l.mu.Unlock()
		return
	}
	suppressed := l.suppressed
	l.nextAt, l.suppressed = now+l.interval, 0
	l.mu.Unlock()
	l.logger.Log(e, append(fields, zap.Uint64("suppressed", suppressed))...)
}
