package pace

import "github.com/galenaslip/galenaslip/clock"

// Meter measures one transfer. It is not safe for concurrent use.
type Meter struct {
	period   clock.Millis
	minBytes int
	endsAt   clock.Millis // end of the current period
	bytes    int          // transferred in the current period
}

// New returns a meter for a transfer that starts now and must transfer at least minBytes in
// each period.
func New(now, period clock.Millis, minBytes int) *Meter {
	return &Meter{period: period, minBytes: minBytes, endsAt: now + period}
}

// Add records transferred bytes. Once they are enough, the next period begins.
func (m *Meter) Add(now clock.Millis, bytes int) {
	m.bytes += bytes
	if m.bytes >= m.minBytes {
		m.bytes, m.endsAt = 0, now+m.period
	}
}

// TimeLeft returns the time after which the transfer counts as stalled, unless enough bytes
// are transferred before. It is at least 0.
func (m *Meter) TimeLeft(now clock.Millis) clock.Millis { return max(m.endsAt-now, 0) }
