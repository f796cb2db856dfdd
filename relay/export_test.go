package relay

import "github.com/galenaslip/galenaslip/clock"

// Forecast gives tests access to the forecast of the waits at one service's engines.
type Forecast struct{ pool *pool }

// NewForecast returns a forecast without any recorded waits.
func NewForecast() Forecast { return Forecast{&pool{waitRates: map[int]waitRate{}}} }

// RecordWait records how long a request of a rank waited for its first byte at an
// engine with the given work, in equivalent prompt tokens.
func (f Forecast) RecordWait(now clock.Millis, rank int, work float64, wait clock.Millis) {
	f.pool.recordWait(now, rank, work, wait)
}

// TooLate reports whether a request is refused because it would begin too late. The
// parameter work is the work at the engine, in equivalent prompt tokens.
func (f Forecast) TooLate(now clock.Millis, rank, lessUrgentRankCount int, target clock.Millis, mayRefuseAsTooLate bool, work float64) bool {
	return f.pool.tooLate(now, requirements{rank: rank, lessUrgentRankCount: lessUrgentRankCount, target: target, mayRefuseAsTooLate: mayRefuseAsTooLate}, work)
}
