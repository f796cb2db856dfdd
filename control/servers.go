package control

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/roster"
)

// Times of the list of servers.
const (
	// DefaultServerTimeout is three heartbeats and some slack.
	DefaultServerTimeout = 4 * clock.Second
	// announceTimeout leaves a server time to turn to another member.
	announceTimeout = 700 * clock.Millisecond
	// serversInterval is how often silent servers are looked for.
	serversInterval = 250 * clock.Millisecond
)

// servers holds the announcements that the leader has received. Each member has
// one; only the leader's is used.
type servers struct {
	control  *Control
	mu       sync.Mutex
	registry *roster.Registry
	epoch    uint64 // term in which the registry was begun
}

func newServers(c *Control) *servers {
	s := &servers{control: c}
	s.begin(0)
	return s
}

func (s *servers) begin(term uint64) {
	silence := s.control.options.ServerTimeout
	if silence == 0 {
		silence = DefaultServerTimeout
	}
	s.registry, s.epoch = roster.New(silence), term
}

// run marks silent servers.
func (s *servers) run(ctx context.Context) {
	s.control.options.Clock.Every(ctx, serversInterval, func() {
		s.mu.Lock()
		changed := s.registry.Expire(s.control.options.Clock.Now())
		s.mu.Unlock()
		if changed {
			s.control.changed.notify()
		}
	})
}

// take gives announcements to the registry of the leader's term.
func (s *servers) take(term uint64, announcements []roster.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != term {
		s.begin(term)
	}
	now := s.control.options.Clock.Now()
	before := s.registry.Position()
	for _, a := range announcements {
		s.logAcceptance(a, s.acceptance(now, a))
	}
	if s.registry.Position() != before {
		s.control.changed.notify()
	}
}

func (s *servers) acceptance(now clock.Millis, a roster.Announcement) roster.AcceptResult {
	if a.State == roster.Gone {
		return s.registry.RecordDeparture(now, a.Server)
	}
	return s.registry.Accept(now, a)
}

func (s *servers) logAcceptance(a roster.Announcement, acceptance roster.AcceptResult) {
	if acceptance == roster.Changed {
		s.control.options.Logger.Log(event.ServerChanged, zap.String("server", a.Server), zap.String("address", a.Address),
			zap.String("state", string(a.State)), zap.Int64("started", a.StartedAt), zap.Uint64("sequence", a.Sequence))
	}
}

// since returns what has changed after a position of the same epoch.
func (s *servers) since(epoch, position uint64) ([]roster.Record, uint64, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch != s.epoch {
		position = 0
	}
	return s.registry.ChangedSince(position), s.epoch, s.registry.Position()
}

// Announce passes what a server says of itself to the leader. It returns once
// the leader tells the entries.
func (c *Control) Announce(a roster.Announcement) error {
	data, err := encodeAnnouncements([]roster.Announcement{a})
	if err != nil {
		return err
	}
	_, err = c.leading(fasthttp.MethodPost, pathServers, data, announceTimeout, func() ([]byte, error) {
		return nil, c.takeAnnouncements([]roster.Announcement{a})
	})
	return err
}

func (c *Control) takeAnnouncements(announcements []roster.Announcement) error {
	status := c.log.Load().Status()
	if status.Role != replica.Leader {
		return notLeader{leader: status.Leader}
	}
	if status.LeaseRemaining <= 0 {
		return notRun("the leader has no lease")
	}
	c.servers.take(status.Term, announcements)
	return nil
}

func (c *Control) postServers(f fiber.Ctx) error {
	announcements, err := decodeAnnouncements(f.Body())
	if err != nil {
		return invalid(fiber.StatusBadRequest, err)
	}
	if err := c.takeAnnouncements(announcements); err != nil {
		return err
	}
	return f.SendStatus(fiber.StatusNoContent)
}

type wireServer struct {
	Server           string       `json:"server"`
	Service          string       `json:"service,omitempty"`
	Address          string       `json:"address,omitempty"`
	AvailabilityZone string       `json:"availability_zone,omitempty"`
	Slots            int          `json:"slots,omitempty"`
	State            roster.State `json:"state"`
	WarmupLeft       clock.Millis `json:"cold_left_ms,omitempty"`
	StartedAt        int64        `json:"started_ms,omitempty"`
	Sequence         uint64       `json:"sequence,omitempty"`
	Silent           bool         `json:"silent,omitempty"`
}

func toWireServer(r roster.Record) wireServer {
	a := r.Announcement
	return wireServer{
		Server: a.Server, Service: a.Service, Address: a.Address, AvailabilityZone: a.AvailabilityZone, Slots: a.Slots,
		State: a.State, WarmupLeft: a.WarmupLeft, StartedAt: a.StartedAt, Sequence: a.Sequence, Silent: r.Silent,
	}
}

func (w wireServer) record() roster.Record {
	return roster.Record{Silent: w.Silent, Announcement: roster.Announcement{
		Server: w.Server, Service: w.Service, Address: w.Address, AvailabilityZone: w.AvailabilityZone, Slots: w.Slots,
		State: w.State, WarmupLeft: w.WarmupLeft, StartedAt: w.StartedAt, Sequence: w.Sequence,
	}}
}

func encodeAnnouncements(announcements []roster.Announcement) ([]byte, error) {
	data, err := json.Marshal(lo.Map(announcements, func(a roster.Announcement, _ int) wireServer {
		return toWireServer(roster.Record{Announcement: a})
	}))
	return data, errors.WithStack(err)
}

func decodeAnnouncements(data []byte) ([]roster.Announcement, error) {
	var wire []wireServer
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, errors.Wrap(err, "decoding announcements")
	}
	return lo.Map(wire, func(w wireServer, _ int) roster.Announcement { return w.record().Announcement }), nil
}
