package entry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/standin"
)

// errorText is the text of an error of an engine, which no caller may find in a stream.
const errorText = "out of memory"

// textChunk returns the event of a chunk with one token.
func textChunk(position int, text string) string {
	return fmt.Sprintf("data: {\"id\":\"r-1\",\"model\":%q,\"position\":%d,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", testModel, position, text)
}

// finishChunk returns the last chunk of an answer at a position.
func finishChunk(position int) string {
	return fmt.Sprintf("data: {\"id\":\"r-1\",\"position\":%d,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", position)
}

const doneEvent = "data: [DONE]\n\n"

// engineAnswer is an answer of a hostile engine.
type engineAnswer struct {
	status int
	text   string
	abort  bool // the connection ends before the body does
}

func (a engineAnswer) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, a.text)
	if a.abort {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// hostileEngine is an engine whose answers are scripted.
type hostileEngine struct {
	first, continued, resumed engineAnswer // to a new request, to one that continues an answer, to a resumed stream
	continuations             atomic.Int64 // number of requests that continue an answer
}

func (e *hostileEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch {
	case strings.HasSuffix(r.URL.Path, "/cancel"):
		_, _ = io.WriteString(w, `{"position":0}`)
	case strings.HasSuffix(r.URL.Path, "/stream"):
		e.resumed.write(w)
	case bytes.Contains(body, []byte("continue_from")):
		e.continuations.Add(1)
		e.continued.write(w)
	default:
		e.first.write(w)
	}
}

// addHostileEngine starts the engine and announces it to the only entry.
func (s *site) addHostileEngine(e *hostileEngine) {
	server := httptest.NewServer(e)
	s.t.Cleanup(server.Close)
	challenge := ""
	for sequence := 1; sequence <= 2; sequence++ {
		body, err := json.Marshal(map[string]any{
			"server": "hostile", "incarnation": 1, "kind": "engine", "role": "generate", "address": server.Listener.Addr().String(),
			"models": []string{testModel}, "slots": 4, "sequence": sequence, "state": "serving", "challenge": challenge,
			"load": map[string]int{"kv_total": 100_000},
		})
		if err != nil {
			s.t.Fatal(err)
		}
		r := do(s.t, http.MethodPost, s.url(0, "/v1/announcements"), body)
		var response struct {
			Accepted  bool
			Challenge string
			Reason    string
		}
		if err := json.Unmarshal(r.body, &response); err != nil || sequence == 2 && !response.Accepted {
			s.t.Fatalf("announcement: got %d, %s and %v, want it accepted", r.status, r.body, err)
		}
		challenge = response.Challenge
	}
}

// checkBrokenStream fails the test if a stream holds the text of an engine's error, more than
// the given text, or an end that looks complete.
func checkBrokenStream(t *testing.T, got, wantText string) {
	t.Helper()
	if strings.Contains(got, errorText) {
		t.Errorf("got the text of an engine's error in %q", got)
	}
	if strings.Contains(got, "[DONE]") || !strings.Contains(got, "event: error\n") {
		t.Errorf("got %q, want an end with an error event", got)
	}
	if text := contentOf(got); text != wantText {
		t.Errorf("got the text %q, want %q", text, wantText)
	}
}

// contentOf returns the text of all chunks of a stream.
func contentOf(events string) string {
	text := ""
	for line := range strings.Lines(events) {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		data, _ := strings.CutPrefix(line, "data: ")
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text
}

// brokenAnswers are answers of an engine to a request to go on after the second token, none of
// which completes the answer.
var brokenAnswers = []struct {
	name   string
	answer engineAnswer
}{
	{"400", engineAnswer{status: 400, text: errorText}},
	{"404", engineAnswer{status: 404, text: errorText}},
	{"500", engineAnswer{status: 500, text: errorText}},
	{"error event", engineAnswer{status: 200, text: "event: error\ndata: {\"error\":{\"message\":\"" + errorText + "\"}}\n\n" + doneEvent}},
	{"error as data", engineAnswer{status: 200, text: "data: {\"error\":{\"message\":\"" + errorText + "\"}}\n\n" + doneEvent}},
	{"error without an event", engineAnswer{status: 200, text: errorText}},
	{"end without a finish reason", engineAnswer{status: 200, text: doneEvent}},
	{"finish before the position", engineAnswer{status: 200, text: finishChunk(1) + doneEvent}},
	{"nothing", engineAnswer{status: 200}},
}

// Guards against a stream that broke off, whose next engine answers with an error: the caller
// finds neither its text in the stream nor an end that looks complete.
func TestContinuedStreamThatIsNoRest(t *testing.T) {
	t.Parallel()
	for _, tt := range brokenAnswers {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 0, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.NoServer = 300 * clock.Millisecond })
			e := &hostileEngine{
				first:     engineAnswer{status: 200, text: textChunk(1, "a") + textChunk(2, "b"), abort: true},
				continued: tt.answer, resumed: engineAnswer{status: 404},
			}
			s.addHostileEngine(e)
			got := do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody("p", true), withHeader("X-Request-Id", "r-1"))
			checkBrokenStream(t, string(got.body), "ab")
			if e.continuations.Load() == 0 {
				t.Error("no engine was asked to continue the answer")
			}
		})
	}
}

// Guards against the same faults, and events sent twice, in a stream that the caller resumes on
// another connection.
func TestResumedStreamThatIsNoRest(t *testing.T) {
	t.Parallel()
	for _, tt := range brokenAnswers {
		if tt.answer.status != 200 {
			continue // no stream begins: the caller gets 404
		}
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 0, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.NoServer = 300 * clock.Millisecond })
			tt.answer.text = textChunk(1, "a") + textChunk(2, "b") + textChunk(3, "c") + tt.answer.text
			s.addHostileEngine(&hostileEngine{resumed: tt.answer})
			got := do(t, http.MethodGet, s.url(0, "/v1/streams/r-1?position=2"), nil)
			checkBrokenStream(t, string(got.body), "c")
		})
	}
}
