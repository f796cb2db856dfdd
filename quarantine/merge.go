package quarantine

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// Report returns all records.
func (q *Quarantine) Report(now clock.Millis) Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.report(now)
}

// report is Report for callers that hold the lock. The records are in order.
func (q *Quarantine) report(now clock.Millis) Report {
	var r Report
	for _, key := range q.sortedKeys() {
		p := q.parts[key]
		for _, run := range sortedRuns(p.ends) {
			r.Ends = append(r.Ends, End{Key: key, ServerRun: run, Depth: p.ends[run].depth, Age: now - p.ends[run].at})
		}
		entries := lo.Keys(p.answers)
		slices.Sort(entries)
		for _, entry := range entries {
			a := p.answers[entry]
			r.Answers = append(r.Answers, Answers{Key: key, Entry: entry, Count: a.number, Age: now - a.at})
		}
		if p.probe.number > 0 {
			r.Probes = append(r.Probes, Probe{Key: key, Number: p.probe.number, Age: now - p.probe.at})
		}
		if p.released.number > 0 {
			r.Releases = append(r.Releases, Release{Key: key, Number: p.released.number, Age: now - p.released.at})
		}
	}
	return r
}

func sortedRuns(ends map[ServerRun]endRecord) []ServerRun {
	runs := lo.Keys(ends)
	slices.SortFunc(runs, ServerRun.compare)
	return runs
}

// Merge takes over the records of a report. Reports can be merged in any order and more than
// once. Records without an end of a server are left out.
func (q *Quarantine) Merge(now clock.Millis, r Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range r.Ends {
		if e.Age < retention {
			q.addEnd(e.Key, e.ServerRun, endRecord{depth: e.Depth, at: now - max(e.Age, 0)})
		}
	}
	for _, a := range r.Answers {
		if p, ok := q.parts[a.Key]; ok {
			q.addAnswers(p, a.Entry, a.Count, now-max(a.Age, 0))
		}
	}
	for _, b := range r.Probes {
		if p, ok := q.parts[b.Key]; ok && p.probe.merge(b.Number, now-max(b.Age, 0)) {
			q.markChanged()
		}
	}
	for _, l := range r.Releases {
		if p, ok := q.parts[l.Key]; ok && p.released.merge(l.Number, now-max(l.Age, 0)) {
			q.markChanged()
		}
	}
}

// Digest returns a hash of all records without their ages. Processes with the same records
// have the same digest; it is 0 if there are none.
func (q *Quarantine) Digest(now clock.Millis) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	if q.digestChanged {
		q.digestChanged, q.digest = false, q.report(now).digest()
	}
	return q.digest
}

// digest returns a hash of the records, which are in order, without their ages.
func (r Report) digest() uint64 {
	if r.IsEmpty() {
		return 0
	}
	hash := xxhash.New()
	add := func(key Key, text string, numbers ...int64) {
		for _, s := range []string{key.Service, key.Part, text} {
			_, _ = hash.WriteString(s + "\x00")
		}
		for _, n := range numbers {
			_, _ = hash.Write(binary.AppendVarint(nil, n))
		}
	}
	for _, e := range r.Ends {
		add(e.Key, e.Server, e.StartedAt, int64(e.Depth))
	}
	total := map[Key]int{}
	for _, a := range r.Answers {
		total[a.Key] += a.Count
	}
	for _, a := range r.Answers {
		// From maxAnswers on, processes may know of different entries.
		if total[a.Key] < maxAnswers {
			add(a.Key, a.Entry, int64(a.Count))
		}
	}
	for _, b := range r.Probes {
		add(b.Key, "probe", int64(b.Number))
	}
	for _, l := range r.Releases {
		add(l.Key, "release", int64(l.Number))
	}
	return hash.Sum64()
}
