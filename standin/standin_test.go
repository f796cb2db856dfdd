package standin_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/standin"
)

func newEngine(t *testing.T, o standin.EngineOptions) *standin.Engine {
	t.Helper()
	o.Name, o.Listen, o.Models = "engine-1", "127.0.0.1:0", []string{"m"}
	o.Clock, o.Logger, o.TokenTime = clock.New(), event.Discard(), 1
	e, release, err := standin.NewEngine(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return e
}

func sendRequest(t *testing.T, e *standin.Engine, method, path string, body any) (int, string) {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.NewRequest(method, "http://"+e.Address()+path, bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Request-Id", "r-1")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if got, want := answer.Header.Get("X-Request-Id"), "r-1"; got != want {
		t.Errorf("%s: got the request ID %q in the answer, want %q", path, got, want)
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(text)
}

type object map[string]any

func chat(prompt string, extra object) object {
	f := object{"model": "m", "messages": []object{{"role": "user", "content": prompt}}}
	for name, value := range extra {
		f[name] = value
	}
	return f
}

// Guards against answers that depend on anything except the model and the prompt. Tests
// could not predict the answers then.
func TestAnswer(t *testing.T) {
	t.Parallel()
	const prompt = "p [tokens=30]"
	tokens := standin.AnswerTokens("m", prompt)
	tests := []struct {
		name, want string
		status     int
		extra      object
	}{
		{name: "whole", want: strings.Join(tokens, ""), status: 200},
		{name: "cut", extra: object{"max_tokens": 7}, want: strings.Join(tokens[:7], ""), status: 200},
		{name: "continued", extra: object{"continue_from": object{"position": 9, "text": strings.Join(tokens[:9], "")}}, want: strings.Join(tokens, ""), status: 200},
		{name: "continued at the end", extra: object{"continue_from": object{"position": 30, "text": strings.Join(tokens, "")}}, want: strings.Join(tokens, ""), status: 200},
		{name: "continued from another text", extra: object{"continue_from": object{"position": 9, "text": "x"}}, status: 400},
		{name: "unknown model", extra: object{"model": "n"}, status: 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			status, body := sendRequest(t, newEngine(t, standin.EngineOptions{}), "POST", "/v1/chat/completions", chat(prompt, tt.extra))
			var w struct {
				Choices []struct{ Message struct{ Content string } }
			}
			if err := json.Unmarshal([]byte(body), &w); err != nil || status != tt.status {
				t.Fatalf("got %d %s (%v), want %d", status, body, err, tt.status)
			}
			if tt.status == 200 && w.Choices[0].Message.Content != tt.want {
				t.Errorf("got %q, want %q", w.Choices[0].Message.Content, tt.want)
			}
		})
	}
}

// Guards against an engine that generates tokens twice, does not accept a repeated
// cancel, or carries out orders of a former leader although it announces that it checks
// fencing tokens.
func TestProtocol(t *testing.T) {
	t.Parallel()
	for _, ignoreFencing := range []bool{false, true} {
		e := newEngine(t, standin.EngineOptions{IgnoreFencing: ignoreFencing})
		staleOrderStatus := 409
		if ignoreFencing {
			staleOrderStatus = 202
		}
		loadOrder := func(id string, token int) object {
			return object{"order_id": id, "fencing_token": token, "kind": "load_model", "model": "m-" + id}
		}
		steps := []struct {
			method, path string
			body         any
			want         int
		}{
			{"POST", "/v1/requests/r-1/cancel", nil, 404},
			{"POST", "/v1/chat/completions", chat("p [tokens=20]", nil), 200},
			{"GET", "/v1/requests/r-1/stream?position=20", nil, 200},
			{"POST", "/v1/requests/r-1/cancel", nil, 200},
			{"POST", "/v1/requests/r-1/cancel", nil, 200},
			{"GET", "/v1/requests/r-2/stream?position=0", nil, 404},
			{"GET", "/v1/kv/r-1", nil, 200},
			{"GET", "/v1/kv/r-2", nil, 404},
			{"PUT", "/v1/kv/r-2", object{"prefix": []string{"a"}}, 204},
			{"POST", "/v1/orders", loadOrder("a", 5), 202},
			{"POST", "/v1/orders", loadOrder("b", 4), staleOrderStatus},
			{"POST", "/v1/orders", loadOrder("c", 5), 202},
			{"POST", "/v1/chat/completions", "x", 400},
		}
		for _, s := range steps {
			if got, body := sendRequest(t, e, s.method, s.path, s.body); got != s.want {
				t.Errorf("ignore %v: %s %s: got %d %s, want %d", ignoreFencing, s.method, s.path, got, body, s.want)
			}
		}
		if got := e.State().GeneratedTokens; got != 20 {
			t.Errorf("generated: got %d, want 20", got)
		}
	}
}

// Guards against a KV memory limit or a slot limit without effect, and against answers
// that lose tokens when sequences are preempted for lack of memory.
func TestMemoryLimit(t *testing.T) {
	t.Parallel()
	e := newEngine(t, standin.EngineOptions{Slots: 4, KVTokens: 130})
	var answers sync.WaitGroup
	for i := range 4 {
		answers.Go(func() {
			prompt := fmt.Sprintf("%d [tokens=60]", i)
			body, _ := json.Marshal(chat(prompt, nil))
			r, err := http.Post("http://"+e.Address()+"/v1/chat/completions", "application/json", bytes.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = r.Body.Close() }()
			var w struct{ Position int }
			if err := json.NewDecoder(r.Body).Decode(&w); err == nil && r.StatusCode == http.StatusOK && w.Position != 60 {
				t.Errorf("position: got %d, want 60", w.Position)
			}
		})
	}
	answers.Wait()
	if got := e.State(); got.Preemptions == 0 {
		t.Errorf("got %+v, want preempted sequences", got)
	}
}

// Guards against announcements that a router cannot use: without the latest challenge,
// with sequence numbers that do not increase, or with block hashes that the router
// cannot match.
func TestAnnouncements(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var sequences []uint64
	hashes := map[string]bool{}
	accepted := 0
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a struct {
			Sequence    uint64
			Challenge   string
			CacheEvents []struct{ Hash string } `json:"cache_events"`
		}
		_ = json.NewDecoder(r.Body).Decode(&a)
		mu.Lock()
		defer mu.Unlock()
		sequences = append(sequences, a.Sequence)
		for _, e := range a.CacheEvents {
			hashes[e.Hash] = true
		}
		ok := a.Challenge == "c"
		if ok {
			accepted++
		}
		_, _ = fmt.Fprintf(w, `{"accepted":%v,"challenge":"c"}`, ok)
	}))
	t.Cleanup(router.Close)
	e := newEngine(t, standin.EngineOptions{Announce: standin.Announce{
		Entries: []string{strings.TrimPrefix(router.URL, "http://")}, Interval: 5,
	}})
	prompt := strings.Repeat("long prompt ", 100)
	sendRequest(t, e, "POST", "/v1/chat/completions", chat(prompt, nil))
	complete := func() bool {
		mu.Lock()
		defer mu.Unlock()
		missing := 0
		for _, h := range engine.HashPrefixes("m", prompt) {
			if !hashes[strconv.FormatUint(h, 16)] {
				missing++
			}
		}
		return accepted > 2 && missing == 0
	}
	c := clock.New()
	for !complete() && c.Now() < 10*clock.Second {
		c.Sleep(t.Context(), 5)
	}
	if !complete() {
		t.Fatal("the announcements or cache events did not arrive")
	}
	mu.Lock()
	defer mu.Unlock()
	for i, s := range sequences {
		if i > 0 && s <= sequences[i-1] {
			t.Errorf("sequence %d follows %d", s, sequences[i-1])
		}
	}
}
