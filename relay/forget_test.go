package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/relay"
	"github.com/galenaslip/galenaslip/roster"
)

// Guards against servers of former leaders' lists that a relay keeps for ever, because no leader says
// that they are gone.
func TestUnlistedServersAreForgotten(t *testing.T) {
	const leaders = 50
	s := newFixture(t, newBackend(t, func(req receivedRequest) { respondOK(req, "ran") }))
	for i := range leaders {
		s.relay.Update(s.clock.Now(), control.WatchResponse{
			Granted: true, Revision: 1, Epoch: uint64(10 + i), EntryCount: 1, Share: wholeShare(),
			Servers: []roster.Record{{Announcement: roster.Announcement{
				Server: fmt.Sprint("crashed-", i), Service: "s", Address: "127.0.0.1:1", Slots: 4, State: roster.Serving, StartedAt: 1, Sequence: 1,
			}}},
		})
		s.advanceToNextCheck(30 * clock.Second)
	}
	// One leader in 30 s, and a server that no leader lists is kept for ten minutes.
	if got, want := len(s.relay.State().Servers), 22; got > want {
		t.Errorf("servers after %d leaders: got %d, want at most %d", leaders, got, want)
	}
}

// renamingFormat is a catalog format that reads a number from the document, and whose route and service
// have the number in their names.
type renamingFormat struct{}

func (renamingFormat) Decode(document []byte) (catalog.Catalog, error) {
	number := string(document)
	revision, err := strconv.Atoi(number)
	if err != nil {
		return catalog.Catalog{}, err
	}
	return catalog.Build(catalog.Definition{
		Revision: uint64(revision), Services: []catalog.Service{{Name: "service-" + number, Engine: &catalog.Engine{Slots: 4}}},
		Routes: []catalog.Route{{
			Name: "route-" + number, Host: "h", Prefix: "/open/", Timeout: clock.Minute, RepeatPolicy: catalog.Idempotent, MaxPossibleRuns: 3,
			Public: true, ForEngine: true, Shares: []catalog.Share{{Service: "service-" + number, Weight: 1}},
		}},
	})
}

// Guards against metrics and forecasts of routes and services that are kept after catalogs have
// renamed them.
func TestFormerRoutesAreForgotten(t *testing.T) {
	const catalogs = 30
	b := newBackend(t, func(req receivedRequest) { respondOK(req, "ran") })
	s := newFixtureWith(t, func(o *relay.Options) { o.Format = renamingFormat{} })
	for number := 2; number < 2+catalogs; number++ {
		s.relay.Update(s.clock.Now(), control.WatchResponse{
			Granted: true, Revision: uint64(number), Document: &catalog.Document{Revision: uint64(number), Body: []byte(strconv.Itoa(number))},
			Epoch: 1, EntryCount: 1, Share: wholeShare(),
			Servers: []roster.Record{{Announcement: roster.Announcement{
				Server: "server-0", Service: fmt.Sprint("service-", number), Address: b.listener.Addr().String(), Slots: 4,
				State: roster.Serving, StartedAt: 1, Sequence: uint64(number),
			}}},
		})
		if got, want := s.status(), 200; got != want {
			t.Fatalf("request to route %d: got status %d, want %d", number, got, want)
		}
	}
	s.awaitAttemptsEnd()
	if got, want := len(s.relay.Report().Demands), 3; got > want {
		t.Errorf("services with demand: got %d, want at most %d", got, want)
	}
	recorder := httptest.NewRecorder()
	s.relay.Metrics().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, metric := range []string{"answers_total", "attempts_total", "answer_seconds_count", "first_byte_seconds_count"} {
		if got, want := strings.Count(recorder.Body.String(), "galenaslip_relay_"+metric+"{"), 3; got > want {
			t.Errorf("%s: got %d routes or services, want at most %d", metric, got, want)
		}
	}
}
