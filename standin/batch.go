package standin

import (
	"slices"
	"sort"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

// bufferTime is how long an engine keeps generating, and keeps an answer, after
// its reader has gone.
const bufferTime = 10 * clock.Second

// prefillChunk is how many prompt tokens one step computes at most.
const prefillChunk = 256

// batch simulates continuous batching with chunked prefill. In each step every
// running sequence whose prompt is computed gets one token; the step takes longer
// the more sequences run and the more prompt tokens are computed in it.
type batch struct {
	options   EngineOptions
	mu        sync.Mutex
	sequences map[string]*sequence
	waiting   []*sequence
	running   []*sequence
	cache     *prefixCache
	factor    float64
	stats     stats
	wake      chan struct{}
}

// stats counts work for tests.
type stats struct {
	generated int
	prefilled int
	cached    int
	preempted int
	byRequest map[string]int
	sequences map[string]int
}

func newBatch(options EngineOptions) *batch {
	return &batch{
		options:   options,
		sequences: map[string]*sequence{},
		cache:     newPrefixCache(options.CacheEventGap),
		factor:    1,
		stats:     stats{byRequest: map[string]int{}, sequences: map[string]int{}},
		wake:      make(chan struct{}, 1),
	}
}

// add queues a sequence. It returns false when a live one has the same id.
func (b *batch) add(s *sequence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.sequences[s.id]; ok && old.live() {
		return false
	}
	s.state = stateWaiting
	s.changed = make(chan struct{})
	s.readers = 1
	b.sequences[s.id] = s
	b.stats.sequences[s.id]++
	b.waiting = append(b.waiting, s)
	b.signal()
	return true
}

func (b *batch) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// plan admits waiting sequences and returns how long the next step takes in
// milliseconds. It returns zero when nothing runs.
func (b *batch) plan(now clock.Millis) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.admit()
	if len(b.running) == 0 {
		return 0
	}
	step := float64(b.options.TokenTime) * (1 + b.options.BatchGrowth*float64(len(b.running)-1))
	step += float64(b.prefill()) / b.options.PrefillRate * float64(clock.Second)
	return step * b.factor
}

// prefill spends the step's share of prompt tokens on the running sequences, most
// urgent first, and returns how many are computed. Without the limit one long
// prompt would stop every answer of the batch for a second.
func (b *batch) prefill() int {
	budget := prefillChunk
	for _, s := range b.byPriority(b.running) {
		n := min(s.pending, budget)
		s.pending -= n
		budget -= n
	}
	return prefillChunk - budget
}

func (b *batch) byPriority(sequences []*sequence) []*sequence {
	sorted := slices.Clone(sequences)
	sort.SliceStable(sorted, func(i, j int) bool {
		x, y := sorted[i], sorted[j]
		if x.priority != y.priority {
			return x.priority < y.priority
		}
		return x.arrived < y.arrived
	})
	return sorted
}

// admit moves waiting sequences into the batch, most urgent first.
func (b *batch) admit() {
	b.waiting = b.byPriority(b.waiting)
	for len(b.waiting) > 0 && len(b.running) < b.options.Slots {
		s := b.waiting[0]
		if !b.reserve(s.contextTokens()) {
			return
		}
		b.waiting = b.waiting[1:]
		b.start(s)
	}
}

func (b *batch) start(s *sequence) {
	cached := min(b.cache.match(s.prefix), s.contextTokens())
	s.state = stateRunning
	s.held = s.contextTokens()
	s.pending = s.held - cached
	b.running = append(b.running, s)
	b.stats.cached += cached
	b.stats.prefilled += s.pending
}

// reserve makes room for more tokens by evicting cached blocks.
func (b *batch) reserve(tokens int) bool {
	free := b.options.KVTokens - b.heldTokens() - tokens
	if free < 0 {
		return false
	}
	b.cache.shrink(free)
	return true
}

func (b *batch) heldTokens() int {
	held := 0
	for _, s := range b.running {
		held += s.held
	}
	return held
}

// advance gives one token to every running sequence whose prompt is computed.
func (b *batch) advance(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.relieve()
	still := b.running[:0]
	for _, s := range b.running {
		if s.pending == 0 {
			b.grow(s)
		}
		if s.state == stateRunning {
			still = append(still, s)
			continue
		}
		s.left = now
	}
	clear(b.running[len(still):])
	b.running = still
}

func (b *batch) grow(s *sequence) {
	s.produced++
	s.held++
	b.stats.generated++
	b.stats.byRequest[s.id]++
	if s.produced >= len(s.answer) {
		s.state = stateFinished
		b.cache.store(s.prefix)
	}
	s.notify()
}

// relieve moves the least urgent sequences back to waiting while the next step
// would not fit into KV memory.
func (b *batch) relieve() {
	for len(b.running) > 1 && !b.reserve(len(b.running)) {
		worst := 0
		for i, s := range b.running {
			if s.priority >= b.running[worst].priority {
				worst = i
			}
		}
		s := b.running[worst]
		b.running = append(b.running[:worst], b.running[worst+1:]...)
		s.state = stateWaiting
		s.held = 0
		b.stats.preempted++
		b.waiting = append(b.waiting, s)
	}
}

// expire ends sequences that nobody has read for the buffer time.
func (b *batch) expire(now clock.Millis) {
	for id, s := range b.sequences {
		if s.readers > 0 || now-s.left < bufferTime {
			continue
		}
		if s.live() {
			b.stop(s)
		}
		delete(b.sequences, id)
	}
}

// cancel stops a sequence and returns its final position.
func (b *batch) cancel(id string, now clock.Millis) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.sequences[id]
	if !ok {
		return 0, false
	}
	if s.live() {
		b.stop(s)
		s.left = now
	}
	return s.produced, true
}

func (b *batch) stop(s *sequence) {
	s.state = stateCancelled
	b.running = without(b.running, s)
	b.waiting = without(b.waiting, s)
	s.notify()
}

func without(list []*sequence, s *sequence) []*sequence {
	for i, other := range list {
		if other == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// reset forgets everything, as a crash does.
func (b *batch) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.sequences {
		if s.live() {
			b.stop(s)
		}
	}
	b.sequences = map[string]*sequence{}
	b.waiting, b.running = nil, nil
	b.cache = newPrefixCache(b.options.CacheEventGap)
}
