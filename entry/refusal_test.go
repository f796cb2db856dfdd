package entry_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/standin"
)

// Guards against an invalid request that is queued, gets the wrong status or is reported
// with the wrong outcome.
func TestRefusals(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 1, func(o *entry.Options, _ *standin.EngineOptions) { o.Limits.BodyBytes = 64 << 10 })
	const chat, ledger = "/v1/chat/completions", "/v1/services/ledger/postings"
	s.eventually("the entry has learned the servers", func() bool {
		return do(t, http.MethodGet, s.url(0, "/v1/services/none/x"), nil).status == http.StatusNotFound
	})
	good := string(chatBody("x", false))
	tests := []struct {
		name, method, path, body string
		option                   option
		status                   int
		code                     string
	}{
		{name: "no JSON", path: chat, body: "{", status: 400, code: "invalid_request/not_run"},
		{name: "JSON null", path: chat, body: "null", status: 400, code: "invalid_request/not_run"},
		{name: "no model", path: chat, body: `{"messages":[{"content":"x"}]}`, status: 400, code: "invalid_request/not_run"},
		{name: "no messages", path: chat, body: `{"model":"m-small"}`, status: 400, code: "invalid_request/not_run"},
		{name: "no choices", path: chat, body: `{"model":"m-small","n":0,"messages":[{"content":"x"}]}`, status: 400, code: "invalid_request/not_run"},
		{name: "negative length", path: chat, body: `{"model":"m-small","max_tokens":-1,"messages":[{"content":"x"}]}`, status: 400, code: "invalid_request/not_run"},
		{name: "too large", path: chat, body: strings.Repeat("x", 65<<10), status: 413, code: "body_too_large/not_run"},
		{name: "huge header", path: chat, body: good, option: withHeader("X-Long", strings.Repeat("x", 32<<10)), status: 431, code: "body_too_large/not_run"},
		{name: "unknown class", path: chat, body: good, option: withHeader("X-Galenaslip-Class", "vip"), status: 400, code: "unknown_class/not_run"},
		{name: "no class", path: chat, body: good, option: withHeader("X-Galenaslip-Class", ""), status: 400, code: "unknown_class/not_run"},
		{name: "bad workspace", path: chat, body: good, option: withHeader("X-Galenaslip-Workspace", "A B"), status: 400, code: "invalid_request/not_run"},
		{name: "bad request id", path: chat, body: good, option: withHeader("X-Request-Id", "../x"), status: 400, code: "invalid_request/not_run"},
		{name: "unknown model", path: chat, body: strings.ReplaceAll(good, testModel, "m-none"), status: 404, code: "unknown_model/not_run"},
		{name: "unknown service", path: "/v1/services/none/x", option: withHeader("Idempotency-Key", newKey()), status: 404, code: "unknown_service/not_run"},
		{name: "bad service", path: "/v1/services/No%2F/x", status: 400, code: "invalid_request/not_run"},
		{name: "no key", path: ledger, status: 400, code: "idempotency_key_missing/not_run"},
		{name: "no key on delete", method: http.MethodDelete, path: ledger, status: 400, code: "idempotency_key_missing/not_run"},
		{name: "key of version 4", path: ledger, option: withHeader("Idempotency-Key", "9b2f3c52-3c8e-4d1f-9d0b-0a6a1f4f5c11"), status: 400, code: "idempotency_key_invalid/not_run"},
		{name: "old key", path: ledger, option: withHeader("Idempotency-Key", "01890000-0000-7000-8000-000000000000"), status: 410, code: "idempotency_key_expired/unknown"},
		{name: "unknown stream", method: http.MethodGet, path: "/v1/streams/none?position=1", status: 404, code: "request_not_found/not_run"},
		{name: "bad position", method: http.MethodGet, path: "/v1/streams/none?position=-1", status: 400, code: "invalid_request/not_run"},
		{name: "unknown path", method: http.MethodGet, path: "/v2", status: 404, code: "invalid_request/not_run"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if tt.method == "" {
				tt.method = http.MethodPost
			}
			if tt.option == nil {
				tt.option = func(*http.Request) {}
			}
			got := do(t, tt.method, s.url(0, tt.path), []byte(tt.body), tt.option)
			if got.status != tt.status || got.code() != tt.code {
				t.Errorf("got %d %s (%s), want %d %s", got.status, got.code(), got.body, tt.status, tt.code)
			}
		})
	}
	if got := s.engines[0].State().StartsByRequest; len(got) != 0 {
		t.Errorf("requests at the engine: got %v, want none", got)
	}
	if got := s.services[0].State().Runs; len(got) != 0 {
		t.Errorf("calls at the service: got %v, want none", got)
	}
}

// Guards against new requests that run without a configuration lease, and against the
// outcome not_run for a call with an idempotency key whose state is not known.
func TestExpiredLease(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 1)
	s.control.update(func(f *fakeControl) { f.down = true })
	s.eventually("the lease has lapsed", func() bool { return getJSON(t, s.entries[0], "/readyz", nil) == http.StatusServiceUnavailable })
	got := do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody("x", false))
	if got.status != http.StatusServiceUnavailable || got.code() != "configuration_lease_lapsed/not_run" {
		t.Errorf("chat: got %d %s, want 503 not run", got.status, got.code())
	}
	got = do(t, http.MethodPost, s.url(0, "/v1/services/ledger/postings"), nil, withHeader("Idempotency-Key", newKey()))
	if got.status != http.StatusBadGateway || got.code() != "configuration_lease_lapsed/unknown" {
		t.Errorf("call: got %d %s, want 502 unknown", got.status, got.code())
	}
	got = do(t, http.MethodGet, s.url(0, "/v1/services/ledger/postings"), nil)
	if got.status != http.StatusServiceUnavailable || got.code() != "configuration_lease_lapsed/not_run" {
		t.Errorf("lookup: got %d %s, want 503 not run", got.status, got.code())
	}
	if got := len(s.engines[0].State().StartsByRequest) + len(s.services[0].State().Runs); got != 0 {
		t.Errorf("work at servers: got %d, want none", got)
	}
}
