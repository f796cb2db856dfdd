package relay

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// darkAfter is how long a server may say nothing at all while requests wait
	// for it, before work that may be repeated goes elsewhere.
	darkAfter = 1200 * clock.Millisecond
	// darkStream is the same for a stream that has begun.
	darkStream = 3500 * clock.Millisecond
	// unlistedGrace is how long servers stay that a new leader does not list: it
	// hears of them at their next heartbeats.
	unlistedGrace = 4 * clock.Second
	// silentUse is how long a server that misses heartbeats is used after its
	// newest answer: it may be cut off from control alone.
	silentUse = 3 * clock.Second
	// partMemory is how long a prompt part is expected to stay at a server.
	partMemory = 60 * clock.Second
)

// fleet holds the backend servers. Every method takes the lock.
type fleet struct {
	mu      sync.Mutex
	zone    string
	clock   clock.Clock
	servers map[string]*server // by name
	catalog catalog.Catalog
	pools   map[string]*pool // by service
	epoch   uint64
	epochAt clock.Millis
	entries int
}

// pool is what is known about a service as a whole.
type pool struct {
	demand      demand
	othersLong  float64 // the other entries' demand
	othersShort float64
	paces       map[int]pace // by rank
}

func newFleet(zone string, c clock.Clock) *fleet {
	return &fleet{zone: zone, clock: c, servers: map[string]*server{}, pools: map[string]*pool{}, entries: assumedEntries}
}

func (f *fleet) configure(c catalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog = c
}

func (f *fleet) pool(service string) *pool {
	p, ok := f.pools[service]
	if !ok {
		p = &pool{paces: map[int]pace{}}
		f.pools[service] = p
	}
	return p
}

// take puts the leader's changes in force.
func (f *fleet) take(now clock.Millis, news control.WatchResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = max(news.EntryCount, 1)
	if news.Epoch != f.epoch {
		f.epoch, f.epochAt = news.Epoch, now
		for _, s := range f.servers {
			s.confirmed = false
		}
	}
	for _, r := range news.Servers {
		f.takeRecord(now, r)
	}
	f.takeLoads(now, news.Loads)
	for _, d := range news.Demands {
		p := f.pool(d.Service)
		p.othersLong, p.othersShort = float64(d.LongPromptTokens), float64(d.ShortPromptTokens)
	}
}

// demands returns the work of this entry's recent requests to engines.
func (f *fleet) demands() []control.ServiceDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var demands []control.ServiceDemand
	for service, p := range f.pools {
		p.demand.advance(now)
		demands = append(demands, control.ServiceDemand{Service: service, LongPromptTokens: int(p.demand.long), ShortPromptTokens: int(p.demand.short)})
	}
	return demands
}

// takeLoads notes what the other entries have under way.
func (f *fleet) takeLoads(now clock.Millis, loads []control.ServerLoad) {
	for _, s := range f.servers {
		s.others, s.othersRead, s.othersDecode, s.reportedAt = 0, 0, 0, now
	}
	for _, l := range loads {
		if s, ok := f.servers[l.Server]; ok {
			s.others, s.othersRead, s.othersDecode = float64(l.Requests), float64(l.PendingPromptTokens), float64(l.DecodeCost)
		}
	}
}

// loads returns what this entry has under way.
func (f *fleet) loads() []control.ServerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var loads []control.ServerLoad
	for name, s := range f.servers {
		if len(s.attempts) > 0 {
			loads = append(loads, control.ServerLoad{Server: name, Requests: len(s.attempts), PendingPromptTokens: s.pending, DecodeCost: int(s.decode)})
		}
	}
	return loads
}

func (f *fleet) takeRecord(now clock.Millis, r roster.Record) {
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
	former := known.record
	if r.StartedAt < former.StartedAt || former.State == roster.Gone && r.StartedAt == former.StartedAt && r.State != roster.Gone {
		return
	}
	if r.StartedAt > former.StartedAt || r.Address != former.Address {
		f.restart(known)
	}
	known.record, known.confirmed, known.listedAt = r, true, now
}

// restart forgets what was known about an earlier start.
func (f *fleet) restart(s *server) {
	s.discardIdle()
	s.parts = map[string]clock.Millis{}
	s.dark, s.stranger, s.blocked, s.backOff = false, false, 0, 0
	s.failures, s.others, s.othersRead, s.othersDecode, s.hinted, s.latency = 0, 0, 0, 0, 0, 0
}

// sweep finds servers that say nothing, forgets the ones that have left and
// closes idle connections.
func (f *fleet) sweep(now clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, s := range f.servers {
		f.findDark(now, s)
		s.closeExpired(now)
		if !s.confirmed && now-f.epochAt > unlistedGrace {
			s.record.Silent = true
		}
		if s.record.State == roster.Gone && len(s.attempts) == 0 && now-s.listedAt > partMemory {
			delete(f.servers, name)
		}
	}
}

// findDark marks a server that says nothing at all while requests wait for it.
// Work that may be repeated goes elsewhere if the retry budget allows; a stream
// that has begun gets more time, as a server may pause it.
func (f *fleet) findDark(now clock.Millis, s *server) {
	oldest := now
	for a := range s.attempts {
		oldest = min(oldest, a.sentAt)
	}
	silence := now - max(oldest, s.lastByte)
	if silence < darkAfter {
		return
	}
	s.dark = true
	for a := range s.attempts {
		if !a.repeatable || a.begun && silence < darkStream || now-a.sentAt < darkAfter {
			continue
		}
		if a.exchange.relay.budget.repeat(now, s.record.Service, 1) {
			a.interruptPaid()
		}
	}
}

// need is what a request asks of its server.
type need struct {
	service  string
	prompt   bool
	affinity string   // the prompt part that requests share
	tokens   int      // of the prompt
	shared   int      // of them in parts that other requests have too
	output   int      // expected output tokens
	decode   float64  // what they cost, in prompt tokens
	excluded []string // servers that were tried
	rank     int      // of its urgency, 0 is the most urgent
	below    int      // number of less urgent ranks
	target   clock.Millis
	yields   bool // it is of the least urgent route and was not sent before
}

// pick chooses a server and begins an attempt there. There is none if all servers
// are excluded or unusable, or if the request would begin too late.
func (f *fleet) pick(now clock.Millis, n need, a *attempt) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.usable(now, n)
	if len(candidates) == 0 {
		return nil
	}
	var s *server
	n.decode = f.decodeCost(n)
	if n.prompt {
		s = f.pickEngine(now, n, candidates)
		a.work = f.engineCost(now, s) + float64(n.tokens)
		if a.late = f.pool(n.service).late(now, n, a.work); a.late {
			return nil
		}
	} else {
		s = f.pickPlain(now, candidates)
	}
	a.sentAt, a.load, a.loadAge = now, s.load(now), now-s.reportedAt
	a.uncached = n.tokens
	if n.affinity != "" && now-s.parts[n.affinity] < partMemory && s.parts[n.affinity] > 0 {
		a.uncached -= n.shared
	}
	if n.affinity != "" {
		s.parts[n.affinity] = now
	}
	s.attempts[a] = struct{}{}
	s.pending += a.uncached
	a.decode = n.decode
	s.decode += a.decode
	return s
}

// usable returns the servers of a service that may take a request, best first:
// those that are silent or dark only when there is no other.
func (f *fleet) usable(now clock.Millis, n need) []*server {
	var good, doubtful []*server
	for _, s := range f.servers {
		if s.record.Service != n.service || s.record.State != roster.Serving || s.stranger || s.blocked > now ||
			lo.Contains(n.excluded, s.record.Server) || !f.hasConnection(s) {
			continue
		}
		if s.dark || s.record.Silent && now-s.lastByte > silentUse {
			doubtful = append(doubtful, s)
			continue
		}
		good = append(good, s)
	}
	if len(good) == 0 {
		good = doubtful
	}
	slices.SortFunc(good, func(a, b *server) int { return lo.Ternary(a.hash < b.hash, -1, 1) })
	return good
}

// hasConnection reports whether this entry's share of the server's connections
// leaves one more.
func (f *fleet) hasConnection(s *server) bool {
	service, ok := f.catalog.Service(s.record.Service)
	if !ok || service.MaxConnections == 0 || len(s.idle) > 0 {
		return true
	}
	return s.open < max(service.MaxConnections/(f.entries+1), 1)
}

// pickPlain takes the server with the shortest expected wait, near ones first
// among equals.
func (f *fleet) pickPlain(now clock.Millis, candidates []*server) *server {
	typical := medianLatency(now, candidates)
	return lo.MinBy(candidates, func(a, b *server) bool {
		return f.plainCost(now, a, typical) < f.plainCost(now, b, typical)
	})
}

const (
	// failureCost makes a server that always fails as bad as one this many times
	// busier.
	failureCost = 12
	// zoneCost is the cost of another availability zone, in places.
	zoneCost = 0.15
	// costJitter spreads equal choices.
	costJitter = 0.1
)

func (f *fleet) plainCost(now clock.Millis, s *server, typical float64) float64 {
	slots := float64(max(s.record.Slots, 1))
	cost := (s.load(now) + 1) / slots
	if typical > 0 {
		cost *= min(max((s.meanLatency(now)+typical)/(2*typical), 0.7), 8)
	}
	cost *= 1 + failureCost*s.failureShare(now)
	if s.record.AvailabilityZone != f.zone {
		cost += zoneCost / slots * 2
	}
	return cost + rand.Float64()*costJitter/slots
}

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

// firstByte notes that the server has begun to answer an attempt.
func (f *fleet) firstByte(s *server, a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	s.lastByte, s.dark = now, false
	if !a.begun {
		a.begun = true
		s.pending -= a.uncached
		f.pool(s.record.Service).learn(now, a.exchange.need.rank, a.work, now-a.sentAt)
	}
}

// heard notes bytes of a stream.
func (f *fleet) heard(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.lastByte, s.dark = f.clock.Now(), false
}

// answered takes the load that an answer reports.
func (f *fleet) answered(s *server, answer ResponseInfo) {
	if !answer.HasLoad {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.hint(f.clock.Now(), answer.Load)
}

// end ends an attempt and records its result.
func (f *fleet) end(s *server, a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	delete(s.attempts, a)
	s.decode -= a.decode
	if !a.begun {
		s.pending -= a.uncached
	}
	switch a.result {
	case resultUnreachable:
		s.unreachable(now)
	case resultStranger:
		s.stranger = true
	case resultFailed:
		s.recordOutcome(now, true)
	case resultAnswered:
		s.recordOutcome(now, false)
		if a.firstByteAt > 0 {
			s.recordLatency(now, a.firstByteAt-a.sentAt)
		}
	}
}

// close closes all idle connections.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.discardIdle()
	}
}
