package standin

import (
	"slices"
	"sort"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
)

// answerRetention is how long an engine keeps generating and storing an answer after its
// last reader has disconnected.
const answerRetention = 10 * clock.Second

// maxPrefillTokens bounds the prompt tokens that one step computes.
const maxPrefillTokens = 256

// batch simulates continuous batching with chunked prefill. Each step generates one
// token for every running sequence whose prompt is computed. A step takes longer the
// more sequences are running and the more prompt tokens it computes. It is safe for
// concurrent use; mu also protects the sequences.
type batch struct {
	options   EngineOptions
	mu        sync.Mutex
	sequences map[string]*sequence
	waiting   []*sequence
	running   []*sequence
	cache     *prefixCache
	slowdown  float64 // multiplies the duration of a step
	stats     stats
	wake      chan struct{} // signals generate that a sequence was queued
}

// stats counts the work done since the start, for tests.
type stats struct {
	generatedTokens int
	prefilledTokens int
	cachedTokens    int
	preemptions     int
	tokensByRequest map[string]int
	sequences       map[string]int // number of sequences started, by request id
}

func newBatch(options EngineOptions) *batch {
	return &batch{
		options:   options,
		sequences: map[string]*sequence{},
		cache:     newPrefixCache(options.LostEventInterval),
		slowdown:  1,
		stats:     stats{tokensByRequest: map[string]int{}, sequences: map[string]int{}},
		wake:      make(chan struct{}, 1),
	}
}

// enqueue adds a sequence to the waiting ones. It returns false when a sequence with
// the same id is still waiting or running.
func (b *batch) enqueue(s *sequence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.sequences[s.id]; ok && old.isLive() {
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

// planStep admits waiting sequences and returns the duration of the next step in
// milliseconds, or zero when no sequence is running.
func (b *batch) planStep(now clock.Millis) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireUnread(now)
	b.admitWaiting()
	if len(b.running) == 0 {
		return 0
	}
	step := float64(b.options.TokenTime) * (1 + b.options.StepGrowth*float64(len(b.running)-1))
	step += float64(b.prefill()) / b.options.PrefillRate * float64(clock.Second)
	return step * b.slowdown
}

// prefill distributes the prompt tokens that one step may compute over the running
// sequences, most urgent first, and returns the number of computed tokens. Without
// maxPrefillTokens, one long prompt would delay all answers of the batch by about a
// second.
func (b *batch) prefill() int {
	budget := maxPrefillTokens
	for _, s := range b.byPriority(b.running) {
		n := min(s.uncomputedTokens, budget)
		s.uncomputedTokens -= n
		budget -= n
	}
	return maxPrefillTokens - budget
}

// byPriority returns the sequences sorted by priority, most urgent first, and then by
// arrival.
func (b *batch) byPriority(sequences []*sequence) []*sequence {
	sorted := slices.Clone(sequences)
	sort.SliceStable(sorted, func(i, j int) bool {
		x, y := sorted[i], sorted[j]
		if x.priority != y.priority {
			return x.priority < y.priority
		}
		return x.arrivedAt < y.arrivedAt
	})
	return sorted
}

// admitWaiting moves waiting sequences into the batch, most urgent first, while there
// are free slots and enough KV memory.
func (b *batch) admitWaiting() {
	b.waiting = b.byPriority(b.waiting)
	for len(b.waiting) > 0 && len(b.running) < b.options.Slots {
		s := b.waiting[0]
		if !b.makeRoom(s.contextTokens()) {
			return
		}
		b.waiting = b.waiting[1:]
		b.startSequence(s)
	}
}

// startSequence starts a sequence. Prompt tokens in the prefix cache need no
// computation.
func (b *batch) startSequence(s *sequence) {
	cachedTokens := min(b.cache.matchedTokens(s.blockHashes), s.contextTokens())
	s.state = stateRunning
	s.kvTokens = s.contextTokens()
	s.uncomputedTokens = s.kvTokens - cachedTokens
	b.running = append(b.running, s)
	b.stats.cachedTokens += cachedTokens
	b.stats.prefilledTokens += s.uncomputedTokens
}

// makeRoom evicts cached blocks until the given number of tokens fits into KV memory, and
// reports whether they fit. They do not when the running sequences leave too little
// memory; nothing is evicted then.
func (b *batch) makeRoom(tokens int) bool {
	free := b.options.KVTokens - b.kvTokensInUse() - tokens
	if free < 0 {
		return false
	}
	b.cache.evictTo(free)
	return true
}

func (b *batch) kvTokensInUse() int {
	kvTokens := 0
	for _, s := range b.running {
		kvTokens += s.kvTokens
	}
	return kvTokens
}

// advance performs a step: each running sequence whose prompt is computed gets one
// token.
func (b *batch) advance(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.preemptForMemory()
	remaining := b.running[:0]
	for _, s := range b.running {
		if s.uncomputedTokens == 0 {
			b.addToken(s)
		}
		if s.state == stateRunning {
			remaining = append(remaining, s)
			continue
		}
		s.readerLeft = now
	}
	clear(b.running[len(remaining):])
	b.running = remaining
}

func (b *batch) addToken(s *sequence) {
	s.producedTokens++
	s.kvTokens++
	b.stats.generatedTokens++
	b.stats.tokensByRequest[s.id]++
	if s.producedTokens >= len(s.answerTokens) {
		s.state = stateFinished
		b.cache.store(s.blockHashes)
	}
	s.notifyReaders()
}

// preemptForMemory moves the least urgent sequences back to the waiting ones until the
// tokens of the next step fit into KV memory. One sequence always stays.
func (b *batch) preemptForMemory() {
	for len(b.running) > 1 && !b.makeRoom(len(b.running)) {
		leastUrgent := 0
		for i, s := range b.running {
			if s.priority >= b.running[leastUrgent].priority {
				leastUrgent = i
			}
		}
		s := b.running[leastUrgent]
		b.running = append(b.running[:leastUrgent], b.running[leastUrgent+1:]...)
		s.state = stateWaiting
		s.kvTokens = 0
		b.stats.preemptions++
		b.waiting = append(b.waiting, s)
	}
}

// expireUnread removes sequences without readers whose answerRetention has passed. It
// cancels those that are still waiting or running.
func (b *batch) expireUnread(now clock.Millis) {
	for id, s := range b.sequences {
		if s.readers > 0 || now-s.readerLeft < answerRetention {
			continue
		}
		if s.isLive() {
			b.stop(s)
		}
		delete(b.sequences, id)
	}
}

// cancel stops a sequence and returns the position of its last token. It returns false
// for an unknown id.
func (b *batch) cancel(id string, now clock.Millis) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.sequences[id]
	if !ok {
		return 0, false
	}
	if s.isLive() {
		b.stop(s)
		s.readerLeft = now
	}
	return s.producedTokens, true
}

func (b *batch) stop(s *sequence) {
	s.state = stateCancelled
	b.running = removeSequence(b.running, s)
	b.waiting = removeSequence(b.waiting, s)
	s.notifyReaders()
}

func removeSequence(list []*sequence, s *sequence) []*sequence {
	for i, other := range list {
		if other == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// reset cancels and removes all sequences and empties the prefix cache, as a crash
// does.
func (b *batch) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.sequences {
		if s.isLive() {
			b.stop(s)
		}
	}
	b.sequences = map[string]*sequence{}
	b.waiting, b.running = nil, nil
	b.cache = newPrefixCache(b.options.LostEventInterval)
}
