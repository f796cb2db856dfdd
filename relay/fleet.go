package relay

import (
	"maps"
	"math/rand/v2"
	"sync"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/forecast"
	"github.com/galenaslip/galenaslip/promptcache"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/roster"
	"github.com/galenaslip/galenaslip/slowstart"
)

const (
	// unresponsiveAfter is how long a server may send no bytes while requests wait
	// for it. After that, requests that may run again are sent to another server.
	unresponsiveAfter = 1200 * clock.Millisecond
	// streamUnresponsiveAfter is the corresponding time for a stream that has begun.
	streamUnresponsiveAfter = 3500 * clock.Millisecond
	// newLeaderGrace is the time after a change of the control leader for which the new
	// leader may not have heard all servers and entries yet. A server that it has not sent in an
	// update does not count as silent, and entries that it has not counted still count.
	newLeaderGrace = 4 * clock.Second
	// unlistedRetention is how long a server is remembered that no leader lists any more and that sends no
	// bytes. Until then it may have lost only its connection to control.
	unlistedRetention = 10 * clock.Minute
	// silentGrace is how long a server that misses heartbeats stays in normal use
	// after the relay last received bytes from it: it may have lost only its connection
	// to control.
	silentGrace = 3 * clock.Second
	// goneRetention is how long gone servers are remembered, unless they have said that they leave.
	goneRetention = 60 * clock.Second
	// maxPromptParts bounds the parts of prompts that are remembered for all servers together. 32,768 of
	// them are remembered for certain: the different ones of a minute at 546 requests a second.
	maxPromptParts = 65_536
)

const (
	// maxEntries bounds the number of entries that an update reports. The number multiplies times.
	maxEntries = 100_000
	// assumedEntries is the number of entries assumed until control reports it.
	assumedEntries = 8
)

// fleet holds the backend servers and what is known about them. Methods that
// other types call acquire the lock; for the others, the caller must hold it.
type fleet struct {
	mu                sync.Mutex
	zone              string // availability zone of this relay
	clock             clock.Clock
	servers           map[string]*server // by name
	catalog           catalog.Catalog
	pools             map[string]*pool // by service
	serverListEpoch   uint64           // identifies the control leader's server list; another value means a new list
	serverListEpochAt clock.Millis     // when this relay received the first update of that list
	entryCount        int              // number of entries, this one included
	formerEntryCount  int              // that number when the control leader changed; 0 if there was none before
	endChecks         *quarantine.EndChecks
	limiter           *ratelimit.Limiter
	streamOrigins     StreamOrigins
	promptParts       *promptcache.Table // parts that were sent to servers lately
	turnKey           uint64             // differs between entries; decides in which turns this one may try a starting server
}

// pool is the state of a service that concerns all of its servers together.
type pool struct {
	promptWork            promptWork
	otherEntriesLongWork  float64 // work of other entries' long prompts, in equivalent prompt tokens
	otherEntriesShortWork float64 // work of other entries' short prompts, in equivalent prompt tokens
	waits                 *forecast.Waits
	norm                  slowstart.Norm // answers of servers that neither start nor recover
	hasServers            bool
	firstServerAt         clock.Millis // when the first server of the service became known; valid if hasServers
}

func newFleet(zone string, c clock.Clock, logger event.Logger, limiter *ratelimit.Limiter, origins StreamOrigins) *fleet {
	return &fleet{
		zone: zone, clock: c, servers: map[string]*server{}, pools: map[string]*pool{}, entryCount: assumedEntries,
		endChecks: quarantine.NewEndChecks(c, logServerEnd(logger)), limiter: limiter, streamOrigins: origins,
		promptParts: promptcache.New(maxPromptParts), turnKey: rand.Uint64(),
	}
}

func (f *fleet) setCatalog(c catalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog = c
	maps.DeleteFunc(f.pools, func(service string, _ *pool) bool {
		_, ok := c.Service(service)
		return !ok
	})
}

// entries returns the number of entries, this one included.
func (f *fleet) entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entryCount
}

// serverCounts returns the number of servers of each service that serve.
func (f *fleet) serverCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for _, s := range f.servers {
		if s.record.State == roster.Serving {
			counts[s.record.Service]++
		}
	}
	return counts
}

// pool returns the state of a service. The caller holds the lock.
func (f *fleet) pool(service string) *pool {
	p, ok := f.pools[service]
	if !ok {
		p = &pool{waits: forecast.New()}
		f.pools[service] = p
	}
	return p
}

// runPeriodicChecks marks unresponsive servers, removes servers that have been gone for longer than
// goneRetention or that no leader lists any more, and closes expired idle connections. Relay calls
// it every periodicCheckInterval.
func (f *fleet) runPeriodicChecks(now clock.Millis) {
	f.endChecks.DropExpired()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.promptParts.DropExpired(now)
	for name, s := range f.servers {
		f.checkResponsive(now, s)
		s.closeExpired(now)
		if !s.listedByLeader && now-f.serverListEpochAt > newLeaderGrace {
			s.record.Silent = true
		}
		if s.record.State == roster.Gone && len(s.attempts) == 0 && now-s.listedAt > s.goneRetention() {
			delete(f.servers, name)
		}
		if !s.listedByLeader && len(s.attempts) == 0 && now-max(s.unlistedAt, s.lastByteAt) > unlistedRetention {
			s.discardIdle()
			delete(f.servers, name)
		}
	}
}

// checkResponsive marks a server as unresponsive if it sends no bytes while requests
// wait for it. Requests that may run again are interrupted and sent to another server
// if there is one and the retry budget allows it: silence alone is no reason to give
// up an answer. A stream that has begun gets more time, because the server may have
// paused it. The caller holds the lock.
func (f *fleet) checkResponsive(now clock.Millis, s *server) {
	earliestChosenAt := now
	for a := range s.attempts {
		earliestChosenAt = min(earliestChosenAt, a.chosenAt)
	}
	silence := now - max(earliestChosenAt, s.lastByteAt)
	if silence < unresponsiveAfter {
		return
	}
	if !s.unresponsive {
		s.unresponsive = true
		f.delayTrial(now, s)
	}
	for a := range s.attempts {
		if !a.repeatable || a.firstByteSeen && silence < streamUnresponsiveAfter || now-a.chosenAt < unresponsiveAfter {
			continue
		}
		if f.hasAlternative(now, a) && a.exchange.relay.budget.Take(now, s.record.Service, 1) {
			a.interruptForRetry()
		}
	}
}

// recordFirstByte records that the server has begun to respond to an attempt.
func (f *fleet) recordFirstByte(s *server, a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.recordByte(now, s)
	if !a.firstByteSeen {
		a.firstByteSeen = true
		s.unprocessedTokens -= a.uncachedTokens
		f.pool(s.record.Service).waits.Record(now, a.exchange.requirements.urgency.Rank, a.engineWork, now-a.chosenAt)
	}
}

// recordStreamActivity records the time at which bytes of a stream were received from
// the server.
func (f *fleet) recordStreamActivity(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordByte(f.clock.Now(), s)
}

// recordByte records that bytes were received from a server. The caller holds the lock.
func (f *fleet) recordByte(now clock.Millis, s *server) {
	if s.unresponsive {
		f.beginSlowStart(now, s)
	}
	s.lastByteAt, s.unresponsive = now, false
}

// endAttempt unregisters an attempt and records its result for the server. It reports whether the
// server has been starting or recovering until now.
func (f *fleet) endAttempt(s *server, a *attempt) (settled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	delete(s.attempts, a)
	s.decodeCost -= a.decodeCost
	if !a.firstByteSeen {
		s.unprocessedTokens -= a.uncachedTokens
	}
	if a.result == resultUnreachable || a.result == resultWithdrawn {
		f.limiter.Return(ratelimit.Run(a.run))
	}
	switch a.result {
	case resultUnreachable:
		f.startBackOff(now, s)
	case resultWrongServer:
		s.wrongServer = true
	case resultFailed:
		s.recordOutcome(now, true)
	case resultAnswered:
		s.recordOutcome(now, false)
		if a.firstByteAt > 0 {
			s.recordLatency(now, a.firstByteAt-a.chosenAt)
		}
	}
	return f.followSlowStart(now, s, a)
}

// close closes all idle connections to servers.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.discardIdle()
	}
}
