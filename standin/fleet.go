package standin

import (
	"context"
	"fmt"
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// fleetAddress is the address in the announcements of all servers of a fleet. No
// process listens on it.
const fleetAddress = "127.0.0.1:9"

// FleetOptions configure a fleet. Zero values select the defaults.
type FleetOptions struct {
	NamePrefix string // prefix of the servers' names
	Count      int
	Models     int // number of models; each server serves one
	Announce   Announce
	Clock      clock.Clock
}

// Fleet sends announcements of many engines that do not exist, to measure what
// announcements and digests cost an entry.
type Fleet struct {
	announcers []*announcer
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// NewFleet starts the announcements. The returned function stops them.
func NewFleet(options FleetOptions) (*Fleet, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{cancel: cancel}
	incarnation := uint64(options.Clock.Wall())
	interval := lo.CoalesceOrEmpty(options.Announce.Interval, clock.Second)
	options.Announce.Interval = interval
	for i := range options.Count {
		a := newAnnouncer(options.Announce, options.Clock, neverSuppressed, options.describe(i, incarnation))
		a.nextEntry = i
		f.announcers = append(f.announcers, a)
		f.background.Go(func() {
			// Spread the first announcements over one interval, as with real servers.
			if options.Clock.Sleep(ctx, interval*clock.Millis(i)/clock.Millis(options.Count)) {
				a.run(ctx)
			}
		})
	}
	return f, f.stop
}

func (f *Fleet) stop() {
	f.cancel()
	f.background.Wait()
}

func neverSuppressed() bool { return false }

// describe returns a function that returns the announcements of server i. Their load
// changes each time, like that of a busy engine.
func (o FleetOptions) describe(i int, incarnation uint64) func() announcementWire {
	models := max(o.Models, 1)
	count := 0
	return func() announcementWire {
		count++
		return announcementWire{
			Server:           fmt.Sprintf("%sengine-%d", o.NamePrefix, i),
			Incarnation:      incarnation,
			State:            "serving",
			Kind:             "engine",
			Address:          fleetAddress,
			AvailabilityZone: o.Announce.AvailabilityZone,
			Models:           []string{fmt.Sprintf("m-%d", i%models)},
			Services:         []string{},
			Slots:            16,
			ChecksFencing:    true,
			Load: loadWire{
				AgeMS: 400, Running: count % 16, KVUsed: 1000 + count%1000, KVTotal: 100_000,
				TokensPerSecond: float64(800 + count%100),
			},
		}
	}
}
