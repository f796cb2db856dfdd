package control

import (
	"context"
	"sync"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/propagation"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/roster"
)

// Timeouts and intervals of the list of backend servers.
const (
	// DefaultServerTimeout is three heartbeat intervals plus some slack.
	DefaultServerTimeout = 4 * clock.Second
	// silenceCheckInterval is how often the list is checked for silent servers.
	silenceCheckInterval = 250 * clock.Millisecond
)

// serverRegistry holds the announcements of backend servers that the leader has
// received in its term. Every member has a registry, but only the leader's is used.
type serverRegistry struct {
	control  *Control
	mu       sync.Mutex
	registry *roster.Registry
	epoch    uint64 // leader term for which the registry was created; positions are valid only within it

	createdAt clock.Millis // when the registry was created
}

func newServerRegistry(c *Control) *serverRegistry {
	s := &serverRegistry{control: c}
	s.reset(0)
	return s
}

// reset replaces the registry for a term with one that holds the departures alone.
func (s *serverRegistry) reset(term uint64) {
	s.registry, s.epoch = roster.New(s.control.serverTimeout()), term
	now := s.control.options.Clock.Now()
	s.createdAt = now
	for _, d := range s.control.machine.Departures().All() {
		s.registry.Restore(now, d.Announcement)
	}
}

// run marks servers without recent heartbeats as silent until ctx ends.
func (s *serverRegistry) run(ctx context.Context) {
	s.control.options.Clock.Every(ctx, silenceCheckInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.control.options.Clock.Now()
		if s.registry.CheckTimeouts(now) {
			s.publish(now)
		}
	})
}

// publish makes the changes of the registry known. The caller holds the lock.
func (s *serverRegistry) publish(now clock.Millis) {
	s.control.propagation.publishServers(now, propagation.Version{Term: s.epoch, Number: s.registry.LastChangeNumber()})
	s.control.changed.notify()
}

// count returns the number of servers that this member has a record of as the leader, gone ones included.
func (s *serverRegistry) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Len()
}

// receive applies announcements to the registry of a leader term. It creates an
// empty registry first when the term is new.
func (s *serverRegistry) receive(term uint64, announcements []roster.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.control.options.Clock.Now()
	if term < s.epoch {
		return // the term has ended while the call was in progress
	}
	if s.epoch != term {
		s.reset(term)
		s.control.propagation.startTerm(now, s.control.machine.Catalog().Revision)
	}
	previousPosition := s.registry.LastChangeNumber()
	for _, a := range announcements {
		acceptance := s.apply(now, a)
		s.logChange(a, acceptance)
		if acceptance == roster.Full {
			s.control.recordRefused(RefusedServers{Count: 1, Cause: errors.Errorf("%s: %d servers are known already", a.Server, roster.MaxServers)})
		}
	}
	if s.registry.LastChangeNumber() != previousPosition {
		s.publish(now)
	}
}

// apply applies one announcement. The caller holds the lock.
func (s *serverRegistry) apply(now clock.Millis, announcement roster.Announcement) roster.AcceptResult {
	if announcement.State == roster.Gone {
		return s.registry.RecordDeparture(now, announcement.Server, announcement.StartedAt)
	}
	return s.registry.Accept(now, announcement)
}

func (s *serverRegistry) logChange(announcement roster.Announcement, acceptance roster.AcceptResult) {
	if acceptance == roster.Changed {
		s.control.options.Logger.Log(event.ServerChanged, zap.String("server", announcement.Server), zap.String("address", announcement.Address),
			zap.String("state", string(announcement.State)), zap.Int64("started", announcement.StartedAt), zap.Uint64("sequence", announcement.Sequence))
	}
}

// origins returns the versions of the servers that are not gone.
func (s *serverRegistry) origins() []continuation.Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := lo.Reject(s.registry.ChangedSince(0), func(r roster.Record, _ int) bool { return r.State == roster.Gone })
	return lo.Uniq(lo.Map(records, func(r roster.Record, _ int) continuation.Origin {
		return continuation.Origin{Service: r.Service, Version: r.Version}
	}))
}

// changesSince returns the servers that have changed since a position in the
// registry's sequence of changes. It also returns the current epoch and position,
// to be passed to the next call. Positions are valid only within one epoch: if the
// given epoch is not the current one, all servers are returned.
func (s *serverRegistry) changesSince(epoch, position uint64) ([]roster.Record, uint64, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch != s.epoch {
		position = 0
	}
	return s.registry.ChangedSince(position), s.epoch, s.registry.LastChangeNumber()
}

// awaitServers returns nil once no entry sends requests on the basis of a list of servers
// older than the position after Options.DrainTime, and an error if some may. The servers are
// those whose changes the caller awaits, for the log.
func (c *Control) awaitServers(position propagation.Version, servers []string) error {
	inForce := c.awaitPropagation(func(now clock.Millis) bool {
		return c.propagation.serversInForce(now, position, c.options.DrainTime)
	})
	if !inForce {
		waiting := c.propagation.waiting(c.options.Clock.Now(), 0, position)
		c.options.Logger.Log(event.AcknowledgementDelayed, zap.Strings("servers", servers), zap.Strings("entries", waiting))
		return notRunError("some entries may not know yet that the server leaves")
	}
	return c.confirmLeading(position.Term)
}

// confirmLeading returns an error unless this member still leads in the given term. What
// entries have reported to it counts for nothing if another member has led meanwhile.
func (c *Control) confirmLeading(term uint64) error {
	status := c.log.Load().Status()
	if status.Role != replica.Leader || status.LeaseRemaining <= 0 || status.Term != term {
		return notRunError("the leader has changed")
	}
	return nil
}

// newestChange returns the position of the newest change of the given servers.
func (s *serverRegistry) newestChange(servers []string) propagation.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return propagation.Version{Term: s.epoch, Number: s.registry.NewestChangeOf(servers)}
}

// departures returns the names of the servers that no longer take requests.
func departures(announcements []roster.Announcement) []string {
	return lo.FilterMap(announcements, func(a roster.Announcement, _ int) (string, bool) { return a.Server, a.State != roster.Serving })
}

// receiveHeartbeats applies heartbeats that another member has already acknowledged. A
// heartbeat that is lost because the leader has changed is followed by the next one.
func (c *Control) receiveHeartbeats(heartbeats []roster.Announcement) {
	if err := c.applyAnnouncements(heartbeats); err != nil {
		c.options.Logger.Log(event.HeartbeatsDropped, zap.Int("heartbeats", len(heartbeats)), zap.Error(err))
	}
}

// acknowledgeAnnouncements applies announcements and returns nil when they may be
// acknowledged. An acknowledged server that leaves gets no new requests.
func (c *Control) acknowledgeAnnouncements(announcements []roster.Announcement) error {
	if err := c.applyAnnouncements(announcements); err != nil {
		return err
	}
	if leaving := departures(announcements); len(leaving) > 0 {
		return c.awaitServers(c.serverRegistry.newestChange(leaving), leaving)
	}
	return nil
}

// applyAnnouncements applies announcements when this member leads and holds the
// leader lease, and returns an error otherwise.
func (c *Control) applyAnnouncements(announcements []roster.Announcement) error {
	status := c.log.Load().Status()
	if status.Role != replica.Leader {
		return notLeaderError{leader: status.Leader}
	}
	if status.LeaseRemaining <= 0 {
		return notRunError("the leader has no lease")
	}
	if err := c.commitVersions(announcements); err != nil {
		return err
	}
	if err := c.confirmLeading(status.Term); err != nil {
		return err
	}
	c.serverRegistry.receive(status.Term, announcements)
	return c.commitDepartures(announcements)
}

func (c *Control) postServers(f fiber.Ctx) error {
	announcements, refused, err := decodeAnnouncements(f.Body())
	if err != nil {
		return invalidError(fiber.StatusBadRequest, err)
	}
	c.recordRefused(refused)
	if len(announcements) == 0 && refused.Count > 0 {
		return invalidError(fiber.StatusBadRequest, refused.Cause)
	}
	if err := c.acknowledgeAnnouncements(announcements); err != nil {
		return err
	}
	return f.SendStatus(fiber.StatusNoContent)
}

// recordRefused counts and logs servers that were left out.
func (c *Control) recordRefused(refused RefusedServers) {
	c.metrics.serversRefused.Add(float64(refused.Count))
	refused.log(c.options.Clock.Now(), c.refusalLog)
}

// RefuseAnnouncement counts and logs an announcement that was refused before it reached the
// group.
func (c *Control) RefuseAnnouncement(cause error) {
	c.recordRefused(RefusedServers{Count: 1, Cause: cause})
}
