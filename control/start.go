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
	"github.com/galenaslip/galenaslip/storage"
)

// logFolder is the folder of the replicated log under the data folder.
const logFolder = "log"

const (
	// watchInterval is how often a member without a group asks to join.
	watchInterval = 500 * clock.Millisecond
	// leaderless is how long a member waits for a leader before it asks whether
	// it still belongs to the group. Elections end earlier.
	leaderless = 5 * clock.Second
)

// life is one life of the data folder: a log with its identity.
type life struct {
	Log
	release func()
}

func (c *Control) openLog() error {
	l, release, err := c.options.OpenLog(replica.Options{
		Name:      c.options.Name,
		Address:   c.options.Advertise,
		Folder:    filepath.Join(c.options.Folder, logFolder),
		Members:   c.options.founders(c.options.Advertise),
		Clock:     c.options.Clock,
		Machine:   c.machine,
		Transport: c.peers,
		Election:  c.options.Election,
		Seed:      xxhash.Sum64String(c.options.Name + strconv.FormatInt(int64(c.options.Clock.Wall()), 10)),
		Log:       c.options.Logger.Log,
	})
	if err != nil {
		return err
	}
	c.log.Store(&life{Log: l, release: release})
	return nil
}

// founders returns the voters of the first start: one in each zone, filled up to
// three in the order of the settings. The other members join as learners once
// the group exists.
func (o Options) founders(address string) []replica.Member {
	if o.Join {
		return nil
	}
	if len(o.Members) == 0 {
		return []replica.Member{{Name: o.Name, Address: address, AvailabilityZone: o.AvailabilityZone, Voter: true}}
	}
	distinct := lo.UniqBy(o.Members, func(m Member) string { return m.AvailabilityZone })
	others := lo.Without(o.Members, distinct...)
	wanted := min(membership.Voters, len(o.Members)-(len(o.Members)+1)%2)
	return lo.Map(append(distinct, others...)[:wanted], func(m Member, _ int) replica.Member {
		return replica.Member{Name: m.Name, Address: m.Address, AvailabilityZone: m.AvailabilityZone, Voter: true}
	})
}

// watch keeps this process in the group: a new life of the data folder asks to
// join, and a member that was removed starts a new life.
func (c *Control) watch(ctx context.Context) {
	heard := c.options.Clock.Now()
	c.options.Clock.Every(ctx, watchInterval, func() {
		s := c.log.Load().Status()
		now := c.options.Clock.Now()
		if s.Leader != "" {
			heard = now
		}
		belongs := lo.ContainsBy(s.Members, func(m replica.Member) bool { return m.Identity == s.Identity })
		switch {
		case s.Failure != nil:
		case s.Outside:
			c.beginLife()
		case !s.Founded: // the log waits for the other founders by itself
		case !belongs || now-heard >= leaderless:
			c.askToJoin(ctx, s.Identity)
		}
	})
}

// askToJoin asks the other members in turn. Asking for an identity that belongs
// to the group changes nothing; one that was removed is refused for good.
func (c *Control) askToJoin(ctx context.Context, identity string) {
	self := wireMember{
		Identity: identity, Name: c.options.Name, Address: c.options.Advertise,
		AvailabilityZone: c.options.AvailabilityZone,
	}
	for _, address := range c.contacts() {
		if address == c.options.Advertise || ctx.Err() != nil {
			continue
		}
		switch status, _ := c.peers.join(address, self); status {
		case fiber.StatusOK:
			return
		case fiber.StatusConflict:
			c.beginLife()
			return
		}
	}
}

// contacts returns the addresses of the members that this process knows of.
func (c *Control) contacts() []string {
	addresses := lo.Map(c.options.Members, func(m Member, _ int) string { return m.Address })
	if c.options.Seeds != nil {
		addresses = append(addresses, c.options.Seeds()...)
	}
	for _, m := range c.log.Load().Status().Members {
		addresses = append(addresses, m.Address)
	}
	return lo.Uniq(addresses)
}

// beginLife sets the log aside and starts again under a new identity, as a
// learner once it has joined.
func (c *Control) beginLife() {
	former := c.log.Load()
	c.options.Logger.Log(event.MemberRejoining, zap.String("former", former.Status().Identity))
	former.release()
	err := replica.Abandon(storage.Disk{}, filepath.Join(c.options.Folder, logFolder))
	if err == nil {
		c.machine.reset()
		err = c.openLog()
	}
	if err != nil {
		c.options.Logger.Log(event.ControlStartFailed, zap.Error(err))
	}
}
