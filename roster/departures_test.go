package roster_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

func departureOf(server string, run int64, state roster.State, at clock.Millis) roster.Departure {
	return roster.Departure{At: at, Announcement: roster.Announcement{
		Server: server, Service: "s", Address: "10.0.0.1:1", State: state, StartedAt: run, Sequence: 7,
	}}
}

// Guards against departures that are kept for good or dropped too soon, and against one of an earlier run
// that counts for a later one.
func TestDepartures(t *testing.T) {
	var d roster.Departures
	d = d.With(departureOf("a", 5, roster.Leaving, 0), departureOf("b", 1, roster.Gone, 1000))
	before := d
	d = d.With(departureOf("a", 5, roster.Gone, 2000))
	tests := []struct {
		departures roster.Departures
		server     string
		run        int64
		state      roster.State
		want       bool
	}{
		{before, "a", 5, roster.Leaving, true}, {before, "a", 5, roster.Gone, false},
		{d, "a", 5, roster.Gone, true}, {d, "a", 6, roster.Gone, false}, {d, "b", 1, roster.Gone, true}, {d, "c", 1, roster.Gone, false},
		{d.With(departureOf("c", 1, roster.Gone, 60_999)), "b", 1, roster.Gone, true},
		{d.With(departureOf("c", 1, roster.Gone, 61_000)), "b", 1, roster.Gone, false},
	}
	for i, tt := range tests {
		if got := tt.departures.Has(departureOf(tt.server, tt.run, tt.state, 0).Announcement); got != tt.want {
			t.Errorf("%d: %s, run %d, %s: got %v, want %v", i, tt.server, tt.run, tt.state, got, tt.want)
		}
	}
	var many []roster.Departure
	for i := range 5000 {
		many = append(many, departureOf(fmt.Sprint(i), 1, roster.Gone, 3000))
	}
	if got, want := len(d.With(many...).All()), 4096; got != want {
		t.Errorf("departures: got %d, want %d", got, want)
	}
}

// Guards against a server that a new leader, which knows nothing else of it, takes back because of an
// announcement from before its departure, and against a departure of a former run that ends a later one.
func TestRestoredDeparture(t *testing.T) {
	announcement := func(run int64, sequence uint64) roster.Announcement {
		a := departureOf("a", run, roster.Serving, 0).Announcement
		a.Sequence = sequence
		return a
	}
	for _, state := range []roster.State{roster.Leaving, roster.Gone} {
		r := roster.New(4 * clock.Second)
		r.Restore(0, departureOf("a", 5, state, 0).Announcement)
		if got, want := r.Accept(9*clock.Second, announcement(5, 6)), roster.Stale; got != want {
			t.Errorf("%s: an announcement from before: got %v, want %v", state, got, want)
		}
		if got, want := r.Accept(9*clock.Second, announcement(6, 1)), roster.Changed; got != want {
			t.Errorf("%s: a new run: got %v, want %v", state, got, want)
		}
		if got, want := r.RecordDeparture(9*clock.Second, "a", 5), roster.Stale; got != want {
			t.Errorf("%s: the departure of the former run, once more: got %v, want %v", state, got, want)
		}
		if got, want := r.RecordDeparture(9*clock.Second, "a", 6), roster.Changed; got != want {
			t.Errorf("%s: the departure of the new run: got %v, want %v", state, got, want)
		}
	}
}
