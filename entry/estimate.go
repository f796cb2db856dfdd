package entry

import (
	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// estimateWeight is the weight of the newest request in the moving averages.
const estimateWeight = 0.1

// estimates predicts the service time of a request: the time from the assignment of
// a slot to the first token or to completion, depending on which of the two the latency
// target of its class refers to. It keeps moving averages of completed requests. Only the
// dispatcher's goroutine may use it.
type estimates struct {
	averages map[string]float64 // in milliseconds, by class and pool
}

func newEstimates() *estimates {
	return &estimates{averages: map[string]float64{}}
}

// predict returns the predicted service time of an item, or zero while no request
// of its class and pool has completed.
func (e *estimates) predict(item admission.Item) clock.Millis {
	return clock.Millis(e.averages[estimateKey(item.Class, item.Pool)])
}

// update updates the average with a completed request that got its slot at started.
func (e *estimates) update(now clock.Millis, r *callerRequest, started clock.Millis) {
	end := now
	if first := clock.Millis(r.firstTokenAt.Load()); r.class.Measure() == class.FirstToken && first > 0 {
		end = first
	}
	if end < started {
		return // the first token came from an earlier attempt
	}
	key := estimateKey(r.class, r.pool)
	average, ok := e.averages[key]
	if !ok {
		average = float64(end - started)
	}
	e.averages[key] = average + (float64(end-started)-average)*estimateWeight
}

func estimateKey(c class.Class, pool string) string {
	return c.Name() + " " + pool
}
