package relay

import (
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/roster"
	"github.com/galenaslip/galenaslip/speed"
)

// recordOrderRetention is how long the record of a server that is silent or gone keeps
// older ones out. Members that answer on behalf of the leader are behind one another for
// less than a lease; package roster accepts an older announcement only after a minute.
const recordOrderRetention = 30 * clock.Second

// applyUpdate applies an update from the control leader.
func (f *fleet) applyUpdate(now clock.Millis, update control.WatchResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.Epoch != f.serverListEpoch {
		if f.serverListEpoch != 0 {
			f.formerEntryCount = f.entryCount
		}
		f.serverListEpoch, f.serverListEpochAt = update.Epoch, now
		for _, s := range f.servers {
			if s.listedByLeader {
				s.listedByLeader, s.unlistedAt = false, now
			}
		}
	}
	f.setEntryCount(now, update.EntryCount)
	for _, r := range update.Servers {
		f.applyRecord(now, r)
	}
	if !update.LoadsKept {
		f.applyLoads(now, update.Loads)
	}
	for _, d := range update.Demands {
		p := f.pool(d.Service)
		p.otherEntriesLongWork, p.otherEntriesShortWork = float64(d.LongPromptTokens), float64(d.ShortPromptTokens)
	}
}

// setEntryCount stores the number of entries. A new leader counts only those that have asked it, so
// the number that its predecessor had counted holds for a while if it is larger. The caller holds the lock.
func (f *fleet) setEntryCount(now clock.Millis, reported int) {
	f.entryCount = min(max(reported, 1), maxEntries)
	if f.formerEntryCount > 0 && now-f.serverListEpochAt < newLeaderGrace {
		f.entryCount = max(f.entryCount, f.formerEntryCount)
	}
}

// demands returns the recent work of this entry's requests to engines, in equivalent
// prompt tokens, one element for each service.
func (f *fleet) demands() []control.ServiceDemand {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var demands []control.ServiceDemand
	for service, p := range f.pools {
		p.promptWork.decayTo(now)
		demands = append(demands, control.ServiceDemand{Service: service, LongPromptTokens: int(p.promptWork.long), ShortPromptTokens: int(p.promptWork.short)})
	}
	return demands
}

// applyLoads stores the loads of the other entries' running requests. The caller
// holds the lock.
func (f *fleet) applyLoads(now clock.Millis, loads []control.ServerLoad) {
	for _, s := range f.servers {
		s.otherEntriesRequests, s.otherEntriesUnprocessedTokens, s.otherEntriesDecodeCost, s.otherEntriesReportedAt = 0, 0, 0, now
		s.otherEntriesProven = 0
	}
	for _, l := range loads {
		if s, ok := f.servers[l.Server]; ok {
			s.otherEntriesRequests, s.otherEntriesUnprocessedTokens, s.otherEntriesDecodeCost = float64(l.Requests), float64(l.PendingPromptTokens), float64(l.DecodeCost)
			s.otherEntriesProven = l.Proven
		}
	}
}

// loads returns the load of this entry's running requests, one element for each server with such
// requests, or that has lately started or recovered and answers well.
func (f *fleet) loads() []control.ServerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	var loads []control.ServerLoad
	for name, s := range f.servers {
		proven := s.window.Proven(now)
		if len(s.attempts) > 0 || proven > 0 {
			loads = append(loads, control.ServerLoad{
				Server: name, Requests: len(s.attempts), PendingPromptTokens: s.unprocessedTokens, DecodeCost: int(s.decodeCost), Proven: proven,
			})
		}
	}
	return loads
}

// applyRecord stores a server's record unless it is older than the known one. The
// caller holds the lock.
func (f *fleet) applyRecord(now clock.Millis, r roster.Record) {
	known, ok := f.servers[r.Server]
	if !ok {
		if r.State == roster.Gone {
			return
		}
		known = newServer(r, f.promptParts.NewCache())
		f.servers[r.Server] = known
		f.introduce(now, known)
	}
	if r.State == roster.Gone && r.StartedAt == 0 {
		r.Announcement = known.record.WithState(roster.Gone)
	}
	previous := known.record
	if known.outranks(now, r) {
		return
	}
	if r.StartedAt != previous.StartedAt || r.Address != previous.Address {
		f.resetServer(known)
		f.beginSlowStart(now, known)
	}
	if r.Version != previous.Version && r.State != roster.Gone {
		f.followVersion(now, known, r)
	}
	known.followRun(previous, r)
	known.record, known.listedByLeader, known.listedAt = r, true, now
	if r.State != roster.Serving {
		known.discardIdle()
		f.endChecks.Forget(known.run())
	}
	if r.State != roster.Gone {
		f.endChecks.ServerAnnounced(known.run(), r.Address)
	}
}

// outranks reports whether a record must be ignored, because the known one is from a later
// time. It no longer is once the control leader accepts older announcements again.
func (s *server) outranks(now clock.Millis, r roster.Record) bool {
	if (s.record.Silent || s.record.State == roster.Gone) && now-s.listedAt >= recordOrderRetention {
		return false
	}
	return r.StartedAt < s.record.StartedAt || r.StartedAt == s.record.StartedAt && resumesServing(s.record, r)
}

// resumesServing reports whether a record would make a server take requests again that has
// left, or that leaves and has not announced anything since. Such a record is out of date:
// members that answer on behalf of the leader may be behind one another.
func resumesServing(previous, next roster.Record) bool {
	switch previous.State {
	case roster.Gone:
		return next.State != roster.Gone
	case roster.Leaving:
		return next.State == roster.Serving && next.Sequence <= previous.Sequence
	}
	return false
}

// resetServer discards the measurements of a server that has restarted or changed its
// address, and closes its idle connections. The caller holds the lock.
func (f *fleet) resetServer(s *server) {
	s.discardIdle()
	s.promptCache, s.speed = f.promptParts.NewCache(), speed.Estimate{}
	s.unresponsive, s.wrongServer, s.blockedUntil, s.backOff = false, false, 0, 0
	s.recordedFailureShare, s.otherEntriesRequests, s.otherEntriesUnprocessedTokens, s.otherEntriesDecodeCost, s.reportedLoad, s.latency = 0, 0, 0, 0, 0, 0
}
