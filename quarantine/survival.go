package quarantine

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// survivedPart is a part that servers of a software version have answered.
type survivedPart struct {
	key     Key
	version string
}

// survivalSource is where survivals were counted: at an entry, for one software version of the servers.
type survivalSource struct {
	entry   string
	version string // "" if it is not known
}

// compare orders sources.
func (s survivalSource) compare(other survivalSource) int {
	return cmp.Or(cmp.Compare(s.entry, other.entry), cmp.Compare(s.version, other.version))
}

// survivals counts the requests with a part that did not end their servers.
type survivals map[survivalSource]int

// at returns the number of survivals at a software version.
func (s survivals) at(version string) int {
	count := 0
	for source, n := range s {
		if mayBeSame(source.version, version) {
			count += n
		}
	}
	return count
}

// mayBeSame reports whether two software versions are the same as far as they are known.
func mayBeSame(a, b string) bool { return a == "" || b == "" || a == b }

// isAt reports whether the server that ended may have been of a software version.
func (e endRecord) isAt(version string) bool { return mayBeSame(e.version, version) }

// accusedVersion returns the software version of the servers that the part is judged by. A version that answers
// the part says nothing about another one that ends under it, so it is the one with the most ends beyond those that
// its own survivals make up for.
func (r *suspectRecord) accusedVersion() string {
	versions := lo.Uniq(lo.MapToSlice(r.ends, func(_ ServerRun, end endRecord) string { return end.version }))
	if len(versions) == 0 {
		return ""
	}
	slices.Sort(versions)
	margin := func(version string) float64 { return float64(r.countingEndsAt(version)) - r.requiredScoreAt(version) }
	return lo.MaxBy(versions, func(a, b string) bool { return margin(a) > margin(b) })
}

// survivalCount returns the number of survivals that speak for the part.
func (r *suspectRecord) survivalCount() int { return r.survivals.at(r.accusedVersion()) }

// requiredScore returns the score of ends from which the part is quarantined.
func (r *suspectRecord) requiredScore() float64 { return r.requiredScoreAt(r.accusedVersion()) }

// requiredScoreAt returns the score of ends at a software version from which the part is quarantined.
func (r *suspectRecord) requiredScoreAt(version string) float64 {
	count := r.survivals.at(version)
	if count >= maxSurvivals {
		return maxEndsPerPart + 1
	}
	return float64(minEnds + endsPerSurvival*count)
}

// isSound reports whether so many requests survived that the part is neither suspect nor quarantined,
// however many servers end under it.
func (r *suspectRecord) isSound() bool { return r.survivalCount() >= maxSurvivals }

// endedAt reports whether servers of a software version have ended under the part.
func (r *suspectRecord) endedAt(version string) bool {
	return lo.SomeBy(lo.Values(r.ends), func(end endRecord) bool { return end.isAt(version) })
}

// countingEnds returns the number of ends since the newest release that the part is judged by.
func (r *suspectRecord) countingEnds() int { return r.countingEndsAt(r.accusedVersion()) }

// countingEndsAt returns the number of ends at a software version since the newest release.
func (r *suspectRecord) countingEndsAt(version string) int {
	return lo.CountBy(lo.Values(r.ends), func(end endRecord) bool { return r.counts(end) && end.isAt(version) })
}

// RecordSurvival records that a request did not end its server: it was answered whole, or for
// SurvivalTime. If it was a probe, those of its parts are released under which servers of the same software
// version have ended.
func (q *Quarantine) RecordSurvival(now clock.Millis, s Subject, probe bool) {
	s = q.withDigest(s)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range q.keys(s) {
		record, ok := q.suspects[key]
		if !ok || !record.endedAt(s.Version) {
			q.rememberSurvival(survivedPart{key: key, version: s.Version})
			continue
		}
		source := survivalSource{entry: q.entry, version: s.Version}
		q.addSurvivals(record, source, record.survivals[source]+1)
		if probe {
			q.release(record, now)
		}
	}
}

// rememberSurvival counts a survival of a part without ends. Those of whole requests are not
// remembered, because few requests come again. The caller holds the lock.
func (q *Quarantine) rememberSurvival(p survivedPart) {
	if p.key.Kind == KindRequest {
		return
	}
	count, ok := q.survived.Get(p)
	if !ok {
		p.key = p.key.clone()
	}
	q.survived.Add(p, min(count+1, maxSurvivals))
}

// recallSurvivals adds the survivals at a software version that this process has seen before the first end there.
// The caller holds the lock.
func (q *Quarantine) recallSurvivals(key Key, record *suspectRecord, version string) {
	source := survivalSource{entry: q.entry, version: version}
	if _, ok := record.survivals[source]; ok {
		return
	}
	if count, ok := q.survived.Get(survivedPart{key: key, version: version}); ok {
		q.addSurvivals(record, source, count)
	}
}

// addSurvivals takes over the count of survivals from a source. The caller holds the lock.
func (q *Quarantine) addSurvivals(record *suspectRecord, source survivalSource, count int) {
	known, ok := record.survivals[source]
	if !ok && (!record.endedAt(source.version) || record.survivals.at(source.version) >= maxSurvivals) {
		return
	}
	if count = min(count, maxSurvivals); count > known {
		record.survivals[source] = count
		q.markChanged(record)
	}
}
