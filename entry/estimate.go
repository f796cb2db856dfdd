package entry

import (
	"github.com/galenaslip/galenaslip/admission"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// estimateWeight is the weight of the newest request in the moving averages.
const estimateWeight = 0.1

// estimates predicts the time from a slot to the moment that a class's target is
// measured to, from moving averages of ended requests. The dispatcher owns it.
type estimates struct {
	averages map[string]float64
}

func newEstimates() *estimates {
	return &estimates{averages: map[string]float64{}}
}

// service returns the prediction, or zero for a class without ended requests.
func (e *estimates) service(item admission.Item) clock.Millis {
	return clock.Millis(e.averages[estimateKey(item.Class, item.Pool)])
}

// learn records a completed request that got its slot at started.
func (e *estimates) learn(now clock.Millis, w *work, started clock.Millis) {
	end := now
	if first := clock.Millis(w.firstToken.Load()); w.class.Measure() == class.FirstToken && first > 0 {
		end = first
	}
	if end < started {
		return // the measured moment was before a continuation
	}
	key := estimateKey(w.class, w.pool)
	average, ok := e.averages[key]
	if !ok {
		average = float64(end - started)
	}
	e.averages[key] = average + (float64(end-started)-average)*estimateWeight
}

func estimateKey(c class.Class, pool string) string {
	return c.Name() + " " + pool
}
