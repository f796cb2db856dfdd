package entry

import (
	"sync/atomic"

	"github.com/galenaslip/galenaslip/attainment"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// requestStats collects the figures of one request that are reported to the
// attainment collector when it ends.
type requestStats struct {
	lastDispatch    clock.Millis
	dispatches      int // number of times that the request was dispatched to a server
	deliveredTokens int // tokens delivered to the caller
	// wastedTokens counts tokens that were generated and not delivered. It is atomic
	// because cancel calls in the background add to it: an engine reports the final
	// position of an answer after the request has moved to another server or ended.
	wastedTokens atomic.Int64
}

// recordDispatch records that the request was dispatched to a server.
func (s *requestStats) recordDispatch(now clock.Millis) {
	s.lastDispatch = now
	s.dispatches++
}

// recordOutcome reports the outcome of a request to the attainment collector. It is
// called once per request. A full collector drops the sample and counts the drop.
func (e *Entry) recordOutcome(r *callerRequest, figures *requestStats, kind outcome.Kind, reason outcome.Reason) {
	sample := attainment.Sample{
		Class:           r.class,
		Outcome:         kind,
		Reason:          reason,
		Completion:      e.options.Clock.Now() - r.arrived,
		DeliveredTokens: figures.deliveredTokens,
		WastedTokens:    int(figures.wastedTokens.Load()),
		Retries:         max(figures.dispatches-1, 0),
	}
	if figures.dispatches > 0 {
		sample.QueueWait = figures.lastDispatch - r.arrived
	}
	if tokenAt := clock.Millis(r.firstTokenAt.Load()); tokenAt > 0 {
		sample.FirstToken = tokenAt - r.arrived
	}
	e.collector.Record(sample)
}
