package standin

import (
	"context"
	"fmt"
	"sync"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// fleetAddress is announced by every server of a fleet. Nothing listens there.
const fleetAddress = "127.0.0.1:9"

// FleetOptions configure a fleet. Zero values select the defaults.
type FleetOptions struct {
	NamePrefix string // of the servers' names
	Count      int
	Models     int // each server serves one of them
	Announce   Announce
	Clock      clock.Clock
}

// Fleet announces many engines that do not exist, to measure what announcements
// and digests cost at an entry.
type Fleet struct {
	announcers []*announcer
	cancel     context.CancelFunc
	group      sync.WaitGroup
}

// NewFleet starts to announce. The returned function stops it.
func NewFleet(options FleetOptions) (*Fleet, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{cancel: cancel}
	incarnation := uint64(options.Clock.Wall())
	interval := lo.CoalesceOrEmpty(options.Announce.Interval, clock.Second)
	options.Announce.Interval = interval
	for i := range options.Count {
		a := newAnnouncer(options.Announce, options.Clock, neverMuted, options.describe(i, incarnation))
		a.next = i
		f.announcers = append(f.announcers, a)
		f.group.Go(func() {
			// The starts are spread over one interval, as those of real servers are.
			if options.Clock.Sleep(ctx, interval*clock.Millis(i)/clock.Millis(options.Count)) {
				a.run(ctx)
			}
		})
	}
	return f, f.stop
}

func (f *Fleet) stop() {
	f.cancel()
	f.group.Wait()
}

func neverMuted() bool { return false }

// describe returns what server i announces: a load that changes each time, as the
// load of a busy engine does.
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
