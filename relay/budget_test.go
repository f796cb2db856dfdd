package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/relay"
	"github.com/galenaslip/galenaslip/retry"
)

// Guards against retries that the budget refuses without a trace: the state, the metrics and the
// log tell which service has used up its budget.
func TestRefusedRetriesAreShown(t *testing.T) {
	failing := failingBackend(t)
	s := newFixtureWith(t, func(o *relay.Options) { o.Retry.Ratio, o.Retry.ExtraRetries = 0, 0 }, failing, failing)
	logged := s.log.await("retry_refused")
	c := s.client()
	c.get("/safe/", "1")
	c.wantStatus(500)
	await(t, "a log line about the refused retry", logged)
	want := []retry.Usage{{Service: "s", Requests: 1, Refused: 1}}
	if got := s.relay.State().Retries; !slices.Equal(got, want) {
		t.Errorf("retry budget: got %+v, want %+v", got, want)
	}
	recorder := httptest.NewRecorder()
	s.relay.Metrics().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if line := `galenaslip_relay_retries_refused_total{service="s"} 1`; !strings.Contains(recorder.Body.String(), line) {
		t.Errorf("metrics: no line %s", line)
	}
}

// failingBackend returns a server that fails each request.
func failingBackend(t *testing.T) *backend {
	t.Helper()
	return newBackend(t, func(req receivedRequest) { write(req, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n") })
}

// Guards against retries beyond the budget of a service because each process of a relay that is
// started again begins with the whole fixed number of retries, which the former one has used.
func TestRetryBudgetHoldsAcrossRestarts(t *testing.T) {
	const starts, requests = 4, 100
	one, two := failingBackend(t), failingBackend(t)
	for start := range starts {
		s := newStartedFixture(t, func(*relay.Options) {}, one, two)
		if start == 0 {
			s.holdShare(retryWindow)
		}
		c := s.client()
		for i := range requests {
			c.get("/safe/", fmt.Sprint(i))
			c.wantStatus(500)
		}
	}
	if got, want := one.count()+two.count()-starts*requests, starts*requests/5+50; got > want {
		t.Errorf("retries within a window: got %d, want at most %d", got, want)
	}
}
