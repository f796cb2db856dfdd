package control

import (
	"context"
	"path/filepath"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage"
)

// unavailableLog takes the place of a replicated log that cannot be opened yet, because the data
// folder refuses writes. It accepts nothing and belongs to no group.
type unavailableLog struct {
	name     string
	failure  error
	since    clock.Millis
	setAside bool // the files of the former identity are set aside before the log is opened
	clock    clock.Clock
	reportAt clock.Millis // when the next line that no leader is known is due
}

// Propose refuses the command.
func (unavailableLog) Propose(context.Context, []byte) replica.Result {
	return replica.Result{Kind: replica.NotLeader}
}

// Barrier refuses the read.
func (unavailableLog) Barrier(context.Context) replica.Result {
	return replica.Result{Kind: replica.NotLeader}
}

// ChangeMember refuses the change.
func (unavailableLog) ChangeMember(context.Context, replica.MemberChange) replica.Result {
	return replica.Result{Kind: replica.NotLeader}
}

// TransferLeadership refuses the transfer.
func (unavailableLog) TransferLeadership(context.Context, string) replica.Result {
	return replica.Result{Kind: replica.NotLeader}
}

// Receive drops the message.
func (unavailableLog) Receive(replica.Message) {}

// Status returns the status of a member that knows nothing of the group.
func (u unavailableLog) Status() replica.Status {
	return replica.Status{Name: u.name, DiskFailure: u.failure, DiskFailures: 1, NoLeaderFor: u.clock.Now() - u.since}
}

// openLogOrWait opens the replicated log. If the data folder refuses writes, it puts an
// unavailableLog in its place, which maintainMembership replaces; other errors are returned.
func (c *Control) openLogOrWait() error {
	err := c.openLog()
	if !storage.IsTemporary(err) {
		return err
	}
	c.waitForLog(unavailableLog{failure: err})
	return nil
}

// waitForLog puts an unavailableLog in the place of the log.
func (c *Control) waitForLog(u unavailableLog) {
	c.options.Logger.Log(event.DiskRefusesWrites, zap.Stringer("outcome", storage.OutcomeOf(u.failure)), zap.Error(u.failure))
	u.name, u.clock, u.since = c.options.Name, c.options.Clock, c.options.Clock.Now()
	u.reportAt = u.since + replica.NoLeaderInterval
	c.log.Store(&releasableLog{Log: u, release: func() {}})
}

// reopenLog tries once more to open the log that an unavailableLog stands for.
func (c *Control) reopenLog(u unavailableLog) {
	err := c.openNewLog(u.setAside)
	if err == nil {
		c.options.Logger.Log(event.DiskTakesWrites, zap.Int64("after_ms", int64(c.options.Clock.Now()-u.since)))
		return
	}
	if !storage.IsTemporary(err) && err.Error() != u.failure.Error() {
		c.options.Logger.Log(event.ControlStartFailed, zap.Error(err))
	}
	u.failure = err
	if now := c.options.Clock.Now(); now >= u.reportAt {
		u.reportAt = now + replica.NoLeaderInterval
		c.options.Logger.Log(event.NoLeader, zap.String("cause", replica.CauseDiskRefuses), zap.Int64("for_ms", int64(now-u.since)), zap.Error(err))
	}
	c.log.Store(&releasableLog{Log: u, release: func() {}})
}

// openNewLog opens the log, after it has set the files of the former identity aside if setAside is
// set.
func (c *Control) openNewLog(setAside bool) error {
	if setAside {
		if err := replica.AbandonIdentity(storage.OSFileSystem{}, filepath.Join(c.options.Folder, logFolder)); err != nil {
			return err
		}
		c.machine.reset()
	}
	return c.openLog()
}
