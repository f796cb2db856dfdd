package quarantine

import (
	"maps"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// maxEndChecks bounds the runs of servers that are remembered after a lost connection.
	maxEndChecks = 256
	// maxLostRequests bounds the lost requests that wait for news about one run of a server.
	maxLostRequests = 64
	// endCheckRetention is how long a run of a server is remembered after a lost connection.
	// A server that has started again announces itself within this time.
	endCheckRetention = 10 * clock.Second
	// sameLossTime is how long after a check further lost connections are covered by it: the
	// attempts of one moment notice the loss at slightly different times.
	sameLossTime = 100 * clock.Millisecond
)

// Listening is what a check has found out about the address of a server.
type Listening uint8

// The possible results.
const (
	// ListeningUnknown means that the check got no answer, for example because the network is
	// cut.
	ListeningUnknown Listening = iota
	// ListeningYes means that a process accepts connections there.
	ListeningYes
	// ListeningNo means that the host refuses connections because no process listens.
	ListeningNo
)

// EndChecks finds out whether servers have ended when connections to them are lost. A lost
// connection alone does not tell: something between the two ends may have reset it, or the
// server may have closed it. A server has ended if nothing listens at its address any more, or
// if a later run announces itself there. It is safe for concurrent use.
type EndChecks struct {
	clock clock.Clock
	onEnd func(run ServerRun, lostRequests int)

	mu     sync.Mutex
	checks map[ServerRun]*endCheck
}

// endCheck is what is known about one run of a server since a connection to it was lost.
type endCheck struct {
	address   string
	lostAt    clock.Millis // when the newest connection was lost
	checkedAt clock.Millis // when the newest check was finished; valid if checked is set
	checked   bool
	running   chan struct{} // closed when the running check is finished; nil if none is running
	ended     bool
	lost      []func() // called if the run has ended
}

// NewEndChecks returns checks without anything known. It calls onEnd for each run of a server
// that has ended, with the number of requests that were lost until then.
func NewEndChecks(c clock.Clock, onEnd func(run ServerRun, lostRequests int)) *EndChecks {
	return &EndChecks{clock: c, onEnd: onEnd, checks: map[ServerRun]*endCheck{}}
}

// ConnectionLost records that a connection to a run of a server was lost under a request. It
// calls ended once it is known that the run has ended, and never if that stays unknown. It runs
// at most one check of a run at a time, in a goroutine of its own; the returned channel is
// closed when there is no check to wait for any more.
func (e *EndChecks) ConnectionLost(run ServerRun, address string, check func() Listening, ended func()) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	c := e.known(now, run, address)
	if c == nil {
		return finished
	}
	if c.ended {
		ended()
		return finished
	}
	c.lostAt = now
	if len(c.lost) < maxLostRequests {
		c.lost = append(c.lost, ended)
	}
	if c.running != nil {
		return c.running
	}
	if c.checked && now-c.checkedAt < sameLossTime {
		return finished
	}
	c.running = make(chan struct{})
	go e.run(run, c, check)
	return c.running
}

// finished is closed.
var finished = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// known returns what is known about a run. It returns nil if too many others are remembered.
// The caller holds the lock.
func (e *EndChecks) known(now clock.Millis, run ServerRun, address string) *endCheck {
	e.dropExpired(now)
	c, ok := e.checks[run]
	if !ok && len(e.checks) < maxEndChecks {
		c = &endCheck{address: address, lostAt: now}
		e.checks[run] = c
	}
	return c
}

// run checks whether a server still listens.
func (e *EndChecks) run(run ServerRun, c *endCheck, check func() Listening) {
	result := check()
	e.mu.Lock()
	defer e.mu.Unlock()
	c.checkedAt, c.checked = e.clock.Now(), true
	if result == ListeningNo {
		e.confirm(run, c)
	}
	close(c.running)
	c.running = nil
}

// ServerAnnounced records that a run of a server announces itself at an address, so that
// earlier runs there have ended. Runs under which no connection was lost lately are left out.
func (e *EndChecks) ServerAnnounced(run ServerRun, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for former, c := range e.checks {
		if c.address == address && former.StartedAt < run.StartedAt && now-c.lostAt <= endCheckRetention {
			e.confirm(former, c)
		}
	}
}

// Forget drops what is known about a run of a server that leaves: it ends by its own decision.
func (e *EndChecks) Forget(run ServerRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.checks[run]; ok && c.running == nil {
		delete(e.checks, run)
	}
}

// DropExpired drops what is known about runs under which no connection was lost lately.
func (e *EndChecks) DropExpired() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExpired(e.clock.Now())
}

// dropExpired is DropExpired for callers that hold the lock.
func (e *EndChecks) dropExpired(now clock.Millis) {
	maps.DeleteFunc(e.checks, func(_ ServerRun, c *endCheck) bool { return c.running == nil && now-c.lostAt > endCheckRetention })
}

// confirm records that a run has ended. The caller holds the lock.
func (e *EndChecks) confirm(run ServerRun, c *endCheck) {
	if c.ended {
		return
	}
	c.ended = true
	e.onEnd(run, len(c.lost))
	for _, ended := range c.lost {
		ended()
	}
	c.lost = nil
}
