package quarantine

import (
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// Position identifies the records that a process has at a time.
type Position struct {
	Instance uint64 // identifies the process's Quarantine; 0 if nothing is known of it
	Number   uint64 // number of changes of its records
}

// Report returns the records of the parts that changed after a position of this quarantine, in
// order, and the position that they lead to. For a position of another one it returns all.
func (q *Quarantine) Report(now clock.Millis, since Position) (Report, Position) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	if since.Instance != q.instance {
		since.Number = 0
	}
	position := Position{Instance: q.instance, Number: q.position}
	if since.Number >= q.position {
		return Report{}, position
	}
	return q.changedSince(now, since.Number), position
}

// changedSince returns the records of the parts that changed after a change with the given
// number. The caller holds the lock.
func (q *Quarantine) changedSince(now clock.Millis, number uint64) Report {
	var r Report
	for _, run := range sortedRuns(q.servers) {
		if e := q.servers[run]; e.position > number {
			r.Servers = append(r.Servers, EndedServer{Service: e.service, ServerRun: run, Age: now - e.at})
		}
	}
	for _, key := range q.sortedKeys() {
		p := q.parts[key]
		if p.position <= number {
			continue
		}
		for _, run := range sortedRuns(p.ends) {
			end := p.ends[run]
			r.Ends = append(r.Ends, End{Key: key, ServerRun: run, Depth: end.depth, Repeated: end.repeated, Trial: end.trial, Age: now - end.at})
		}
		entries := lo.Keys(p.survivals)
		slices.Sort(entries)
		for _, entry := range entries {
			r.Survivals = append(r.Survivals, Survivals{Key: key, Entry: entry, Count: p.survivals[entry]})
		}
		if p.trial.number > 0 {
			r.Trials = append(r.Trials, Trial{Key: key, Number: p.trial.number, Age: now - p.trial.at})
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

func sortedRuns[T any](ends map[ServerRun]T) []ServerRun {
	runs := lo.Keys(ends)
	slices.SortFunc(runs, ServerRun.compare)
	return runs
}

// Merge takes over the records of a report. Reports can be merged in any order and more than
// once. Records without an end of a server are left out.
func (q *Quarantine) Merge(now clock.Millis, r Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range r.Servers {
		if e.Age < serverRetention {
			q.addServer(e.Service, e.ServerRun, now-max(e.Age, 0))
		}
	}
	for _, e := range r.Ends {
		if e.Age < retention {
			q.addEnd(e.Key, e.ServerRun, endRecord{depth: e.Depth, at: now - max(e.Age, 0), repeated: e.Repeated, trial: e.Trial})
		}
	}
	for _, v := range r.Survivals {
		if p, ok := q.parts[v.Key]; ok {
			q.addSurvivals(p, v.Entry, v.Count)
		}
	}
	for _, t := range r.Trials {
		if p, ok := q.parts[t.Key]; ok && p.trial.merge(t.Number, now-max(t.Age, 0)) {
			q.markChanged(p)
		}
	}
	for _, b := range r.Probes {
		if p, ok := q.parts[b.Key]; ok && p.probe.merge(b.Number, now-max(b.Age, 0)) {
			q.markChanged(p)
		}
	}
	for _, l := range r.Releases {
		if p, ok := q.parts[l.Key]; ok && p.released.merge(l.Number, now-max(l.Age, 0)) {
			q.markChanged(p)
		}
	}
}
