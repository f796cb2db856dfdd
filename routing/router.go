package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// MaxPeerLoadAge is the age from which a peer's load is no longer counted; a digest
// arrives every 500 ms from a peer that lives.
const MaxPeerLoadAge = 3 * clock.Second

// Request is what the choice of a server depends on.
type Request struct {
	ID             string
	Pool           string
	Class          string
	Tier           class.Tier
	PromptTokens   int
	ProducedTokens int      // tokens that the caller already has
	PrefixHashes   []uint64 // hashes of prompt prefixes, shortest first, of equal steps
	Exclude        []string // servers that must not be chosen
}

// Choice is a server for a request.
type Choice struct {
	Server              backend.Server
	Priority            int          // for the engine; 0 is most urgent
	PredictedFirstToken clock.Millis // predicted time to first token
	PredictedTokenTime  clock.Millis // predicted time between tokens; 0 if unknown
}

// Result is how a request ended at a server.
type Result string

// The results.
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
	DisablePrefixAffinity bool // ignores prefix caches; for experiments
}

// Router chooses servers. It follows its registry and is owned by the same
// goroutine.
type Router struct {
	options  Options
	salt     uint64
	random   uint64
	servers  map[string]*server
	pools    map[string]*pool
	running  map[string]*running
	peers    map[string]*peer
	byIndex  []*peer // the peers in the order in which they were first heard of
	blocked  []*server
	prefixes *prefixIndex
	lengths  map[string]*lengths
}

// running is a request that this entry has sent and that has not ended.
type running struct {
	request    Request
	server     string
	sentAt     clock.Millis
	features   features
	started    bool
	tokens     int
	windowAt   clock.Millis // start of the current window between tokens
	windowFrom int
}

// peer is the last load that another entry reported.
type peer struct {
	index    int
	at       clock.Millis
	inFlight map[string]int
}

// New returns a router that observes the registry.
func New(options Options) *Router {
	salt := xxhash.Sum64String(options.Entry)
	r := &Router{
		options:  options,
		salt:     salt,
		random:   salt ^ options.Seed,
		servers:  map[string]*server{},
		pools:    map[string]*pool{},
		running:  map[string]*running{},
		peers:    map[string]*peer{},
		prefixes: newPrefixIndex(),
		lengths:  map[string]*lengths{},
	}
	options.Registry.Observe(0, r)
	return r
}

// advance applies what time alone changes.
func (r *Router) advance(now clock.Millis) {
	r.options.Registry.Advance(now)
	r.unblock(now)
	for _, p := range r.byIndex {
		if now-p.at >= MaxPeerLoadAge && len(p.inFlight) > 0 {
			r.setPeer(p, now, nil)
		}
	}
}

// FreeSlots returns the number of requests that the servers of a pool can start
// at once.
func (r *Router) FreeSlots(now clock.Millis, pool string) int {
	r.advance(now)
	p, ok := r.pools[pool]
	if !ok {
		return 0
	}
	return p.freeSlots
}

// Choose returns the server for a request, or false if no server has a free slot.
func (r *Router) Choose(now clock.Millis, request Request) (Choice, bool) {
	r.advance(now)
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
// go by a hash with this entry's name, so that entries with the same old reports
// do not agree on one server.
func (r *Router) best(p *pool, request Request) *server {
	var best *server
	least := clock.Millis(0)
	for _, s := range r.candidates(p, request) {
		first := r.predict(p, s, request)
		if best == nil || first < least || first == least && r.rank(s.name) < r.rank(best.name) {
			best, least = s, first
		}
	}
	return best
}

func (r *Router) rank(server string) uint64 {
	return mix(xxhash.Sum64String(server) ^ r.salt)
}

// candidates returns at most two random servers with a free slot and the free
// servers that probably hold the longest prefixes.
func (r *Router) candidates(p *pool, request Request) []*server {
	found := make([]*server, 0, randomCandidates+prefixCandidates)
	for range randomCandidates {
		r.random += golden
		if s := p.pick(mix(r.random), request.Exclude, found); s != nil {
			found = append(found, s)
		}
	}
	if r.options.DisablePrefixAffinity {
		return found
	}
	holders := r.prefixes.holders(mix(^r.random), request.PrefixHashes, prefixCandidates, func(s *server) bool {
		return p.isFree(s) && !slices.Contains(found, s) && !slices.Contains(request.Exclude, s.name)
	})
	return append(found, holders...)
}

// randomCandidates is the two of power of two choices.
const randomCandidates = 2

// prefixCandidates bounds the comparison; holders of the longest prefix come
// first.
const prefixCandidates = 2

func (r *Router) choice(now clock.Millis, p *pool, s *server, request Request) Choice {
	known, _ := r.options.Registry.Server(now, s.name)
	return Choice{
		Server:              known,
		Priority:            priority(request.Tier),
		PredictedFirstToken: r.predict(p, s, request),
		PredictedTokenTime:  clock.Millis(p.betweenTokens(s) + 0.5),
	}
}

// priority returns the engine's priority of a tier.
func priority(tier class.Tier) int {
	return max(0, int(tier-class.HighestTier))
}

// RecordSent records that a request went to a server.
func (r *Router) RecordSent(now clock.Millis, request Request, name string) {
	r.advance(now)
	if _, ok := r.running[request.ID]; ok {
		r.RecordFinished(now, request.ID, Cancelled)
	}
	run := &running{request: request, server: name, sentAt: now, tokens: request.ProducedTokens}
	r.running[request.ID] = run
	s, ok := r.servers[name]
	if !ok {
		return
	}
	run.features = r.featuresOf(s, request)
	s.pendingTokens += run.features.uncached
	s.own++
	s.probed(now)
	r.prefixes.add(s, request.PrefixHashes)
	r.loadChanged(now, s)
}

// RecordProgress records the number of tokens that a request has produced so far.
func (r *Router) RecordProgress(now clock.Millis, id string, tokens int) {
	run, ok := r.running[id]
	if !ok || tokens <= run.tokens {
		return
	}
	if !run.started {
		r.firstToken(now, run)
		run.windowAt, run.windowFrom = now, tokens
	}
	run.tokens = tokens
	r.measureWindow(now, run)
}

func (r *Router) firstToken(now clock.Millis, run *running) {
	run.started = true
	s, ok := r.servers[run.server]
	if !ok {
		return
	}
	s.pendingTokens = max(0, s.pendingTokens-run.features.uncached)
	s.failures = 0
	if p, ok := r.pools[run.request.Pool]; ok {
		p.model.learn(run.features, float64(now-run.sentAt)/p.slowness(s))
	}
}

// RecordFinished records the end of a request.
func (r *Router) RecordFinished(now clock.Millis, id string, result Result) {
	run, ok := r.running[id]
	if !ok {
		return
	}
	delete(r.running, id)
	if result == Completed && run.started {
		r.lengthsOf(run.request.Class).add(run.tokens)
	}
	s, ok := r.servers[run.server]
	if !ok {
		return
	}
	if !run.started {
		s.pendingTokens = max(0, s.pendingTokens-run.features.uncached)
	}
	s.own = max(0, s.own-1)
	r.recordResult(now, s, result)
	r.loadChanged(now, s)
}

// RecordPeerLoad records a peer's running requests by server, as they were age ago.
func (r *Router) RecordPeerLoad(now clock.Millis, name string, inFlight map[string]int, age clock.Millis) {
	p, ok := r.peers[name]
	if !ok {
		p = &peer{index: len(r.peers), at: now - age}
		r.peers[name] = p
		r.byIndex = append(r.byIndex, p)
	}
	if now-age < p.at {
		return
	}
	p.at = now - age
	r.setPeer(p, p.at, inFlight)
}

func (r *Router) setPeer(p *peer, at clock.Millis, inFlight map[string]int) {
	old := p.inFlight
	p.inFlight = lo.Assign(inFlight)
	for _, name := range sortedKeys(lo.Assign(old, inFlight)) {
		s, ok := r.servers[name]
		if !ok || old[name] == inFlight[name] {
			continue
		}
		s.setPeer(p.index, inFlight[name])
		r.loadChanged(at, s)
	}
}

// CacheEvents applies a server's cache events. Events that arrive twice are
// ignored; a gap invalidates what is known of the server's cache.
func (r *Router) CacheEvents(name string, events []backend.CacheEvent) {
	s, ok := r.servers[name]
	if !ok {
		return
	}
	for _, e := range events {
		r.prefixes.apply(s, e)
	}
}

// ExpectedTokens returns the expected length of an answer of a class, given that
// it already has produced tokens.
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

const golden = 0x9e3779b97f4a7c15

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func sortedKeys[V any](m map[string]V) []string {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}
