package control

import (
	"context"
	"path/filepath"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/membership"
	"github.com/galenaslip/galenaslip/replica"
)

// logFolder is the name of the replicated log's folder in the data folder.
const logFolder = "log"

const (
	// membershipCheckInterval is how often a process checks its membership. A
	// process that does not belong to a group sends join requests at this
	// interval.
	membershipCheckInterval = 500 * clock.Millisecond
	// leaderlessTimeout is how long a member waits for a leader before it asks
	// other members whether it still belongs to the group. It is longer than an
	// election.
	leaderlessTimeout = 5 * clock.Second
)

// releasableLog is an open replicated log with its release function. A member
// that takes a new identity opens another log.
type releasableLog struct {
	Log
	release func()
}

// openLog opens the replicated log and makes it the log in use.
func (c *Control) openLog() error {
	l, release, err := c.options.OpenLog(replica.Options{
		Name:            c.options.Name,
		Address:         c.options.Advertise,
		Folder:          filepath.Join(c.options.Folder, logFolder),
		Members:         c.options.initialVoters(c.options.Advertise),
		Clock:           c.options.Clock,
		StateMachine:    c.machine,
		Transport:       c.peerClient,
		ElectionTimeout: c.options.ElectionTimeout,
		Seed:            xxhash.Sum64String(c.options.Name + strconv.FormatInt(int64(c.options.Clock.Wall()), 10)),
		Log:             c.options.Logger.Log,
	})
	if err != nil {
		return err
	}
	c.log.Store(&releasableLog{Log: l, release: release})
	return nil
}

// initialVoters returns the voters of a new group: first one member of each
// availability zone, then other members in the order of the settings, up to
// membership.Voters and an odd number. The other members join as learners once
// the group exists. It returns nil for a process that joins an existing group.
func (o Options) initialVoters(address string) []replica.Member {
	if o.Join {
		return nil
	}
	if len(o.Members) == 0 {
		return []replica.Member{{Name: o.Name, Address: address, AvailabilityZone: o.AvailabilityZone, Voter: true}}
	}
	firstOfEachZone := lo.UniqBy(o.Members, func(m Member) string { return m.AvailabilityZone })
	others := lo.Without(o.Members, firstOfEachZone...)
	voterCount := min(membership.Voters, len(o.Members)-(len(o.Members)+1)%2)
	return lo.Map(append(firstOfEachZone, others...)[:voterCount], func(m Member, _ int) replica.Member {
		return replica.Member{Name: m.Name, Address: m.Address, AvailabilityZone: m.AvailabilityZone, Voter: true}
	})
}

// maintainMembership keeps this process in the group until ctx ends: with a new
// identity it asks to join, and after its removal from the group it takes a new
// identity. It opens the log if that was not possible before.
func (c *Control) maintainMembership(ctx context.Context) {
	leaderSeenAt := c.options.Clock.Now()
	c.options.Clock.Every(ctx, membershipCheckInterval, func() {
		if u, ok := c.log.Load().Log.(unavailableLog); ok {
			c.reopenLog(u)
			return
		}
		status := c.log.Load().Status()
		now := c.options.Clock.Now()
		if status.Leader != "" {
			leaderSeenAt = now
		}
		isMember := lo.ContainsBy(status.Members, func(m replica.Member) bool { return m.Identity == status.Identity })
		switch {
		case status.Failure != nil:
		case status.Excluded:
			c.resetIdentity()
		case !status.Founded: // the log itself waits for the other initial voters
		case !isMember || now-leaderSeenAt >= leaderlessTimeout:
			c.requestJoin(ctx, status.Identity)
		}
	})
}

// requestJoin sends join requests to the other members in turn until one
// accepts. A request for an identity that already belongs to the group has no
// effect. The status 409 means that the identity was removed, so a new one is
// taken.
func (c *Control) requestJoin(ctx context.Context, identity string) {
	self := wireMember{
		Identity: identity, Name: c.options.Name, Address: c.options.Advertise,
		AvailabilityZone: c.options.AvailabilityZone,
	}
	for _, address := range c.memberAddresses() {
		if address == c.options.Advertise || ctx.Err() != nil {
			continue
		}
		switch status, _ := c.peerClient.join(address, self); status {
		case fiber.StatusOK:
			return
		case fiber.StatusConflict:
			c.resetIdentity()
			return
		}
	}
}

// memberAddresses returns the known addresses of control members, from the
// settings, the seeds and the log.
func (c *Control) memberAddresses() []string {
	addresses := lo.Map(c.options.Members, func(m Member, _ int) string { return m.Address })
	if c.options.Seeds != nil {
		addresses = append(addresses, c.options.Seeds()...)
	}
	for _, m := range c.log.Load().Status().Members {
		addresses = append(addresses, m.Address)
	}
	return lo.Uniq(addresses)
}

// resetIdentity sets the files of the log aside, empties the state machine and
// opens a new log under a new identity. The process becomes a learner once it has
// joined the group.
func (c *Control) resetIdentity() {
	previous := c.log.Load()
	c.options.Logger.Log(event.MemberRejoining, zap.String("former", previous.Status().Identity))
	previous.release()
	if err := c.openNewLog(true); err != nil {
		c.waitForLog(unavailableLog{failure: err, setAside: true})
	}
}
