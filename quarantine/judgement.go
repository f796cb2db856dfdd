package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// Verdict is the decision on a request.
type Verdict struct {
	// Refused is set if the request must not be sent, because Part is quarantined.
	Refused bool
	// Probe is set if the request is let through although Part is quarantined.
	Probe bool
	// Trial is set if the request is to be sent, after BeginTrial, although Part is suspect, to find
	// out whether this part ends servers. Others wait for the outcome. Of several suspect parts, Part is the last one
	// in the prompt, or the request itself: its trial says nothing about the others. Part may also be the
	// request itself if that is doubtful only; see Doubtful.
	Trial bool
	// Pending is set if the request must not be sent now, because a trial of Part or the
	// judgement on it is pending. It may come again after RetryAfter.
	Pending    bool
	RetryAfter clock.Millis
	Part       Key // the part of the prompt, or the request itself
	Ends       int // number of servers that ended under the part
}

// pendingRetryAfter is when a request with a suspect part may come again. Most trials have an
// outcome by then.
const pendingRetryAfter = 1 * clock.Second

// Check decides on a new request. There are entryCount entries.
func (q *Quarantine) Check(now clock.Millis, s Subject, entryCount int) Verdict {
	s = q.withDigest(s)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordTraffic(s)
	if len(q.suspects) == 0 {
		return Verdict{}
	}
	judged := q.judge(now)
	var verdict Verdict
	var probed []*suspectRecord
	tried := false
	for _, key := range q.keys(s) {
		record, ok := q.suspects[key]
		if !ok || !q.isSuspect(now, key, record) {
			continue
		}
		verdict.Part, verdict.Ends = key, len(record.ends)
		switch {
		case judged.quarantined[key] && now < record.nextProbe(key, q.entry, entryCount):
			verdict.Refused = true
			return verdict
		case judged.quarantined[key]:
			probed = append(probed, record)
		case q.evidence(now, key, record).certain || now < record.nextTrial(key, q.entry):
			verdict.Pending, verdict.RetryAfter = true, pendingRetryAfter
		default:
			tried = true
		}
	}
	if verdict.Pending {
		return verdict
	}
	if key, doubtful := q.doubtful(now, s); doubtful && !tried && len(probed) == 0 {
		tried, verdict.Part, verdict.Ends = true, key, len(q.suspects[key].ends)
	}
	for _, record := range probed {
		record.probe = countRecord{number: record.probe.number + 1, at: now}
		q.markChanged(record)
	}
	verdict.Probe, verdict.Trial = len(probed) > 0, tried
	return verdict
}

// BeginTrial records that a request for which Check has returned a trial of a part is sent. Until
// then the trial does not count, because a request that finds no server tells nothing.
func (q *Quarantine) BeginTrial(now clock.Millis, key Key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if record, ok := q.suspects[key]; ok {
		record.trial = countRecord{number: record.trial.number + 1, at: now}
		q.markChanged(record)
	}
}

// MayRepeat reports whether a request that lost its server may be sent to another one. A
// request with a suspect part may not: it would probably take the next server down as well.
func (q *Quarantine) MayRepeat(now clock.Millis, s Subject) bool {
	s = q.withDigest(s)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.suspects) == 0 {
		return true
	}
	q.judge(now)
	for _, key := range q.keys(s) {
		record, ok := q.suspects[key]
		if ok && q.isSuspect(now, key, record) {
			return false
		}
	}
	return true
}

// Doubtful returns the key of a request that would be suspect if the servers ended at which it was
// abandoned lately, and reports whether it is one. Such a request is neither refused nor does it wait for
// others, but it is sent as a trial: the next server may be the third one that it ends.
func (q *Quarantine) Doubtful(now clock.Millis, s Subject) (Key, bool) {
	s = q.withDigest(s)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.suspects) == 0 {
		return Key{}, false
	}
	q.judge(now)
	return q.doubtful(now, s)
}

// doubtful is Doubtful for callers that hold the lock and have called judge.
func (q *Quarantine) doubtful(now clock.Millis, s Subject) (Key, bool) {
	if s.Unsettled == 0 || q.requests == 0 {
		return Key{}, false
	}
	key := NewRequestKey(s.Service, s.digest())
	record, ok := q.suspects[key]
	if !ok || record.countingEnds() == 0 || q.isSuspect(now, key, record) {
		return Key{}, false
	}
	return key, q.evidence(now, key, record).ends+float64(s.Unsettled) >= record.requiredScore()-1
}

const (
	// maxTime is later than all times.
	maxTime = clock.Millis(1 << 62)
	// sameTime is the time within which it cannot be told which of two parts was certain first,
	// because ends reach the entries at different times.
	sameTime = 1 * clock.Second
)

// Quarantined returns the quarantined parts in order.
func (q *Quarantine) Quarantined(now clock.Millis) []Key {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.SortedFunc(maps.Keys(q.judge(now).quarantined), Key.compare)
}

// Suspect describes the evidence against a part.
type Suspect struct {
	Key
	Servers     []string // servers that ended under the part
	Survivals   int      // requests that did not end their servers; the count stops at a few
	Score       float64  // of the ends that no quarantined part explains
	Required    float64  // score from which the part is quarantined
	Quarantined bool
}

// Suspects returns all parts under which servers have ended, in order.
func (q *Quarantine) Suspects(now clock.Millis) []Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	keys := q.sortedKeys()
	suspects := make([]Suspect, len(keys))
	for i, key := range keys {
		suspects[i] = q.suspect(now, key)
	}
	return suspects
}

// Suspect returns the evidence against a part.
func (q *Quarantine) Suspect(now clock.Millis, key Key) Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspect(now, key)
}

// suspect is Suspect for callers that hold the lock.
func (q *Quarantine) suspect(now clock.Millis, key Key) Suspect {
	record, ok := q.suspects[key]
	if !ok {
		return Suspect{Key: key}
	}
	judged := q.judge(now)
	var servers []string
	for _, run := range sortedRuns(record.ends) {
		servers = append(servers, run.Server)
	}
	return Suspect{
		Key: key, Servers: servers, Survivals: record.survivalCount(), Score: q.evidence(now, key, record).score,
		Required: record.requiredScore(), Quarantined: judged.quarantined[key],
	}
}

// judgeInterval is the shortest time between two judgements. Records can change with each message from
// other processes; what has changed about the parts of a request itself counts at once.
const judgeInterval = 50 * clock.Millisecond

// judgement is what follows from the records of all parts together.
type judgement struct {
	number      uint64 // number of judgements so far
	quarantined map[Key]bool
	explained   map[ServerRun]bool  // runs whose ends a quarantined part explains
	unexplained map[string]timeline // ends of the other runs, by service
	all         map[string]timeline
	suspectEnds map[ServerRun][]suspectAtEnd
	until       clock.Millis // when the next end settles
}

// weighed is the evidence against a part at a judgement.
type weighed struct {
	evidence
	judgement uint64 // its number; 0 if the record has changed since
}

// isSuspect reports whether a part is quarantined or suspect. Here ends count in full, also those
// that others explain: a suspicion costs a sound request little, and a trial clears it. The caller
// holds the lock and has called judge.
func (q *Quarantine) isSuspect(now clock.Millis, key Key, record *suspectRecord) bool {
	return q.judged.quarantined[key] || !record.isSound() && q.evidence(now, key, record).ends >= record.requiredScore()-1
}

// evidence returns what speaks against a part. Ends that have not settled are included; for a part
// that is not quarantined, ends that a quarantined part explains are not. The caller holds the lock
// and has called judge.
func (q *Quarantine) evidence(now clock.Millis, key Key, record *suspectRecord) evidence {
	if record.weighed.judgement != q.judged.number {
		record.weighed = weighed{evidence: q.weighRecord(now, key, record), judgement: q.judged.number}
	}
	return record.weighed.evidence
}

// weighRecord is evidence without what is known from before.
func (q *Quarantine) weighRecord(now clock.Millis, key Key, record *suspectRecord) evidence {
	j := &q.judged
	if len(record.ends) < minEnds-1 {
		return evidence{ends: float64(len(record.ends))} // most records are of requests that lost one server
	}
	if j.quarantined[key] {
		return q.weigh(key, record, now, nil, j.all)
	}
	e := q.weigh(key, record, now, j.explained, j.unexplained)
	if key.Kind == KindRequest {
		// Another request may have been taken for the cause that this one is, so all ends count
		// for the suspicion.
		e.ends = q.weigh(key, record, now, nil, j.all).ends
	}
	return e
}

// judge returns the judgement at a time. The caller holds the lock.
func (q *Quarantine) judge(now clock.Millis) judgement {
	q.expire(now)
	if now >= q.judgeAt && (q.judgedChanged || now >= q.judged.until) {
		q.judgeRecords(now)
		q.judgedChanged, q.judgeAt = false, now+judgeInterval
	}
	return q.judged
}

// judgeRecords sets what follows from the records. The caller holds the lock.
func (q *Quarantine) judgeRecords(now clock.Millis) {
	q.judged = judgement{
		number: q.judged.number + 1, quarantined: map[Key]bool{}, explained: map[ServerRun]bool{}, until: q.nextSettled(now),
	}
	j := &q.judged
	j.all = q.timelines(nil)
	for {
		j.unexplained = q.timelines(j.explained)
		key, ok := q.nextQuarantined(now)
		if !ok {
			return
		}
		j.quarantined[key] = true
		for run := range q.suspects[key].ends {
			j.explained[run] = true
		}
	}
}

// weigh returns the evidence against a part until a time. The caller holds the lock.
func (q *Quarantine) weigh(key Key, record *suspectRecord, until clock.Millis, explained map[ServerRun]bool, timelines map[string]timeline) evidence {
	ends := q.suspectEnds(key, record, until, explained)
	return weigh(key.Kind, ends, timelines[key.Service], q.timelineOf(ends), q.counts[key.Service], record.requiredScore())
}

// candidate is a part whose guilt is certain.
type candidate struct {
	key Key
	evidence
}

// nextQuarantined returns the part whose guilt was certain first, by the settled ends that no
// other quarantined part explains. So a quarantine does not pass to a part that comes with a
// quarantined one when a server ends by chance. Of those that became certain at about the same
// time, it returns the one that explains the most. The caller holds the lock.
func (q *Quarantine) nextQuarantined(now clock.Millis) (Key, bool) {
	j := &q.judged
	var candidates []candidate
	first := maxTime
	for key, record := range q.suspects {
		if j.quarantined[key] || float64(len(record.ends)) < record.requiredScore() || record.endedTrials() == 0 {
			continue // its guilt cannot be certain
		}
		e := q.weigh(key, record, now-settleTime, j.explained, j.unexplained)
		if e.certain {
			candidates = append(candidates, candidate{key: key, evidence: e})
			first = min(first, e.certainAt)
		}
	}
	candidates = lo.Filter(candidates, func(c candidate, _ int) bool { return c.certainAt <= first+sameTime })
	if len(candidates) == 0 {
		return Key{}, false
	}
	return slices.MinFunc(candidates, q.compareCandidates).key, true
}

// suspectEnds returns the ends until a time that count against the part and that no quarantined
// part explains, in the order of time. The caller holds the lock.
func (q *Quarantine) suspectEnds(key Key, record *suspectRecord, until clock.Millis, explained map[ServerRun]bool) []suspectEnd {
	var ends []suspectEnd
	version := record.accusedVersion()
	for run, end := range record.ends {
		if end.at <= until && record.counts(end) && end.isAt(version) && !explained[run] {
			end.trial = end.trial && q.isOnlySuspect(key, run, end)
			ends = append(ends, suspectEnd{endRecord: end, run: run})
		}
	}
	sortEnds(ends)
	return ends
}

// suspectAtEnd is a suspect part of a request that was at a server when it ended.
type suspectAtEnd struct {
	key Key
	end endRecord
}

// isOnlySuspect reports whether no other request with a suspect part, or that is suspect itself,
// was at a server that ended under a trial of the part. It may have been the cause as well. The
// caller holds the lock.
func (q *Quarantine) isOnlySuspect(key Key, run ServerRun, trial endRecord) bool {
	return !slices.ContainsFunc(q.suspectEndsOf(run), func(other suspectAtEnd) bool {
		return other.key != key && (other.end.request != trial.request || other.end.several)
	})
}

// suspectEndsOf returns the suspect parts that were at a server when it ended. They are looked for
// once a judgement. The caller holds the lock.
func (q *Quarantine) suspectEndsOf(run ServerRun) []suspectAtEnd {
	if q.judged.suspectEnds == nil {
		q.judged.suspectEnds = map[ServerRun][]suspectAtEnd{}
		for key, record := range q.suspects {
			if record.isSound() || float64(record.countingEnds()) < record.requiredScore()-1 {
				continue
			}
			for ended, end := range record.ends {
				q.judged.suspectEnds[ended] = append(q.judged.suspectEnds[ended], suspectAtEnd{key: key, end: end})
			}
		}
	}
	return q.judged.suspectEnds[run]
}

// timelines returns when servers ended, by service, without the ends that a quarantined part
// explains. The caller holds the lock.
func (q *Quarantine) timelines(explained map[ServerRun]bool) map[string]timeline {
	lines := map[string]timeline{}
	for run, e := range q.servers {
		if !explained[run] {
			lines[e.service] = append(lines[e.service], e.at)
		}
	}
	for _, line := range lines {
		slices.Sort(line)
	}
	return lines
}

// timelineOf returns when the servers of some ends ended. The caller holds the lock.
func (q *Quarantine) timelineOf(ends []suspectEnd) timeline {
	var line timeline
	for _, e := range ends {
		if s, ok := q.servers[e.run]; ok {
			line = append(line, s.at)
		}
	}
	slices.Sort(line)
	return line
}

// nextSettled returns when the next end of a server settles. The caller holds the lock.
func (q *Quarantine) nextSettled(now clock.Millis) clock.Millis {
	next := maxTime
	for _, e := range q.servers {
		if e.at+settleTime > now {
			next = min(next, e.at+settleTime)
		}
	}
	for _, record := range q.suspects {
		for _, end := range record.ends {
			if end.at+settleTime > now {
				next = min(next, end.at+settleTime)
			}
		}
	}
	return next
}

// compareCandidates orders parts whose guilt became certain together: those that explain more
// ends first, requests as a whole before parts with the same score, then those with the fewest
// survivals. Of parts that always come together, the later one in the prompt is more specific, so
// that less is refused. The caller holds the lock.
func (q *Quarantine) compareCandidates(a, b candidate) int {
	pa, pb := q.suspects[a.key], q.suspects[b.key]
	return cmp.Or(
		cmp.Compare(b.rank(), a.rank()), cmp.Compare(pa.survivalCount(), pb.survivalCount()),
		cmp.Compare(pb.depth(), pa.depth()), a.key.compare(b.key),
	)
}

// rank orders candidates by their score in whole ends, in half ends. A request as a whole goes
// before a part that explains one end more, because less is refused with it.
func (c candidate) rank() int {
	const halfEnds = 2
	rank := halfEnds * int(c.score+scoreTolerance)
	if c.key.Kind == KindRequest {
		rank += halfEnds + 1
	}
	return rank
}
