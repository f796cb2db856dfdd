package control_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/roster"
)

// servingServer returns the first announcement of a server.
func servingServer(number int) roster.Announcement {
	return roster.Announcement{
		Server: fmt.Sprintf("s%d", number), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", number/250, number%250),
		State: roster.Serving, StartedAt: 5, Sequence: 1,
	}
}

// requestCount returns how many requests a member has received at paths with a prefix.
func (g *group) requestCount(name, prefix string) int {
	g.t.Helper()
	_, metrics := request(g.t.(*testing.T), http.MethodGet, "http://"+g.memberOptions[name].Listen+"/metrics", "", "")
	total := 0
	for line := range strings.Lines(metrics) {
		var count int
		path, value, found := strings.Cut(strings.TrimPrefix(line, `galenaslip_control_requests_total{path="`), `"} `)
		if _, err := fmt.Sscan(value, &count); found && err == nil && strings.HasPrefix(path, prefix) {
			total += count
		}
	}
	return total
}

// Guards against a leader that must answer one call for each of many servers that start at
// once at another member.
func TestAnnouncementsReachTheLeaderInBatches(t *testing.T) {
	const servers, maxCalls = 400, 40
	g := newSeededGroup(t, 3)
	leader, follower := "", ""
	g.eventually("a leader", func() bool { leader, follower = g.leader(), g.follower(); return leader != "" && follower != "" })
	before := g.requestCount(leader, "/v1/servers")
	var wait sync.WaitGroup
	var failed atomic.Int64
	for i := range servers {
		wait.Go(func() {
			if g.running[follower].Announce(servingServer(i)) != nil {
				failed.Add(1)
			}
		})
	}
	wait.Wait()
	if got := failed.Load(); got != 0 {
		t.Errorf("announcements without acknowledgement: got %d, want none", got)
	}
	if got := g.requestCount(leader, "/v1/servers") - before; got == 0 || got > maxCalls {
		t.Errorf("calls that the leader received for %d servers: got %d, want 1 to %d", servers, got, maxCalls)
	}
	recorder := &watchRecorder{servers: map[string]roster.State{}}
	w := control.NewWatcher(control.WatcherOptions{
		Entry: "e", Seeds: func() []string { return []string{g.memberOptions[leader].Listen} }, Clock: g.clock, Logger: event.Discard(),
		Update: recorder.record, Report: func() control.Report { return control.Report{} },
	})
	go w.Run(t.Context())
	g.eventually("all servers at an entry", func() bool {
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		return len(recorder.servers) == servers
	})
}

// Guards against announcements that are lost because the leader is of a build that accepts no
// batches, or refuses one of them: each of them then reaches it in a call of its own.
func TestAnnouncementsThatLeaderRefusesAsBatch(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusBadRequest} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			var received sync.Map
			leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v1/servers" {
					w.WriteHeader(status)
					return
				}
				body, _ := io.ReadAll(r.Body)
				received.Store(string(body), true)
				w.WriteHeader(http.StatusNoContent)
			}))
			t.Cleanup(leader.Close)
			l := &fakeLog{status: replica.Status{Role: replica.Follower, Term: 1, Leader: strings.TrimPrefix(leader.URL, "http://"), Founded: true}}
			member := startMember(t, control.Options{Name: "c1", Listen: "127.0.0.1:0", OpenLog: func(replica.Options) (control.Log, func(), error) {
				return l, func() {}, nil
			}})
			announcements := []roster.Announcement{servingServer(1), servingServer(2).WithState(roster.Leaving), {Server: "s3", State: roster.Gone}}
			var wait sync.WaitGroup
			for _, a := range announcements {
				wait.Go(func() {
					if err := member.Announce(a); err != nil {
						t.Errorf("announcement of %s: got %v, want an acknowledgement", a.Server, err)
					}
				})
			}
			wait.Wait()
			count := 0
			received.Range(func(any, any) bool { count++; return true })
			if want := len(announcements); count != want {
				t.Errorf("single announcements at the leader: got %d, want %d", count, want)
			}
		})
	}
}

// Guards against a leader that no longer takes the calls of members of a former build, and
// against an acknowledgement of changes that another leader has received.
func TestCallsOfServers(t *testing.T) {
	g := newSeededGroup(t, 3, withLease(clock.Second))
	leader := ""
	g.eventually("a leader", func() bool { leader = g.leader(); return leader != "" })
	address := g.memberOptions[leader].Listen
	const serving = `[{"server":"s1","service":"s","address":"10.0.0.1:1","state":"serving","started_ms":5,"sequence":1}]`
	leaving := strings.NewReplacer("serving", "leaving", `"sequence":1`, `"sequence":2`).Replace(serving)
	g.eventually("the acknowledgement of a leaving", func() bool {
		status, _ := request(t, http.MethodPost, "http://"+address+"/v1/servers", "", leaving)
		return status == 204 // leases of former leaders have ended
	})
	tests := []struct {
		name, path, body string
		status           int
	}{
		{"announcement of a former member", "/v1/servers", serving, 204},
		{"leaving of a former member", "/v1/servers", leaving, 204},
		{"batch", "/v1/servers/batch", leaving, 200},
		{"batch that cannot be decoded", "/v1/servers/batch", "{", 400},
		{"batch with a server that is of no use", "/v1/servers/batch", `[{"server":"odd"},` + leaving[1:], 400},
		{"changes of a former leader", "/v1/servers/in-force", `{"term":0,"position":1}`, 503},
		{"changes of a later leader", "/v1/servers/in-force", `{"term":1000,"position":1}`, 503},
		{"position that cannot be decoded", "/v1/servers/in-force", "{", 400},
	}
	for _, tt := range tests {
		status, body := request(t, http.MethodPost, "http://"+address+tt.path, "", tt.body)
		if status != tt.status {
			t.Errorf("%s: got status %d %s, want %d", tt.name, status, body, tt.status)
		}
	}
	_, position := request(t, http.MethodPost, "http://"+address+"/v1/servers/batch", "", leaving)
	if status, body := request(t, http.MethodPost, "http://"+address+"/v1/servers/in-force", "", position); status != 204 {
		t.Errorf("position %s of a batch without entries: got status %d %s, want 204", position, status, body)
	}
}

// Guards against servers that wait in vain for a leader that does not answer, in place of
// asking another member: once a batch has been in progress for long, calls are refused at once.
func TestSlowLeaderRefusesAnnouncements(t *testing.T) {
	received, held := make(chan struct{}, 10), make(chan struct{})
	leader := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-held
	}))
	t.Cleanup(leader.Close)
	t.Cleanup(func() { close(held) })
	l := &fakeLog{status: replica.Status{Role: replica.Follower, Term: 1, Leader: strings.TrimPrefix(leader.URL, "http://"), Founded: true}}
	c, manual := clock.NewManual(1)
	member, release, err := control.New(control.Options{
		Name: "c1", Listen: "127.0.0.1:0", Folder: t.TempDir(), Clock: c, Logger: event.Discard(),
		OpenLog: func(replica.Options) (control.Log, func(), error) { return l, func() {}, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	announce := func(number int) <-chan error {
		result := make(chan error, 1)
		go func() { result <- member.Announce(servingServer(number)) }()
		return result
	}
	first := announce(1)
	<-received
	manual.Advance(660 * clock.Millisecond)
	timeout, stop := clock.New().After(5 * clock.Second)
	defer stop()
	select {
	case err := <-announce(2):
		if err == nil || len(first) > 0 {
			t.Errorf("announcement behind a late batch: got %v, want a refusal before the batch ends", err)
		}
	case <-timeout:
		t.Error("announcement behind a late batch: got no answer, want a refusal at once")
	}
}
