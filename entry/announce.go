package entry

import (
	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
)

// announceInterval is the interval at which servers are asked to announce themselves.
const announceInterval = 1 * clock.Second

// handleAnnouncement serves POST /v1/announcements.
func (e *Entry) handleAnnouncement(c fiber.Ctx) error {
	a, err := backend.DecodeAnnouncement(c.BodyRaw())
	if err != nil {
		e.options.Logger.Log(event.AnnouncementRefused, zap.String("address", c.IP()), zap.Error(err))
		return invalid(outcome.ReasonInvalidRequest, "", err.Error()).write(c)
	}
	answers := make(chan backend.AnnouncementResponse, 1)
	ok := e.dispatcher.trySend(func(now clock.Millis) { answers <- e.dispatcher.acceptAnnouncement(now, e.challenger, a) })
	if !ok {
		e.metrics.droppedAnnouncements.Inc()
		return notRun(outcome.ReasonOverloaded, "the entry is overloaded").write(c)
	}
	select {
	case answer := <-answers:
		return sendEncoded(c)(backend.EncodeAnnouncementResponse(answer))
	case <-e.ctx.Done():
		return notRun(outcome.ReasonStopping, "the entry is stopping").write(c)
	}
}

// sendEncoded returns a function that takes the result of an encoder. It sends body
// as JSON; if err is not nil, it sends nothing and returns err.
func sendEncoded(c fiber.Ctx) func(body []byte, err error) error {
	return func(body []byte, err error) error {
		if err != nil {
			return err
		}
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(body)
	}
}

// acceptAnnouncement records an announcement if it echoes a recent challenge of this
// entry, which proves how old it is. The answer carries the next challenge.
func (d *dispatcher) acceptAnnouncement(now clock.Millis, challenger *backend.Challenger, a backend.Announcement) backend.AnnouncementResponse {
	answer := backend.AnnouncementResponse{Challenge: challenger.Issue(now), Interval: announceInterval}
	age, ok := challenger.Check(now, a.Challenge())
	if !ok {
		answer.Reason = "challenge"
		return answer
	}
	accepted := d.registry.Accept(now, a, age)
	answer.Accepted = accepted == backend.Accepted
	if !answer.Accepted {
		answer.Reason = string(accepted)
		return answer
	}
	d.router.CacheEvents(a.Server(), a.CacheEvents())
	for _, pool := range a.Pools() {
		d.pool(pool).hadServer = true
		d.dispatchWaiting(now, pool)
	}
	return answer
}
