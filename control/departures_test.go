package control_test

import (
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/roster"
)

// Guards against a server that gets requests again although its departure was acknowledged: all members
// were killed and started again, and an announcement from before the departure arrives late.
func TestDepartureOutlivesMembers(t *testing.T) {
	for _, state := range []roster.State{roster.Leaving, roster.Gone} {
		t.Run(string(state), func(t *testing.T) {
			g := newSeededGroup(t, 3)
			serving := servingServer(1)
			serving.Sequence = 3
			departure := serving.WithState(state)
			departure.Sequence = 4
			if state == roster.Gone {
				departure = roster.Announcement{Server: serving.Server, State: roster.Gone}
			}
			announce := func(a roster.Announcement) {
				g.eventually("the announcement to be acknowledged", func() bool {
					return lo.SomeBy(lo.Values(g.running), func(m *control.Control) bool { return m.Announce(a) == nil })
				})
			}
			announce(serving)
			announce(departure)
			names := lo.Keys(g.running)
			for _, name := range names {
				g.crash(name)
			}
			for _, name := range names {
				g.start(name)
			}
			announce(serving) // late
			recorder := &watchRecorder{servers: map[string]roster.State{}}
			w := control.NewWatcher(control.WatcherOptions{
				Entry: "e", Seeds: g.addresses, Clock: g.clock, Logger: event.Discard(),
				Update: recorder.record, Report: func() control.Report { return control.Report{} },
			})
			go w.Run(t.Context())
			g.eventually("an entry to learn of the departure", func() bool { return recorder.hasSeen(0, state) })
			restarted := serving
			restarted.StartedAt, restarted.Sequence = serving.StartedAt+1, 1
			announce(restarted)
			g.eventually("the next run of the server to be used", func() bool { return recorder.hasSeen(0, roster.Serving) })
			announce(roster.Announcement{Server: serving.Server, State: roster.Gone, StartedAt: serving.StartedAt}) // of the former run
			announce(serving)
			if !recorder.hasSeen(0, roster.Serving) {
				t.Error("after the late departure of the former run: got the new run out of use")
			}
		})
	}
}
