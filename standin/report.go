package standin

import (
	"context"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

// reportInterval is the interval at which the engine's load is recorded.
const reportInterval = 100 * clock.Millisecond

// reports keeps the recent load values, so that announcements can carry outdated ones as
// those of real engines do.
// It is safe for concurrent use.
type reports struct {
	lag             clock.Millis // age of the announced load values
	lagFactor       float64      // multiplies lag
	mu              sync.Mutex
	history         []report // oldest first
	generatedTokens int      // token count of the latest report
}

type report struct {
	recordedAt clock.Millis
	load       loadWire
}

func newReports(lag clock.Millis) *reports {
	return &reports{lag: lag, lagFactor: 1}
}

// add appends a load value and removes the ones that are older than needed. The token
// rate is computed from the number of tokens generated since the previous value.
func (r *reports) add(now clock.Millis, load loadWire, generatedTokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	load.TokensPerSecond = float64(generatedTokens-r.generatedTokens) * float64(clock.Second) / float64(reportInterval)
	r.generatedTokens = generatedTokens
	r.history = append(r.history, report{recordedAt: now, load: load})
	lag := clock.Millis(float64(r.lag) * r.lagFactor)
	for len(r.history) > 1 && r.history[1].recordedAt <= now-lag {
		r.history = r.history[1:]
	}
}

// setFaultFactor sets the factor by which the LateReports fault multiplies the lag.
func (r *reports) setFaultFactor(lagFactor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lagFactor = lagFactor
}

// delayedLoad returns the newest load value that is at least as old as the lag, with
// its age.
func (r *reports) delayedLoad(now clock.Millis) loadWire {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.history) == 0 {
		return loadWire{}
	}
	oldest := r.history[0]
	oldest.load.AgeMS = int64(now - oldest.recordedAt)
	return oldest.load
}

// recordLoads records the engine's load at each interval until ctx ends.
func (e *Engine) recordLoads(ctx context.Context) {
	e.options.Clock.Every(ctx, reportInterval, e.recordLoad)
}

func (e *Engine) recordLoad() {
	b := e.batch
	b.mu.Lock()
	load := loadWire{
		Running: len(b.running),
		Waiting: len(b.waiting),
		KVUsed:  b.kvTokensInUse() + b.cache.tokenCount(),
		KVTotal: b.options.KVTokens,
	}
	generatedTokens := b.stats.generatedTokens
	b.mu.Unlock()
	e.reports.add(e.options.Clock.Now(), load, generatedTokens)
}
