package quarantine_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/quarantine"
)

// Guards against a lost connection that is taken for the end of its server although the server
// listens or cannot be reached, and against an end that is missed or counted twice for a request.
// The naive version knows the true state of each server.
func TestEndChecksAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, manual := clock.NewManual(0)
		confirmed := map[quarantine.ServerRun]int{}
		checks := quarantine.NewEndChecks(c, func(run quarantine.ServerRun, _ int) { confirmed[run]++ })
		type server struct {
			run    quarantine.ServerRun
			result quarantine.Listening
			ended  bool // known to have ended, by the naive version
		}
		servers := make([]*server, 3)
		for i := range servers {
			servers[i] = &server{run: run(i + 1), result: quarantine.ListeningYes}
		}
		calls := map[int]*atomic.Int32{}
		byServer := map[int][]int{}
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(servers)-1).Draw(t, "server")
			s := servers[i]
			address := s.run.Server
			switch rapid.SampledFrom([]string{"lose", "change", "announce", "wait"}).Draw(t, "kind") {
			case "lose":
				calls[step] = &atomic.Int32{}
				n := calls[step]
				byServer[i] = append(byServer[i], step)
				manual.Advance(200) // later than the moment that an earlier check covers
				<-checks.ConnectionLost(s.run, address, func() quarantine.Listening { return s.result }, func() { n.Add(1) })
				s.ended = s.ended || s.result == quarantine.ListeningNo
			case "change":
				s.result = rapid.SampledFrom([]quarantine.Listening{quarantine.ListeningUnknown, quarantine.ListeningYes, quarantine.ListeningNo}).Draw(t, "result")
			case "announce":
				later := quarantine.ServerRun{Server: "later", StartedAt: s.run.StartedAt + 100}
				checks.ServerAnnounced(later, address)
				s.ended = s.ended || len(byServer[i]) > 0
			case "wait":
				manual.Advance(clock.Millis(rapid.IntRange(0, 50).Draw(t, "ms")))
			}
			for j, s := range servers {
				for _, lost := range byServer[j] {
					want := int32(0)
					if s.ended {
						want = 1
					}
					if got := calls[lost].Load(); got != want {
						t.Fatalf("step %d: request %d at server %d: told of %d ends, want %d", step, lost, j, got, want)
					}
				}
				if got := confirmed[s.run]; got > 1 || (got == 1) != s.ended {
					t.Fatalf("step %d: server %d was reported as ended %d times, ended is %v", step, j, got, s.ended)
				}
			}
		}
	})
}

// Guards against memory and connections that grow with the connections that are lost at once.
func TestEndChecksAreBounded(t *testing.T) {
	c, _ := clock.NewManual(0)
	checks := quarantine.NewEndChecks(c, func(quarantine.ServerRun, int) {})
	var made atomic.Int32
	for i := range 5000 {
		<-checks.ConnectionLost(run(i%1000), "a", func() quarantine.Listening {
			made.Add(1)
			return quarantine.ListeningUnknown
		}, func() {})
	}
	if got, want := made.Load(), int32(256); got > want {
		t.Errorf("checks within one moment: got %d, want at most %d", got, want)
	}
}

// Guards against servers that end unnoticed under requests that were abandoned there, against ends
// that are held against requests of long ago, and against checks without bound.
func TestAbandonedRequestsAreWatched(t *testing.T) {
	const digest, other, step = "digest", "other", 100 * clock.Millisecond
	c, manual := clock.NewManual(0)
	checks := quarantine.NewEndChecks(c, func(quarantine.ServerRun, int) {})
	var made atomic.Int32
	listening := quarantine.ListeningYes
	check := func() quarantine.Listening {
		made.Add(1)
		return listening
	}
	told := map[string]int{}
	abandon := func(digest string) {
		checks.RequestAbandoned(run(1), "a", digest, check, func() { told[digest]++ })
	}
	abandon(other)
	manual.Advance(9 * clock.Second)
	abandon(digest)
	for range 100 {
		checks.CheckAbandoned("unknown")
		for _, checked := range checks.CheckAbandoned(digest) {
			<-checked
		}
		manual.Advance(step)
		if !checks.HasAbandoned() {
			t.Fatal("no abandoned request is known within the retention")
		}
	}
	if got, want := made.Load(), int32(10); got != want {
		t.Errorf("checks in 10 s in which a request comes 100 times: got %d, want %d", got, want)
	}
	listening = quarantine.ListeningNo
	for _, checked := range checks.CheckAbandoned(digest) {
		<-checked
	}
	if got, want := fmt.Sprint(told), fmt.Sprint(map[string]int{digest: 1}); got != want {
		t.Errorf("ends told to requests of 10 s and of 19 s ago: got %v, want %v", got, want)
	}
	abandon(digest)
	if got, want := told[digest], 2; got != want {
		t.Errorf("ends told to a request abandoned after the end: got %d, want %d", got, want)
	}
	manual.Advance(11 * clock.Second)
	checks.DropExpired()
	if checks.HasAbandoned() {
		t.Error("abandoned requests are still known after the retention")
	}
}

// Guards against memory that grows with abandoned requests.
func TestAbandonedRequestsAreBounded(t *testing.T) {
	const requests, most = 1000, 64
	c, _ := clock.NewManual(0)
	checks := quarantine.NewEndChecks(c, func(quarantine.ServerRun, int) {})
	told := 0
	for i := range requests {
		checks.RequestAbandoned(run(1), "a", fmt.Sprint(i), func() quarantine.Listening { return quarantine.ListeningNo }, func() { told++ })
	}
	for _, checked := range checks.CheckAbandoned(fmt.Sprint(requests - 1)) {
		<-checked
	}
	if got, want := told, most; got != want {
		t.Errorf("requests told of the end: got %d, want %d", got, want)
	}
}

// Guards against lost connections that are not checked because requests were abandoned at more
// servers than are remembered.
func TestLostConnectionsGoBeforeAbandonedRequests(t *testing.T) {
	const servers = 1000
	c, manual := clock.NewManual(0)
	checks := quarantine.NewEndChecks(c, func(quarantine.ServerRun, int) {})
	unknown := func() quarantine.Listening { return quarantine.ListeningUnknown }
	for i := range servers {
		checks.RequestAbandoned(run(i), "a", fmt.Sprint(i), unknown, func() {})
		manual.Advance(1)
	}
	if got, want := checks.Unsettled(fmt.Sprint(servers-1)), 1; got != want {
		t.Errorf("runs known of the newest abandoned request: got %d, want %d", got, want)
	}
	ended := 0
	<-checks.ConnectionLost(run(servers), "b", func() quarantine.Listening { return quarantine.ListeningNo }, func() { ended++ })
	if got, want := ended, 1; got != want {
		t.Errorf("ends told to the request that lost its connection: got %d, want %d", got, want)
	}
}
