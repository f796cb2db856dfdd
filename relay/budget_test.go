package relay_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/relay"
)

// Guards against retries that the budget refuses without a trace: the state, the metrics and the
// log tell which service has used up its budget.
func TestRefusedRetriesAreShown(t *testing.T) {
	failing := newBackend(t, func(req receivedRequest) { write(req, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n") })
	s := newFixtureWith(t, func(o *relay.Options) { o.Retry.Ratio, o.Retry.ExtraRetries = 0, 0 }, failing, failing)
	logged := s.log.await("retry_refused")
	c := s.client()
	c.get("/safe/", "1")
	c.wantStatus(500)
	await(t, "a log line about the refused retry", logged)
	want := []relay.RetryUsage{{Service: "s", Requests: 1, Refused: 1}}
	if got := s.relay.State().Retries; !slices.Equal(got, want) {
		t.Errorf("retry budget: got %+v, want %+v", got, want)
	}
	recorder := httptest.NewRecorder()
	s.relay.Metrics().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if line := `galenaslip_relay_retries_refused_total{service="s"} 1`; !strings.Contains(recorder.Body.String(), line) {
		t.Errorf("metrics: no line %s", line)
	}
}
