package relay

import (
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/roster"
	"github.com/galenaslip/galenaslip/slowstart"
)

const (
	// introductionTime is how long servers count as started before, from when the first one of their
	// service became known: the relay has just started itself, or the whole service has.
	introductionTime = 4 * clock.Second
	// maxHeldShare is the largest share of servers that are held back. With more of them, the others
	// would have to do noticeably more than their part of the work.
	maxHeldShare = 0.2
	// trialInterval is the mean time between requests of all entries together to a server that does not
	// respond and still sends heartbeats.
	trialInterval = 1 * clock.Second
	// maxTrialDelay bounds the time between the trials of one entry.
	maxTrialDelay = 30 * clock.Second
	// relapseShare is the share of failed attempts from which a server counts as recovering.
	relapseShare = 0.5
)

// introduce decides whether a server that was unknown until now has just started. The caller holds
// the lock.
func (f *fleet) introduce(now clock.Millis, s *server) {
	p := f.pool(s.record.Service)
	if !p.hasServers {
		p.hasServers, p.firstServerAt = true, now
	}
	if now-p.firstServerAt >= introductionTime || s.record.WarmupLeft > 0 {
		f.beginSlowStart(now, s)
	}
}

// beginSlowStart records that a server starts or recovers. The caller holds the lock.
func (f *fleet) beginSlowStart(now clock.Millis, s *server) {
	s.window = slowstart.Begin(now, s.record.Slots, f.entryCount)
}

// followSlowStart adjusts the window of a server to the end of an attempt, or the norm of its service
// if it has none. It reports whether the window has ended. The caller holds the lock.
func (f *fleet) followSlowStart(now clock.Millis, s *server, a *attempt) (settled bool) {
	if a.run != s.run() {
		return false
	}
	p := f.pool(s.record.Service)
	active := s.window.Active(now)
	switch a.result {
	case resultFailed:
		if !active && s.failureShare(now) >= relapseShare {
			f.beginSlowStart(now, s)
			return false
		}
		s.window = s.window.WithFailure(now, a.chosenAt)
	case resultNotRun:
		s.window = s.window.WithFailure(now, a.chosenAt)
	case resultAnswered:
		if a.firstByteAt == 0 {
			return false
		}
		if !active {
			p.norm.Record(a.uncachedTokens, a.firstByteAt-a.chosenAt, now-a.chosenAt)
			return false
		}
		slowness := p.norm.Slowness(a.uncachedTokens, a.firstByteAt-a.chosenAt)
		if a.head.Status >= http.StatusInternalServerError {
			slowness = slowstart.Failed
		}
		s.window = s.window.WithAnswer(now, a.chosenAt, slowness, f.usualAttempts(now, s.record.Service))
	}
	return active && !s.window.Active(now)
}

// usualAttempts returns how many running attempts this entry has at a server of a service that is in
// normal use, on average. The caller holds the lock.
func (f *fleet) usualAttempts(now clock.Millis, service string) float64 {
	attempts, servers := 0, 0
	for _, s := range f.servers {
		if s.record.Service == service && s.record.State == roster.Serving && !s.window.Active(now) {
			attempts += len(s.attempts)
			servers++
		}
	}
	return float64(attempts) / float64(max(servers, 1))
}

// isStarting reports whether the window of a server holds. The pace that a server names itself goes
// first: the limiter keeps to it. The caller holds the lock.
func (f *fleet) isStarting(now clock.Millis, s *server) bool {
	return s.window.Holds(now, f.use(now, s)) && !f.limiter.Limits().Limit(ratelimit.Run(s.run())).Exists()
}

// withinWindows returns the servers in normal use and those that start or recover and may get another
// request. If many servers start, each of them may get at least one request of this entry. If the ones
// in normal use have no free slot, the starting ones that have one come first. A request is never
// refused for a window: if all servers start, or none has a free slot, it returns all. The caller
// holds the lock.
func (f *fleet) withinWindows(now clock.Millis, servers []*server) []*server {
	if !slices.ContainsFunc(servers, func(s *server) bool { return s.window.Active(now) }) {
		return servers // most of the time, so that a choice allocates nothing for the windows
	}
	starting, settled := lo.FilterReject(servers, func(s *server, _ int) bool { return f.isStarting(now, s) })
	if len(starting) == 0 || len(settled) == 0 {
		return servers
	}
	allowsOne := func(s *server, _ int) bool { return !f.isStarting(now, s) || s.window.AllowsOne(now, len(s.attempts)) }
	if float64(len(starting)) > maxHeldShare*float64(len(servers)) {
		return lo.Filter(servers, allowsOne)
	}
	if lo.SomeBy(settled, func(s *server) bool { return s.hasRoom(now) }) {
		turn := slowstart.TurnLength(f.pool(settled[0].record.Service).norm.RequestTime())
		return lo.Filter(servers, func(s *server, _ int) bool {
			return !f.isStarting(now, s) || s.window.Allows(now, f.use(now, s), slowstart.Turns{Key: f.turnKey ^ s.nameHash, Length: turn})
		})
	}
	free := lo.Filter(starting, func(s *server, i int) bool { return s.hasRoom(now) && allowsOne(s, i) })
	return lo.Ternary(len(free) > 0, free, servers)
}

// delayTrial determines when this entry may next try whether an unresponsive server has recovered.
// The caller holds the lock.
func (f *fleet) delayTrial(now clock.Millis, s *server) {
	delay := min(trialInterval*clock.Millis(f.entryCount), maxTrialDelay)
	s.tryAt = now + delay/2 + rand.N(delay)
}

// isTrialDue reports whether a request may be sent to an unresponsive server to find out whether it
// has recovered. Nothing else would show it: without requests, the server sends no bytes.
func (s *server) isTrialDue(now clock.Millis, req requirements) bool {
	return req.repeatable && len(s.attempts) == 0 && now >= s.tryAt
}

// use returns what the window of a server depends on. The caller holds the lock.
func (f *fleet) use(now clock.Millis, s *server) slowstart.Use {
	u := slowstart.Use{Own: len(s.attempts), Entries: f.entryCount}
	if now-s.otherEntriesReportedAt < otherEntriesReportMaxAge {
		u.Proven = s.otherEntriesProven
	}
	return u
}

// hasRoom reports whether a request would get a slot at once, as far as this entry knows.
func (s *server) hasRoom(now clock.Millis) bool {
	return s.record.Slots <= 0 || s.load(now)+1 <= float64(s.record.Slots)
}
