package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/withdrawal"
)

// Guards against a departure or a pause in an answer that is not read, or that is read from an
// answer that says nothing of the kind.
func TestWithdrawal(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, leaving, retryAfter string
		limits                    []string
		status                    int
		want                      engine.Withdrawal
	}{
		{name: "nothing", status: 200},
		{name: "leaving", leaving: "true", status: 200, want: engine.Withdrawal{Leaving: true}},
		{name: "another value", leaving: "false", status: 200},
		{name: "a pause", retryAfter: "1.5", status: 503, want: engine.Withdrawal{Pause: 1500}},
		{name: "both", leaving: "true", retryAfter: "2", status: 503, want: engine.Withdrawal{Leaving: true, Pause: 2 * clock.Second}},
		{name: "too long a pause", retryAfter: "99999", status: 503, want: engine.Withdrawal{Pause: withdrawal.MaxPause}},
		{name: "unreadable", retryAfter: "soon", status: 503},
		{name: "another status", retryAfter: "2", status: 429},
		{name: "a limit", limits: []string{"4.5"}, status: 200, want: engine.Withdrawal{Limit: ratelimit.NewLimit(4.5)}},
		{name: "an unreadable limit", limits: []string{"few"}, status: 200, want: engine.Withdrawal{LimitUnreadable: true}},
		{name: "two limits", limits: []string{"4.5", "2"}, status: 500, want: engine.Withdrawal{Limit: ratelimit.NewLimit(2)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for name, value := range map[string]string{"X-Leaving": tt.leaving, "Retry-After": tt.retryAfter} {
					if value != "" {
						w.Header().Set(name, value)
					}
				}
				w.Header()["X-Rate-Limit"] = tt.limits
				w.WriteHeader(tt.status)
			}))
			t.Cleanup(server.Close)
			c, release := engine.New(engine.Options{Clock: clock.New()})
			t.Cleanup(release)
			var got []engine.Withdrawal
			hooks := engine.Hooks{OnWithdrawal: func(w engine.Withdrawal) { got = append(got, w) }}
			address := strings.TrimPrefix(server.URL, "http://")
			if _, err := c.Call(context.Background(), engine.Request{Method: "GET", Address: address, Path: "/", Hooks: hooks}); err != nil {
				t.Fatal(err)
			}
			if want := []engine.Withdrawal{tt.want}; fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}
