package control_test

import (
	"context"
	"flag"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/control"
)

// A fixed seed makes the property tests draw the same cases in every run; the
// flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// request sends an HTTP request and returns the status and body of the
// response. The headers are pairs of a name and a value.
func request(t *testing.T, method, url, token, body string, headers ...string) (int, string) {
	t.Helper()
	status, answer, err := exchange(t.Context(), method, url, token, body, headers...)
	if err != nil {
		t.Fatal(err)
	}
	return status, answer
}

// exchange is request with an error result, for goroutines that must not end the
// test.
func exchange(ctx context.Context, method, url, token, body string, headers ...string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close() //nolint:errcheck // The body was read.
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against a status, outcome or body that differs from the documented
// API, and against calls that are accepted with a wrong token or without one.
func TestAPI(t *testing.T) {
	t.Parallel()
	c := startMember(t, control.Options{Name: "c1", Listen: "127.0.0.1:0", PeerToken: "p", OperatorToken: "o"})
	client := newClient(t, "o", c.Address())
	client.Configuration(t.Context()) // returns once there is a leader
	const set = `{"base_revision":0,"change":{"set_class":{"name":"posting","tier":1,"target_ms":500,"measure":"completion"}}}`
	const renew = `{"entry":"e1","incarnation":1,"address":"a","availability_zone":"z","revision":%,"leaving":false,"claims":0,"models":[]}`
	claimed := func(extra string) string {
		return `{"key":"` + control.NewIdempotencyKey() + `","body_hash":"h","entry":"e1","incarnation":1` + extra + `}`
	}
	tests := []struct {
		method, path, token, key, body string
		status                         int
		want                           string
	}{
		{"GET", "/healthz", "", "", "", 200, "ok"},
		{"GET", "/readyz", "", "", "", 200, "ready"},
		{"GET", "/metrics", "", "", "", 200, "galenaslip_control_leads 1"},
		{"GET", "/debug/state", "o", "", "", 200, `"role":"leader"`},
		{"GET", "/v1/configuration", "", "", "", 401, `"outcome":"not_run"`},
		{"GET", "/v1/configuration", "x", "", "", 401, `"code":"unauthorized"`},
		{"GET", "/v1/configuration", "p", "", "", 200, `{"revision":0,"classes":[],"stops":[]}`},
		{"POST", "/v1/configuration/changes", "p", "k", set, 401, "unauthorized"},
		{"POST", "/v1/configuration/changes", "o", "", set, 400, `"code":"idempotency_key_missing"`},
		{"POST", "/v1/configuration/changes", "o", "k", `{"base_revision":0,"change":{"set_class":{"name":"a","tier":9}}}`, 422, `invalid tier 9`},
		{"POST", "/v1/configuration/changes", "o", "k", set, 200, `{"accepted":true,"kind":"accepted","revision":1}`},
		{"POST", "/v1/configuration/changes", "o", "k", set, 200, `{"accepted":true,"kind":"accepted","revision":1}`},
		{"POST", "/v1/configuration/changes", "o", "l", set, 409, `"accepted":false,"kind":"conflict","revision":1,"differences":[{"new_class":{"name":"posting"`},
		{"POST", "/v1/configuration/changes", "o", "m", `{"base_revision":1,"change":{"delete_class":{"name":"x"}}}`, 422, `unknown class`},
		{"POST", "/v1/configuration/changes", "o", "n", `{"base_revision":1,"change":{"announce_stop":{"kind":"server","name":"engine-7","grace_ms":5}}}`, 200, `"revision":2`},
		{"GET", "/v1/configuration", "o", "", "", 200, `{"revision":2,"classes":[{"name":"posting","tier":1,"target_ms":500,"measure":"completion"}],"stops":[{"id":"stop-2","kind":"server","name":"engine-7","grace_ms":5}]}`},
		{"GET", "/v1/configuration/diff?from=1&to=2", "o", "", "", 200, `[{"new_stop":{"id":"stop-2"`},
		{"GET", "/v1/configuration/diff?from=1&to=9", "o", "", "", 404, `"outcome":"not_run"`},
		{"GET", "/v1/configuration/history", "o", "", "", 200, `"key":"k"`},
		{"POST", "/v1/leases/renew", "o", "", renew, 401, "unauthorized"},
		{"POST", "/v1/leases/renew", "p", "", strings.Replace(renew, "%", "1", 1), 200, `"granted":true,"lease_ms":3000,"term":1,"revision":2,"configuration":{"revision":2`},
		{"POST", "/v1/leases/renew", "p", "", strings.Replace(renew, "%", "2", 1), 200, `"revision":2,"entries":[{"name":"e1","address":"a","availability_zone":"z"}],"entries_version":"`},
		{"POST", "/v1/claims/acquire", "o", "", claimed(`,"attempt":"a"`), 401, "unauthorized"},
		{"POST", "/v1/claims/acquire", "p", "", claimed(""), 400, "attempt"},
		{"POST", "/v1/claims/acquire", "p", "", claimed(`,"attempt":"a"`), 200, `{"state":"claimed","owned":true,"reason":""}`},
		{"POST", "/v1/claims/send", "p", "", claimed(`,"attempt":"a"`), 200, `{"state":"none","owned":false,"reason":"request_not_found"}`},
		{"POST", "/v1/claims/settle", "p", "", claimed(`,"attempt":"a","state":"sent"`), 400, "cannot be settled"},
		{"POST", "/v1/claims/lookup", "p", "", claimed(""), 200, `{"state":"none","owned":false,"reason":"request_not_found"}`},
		{"POST", "/v1/replication", "o", "", `{}`, 401, "unauthorized"},
		{"POST", "/v1/replication", "p", "", `{}`, 400, `"outcome":"not_run"`},
		{"GET", "/v1/members", "o", "", "", 200, `"identity":"c1"`},
		{"POST", "/v1/members/join", "p", "", `{"identity":"i"}`, 400, "a member needs"},
		{"POST", "/v1/members/remove", "p", "", `{"identity":"c1"}`, 401, "unauthorized"},
		{"POST", "/v1/members/remove", "o", "", `{"identity":"i"}`, 404, "unknown member"},
		{"POST", "/v1/members/remove", "o", "", `{"identity":"c1"}`, 409, "last voter"},
		{"GET", "/v1/none", "o", "", "", 404, `"outcome":"not_run"`},
	}
	for _, tt := range tests {
		headers := []string{"Idempotency-Key", tt.key}
		if tt.key == "" {
			headers = nil
		}
		status, body := request(t, tt.method, "http://"+c.Address()+tt.path, tt.token, tt.body, headers...)
		if status != tt.status || !strings.Contains(body, tt.want) {
			t.Errorf("%s %s with %q: got %d %s, want %d %s", tt.method, tt.path, tt.token, status, body, tt.status, tt.want)
		}
	}
}

// Guards against a request that members forward in a loop, and against one that
// a follower does not forward at all.
func TestForwardOnce(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	url := "http://" + g.memberOptions[g.follower()].Listen + "/v1/configuration"
	if status, body := request(t, http.MethodGet, url, "", ""); status != 200 {
		t.Errorf("at a follower: got %d %s, want 200", status, body)
	}
	status, body := request(t, http.MethodGet, url, "", "", "X-Galenaslip-Forwarded", "true")
	if status != 503 || !strings.Contains(body, `"outcome":"not_run"`) {
		t.Errorf("forwarded before: got %d %s, want 503 not_run", status, body)
	}
}

// Guards against members whose state differs after the same commands when one
// of them was restored from a snapshot in between.
func TestMachineIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, restored := control.NewMachine(), control.NewMachine()
		for i := range rapid.IntRange(1, 40).Draw(t, "commands") {
			command := drawCommand(t)
			if got, want := restored.Apply(uint64(i), command), direct.Apply(uint64(i), command); string(got) != string(want) {
				t.Fatalf("%s: got %s, want %s", command, got, want)
			}
			if rapid.IntRange(0, 7).Draw(t, "snapshot") == 0 {
				copied := control.NewMachine()
				if err := copied.Restore(restored.Snapshot()); err != nil {
					t.Fatal(err)
				}
				restored = copied
			}
		}
		if got, want := string(restored.Snapshot()), string(direct.Snapshot()); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

// drawCommand returns an encoded command as a leader writes it to the log, or an
// invalid one.
func drawCommand(t *rapid.T) []byte {
	key := rapid.SampledFrom([]string{"0198c5d1-0000-7000-8000-000000000001", "0198c5d1-0000-7000-8000-000000000002"}).Draw(t, "key")
	attempt := claim.Attempt{Owner: claim.Owner{Entry: "e1", Incarnation: 1}, ID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "attempt")}
	var inner []byte
	var err error
	field := "claim"
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		inner, err = claim.EncodeCommand(claim.Acquire{Key: key, Attempt: attempt})
	case 1:
		inner, err = claim.EncodeCommand(claim.MarkSent{Key: key, Attempt: attempt})
	case 2:
		inner, err = claim.EncodeCommand(claim.EndAttempt{Key: key, Attempt: attempt, State: claim.Answered, Answer: claim.Answer{Status: 200}})
	case 3:
		field = "change"
		inner, err = configuration.EncodeChange(setClassTarget(rapid.IntRange(0, 3).Draw(t, "target")))
	case 4:
		return []byte(rapid.SampledFrom([]string{
			`{"usage":{"first":7}}`, `{"usage":{"first":9}}`, `{"usage":{"decided":[{"w":7,"c":{"a":1}},{"w":8,"c":null}]}}`,
			`{"usage":{"decided":[{"w":7,"c":{"a":2}}]}}`, `{"usage":{"accepted":[7]}}`, `{"usage":{}}`,
			`{"usage":{"kept":[{"i":"r/1","t":5,"n":[{"w":8,"c":{"a":3}},{"w":9,"c":{"a":1,"b":2}}]},{"i":"r/2","t":5,"n":[{"w":9}]}]}}`,
		}).Draw(t, "usage"))
	default:
		return []byte(rapid.SampledFrom([]string{"", "{}", `{"change":{}}`, `{"claim":{"kind":"send"}}`}).Draw(t, "broken"))
	}
	if err != nil {
		t.Fatal(err)
	}
	base := rapid.SampledFrom([]string{"0", "1", "2"}).Draw(t, "base")
	return []byte(`{"at_ms":1756000000000,"base_revision":` + base + `,"key":"` + attempt.ID + base + `","` + field + `":` + string(inner) + `}`)
}

// Guards against log entries and snapshots that make the state machine panic,
// and against log entries that change its state although they cannot be
// decoded.
func FuzzMachine(f *testing.F) {
	f.Add([]byte(`{"at_ms":1,"base_revision":0,"key":"k","change":{"cancel_stop":{"id":"s"}}}`))
	f.Add([]byte(`{"at_ms":1,"claim":{"kind":"owner_gone","entry":"e"}}`))
	f.Add([]byte(`{"usage":{"first":1,"kept":[{"n":[null]}],"decided":[{"w":1}]}}`))
	f.Add(control.NewMachine().Snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		m := control.NewMachine()
		empty := string(m.Snapshot())
		if len(m.Apply(1, data)) == 0 && string(m.Snapshot()) != empty {
			t.Errorf("a command without an answer changed the state")
		}
		if m.Restore(data) == nil {
			m.Snapshot()
		}
	})
}

// Guards against a panic or an endless loop on arbitrary bytes from a peer, and against a
// server that is taken over from them although it cannot be used.
func FuzzWatch(f *testing.F) {
	f.Add([]byte(`{"entry":"e","loads":[{"s":"a","r":1}],"delegate":{"address":"10.0.0.1:1"},"heartbeats":[{"server":"s"}]}`))
	f.Add([]byte(`{"granted":true,"document":{"revision":1,"body_base64":"e30="},"servers":[{"server":"s","state":"serving"}],"delegates":[{}]}`))
	f.Add([]byte(`{"loads":null,"heartbeats":[null],"delegate":[]}`))
	f.Add([]byte(`{"usage":{"n":[null,{"i":"r/1","n":[{"w":-1,"c":{"":1}}]}],"t":-1,"position":{},"unix_ms":1}}`))
	for _, tt := range oddServers {
		f.Add([]byte("[" + tt.json + "]"))
		f.Add([]byte(`{"entry":"e","heartbeats":[` + tt.json + `],"servers":[` + tt.json + `]}`))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, a := range control.DecodeWatchMessages(data) {
			if err := a.Validate(); err != nil {
				t.Errorf("%s: got server %+v, but %v", data, a, err)
			}
		}
	})
}
