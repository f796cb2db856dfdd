package quarantine

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// minEnds is the number of servers that must end under a part before it is quarantined.
	// Fewer would quarantine a part for two servers that failed by chance.
	minEnds = 3
	// endsPerAnswer is the number of further ends that each whole answer makes up for.
	endsPerAnswer = 3
	// maxAnswers is the number of whole answers from which a part is never quarantined.
	maxAnswers = 5
	// maxSuspectTime is the longest time between the begin of an answer and the end of its
	// server for which the request is a suspect.
	maxSuspectTime = 1 * clock.Second
	// settleTime is how old an end must be to count. By then other entries have told of whole
	// answers to requests with the part.
	settleTime = 500 * clock.Millisecond
	// firstProbeDelay is the time from the newest end to the first probe. It doubles with each
	// probe, up to maxProbeDoublings times.
	firstProbeDelay   = 15 * clock.Second
	maxProbeDoublings = 6
	// probeSpread is the time between the probes that two entries would begin on average, so
	// that the others learn of a probe before they begin one.
	probeSpread = 1 * clock.Second
	// retention is how long records are kept.
	retention = 20 * clock.Minute
	// expiryInterval is the shortest time between two searches for old records.
	expiryInterval = 1 * clock.Second
)

// Limits of what is kept, whatever callers send.
const (
	maxParts         = 128
	maxEndsPerPart   = 16
	maxKnownAnswered = 4096 // parts without ends whose whole answers are remembered
	// maxPartsPerRequest is the number of parts of a request that are looked at.
	maxPartsPerRequest = 16
)

// Options configure a Quarantine.
type Options struct {
	Entry string // name of this process
}

// Quarantine holds the observations of all entries, as far as this process knows them. It is
// safe for concurrent use. All times are on the clock of the process.
type Quarantine struct {
	entry    string
	instance uint64

	mu       sync.Mutex
	parts    map[Key]*part
	answered *lru.Cache[Key, int] // whole answers that this process has seen, for parts without ends
	expireAt clock.Millis         // when old records are searched for next

	position      uint64       // number of changes of records so far
	judged        map[Key]bool // the quarantined parts; valid until judgedUntil unless judgedChanged is set
	judgedUntil   clock.Millis
	judgedChanged bool
}

// part holds the records of one part.
type part struct {
	ends     map[ServerRun]endRecord
	answers  map[string]int // whole answers, by entry
	probe    countRecord
	released countRecord
	position uint64 // position of the newest change
}

type endRecord struct {
	depth int
	at    clock.Millis
}

// countRecord is a number that only grows, and when this process learned of its newest value.
type countRecord struct {
	number int
	at     clock.Millis
}

// merge takes over a higher number, or an earlier time for the same one.
func (c *countRecord) merge(number int, at clock.Millis) bool {
	if number > c.number {
		c.number, c.at = number, at
		return true
	}
	if number == c.number {
		c.at = min(c.at, at)
	}
	return false
}

// New returns an empty quarantine.
func New(options Options) *Quarantine {
	answered, err := lru.New[Key, int](maxKnownAnswered)
	if err != nil {
		panic(err) // cannot happen: the size is positive
	}
	return &Quarantine{entry: options.Entry, instance: 1 + rand.Uint64N(math.MaxUint64), parts: map[Key]*part{}, answered: answered}
}

// sharedParts returns the keys of the parts that may be quarantined. The last part belongs to
// one request or session alone, so nothing can be learned about it.
func sharedParts(service string, parts []string) []Key {
	if len(parts) < 2 {
		return nil
	}
	shared := parts[:min(len(parts)-1, maxPartsPerRequest)]
	keys := make([]Key, len(shared))
	for i, id := range shared {
		keys[i] = NewKey(service, id)
	}
	return keys
}

// RecordEnd records that a server ended while it answered a request with the given parts. It
// had begun to answer the given time before. A server that has answered for longer than
// maxSuspectTime ended for another reason.
func (q *Quarantine) RecordEnd(now clock.Millis, service string, parts []string, run ServerRun, answering clock.Millis) {
	if answering > maxSuspectTime {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for depth, key := range sharedParts(service, parts) {
		q.addEnd(key, run, endRecord{depth: depth, at: now})
	}
}

// RecordAnswer records that a request with the given parts was answered whole. If it was a
// probe, its parts are released.
func (q *Quarantine) RecordAnswer(now clock.Millis, service string, parts []string, probe bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range sharedParts(service, parts) {
		p, ok := q.parts[key]
		if !ok {
			count, _ := q.answered.Get(key)
			q.answered.Add(key, min(count+1, maxAnswers))
			continue
		}
		q.addAnswers(p, q.entry, p.answers[q.entry]+1)
		if probe {
			q.release(p, now)
		}
	}
}

// Release ends the quarantine of a part: ends before now no longer count. It reports whether
// the part is known.
func (q *Quarantine) Release(now clock.Millis, key Key) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.parts[key]
	if ok {
		q.release(p, now)
	}
	return ok
}

// release records a release. The caller holds the lock.
func (q *Quarantine) release(p *part, now clock.Millis) {
	p.released = countRecord{number: p.released.number + 1, at: now}
	q.markChanged(p)
}

// addEnd adds the end of a server. The caller holds the lock.
func (q *Quarantine) addEnd(key Key, run ServerRun, end endRecord) {
	p := q.part(key)
	known, ok := p.ends[run]
	switch {
	case ok:
		if end.depth > known.depth {
			known.depth = end.depth
			q.markChanged(p)
		}
		known.at = min(known.at, end.at)
		p.ends[run] = known
	case len(p.ends) < maxEndsPerPart:
		p.ends[run] = end
		q.markChanged(p)
	}
}

// part returns the records of a part. If there are none it adds the part, and removes another
// one when there are too many. The caller holds the lock.
func (q *Quarantine) part(key Key) *part {
	if p, ok := q.parts[key]; ok {
		return p
	}
	if len(q.parts) >= maxParts {
		q.removeLeastSuspect()
	}
	p := &part{ends: map[ServerRun]endRecord{}, answers: map[string]int{}}
	if count, ok := q.answered.Get(key); ok {
		p.answers[q.entry] = count
	}
	q.parts[key] = p
	q.markChanged(p)
	return p
}

// addAnswers takes over the count of an entry's whole answers. The caller holds the lock.
func (q *Quarantine) addAnswers(p *part, entry string, count int) {
	known, ok := p.answers[entry]
	if !ok && p.wholeAnswers() >= maxAnswers {
		return
	}
	if count = min(count, maxAnswers); count > known {
		p.answers[entry] = count
		q.markChanged(p)
	}
}

// removeLeastSuspect removes the part with the fewest ends; among these, the one whose newest
// end is the oldest. The caller holds the lock.
func (q *Quarantine) removeLeastSuspect() {
	var least Key
	fewest, oldest := maxEndsPerPart+1, clock.Millis(0)
	for key, p := range q.parts {
		newest := p.newestEnd()
		if n := len(p.ends); n < fewest || n == fewest && (newest < oldest || newest == oldest && key.compare(least) < 0) {
			least, fewest, oldest = key, n, newest
		}
	}
	delete(q.parts, least)
}

// markChanged records a change of a part's records. The caller holds the lock.
func (q *Quarantine) markChanged(p *part) {
	q.position++
	p.position, q.judgedChanged = q.position, true
}

// expire removes the parts that have no record younger than retention. The caller holds the
// lock.
func (q *Quarantine) expire(now clock.Millis) {
	if now < q.expireAt {
		return
	}
	q.expireAt = now + expiryInterval
	for key, p := range q.parts {
		if now-max(p.newestEnd(), p.probe.at, p.released.at) >= retention {
			delete(q.parts, key)
			q.judgedChanged = true
		}
	}
}

// newestEnd returns the time of the newest end.
func (p *part) newestEnd() clock.Millis {
	newest := clock.Millis(0)
	for _, end := range p.ends {
		newest = max(newest, end.at)
	}
	return newest
}

// wholeAnswers returns the number of whole answers that all entries have seen.
func (p *part) wholeAnswers() int {
	count := 0
	for _, n := range p.answers {
		count += n
	}
	return count
}

// requiredEnds returns the number of ends from which the part is quarantined.
func (p *part) requiredEnds() int {
	answers := p.wholeAnswers()
	if answers >= maxAnswers {
		return maxEndsPerPart + 1
	}
	return minEnds + endsPerAnswer*answers
}

// counts reports whether an end is newer than the newest release.
func (p *part) counts(end endRecord) bool {
	return p.released.number == 0 || end.at > p.released.at
}

// countingEnds returns the number of ends since the newest release.
func (p *part) countingEnds() int {
	n := 0
	for _, end := range p.ends {
		if p.counts(end) {
			n++
		}
	}
	return n
}

// isPending reports whether the part will be quarantined if nothing speaks for it until its
// newest ends settle.
func (p *part) isPending(now clock.Millis) bool {
	return p.countingEnds() >= p.requiredEnds() && now-p.newestEnd() < settleTime
}

// depth returns the position of the part in the prompts of its requests.
func (p *part) depth() int {
	depth := 0
	for _, end := range p.ends {
		depth = max(depth, end.depth)
	}
	return depth
}

// nextProbe returns when the given entry may let the next probe of a part through. The entries
// begin at different times, so that usually one of them probes.
func (p *part) nextProbe(key Key, entry string, entryCount int) clock.Millis {
	interval := firstProbeDelay << min(p.probe.number, maxProbeDoublings)
	window := clock.Millis(max(entryCount, 1)) * probeSpread
	hash := xxhash.Sum64String(entry + "\x00" + key.Service + "\x00" + key.Part + strconv.Itoa(p.probe.number))
	return max(p.newestEnd(), p.probe.at) + interval + clock.Millis(hash%uint64(window))
}

// sortedKeys returns the keys of all parts in order. The caller holds the lock.
func (q *Quarantine) sortedKeys() []Key {
	keys := make([]Key, 0, len(q.parts))
	for key := range q.parts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}
