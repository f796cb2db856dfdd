package roster_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/roster"
)

// numbered returns an announcement of a server with a name and an address of its own.
func numbered(i int) roster.Announcement {
	a := server(fmt.Sprint("server-", i), 1, 1)
	a.Address = fmt.Sprint("10.0.0.1:", i)
	return a
}

// Guards against servers that crashed or were replaced long ago, each with a name of its own, and that
// the leader and all entries remember for ever.
func TestServersThatNeverReturnAreForgotten(t *testing.T) {
	const silence, step = 4 * clock.Second, 10 * clock.Second
	r := roster.New(silence)
	live := numbered(0)
	for i := range 2000 {
		now := clock.Millis(i) * step
		live.Sequence++
		r.Accept(now, live)
		r.Accept(now, numbered(1+i))
		r.CheckTimeouts(now)
		// One that was announced in the last hour, or is gone for less than a minute, may still be known.
		if got, want := len(r.ChangedSince(0)), int((roster.SilentRetention+clock.Minute)/step)+3; got > want {
			t.Fatalf("servers after %d that came and went: got %d, want at most %d", i+1, got, want)
		}
	}
	if got := states(r)[live.Server]; got != roster.Serving {
		t.Errorf("server that announces itself: got %q, want %q", got, roster.Serving)
	}
}

// Guards against a writer that announces other names all the time and fills the memory of the leader, or
// displaces servers that announce themselves.
func TestRegistryIsBounded(t *testing.T) {
	const silence, sound = 4 * clock.Second, 100
	r := roster.New(silence)
	for i := range sound {
		r.Accept(0, numbered(i))
	}
	for i := range 3 * roster.MaxServers {
		r.Accept(clock.Millis(i/100), numbered(sound+i))
	}
	if got, want := len(r.ChangedSince(0)), roster.MaxServers; got > want {
		t.Errorf("servers: got %d, want at most %d", got, want)
	}
	for i := range sound {
		a := numbered(i)
		a.Sequence = 2
		if got, want := r.Accept(clock.Second, a), roster.Refreshed; got != want {
			t.Errorf("%s, known before: got %d, want %d", a.Server, got, want)
		}
	}
	if got, want := r.Accept(clock.Second, numbered(-1)), roster.Full; got != want {
		t.Errorf("one more server: got %d, want %d", got, want)
	}
	// Departures must hold, so that they are recorded nevertheless; they are forgotten after a minute.
	if got, want := r.RecordDeparture(clock.Second, "unknown", 0), roster.Changed; got != want {
		t.Errorf("departure of a server that is not known: got %d, want %d", got, want)
	}
	now := roster.SilentRetention + 2*clock.Minute
	for ; now < roster.SilentRetention+4*clock.Minute; now += clock.Second {
		r.CheckTimeouts(now)
	}
	if got, want := r.Accept(now, numbered(-1)), roster.Changed; got != want {
		t.Errorf("one more server, long after the others: got %d, want %d", got, want)
	}
}
