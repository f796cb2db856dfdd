package entry

import (
	"fmt"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
)

// announceInterval is the interval at which servers are asked to announce themselves.
const announceInterval = 1 * clock.Second

// refusalLogInterval is the shortest time between two log lines about refused servers.
const refusalLogInterval = 10 * clock.Second

// handleAnnouncement serves POST /v1/announcements.
func (e *Entry) handleAnnouncement(c fiber.Ctx) error {
	a, err := backend.DecodeAnnouncement(c.BodyRaw())
	if err != nil {
		e.recordRefused(c.IP(), 1, err)
		return invalid(outcome.ReasonInvalidRequest, "", excerpt(err)).write(c)
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

// recordRefused counts and logs announcements and records of servers that were left out, and
// the address that has sent them.
func (e *Entry) recordRefused(address string, count int, cause error) {
	e.metrics.serversRefused.Add(float64(count))
	e.refusalLog.Log(e.options.Clock.Now(), event.AnnouncementRefused,
		zap.String("address", address), zap.Int("servers", count), zap.String("cause", excerpt(cause)))
}

// excerpt returns the beginning of an error message, which may quote the sender's data.
func excerpt(err error) string { return fmt.Sprintf("%.300s", err.Error()) }

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
