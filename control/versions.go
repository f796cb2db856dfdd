package control

import (
	"context"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/roster"
)

// versionCheckInterval is how often the leader looks for versions without servers.
const versionCheckInterval = 1 * clock.Second

// commitVersions commits the versions of announced servers that are not in the table yet. Entries
// learn of a server only after its version is in the table, so that no stream begins at a version
// that is missing there.
func (c *Control) commitVersions(announcements []roster.Announcement) error {
	table := c.machine.Versions()
	var added []continuation.Change
	for _, a := range announcements {
		change := continuation.Change{Origin: continuation.Origin{Service: a.Service, Version: a.Version}}
		if a.State != roster.Gone && !table.Has(change.Origin) && !lo.Contains(added, change) {
			added = append(added, change)
		}
	}
	if len(added) == 0 {
		return nil
	}
	if err := c.changeVersions(context.Background(), added); err != nil {
		return err
	}
	table = c.machine.Versions()
	if lo.SomeBy(added, func(change continuation.Change) bool { return !table.Has(change.Origin) }) {
		return notRunError("there are too many services, or versions of a service")
	}
	return nil
}

// changeVersions commits changes of the table of versions.
func (c *Control) changeVersions(ctx context.Context, changes []continuation.Change) error {
	if _, err := c.propose(ctx, command{versions: changes}); err != nil {
		return err
	}
	for _, change := range changes {
		c.options.Logger.Log(event.VersionsChanged, zap.String("service", change.Origin.Service),
			zap.String("version", change.Origin.Version), zap.Bool("removed", change.Remove))
	}
	return nil
}

// maintainVersions keeps the table of versions up to date while this member leads, until ctx ends.
func (c *Control) maintainVersions(ctx context.Context) {
	var presence *continuation.Presence
	term := uint64(0)
	c.options.Clock.Every(ctx, versionCheckInterval, func() {
		status := c.log.Load().Status()
		if status.Role != replica.Leader || status.LeaseRemaining <= 0 {
			return
		}
		now := c.options.Clock.Now()
		c.serverRegistry.receive(status.Term, nil)
		if presence == nil || status.Term != term {
			presence, term = continuation.NewPresence(now), status.Term
		}
		if changes := presence.Update(now, c.machine.Versions(), c.serverRegistry.origins()); len(changes) > 0 {
			_ = c.changeVersions(ctx, changes) // after a failure, the next check finds the same changes
		}
	})
}

// newerVersions returns the table, or nil if the sender of a watch knows it.
func newerVersions(table continuation.Table, known uint64) *continuation.Table {
	if table.Revision() == known {
		return nil
	}
	return &table
}
