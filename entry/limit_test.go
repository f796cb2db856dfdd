package entry_test

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/standin"
)

// Guards against a caller that does not read and so keeps its slot from work of
// a higher tier, and against tokens that are lost when the slot is taken back.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0, func(_ *entry.Options, o *standin.EngineOptions) { o.Slots, o.TokenTime = 1, 1 })
	low := longPrompt(3000)
	c, err := net.Dial("tcp", s.entries[0].Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	r := request(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody(low, true), with("X-Galenaslip-Class", "tagging"))
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	s.eventually("the low tier has the slot", func() bool { return s.generated() > 0 })
	var urgent transcript
	readStream(t, s.open(longPrompt(10)).Body, &urgent, never)
	urgent.expect(t, longPrompt(10))
	answer, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var tr transcript
	readStream(t, answer.Body, &tr, never)
	tr.expect(t, low)
	if got := s.generated(); got != 3010 {
		t.Errorf("tokens generated: got %d, want 3010", got)
	}
}

// Guards against a shed request that is told anything but to try again, and
// against higher-tier work that is shed while lower-tier work waits.
func TestShed(t *testing.T) {
	t.Parallel()
	for _, policy := range []entry.Policy{entry.PolicyReal, entry.PolicyNaive} {
		t.Run(string(policy), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 1, 0, func(o *entry.Options, so *standin.EngineOptions) {
				o.Policy, o.Limits.MaxWaiting, so.Slots = policy, 1, 1
			})
			running := s.dial(0, longPrompt(50_000), true)
			defer func() { _ = running.Close() }()
			s.eventually("the slot is taken", func() bool { return s.engines[0].State().Running == 1 })
			statuses := make(chan reply, 8)
			for range cap(statuses) {
				go func() {
					statuses <- do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody("x [tokens=2]", false), with("X-Galenaslip-Class", "tagging"))
				}()
			}
			// One waits in the place that is reserved for its class and one in the
			// queue; the naive policy has no reserved place.
			want := map[entry.Policy]int{entry.PolicyReal: 6, entry.PolicyNaive: 7}[policy]
			for range want {
				got := <-statuses
				if got.status != http.StatusTooManyRequests || got.code() != "shed/not_run" || got.headers.Get("Retry-After") == "" {
					t.Errorf("got %d %s with Retry-After %q, want 429 shed", got.status, got.code(), got.headers.Get("Retry-After"))
				}
			}
			_ = running.Close()
			for range cap(statuses) - want {
				if got := <-statuses; got.status != http.StatusOK {
					t.Errorf("waiting request: got %d %s, want 200", got.status, got.code())
				}
			}
		})
	}
}

// Guards against a second request that takes over or ends the first one by its
// identifier.
func TestDuplicateIdentifier(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0)
	prompt := longPrompt(300)
	r := s.open(prompt, with("X-Request-Id", "r-1"))
	var tr transcript
	readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 5 })
	got := do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody("x", false), with("X-Request-Id", "r-1"))
	if got.status != http.StatusBadRequest || got.code() != "invalid_request/not_run" {
		t.Errorf("second: got %d %s, want 400 not run", got.status, got.code())
	}
	readStream(t, r.Body, &tr, never)
	tr.expect(t, prompt)
}

// Guards against an answer with tool calls that is rebuilt from its text alone.
func TestOpaqueAnswer(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0)
	body := strings.Replace(string(chatBody("x [tokens=5]", false)), `{`, `{"tools":[{"type":"function"}],`, 1)
	got := do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), []byte(body))
	var w struct {
		ID      string
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal(got.body, &w); err != nil || got.status != http.StatusOK {
		t.Fatalf("got %d %s (%v)", got.status, got.body, err)
	}
	want := strings.Join(standin.Answer(testModel, "x [tokens=5]"), "")
	if w.ID != got.headers.Get("X-Request-Id") || w.Choices[0].Message.Content != want {
		t.Errorf("got %+v, want the engine's own body with %q", w, want)
	}
}

// Guards against an API that serves strangers.
func TestTokens(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 0, 0)
	control := newFakeControl(t)
	e, release, err := entry.New(entry.Options{
		Name: "guarded", Listen: "127.0.0.1:0", Control: control, Clock: s.clock, Logger: event.Discard(),
		Tokens: entry.Tokens{Operator: "o", Server: "s", Peer: "p"},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	tests := []struct {
		method, path, token string
		refused             bool
	}{
		{"POST", "/v1/announcements", "", true},
		{"POST", "/v1/announcements", "p", true},
		{"POST", "/v1/announcements", "s", false},
		{"POST", "/peer/v1/digest", "s", true},
		{"POST", "/peer/v1/digest", "p", false},
		{"POST", "/peer/v1/release/x", "s", true},
		{"POST", "/peer/v1/release/x", "p", false},
		{"GET", "/debug/state", "s", true},
		{"GET", "/debug/state", "o", false},
		{"GET", "/metrics", "", false},
		{"GET", "/healthz", "", false},
	}
	for _, tt := range tests {
		option := with("Authorization", "")
		if tt.token != "" {
			option = with("Authorization", "Bearer "+tt.token)
		}
		got := do(t, tt.method, "http://"+e.Address()+tt.path, []byte("{}"), option)
		if refused := got.status == http.StatusUnauthorized; refused != tt.refused {
			t.Errorf("%s %s with token %q: got %d, want refused %v", tt.method, tt.path, tt.token, got.status, tt.refused)
		}
	}
}
