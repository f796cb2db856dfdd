package control

import (
	"context"
	"sync"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/duty"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/metering"
)

// usageInterval is how often the leader looks for windows to decide.
const usageInterval = 200 * clock.Millisecond

// UsageOptions are the settings of the reports of usage.
type UsageOptions struct {
	Window   clock.Millis // length of windows
	Lateness clock.Millis // when a report is due, after the end of its window
	Reporter UsageReporter
}

// UsageReporter sends the report of a window. It asks mayAct directly before it sends the first byte.
type UsageReporter interface {
	ReportUsage(ctx context.Context, d metering.Decision, f duty.Fence, mayAct func() bool) (duty.Outcome, error)
}

// usageReports collects what entries have counted, decides the content of reports while this member
// leads, and sends them. It is safe for concurrent use.
type usageReports struct {
	control  *Control
	reporter UsageReporter
	planner  metering.Planner
	book     *metering.Book

	mu       sync.Mutex
	term     uint64             // that this member leads; 0 if it leads none
	timeline *metering.Timeline // of the term
	since    clock.Millis       // Unix time when the term began here; 0 if it is not known yet

	accepted map[metering.Window]bool // that the log may not know of yet; only send and commitAccepted use it
}

// newUsageReports returns the reports of a member; nil without options.
func newUsageReports(c *Control) *usageReports {
	if c.options.Duties == nil || c.options.Duties.Usage == nil {
		return nil
	}
	o := *c.options.Duties.Usage
	return &usageReports{
		control: c, reporter: o.Reporter, planner: metering.Planner{Length: o.Window, Lateness: o.Lateness},
		book: metering.NewBook(o.Window, "", c.options.Clock.Wall), timeline: &metering.Timeline{}, accepted: map[metering.Window]bool{},
	}
}

// ownBook returns the book of this member; nil if it does not report usage.
func (u *usageReports) ownBook() *metering.Book {
	if u == nil {
		return nil
	}
	return u.book
}

// receive records what the sender of a watch tells.
func (u *usageReports) receive(now clock.Millis, watch WatchRequest) {
	if u == nil || !watch.CountsUsage {
		return
	}
	u.book.Merge(now, watch.Usage)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.term != 0 {
		u.timeline.Observe(now, watch.Entry, watch.TimeOfDay)
	}
}

// complete adds to the response to a watch what senders that count need.
func (u *usageReports) complete(now clock.Millis, watch WatchRequest, response *WatchResponse) {
	if u == nil || !watch.CountsUsage {
		return
	}
	response.UsagePosition = u.book.Position()
	if !response.Granted {
		return
	}
	response.UsageNext = u.control.machine.usageNext()
	if unix, ok := u.unix(now); ok {
		response.UnixTime = unix
	}
}

// unix returns the Unix time of the term that this member leads, or else the one that it was told.
func (u *usageReports) unix(now clock.Millis) (clock.Millis, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.term != 0 {
		if unix, ok := u.timeline.Unix(now); ok {
			u.book.SetTime(now, unix)
			return unix, true
		}
	}
	return u.book.Unix(now)
}

// run decides and sends reports while this member leads, until ctx ends. It does nothing without
// usageReports.
func (u *usageReports) run(ctx context.Context) {
	if u == nil {
		return
	}
	u.control.startTask(func() { u.control.options.Clock.Every(ctx, dutyInterval, func() { u.send(ctx) }) })
	u.control.options.Clock.Every(ctx, usageInterval, func() { u.decide(ctx) })
}

// observeTerm notes which term this member leads, and returns when it began here.
func (u *usageReports) observeTerm(now clock.Millis, term uint64) (since clock.Millis) {
	u.mu.Lock()
	if term != u.term {
		u.term, u.timeline, u.since = term, &metering.Timeline{}, 0
	}
	if term != 0 {
		u.timeline.Observe(now, "", u.control.options.Clock.Wall())
	}
	u.mu.Unlock()
	unix, ok := u.unix(now)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.since == 0 && ok {
		u.since = unix
	}
	return u.since
}

// decide proposes the next command. Only a member that may act decides: by then, entries have told the
// new leader what they told the former one.
func (u *usageReports) decide(ctx context.Context) {
	now := u.control.options.Clock.Now()
	f, mayAct := u.control.duties.holder.Fence()
	since := u.observeTerm(now, f.Token)
	state := u.control.machine.Usage()
	u.book.SetUndecided(now, state.Next())
	unix, ok := u.unix(now)
	if f.Token == 0 || !ok {
		return
	}
	cmd, skipped := u.planner.Plan(now, unix, since, &state, u.book)
	if !mayAct {
		cmd.Decided = nil
	}
	if cmd.IsEmpty() {
		return
	}
	if _, err := u.control.propose(ctx, command{usage: &cmd}); err != nil {
		return // the next call finds what is still missing
	}
	if skipped > 0 {
		u.control.options.Logger.Log(event.UsageSkipped, zap.Int64("windows", skipped))
	}
	for _, d := range cmd.Decided {
		u.control.options.Logger.Log(event.UsageDecided, zap.Int64("window", int64(d.Window)), zap.Uint64("requests", d.Counts.Total()),
			zap.Int("workspaces", len(d.Counts)))
	}
}

// send sends the oldest report that was not accepted, as the state machine has it, and commits that
// it was accepted.
func (u *usageReports) send(ctx context.Context) {
	state := u.control.machine.Usage()
	pending := state.Pending()
	for w := range u.accepted {
		if !lo.ContainsBy(pending, func(d metering.Decision) bool { return d.Window == w }) {
			delete(u.accepted, w)
		}
	}
	if len(u.accepted) > 0 {
		if _, leads := u.control.duties.holder.Fence(); leads {
			_, _ = u.control.propose(ctx, command{usage: &metering.Command{Accepted: lo.Keys(u.accepted)}})
		}
	}
	next, ok := lo.Find(pending, func(d metering.Decision) bool { return !u.accepted[d.Window] })
	if !ok {
		return
	}
	o, _ := u.control.duties.call(ctx, dutyUsage, func(f duty.Fence, mayAct func() bool) (duty.Outcome, error) {
		return u.reporter.ReportUsage(ctx, next, f, mayAct)
	})
	if o == duty.Accepted {
		u.accepted[next.Window] = true
		u.control.options.Logger.Log(event.UsageReported, zap.Int64("window", int64(next.Window)))
	}
}

// wireUsage is the part of /debug/state about usage reports. Next is the first window that is not
// decided, and Pending the decided ones whose report was not accepted yet.
type wireUsage struct {
	Next      metering.Window          `json:"next"`
	Pending   []metering.Window        `json:"pending"`
	Instances []metering.InstanceState `json:"instances"`
}

func (u *usageReports) state() *wireUsage {
	if u == nil {
		return nil
	}
	state := u.control.machine.Usage()
	return &wireUsage{
		Next: state.Next(), Pending: lo.Map(state.Pending(), func(d metering.Decision, _ int) metering.Window { return d.Window }),
		Instances: u.book.State(u.control.options.Clock.Now()),
	}
}
