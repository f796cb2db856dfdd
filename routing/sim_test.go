package routing_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/routing"
)

// chooser is the part of a router that the simulation uses.
type chooser interface {
	Choose(now clock.Millis, request routing.Request) (routing.Choice, bool)
	RecordSent(now clock.Millis, request routing.Request, server string)
	RecordProgress(now clock.Millis, id string, tokens int)
	RecordFinished(now clock.Millis, id string, result routing.Result)
	RecordPeerLoad(now clock.Millis, peer string, inFlight map[string]int, age clock.Millis)
	FreeSlots(now clock.Millis, pool string) int
}

// simulation models four entries in front of engines with continuous batching. Each
// step of an engine computes the prompt of at most one new request and one token of
// each running request.
type simulation struct {
	options          simOptions
	random           *rand.Rand
	now              clock.Millis
	engines          []*simEngine
	entries          []*simEntry
	requests         int       // number of requests that have arrived
	firstTokenTimes  []float64 // in ms, by request
	tokenTimes       []float64 // mean time between tokens in ms, by request
	predictionErrors []float64 // absolute errors of the predicted times to first token, in ms
	cachedTokens     int       // prompt tokens found in a cache
	promptTokens     int       // all prompt tokens
}

// simOptions configure a simulation.
type simOptions struct {
	engines   int
	rate      float64      // requests per second
	reportAge clock.Millis // age of the load in an announcement
	prefixes  int          // number of different shared prompt prefixes
	make      func(routing.Options) chooser
	affinity  bool         // use the prefix caches
	warmUp    clock.Millis // requests that arrive earlier are not measured
}

const (
	simSlots        = 16
	simPrefixBlocks = 6   // shared blocks at the start of each prompt
	simBlockTokens  = 250 // tokens per block
	simSuffixTokens = 200 // tokens of each prompt after the shared blocks
	simCacheBlocks  = 60  // blocks that the cache of an engine can store
)

type simEntry struct {
	name     string
	registry *backend.Registry
	router   chooser
	queue    []*job
	inFlight map[string]int
}

// job is a request in the simulation.
type job struct {
	request      routing.Request
	entry        *simEntry
	arrived      clock.Millis
	firstTokenAt clock.Millis
	predictedAt  clock.Millis // predicted time of the first token
	length       int          // answer tokens in total
	tokens       int          // answer tokens delivered
}

type simEngine struct {
	name             string
	slow             float64        // factor by which the engine is slower than others
	sequence         uint64         // of the last announcement
	samples          []backend.Load // one per sampleStep
	events           []backend.CacheEvent
	eventSequence    uint64
	waiting          []*job
	running          []*job
	starting         *job         // its prompt is computed in the current step
	cache            []uint64     // hashes of prefixes, least recently used first
	readyAt          clock.Millis // end of the current step
	receivedRequests int
}

func newSimulation(o simOptions) *simulation {
	s := &simulation{options: o, random: rand.New(rand.NewPCG(4711, 3))}
	for i := range o.engines {
		s.engines = append(s.engines, &simEngine{name: serverName(i), slow: 1})
	}
	for i := range 4 {
		name := fmt.Sprintf("entry-%d", i)
		registry := backend.New(backend.Options{Entry: name})
		for _, engine := range s.engines {
			engine.sequence = 1
			announce(registry, 0, engine.name, 1, simSlots, backend.Load{})
		}
		router := o.make(routing.Options{Entry: name, Registry: registry, DisablePrefixAffinity: !o.affinity})
		s.entries = append(s.entries, &simEntry{name: name, registry: registry, router: router, inFlight: map[string]int{}})
	}
	return s
}

func (s *simulation) run(until clock.Millis) {
	for ; s.now < until; s.now++ {
		for i, e := range s.engines {
			if s.now >= e.readyAt {
				s.step(e)
			}
			if s.now%sampleStep == 0 {
				e.samples = append(e.samples, backend.Load{Running: len(e.running), Waiting: len(e.waiting)})
			}
			if (s.now+clock.Millis(i*997/len(s.engines)))%1000 == 0 {
				s.report(e)
			}
		}
		if s.now%500 == 0 {
			s.exchangeDigests()
		}
		if s.random.Float64() < s.options.rate/1000 {
			s.addRequest()
		}
		for _, e := range s.entries {
			s.dispatch(e)
		}
	}
}

// report sends an announcement to a random entry, with the load that the engine had
// reportAge ago.
func (s *simulation) report(e *simEngine) {
	e.sequence++
	load := e.samples[max(0, s.now-s.options.reportAge)/sampleStep]
	load.Age = s.options.reportAge
	a := backend.NewAnnouncement(e.name, 1, e.sequence, "10.0.0.7:9000").WithModels("m").WithSlots(simSlots).
		WithLoad(load).WithCacheEvents(e.events)
	e.events = nil
	s.entries[s.random.IntN(len(s.entries))].registry.Accept(s.now, a, 10)
}

const sampleStep = 100 * clock.Millisecond

// exchangeDigests sends the digest and the load of each entry to all others.
func (s *simulation) exchangeDigests() {
	for _, e := range s.entries {
		for _, peer := range s.entries {
			if peer == e {
				continue
			}
			e.registry.Merge(s.now, peer.registry.Digest(s.now, e.registry.Version()), 2)
			e.router.RecordPeerLoad(s.now, peer.name, peer.inFlight, 2)
		}
	}
}

func (s *simulation) addRequest() {
	s.requests++
	shared := uint64(s.random.IntN(s.options.prefixes)) * 100
	request := routing.Request{
		ID: fmt.Sprint(s.requests), Pool: pool, Class: "c", Tier: class.Tier(2 + s.random.IntN(2)),
		PromptTokens: simPrefixBlocks*simBlockTokens + simSuffixTokens,
	}
	for i := range uint64(simPrefixBlocks) {
		request.PrefixHashes = append(request.PrefixHashes, shared+i+1)
	}
	length := int(math.Exp(4.6 + 0.8*s.random.NormFloat64()))
	e := s.entries[s.random.IntN(len(s.entries))]
	e.queue = append(e.queue, &job{request: request, entry: e, arrived: s.now, length: min(max(length, 5), 1000)})
}

func (s *simulation) dispatch(e *simEntry) {
	for len(e.queue) > 0 && e.router.FreeSlots(s.now, pool) > 0 {
		j := e.queue[0]
		c, ok := e.router.Choose(s.now, j.request)
		if !ok {
			return
		}
		e.queue = e.queue[1:]
		name := c.Server.Server()
		j.predictedAt = s.now + c.PredictedFirstToken
		e.router.RecordSent(s.now, j.request, name)
		e.inFlight[name]++
		i := slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.name == name })
		s.engines[i].waiting = append(s.engines[i].waiting, j)
		s.engines[i].receivedRequests++
	}
}

// step ends the engine's current step and begins the next one.
func (s *simulation) step(e *simEngine) {
	if e.starting != nil {
		e.running = append(e.running, e.starting)
		e.starting = nil
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return s.deliverToken(e, j) })
	duration := 20 + 0.5*float64(len(e.running))
	if len(e.waiting) > 0 && len(e.running) < simSlots {
		e.starting, e.waiting = e.waiting[0], e.waiting[1:]
		duration += 0.1 * float64(s.prefill(e, e.starting))
	}
	if len(e.running) == 0 && e.starting == nil {
		duration = 1
	}
	e.readyAt = s.now + clock.Millis(duration*e.slow)
}

// deliverToken delivers a token and reports whether the request is complete.
func (s *simulation) deliverToken(e *simEngine, j *job) bool {
	j.tokens++
	if j.tokens == 1 {
		j.firstTokenAt = s.now
		s.recordFirstToken(j)
	}
	j.entry.router.RecordProgress(s.now, j.request.ID, j.tokens)
	if j.tokens < j.length {
		return false
	}
	j.entry.router.RecordFinished(s.now, j.request.ID, routing.Completed)
	j.entry.inFlight[e.name]--
	if j.arrived >= s.options.warmUp {
		s.tokenTimes = append(s.tokenTimes, float64(s.now-j.firstTokenAt)/float64(j.length))
	}
	return true
}

// recordFirstToken records the time to first token of a request, unless it arrived
// during the warm-up.
func (s *simulation) recordFirstToken(j *job) {
	if j.arrived >= s.options.warmUp {
		s.firstTokenTimes = append(s.firstTokenTimes, float64(s.now-j.arrived))
		s.predictionErrors = append(s.predictionErrors, math.Abs(float64(s.now-j.predictedAt)))
	}
}

// countWaiting records the waiting time so far of the requests that still wait for
// their first token at the end, as if it were their time to first token.
func (s *simulation) countWaiting() {
	for _, e := range s.engines {
		for _, j := range e.waiting {
			s.recordFirstToken(j)
		}
	}
	for _, e := range s.entries {
		for _, j := range e.queue {
			s.recordFirstToken(j)
		}
	}
}

// prefill returns the number of prompt tokens that the engine has to compute, and
// updates its prefix cache.
func (s *simulation) prefill(e *simEngine, j *job) int {
	hits := 0
	for i, hash := range j.request.PrefixHashes {
		if at := slices.Index(e.cache, hash); at >= 0 {
			e.cache = slices.Delete(e.cache, at, at+1)
			if hits == i {
				hits++
			}
		} else {
			e.addCacheEvent(backend.PrefixStored, hash)
		}
		e.cache = append(e.cache, hash)
	}
	for len(e.cache) > simCacheBlocks {
		e.addCacheEvent(backend.PrefixEvicted, e.cache[0])
		e.cache = e.cache[1:]
	}
	s.cachedTokens += hits * simBlockTokens
	s.promptTokens += j.request.PromptTokens
	return j.request.PromptTokens - hits*simBlockTokens
}

func (e *simEngine) addCacheEvent(kind backend.CacheEventKind, hash uint64) {
	e.eventSequence++
	e.events = append(e.events, backend.CacheEvent{Sequence: e.eventSequence, Kind: kind, Hash: hash})
}

func percentile(values []float64, p float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(p*float64(len(sorted)-1))]
}
