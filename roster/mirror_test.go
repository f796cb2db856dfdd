package roster_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// readerOf is a naive reader of a registry: it keeps the newest record of each server.
type readerOf struct {
	epoch, position uint64
	states          map[string]roster.State
}

func (r *readerOf) apply(epoch, position uint64, changed []roster.Record) {
	r.epoch, r.position = epoch, max(position, r.position)
	for _, record := range changed {
		r.states[record.Server] = record.State
	}
}

// Guards against a change that a reader misses because it reads from a mirror, or from one
// mirror after another of which one is behind: after both mirrors have caught up, the reader
// knows the same states as one that reads from the registry alone.
func TestMirrorLosesNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const epoch = 3
		registry := roster.New(clock.Minute)
		mirrors := []*roster.Mirror{roster.NewMirror(), roster.NewMirror()}
		direct, mirrored := &readerOf{states: map[string]roster.State{}}, &readerOf{states: map[string]roster.State{}}
		catchUp := func(m *roster.Mirror) {
			since := m.Position()
			m.Apply(0, epoch, registry.LastChangeNumber(), registry.ChangedSince(since))
		}
		read := func(m *roster.Mirror) {
			mirrored.apply(m.Epoch(), m.Position(), m.ChangedSince(mirrored.epoch, mirrored.position))
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range steps {
			mirror := rapid.SampledFrom(mirrors).Draw(t, "mirror")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				server := rapid.IntRange(0, 3).Draw(t, "server")
				registry.Accept(0, roster.Announcement{
					Server: fmt.Sprintf("s%d", server), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", server),
					State: rapid.SampledFrom([]roster.State{roster.Serving, roster.Leaving}).Draw(t, "state"), Sequence: uint64(i + 1),
				})
			case 1:
				catchUp(mirror)
			case 2:
				if mirror.Epoch() == epoch && mirror.Position() >= mirrored.position {
					read(mirror)
				}
			}
		}
		for _, m := range mirrors {
			catchUp(m)
			if m.Epoch() == epoch {
				read(m)
			}
		}
		direct.apply(epoch, registry.LastChangeNumber(), registry.ChangedSince(0))
		if got, want := fmt.Sprint(mirrored.states), fmt.Sprint(direct.states); got != want {
			t.Errorf("states read from mirrors: got %s, want %s", got, want)
		}
	})
}

// Guards against a mirror that goes back to an older list of servers, and against one that
// keeps servers of a former leader's list.
func TestMirrorEpochs(t *testing.T) {
	record := func(server string, state roster.State) []roster.Record {
		return []roster.Record{{Announcement: roster.Announcement{Server: server, State: state}}}
	}
	m := roster.NewMirror()
	m.Apply(0, 2, 5, record("a", roster.Leaving))
	tests := []struct {
		name            string
		epoch, position uint64
		applied         bool
		servers         int
	}{
		{name: "an older position", epoch: 2, position: 4, applied: false, servers: 1},
		{name: "an older epoch", epoch: 1, position: 9, applied: false, servers: 1},
		{name: "a newer position", epoch: 2, position: 6, applied: true, servers: 2},
		{name: "a newer epoch", epoch: 3, position: 1, applied: true, servers: 1},
	}
	for _, tt := range tests {
		if got := m.Apply(0, tt.epoch, tt.position, record("b", roster.Serving)); got != tt.applied {
			t.Errorf("%s: applied: got %v, want %v", tt.name, got, tt.applied)
		}
		if got := len(m.ChangedSince(0, 0)); got != tt.servers {
			t.Errorf("%s: servers: got %d, want %d", tt.name, got, tt.servers)
		}
	}
}

// Guards against a heartbeat that is acknowledged as a repetition although entries must
// learn of it.
func TestMirrorIsRefresh(t *testing.T) {
	known := roster.Announcement{Server: "a", Service: "s", Address: "10.0.0.1:1", State: roster.Serving, StartedAt: 5, Sequence: 7}
	m := roster.NewMirror()
	m.Apply(0, 1, 1, []roster.Record{{Announcement: known}})
	m.Apply(0, 1, 2, []roster.Record{{Announcement: roster.Announcement{Server: "silent", State: roster.Serving}, Silent: true}})
	next := known
	next.Sequence = 8
	leavingLater, reclaimable := next, next
	leavingLater.LeavesIn = 500
	reclaimable.Reclaimable = true
	restarted := next
	restarted.StartedAt = 6
	tests := []struct {
		name         string
		announcement roster.Announcement
		want         bool
	}{
		{name: "the next heartbeat", announcement: next, want: true},
		{name: "a server whose remaining time has changed", announcement: leavingLater, want: true},
		{name: "a server that has become reclaimable", announcement: reclaimable, want: false},
		{name: "a delayed heartbeat", announcement: known, want: false},
		{name: "a server that leaves", announcement: next.WithState(roster.Leaving), want: false},
		{name: "a restarted server", announcement: restarted, want: false},
		{name: "an unknown server", announcement: roster.Announcement{Server: "b", Sequence: 1}, want: false},
		{name: "a silent server", announcement: roster.Announcement{Server: "silent", State: roster.Serving, Sequence: 1}, want: false},
	}
	for _, tt := range tests {
		if got := m.IsRefresh(tt.announcement); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}
