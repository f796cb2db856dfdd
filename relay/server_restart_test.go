package relay_test

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/memory/memorytest"
	"github.com/galenaslip/galenaslip/roster"
)

// recordOf returns a record of the server with the given index.
func recordOf(index int, b *backend, state roster.State, startedAt int64, sequence uint64) roster.Record {
	return roster.Record{Announcement: roster.Announcement{
		Server: fmt.Sprintf("server-%d", index), Service: "s", Address: b.listener.Addr().String(), AvailabilityZone: "z",
		Slots: 4, State: state, StartedAt: startedAt, Sequence: sequence,
	}}
}

// Guards against reset connections that are taken for ends of servers because the servers are
// restarted as planned afterwards: they announce that they leave, and later runs follow.
func TestPlannedRestartAfterResetIsNoEnd(t *testing.T) {
	servers := []*backend{newBackend(t, resetAfterHead), newBackend(t, resetAfterHead), newBackend(t, resetAfterHead)}
	s := newFixture(t, servers...)
	c := s.client()
	for i := range 3 {
		c.ask("system session", fmt.Sprint(i))
		c.wantStatus(502)
		s.advanceToNextCheck(700)
	}
	var leaving, again []roster.Record
	for i, b := range servers {
		leaving = append(leaving, recordOf(i, b, roster.Leaving, 1, 2))
		again = append(again, recordOf(i, b, roster.Serving, 2, 1))
	}
	s.updateServers(leaving...)
	s.advanceToNextCheck(clock.Second)
	s.updateServers(again...)
	if got, want := len(s.relay.State().Suspects), 0; got != want {
		t.Errorf("suspects after planned restarts: got %d, want %d", got, want)
	}
}

// Guards against sound requests that are turned away for seconds because a trial counts although
// it was not sent: no server was left.
func TestTrialWithoutServerIsNotSpent(t *testing.T) {
	servers := []*backend{newEndingBackend(t, "poison"), newEndingBackend(t, "poison")}
	s := newFixture(t, servers...)
	c := s.client()
	c.ask("system poison", "1")
	c.wantStatus(502)
	s.advanceToNextCheck(clock.Second)
	c.ask("system sound", "2")
	c.wantStatus(503)
	again := []*backend{newEndingBackend(t, "poison"), newEndingBackend(t, "poison")}
	s.updateServers(recordOf(0, again[0], roster.Serving, 2, 1), recordOf(1, again[1], roster.Serving, 2, 1))
	c.ask("system sound", "3")
	c.wantStatus(200)
}

// Guards against bodies of requests that stay in memory, outside of its limit, after a connection
// was lost under them.
func TestLostRequestsDoNotKeepBodies(t *testing.T) {
	const requests, bodySize = 40, 1 << 20
	hangUp := func(req receivedRequest) { _ = req.conn.Close() }
	servers := []*backend{newBackend(t, hangUp), newBackend(t, hangUp)}
	s := newFixture(t, servers...)
	before := memorytest.HeapBytes()
	for i := range requests {
		c := s.client()
		c.post("/once/", fmt.Sprint(i), strings.Repeat("x", bodySize))
		c.wantStatus(502)
		_ = c.conn.Close()
	}
	for _, b := range servers {
		b.mu.Lock()
		b.received = nil
		b.mu.Unlock()
	}
	s.awaitAttemptsEnd()
	for range 60 {
		s.advanceToNextCheck(clock.Second)
	}
	if got, want := memorytest.HeapBytes(), before+requests*bodySize/4; got > want {
		t.Errorf("heap a minute after the requests: got %d bytes, want at most %d", got, want)
	}
}

// Guards against a deadly request that is never found because the relay has turned from a silent
// server to the next one, or its caller has left, before the server ends.
func TestDeadlyRequestAtSilentServersIsRefused(t *testing.T) {
	// maxSteps is how often the clock is advanced while a request waits, long enough for the relay to
	// turn to another server. The servers run in real time: a clock that went on until they have
	// ended would run ahead of them by more than the time for which ends are watched.
	const requests, maxSteps = 4, 4
	var received, ended [requests]atomic.Int32 // runs of each request
	var endedServers atomic.Int32
	var servers []*backend
	for range 8 {
		var b *backend
		var end sync.Once // a server may get the request twice before it ends
		b = newBackend(t, func(req receivedRequest) {
			i, err := strconv.Atoi(req.head.Get("Id"))
			if err != nil {
				t.Error(err)
				return
			}
			received[i].Add(1)
			var one [1]byte
			_, _ = req.conn.Read(one[:]) // until the relay turns to another server
			end.Do(func() {
				b.end()
				endedServers.Add(1)
			})
			ended[i].Add(1)
		})
		servers = append(servers, b)
	}
	s := newFixture(t, servers...)
	for i := range requests {
		c, done := s.client(), make(chan struct{})
		c.post("/safe/", strconv.Itoa(i), "deadly body")
		go func() {
			defer close(done)
			_, _, _ = c.read()
		}()
		for received[i].Load() == 0 && !isClosed(done) {
			runtime.Gosched()
		}
		for step := 0; step < maxSteps && ended[i].Load() == 0 && !isClosed(done); step++ {
			s.advanceToNextCheck(700)
			s.renewLease()
		}
		_ = c.conn.Close()
		// The relay has noticed that the caller has left, and all servers reached so far have ended.
		for s.relay.State().Connections > 0 || ended[i].Load() < received[i].Load() {
			runtime.Gosched()
		}
	}
	if got, want := endedServers.Load(), int32(3); got > want {
		t.Errorf("servers that the request ended: got %d, want at most %d", got, want)
	}
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
