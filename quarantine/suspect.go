package quarantine

import (
	"cmp"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// suspectRecord holds the records of one part or request.
type suspectRecord struct {
	ends      map[ServerRun]endRecord
	survivals survivals
	trial     countRecord
	probe     countRecord
	released  countRecord
	position  uint64       // position of the newest change
	newest    clock.Millis // time of the newest end
	observed  bool         // this process has seen one of the ends
	weighed   weighed
	// knownSince is when this process learned of the first end.
	knownSince clock.Millis
}

// isUrgent reports whether others must learn of a change soon: requests with the part are treated
// differently from the second end on, and nobody else can tell them of ends that this process has seen.
func (r *suspectRecord) isUrgent() bool { return r.observed || len(r.ends) >= minEnds-1 }

// endRecord is the end of a server as evidence against a part or a request.
type endRecord struct {
	depth    int
	at       clock.Millis
	sentAt   clock.Millis // when the request was sent to the server
	begun    bool
	repeated bool
	trial    bool
	request  string // short digest of one of the requests
	several  bool   // several different requests
	version  string // of the server's software; "" if it is not known
}

// merge returns the record of two reports of the same end.
func (e endRecord) merge(other endRecord) endRecord {
	return endRecord{
		depth: max(e.depth, other.depth), at: min(e.at, other.at), sentAt: min(e.sentAt, other.sentAt),
		begun: e.begun || other.begun, repeated: e.repeated || other.repeated, trial: e.trial || other.trial,
		request: lo.CoalesceOrEmpty(min(e.request, other.request), e.request, other.request),
		several: e.several || other.several || e.request != "" && other.request != "" && e.request != other.request,
		version: lo.CoalesceOrEmpty(min(e.version, other.version), e.version, other.version),
	}
}

// isNews reports whether the record tells more than a former one of the same end. Earlier times
// alone do not: they differ with the way that a report took.
func (e endRecord) isNews(former endRecord) bool {
	e.at, e.sentAt = former.at, former.sentAt
	return e != former
}

// countRecord is a number that only grows, and when this process learned of its newest value.
type countRecord struct {
	number int
	at     clock.Millis
}

// maxCount bounds a number from another process, so that it can grow further.
const maxCount = 1 << 20

// merge takes over a higher number, or an earlier time for the same one.
func (c *countRecord) merge(number int, at clock.Millis) bool {
	if number > maxCount {
		return false
	}
	if number > c.number {
		c.number, c.at = number, at
		return true
	}
	if number == c.number {
		c.at = min(c.at, at)
	}
	return false
}

// setNewest finds the newest end after a change of the ends.
func (r *suspectRecord) setNewest() {
	r.newest = 0
	for _, end := range r.ends {
		r.newest = max(r.newest, end.at)
	}
}

// suspicion orders parts by the number of their ends, then by the newest one.
type suspicion struct {
	ends   int
	newest clock.Millis
	key    Key
}

func (s suspicion) compare(other suspicion) int {
	if c := cmp.Or(cmp.Compare(s.ends, other.ends), cmp.Compare(s.newest, other.newest)); c != 0 {
		return c
	}
	return s.key.compare(other.key)
}

// nextTrial returns when the given entry may send the next trial of the part. Entries that have learned of
// the part only now, for example because they were started again, spread their trials too.
func (r *suspectRecord) nextTrial(key Key, entry string) clock.Millis {
	if r.trial.number == 0 {
		return 0
	}
	interval := r.longestRun() + trialInterval<<min(max(r.endedTrials()-1, 0), maxTrialDoublings)
	return max(r.trial.at+interval, r.knownSince) + offset(key, entry, r.trial.number, trialSpread)
}

// longestRun returns the longest time for which a request was at a server that ended: the outcome of a
// trial can take as long.
func (r *suspectRecord) longestRun() clock.Millis {
	longest := clock.Millis(0)
	for _, end := range r.ends {
		longest = max(longest, end.at-end.sentAt)
	}
	return longest
}

// endedTrials returns the number of servers that ended under trials.
func (r *suspectRecord) endedTrials() int {
	n := 0
	for _, end := range r.ends {
		if end.trial && r.counts(end) {
			n++
		}
	}
	return n
}

// offset returns a time shorter than window by which an entry's trials or probes of a part begin
// later. The entries begin at different times, so that usually one of them sends one.
func offset(key Key, entry string, number int, window clock.Millis) clock.Millis {
	hash := xxhash.Sum64String(entry + "\x00" + key.Service + "\x00" + key.Text() + strconv.Itoa(number))
	return clock.Millis(hash % uint64(window))
}

// counts reports whether an end is newer than the newest release.
func (r *suspectRecord) counts(end endRecord) bool {
	return r.released.number == 0 || end.at > r.released.at
}

// depth returns the position of the part in the prompts of its requests.
func (r *suspectRecord) depth() int {
	depth := 0
	for _, end := range r.ends {
		depth = max(depth, end.depth)
	}
	return depth
}

// nextProbe returns when the given entry may let the next probe of a part through.
func (r *suspectRecord) nextProbe(key Key, entry string, entryCount int) clock.Millis {
	interval := firstProbeDelay << min(r.probe.number, maxProbeDoublings)
	window := clock.Millis(max(entryCount, 1)) * probeSpread
	return max(r.newest, r.probe.at) + interval + offset(key, entry, r.probe.number, window)
}
