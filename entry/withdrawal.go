package entry

import (
	"math/rand/v2"
	"slices"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/withdrawal"
)

// maxPauseSpread bounds the random time that is added to the Retry-After time of requests
// whose servers are in a pause, so that the callers do not all come back at its end.
const maxPauseSpread = 1 * clock.Second

// onWithdrawal returns a function that records what the server of an assignment says about not
// taking requests.
func (e *Entry) onWithdrawal(a assignment) func(w engine.Withdrawal) {
	return func(w engine.Withdrawal) {
		if w.Leaving || w.Pause > 0 {
			e.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.recordWithdrawal(now, a, w) })
		}
		if w.Limit.Exists() || !e.dispatcher.limiter.Limits().IsEmpty() {
			e.runInDispatcher(func(d *dispatcher, now clock.Millis) { d.recordLimit(now, a, w) })
		}
	}
}

// recordWithdrawal records what a server has said in an answer, and stops using the server. A
// pause is longer by the margin for clock rates, because the server measures it by its own clock.
func (d *dispatcher) recordWithdrawal(now clock.Millis, a assignment, w engine.Withdrawal) {
	before := d.withdrawals[a.server]
	state := before.WithRun(a.incarnation)
	if w.Leaving {
		state = state.WithLeaving(a.incarnation)
	}
	if w.Pause > 0 {
		state = state.WithPause(a.incarnation, now+lease.WithMargin(w.Pause))
		d.options.Logger.Log(event.ServerPaused, zap.String("server", a.server), zap.Int64("pause_ms", int64(w.Pause)))
	}
	if state.Leaving() && !before.Leaving() {
		d.options.Logger.Log(event.ServerLeaving, zap.String("server", a.server), zap.Uint64("incarnation", a.incarnation))
	}
	d.withdrawals[a.server] = state
	d.applyStops(now)
}

// withdrawnServers returns the servers that have said that they leave or that are in a pause,
// and forgets all others. The registry accepts no old announcement, so a server that it no
// longer knows need not be remembered.
func (d *dispatcher) withdrawnServers(now clock.Millis) []string {
	var names []string
	leaving, paused := 0, 0
	for name, state := range d.withdrawals {
		s, ok := d.registry.Server(now, name)
		if ok {
			state = state.WithRun(s.Incarnation())
		}
		if !ok || state.Accepts(now) {
			delete(d.withdrawals, name)
			continue
		}
		d.withdrawals[name] = state
		names = append(names, name)
		leaving += lo.Ternary(state.Leaving(), 1, 0)
		paused += lo.Ternary(state.PauseLeft(now) > 0, 1, 0)
	}
	d.leavingCount.Store(int64(leaving))
	d.pausedCount.Store(int64(paused))
	return names
}

// pauseOf returns the time until a server of a pool takes requests again, if all servers that
// could be used have asked for a pause or leave, and otherwise 0.
func (d *dispatcher) pauseOf(now clock.Millis, pool string) clock.Millis {
	var states []withdrawal.State
	for _, s := range d.registry.Servers(now) {
		if s.State() == backend.Serving && s.Age < backend.MaxUsableAge && slices.Contains(s.Pools(), pool) {
			states = append(states, d.withdrawals[s.Server()])
		}
	}
	at, found := withdrawal.NextAcceptance(now, states)
	if !found {
		return 0
	}
	return at - now
}

// withPause returns a copy of the problem that tells the caller to come back after a pause of
// the servers, or the problem itself if there is no pause.
func (p *problem) withPause(pause clock.Millis) *problem {
	if pause == 0 {
		return p
	}
	changed := *p
	changed.retryAfter = pause + rand.N(maxPauseSpread)
	return &changed
}
