package relay

import "github.com/galenaslip/galenaslip/clock"

// Forecast is the forecast of waits of one service, for tests.
type Forecast struct{ pool *pool }

// NewForecast returns a forecast that has seen no request.
func NewForecast() Forecast { return Forecast{&pool{paces: map[int]pace{}}} }

// Learn notes a wait.
func (f Forecast) Learn(now clock.Millis, rank int, work float64, wait clock.Millis) {
	f.pool.learn(now, rank, work, wait)
}

// Late reports whether a request is refused.
func (f Forecast) Late(now clock.Millis, rank, below int, target clock.Millis, yields bool, work float64) bool {
	return f.pool.late(now, need{rank: rank, below: below, target: target, yields: yields}, work)
}
