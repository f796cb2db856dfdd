package relay

import (
	"math/rand/v2"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/frame"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/roster"
	"github.com/galenaslip/galenaslip/withdrawal"
)

// errWithdrawn means that the server has said, after it was chosen and before the request was
// sent, that it wants no requests.
var errWithdrawn = errors.New("the server has said that it wants no requests")

// leavingRetention is how long a server that has said that it leaves is remembered after it is
// gone, so that a late announcement of the same run does not bring it back.
const leavingRetention = 10 * clock.Minute

// pauseJitterShare is the share of the time until a server takes requests again over which the
// return of callers is spread.
const pauseJitterShare = 0.25

// recordLeaving records that the server leaves if it says so in a response. Any complete head
// counts, also that of a late response to an earlier request: a server that leaves does not
// come back in the same run. A misdirected request was answered by another server.
func (x *exchange) recordLeaving(a *attempt, head frame.Head, responseInfo ResponseInfo) {
	if !responseInfo.Leaving || head.Status == statusMisdirected {
		return
	}
	if x.relay.fleet.recordLeaving(a) {
		x.relay.options.Logger.Log(event.ServerLeaving, zap.String("server", a.server.record.Server),
			zap.Int64("started_at", a.run.StartedAt), zap.String("request", x.requestInfo.ID))
	}
}

// recordPause records that the server wants no requests for some time if its response to the
// request says so. A late response to an earlier request does not count: its time may be over.
func (x *exchange) recordPause(a *attempt) {
	if a.head.Status != statusUnavailable || a.responseInfo.RetryAfter <= 0 {
		return
	}
	x.relay.fleet.recordPause(a)
	x.relay.options.Logger.Log(event.ServerPaused, zap.String("server", a.server.record.Server),
		zap.Int64("pause_ms", int64(a.responseInfo.RetryAfter)), zap.String("request", x.requestInfo.ID))
}

// recordLeaving records that the server of an attempt leaves, and closes its idle connections.
// It reports whether that was unknown.
func (f *fleet) recordLeaving(a *attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := a.server
	known := s.withdrawal.Leaving()
	s.withdrawal = s.withdrawal.WithLeaving(uint64(a.run.StartedAt))
	if known || !s.withdrawal.Leaving() {
		return false
	}
	s.discardIdle()
	return true
}

// recordPause records the pause that the server of an attempt has asked for. The pause is
// longer by the margin for clock rates, because the server measures it by its own clock.
func (f *fleet) recordPause(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := a.firstByteAt + lease.WithMargin(a.responseInfo.RetryAfter)
	a.server.withdrawal = a.server.withdrawal.WithPause(uint64(a.run.StartedAt), end)
}

// followRun updates what a server has said when an accepted record tells its run. A record of
// an earlier run shows that the one of the later run was wrong: what was said in the earlier run
// holds again. A server of which no start time is known is another one if its address is another
// one. The caller holds the lock.
func (s *server) followRun(previous, next roster.Record) {
	run := uint64(next.StartedAt)
	switch {
	case next.StartedAt == 0 && previous.StartedAt == 0 && next.Address != previous.Address:
		s.withdrawal = withdrawal.State{}
	case next.StartedAt > previous.StartedAt:
		s.formerWithdrawal, s.withdrawal = s.withdrawal, s.withdrawal.WithRun(run)
	case next.StartedAt < previous.StartedAt && s.formerWithdrawal.Run() == run:
		s.withdrawal = s.formerWithdrawal
	case next.StartedAt < previous.StartedAt:
		s.withdrawal = withdrawal.State{}.WithRun(run)
	}
}

// keepsConnections reports whether a connection that was used in the given run of the server
// may be kept for later requests. The caller holds the lock.
func (s *server) keepsConnections(run int64) bool {
	return run == s.record.StartedAt && s.record.State == roster.Serving && !s.withdrawal.Leaving()
}

// goneRetention returns how long the server is remembered after it is gone. The caller holds
// the lock.
func (s *server) goneRetention() clock.Millis {
	if s.withdrawal.Leaving() {
		return leavingRetention
	}
	return goneRetention
}

// accepts reports whether a server that was chosen may still get the request.
func (f *fleet) accepts(s *server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.withdrawal.Accepts(f.clock.Now())
}

// nextAcceptance returns the earliest time from which a server of a service may get requests.
// The time is not later than now if one may get requests as far as the servers have said. It
// returns false if all servers have said that they leave. Unusable servers do not count; if
// there are no others, it returns now.
func (f *fleet) nextAcceptance(now clock.Millis, service string) (clock.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var states []withdrawal.State
	for _, s := range f.servers {
		if s.record.Service == service && s.record.State == roster.Serving && !s.wrongServer {
			states = append(states, s.withdrawal)
		}
	}
	if len(states) == 0 {
		return now, true
	}
	return withdrawal.NextAcceptance(now, states)
}

// noServer returns the refusal of a request for which no server was found. The request is not
// held until a server takes requests again: the caller may find another entry that may send it
// sooner, and one that has little time left learns at once that the request has not run.
func (x *exchange) noServer() refusal {
	now := x.relay.clock.Now()
	r := refusal{status: statusUnavailable, reason: "no_server", retryAfter: x.retryAfter()}
	at, found := x.relay.fleet.nextAcceptance(now, x.service)
	switch {
	case !found:
		// Servers that replace those that leave announce themselves within a heartbeat.
		r.reason = "servers_leaving"
	case at > now:
		r.reason, r.retryAfter = "servers_paused", withPauseJitter(at-now)
	default:
		return x.withLimits(now, r)
	}
	return r
}

// withPauseJitter returns the Retry-After time for a pause: never less than the pause, and
// spread so that the callers do not all come back at its end.
func withPauseJitter(pause clock.Millis) clock.Millis {
	spread := lo.Clamp(clock.Millis(pauseJitterShare*float64(pause)), minRetryAfter, maxRetryAfter)
	return pause + rand.N(spread+1)
}
