package quarantine

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	// minEnds is the number of servers that must end under a part one after another before it is
	// quarantined, at least one of them under a trial. From one less, the part is suspect.
	minEnds = 3
	// endsPerSurvival is the number of further ends that each survival makes up for.
	endsPerSurvival = 3
	// maxSurvivals is the number of survivals from which a part is never quarantined.
	maxSurvivals = 5
	// SurvivalTime is how long a server must go on answering a request for a survival, and the
	// longest time between the begin of an answer and the end of its server for which the
	// request is a suspect. Some have ended after 700 ms.
	SurvivalTime = 750 * clock.Millisecond
	// settleTime is how old an end must be to count as certain. By then other entries have told
	// of survivals of requests with the part, and of other servers that ended within
	// togetherTime.
	settleTime = 1500 * clock.Millisecond
	// trialInterval is the time between the first trial of a suspect part and the second one. It
	// doubles with each trial that ended its server, up to maxTrialDoublings times. The other requests with the part
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
	maxSuspects      = 512
	maxEndsPerPart   = 16
	maxServers       = 512  // ended servers
	maxWaiting       = 32   // requests that waited at one ended server and are suspects
	maxKnownSurvived = 4096 // parts without ends whose survivals are remembered
)

// Options configure a Quarantine.
type Options struct {
	Entry string // name of this process
	// TellsOwn leaves what others have told out of reports, unless something that this process has seen
	// changes it. It is set for processes that tell those alone which tell all others, so that a member is
	// not told by each of its entries what it has told them.
	TellsOwn bool
}

// Quarantine holds the observations of all entries, as far as this process knows them. It is
// safe for concurrent use. All times are on the clock of the process.
type Quarantine struct {
	entry    string
	tellsOwn bool
	instance uint64

	mu       sync.Mutex
	suspects map[Key]*suspectRecord
	requests int // number of keys of whole requests in suspects
	servers  map[ServerRun]serverEnd
	counts   map[string]int                // number of servers, by service
	survived *lru.Cache[survivedPart, int] // survivals that this process has seen, at versions without ends
	traffic  map[string]*partTraffic
	expireAt clock.Millis // when old records are searched for next

	position      uint64 // number of changes of records so far
	judged        judgement
	judgedChanged bool         // the records have changed since the judgement
	judgeAt       clock.Millis // when the next judgement may be made
	merging       bool         // the records change because of what another process has told
}

// serverEnd is the end of a server, whatever ran on it.
type serverEnd struct {
	service  string
	at       clock.Millis
	waiting  int    // requests that waited there and are held to be suspects by this process
	position uint64 // position of the newest change
}

// New returns an empty quarantine.
func New(options Options) *Quarantine {
	survived, err := lru.New[survivedPart, int](maxKnownSurvived)
	if err != nil {
		panic(err) // cannot happen: the size is positive
	}
	return &Quarantine{
		entry: options.Entry, tellsOwn: options.TellsOwn, instance: 1 + rand.Uint64N(math.MaxUint64), suspects: map[Key]*suspectRecord{},
		servers: map[ServerRun]serverEnd{}, counts: map[string]int{}, survived: survived, traffic: map[string]*partTraffic{},
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
	// Version is the software version of the server that the request was sent to; "" if it is not known. A part
	// may end the servers of one version alone.
	Version string
	Parts   []string // IDs of the parts of the prompt, in order
	// Digest returns the digest of the request; see Digest. It is called only when it is needed.
	// If it is nil, the request is not judged as a whole.
	Digest func() string
	// Unsettled is the number of servers that may still end under the same request, because it was
	// abandoned there lately; see EndChecks.
	Unsettled int
}

// partKeys returns the keys of the parts that may be quarantined. The last part belongs to one
// request or session alone, so nothing can be learned about it.
func (s Subject) partKeys() []Key {
	if len(s.Parts) < 2 {
		return nil
	}
	shared := s.Parts[:len(s.Parts)-1]
	keys := make([]Key, len(shared))
	for i, id := range shared {
		keys[i] = NewKey(s.Service, id)
	}
	return keys
}

// digest returns the digest of the request, or "".
func (s Subject) digest() string {
	if s.Digest == nil {
		return ""
	}
	return s.Digest()
}

// keys returns the keys of the parts and, if requests are suspect at all, that of the request
// itself, which comes last because it is the most specific one. The caller holds the lock.
func (q *Quarantine) keys(s Subject) []Key {
	keys := s.partKeys()
	if q.requests == 0 {
		return keys
	}
	if digest := s.digest(); digest != "" {
		keys = append(keys, NewRequestKey(s.Service, digest))
	}
	return keys
}

// recordTraffic counts a request and the parts of its prompt. The caller holds the lock.
func (q *Quarantine) recordTraffic(s Subject) {
	keys := s.partKeys()
	if len(keys) == 0 {
		return
	}
	t, ok := q.traffic[s.Service]
	if !ok {
		t = newPartTraffic()
		q.traffic[s.Service] = t
	}
	t.add(keys)
}

// isRare reports whether few of the recent requests to the service have a part. The caller holds the lock.
func (q *Quarantine) isRare(key Key) bool {
	t, ok := q.traffic[key.Service]
	return ok && t.isRare(key)
}

// withDigest returns the subject with the digest of the request if that is needed. Computing it can take
// long, so it is called without the lock.
func (q *Quarantine) withDigest(s Subject) Subject {
	q.mu.Lock()
	needed := q.requests > 0
	q.mu.Unlock()
	if needed && s.Digest != nil {
		digest := s.Digest()
		s.Digest = func() string { return digest }
	}
	return s
}

// Loss describes how a request was lost when its server ended.
type Loss struct {
	At        clock.Millis // when the connection was lost
	Sent      clock.Millis // when the request was sent to the server
	Begun     bool         // the server had begun to answer
	Answering clock.Millis // how long it had been answering
	Repeated  bool         // the request had lost another server that ended, and was sent here after that
	Tried     Key          // the part or request of which this was a trial; zero if it was none
}

// RecordEnd records that a server ended while a request ran on it or waited there. A server that
// had been answering for SurvivalTime ended for another reason. A request that waited speaks against
// the parts of its prompt that few other requests have: one that most have waits at every server that
// ends.
func (q *Quarantine) RecordEnd(s Subject, run ServerRun, loss Loss) {
	digest := s.digest()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addServer(s.Service, run, loss.At)
	if loss.Answering > SurvivalTime || !loss.Begun && !q.addWaiting(run) {
		return
	}
	end := endRecord{version: s.Version, at: loss.At, sentAt: loss.Sent, begun: loss.Begun, repeated: loss.Repeated, request: digest[:min(len(digest), shortDigestLength)]}
	for _, p := range q.blamedParts(s, loss) {
		end.depth, end.trial = p.depth, p.trial
		q.observeEnd(loss.At, p.key, run, end)
	}
	if digest != "" {
		key := NewRequestKey(s.Service, digest)
		end.depth, end.trial = len(s.Parts), key == loss.Tried
		q.observeEnd(loss.At, key, run, end)
	}
}

// addWaiting counts a request that waited at a server that has ended, and reports whether it may
// be held to be a suspect. The caller holds the lock.
func (q *Quarantine) addWaiting(run ServerRun) bool {
	e, ok := q.servers[run]
	if !ok || e.waiting >= maxWaiting {
		return false
	}
	e.waiting++
	q.servers[run] = e
	return true
}

// RecordServerEnd records that a server has ended, without a request that was lost there. The
// time is that at which it became known.
func (q *Quarantine) RecordServerEnd(now clock.Millis, service string, run ServerRun) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addServer(service, run, now)
}

// Release ends the quarantine of a part: ends before now no longer count. It reports whether
// the part is known.
func (q *Quarantine) Release(now clock.Millis, key Key) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	record, ok := q.suspects[key]
	if ok {
		q.release(record, now)
	}
	return ok
}

// release records a release. The caller holds the lock.
func (q *Quarantine) release(record *suspectRecord, now clock.Millis) {
	record.released = countRecord{number: record.released.number + 1, at: now}
	q.markChanged(record)
	q.judgeAt = 0
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
		q.servers[run] = serverEnd{service: service, at: at, position: q.changePosition(0)}
		q.judgedChanged = true
	}
}

// observeEnd is addEnd for an end that this process has seen. The caller holds the lock.
func (q *Quarantine) observeEnd(now clock.Millis, key Key, run ServerRun, end endRecord) {
	if record := q.suspectRecord(now, key); !record.observed {
		record.observed = true
		q.markChanged(record)
	}
	q.addEnd(now, key, run, end)
}

// addEnd adds the end of a server as evidence against a part. The caller holds the lock.
func (q *Quarantine) addEnd(now clock.Millis, key Key, run ServerRun, end endRecord) {
	if !q.admits(key, end) {
		return
	}
	record := q.suspectRecord(now, key)
	q.mergeEnd(record, run, end)
	record.setNewest()
	q.recallSurvivals(key, record, end.version)
}

// mergeEnd adds the end of a server to a record. The caller holds the lock.
func (q *Quarantine) mergeEnd(record *suspectRecord, run ServerRun, end endRecord) {
	known, ok := record.ends[run]
	if !ok {
		if len(record.ends) >= maxEndsPerPart && !record.removeEndFor(end) {
			return
		}
		record.ends[run] = end
		q.markChanged(record)
		return
	}
	merged := known.merge(end)
	record.ends[run] = merged
	if merged.isNews(known) {
		q.markChanged(record)
	}
	if merged != known {
		q.judgedChanged, record.weighed = true, weighed{}
	}
}

// removeEndFor removes an end to keep another one in its place, and reports whether it has. That is the oldest end
// at another software version, which says nothing about the version of the new one; else, for the end of a trial,
// the newest end. Ends of trials are kept, because a quarantine needs one.
func (r *suspectRecord) removeEndFor(end endRecord) bool {
	runs := lo.Filter(sortedRuns(r.ends), func(run ServerRun, _ int) bool { return !r.ends[run].trial })
	former := lo.Filter(runs, func(run ServerRun, _ int) bool { return !r.ends[run].isAt(end.version) && r.ends[run].at < end.at })
	isOlder := func(a, b ServerRun) bool { return r.ends[a].at < r.ends[b].at }
	isNewer := func(a, b ServerRun) bool { return r.ends[a].at > r.ends[b].at }
	switch {
	case len(former) > 0:
		delete(r.ends, lo.MinBy(former, isOlder))
	case end.trial && len(runs) > 0:
		delete(r.ends, lo.MaxBy(runs, isNewer))
	default:
		return false
	}
	return true
}

// admits reports whether an end is added that another process has seen. When there are too many parts, all
// processes keep the newest of those that lost one server, so that they do not go on telling each other
// of the rest. The caller holds the lock.
func (q *Quarantine) admits(key Key, end endRecord) bool {
	if _, ok := q.suspects[key]; ok || len(q.suspects) < maxSuspects {
		return true
	}
	least := q.leastSuspect()
	return least.ends > 1 || least.compare(suspicion{ends: 1, newest: end.at, key: key}) < 0
}

// suspectRecord returns the records of a part. If there are none it adds them, and removes those of the
// least suspect one when there are too many. The caller holds the lock.
func (q *Quarantine) suspectRecord(now clock.Millis, key Key) *suspectRecord {
	if record, ok := q.suspects[key]; ok {
		return record
	}
	if len(q.suspects) >= maxSuspects {
		q.remove(q.leastSuspect().key)
	}
	key = key.clone()
	record := &suspectRecord{ends: map[ServerRun]endRecord{}, survivals: survivals{}, knownSince: now}
	q.suspects[key] = record
	if key.Kind == KindRequest {
		q.requests++
	}
	q.markChanged(record)
	return record
}

// remove removes the records of a part. The caller holds the lock.
func (q *Quarantine) remove(key Key) {
	delete(q.suspects, key)
	if key.Kind == KindRequest {
		q.requests--
	}
	q.judgedChanged = true
}

// leastSuspect returns the part with the fewest ends; among these, the one whose newest end is the
// oldest. The caller holds the lock.
func (q *Quarantine) leastSuspect() suspicion {
	least := suspicion{ends: maxEndsPerPart + 1}
	for key, record := range q.suspects {
		if r := (suspicion{ends: len(record.ends), newest: record.newest, key: key}); r.compare(least) < 0 {
			least = r
		}
	}
	return least
}

// changePosition returns the position of a record that changes, which had a former one. The caller
// holds the lock.
func (q *Quarantine) changePosition(former uint64) uint64 {
	if q.merging && q.tellsOwn {
		return former
	}
	q.position++
	return q.position
}

// markChanged records a change of a part's records. The caller holds the lock.
func (q *Quarantine) markChanged(record *suspectRecord) {
	record.position, q.judgedChanged = q.changePosition(record.position), true
	record.weighed = weighed{}
}

// expire removes the parts that have no record younger than retention. The caller holds the
// lock.
func (q *Quarantine) expire(now clock.Millis) {
	if now < q.expireAt {
		return
	}
	q.expireAt = now + expiryInterval
	maps.DeleteFunc(q.servers, func(_ ServerRun, e serverEnd) bool { return now-e.at >= serverRetention })
	for key, record := range q.suspects {
		if now-max(record.newest, record.trial.at, record.probe.at, record.released.at) >= retention {
			q.remove(key)
		}
	}
}

// sortedKeys returns the keys of all parts in order. The caller holds the lock.
func (q *Quarantine) sortedKeys() []Key {
	keys := make([]Key, 0, len(q.suspects))
	for key := range q.suspects {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}
