package quarantine

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
)

// Limits of one report, whatever has changed. The rest follows with the next reports, so that many
// servers that end at once cost each exchange little.
const (
	maxReportedServers = 128
	// maxReportedEnds bounds the ends against urgent parts, and maxReportedSingles the other parts, which
	// lost one server each.
	maxReportedEnds    = 96
	maxReportedSingles = 64
)

// Report returns records that changed after a position of this quarantine, oldest changes first, and
// the position that they lead to. For a position of another one it begins with the first record. Urgent
// changes do not wait behind the others. It implements gossip.Records.
func (q *Quarantine) Report(now clock.Millis, since gossip.Position) (Report, gossip.Position) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	position := gossip.Position{Instance: q.instance, Number: q.position, Urgent: q.position}
	known := gossip.Position{Instance: q.instance, Number: position.Known(since), Urgent: position.KnownUrgent(since)}
	if known == position {
		return Report{}, position
	}
	return q.changedSince(now, known)
}

// Evidence returns the records of the keys that are quarantined, suspect or one end short of it, with the
// servers that ended under them, and the number of the newest change of these. It returns false if nothing
// changed after the change with the given number. These are the records that are kept over a restart of
// all processes.
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

// changedSince returns records that changed after a position, and the position that they lead to.
// The end of a server is never left out while a later change of a part is reported, because parts
// are judged by how many servers end at the time of theirs. The caller holds the lock.
func (q *Quarantine) changedSince(now clock.Millis, since gossip.Position) (Report, gossip.Position) {
	r, reached := Report{}, gossip.Position{Instance: q.instance, Urgent: q.position}
	servers := slices.DeleteFunc(lo.Keys(q.servers), func(run ServerRun) bool { return q.servers[run].position <= since.Urgent })
	slices.SortFunc(servers, func(a, b ServerRun) int { return cmp.Compare(q.servers[a].position, q.servers[b].position) })
	if len(servers) > maxReportedServers {
		reached.Urgent = q.servers[servers[maxReportedServers]].position - 1
		servers = servers[:maxReportedServers]
	}
	slices.SortFunc(servers, ServerRun.compare)
	for _, run := range servers {
		r.Servers = append(r.Servers, q.endedServer(now, run))
	}
	var urgent, singles []changedRecord
	for key, record := range q.suspects {
		switch c := (changedRecord{key, record}); {
		case !record.isUrgent() && record.position > since.Number:
			singles = append(singles, c)
		case record.isUrgent() && record.position > since.Urgent:
			urgent = append(urgent, c)
		}
	}
	urgent, reached.Urgent = oldestChanges(urgent, reached.Urgent, maxReportedEnds)
	singles, reached.Number = oldestChanges(singles, reached.Urgent, maxReportedSingles)
	changed := slices.Concat(urgent, singles)
	slices.SortFunc(changed, func(a, b changedRecord) int { return a.key.compare(b.key) })
	for _, c := range changed {
		r = c.record.appendTo(r, now, c.key)
	}
	return r, reached
}

// changedRecord is a record to be reported.
type changedRecord struct {
	key    Key
	record *suspectRecord
}

// oldestChanges returns the records with the oldest changes, up to the one with a given number, that
// have up to maxEnds ends, and the number of the change that they lead to.
func oldestChanges(changed []changedRecord, last uint64, maxEnds int) ([]changedRecord, uint64) {
	slices.SortFunc(changed, func(a, b changedRecord) int { return cmp.Compare(a.record.position, b.record.position) })
	ends := 0
	for i, c := range changed {
		ends += len(c.record.ends)
		if c.record.position > last || ends > maxEnds {
			return changed[:i], min(last, c.record.position-1)
		}
	}
	return changed, last
}

// endedServer returns the record of a server that has ended. The caller holds the lock.
func (q *Quarantine) endedServer(now clock.Millis, run ServerRun) EndedServer {
	e := q.servers[run]
	return EndedServer{Service: e.service, ServerRun: run, Age: now - e.at}
}

// appendTo returns the report with the records of a key.
func (r *suspectRecord) appendTo(report Report, now clock.Millis, key Key) Report {
	for _, run := range sortedRuns(r.ends) {
		end := r.ends[run]
		report.Ends = append(report.Ends, End{
			Key: key, ServerRun: run, Depth: end.depth, Begun: end.begun, Repeated: end.repeated, Trial: end.trial,
			Request: end.request, Several: end.several, Version: end.version, AtServer: end.at - end.sentAt, Age: now - end.at,
		})
	}
	sources := lo.Keys(r.survivals)
	slices.SortFunc(sources, survivalSource.compare)
	for _, s := range sources {
		report.Survivals = append(report.Survivals, Survivals{Key: key, Entry: s.entry, Version: s.version, Count: r.survivals[s]})
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
		request: e.Request, several: e.Several, version: e.Version,
	}
}

// Merge takes over the records of a report. Reports can be merged in any order and more than
// once. Records without an end of a server are left out.
func (q *Quarantine) Merge(now clock.Millis, r Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.merging = true
	defer func() { q.merging = false }()
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
			q.addSurvivals(record, survivalSource{entry: v.Entry, version: v.Version}, v.Count)
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
