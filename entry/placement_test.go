package entry_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/standin"
)

// reportedDemand returns a model's demand by tier as reported by the last renewal.
func (s *site) reportedDemand(model string) []int {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	for _, d := range s.control.demand {
		if d.Model == model {
			return d.WaitingByTier
		}
	}
	return nil
}

// renewals returns the number of granted lease renewals.
func (s *site) renewals() int {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()
	return s.control.renewals
}

// Guards against a model without a live server whose demand is not reported to
// placement, because its requests wait or were refused, and against demand being
// reported for names that were never served.
func TestDemandWithoutServer(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.NoServer = 2 * clock.Second })
	url := "http://" + s.entries[0].Address() + "/v1/chat/completions"
	if got := do(t, http.MethodPost, url, chatBody("a [tokens=5]", false)); got.status != http.StatusOK {
		t.Fatalf("with an engine: got %d %s", got.status, got.body)
	}
	s.engines[0].Fault(standin.Fault{Kind: standin.Crash})
	s.eventually("the engine is gone", func() bool { return !s.allServersKnown() })
	got := do(t, http.MethodPost, url, chatBody("b [tokens=5]", false), withHeader("X-Galenaslip-Class", "tagging"))
	if got.status != http.StatusServiceUnavailable || !strings.HasSuffix(got.code(), "/not_run") {
		t.Errorf("without an engine: got %d %s, want 503 and not_run", got.status, got.body)
	}
	// The last renewal may have been made while the request was still waiting.
	before := s.renewals()
	s.eventually("two more renewals", func() bool { return s.renewals() >= before+2 })
	s.eventually("the refused request is reported as demand of its tier", func() bool {
		return slices.Equal(s.reportedDemand(testModel), []int{0, 0, 0, 1})
	})
	s.eventually("the entry has had time to learn all servers", func() bool { return s.elapsed() > 4*clock.Second })
	neverServed := []byte(strings.Replace(string(chatBody("c", false)), testModel, "m-never", 1))
	if got := do(t, http.MethodPost, url, neverServed); got.status != http.StatusNotFound {
		t.Errorf("model that was never served: got %d, want 404", got.status)
	}
	if got := s.reportedDemand("m-never"); got != nil {
		t.Errorf("demand for a model that was never served: got %v, want none", got)
	}
}

// newPlacementSite starts a control member, an entry and two engines. Only the first
// engine has the model loaded.
func newPlacementSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, clock: clock.New()}
	member, release, err := control.New(control.Options{
		Name: "c1", Listen: "127.0.0.1:0", Folder: t.TempDir(), ModelLoadsPerMinute: 6000,
		Clock: clock.New(), Logger: event.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	client, release, err := control.NewClient(control.ClientOptions{Addresses: []string{member.Address()}, Clock: clock.New()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	class, _ := newFakeControl(t).configuration.Class("query")
	if got := client.Change(t.Context(), 0, configuration.SetClass{Class: class}, control.NewIdempotencyKey()); got.Kind != outcome.Answered {
		t.Fatalf("class: got %+v", got.Reply)
	}
	e, release, err := entry.New(entry.Options{
		Name: "entry-0", AvailabilityZone: "az-1", Listen: "127.0.0.1:0", Control: client,
		Clock: clock.New(), Logger: event.Discard(), Timeouts: entry.Timeouts{NoServer: clock.Minute},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	s.entries = []*entry.Entry{e}
	o := standin.EngineOptions{Listen: "127.0.0.1:0", Announce: s.announce(), Clock: clock.New(), Logger: event.Discard()}
	o.Models = []string{testModel}
	s.addEngine("engine-0", o)
	o.Models = nil
	s.addEngine("engine-1", o)
	s.eventually("every server is known", func() bool { return s.allServersKnown() })
	return s
}

// Guards against errors in placement that show only when entry, control member and
// engine work together. A request that waits for a model whose only engine has crashed
// must be answered by another engine, which the control member orders to load the
// model.
func TestModelMovesToAnotherEngine(t *testing.T) {
	t.Parallel()
	s := newPlacementSite(t)
	url := "http://" + s.entries[0].Address() + "/v1/chat/completions"
	if got := do(t, http.MethodPost, url, chatBody("a [tokens=5]", false)); got.status != http.StatusOK {
		t.Fatalf("with its engine: got %d %s", got.status, got.body)
	}
	s.engines[0].Fault(standin.Fault{Kind: standin.Crash})
	if got := do(t, http.MethodPost, url, chatBody("b [tokens=5]", false)); got.status != http.StatusOK {
		t.Errorf("after the crash: got %d %s, want an answer of the other engine", got.status, got.body)
	}
	if got, want := s.engines[1].State().Models, []string{testModel}; !slices.Equal(got, want) {
		t.Errorf("models of the other engine: got %v, want %v", got, want)
	}
}
