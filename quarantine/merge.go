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

// Evidence returns the records of the keys that are quarantined, suspect or one end short of it, with the
// servers that ended under them, and the number of the newest change of these. It returns false if nothing
// changed after the change with the given number. These are the records that are worth keeping over a
// restart of all processes.
func (q *Quarantine) Evidence(now clock.Millis, since uint64) (Report, uint64, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	isKept := func(r *suspectRecord) bool { return !r.isSound() && len(r.ends) >= minEnds-1 }
	newest := uint64(0)
	for _, record := range q.suspects {
		if isKept(record) {
			newest = max(newest, record.position)
		}
	}
	if newest <= since {
		return Report{}, since, false
	}
	var r Report
	for _, key := range q.sortedKeys() {
		if record := q.suspects[key]; isKept(record) {
			r = record.appendTo(r, now, key)
		}
	}
	ended := lo.SliceToMap(r.Ends, func(e End) (ServerRun, bool) { return e.ServerRun, true })
	for _, run := range sortedRuns(q.servers) {
		if ended[run] {
			r.Servers = append(r.Servers, q.endedServer(now, run))
		}
	}
	return r, newest, true
}

// endedServer returns the record of a server that has ended. The caller holds the lock.
func (q *Quarantine) endedServer(now clock.Millis, run ServerRun) EndedServer {
	e := q.servers[run]
	return EndedServer{Service: e.service, ServerRun: run, Age: now - e.at}
}

// changedSince returns the records of the parts that changed after a change with the given
// number. The caller holds the lock.
func (q *Quarantine) changedSince(now clock.Millis, number uint64) Report {
	var r Report
	for _, run := range sortedRuns(q.servers) {
		if q.servers[run].position > number {
			r.Servers = append(r.Servers, q.endedServer(now, run))
		}
	}
	for _, key := range q.sortedKeys() {
		if record := q.suspects[key]; record.position > number {
			r = record.appendTo(r, now, key)
		}
	}
	return r
}

// appendTo returns the report with the records of a key.
func (r *suspectRecord) appendTo(report Report, now clock.Millis, key Key) Report {
	for _, run := range sortedRuns(r.ends) {
		end := r.ends[run]
		report.Ends = append(report.Ends, End{
			Key: key, ServerRun: run, Depth: end.depth, Begun: end.begun, Repeated: end.repeated, Trial: end.trial,
			Request: end.request, Several: end.several, AtServer: end.at - end.sentAt, Age: now - end.at,
		})
	}
	entries := lo.Keys(r.survivals)
	slices.Sort(entries)
	for _, entry := range entries {
		report.Survivals = append(report.Survivals, Survivals{Key: key, Entry: entry, Count: r.survivals[entry]})
	}
	if r.trial.number > 0 {
		report.Trials = append(report.Trials, Trial{Key: key, Number: r.trial.number, Age: now - r.trial.at})
	}
	if r.probe.number > 0 {
		report.Probes = append(report.Probes, Probe{Key: key, Number: r.probe.number, Age: now - r.probe.at})
	}
	if r.released.number > 0 {
		report.Releases = append(report.Releases, Release{Key: key, Number: r.released.number, Age: now - r.released.at})
	}
	return report
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
			q.addEnd(now, e.Key, e.ServerRun, e.record(now))
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
