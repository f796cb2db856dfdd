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

// chooser is what the simulation needs of a router.
type chooser interface {
	Choose(now clock.Millis, request routing.Request) (routing.Choice, bool)
	RecordSent(now clock.Millis, request routing.Request, server string)
	RecordProgress(now clock.Millis, id string, tokens int)
	RecordFinished(now clock.Millis, id string, result routing.Result)
	RecordPeerLoad(now clock.Millis, peer string, inFlight map[string]int, age clock.Millis)
	FreeSlots(now clock.Millis, pool string) int
}

// simulation is four entries in front of engines that batch continuously. One
// step of an engine computes the prompt of at most one new request and a token
// of each running one.
type simulation struct {
	options  simOptions
	random   *rand.Rand
	now      clock.Millis
	engines  []*simEngine
	entries  []*simEntry
	requests int
	first    []float64 // times to first token
	between  []float64 // mean times between tokens
	wrong    []float64 // absolute errors of the predicted time to first token
	cached   int       // prompt tokens found in a cache
	prompt   int
}

type simOptions struct {
	engines   int
	rate      float64      // requests per second
	reportAge clock.Millis // age of the load in an announcement
	prefixes  int          // different shared prompt prefixes
	make      func(routing.Options) chooser
	affinity  bool
	warmUp    clock.Millis
}

const (
	simSlots       = 16
	simBlocks      = 6   // prefix blocks of a prompt
	simBlockTokens = 250 // tokens of a block
	simSuffix      = 200 // prompt tokens that are not shared
	simCache       = 60  // blocks that an engine keeps
)

type simEntry struct {
	name     string
	registry *backend.Registry
	router   chooser
	queue    []*job
	inFlight map[string]int
}

type job struct {
	request routing.Request
	entry   *simEntry
	arrived clock.Millis
	firstAt clock.Millis
	due     clock.Millis // predicted time of the first token
	length  int
	tokens  int
}

type simEngine struct {
	name     string
	slow     float64
	sequence uint64
	samples  []backend.Load // one each sampleStep
	events   []backend.CacheEvent
	eventNo  uint64
	waiting  []*job
	running  []*job
	starting *job
	cache    []uint64 // least recently used first
	readyAt  clock.Millis
	sent     int
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
			s.exchange()
		}
		if s.random.Float64() < s.options.rate/1000 {
			s.arrive()
		}
		for _, e := range s.entries {
			s.dispatch(e)
		}
	}
}

// report announces the load as it was some time ago, to a random entry.
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

func (s *simulation) exchange() {
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

func (s *simulation) arrive() {
	s.requests++
	shared := uint64(s.random.IntN(s.options.prefixes)) * 100
	request := routing.Request{
		ID: fmt.Sprint(s.requests), Pool: pool, Class: "c", Tier: class.Tier(2 + s.random.IntN(2)),
		PromptTokens: simBlocks*simBlockTokens + simSuffix,
	}
	for i := range uint64(simBlocks) {
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
		j.due = s.now + c.PredictedFirstToken
		e.router.RecordSent(s.now, j.request, name)
		e.inFlight[name]++
		i := slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.name == name })
		s.engines[i].waiting = append(s.engines[i].waiting, j)
		s.engines[i].sent++
	}
}

// step ends the engine's current step and begins the next one.
func (s *simulation) step(e *simEngine) {
	if e.starting != nil {
		e.running = append(e.running, e.starting)
		e.starting = nil
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return s.token(e, j) })
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

// token delivers a token and reports whether the request is complete.
func (s *simulation) token(e *simEngine, j *job) bool {
	j.tokens++
	if j.tokens == 1 {
		j.firstAt = s.now
		s.started(j)
	}
	j.entry.router.RecordProgress(s.now, j.request.ID, j.tokens)
	if j.tokens < j.length {
		return false
	}
	j.entry.router.RecordFinished(s.now, j.request.ID, routing.Completed)
	j.entry.inFlight[e.name]--
	if j.arrived >= s.options.warmUp {
		s.between = append(s.between, float64(s.now-j.firstAt)/float64(j.length))
	}
	return true
}

// started counts a time to first token. Requests that still wait at the end count
// with their waiting time so far.
func (s *simulation) started(j *job) {
	if j.arrived >= s.options.warmUp {
		s.first = append(s.first, float64(s.now-j.arrived))
		s.wrong = append(s.wrong, math.Abs(float64(s.now-j.due)))
	}
}

func (s *simulation) countWaiting() {
	for _, e := range s.engines {
		for _, j := range e.waiting {
			s.started(j)
		}
	}
	for _, e := range s.entries {
		for _, j := range e.queue {
			s.started(j)
		}
	}
}

// prefill returns the prompt tokens to compute and updates the prefix cache.
func (s *simulation) prefill(e *simEngine, j *job) int {
	hits := 0
	for i, hash := range j.request.PrefixHashes {
		if at := slices.Index(e.cache, hash); at >= 0 {
			e.cache = slices.Delete(e.cache, at, at+1)
			if hits == i {
				hits++
			}
		} else {
			e.event(backend.PrefixStored, hash)
		}
		e.cache = append(e.cache, hash)
	}
	for len(e.cache) > simCache {
		e.event(backend.PrefixEvicted, e.cache[0])
		e.cache = e.cache[1:]
	}
	s.cached += hits * simBlockTokens
	s.prompt += j.request.PromptTokens
	return j.request.PromptTokens - hits*simBlockTokens
}

func (e *simEngine) event(kind backend.CacheEventKind, hash uint64) {
	e.eventNo++
	e.events = append(e.events, backend.CacheEvent{Sequence: e.eventNo, Kind: kind, Hash: hash})
}

func percentile(values []float64, p float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(p*float64(len(sorted)-1))]
}
