package ratelimit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
)

const (
	// limitRetention is how long a limit is kept without an answer that names it again.
	limitRetention = 10 * clock.Minute
	// endRetention is how long it is remembered that a limit has ended, so that other processes
	// learn it.
	endRetention = 1 * clock.Minute
	// maxRuns bounds the number of servers whose limits are kept.
	maxRuns = 1 << 14
	// maxReported bounds the servers in a report, and so the bytes that are exchanged. The rest
	// follows with the next reports.
	maxReported = 64
	// reportedChange is the smallest relative change of a rate that is reported to other
	// processes, and changeInterval the shortest time between two such reports about a server, so
	// that servers that name another limit in each answer cost little. The entries that use such a
	// server read its limit from their own answers.
	reportedChange = 0.2
	changeInterval = 5 * clock.Second
	// reportDelay is how long a report may have been on its way. A reported limit that is less
	// strict than the known one counts as older by this time.
	reportDelay = 1 * clock.Second
)

// Limits holds the newest limits that servers have named, as far as this process knows them. It
// is safe for concurrent use. All times are on the clock of the process.
type Limits struct {
	instance uint64

	mu       sync.Mutex
	runs     map[Run]*record
	position uint64       // number of changes so far that are reported
	expireAt clock.Millis // when old records are searched for next
}

// record is what is known of one run of a server.
type record struct {
	statement
	reported   Limit  // the limit at the newest reported change
	position   uint64 // number of that change
	reportedAt clock.Millis
}

// Reported is the limit of one run of a server in a report. Ages stand in place of times, because
// the clocks of processes differ.
type Reported struct {
	Run
	Limit                  Limit
	EarliestAge, LatestAge clock.Millis // how long ago the server has named the limit, at least LatestAge
}

// Report is what one process tells another about limits.
type Report []Reported

// NewLimits returns an empty set of limits.
func NewLimits() *Limits {
	return &Limits{instance: 1 + rand.Uint64N(math.MaxUint64), runs: map[Run]*record{}}
}

// Record takes over what a server has said in an answer: limit, at some time from the sending of
// the request to the arrival of the answer. It reports whether the limit that holds has changed.
func (l *Limits) Record(now clock.Millis, run Run, limit Limit, sentAt, arrivedAt clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	return l.add(now, run, statement{limit: limit, earliest: sentAt, latest: arrivedAt})
}

// add takes over a statement. It reports whether the limit that holds has changed. The caller holds
// the lock.
func (l *Limits) add(now clock.Millis, run Run, s statement) bool {
	known, ok := l.runs[run]
	if !ok {
		if !s.limit.Exists() || len(l.runs) >= maxRuns {
			return false
		}
		known = &record{statement: s}
		l.runs[run] = known
		l.markChanged(now, known)
		return true
	}
	former := known.limit
	known.statement = known.next(s)
	if known.mustBeReported(now) {
		l.markChanged(now, known)
	}
	return known.limit != former
}

// mustBeReported reports whether the limit has begun or ended since it was reported last, or has
// changed much and not just before.
func (r *record) mustBeReported(now clock.Millis) bool {
	if r.limit.Exists() != r.reported.Exists() {
		return true
	}
	return math.Abs(r.limit.rate-r.reported.rate) > reportedChange*r.reported.rate && now-r.reportedAt >= changeInterval
}

// markChanged gives a record the next position. The caller holds the lock.
func (l *Limits) markChanged(now clock.Millis, r *record) {
	l.position++
	r.position, r.reported, r.reportedAt = l.position, r.limit, now
}

// Limit returns the limit of a run of a server.
func (l *Limits) Limit(run Run) Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.runs[run]; ok {
		return known.limit
	}
	return None
}

// Count returns the number of servers with a limit.
func (l *Limits) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, known := range l.runs {
		if known.limit.Exists() {
			n++
		}
	}
	return n
}

// IsEmpty reports whether no server is known to have or to have had a limit.
func (l *Limits) IsEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs) == 0
}

// Report returns up to maxReported limits that changed after a position of this set, oldest
// change first, and the position that they lead to. It implements gossip.Records.
func (l *Limits) Report(now clock.Millis, since gossip.Position) (Report, gossip.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	position := gossip.Position{Instance: l.instance, Number: l.position}
	known := position.Known(since)
	if known == position.Number {
		return nil, position
	}
	changed := l.changedSince(known)
	if len(changed) > maxReported {
		changed = changed[:maxReported]
		position.Number = l.runs[changed[maxReported-1]].position
	}
	report := make(Report, len(changed))
	for i, run := range changed {
		r := l.runs[run]
		report[i] = Reported{Run: run, Limit: r.limit, EarliestAge: now - r.earliest, LatestAge: now - r.latest}
	}
	return report, position
}

// changedSince returns the runs whose limits changed after the change with a number, in the order
// of their changes. The caller holds the lock.
func (l *Limits) changedSince(number uint64) []Run {
	var changed []Run
	for run, known := range l.runs {
		if known.position > number {
			changed = append(changed, run)
		}
	}
	slices.SortFunc(changed, func(a, b Run) int { return cmp.Compare(l.runs[a].position, l.runs[b].position) })
	return changed
}

// Merge takes over the limits of a report. It implements gossip.Records.
func (l *Limits) Merge(now clock.Millis, report Report) {
	if len(report) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range report {
		s := statement{limit: r.Limit, latest: now - max(r.LatestAge, 0)}
		s.earliest = min(now-max(r.EarliestAge, 0), s.latest)
		if known, ok := l.runs[r.Run]; ok && known.limit.isStricterThan(s.limit) {
			s.earliest -= reportDelay
		}
		l.add(now, r.Run, s)
	}
	l.expire(now)
}

// expire removes records that are too old, at most once a second. The caller holds the lock.
func (l *Limits) expire(now clock.Millis) {
	if now < l.expireAt {
		return
	}
	l.expireAt = now + clock.Second
	for run, known := range l.runs {
		retention := limitRetention
		if !known.limit.Exists() {
			retention = endRetention
		}
		if now-known.latest > retention {
			delete(l.runs, run)
		}
	}
}

// Limited returns the servers with a limit, ordered by name.
func (l *Limits) Limited() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []Run
	for run, known := range l.runs {
		if known.limit.Exists() {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, Run.compare)
	return runs
}
