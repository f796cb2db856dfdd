package quarantine

import (
	"maps"
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/samber/lo"

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
	// abandonedCheckInterval is the shortest time between two checks of a run for requests that
	// come again after they were abandoned there.
	abandonedCheckInterval = 1 * clock.Second
	// maxAbandonedChecks bounds the checks that run at a time when one for an abandoned request is to
	// begin: a check of a silent host holds a connection for as long as opening one may take.
	maxAbandonedChecks = 16
	// dropInterval is the shortest time between two searches for runs that are remembered too long.
	dropInterval = 1 * clock.Second
	// maxEndCheckWait is the longest time that a request waits for the checks whether servers have
	// ended under it, before it is sent to another one or the caller, who may come again at once,
	// is told.
	maxEndCheckWait = 50 * clock.Millisecond
	// maxAbandonedDigests bounds the digests of abandoned requests that are remembered, and
	// maxAbandonedRuns the runs of servers that are remembered for each.
	maxAbandonedDigests = 4096
	maxAbandonedRuns    = minEnds
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
// if a later run announces itself there.
//
// A request that was abandoned, because this process has closed the connection itself, may go on
// running there. It counts as lost too if its server ends soon after. EndChecks is safe for
// concurrent use.
type EndChecks struct {
	clock clock.Clock
	onEnd func(run ServerRun, lostRequests int)

	mu        sync.Mutex
	checks    map[ServerRun]*endCheck
	running   int                                // number of checks that are running
	dropAt    clock.Millis                       // when runs that are remembered too long are searched for next
	abandoned *lru.Cache[string, []abandonedRun] // newest last, by the digest of the request
}

// endCheck is what is known about one run of a server since a connection to it was lost.
type endCheck struct {
	address   string
	usedAt    clock.Millis // when the newest connection was lost, or the newest request abandoned
	checkedAt clock.Millis // when the newest check was finished; valid if checked is set
	checked   bool
	silent    bool          // the newest check got no answer
	startedAt clock.Millis  // when the running check began
	running   chan struct{} // closed when the running check is finished; nil if none is running
	ended     bool
	lost      []func()           // called if the run has ended
	abandoned []abandonedRequest // oldest first
	// checkAbandoned checks the server for the abandoned requests.
	checkAbandoned func() Listening
}

// abandonedRequest is a request that may still run at a server although its connection is closed.
type abandonedRequest struct {
	at    clock.Millis
	ended func() // called if the run has ended
}

// abandonedRun is a run of a server at which a request was abandoned. The slices of the cache are
// not changed after they were added.
type abandonedRun struct {
	run ServerRun
	at  clock.Millis
}

// NewEndChecks returns checks without anything known. It calls onEnd for each run of a server
// that has ended, with the number of requests that were lost until then.
func NewEndChecks(c clock.Clock, onEnd func(run ServerRun, lostRequests int)) *EndChecks {
	abandoned, err := lru.New[string, []abandonedRun](maxAbandonedDigests)
	if err != nil {
		panic(err) // cannot happen: the size is positive
	}
	return &EndChecks{clock: c, onEnd: onEnd, checks: map[ServerRun]*endCheck{}, abandoned: abandoned}
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
	c.usedAt = now
	if len(c.lost) < maxLostRequests {
		c.lost = append(c.lost, ended)
	}
	if c.running != nil {
		return c.running
	}
	if c.checked && now-c.checkedAt < sameLossTime {
		return finished
	}
	return e.start(run, c, check)
}

// RequestAbandoned records that this process has closed the connection under a request, given by
// its digest, that a run of a server may still be working on. It calls ended if the run ends soon
// after. CheckAbandoned uses check to find that out.
func (e *EndChecks) RequestAbandoned(run ServerRun, address, digest string, check func() Listening, ended func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	c := e.known(now, run, address)
	if c == nil {
		return
	}
	if c.ended {
		ended()
		return
	}
	c.usedAt, c.checkAbandoned = now, check
	c.dropAbandoned(now)
	if len(c.abandoned) >= maxLostRequests {
		c.abandoned = slices.Delete(c.abandoned, 0, 1)
	}
	c.abandoned = append(c.abandoned, abandonedRequest{at: now, ended: ended})
	others := lo.Reject(e.abandonedRuns(now, digest), func(r abandonedRun, _ int) bool { return r.run == run })
	others = others[max(len(others)+1-maxAbandonedRuns, 0):]
	e.abandoned.Add(digest, append(others, abandonedRun{run: run, at: now}))
}

// abandonedRuns returns the runs at which requests with a digest were abandoned lately. The caller
// holds the lock.
func (e *EndChecks) abandonedRuns(now clock.Millis, digest string) []abandonedRun {
	runs, _ := e.abandoned.Peek(digest)
	return lo.Filter(runs, func(r abandonedRun, _ int) bool { return now-r.at <= endCheckRetention })
}

// HasAbandoned reports whether any request was abandoned lately. It spares callers the digests
// of all others.
func (e *EndChecks) HasAbandoned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abandoned.Len() > 0
}

// CheckAbandoned checks the runs at which requests with a digest were abandoned lately, so that a
// request that ends servers is known before it is sent to the next one. It begins at most one check
// of a run in abandonedCheckInterval. It returns a channel for each running check that may end
// soon, which is closed when that one is finished. A host that has not answered so far probably stays
// silent: nobody waits for it.
func (e *EndChecks) CheckAbandoned(digest string) []<-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	var running []<-chan struct{}
	for _, r := range e.abandonedRuns(now, digest) {
		c, ok := e.checks[r.run]
		if !ok || c.checkAbandoned == nil {
			continue
		}
		mayCheck := e.running < maxAbandonedChecks && (!c.checked || now-c.checkedAt >= abandonedCheckInterval)
		if c.running == nil && mayCheck {
			e.start(r.run, c, c.checkAbandoned)
		}
		if c.running != nil && !c.silent && now-c.startedAt < maxEndCheckWait {
			running = append(running, c.running)
		}
	}
	return running
}

// Unsettled returns the number of runs at which requests with a digest were abandoned lately, and
// that are not known to have ended since.
func (e *EndChecks) Unsettled(digest string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return lo.CountBy(e.abandonedRuns(e.clock.Now(), digest), func(r abandonedRun) bool {
		c, ok := e.checks[r.run]
		return ok && !c.ended
	})
}

// Await waits until checks are finished, but not for long.
func (e *EndChecks) Await(checks ...<-chan struct{}) {
	if len(checks) == 0 {
		return
	}
	waited, stop := e.clock.After(maxEndCheckWait)
	defer stop()
	for _, checked := range checks {
		select {
		case <-checked:
		case <-waited:
			return
		}
	}
}

// dropAbandoned drops the requests that were abandoned too long ago to have ended the server.
func (c *endCheck) dropAbandoned(now clock.Millis) {
	c.abandoned = slices.DeleteFunc(c.abandoned, func(a abandonedRequest) bool { return now-a.at > endCheckRetention })
}

// start starts a check of a run and returns a channel that is closed when it is finished. The
// caller holds the lock.
func (e *EndChecks) start(run ServerRun, c *endCheck, check func() Listening) <-chan struct{} {
	c.running, c.startedAt = make(chan struct{}), e.clock.Now()
	e.running++
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
	c, ok := e.checks[run]
	if now >= e.dropAt || len(e.checks) >= maxEndChecks || ok && c.isExpired(now) {
		e.dropExpired(now)
		c, ok = e.checks[run]
	}
	if !ok && (len(e.checks) < maxEndChecks || e.forgetAbandoned()) {
		c = &endCheck{address: address, usedAt: now}
		e.checks[run] = c
	}
	return c
}

// forgetAbandoned forgets the run at which no request was abandoned for the longest time, of those
// that lost no connection, and reports whether there is one. The caller holds the lock.
func (e *EndChecks) forgetAbandoned() bool {
	var oldest ServerRun
	found := false
	for run, c := range e.checks {
		if len(c.lost) == 0 && !c.ended && c.running == nil && (!found || c.usedAt < e.checks[oldest].usedAt) {
			oldest, found = run, true
		}
	}
	delete(e.checks, oldest)
	return found
}

// run checks whether a server still listens.
func (e *EndChecks) run(run ServerRun, c *endCheck, check func() Listening) {
	result := check()
	e.mu.Lock()
	defer e.mu.Unlock()
	c.checkedAt, c.checked, c.silent = e.clock.Now(), true, result == ListeningUnknown
	e.running--
	if result == ListeningNo {
		e.confirm(run, c)
	}
	close(c.running)
	c.running = nil
}

// ServerAnnounced records that a run of a server announces itself at an address, so that
// earlier runs there have ended. Runs that lately lost no connection and at which no request was
// abandoned are left out.
func (e *EndChecks) ServerAnnounced(run ServerRun, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	for former, c := range e.checks {
		if c.address == address && former.StartedAt < run.StartedAt && now-c.usedAt <= endCheckRetention {
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

// DropExpired drops what is known about runs that lately lost no connection and at which no
// request was abandoned.
func (e *EndChecks) DropExpired() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropExpired(e.clock.Now())
}

// dropExpired is DropExpired for callers that hold the lock.
func (e *EndChecks) dropExpired(now clock.Millis) {
	e.dropAt = now + dropInterval
	maps.DeleteFunc(e.checks, func(_ ServerRun, c *endCheck) bool { return c.isExpired(now) })
	if len(e.checks) == 0 {
		e.abandoned.Purge()
	}
}

// isExpired reports whether a run lost no connection lately, and no request was abandoned there.
func (c *endCheck) isExpired(now clock.Millis) bool {
	return c.running == nil && now-c.usedAt > endCheckRetention
}

// confirm records that a run has ended. The caller holds the lock.
func (e *EndChecks) confirm(run ServerRun, c *endCheck) {
	if c.ended {
		return
	}
	c.ended = true
	c.dropAbandoned(e.clock.Now())
	e.onEnd(run, len(c.lost)+len(c.abandoned))
	for _, ended := range c.lost {
		ended()
	}
	// The quarantine takes a bounded number of requests for each server. The later a request was
	// abandoned, the more likely it was the cause.
	for _, a := range slices.Backward(c.abandoned) {
		a.ended()
	}
	c.lost, c.abandoned, c.checkAbandoned = nil, nil, nil
}
