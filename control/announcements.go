package control

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/propagation"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/roster"
)

const (
	// announceTimeout bounds the time until the leader has acknowledged an announcement. It is
	// short enough that the server can still try another member.
	announceTimeout = 700 * clock.Millisecond
	// batchTimeout bounds the delivery of one batch, so that a lost one leaves time for another.
	batchTimeout = 400 * clock.Millisecond
	// batchInterval is the shortest time between two batches of a member. It bounds the calls
	// that the leader receives, whatever the number of servers.
	batchInterval = 50 * clock.Millisecond
	// maxBatch is the largest number of announcements in a batch, about 100 KB.
	maxBatch = 500
	// maxQueuedAnnouncements is the largest number of announcements that wait for a batch.
	maxQueuedAnnouncements = 5000
)

// announcementForwarder sends the announcements that this member receives to the leader, in
// batches of which one is in progress at a time. It is safe for concurrent use.
type announcementForwarder struct {
	control *Control
	filled  chan struct{} // signals that the queue is not empty

	mu    sync.Mutex
	queue *roster.Queue
	pace  roster.Pace
}

func newAnnouncementForwarder(c *Control) *announcementForwarder {
	return &announcementForwarder{
		control: c, filled: make(chan struct{}, 1),
		queue: roster.NewQueue(maxQueuedAnnouncements), pace: roster.NewPace(batchInterval),
	}
}

// forward returns nil once the leader has acknowledged the announcement. It returns an error
// at once if that would take too long.
func (s *announcementForwarder) forward(a roster.Announcement) error {
	delivery, ok := s.add(a)
	if !ok {
		return notRunError("too many announcements wait for the leader, or it is slow")
	}
	select {
	case s.filled <- struct{}{}:
	default: // the signal is set already
	}
	timeout, release := s.control.options.Clock.After(announceTimeout)
	defer release()
	select {
	case <-delivery.Done():
		return delivery.Err()
	case <-timeout:
		return unknownError("the leader has not acknowledged the announcement in time")
	}
}

// add adds an announcement to the queue. It returns false if the queue is full or its server
// would not wait for the acknowledgement.
func (s *announcementForwarder) add(a roster.Announcement) (*roster.Delivery, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pace.Wait(s.control.options.Clock.Now(), s.queue.Len()/maxBatch) > announceTimeout {
		return nil, false
	}
	return s.queue.Add(a)
}

// take removes a batch from the queue and records that it is sent.
func (s *announcementForwarder) take() []*roster.Delivery {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.queue.Take(maxBatch)
	if len(batch) > 0 {
		s.pace = s.pace.WithStart(s.control.options.Clock.Now())
	}
	return batch
}

// batchEnded records that the batch in progress has ended.
func (s *announcementForwarder) batchEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = s.pace.WithEnd(s.control.options.Clock.Now())
}

// run sends batches until ctx ends.
func (s *announcementForwarder) run(ctx context.Context) {
	for {
		select {
		case <-s.filled:
		case <-ctx.Done():
			return
		}
		for s.sendBatch() {
			if !s.control.options.Clock.Sleep(ctx, batchInterval) {
				return
			}
		}
	}
}

// sendBatch sends the announcements that wait, up to maxBatch, and reports whether there were
// any.
func (s *announcementForwarder) sendBatch() bool {
	batch := s.take()
	if len(batch) == 0 {
		return false
	}
	position, err := s.deliver(lo.Map(batch, func(d *roster.Delivery, _ int) roster.Announcement { return d.Announcement() }))
	s.batchEnded()
	if isRefusedAsBatch(err) {
		s.sendSingly(batch)
		return true
	}
	departing := lo.Filter(batch, func(d *roster.Delivery, _ int) bool { return d.Announcement().State != roster.Serving })
	if err != nil || len(departing) == 0 {
		finish(batch, err)
		return true
	}
	finish(lo.Without(batch, departing...), nil)
	s.control.startTask(func() { finish(departing, s.awaitInForce(position)) })
	return true
}

// finish ends deliveries.
func finish(deliveries []*roster.Delivery, err error) {
	for _, d := range deliveries {
		d.Finish(err)
	}
}

// isRefusedAsBatch reports whether the leader does not take announcements as a batch: it is of
// a former build and does not know the path, or it refuses one of them.
func isRefusedAsBatch(err error) bool {
	var response statusError
	return errors.As(err, &response) && (response.status == fiber.StatusNotFound || response.status == fiber.StatusBadRequest)
}

// deliver applies announcements at the leader, and returns the position of the newest change
// of the servers among them that depart.
func (s *announcementForwarder) deliver(announcements []roster.Announcement) (propagation.Version, error) {
	data, err := encodeAnnouncements(announcements)
	if err != nil {
		return propagation.Version{}, err
	}
	data, err = s.control.runOnLeader(fasthttp.MethodPost, pathServerBatch, data, batchTimeout, func() ([]byte, error) {
		return s.control.applyBatch(announcements)
	})
	if err != nil {
		return propagation.Version{}, err
	}
	return decodePosition(data)
}

// awaitInForce returns nil once the leader has confirmed that all entries know the list of
// servers up to a position.
func (s *announcementForwarder) awaitInForce(position propagation.Version) error {
	data, err := encodePosition(position)
	if err != nil {
		return err
	}
	_, err = s.control.runOnLeader(fasthttp.MethodPost, pathServersInForce, data, announceTimeout, func() ([]byte, error) {
		return nil, s.control.awaitServers(position, nil)
	})
	return err
}

// sendSingly sends each announcement in a call of its own.
func (s *announcementForwarder) sendSingly(deliveries []*roster.Delivery) {
	for _, d := range deliveries {
		s.control.startTask(func() { d.Finish(s.control.announceAtLeader(d.Announcement())) })
	}
}

// Announce passes an announcement of a backend server to the leader. It returns
// nil once the leader's server list contains the announcement and, if the server leaves,
// once all entries know. Entries receive it in the responses to their watches. A heartbeat
// without news is passed on later, together with others.
func (c *Control) Announce(announcement roster.Announcement) error {
	if err := announcement.Validate(); err != nil {
		c.RefuseAnnouncement(err)
		return invalidError(fiber.StatusBadRequest, err)
	}
	if c.delegate.acceptHeartbeat(announcement) {
		return nil
	}
	status := c.log.Load().Status()
	switch {
	case status.Role == replica.Leader:
		return c.announceAtLeader(announcement)
	case status.Leader == "":
		return notRunError("no leader is known")
	}
	return c.forwarder.forward(announcement)
}

// announceAtLeader passes an announcement to the leader in a call of its own.
func (c *Control) announceAtLeader(announcement roster.Announcement) error {
	data, err := encodeAnnouncements([]roster.Announcement{announcement})
	if err != nil {
		return err
	}
	_, err = c.runOnLeader(fasthttp.MethodPost, pathServers, data, announceTimeout, func() ([]byte, error) {
		return nil, c.acknowledgeAnnouncements([]roster.Announcement{announcement})
	})
	return err
}

// applyBatch applies announcements when this member leads, and returns the encoded position
// of the newest change of the servers among them that depart.
func (c *Control) applyBatch(announcements []roster.Announcement) ([]byte, error) {
	if err := c.applyAnnouncements(announcements); err != nil {
		return nil, err
	}
	return encodePosition(c.serverRegistry.newestChange(departures(announcements)))
}

func (c *Control) postServerBatch(f fiber.Ctx) error {
	announcements, refused, err := decodeAnnouncements(f.Body())
	if err == nil {
		err = refused.Cause // the member sends each in a call of its own, so that the others count
	}
	if err != nil {
		return invalidError(fiber.StatusBadRequest, err)
	}
	return respond(f)(c.applyBatch(announcements))
}

func (c *Control) postServersInForce(f fiber.Ctx) error {
	position, err := decodePosition(f.Body())
	if err != nil {
		return invalidError(fiber.StatusBadRequest, err)
	}
	if err := c.awaitServers(position, nil); err != nil {
		return err
	}
	return f.SendStatus(fiber.StatusNoContent)
}

// wireServersPosition is the JSON form of a position in the list of servers.
type wireServersPosition struct {
	Term   uint64 `json:"term"`
	Number uint64 `json:"position"`
}

func encodePosition(position propagation.Version) ([]byte, error) {
	data, err := json.Marshal(wireServersPosition(position))
	return data, errors.WithStack(err)
}

func decodePosition(data []byte) (propagation.Version, error) {
	var w wireServersPosition
	if err := json.Unmarshal(data, &w); err != nil {
		return propagation.Version{}, errors.Wrap(err, "decoding a position in the list of servers")
	}
	return propagation.Version(w), nil
}
