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

// Guards against a caller that does not read its answer and thereby keeps the slot while
// a request of a higher tier waits, and against tokens that are lost when the slot is
// preempted.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0, func(_ *entry.Options, o *standin.EngineOptions) { o.Slots, o.TokenTime = 1, 1 })
	low := longPrompt(3000)
	conn, err := net.Dial("tcp", s.entries[0].Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	r := request(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody(low, true), withHeader("X-Galenaslip-Class", "tagging"))
	if err := r.Write(conn); err != nil {
		t.Fatal(err)
	}
	s.eventually("the low tier has the slot", func() bool { return s.generatedTokens() > 0 })
	var urgent transcript
	readStream(t, s.openStream(longPrompt(10)).Body, &urgent, readToEnd)
	urgent.expectAnswer(t, longPrompt(10))
	answer, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var tr transcript
	readStream(t, answer.Body, &tr, readToEnd)
	tr.expectAnswer(t, low)
	if got := s.generatedTokens(); got != 3010 {
		t.Errorf("tokens generated: got %d, want 3010", got)
	}
}

// Guards against a shed request that gets another answer than 429 with Retry-After, and
// against too many or too few requests being shed.
func TestShed(t *testing.T) {
	t.Parallel()
	for _, policy := range []entry.Policy{entry.PolicyStandard, entry.PolicyNaive} {
		t.Run(string(policy), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 1, 0, func(o *entry.Options, engineOptions *standin.EngineOptions) {
				o.Policy, o.Limits.MaxWaiting, engineOptions.Slots = policy, 1, 1
			})
			running := s.sendWithoutReading(0, longPrompt(50_000), true)
			defer func() { _ = running.Close() }()
			s.eventually("the slot is in use", func() bool { return s.engines[0].State().Running == 1 })
			replies := make(chan reply, 8)
			for range cap(replies) {
				go func() {
					replies <- do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody("x [tokens=2]", false), withHeader("X-Galenaslip-Class", "tagging"))
				}()
			}
			// Of the 8 requests, 2 wait (one in the queue position reserved for its
			// class, one in the queue) and 6 are refused. The naive policy has no
			// reserved position, so 1 waits and 7 are refused.
			refused := map[entry.Policy]int{entry.PolicyStandard: 6, entry.PolicyNaive: 7}[policy]
			for range refused {
				got := <-replies
				if got.status != http.StatusTooManyRequests || got.code() != "shed/not_run" || got.headers.Get("Retry-After") == "" {
					t.Errorf("got %d %s with Retry-After %q, want 429 shed", got.status, got.code(), got.headers.Get("Retry-After"))
				}
			}
			_ = running.Close()
			for range cap(replies) - refused {
				if got := <-replies; got.status != http.StatusOK {
					t.Errorf("waiting request: got %d %s, want 200", got.status, got.code())
				}
			}
		})
	}
}

// Guards against a second request with the same identifier that replaces or ends the
// first one.
func TestDuplicateIdentifier(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0)
	prompt := longPrompt(300)
	r := s.openStream(prompt, withHeader("X-Request-Id", "r-1"))
	var tr transcript
	readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 5 })
	got := do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody("x", false), withHeader("X-Request-Id", "r-1"))
	if got.status != http.StatusBadRequest || got.code() != "invalid_request/not_run" {
		t.Errorf("second: got %d %s, want 400 not run", got.status, got.code())
	}
	readStream(t, r.Body, &tr, readToEnd)
	tr.expectAnswer(t, prompt)
}

// Guards against an answer that may contain tool calls being rebuilt from its text
// alone.
func TestAnswerWithToolCalls(t *testing.T) {
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
	want := strings.Join(standin.AnswerTokens(testModel, "x [tokens=5]"), "")
	if w.ID != got.headers.Get("X-Request-Id") || w.Choices[0].Message.Content != want {
		t.Errorf("got %+v, want the engine's own body with %q", w, want)
	}
}

// Guards against an API that accepts requests without its own token.
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
		option := withHeader("Authorization", "")
		if tt.token != "" {
			option = withHeader("Authorization", "Bearer "+tt.token)
		}
		got := do(t, tt.method, "http://"+e.Address()+tt.path, []byte("{}"), option)
		if refused := got.status == http.StatusUnauthorized; refused != tt.refused {
			t.Errorf("%s %s with token %q: got %d, want refused %v", tt.method, tt.path, tt.token, got.status, tt.refused)
		}
	}
}
