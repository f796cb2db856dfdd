package entry

import (
	"slices"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// shareKeeper derives this entry's part of the limits of servers from the list of entries, which
// comes with the lease. Entries learn a new list one after another within a lease, so a part that
// the entry has gained is used only after that time. Only the dispatcher's goroutine may use it.
type shareKeeper struct {
	parts []sharePart // the newest one last
}

// sharePart is the entry's part by the lists of entries since some time.
type sharePart struct {
	interval ratelimit.Interval
	since    clock.Millis
}

// update returns the part that this entry may use now, given the list of entries.
func (k *shareKeeper) update(now clock.Millis, entries []string, self string) ratelimit.Interval {
	interval := ratelimit.EqualPart(entries, self)
	if len(k.parts) == 0 {
		k.parts = []sharePart{{since: now}} // others do not know yet that this entry has started
	}
	if k.parts[len(k.parts)-1].interval != interval {
		k.parts = append(k.parts, sharePart{interval: interval, since: now})
	}
	usable := interval
	for i, p := range k.parts[:len(k.parts)-1] {
		if replacedAt := k.parts[i+1].since; now-replacedAt < lease.WithMargin(lease.Duration) {
			usable = usable.Intersect(p.interval)
		}
	}
	k.parts = slices.DeleteFunc(k.parts, func(p sharePart) bool {
		return p.interval != interval && now-p.since > 4*lease.Duration
	})
	return usable
}

// updateShare sets this entry's part of the limits of servers, which it may use until the next
// ticks.
func (d *dispatcher) updateShare(now clock.Millis) {
	if !d.leases.valid() {
		return
	}
	names := lo.Map(d.leases.entries(), func(e lease.Entry, _ int) string { return e.Name })
	interval := d.share.update(now, names, d.options.Name)
	d.limiter.SetGrant(now, ratelimit.Grant{Interval: interval}, now+min(d.leases.remaining(), 4*tickInterval))
}

// recordLimit records how many requests the server of an assignment takes if its answer says so.
func (d *dispatcher) recordLimit(now clock.Millis, a assignment, w engine.Withdrawal) {
	run := limitRun(a.server, a.incarnation)
	if w.LimitUnreadable || !d.limiter.Limits().Record(now, run, w.Limit, a.assignedAt, now) {
		return
	}
	held := d.limiter.ServerRate(now, run)
	d.options.Logger.Log(event.ServerLimited, zap.String("server", a.server), zap.Int64("started_at", run.StartedAt),
		zap.Float64("rate", held.Limit), zap.Float64("own_rate", held.Rate))
}

// limitRun identifies a server of the registry to the limiter.
func limitRun(server string, incarnation uint64) ratelimit.Run {
	return ratelimit.Run{Server: server, StartedAt: int64(incarnation)}
}

// limitedServers returns the servers of a pool whose limits allow no request now, and whether
// these are all of its servers.
func (d *dispatcher) limitedServers(now clock.Millis, pool string) (names []string, all bool) {
	if d.limiter.Limits().IsEmpty() {
		return nil, false
	}
	servers := d.registry.Pool(now, pool)
	for _, s := range servers {
		if !d.limiter.Allows(now, limitRun(s.Server(), s.Incarnation()), pool, ratelimit.Urgency{}) {
			names = append(names, s.Server())
		}
	}
	return names, len(servers) > 0 && len(names) == len(servers)
}

// refuseForLimits returns after which time the caller of a request may come back that is refused
// because the limits of all servers of a pool allow none.
func (d *dispatcher) refuseForLimits(now clock.Millis, pool string) clock.Millis {
	var runs []ratelimit.Run
	for _, s := range d.registry.Pool(now, pool) {
		runs = append(runs, limitRun(s.Server(), s.Incarnation()))
	}
	return d.limiter.RefuseFor(now, pool, runs, ratelimit.Urgency{})
}
