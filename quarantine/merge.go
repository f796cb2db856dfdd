package quarantine

import (
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
)

// Report returns the records of the parts that changed after a position of this quarantine, in
// order, and the position that they lead to. For a position of another one it returns all.
func (q *Quarantine) Report(now clock.Millis, since gossip.Position) (Report, gossip.Position) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	position := gossip.Position{Instance: q.instance, Number: q.position}
	known := position.Known(since)
	if known == position.Number {
		return Report{}, position
	}
	return q.changedSince(now, known), position
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
		record := q.suspects[key]
		if record.position <= number {
			continue
		}
		for _, run := range sortedRuns(record.ends) {
			end := record.ends[run]
			r.Ends = append(r.Ends, End{
				Key: key, ServerRun: run, Depth: end.depth, Begun: end.begun, Repeated: end.repeated, Trial: end.trial,
				Request: end.request, Several: end.several, AtServer: end.at - end.sentAt, Age: now - end.at,
			})
		}
		entries := lo.Keys(record.survivals)
		slices.Sort(entries)
		for _, entry := range entries {
			r.Survivals = append(r.Survivals, Survivals{Key: key, Entry: entry, Count: record.survivals[entry]})
		}
		if record.trial.number > 0 {
			r.Trials = append(r.Trials, Trial{Key: key, Number: record.trial.number, Age: now - record.trial.at})
		}
		if record.probe.number > 0 {
			r.Probes = append(r.Probes, Probe{Key: key, Number: record.probe.number, Age: now - record.probe.at})
		}
		if record.released.number > 0 {
			r.Releases = append(r.Releases, Release{Key: key, Number: record.released.number, Age: now - record.released.at})
		}
	}
	return r
}

func sortedRuns[T any](ends map[ServerRun]T) []ServerRun {
	runs := lo.Keys(ends)
	slices.SortFunc(runs, ServerRun.compare)
	return runs
}

// record returns the record of a reported end.
func (e End) record(now clock.Millis) endRecord {
	at := now - max(e.Age, 0)
	return endRecord{
		depth: e.Depth, at: at, sentAt: at - max(e.AtServer, 0), begun: e.Begun, repeated: e.Repeated, trial: e.Trial,
		request: e.Request, several: e.Several,
	}
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
			q.addEnd(e.Key, e.ServerRun, e.record(now))
		}
	}
	for _, v := range r.Survivals {
		if record, ok := q.suspects[v.Key]; ok {
			q.addSurvivals(record, v.Entry, v.Count)
		}
	}
	for _, t := range r.Trials {
		if record, ok := q.suspects[t.Key]; ok && record.trial.merge(t.Number, now-max(t.Age, 0)) {
			q.markChanged(record)
		}
	}
	for _, b := range r.Probes {
		if record, ok := q.suspects[b.Key]; ok && record.probe.merge(b.Number, now-max(b.Age, 0)) {
			q.markChanged(record)
		}
	}
	for _, l := range r.Releases {
		if record, ok := q.suspects[l.Key]; ok && record.released.merge(l.Number, now-max(l.Age, 0)) {
			q.markChanged(record)
		}
	}
}
