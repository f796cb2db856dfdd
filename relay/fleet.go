package relay

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/forecast"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// unresponsiveAfter is how long a server may send no bytes while requests wait
	// for it. After that, requests that may run again are sent to another server.
	unresponsiveAfter = 1200 * clock.Millisecond
	// streamUnresponsiveAfter is the corresponding time for a stream that has begun.
	streamUnresponsiveAfter = 3500 * clock.Millisecond
	// unlistedGrace is the time after a change of the control leader for which a server
	// that the new leader has not sent in an update does not count as silent yet. The
	// server may be missing only because the leader has not received its next heartbeat.
	unlistedGrace = 4 * clock.Second
	// silentGrace is how long a server that misses heartbeats stays in normal use
	// after the relay last received bytes from it: it may have lost only its connection
	// to control.
	silentGrace = 3 * clock.Second
	// promptPartRetention is how long a server is assumed to keep a prompt part cached.
	// Gone servers are remembered for the same time, unless they have said that they leave.
	promptPartRetention = 60 * clock.Second
	// recordOrderRetention is how long the record of a server that is silent or gone keeps
	// older ones out. Members that answer on behalf of the leader are behind one another for
	// less than a lease; package roster accepts an older announcement only after a minute.
	recordOrderRetention = 30 * clock.Second
)

// maxEntries bounds the number of entries that an update reports. The number multiplies times.
const maxEntries = 100_000

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
	endChecks         *quarantine.EndChecks
	limiter           *ratelimit.Limiter
	streamOrigins     StreamOrigins
}

// pool is the state of a service that concerns all of its servers together.
type pool struct {
	promptWork            promptWork
	otherEntriesLongWork  float64 // work of other entries' long prompts, in equivalent prompt tokens
	otherEntriesShortWork float64 // work of other entries' short prompts, in equivalent prompt tokens
	waits                 *forecast.Waits
}

func newFleet(zone string, c clock.Clock, logger event.Logger, limiter *ratelimit.Limiter, origins StreamOrigins) *fleet {
	return &fleet{
		zone: zone, clock: c, servers: map[string]*server{}, pools: map[string]*pool{}, entryCount: assumedEntries,
		endChecks: quarantine.NewEndChecks(c, logServerEnd(logger)), limiter: limiter, streamOrigins: origins,
	}
}

func (f *fleet) setCatalog(c catalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog = c
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

// applyUpdate applies an update from the control leader.
func (f *fleet) applyUpdate(now clock.Millis, update control.WatchResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entryCount = min(max(update.EntryCount, 1), maxEntries)
	if update.Epoch != f.serverListEpoch {
		f.serverListEpoch, f.serverListEpochAt = update.Epoch, now
		for _, s := range f.servers {
			s.listedByLeader = false
		}
	}
	for _, r := range update.Servers {
		f.applyRecord(now, r)
	}
	if !update.LoadsKept {
		f.applyLoads(now, update.Loads)
	}
	for _, d := range update.Demands {
		p := f.pool(d.Service)
		p.otherEntriesLongWork, p.otherEntriesShortWork = float64(d.LongPromptTokens), float64(d.ShortPromptTokens)
	}
}

// demands returns the recent work of this entry's requests to engines, in equivalent
// prompt tokens, one element for each service.
func (f *fleet) demands() []control.ServiceDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var demands []control.ServiceDemand
	for service, p := range f.pools {
		p.promptWork.decayTo(now)
		demands = append(demands, control.ServiceDemand{Service: service, LongPromptTokens: int(p.promptWork.long), ShortPromptTokens: int(p.promptWork.short)})
	}
	return demands
}

// applyLoads stores the loads of the other entries' running requests. The caller
// holds the lock.
func (f *fleet) applyLoads(now clock.Millis, loads []control.ServerLoad) {
	for _, s := range f.servers {
		s.otherEntriesRequests, s.otherEntriesUnprocessedTokens, s.otherEntriesDecodeCost, s.otherEntriesReportedAt = 0, 0, 0, now
	}
	for _, l := range loads {
		if s, ok := f.servers[l.Server]; ok {
			s.otherEntriesRequests, s.otherEntriesUnprocessedTokens, s.otherEntriesDecodeCost = float64(l.Requests), float64(l.PendingPromptTokens), float64(l.DecodeCost)
		}
	}
}

// loads returns the load of this entry's running requests, one element for each server
// with such requests.
func (f *fleet) loads() []control.ServerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []control.ServerLoad
	for name, s := range f.servers {
		if len(s.attempts) > 0 {
			loads = append(loads, control.ServerLoad{Server: name, Requests: len(s.attempts), PendingPromptTokens: s.unprocessedTokens, DecodeCost: int(s.decodeCost)})
		}
	}
	return loads
}

// applyRecord stores a server's record unless it is older than the known one. The
// caller holds the lock.
func (f *fleet) applyRecord(now clock.Millis, r roster.Record) {
	known, ok := f.servers[r.Server]
	if !ok {
		if r.State == roster.Gone {
			return
		}
		known = newServer(r)
		f.servers[r.Server] = known
	}
	if r.State == roster.Gone && r.StartedAt == 0 {
		r.Announcement = known.record.WithState(roster.Gone)
	}
	previous := known.record
	if known.outranks(now, r) {
		return
	}
	if r.StartedAt != previous.StartedAt || r.Address != previous.Address {
		f.resetServer(known)
	}
	if r.Version != previous.Version && r.State != roster.Gone {
		f.followVersion(now, known, r)
	}
	known.followRun(previous, r)
	known.record, known.listedByLeader, known.listedAt = r, true, now
	if r.State != roster.Serving {
		known.discardIdle()
		f.endChecks.Forget(known.run())
	}
	if r.State != roster.Gone {
		f.endChecks.ServerAnnounced(known.run(), r.Address)
	}
}

// outranks reports whether a record must be ignored, because the known one is from a later
// time. It no longer is once the control leader accepts older announcements again.
func (s *server) outranks(now clock.Millis, r roster.Record) bool {
	if (s.record.Silent || s.record.State == roster.Gone) && now-s.listedAt >= recordOrderRetention {
		return false
	}
	return r.StartedAt < s.record.StartedAt || r.StartedAt == s.record.StartedAt && resumesServing(s.record, r)
}

// resumesServing reports whether a record would make a server take requests again that has
// left, or that leaves and has not announced anything since. Such a record is out of date:
// members that answer on behalf of the leader may be behind one another.
func resumesServing(previous, next roster.Record) bool {
	switch previous.State {
	case roster.Gone:
		return next.State != roster.Gone
	case roster.Leaving:
		return next.State == roster.Serving && next.Sequence <= previous.Sequence
	}
	return false
}

// resetServer discards the measurements of a server that has restarted or changed its
// address, and closes its idle connections. The caller holds the lock.
func (f *fleet) resetServer(s *server) {
	s.discardIdle()
	s.promptPartChosenAt = map[string]clock.Millis{}
	s.unresponsive, s.wrongServer, s.blockedUntil, s.backOff = false, false, 0, 0
	s.recordedFailureShare, s.otherEntriesRequests, s.otherEntriesUnprocessedTokens, s.otherEntriesDecodeCost, s.reportedLoad, s.latency = 0, 0, 0, 0, 0, 0
}

// runPeriodicChecks marks unresponsive servers, removes servers that have been gone for
// longer than promptPartRetention, and closes expired idle connections. Relay calls it
// every periodicCheckInterval.
func (f *fleet) runPeriodicChecks(now clock.Millis) {
	f.endChecks.DropExpired()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.servers {
		f.checkResponsive(now, s)
		s.closeExpired(now)
		if !s.listedByLeader && now-f.serverListEpochAt > unlistedGrace {
			s.record.Silent = true
		}
		if s.record.State == roster.Gone && len(s.attempts) == 0 && now-s.listedAt > s.goneRetention() {
			delete(f.servers, name)
		}
	}
}

// checkResponsive marks a server as unresponsive if it sends no bytes while requests
// wait for it. Requests that may run again are interrupted and sent to another server
// if the retry budget allows it. A stream that has begun gets more time, because the
// server may have paused it. The caller holds the lock.
func (f *fleet) checkResponsive(now clock.Millis, s *server) {
	earliestChosenAt := now
	for a := range s.attempts {
		earliestChosenAt = min(earliestChosenAt, a.chosenAt)
	}
	silence := now - max(earliestChosenAt, s.lastByteAt)
	if silence < unresponsiveAfter {
		return
	}
	s.unresponsive = true
	for a := range s.attempts {
		if !a.repeatable || a.firstByteSeen && silence < streamUnresponsiveAfter || now-a.chosenAt < unresponsiveAfter {
			continue
		}
		if a.exchange.relay.budget.takeRetry(now, s.record.Service, 1) {
			a.interruptForRetry()
		}
	}
}

// requirements are the properties of a request that the choice of a server depends on.
type requirements struct {
	service        string
	forEngine      bool     // the request goes to model engines
	affinityPartID string   // ID of the last prompt part that other requests may share; "" if there is none
	promptTokens   int      // all tokens of the prompt, cached or not
	sharedTokens   int      // prompt tokens in parts that other requests may share
	outputTokens   int      // expected output tokens
	decodeCost     float64  // estimated work of generating the output, in equivalent prompt tokens
	excluded       []string // names of servers that were already tried
	version        *string  // version of the servers that can continue the stream; nil for any
	urgency        ratelimit.Urgency
	// refusable describes the request to the forecast; nil if it is not refused as too late.
	refusable *forecast.Request
}

// pickServer chooses a server and registers the attempt there. It returns nil if all
// servers are excluded or unusable, or if the request would begin too late; in that
// case it sets a.tooLate.
func (f *fleet) pickServer(now clock.Millis, req requirements, a *attempt) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.usableServers(now, req)
	if len(candidates) == 0 {
		return nil
	}
	req.decodeCost = f.estimateDecodeCost(req)
	s := f.pickWithinLimits(now, req, candidates)
	if s == nil {
		return nil
	}
	if req.forEngine {
		a.engineWork = f.engineCost(now, s) + float64(req.promptTokens)
		if a.tooLate = req.refusable != nil && f.pool(req.service).waits.TooLate(now, *req.refusable, a.engineWork); a.tooLate {
			return nil
		}
	}
	a.chosenAt, a.load, a.loadAge = now, s.load(now), now-s.otherEntriesReportedAt
	a.uncachedTokens = req.promptTokens
	if req.affinityPartID != "" && now-s.promptPartChosenAt[req.affinityPartID] < promptPartRetention && s.promptPartChosenAt[req.affinityPartID] > 0 {
		a.uncachedTokens -= req.sharedTokens
	}
	if req.affinityPartID != "" {
		s.promptPartChosenAt[req.affinityPartID] = now
	}
	a.run, a.version = s.run(), s.record.Version
	f.limiter.Take(now, ratelimit.Run(a.run), req.service, req.urgency)
	s.attempts[a] = struct{}{}
	s.unprocessedTokens += a.uncachedTokens
	a.decodeCost = req.decodeCost
	s.decodeCost += a.decodeCost
	return s
}

// usableServers returns the servers that may get the request, in an order that is the
// same at every entry. It returns silent or unresponsive servers only if there are no
// others, and never one that has said that it wants no requests. The caller holds the lock.
func (f *fleet) usableServers(now clock.Millis, req requirements) []*server {
	var responsive, fallback []*server
	for _, s := range f.servers {
		if s.record.Service != req.service || s.record.State != roster.Serving || !s.withdrawal.Accepts(now) || s.wrongServer || s.blockedUntil > now ||
			req.version != nil && s.record.Version != *req.version || lo.Contains(req.excluded, s.record.Server) || !f.hasFreeConnection(s) {
			continue
		}
		if s.unresponsive || s.isSilent(now) {
			fallback = append(fallback, s)
			continue
		}
		responsive = append(responsive, s)
	}
	if len(responsive) == 0 {
		responsive = fallback
	}
	slices.SortFunc(responsive, func(a, b *server) int { return lo.Ternary(a.nameHash < b.nameHash, -1, 1) })
	return responsive
}

// hasFreeConnection reports whether there is an idle connection to the server, or
// this entry's share of the server's connections permits another one.
func (f *fleet) hasFreeConnection(s *server) bool {
	service, ok := f.catalog.Service(s.record.Service)
	if !ok || service.MaxConnections == 0 || len(s.idle) > 0 {
		return true
	}
	return s.openConns < max(service.MaxConnections/(f.entryCount+1), 1)
}

// pickByLoad returns the server with the shortest expected wait. Among nearly equal
// ones it prefers servers in the relay's availability zone.
func (f *fleet) pickByLoad(now clock.Millis, candidates []*server) *server {
	typicalLatency := medianLatency(now, candidates)
	return lo.MinBy(candidates, func(a, b *server) bool {
		return f.loadCost(now, a, typicalLatency) < f.loadCost(now, b, typicalLatency)
	})
}

const (
	// failureCost is how much failures raise the cost of a server: the cost is
	// multiplied by 1 + failureCost times the share of failed attempts.
	failureCost = 12
	// zoneCost is half of the cost that is added for a server in another availability
	// zone, as a number of running requests.
	zoneCost = 0.15
	// costJitter is the upper bound of the random cost that is added to each server, as
	// a number of running requests. It spreads requests over servers of equal cost.
	costJitter = 0.1
)

// loadCost returns the cost of choosing a server, as the share of its slots that would
// be in use. It is scaled by the server's latency relative to typicalLatency (in ms),
// and raised for failures and for another availability zone.
func (f *fleet) loadCost(now clock.Millis, s *server, typicalLatency float64) float64 {
	slots := float64(max(s.record.Slots, 1))
	cost := (s.load(now) + 1) / slots
	if typicalLatency > 0 {
		cost *= min(max((s.meanLatency(now)+typicalLatency)/(2*typicalLatency), 0.7), 8)
	}
	cost *= 1 + failureCost*s.failureShare(now)
	if s.record.AvailabilityZone != f.zone {
		cost += zoneCost / slots * 2
	}
	return cost + rand.Float64()*costJitter/slots
}

// medianLatency returns the median of the servers' mean latencies in ms, or 0 if none
// is known.
func medianLatency(now clock.Millis, servers []*server) float64 {
	means := lo.FilterMap(servers, func(s *server, _ int) (float64, bool) {
		m := s.meanLatency(now)
		return m, m > 0
	})
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[len(means)/2]
}

// recordFirstByte records that the server has begun to respond to an attempt.
func (f *fleet) recordFirstByte(s *server, a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	s.lastByteAt, s.unresponsive = now, false
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
	s.lastByteAt, s.unresponsive = f.clock.Now(), false
}

// recordLoad records the load that a server reports in a response. It does nothing if
// the response contains no load.
func (f *fleet) recordLoad(s *server, responseInfo ResponseInfo) {
	if !responseInfo.HasLoad {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.setReportedLoad(f.clock.Now(), responseInfo.Load)
}

// endAttempt unregisters an attempt and records its result for the server.
func (f *fleet) endAttempt(s *server, a *attempt) {
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
		s.startBackOff(now)
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
}

// close closes all idle connections to servers.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.discardIdle()
	}
}
