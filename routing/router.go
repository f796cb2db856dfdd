package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// MaxPeerLoadAge is the age from which a peer's load is no longer counted. A live peer
// sends a digest every 500 ms.
const MaxPeerLoadAge = 3 * clock.Second

// Request holds the properties of a request that the choice of a server depends on.
type Request struct {
	ID             string
	Pool           string
	Class          string
	Tier           class.Tier
	PromptTokens   int
	ProducedTokens int      // answer tokens that the caller already has
	PrefixHashes   []uint64 // hashes of prompt prefixes, shortest first, growing in equal steps
	Exclude        []string // servers that must not be chosen
}

// Choice is the server chosen for a request, with predictions.
type Choice struct {
	Server              backend.Server
	Priority            int          // priority to send to the engine; 0 is most urgent
	PredictedFirstToken clock.Millis // predicted time to first token
	PredictedTokenTime  clock.Millis // predicted time between tokens; 0 if unknown
}

// Result is how a request ended at a server.
type Result string

// Possible results of a request.
const (
	Completed Result = "completed"
	Failed    Result = "failed"
	Cancelled Result = "cancelled"
)

// Options configure a router.
type Options struct {
	Entry                 string
	Registry              *backend.Registry
	Seed                  uint64
	DisablePrefixAffinity bool // ignore prefix caches; for experiments
}

// Router chooses servers. It observes its registry and may be used only on the
// goroutine that owns the registry.
type Router struct {
	options        Options
	salt           uint64                     // hash of the entry's name, for breaking ties differently at each entry
	randomState    uint64                     // state of splitmix64
	servers        map[string]*server         // by name
	pools          map[string]*pool           // by name
	runningRequest map[string]*runningRequest // by ID
	peers          map[string]*peerLoad       // by name
	peersByIndex   []*peerLoad                // in the order in which their first load arrived
	blockedServers []*server                  // servers that get no work for a while after a failure
	prefixes       *prefixIndex
	lengths        map[string]*lengths // by class
}

// runningRequest is a request that this entry has sent and that has not ended.
type runningRequest struct {
	request           Request
	server            string
	sentAt            clock.Millis
	features          features     // inputs of the prediction when the request was sent
	hasFirstToken     bool         // whether the first token has arrived
	tokens            int          // answer tokens produced so far
	windowStart       clock.Millis // start of the current measurement of the time between tokens
	windowStartTokens int          // value of tokens at windowStart
}

// peerLoad is the newest load that another entry reported.
type peerLoad struct {
	index      int // position in Router.peersByIndex
	reportedAt clock.Millis
	inFlight   map[string]int // running requests by server
}

// New returns a router and registers it as the observer of the registry.
func New(options Options) *Router {
	salt := xxhash.Sum64String(options.Entry)
	r := &Router{
		options:        options,
		salt:           salt,
		randomState:    salt ^ options.Seed,
		servers:        map[string]*server{},
		pools:          map[string]*pool{},
		runningRequest: map[string]*runningRequest{},
		peers:          map[string]*peerLoad{},
		prefixes:       newPrefixIndex(),
		lengths:        map[string]*lengths{},
	}
	options.Registry.Observe(0, r)
	return r
}

// applyTimeouts applies the changes that are due at the time now: the registry expires
// old records, blocks of failed servers end, and the load of silent peers is dropped.
func (r *Router) applyTimeouts(now clock.Millis) {
	r.options.Registry.Expire(now)
	r.unblock(now)
	for _, p := range r.peersByIndex {
		if now-p.reportedAt >= MaxPeerLoadAge && len(p.inFlight) > 0 {
			r.setPeerLoad(p, now, nil)
		}
	}
}

// FreeSlots returns the number of requests that the servers of a pool can start
// immediately.
func (r *Router) FreeSlots(now clock.Millis, pool string) int {
	r.applyTimeouts(now)
	p, ok := r.pools[pool]
	if !ok {
		return 0
	}
	return p.freeSlots
}

// Choose returns the server for a request, or false if no server has a free slot.
func (r *Router) Choose(now clock.Millis, request Request) (Choice, bool) {
	r.applyTimeouts(now)
	p, ok := r.pools[request.Pool]
	if !ok {
		return Choice{}, false
	}
	if s := p.dueProbe(now, request); s != nil {
		return r.choice(now, p, s, request), true
	}
	best := r.best(p, request)
	if best == nil {
		return Choice{}, false
	}
	return r.choice(now, p, best, request), true
}

// best returns the candidate with the shortest predicted time to first token. Ties
// are broken by a hash that includes this entry's name, so that entries with the same
// old load reports do not all choose the same server.
func (r *Router) best(p *pool, request Request) *server {
	var best *server
	shortest := clock.Millis(0)
	for _, s := range r.candidates(p, request) {
		predicted := r.predict(p, s, request)
		if best == nil || predicted < shortest || predicted == shortest && r.tieBreak(s.name) < r.tieBreak(best.name) {
			best, shortest = s, predicted
		}
	}
	return best
}

// tieBreak returns a hash of a server's name and this entry's name. Of several servers
// with the same prediction, the one with the lowest hash is chosen.
func (r *Router) tieBreak(server string) uint64 {
	return mix64(xxhash.Sum64String(server) ^ r.salt)
}

// candidates returns servers with a free slot: at most randomCandidates random ones,
// and at most prefixCandidates that probably have the longest prefixes in their
// cache.
func (r *Router) candidates(p *pool, request Request) []*server {
	found := make([]*server, 0, randomCandidates+prefixCandidates)
	for range randomCandidates {
		r.randomState += goldenGamma
		if s := p.pickFree(mix64(r.randomState), request.Exclude, found); s != nil {
			found = append(found, s)
		}
	}
	if r.options.DisablePrefixAffinity {
		return found
	}
	cachingServers := r.prefixes.cachingServers(mix64(^r.randomState), request.PrefixHashes, prefixCandidates, func(s *server) bool {
		return p.isFree(s) && !slices.Contains(found, s) && !slices.Contains(request.Exclude, s.name)
	})
	return append(found, cachingServers...)
}

// randomCandidates is 2, as in the "power of two choices" load balancing method.
const randomCandidates = 2

// prefixCandidates bounds the number of servers that are compared because of a
// cached prefix. Those with the longest prefix are considered first.
const prefixCandidates = 2

func (r *Router) choice(now clock.Millis, p *pool, s *server, request Request) Choice {
	chosen, _ := r.options.Registry.Server(now, s.name)
	return Choice{
		Server:              chosen,
		Priority:            priority(request.Tier),
		PredictedFirstToken: r.predict(p, s, request),
		PredictedTokenTime:  clock.Millis(p.betweenTokens(s) + 0.5),
	}
}

// priority returns the priority to send to an engine for requests of a tier; the
// highest tier has priority 0.
func priority(tier class.Tier) int {
	return max(0, int(tier-class.HighestTier))
}

// RecordSent records that a request was sent to a server. An earlier attempt with the same
// ID counts as cancelled.
func (r *Router) RecordSent(now clock.Millis, request Request, name string) {
	r.applyTimeouts(now)
	if _, ok := r.runningRequest[request.ID]; ok {
		r.RecordFinished(now, request.ID, Cancelled)
	}
	run := &runningRequest{request: request, server: name, sentAt: now, tokens: request.ProducedTokens}
	r.runningRequest[request.ID] = run
	s, ok := r.servers[name]
	if !ok {
		return
	}
	run.features = r.featuresOf(s, request)
	s.pendingTokens += run.features.uncachedTokens
	s.ownRequests++
	s.scheduleProbe(now)
	r.prefixes.add(s, request.PrefixHashes)
	r.loadChanged(now, s)
}

// RecordProgress records the number of tokens that a request has produced so far, and
// updates the measurements of its server.
func (r *Router) RecordProgress(now clock.Millis, id string, tokens int) {
	run, ok := r.runningRequest[id]
	if !ok || tokens <= run.tokens {
		return
	}
	if !run.hasFirstToken {
		r.recordFirstToken(now, run)
		run.windowStart, run.windowStartTokens = now, tokens
	}
	run.tokens = tokens
	r.measureWindow(now, run)
}

func (r *Router) recordFirstToken(now clock.Millis, run *runningRequest) {
	run.hasFirstToken = true
	s, ok := r.servers[run.server]
	if !ok {
		return
	}
	s.pendingTokens = max(0, s.pendingTokens-run.features.uncachedTokens)
	s.consecutiveFailures = 0
	if p, ok := r.pools[run.request.Pool]; ok {
		p.firstTokenModel.update(run.features, float64(now-run.sentAt)/p.slowness(s))
	}
}

// RecordFinished records the end of a request.
func (r *Router) RecordFinished(now clock.Millis, id string, result Result) {
	run, ok := r.runningRequest[id]
	if !ok {
		return
	}
	delete(r.runningRequest, id)
	if result == Completed && run.hasFirstToken {
		r.lengthsOf(run.request.Class).add(run.tokens)
	}
	s, ok := r.servers[run.server]
	if !ok {
		return
	}
	if !run.hasFirstToken {
		s.pendingTokens = max(0, s.pendingTokens-run.features.uncachedTokens)
	}
	s.ownRequests = max(0, s.ownRequests-1)
	r.recordResult(now, s, result)
	r.loadChanged(now, s)
}

// RecordPeerLoad records a peer's running requests by server. The counts are age
// milliseconds old; counts older than those already known are ignored.
func (r *Router) RecordPeerLoad(now clock.Millis, name string, inFlight map[string]int, age clock.Millis) {
	p, ok := r.peers[name]
	if !ok {
		p = &peerLoad{index: len(r.peers), reportedAt: now - age}
		r.peers[name] = p
		r.peersByIndex = append(r.peersByIndex, p)
	}
	if now-age < p.reportedAt {
		return
	}
	p.reportedAt = now - age
	r.setPeerLoad(p, p.reportedAt, inFlight)
}

// setPeerLoad replaces the running requests that a peer reported, as of the time at, and
// updates the servers whose number has changed.
func (r *Router) setPeerLoad(p *peerLoad, at clock.Millis, inFlight map[string]int) {
	old := p.inFlight
	p.inFlight = lo.Assign(inFlight)
	for _, name := range sortedKeys(lo.Assign(old, inFlight)) {
		s, ok := r.servers[name]
		if !ok || old[name] == inFlight[name] {
			continue
		}
		s.setPeerLoad(p.index, inFlight[name])
		r.loadChanged(at, s)
	}
}

// CacheEvents processes a server's cache events. Events that arrive twice are
// ignored; a gap in the sequence invalidates what is known of the server's cache.
func (r *Router) CacheEvents(name string, events []backend.CacheEvent) {
	s, ok := r.servers[name]
	if !ok {
		return
	}
	for _, e := range events {
		r.prefixes.apply(s, e)
	}
}

// ExpectedTokens returns the expected length, in tokens, of an answer of a class that
// already has the given number of produced tokens.
func (r *Router) ExpectedTokens(className string, produced int) float64 {
	return r.lengthsOf(className).expected(produced)
}

func (r *Router) lengthsOf(className string) *lengths {
	l, ok := r.lengths[className]
	if !ok {
		l = &lengths{}
		r.lengths[className] = l
	}
	return l
}

// goldenGamma is the increment of splitmix64.
const goldenGamma = 0x9e3779b97f4a7c15

// mix64 is the output function of splitmix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func sortedKeys[V any](m map[string]V) []string {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}
