package standin

import (
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

const reportInterval = 100 * clock.Millisecond

// reports keeps recent loads, so that announcements can carry an old one.
type reports struct {
	lag       clock.Millis
	factor    float64 // multiplies lag
	mu        sync.Mutex
	kept      []report
	generated int
}

type report struct {
	at   clock.Millis
	load loadWire
}

func newReports(lag clock.Millis) *reports {
	return &reports{lag: lag, factor: 1}
}

func (r *reports) add(now clock.Millis, load loadWire, generated int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	load.TokensPerSecond = float64(generated-r.generated) * float64(clock.Second) / float64(reportInterval)
	r.generated = generated
	r.kept = append(r.kept, report{at: now, load: load})
	lag := clock.Millis(float64(r.lag) * r.factor)
	for len(r.kept) > 1 && r.kept[1].at <= now-lag {
		r.kept = r.kept[1:]
	}
}

func (r *reports) setFactor(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.factor = factor
}

// lagged returns the newest load that is at least as old as the lag.
func (r *reports) lagged(now clock.Millis) loadWire {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.kept) == 0 {
		return loadWire{}
	}
	oldest := r.kept[0]
	oldest.load.AgeMS = int64(now - oldest.at)
	return oldest.load
}

// observe records the engine's load.
func (e *Engine) observe() {
	b := e.batch
	b.mu.Lock()
	load := loadWire{
		Running: len(b.running),
		Waiting: len(b.waiting),
		KVUsed:  b.heldTokens() + b.cache.tokens(),
		KVTotal: b.options.KVTokens,
	}
	generated := b.stats.generated
	b.mu.Unlock()
	e.reports.add(e.options.Clock.Now(), load, generated)
}
