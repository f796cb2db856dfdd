package relay_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
)

// Guards against load reports of an unknown form that nobody notices, and against a log line for each
// of them, which at thousands of responses a second hides all others.
func TestLoadOfUnknownFormIsShownOnce(t *testing.T) {
	const responses = 20
	b := newBackend(t, func(req receivedRequest) {
		write(req, "HTTP/1.1 200 OK\r\nId: "+req.head.Get("Id")+"\r\nUnknown-Load: 1,2,3,4,5\r\nContent-Length: 0\r\n\r\n")
	})
	s := newFixture(t, b)
	c := s.client()
	ask := func(id int) {
		c.get("/open/", strconv.Itoa(id))
		c.wantStatus(200)
	}
	first := s.log.await(`"load":"1,2,3,4,5","suppressed":0`)
	ask(0)
	await(t, "a log line about the first report", first)
	for id := range responses {
		ask(id + 1)
	}
	next := s.log.await(`"suppressed":` + strconv.Itoa(responses))
	s.holdShare(clock.Hour)
	c = s.client() // the other connection was idle for too long
	ask(responses + 1)
	await(t, "a log line that counts the reports since the first", next)
	recorder := httptest.NewRecorder()
	s.relay.Metrics().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if line := "galenaslip_relay_loads_unknown_total " + strconv.Itoa(responses+2); !strings.Contains(recorder.Body.String(), line) {
		t.Errorf("metrics: no line %s", line)
	}
}
