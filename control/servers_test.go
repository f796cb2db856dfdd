package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/roster"
)

// soundServer returns the JSON form of a usable server.
func soundServer(name string, lastByte int) string {
	return fmt.Sprintf(`{"server":%q,"service":"s","address":"10.0.0.%d:80","slots":4,"state":"serving","started_ms":5,"sequence":1}`, name, lastByte)
}

// oddServers are elements of a list of servers that describe no usable server.
var oddServers = []struct{ name, json string }{
	{"null", `null`},
	{"number", `7`},
	{"list", `[{"server":"odd"}]`},
	{"name of another type", strings.Replace(soundServer("odd", 9), `"odd"`, `7`, 1)},
	{"no name", strings.Replace(soundServer("odd", 9), `"odd"`, `""`, 1)},
	{"name with a line break", strings.Replace(soundServer("odd", 9), `"odd"`, `"odd\r\nX: y"`, 1)},
	{"unknown state", strings.Replace(soundServer("odd", 9), "serving", "resting", 1)},
	{"no state", strings.Replace(soundServer("odd", 9), `"state":"serving",`, "", 1)},
	{"port 0", strings.Replace(soundServer("odd", 9), ":80", ":0", 1)},
	{"port above 65535", strings.Replace(soundServer("odd", 9), ":80", ":65536", 1)},
	{"no address", strings.Replace(soundServer("odd", 9), "10.0.0.9:80", "", 1)},
	{"slots above float64", strings.Replace(soundServer("odd", 9), `"slots":4`, `"slots":1e400`, 1)},
	{"slots as fraction", strings.Replace(soundServer("odd", 9), `"slots":4`, `"slots":0.5`, 1)},
	{"negative slots", strings.Replace(soundServer("odd", 9), `"slots":4`, `"slots":-4`, 1)},
	{"absurd slots", strings.Replace(soundServer("odd", 9), `"slots":4`, `"slots":9223372036854775807`, 1)},
	{"start above int64", strings.Replace(soundServer("odd", 9), `"started_ms":5`, `"started_ms":9223372036854775808`, 1)},
	{"sequence above uint64", strings.Replace(soundServer("odd", 9), `"sequence":1`, `"sequence":18446744073709551616`, 1)},
	{"sequence near the maximum", strings.Replace(soundServer("odd", 9), `"sequence":1`, `"sequence":18446744073709551615`, 1)},
	{"deeply nested", strings.Replace(soundServer("odd", 9), `"slots":4`, `"slots":`+strings.Repeat("[", 9000)+strings.Repeat("]", 9000), 1)},
}

// serverNames returns the names in the list of servers in a watch response.
func serverNames(t *testing.T, response string) string {
	t.Helper()
	var decoded struct {
		Servers []struct {
			Server string `json:"server"`
		} `json:"servers"`
	}
	if err := json.Unmarshal([]byte(response), &decoded); err != nil {
		t.Fatalf("%v in %s", err, response)
	}
	names := make([]string, len(decoded.Servers))
	for i, s := range decoded.Servers {
		names[i] = s.Server
	}
	return strings.Join(names, " ")
}

// Guards against an entry that no longer follows the control group, because one record in the
// list of servers describes no usable server.
func TestWatcherLeavesOutOddServers(t *testing.T) {
	t.Parallel()
	for _, tt := range oddServers {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			body := fmt.Sprintf(`{"granted":true,"epoch":1,"position":3,"servers":[%s,%s,%s]}`, soundServer("s1", 1), tt.json, soundServer("s2", 2))
			leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
			defer leader.Close()
			ctx, cancel := context.WithTimeout(t.Context(), (5 * clock.Second).Duration())
			defer cancel()
			got, refused := "no update", 0
			w := control.NewWatcher(control.WatcherOptions{
				Entry: "e", Seeds: func() []string { return []string{leader.Listener.Addr().String()} }, Clock: clock.New(), Logger: event.Discard(),
				Report: func() control.Report { return control.Report{} },
				Update: func(_ clock.Millis, response control.WatchResponse) bool {
					names := make([]string, len(response.Servers))
					for i, s := range response.Servers {
						names[i] = s.Server
					}
					got, refused = strings.Join(names, " "), response.Refused.Count
					cancel()
					return true
				},
			})
			w.Run(ctx)
			if want := "s1 s2"; got != want || refused != 1 {
				t.Errorf("got servers %q and %d refused, want %q and 1", got, refused, want)
			}
		})
	}
}

// Guards against announcements that are lost because one of the same message describes no
// usable server, and against such a server in the list that entries receive.
func TestMemberLeavesOutOddServers(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/v1/servers", "/v1/watch"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := startMember(t, control.Options{Name: "c1", Listen: "127.0.0.1:0"})
			url := "http://" + c.Address()
			waitForLeader(t, url)
			for i, tt := range oddServers {
				first, last := soundServer(fmt.Sprintf("s%d", 2*i), 10+2*i), soundServer(fmt.Sprintf("s%d", 2*i+1), 11+2*i)
				body := fmt.Sprintf("[%s,%s,%s]", first, tt.json, last)
				if path == "/v1/watch" {
					body = `{"entry":"m","wait_ms":1,"heartbeats":` + body + `}`
				}
				if status, answer := request(t, "POST", url+path, "", body); status >= 300 {
					t.Errorf("%s: got %d %s, want success", tt.name, status, answer)
				}
			}
			_, response := request(t, "POST", url+"/v1/watch", "", `{"entry":"e","wait_ms":1}`)
			names := make([]string, 2*len(oddServers))
			for i := range names {
				names[i] = fmt.Sprintf("s%d", i)
			}
			if got, want := serverNames(t, response), strings.Join(names, " "); got != want {
				t.Errorf("servers: got %q, want %q", got, want)
			}
			_, metrics := request(t, "GET", url+"/metrics", "", "")
			if want := fmt.Sprintf("galenaslip_control_servers_refused_total %d\n", len(oddServers)); !strings.Contains(metrics, want) {
				t.Errorf("metrics lack %q", want)
			}
		})
	}
}

// Guards against an announcement that describes no usable server and is acknowledged, on the
// way from another member and at the member that received it.
func TestOddAnnouncementIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	c := startMember(t, control.Options{Name: "c1", Listen: "127.0.0.1:0"})
	url := "http://" + c.Address()
	waitForLeader(t, url)
	for _, tt := range oddServers {
		if status, answer := request(t, "POST", url+"/v1/servers", "", "["+tt.json+"]"); status != http.StatusBadRequest {
			t.Errorf("%s: got %d %s, want 400", tt.name, status, answer)
		}
	}
	if err := c.Announce(roster.Announcement{Server: "odd", Service: "s", Address: "10.0.0.9:0", State: roster.Serving}); err == nil {
		t.Error("port 0: got no error, want one")
	}
}

// Guards against a log that a refused server fills with its own text.
func TestRefusalIsLoggedShortly(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	logger, flush := event.NewWithOutput(&out, "c1", event.Warn)
	c, release, err := control.New(control.Options{Name: "c1", Listen: "127.0.0.1:0", Folder: t.TempDir(), Clock: clock.New(), Logger: logger})
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + c.Address()
	waitForLeader(t, url)
	odd := strings.Replace(soundServer("odd", 9), `"slots":4`, `"slots":`+strings.Repeat("9", 100_000), 1)
	for range 100 {
		request(t, "POST", url+"/v1/servers", "", "["+odd+"]")
	}
	release()
	flush()
	if got, want := strings.Count(out.String(), event.ServerRefused.Name()), 1; got < want || out.Len() > 10_000 {
		t.Errorf("got %d lines about refused servers in a log of %d bytes, want at least %d in at most 10000 bytes", got, out.Len(), want)
	}
}

// waitForLeader waits until the member at a URL leads.
func waitForLeader(t *testing.T, url string) {
	t.Helper()
	for {
		if _, response := request(t, "POST", url+"/v1/watch", "", `{"entry":"e","wait_ms":1}`); strings.Contains(response, `"granted":true`) {
			return
		}
	}
}
