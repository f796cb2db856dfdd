package control

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

// commitDepartures commits the departures among announcements that the registry has taken. They hold for
// later leaders, too, which know nothing else of the servers: an announcement that was sent before and
// arrives late does not bring the server back.
func (c *Control) commitDepartures(announcements []roster.Announcement) error {
	known := c.machine.Departures()
	added := lo.FilterMap(departures(announcements), func(server string, _ int) (roster.Announcement, bool) {
		a, ok := c.serverRegistry.announcement(server)
		return a, ok && a.State != roster.Serving && !known.Has(a)
	})
	if len(added) == 0 {
		return nil
	}
	_, err := c.propose(context.Background(), command{departures: added})
	return err
}

// announcement returns the newest announcement of a server, or its departure.
func (s *serverRegistry) announcement(server string) (roster.Announcement, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Announcement(server)
}

// wireDeparture is the JSON form of roster.Departure in a snapshot.
type wireDeparture struct {
	wireServer
	At clock.Millis `json:"at_ms"`
}

func encodeDepartures(d roster.Departures) ([]byte, error) {
	data, err := json.Marshal(lo.Map(d.All(), func(a roster.Departure, _ int) wireDeparture {
		return wireDeparture{toWireServer(roster.Record{Announcement: a.Announcement}), a.At}
	}))
	return data, errors.WithStack(err)
}

func decodeDepartures(data []byte) (roster.Departures, error) {
	var wire []wireDeparture
	if err := json.Unmarshal(data, &wire); err != nil {
		return roster.Departures{}, errors.Wrap(err, "decoding departures")
	}
	var all []roster.Departure
	for _, w := range wire {
		record, err := w.toRecord()
		if err != nil {
			return roster.Departures{}, err
		}
		all = append(all, roster.Departure{Announcement: record.Announcement, At: w.At})
	}
	return roster.Departures{}.With(all...), nil
}
