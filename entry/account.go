package entry

import (
	"context"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// accountSize is the capacity of the channel of samples. When it is full, the
// sample is dropped and counted; the request is not delayed.
const accountSize = 4096

// sample is the only outcome of one request.
type sample struct {
	work   *work
	kind   outcome.Kind
	reason outcome.Reason
	ended  clock.Millis
}

// accountant counts outcomes on a goroutine of its own.
type accountant struct {
	samples chan sample
	metrics *metrics
}

func newAccountant(m *metrics) *accountant {
	return &accountant{samples: make(chan sample, accountSize), metrics: m}
}

func (a *accountant) run(ctx context.Context) {
	for {
		select {
		case s := <-a.samples:
			a.add(s)
		case <-ctx.Done():
			return
		}
	}
}

func (a *accountant) add(s sample) {
	a.metrics.requests.WithLabelValues(s.work.class.Name(), string(s.kind), string(s.reason)).Inc()
}

func (e *Entry) account(s sample) {
	select {
	case e.accountant.samples <- s:
	default:
		e.metrics.samples.Inc()
	}
}
