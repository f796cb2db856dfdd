package quarantine

import (
	"maps"
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
	// minEnds is the number of servers that must end under a part one after another before it is
	// quarantined, at least one of them under a trial.
	minEnds = 3
	// suspectShare is the share of the score for a quarantine from which a part is suspect. It
	// makes two ends one after another enough.
	suspectShare = 0.4
	// endsPerSurvival is the number of further ends that each survival makes up for.
	endsPerSurvival = 3
	// maxSurvivals is the number of survivals from which a part is never quarantined.
	maxSurvivals = 5
	// SurvivalTime is how long a server must go on answering a request for a survival, and the
	// longest time between the begin of an answer and the end of its server for which the
	// request is a suspect.
	SurvivalTime = 500 * clock.Millisecond
	// settleTime is how old an end must be to count as certain. By then other entries have told
	// of survivals of requests with the part, and of other servers that ended within
	// togetherTime.
	settleTime = 1500 * clock.Millisecond
	// trialInterval is the time between the first trial of a suspect part and the second one. It
	// doubles with each trial, up to maxTrialDoublings times. The other requests with the part
	// wait for the outcome; the trial itself may wait in the queue of its server first.
	trialInterval     = 4 * clock.Second
	maxTrialDoublings = 4
	// trialSpread is the time over which entries begin to send the next trial, so that the
	// others learn of it before they send one too.
	trialSpread = 2 * clock.Second
	// firstProbeDelay is the time from the newest end to the first probe. It doubles with each
	// probe, up to maxProbeDoublings times.
	firstProbeDelay   = 15 * clock.Second
	maxProbeDoublings = 6
	// probeSpread is the time between the probes that two entries would begin on average, so
	// that the others learn of a probe before they begin one.
	probeSpread = 1 * clock.Second
	// retention is how long records are kept.
	retention = 20 * clock.Minute
	// serverRetention is how long the ends of servers are kept that are not held against a
	// part: as long as they can explain ends that count anew.
	serverRetention = 1 * clock.Minute
	// expiryInterval is the shortest time between two searches for old records.
	expiryInterval = 1 * clock.Second
)

// Limits of what is kept, whatever callers send.
const (
	maxParts         = 128
	maxEndsPerPart   = 16
	maxServers       = 512  // ended servers
	maxKnownSurvived = 4096 // parts without ends whose survivals are remembered
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
	servers  map[ServerRun]serverEnd
	counts   map[string]int       // number of servers, by service
	survived *lru.Cache[Key, int] // survivals that this process has seen, for parts without ends
	expireAt clock.Millis         // when old records are searched for next

	position      uint64    // number of changes of records so far
	judged        judgement // valid until its end unless judgedChanged is set
	judgedChanged bool
}

// part holds the records of one part.
type part struct {
	ends      map[ServerRun]endRecord
	survivals map[string]int // by entry
	trial     countRecord
	probe     countRecord
	released  countRecord
	position  uint64 // position of the newest change
}

// endRecord is the end of a server as evidence against a part.
type endRecord struct {
	depth    int
	at       clock.Millis
	repeated bool
	trial    bool
}

// merge returns the record of two reports of the same end.
func (e endRecord) merge(other endRecord) endRecord {
	return endRecord{depth: max(e.depth, other.depth), at: min(e.at, other.at), repeated: e.repeated || other.repeated, trial: e.trial || other.trial}
}

// serverEnd is the end of a server, whatever ran on it.
type serverEnd struct {
	service  string
	at       clock.Millis
	position uint64 // position of the newest change
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
	survived, err := lru.New[Key, int](maxKnownSurvived)
	if err != nil {
		panic(err) // cannot happen: the size is positive
	}
	return &Quarantine{
		entry: options.Entry, instance: 1 + rand.Uint64N(math.MaxUint64), parts: map[Key]*part{},
		servers: map[ServerRun]serverEnd{}, counts: map[string]int{}, survived: survived,
	}
}

// SetServerCounts sets the number of servers of each service. Ends of servers are weighed by
// how many others of the service end at the same time.
func (q *Quarantine) SetServerCounts(counts map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !maps.Equal(q.counts, counts) {
		q.counts, q.judgedChanged = maps.Clone(counts), true
	}
}

// Subject is what the judgement looks at in a request.
type Subject struct {
	Service string
	Parts   []string // IDs of the parts of the prompt, in order
}

// keys returns the keys of the parts that may be quarantined. The last part belongs to one
// request or session alone, so nothing can be learned about it.
func (s Subject) keys() []Key {
	if len(s.Parts) < 2 {
		return nil
	}
	shared := s.Parts[:min(len(s.Parts)-1, maxPartsPerRequest)]
	keys := make([]Key, len(shared))
	for i, id := range shared {
		keys[i] = NewKey(s.Service, id)
	}
	return keys
}

// Loss describes how a request was lost when its server ended.
type Loss struct {
	At        clock.Millis // when the connection was lost
	Answering clock.Millis // how long the server had been answering
	Repeated  bool         // the request had lost another server that ended, and was sent here after that
	Tried     Key          // the part of which the request was a trial; zero if it was none
}

// RecordEnd records that a server ended while it answered a request. A server that had been
// answering for SurvivalTime ended for another reason.
func (q *Quarantine) RecordEnd(s Subject, run ServerRun, loss Loss) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addServer(s.Service, run, loss.At)
	if loss.Answering > SurvivalTime {
		return
	}
	for depth, key := range s.keys() {
		q.addEnd(key, run, endRecord{depth: depth, at: loss.At, repeated: loss.Repeated, trial: key == loss.Tried})
	}
}

// RecordServerEnd records that a server has ended, without a request that was lost there. The
// time is that at which it became known.
func (q *Quarantine) RecordServerEnd(now clock.Millis, service string, run ServerRun) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addServer(service, run, now)
}

// RecordSurvival records that a request did not end its server: it was answered whole, or for
// SurvivalTime. If it was a probe, its parts are released.
func (q *Quarantine) RecordSurvival(now clock.Millis, s Subject, probe bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range s.keys() {
		p, ok := q.parts[key]
		if !ok {
			count, _ := q.survived.Get(key)
			q.survived.Add(key, min(count+1, maxSurvivals))
			continue
		}
		q.addSurvivals(p, q.entry, p.survivals[q.entry]+1)
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

// addServer adds the end of a server, whatever ran on it. The caller holds the lock.
func (q *Quarantine) addServer(service string, run ServerRun, at clock.Millis) {
	known, ok := q.servers[run]
	switch {
	case ok && at < known.at:
		known.at = at
		q.servers[run] = known
		q.judgedChanged = true
	case !ok && len(q.servers) < maxServers:
		q.position++
		q.servers[run] = serverEnd{service: service, at: at, position: q.position}
		q.judgedChanged = true
	}
}

// addEnd adds the end of a server as evidence against a part. The caller holds the lock.
func (q *Quarantine) addEnd(key Key, run ServerRun, end endRecord) {
	p := q.part(key)
	known, ok := p.ends[run]
	if !ok {
		if len(p.ends) >= maxEndsPerPart && !p.removeEndFor(end) {
			return
		}
		p.ends[run] = end
		q.markChanged(p)
		return
	}
	merged := known.merge(end)
	p.ends[run] = merged
	// An earlier time alone is no news: it differs with the way that the report took.
	if merged.depth != known.depth || merged.repeated != known.repeated || merged.trial != known.trial {
		q.markChanged(p)
	}
	q.judgedChanged = q.judgedChanged || merged != known
}

// removeEndFor removes the newest end that is not that of a trial, to keep another one in its
// place, and reports whether it has. Ends of trials are kept, because a quarantine needs one.
func (p *part) removeEndFor(end endRecord) bool {
	if !end.trial {
		return false
	}
	var newest ServerRun
	found := false
	for run, other := range p.ends {
		if !other.trial && (!found || other.at > p.ends[newest].at) {
			newest, found = run, true
		}
	}
	delete(p.ends, newest)
	return found
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
	p := &part{ends: map[ServerRun]endRecord{}, survivals: map[string]int{}}
	if count, ok := q.survived.Get(key); ok {
		p.survivals[q.entry] = count
	}
	q.parts[key] = p
	q.markChanged(p)
	return p
}

// addSurvivals takes over the count of an entry's survivals. The caller holds the lock.
func (q *Quarantine) addSurvivals(p *part, entry string, count int) {
	known, ok := p.survivals[entry]
	if !ok && p.survivalCount() >= maxSurvivals {
		return
	}
	if count = min(count, maxSurvivals); count > known {
		p.survivals[entry] = count
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
	maps.DeleteFunc(q.servers, func(_ ServerRun, e serverEnd) bool { return now-e.at >= serverRetention })
	for key, p := range q.parts {
		if now-max(p.newestEnd(), p.trial.at, p.probe.at, p.released.at) >= retention {
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

// survivalCount returns the number of survivals that all entries have seen.
func (p *part) survivalCount() int {
	count := 0
	for _, n := range p.survivals {
		count += n
	}
	return count
}

// requiredScore returns the score of ends from which the part is quarantined.
func (p *part) requiredScore() float64 {
	survivals := p.survivalCount()
	if survivals >= maxSurvivals {
		return maxEndsPerPart + 1
	}
	return float64(minEnds + endsPerSurvival*survivals)
}

// nextTrial returns when the given entry may send the next trial of the part.
func (p *part) nextTrial(key Key, entry string) clock.Millis {
	if p.trial.number == 0 {
		return 0
	}
	interval := trialInterval << min(p.trial.number-1, maxTrialDoublings)
	return p.trial.at + interval + offset(key, entry, p.trial.number, trialSpread)
}

// offset returns a time shorter than window by which an entry's trials or probes of a part begin
// later. The entries begin at different times, so that usually one of them sends one.
func offset(key Key, entry string, number int, window clock.Millis) clock.Millis {
	hash := xxhash.Sum64String(entry + "\x00" + key.Service + "\x00" + key.Part + strconv.Itoa(number))
	return clock.Millis(hash % uint64(window))
}

// counts reports whether an end is newer than the newest release.
func (p *part) counts(end endRecord) bool {
	return p.released.number == 0 || end.at > p.released.at
}

// depth returns the position of the part in the prompts of its requests.
func (p *part) depth() int {
	depth := 0
	for _, end := range p.ends {
		depth = max(depth, end.depth)
	}
	return depth
}

// nextProbe returns when the given entry may let the next probe of a part through.
func (p *part) nextProbe(key Key, entry string, entryCount int) clock.Millis {
	interval := firstProbeDelay << min(p.probe.number, maxProbeDoublings)
	window := clock.Millis(max(entryCount, 1)) * probeSpread
	return max(p.newestEnd(), p.probe.at) + interval + offset(key, entry, p.probe.number, window)
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
