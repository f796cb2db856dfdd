package entry

import (
	"sync/atomic"

	"github.com/galenaslip/galenaslip/attainment"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// ledger collects what the account of one request needs.
type ledger struct {
	dispatched clock.Millis // the last one
	sends      int
	delivered  int
	// wasted is added to by cancels in the background, which learn how far an
	// engine came after this request had left it.
	wasted atomic.Int64
}

// sent records a dispatch.
func (l *ledger) sent(now clock.Millis) {
	l.dispatched = now
	l.sends++
}

// account reports the request's only outcome to the collector, which drops and
// counts it when it is full.
func (e *Entry) account(w *work, l *ledger, kind outcome.Kind, reason outcome.Reason) {
	s := attainment.Sample{
		Class:        w.class,
		Outcome:      kind,
		Reason:       reason,
		Completion:   e.options.Clock.Now() - w.arrived,
		Delivered:    l.delivered,
		WastedTokens: int(l.wasted.Load()),
		Retries:      max(l.sends-1, 0),
	}
	if l.sends > 0 {
		s.QueueWait = l.dispatched - w.arrived
	}
	if first := clock.Millis(w.firstToken.Load()); first > 0 {
		s.FirstToken = first - w.arrived
	}
	e.collector.Record(s)
}
