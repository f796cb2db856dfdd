package relay_test

import (
	"fmt"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/relay"
	"github.com/galenaslip/galenaslip/roster"
)

// listing returns the record of a server with a number of slots.
func (b *backend) listing(name string, slots int, startedAt int64) roster.Record {
	return roster.Record{Announcement: roster.Announcement{
		Server: name, Service: "s", Address: b.listener.Addr().String(), AvailabilityZone: "z", Slots: slots, State: roster.Serving,
		StartedAt: startedAt, Sequence: uint64(startedAt),
	}}
}

// heldBackend returns a server that answers once release is closed.
func heldBackend(t *testing.T, release <-chan struct{}) *backend {
	t.Helper()
	return newBackend(t, func(req receivedRequest) {
		<-release
		respondOK(req, "answer")
	})
}

// serverState returns the relay's view of a server.
func (s *fixture) serverState(name string) relay.ServerState {
	s.t.Helper()
	for _, state := range s.relay.State().Servers {
		if state.Server == name {
			return state
		}
	}
	s.t.Fatalf("server %s is unknown", name)
	return relay.ServerState{}
}

// settledServers is the number of servers in normal use beside which one joins.
const settledServers = 5

// joinServers adds a server to settled ones, which it lists again with a number of slots, a start time
// and a state.
func (s *fixture) joinServers(settled, joining *backend, slots int, startedAt int64, state roster.State) {
	for i := range settledServers {
		r := settled.listing(fmt.Sprintf("server-%d", i), slots, startedAt)
		r.State = state
		s.updateServers(r)
	}
	s.updateServers(joining.listing("joining", 16, 5))
}

// Guards against a flood at a server that has just joined, and against requests that wait or are
// refused for it: when the other servers have no room, when all servers have started, or when it is
// the only one.
func TestJoiningServerGetsFewRequests(t *testing.T) {
	const requests = 24
	tests := []struct {
		name         string
		settledSlots int
		startedAt    int64
		state        roster.State
		min, max     int // requests at the joining server
	}{
		{"the others have room", 16, 1, roster.Serving, 2, 2},
		{"the others are full", 1, 1, roster.Serving, 2, requests - settledServers},
		{"the others have started as well", 16, 9, roster.Serving, 3, 8},
		{"the others are gone", 16, 1, roster.Gone, requests, requests},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			settled, joining := heldBackend(t, release), heldBackend(t, release)
			s := newFixture(t, slices.Repeat([]*backend{settled}, settledServers)...)
			s.joinServers(settled, joining, tt.settledSlots, tt.startedAt, tt.state)
			clients := make([]*client, requests)
			for i := range clients {
				clients[i] = s.client()
				clients[i].get("/safe/", fmt.Sprint(i))
				for s.relay.State().Attempts <= i {
					runtime.Gosched()
				}
			}
			if got := s.serverState("joining").Attempts; got < tt.min || got > tt.max {
				t.Errorf("requests at the joining server: got %d, want %d to %d", got, tt.min, tt.max)
			}
			close(release)
			for _, c := range clients {
				c.wantStatus(200)
			}
		})
	}
}

// Guards against a release in which half of the servers are new and the others do the work of all.
func TestManyStartingServersAreUsed(t *testing.T) {
	const servers, requests = 4, 8 * 4
	release := make(chan struct{})
	backends := make([]*backend, servers)
	for i := range backends {
		backends[i] = heldBackend(t, release)
	}
	s := newFixture(t, backends[:servers/2]...)
	for i, b := range backends {
		s.updateServers(b.listing(fmt.Sprintf("server-%d", i), 16, lo.Ternary[int64](i < servers/2, 1, 5)))
	}
	for i := range requests {
		s.client().get("/safe/", fmt.Sprint(i))
		for s.relay.State().Attempts <= i {
			runtime.Gosched()
		}
	}
	for i := range servers / 2 {
		name := fmt.Sprintf("server-%d", servers/2+i)
		if got, want := s.serverState(name).Attempts, 2; got < want {
			t.Errorf("requests at %s: got %d, want at least %d", name, got, want)
		}
	}
	close(release)
}

// Guards against a server that is held back although it answers well, or although it names itself how
// much it takes.
func TestWindowEnds(t *testing.T) {
	tests := []struct {
		name, fields string
	}{
		{"good answers", ""},
		{"named limit", "Limit: 1000\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			joining := newBackend(t, func(req receivedRequest) { respond(req, 200, tt.fields) })
			settled := newBackend(t, func(req receivedRequest) { respondOK(req, "answer") })
			s := newFixture(t, slices.Repeat([]*backend{settled}, settledServers)...)
			s.updateServers(joining.listing("joining", 16, 5))
			if got, want := s.serverState("joining").Window, 2.0; got != want {
				t.Errorf("window at first: got %v, want %v", got, want)
			}
			for i := 0; joining.count() == 0 && i < 100; i++ {
				s.status()
			}
			s.awaitAttemptsEnd()
			if got := s.serverState("joining").Window; got != 0 {
				t.Errorf("window after an answer: got %v, want none", got)
			}
		})
	}
}

// Guards against many entries that each try one request at once: an entry has few turns until the
// others tell that the server answers well.
func TestEntriesTryJoiningServerInTurn(t *testing.T) {
	const entries, requests = 100_000, 100
	for _, proven := range []int{0, 4} {
		t.Run(fmt.Sprintf("%d requests proven", proven), func(t *testing.T) {
			answer := func(req receivedRequest) { respondOK(req, "answer") }
			joining := newBackend(t, answer)
			s := newFixture(t, slices.Repeat([]*backend{newBackend(t, answer)}, settledServers)...)
			update := control.WatchResponse{Granted: true, Revision: 1, Epoch: 1, EntryCount: entries, Share: wholeShare()}
			s.relay.Update(s.clock.Now(), update)
			update.Servers = []roster.Record{joining.listing("joining", 4, 5)}
			update.Loads = []control.ServerLoad{{Server: "joining", Proven: proven}}
			s.relay.Update(s.clock.Now(), update)
			for range requests {
				s.status()
				s.awaitAttemptsEnd()
				s.manual.Advance(clock.Millisecond)
			}
			if got, all := joining.count(), proven > 0; all && got == 0 || !all && got > requests/10 {
				t.Errorf("requests at the joining server: got %d of %d", got, requests)
			}
		})
	}
}

// Guards against a server that is left idle because it did not answer a request once: nothing but an
// answer shows that it has recovered, and it gets no requests while other servers respond.
func TestServerIsTriedAgainAfterSilence(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	paused := newBackend(t, func(req receivedRequest) {
		if silent.Load() {
			<-req.disconnected
			return
		}
		respondOK(req, "answer")
	})
	sound := newBackend(t, func(req receivedRequest) { respondOK(req, "answer") })
	s := newFixture(t, slices.Repeat([]*backend{sound}, settledServers)...)
	s.updateServers(paused.listing("joining", 16, 5))
	// ask sends a request. If it waits at the silent server, time goes on until the relay gives that up.
	ask := func() {
		const steps = 80 // 20 s, less than the timeout of the request
		passed, before := 0, paused.count()
		c := s.client()
		c.get("/safe/", "1")
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			c.wantStatus(200)
		}()
		for {
			select {
			case <-answered:
				s.awaitAttemptsEnd()
				return
			default:
			}
			if paused.count() > before && silent.Load() && passed < steps {
				passed++
				s.advanceToNextCheck(250 * clock.Millisecond)
				s.updateServers()
			}
			runtime.Gosched()
		}
	}
	send := func(duration clock.Millis) {
		for end := s.clock.Now() + duration; s.clock.Now() < end; {
			ask()
			s.advanceToNextCheck(250 * clock.Millisecond)
			s.updateServers()
		}
	}
	for paused.count() == 0 {
		ask()
	}
	if !s.serverState("joining").Unresponsive {
		t.Fatal("the server counts as responsive, want unresponsive")
	}
	before := paused.count()
	send(10 * clock.Second)
	if got, want := paused.count()-before, 21; got > want {
		t.Errorf("requests during 10 s of silence: got %d, want at most %d", got, want)
	}
	silent.Store(false)
	before = paused.count()
	send(10 * clock.Second)
	if paused.count() == before {
		t.Error("no request within 10 s after the server has recovered")
	}
}
