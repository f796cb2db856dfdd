package entry_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/galenaslip/galenaslip/standin"
)

const lookupPath = "/v1/services/ledger/treaties?key=a"

// serverState returns the state of a server as the first entry knows it.
func (s *site) serverState(name string) (usable, leaving bool, pauseLeft int) {
	s.t.Helper()
	var state struct {
		Servers []struct {
			Server      string
			Usable      bool
			SaysLeaving bool `json:"says_leaving"`
			PauseLeftMS int  `json:"pause_left_ms"`
		}
	}
	getJSON(s.t, s.entries[0], "/debug/state", &state)
	for _, v := range state.Servers {
		if v.Server == name {
			return v.Usable, v.SaysLeaving, v.PauseLeftMS
		}
	}
	return false, false, 0
}

// Guards against new work for a server that says in an answer that it leaves and still announces
// itself as serving, and against a later run of the server that gets none.
func TestServerThatSaysItLeavesGetsNoWork(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 0, 1)
	leaving := s.services[0]
	leaving.Fault(standin.Fault{Kind: standin.SaysLeaving})
	if got := do(t, http.MethodGet, s.url(0, lookupPath), nil); got.status != http.StatusOK {
		t.Errorf("the answer that says so: got %d, want 200", got.status)
	}
	s.eventually("the entry has read that the server leaves", func() bool {
		usable, leaving, _ := s.serverState("ledger-0")
		return !usable && leaving
	})
	s.addService("ledger-1")
	s.eventually("another server is used", func() bool {
		usable, _, _ := s.serverState("ledger-1")
		return usable
	})
	for i := range 30 {
		if got := do(t, http.MethodGet, s.url(0, lookupPath), nil); got.status != http.StatusOK {
			t.Errorf("lookup %d: got %d, want 200", i, got.status)
		}
	}
	if got, want := leaving.State().Lookups, 1; got != want {
		t.Errorf("lookups at the leaving server: got %d, want %d", got, want)
	}
	s.addService("ledger-0")
	s.eventually("the later run is used", func() bool {
		usable, _, _ := s.serverState("ledger-0")
		return usable
	})
}

// Guards against calls to a service during the pause that it has asked for, against callers that
// are held or not told when to come back, and against a pause that does not end.
func TestPausedService(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 0, 1)
	service := s.services[0]
	service.Fault(standin.Fault{Kind: standin.Refuse, Factor: 30})
	do(t, http.MethodGet, s.url(0, lookupPath), nil)
	s.eventually("the entry has read the pause", func() bool {
		usable, _, pauseLeft := s.serverState("ledger-0")
		return !usable && pauseLeft > 0
	})
	before := service.State().Refused
	for range 5 {
		got := do(t, http.MethodGet, s.url(0, lookupPath), nil)
		if got.status != http.StatusServiceUnavailable || got.code() != "no_backend_server/not_run" {
			t.Errorf("lookup: got %d %s, want 503 not run", got.status, got.code())
		}
		if after, _ := strconv.Atoi(got.headers.Get("Retry-After")); after < 20 || after > 32 {
			t.Errorf("Retry-After: got %d s, want 20 s to 32 s", after)
		}
	}
	if got := service.State().Refused; got != before {
		t.Errorf("calls that reached the service: got %d, want %d", got, before)
	}
	s.addService("ledger-0")
	s.eventually("the later run is used", func() bool {
		return do(t, http.MethodGet, s.url(0, lookupPath), nil).status == http.StatusOK
	})
}

// Guards against an engine that gets no requests after a pause, and against requests that fail
// while other engines are free.
func TestPausedEngine(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 2, 0)
	paused := s.engines[0]
	paused.Fault(standin.Fault{Kind: standin.Refuse, Factor: 0.4})
	s.eventually("the engine has asked for a pause", func() bool {
		do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody("a [tokens=1]", true))
		_, _, pauseLeft := s.serverState("engine-0")
		return pauseLeft > 0
	})
	paused.Fault(standin.Fault{Kind: standin.Recover})
	s.eventually("the engine is used again", func() bool {
		got := do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody("b [tokens=1]", true))
		if got.status != http.StatusOK {
			t.Errorf("chat: got %d, want 200", got.status)
		}
		return len(paused.State().StartsByRequest) > 0
	})
}
