package roster_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

// server returns an announcement of a serving server; all share one address.
func server(id string, started int64, sequence uint64) roster.Announcement {
	return roster.Announcement{
		Server: id, Service: "s", Address: "10.0.0.1:1", State: roster.Serving, StartedAt: started, Sequence: sequence,
	}
}

// states returns the states of all servers in a registry, by server name.
func states(r *roster.Registry) map[string]roster.State {
	result := map[string]roster.State{}
	for _, record := range r.ChangedSince(0) {
		result[record.Server] = record.State
	}
	return result
}

// Guards against an outdated announcement that makes a gone server usable again or
// replaces the server that now has its address.
func TestAnnouncementOrder(t *testing.T) {
	const silence = 4 * clock.Second
	tests := []struct {
		name  string
		steps []roster.Announcement
		want  []roster.AcceptResult
		state map[string]roster.State
	}{
		{
			"late announcement",
			[]roster.Announcement{server("a", 7, 2), server("a", 7, 1).WithState(roster.Leaving)},
			[]roster.AcceptResult{roster.Changed, roster.Stale},
			map[string]roster.State{"a": roster.Serving},
		},
		{
			"new start under the same name",
			[]roster.Announcement{server("a", 7, 90), server("a", 8, 1)},
			[]roster.AcceptResult{roster.Changed, roster.Changed},
			map[string]roster.State{"a": roster.Serving},
		},
		{
			"another server at the address",
			[]roster.Announcement{server("a", 7, 1), server("b", 9, 1), server("a", 7, 2)},
			[]roster.AcceptResult{roster.Changed, roster.Changed, roster.Stale},
			map[string]roster.State{"a": roster.Gone, "b": roster.Serving},
		},
		{
			"delayed announcement of the former server",
			[]roster.Announcement{server("b", 9, 1), server("a", 7, 5)},
			[]roster.AcceptResult{roster.Changed, roster.Stale},
			map[string]roster.State{"b": roster.Serving},
		},
		{
			"heartbeat without changes",
			[]roster.Announcement{server("a", 7, 1), server("a", 7, 2)},
			[]roster.AcceptResult{roster.Changed, roster.Refreshed},
			map[string]roster.State{"a": roster.Serving},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New(silence)
			for i, a := range tt.steps {
				if got := r.Accept(clock.Millis(i), a); got != tt.want[i] {
					t.Errorf("step %d: got %d, want %d", i, got, tt.want[i])
				}
			}
			got := states(r)
			for id, want := range tt.state {
				if got[id] != want {
					t.Errorf("%s: got %q, want %q", id, got[id], want)
				}
			}
		})
	}
}

// Guards against a late announcement that makes a gone server usable again.
func TestLeave(t *testing.T) {
	r := roster.New(4 * clock.Second)
	r.Accept(0, server("a", 7, 1))
	if got, want := r.RecordDeparture(1, "a", 0), roster.Changed; got != want {
		t.Errorf("leave: got %d, want %d", got, want)
	}
	if got, want := r.Accept(2, server("a", 7, 2)), roster.Stale; got != want {
		t.Errorf("late heartbeat: got %d, want %d", got, want)
	}
	if got, want := r.Accept(3, server("a", 8, 1)), roster.Changed; got != want {
		t.Errorf("new start: got %d, want %d", got, want)
	}
	// A new leader may learn of a server only from its departure.
	if got, want := r.RecordDeparture(4, "unknown", 0), roster.Changed; got != want {
		t.Errorf("unknown server: got %d, want %d", got, want)
	}
}

// Guards against a silent server that is not reported to the entries, and against
// reporting heartbeats that change nothing.
func TestSilence(t *testing.T) {
	r := roster.New(4 * clock.Second)
	r.Accept(0, server("a", 7, 1))
	changeNumber := r.LastChangeNumber()
	for i := range 5 {
		r.Accept(clock.Millis(i+1)*clock.Second, server("a", 7, uint64(i+2)))
	}
	if got := r.ChangedSince(changeNumber); len(got) != 0 {
		t.Errorf("heartbeats: got %d changes, want none", len(got))
	}
	if r.CheckTimeouts(8 * clock.Second) {
		t.Error("before the timeout: got a change, want none")
	}
	if !r.CheckTimeouts(9 * clock.Second) {
		t.Error("at the timeout: got no change, want one")
	}
	changes := r.ChangedSince(changeNumber)
	if len(changes) != 1 || !changes[0].Silent {
		t.Errorf("got %v, want one silent server", changes)
	}
	r.Accept(10*clock.Second, server("a", 7, 9))
	if changes = r.ChangedSince(changeNumber); len(changes) != 1 || changes[0].Silent {
		t.Errorf("after a heartbeat: got %v, want one server that is not silent", changes)
	}
}

// BenchmarkHeartbeat shows that accepting a heartbeat does not scan the other servers.
func BenchmarkHeartbeat(b *testing.B) {
	for _, servers := range []int{10, 1000, 12_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			r := roster.New(clock.Minute)
			announcements := make([]roster.Announcement, servers)
			for i := range announcements {
				announcements[i] = roster.Announcement{
					Server: fmt.Sprintf("s%d", i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), State: roster.Serving,
				}
			}
			n := 0
			for b.Loop() {
				a := &announcements[n%servers]
				a.Sequence++
				r.Accept(clock.Millis(n), *a)
				n++
			}
		})
	}
}

// Guards against a sound server that stays out for good, because another writer has once sent
// an announcement under its name or for its address that outranks all of its own.
func TestSoundServerReturns(t *testing.T) {
	const sequence, start = 1 << 62, 1 << 42
	sound := server("a", 7, 10)
	tests := []struct {
		name string
		odd  roster.Announcement
	}{
		{"sequence near the maximum", server("a", 7, sequence)},
		{"leaving with a sequence near the maximum", server("a", 7, sequence).WithState(roster.Leaving)},
		{"start far in the future", server("a", start, 1)},
		{"other server at the address", server("b", start, sequence)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New(4 * clock.Second)
			r.Accept(0, sound)
			r.Accept(1, tt.odd)
			returnedAt := clock.Millis(0)
			for now := clock.Second; now < 5*clock.Minute && returnedAt == 0; now += clock.Second {
				r.CheckTimeouts(now)
				sound.Sequence++
				if r.Accept(now, sound) != roster.Stale {
					returnedAt = now
				}
			}
			if got, want := returnedAt, 61*clock.Second; got == 0 || got > want {
				t.Errorf("the sound server counts again after %d ms, want at most %d (0: never)", got, want)
			}
			if got, want := states(r)["a"], roster.Serving; got != want {
				t.Errorf("state: got %q, want %q", got, want)
			}
		})
	}
}

// Guards against a delayed announcement that makes a server usable again which has stopped
// sending, or that has announced meanwhile that it leaves.
func TestDelayedAnnouncementIsIgnored(t *testing.T) {
	r := roster.New(4 * clock.Second)
	r.Accept(0, server("a", 7, 2).WithState(roster.Leaving))
	for now := clock.Second; now < clock.Minute; now += clock.Second {
		r.CheckTimeouts(now)
		for _, delayed := range []roster.Announcement{server("a", 7, 1), server("a", 6, 90), server("b", 6, 90)} {
			if got, want := r.Accept(now, delayed), roster.Stale; got != want {
				t.Errorf("%s at %d ms: got %d, want %d", delayed.Server, now, got, want)
			}
		}
	}
}
