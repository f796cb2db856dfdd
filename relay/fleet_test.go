package relay_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/roster"
)

// updateServers applies an update with records of servers and renews the lease.
func (s *fixture) updateServers(records ...roster.Record) {
	s.relay.Update(s.clock.Now(), control.WatchResponse{Granted: true, Revision: 1, Epoch: 1, EntryCount: 1, Servers: records, Share: wholeShare()})
}

// status sends a request to the relay and returns the status of its answer.
func (s *fixture) status() int {
	s.t.Helper()
	c := s.client()
	c.get("/open/", "1")
	head, _, err := c.read()
	if err != nil {
		s.t.Fatal(err)
	}
	return head.Status
}

// Guards against a sound server that a relay never uses again, because a record of another
// writer under its name had a later start or a higher sequence number, and against an outdated
// record that replaces such a one while it may still be the newest.
func TestRelayUsesSoundServerAgain(t *testing.T) {
	const sequence, start = 1 << 62, 1 << 42
	tests := []struct {
		name string
		odd  roster.Announcement
	}{
		{"start far in the future", roster.Announcement{State: roster.Serving, StartedAt: start}},
		{"leaving with a sequence near the maximum", roster.Announcement{State: roster.Leaving, StartedAt: 1, Sequence: sequence}},
		{"gone", roster.Announcement{State: roster.Gone, StartedAt: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
			s := newFixture(t, b)
			sound := roster.Record{Announcement: roster.Announcement{
				Server: "server-0", Service: "s", Address: b.listener.Addr().String(), AvailabilityZone: "z", Slots: 4, State: roster.Serving, StartedAt: 1, Sequence: 9,
			}}
			odd := roster.Record{Announcement: tt.odd}
			odd.Server, odd.Service, odd.Address, odd.Slots = "server-0", "s", "127.0.0.1:1", 4
			s.updateServers(odd)
			s.advanceToNextCheck(4 * clock.Second)
			odd.Silent = odd.State != roster.Gone
			s.updateServers(odd)
			s.updateServers(sound)
			if got, want := s.status(), 503; got != want {
				t.Errorf("shortly after the odd record: got %d, want %d", got, want)
			}
			for range 28 {
				s.advanceToNextCheck(2 * clock.Second)
				s.updateServers()
			}
			s.updateServers(sound)
			if got, want := s.status(), 200; got != want {
				t.Errorf("a minute after the odd record: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against records of a former build that end a relay or keep it from using the other
// servers: it connects to the address and divides by the slots.
func TestRelayServesBesideOddServers(t *testing.T) {
	b := newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
	s := newFixture(t, b)
	tests := []struct {
		name string
		odd  roster.Announcement
	}{
		{"no address", roster.Announcement{Slots: 4}},
		{"no port", roster.Announcement{Address: "127.0.0.1", Slots: 4}},
		{"port out of range", roster.Announcement{Address: "127.0.0.1:99999999999", Slots: 4}},
		{"no slots", roster.Announcement{Address: "127.0.0.1:0"}},
		{"negative slots", roster.Announcement{Address: "127.0.0.1:0", Slots: -1 << 63}},
		{"absurd slots", roster.Announcement{Address: "127.0.0.1:0", Slots: 1<<63 - 1}},
		{"absurd times", roster.Announcement{Address: "127.0.0.1:0", Slots: 4, StartedAt: 1<<63 - 1, Sequence: 1<<64 - 1, WarmupLeft: -1 << 63}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			odd := roster.Record{Announcement: tt.odd}
			odd.Server, odd.Service, odd.State = tt.name, "s", roster.Serving
			s.updateServers(odd)
			for range 20 {
				c := s.client()
				c.get("/safe/", "1")
				if head, _, err := c.read(); err != nil || head.Status != 200 {
					t.Fatalf("got %d and %v, want 200", head.Status, err)
				}
			}
		})
	}
}

// Guards against a request that is refused because it was sent to several servers in a row that
// refuse connections, while another one serves.
func TestRequestPassesUnreachableServers(t *testing.T) {
	b := newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
	s := newFixture(t, b)
	records := make([]roster.Record, 0, 12)
	for i := range cap(records) {
		records = append(records, roster.Record{Announcement: roster.Announcement{
			Server: fmt.Sprintf("ended-%d", i), Service: "s", Address: "127.0.0.1:0", AvailabilityZone: "z", Slots: 64, State: roster.Serving, StartedAt: 1,
		}})
	}
	s.updateServers(records...)
	if got, want := s.status(), 200; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// Guards against a number of entries that overflows where it multiplies a time: the product
// became 0 and requests with a quarantined part ended in a division by it.
func TestNumberOfEntriesIsBounded(t *testing.T) {
	s := newFixture(t)
	tests := []struct{ reported, want int }{
		{-1, 1}, {0, 1}, {300, 300}, {1 << 61, 100_000}, {1<<63 - 1, 100_000},
	}
	for _, tt := range tests {
		s.relay.Update(s.clock.Now(), control.WatchResponse{Granted: true, Revision: 1, Epoch: 1, EntryCount: tt.reported, Share: wholeShare()})
		if got := s.relay.State().Entries; got != tt.want {
			t.Errorf("%d entries: got %d, want %d", tt.reported, got, tt.want)
		}
	}
}

// Guards against relays that together open more connections to a server than it takes: a new leader
// knows only the entries that have asked it, at first one, and each relay divides by that number.
func TestNewLeaderDoesNotShrinkNumberOfEntries(t *testing.T) {
	s := newFixture(t)
	steps := []struct {
		after    clock.Millis
		epoch    uint64
		reported int
		want     int
	}{
		{0, 2, 34, 34},
		{clock.Second, 3, 1, 34},
		{clock.Second, 3, 40, 40},
		{clock.Second, 3, 30, 34},
		{2 * clock.Second, 3, 30, 30},
		{clock.Second, 3, 28, 28},
	}
	for i, step := range steps {
		s.manual.Advance(step.after)
		s.relay.Update(s.clock.Now(), control.WatchResponse{Granted: true, Revision: 1, Epoch: step.epoch, EntryCount: step.reported, Share: wholeShare()})
		if got := s.relay.State().Entries; got != step.want {
			t.Errorf("step %d, %d entries of epoch %d: got %d, want %d", i, step.reported, step.epoch, got, step.want)
		}
	}
}
