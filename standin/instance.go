package standin

import (
	"context"
	"sync"

	"github.com/gofiber/fiber/v3"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
)

// instance is the part that engines and services share: the HTTP server, the faults and the
// announcements. It is safe for concurrent use.
type instance struct {
	name         string
	announce     Announce
	clock        clock.Clock
	logger       event.Logger
	server       *server
	activeFaults *faults
	announcer    *announcer
	closing      chan struct{} // closed when the stand-in stops, to end waiting calls
	releaseOnce  sync.Once     // makes release run once
	cancel       context.CancelFunc
	background   sync.WaitGroup
}

func newInstance(name string, announce Announce, c clock.Clock, logger event.Logger) *instance {
	return &instance{
		name:         name,
		announce:     announce,
		clock:        c,
		logger:       logger,
		activeFaults: newFaults(),
		closing:      make(chan struct{}),
	}
}

// start serves the application on an address, announces what describe returns, and runs the
// tasks until the stand-in stops.
func (i *instance) start(app *fiber.App, listenAddress string, describe func() announcementWire, tasks ...func(context.Context)) error {
	s, err := listen(app, listenAddress)
	if err != nil {
		return err
	}
	i.server = s
	i.announcer = newAnnouncer(i.announce, i.clock, i.activeFaults.suppressesAnnouncements, describe)
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	for _, task := range append(tasks, i.announcer.run) {
		i.background.Go(func() { task(ctx) })
	}
	return nil
}

// Address returns the address that the stand-in is bound to.
func (i *instance) Address() string {
	return i.server.address()
}

// Stop announces the departure, says so in all answers, waits for running calls and then
// stops the stand-in.
func (i *instance) Stop(ctx context.Context) error {
	i.activeFaults.apply(Fault{Kind: SaysLeaving})
	i.announcer.announceDeparture()
	err := i.server.stop(ctx)
	i.release()
	return err
}

func (i *instance) release() {
	i.releaseOnce.Do(func() {
		close(i.closing)
		i.cancel()
		i.server.close()
		i.background.Wait()
	})
}

// startFault starts the part of a fault that engines and services share.
func (i *instance) startFault(f Fault) {
	i.logger.Log(event.StandinFaultSwitched, zap.String("server", i.name), zap.String("kind", string(f.Kind)))
	i.activeFaults.apply(f)
	if f.Kind == Crash {
		i.server.closeConnections(nil)
	}
}

// describe returns the fields of an announcement that do not depend on the kind of server.
func (i *instance) describe() announcementWire {
	address := i.announce.Address
	if address == "" {
		address = i.Address()
	}
	return announcementWire{
		Server:           i.name,
		Incarnation:      i.announce.Incarnation,
		State:            "serving",
		Address:          address,
		AvailabilityZone: i.announce.AvailabilityZone,
		Version:          i.announce.Version,
	}
}

// faultHandler handles POST /stand-in/fault: it passes the fault of the body to start.
func faultHandler(start func(Fault)) fiber.Handler {
	return func(c fiber.Ctx) error {
		var fault Fault
		if err := decode(c.Body(), &fault); err != nil {
			return sendError(c, fiber.StatusBadRequest, err.Error())
		}
		start(fault)
		return c.SendStatus(fiber.StatusNoContent)
	}
}
