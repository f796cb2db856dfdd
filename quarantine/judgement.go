package quarantine

import (
	"cmp"
	"slices"

	"github.com/galenaslip/galenaslip/clock"
)

// Verdict is the decision on a request.
type Verdict struct {
	// Refused is set if the request must not be sent, because Part is quarantined.
	Refused bool
	// Probe is set if the request is let through although Part is quarantined.
	Probe bool
	// Pending is set if the request must not be sent now, because the judgement on Part is
	// pending. It is made within RetryAfter.
	Pending    bool
	RetryAfter clock.Millis
	Part       Key
	Ends       int // number of servers that ended under the part
}

// Check decides on a new request with the given parts. There are entryCount entries.
func (q *Quarantine) Check(now clock.Millis, service string, parts []string, entryCount int) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.parts) == 0 {
		return Verdict{}
	}
	judged := q.judge(now)
	var verdict Verdict
	var probed []*part
	for _, key := range sharedParts(service, parts) {
		p, ok := q.parts[key]
		if ok && !judged[key] && p.isPending(now) {
			return Verdict{Pending: true, RetryAfter: settleTime, Part: key, Ends: len(p.ends)}
		}
		if !judged[key] {
			continue
		}
		verdict.Part, verdict.Ends = key, len(p.ends)
		if now < p.nextProbe(key, q.entry, entryCount) {
			verdict.Refused = true
			return verdict
		}
		probed = append(probed, p)
	}
	for _, p := range probed {
		p.probe = countRecord{number: p.probe.number + 1, at: now}
		q.markChanged(p)
		verdict.Probe = true
	}
	return verdict
}

// MayRepeat reports whether a request that lost its server may be sent to another one. A
// request with a part that one more end would quarantine may not: it would take the next
// server down as well.
func (q *Quarantine) MayRepeat(service string, parts []string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range sharedParts(service, parts) {
		p, ok := q.parts[key]
		if ok && p.countingEnds() >= p.requiredEnds()-1 {
			return false
		}
	}
	return true
}

// maxTime is later than all times.
const maxTime = clock.Millis(1 << 62)

// Quarantined returns the quarantined parts in order.
func (q *Quarantine) Quarantined(now clock.Millis) []Key {
	q.mu.Lock()
	defer q.mu.Unlock()
	var keys []Key
	for key := range q.judge(now) {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}

// Suspect describes the evidence against a part.
type Suspect struct {
	Key
	Servers     []string // servers that ended under the part
	Answers     int      // whole answers; the count stops at a few
	Quarantined bool
}

// Suspects returns all parts under which servers have ended, in order.
func (q *Quarantine) Suspects(now clock.Millis) []Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	judged := q.judge(now)
	keys := q.sortedKeys()
	suspects := make([]Suspect, len(keys))
	for i, key := range keys {
		suspects[i] = q.suspect(key)
		suspects[i].Quarantined = judged[key]
	}
	return suspects
}

// Suspect returns the evidence against a part, without the judgement.
func (q *Quarantine) Suspect(key Key) Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.suspect(key)
}

// suspect is Suspect for callers that hold the lock.
func (q *Quarantine) suspect(key Key) Suspect {
	p, ok := q.parts[key]
	if !ok {
		return Suspect{Key: key}
	}
	var servers []string
	for _, run := range sortedRuns(p.ends) {
		servers = append(servers, run.Server)
	}
	return Suspect{Key: key, Servers: servers, Answers: p.wholeAnswers()}
}

// judge returns the quarantined parts. The caller holds the lock.
func (q *Quarantine) judge(now clock.Millis) map[Key]bool {
	q.expire(now)
	if q.judgedChanged || now >= q.judgedUntil {
		ends, settledAt := q.endedRuns(now)
		q.judged, q.judgedUntil, q.judgedChanged = q.judgeRuns(ends), settledAt, false
	}
	return q.judged
}

// endedRun is the end of a server with the parts that are suspect because of it.
type endedRun struct {
	run   ServerRun
	at    clock.Millis
	parts []Key
}

// endedRuns returns the ends of servers that count, oldest first, and when the next one
// settles. The caller holds the lock.
func (q *Quarantine) endedRuns(now clock.Millis) (ends []endedRun, settledAt clock.Millis) {
	settledAt = maxTime
	byRun := map[ServerRun]*endedRun{}
	for _, key := range q.sortedKeys() {
		p := q.parts[key]
		for run, end := range p.ends {
			if end.at+settleTime > now {
				settledAt = min(settledAt, end.at+settleTime)
				continue
			}
			if !p.counts(end) {
				continue
			}
			e, ok := byRun[run]
			if !ok {
				e = &endedRun{run: run, at: end.at}
				byRun[run] = e
			}
			e.at = min(e.at, end.at)
			e.parts = append(e.parts, key)
		}
	}
	for _, e := range byRun {
		ends = append(ends, *e)
	}
	slices.SortFunc(ends, func(a, b endedRun) int {
		return cmp.Or(cmp.Compare(a.at, b.at), a.run.compare(b.run))
	})
	return ends, settledAt
}

// judgeRuns returns the quarantined parts. It follows the ends of servers in the order of
// time: an end that a quarantined part explains does not count against the parts that came
// with it. So a quarantine does not pass to such a part when a server ends by chance.
func (q *Quarantine) judgeRuns(ends []endedRun) map[Key]bool {
	quarantined := map[Key]bool{}
	counts := map[Key]int{}
	for i, e := range ends {
		if slices.ContainsFunc(e.parts, func(k Key) bool { return quarantined[k] }) {
			continue
		}
		var reached []Key
		for _, key := range e.parts {
			counts[key]++
			if counts[key] >= q.parts[key].requiredEnds() {
				reached = append(reached, key)
			}
		}
		if len(reached) == 0 {
			continue
		}
		worst := slices.MinFunc(reached, q.compareSuspects)
		quarantined[worst] = true
		for _, former := range ends[:i+1] {
			if slices.Contains(former.parts, worst) {
				for _, key := range former.parts {
					counts[key]--
				}
			}
		}
	}
	return quarantined
}

// compareSuspects orders parts that reach the number of ends for a quarantine together: those
// with the fewest whole answers first. Of parts that always come together, the later one in
// the prompt is more specific, so that less is refused. The caller holds the lock.
func (q *Quarantine) compareSuspects(a, b Key) int {
	pa, pb := q.parts[a], q.parts[b]
	return cmp.Or(cmp.Compare(pa.wholeAnswers(), pb.wholeAnswers()), cmp.Compare(pb.depth(), pa.depth()), a.compare(b))
}
