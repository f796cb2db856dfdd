package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/load"
	"github.com/galenaslip/galenaslip/outcome"
)

const scenario = `
name: test
seed: 7
duration_ms: 1000
targets: ["127.0.0.1:1"]
stand_ins: [{name: engine-1, address: "127.0.0.1:1"}]
workspaces: [{name: large, share: 3}, {name: small, share: 1}]
classes:
  - {name: query, tier: 1, target_ms: 60000, measure: first_token, arrival: {process: poisson, per_second: 60},
     model: {name: m-small, stream_percent: 70, prompt_tokens: {median: 20, p95: 80, max: 200}, output_tokens: {median: 5, p95: 9, max: 12}}}
  - {name: tagging, tier: 3, target_ms: 60000, measure: completion, arrival: {process: burst, per_second: 200, start_ms: 100, length_ms: 100, every_ms: 500},
     model: {name: shed, stream_percent: 50, prompt_tokens: {median: 20, p95: 80, max: 200}, output_tokens: {median: 5, p95: 9, max: 12}}}
  - {name: posting, tier: 1, target_ms: 60000, measure: completion, arrival: {process: poisson, per_second: 30},
     call: {service: ledger, method: POST, path: /postings, idempotency_key: true}}
  - {name: status, tier: 2, target_ms: 60000, measure: completion, arrival: {process: poisson, per_second: 30},
     call: {service: ledger, method: GET, path: /status}}
faults:
  - {at_ms: 300, kind: slow, stand_ins: [engine-1], factor: 5}
  - {at_ms: 600, kind: drop_callers, percent: 100}
`

// fakeSite is a server that acts as entry, engine and service at once. Its deviation
// selects how it differs from a correct site, for example by ending a stream twice. An
// empty deviation selects a correct site.
type fakeSite struct {
	deviation       string
	mu              sync.Mutex
	attempts        map[string]int // number of attempts by request id
	tokensByRequest map[string]int
	callsByKey      map[string]int
	streams         map[string]string // answer texts by request id
	faults          []string
	holdingRequest  atomic.Bool // set once a request blocks, with deviation "hold", until its connection is dropped
}

func newFakeSite(deviation string) *fakeSite {
	return &fakeSite{deviation: deviation, attempts: map[string]int{}, tokensByRequest: map[string]int{}, callsByKey: map[string]int{}, streams: map[string]string{}}
}

func (f *fakeSite) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, key := r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key")
	w.Header().Set("X-Request-Id", id)
	body, _ := io.ReadAll(r.Body)
	f.attempts[id]++
	switch path := r.URL.Path; {
	case path == "/stand-in/fault":
		f.faults = append(f.faults, string(body))
	case path == "/stand-in/state":
		sum := 0
		for _, n := range f.tokensByRequest {
			sum += n
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"generated": sum, "by_request": f.tokensByRequest, "runs": f.callsByKey})
	case strings.HasPrefix(path, "/v1/streams/"):
		from, _ := strconv.Atoi(r.URL.Query().Get("position"))
		f.stream(w, strings.TrimPrefix(path, "/v1/streams/"), from, -1)
	case path == "/v1/chat/completions":
		f.chat(w, id, body)
	case key != "":
		if f.deviation != "run no call" && (f.callsByKey[key] == 0 || f.deviation == "run twice") {
			f.callsByKey[key]++
		}
		// For every second key, the first answer is lost after the call ran.
		f.dropConnection(f.attempts[id] == 1 && len(f.callsByKey)%2 == 0)
		writef(w, "posted")
	case f.deviation == "hold" && f.holdingRequest.CompareAndSwap(false, true):
		f.mu.Unlock()
		<-r.Context().Done()
		f.mu.Lock()
	default:
		writef(w, "status")
	}
}

func (f *fakeSite) dropConnection(now bool) {
	if now {
		panic(http.ErrAbortHandler)
	}
}

func (f *fakeSite) chat(w http.ResponseWriter, id string, body []byte) {
	var chat struct {
		Model     string `json:"model"`
		Stream    bool   `json:"stream"`
		MaxTokens int    `json:"max_tokens"`
	}
	_ = json.Unmarshal(body, &chat)
	if chat.Model == "shed" {
		w.WriteHeader(http.StatusTooManyRequests)
		writef(w, `{"error":{"message":"shed","code":"shed","outcome":"not_run"}}`)
		if f.deviation == "run shed work" {
			f.tokensByRequest[id] = 1
		}
		return
	}
	f.tokensByRequest[id] = chat.MaxTokens
	f.streams[id] = answerText(chat.MaxTokens)
	if f.deviation == "wrong bytes" {
		f.streams[id] = strings.Replace(f.streams[id], "t", "T", 1)
	}
	if chat.Stream {
		// Every second stream breaks once in the middle.
		f.stream(w, id, 0, []int{-1, 2}[len(f.streams)%2])
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"choices": []any{map[string]any{"message": map[string]any{"content": f.streams[id]}, "finish_reason": "stop"}},
		"usage":   map[string]any{"completion_tokens": chat.MaxTokens},
	})
}

func (f *fakeSite) stream(w http.ResponseWriter, id string, from, breakAt int) {
	tokens := strings.SplitAfter(f.streams[id], " ")
	for i := from; i < len(tokens); i++ {
		f.dropConnection(i == breakAt || f.deviation == "never end" && i > 0)
		if f.deviation == "end early" && i == len(tokens)-1 {
			break
		}
		writef(w, ": comment\n\ndata: {\"position\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i+1, tokens[i])
		w.(http.Flusher).Flush()
	}
	if f.deviation == "fail" {
		writef(w, "event: error\ndata: {\"error\":{\"code\":\"answer_incomplete\",\"outcome\":\"unknown\"}}\n\n")
		return
	}
	writef(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	if f.deviation == "end twice" {
		writef(w, "data: [DONE]\n\n")
	}
}

func writef(w io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(w, format, arguments...)
}

func answerText(tokens int) string {
	tokenTexts := make([]string, tokens)
	for i := range tokenTexts {
		tokenTexts[i] = fmt.Sprintf("t%d", i)
	}
	return strings.Join(tokenTexts, " ")
}

func expectedAnswer(r load.Request) (string, bool) {
	if r.Workload.IsModel() {
		return answerText(r.MaxTokens), true
	}
	return map[string]string{"POST": "posted", "GET": "status"}[r.Workload.Call.Method], true
}

// run runs the scenario against a fake site. The manual clock advances 10 ms for each
// millisecond of real time, so a run is short and does not depend on the wall clock.
func run(t *testing.T, deviation string) (load.Report, *fakeSite) {
	t.Helper()
	site := newFakeSite(deviation)
	server := httptest.NewServer(site)
	server.Config.ErrorLog = nil
	defer server.Close()
	s, err := load.ParseScenario("test.yaml", []byte(scenario))
	if err != nil {
		t.Fatal(err)
	}
	address := server.Listener.Addr().String()
	s = s.WithEntryAddresses([]string{address}).WithStandIns([]load.StandIn{{Name: "engine-1", Address: address}})
	const year2100 = 4_102_444_800_000 // later than the wall clock, so that read deadlines never expire
	c, manual := clock.NewManual(year2100)
	ctx, cancel := context.WithCancel(context.Background())
	go clock.New().Every(ctx, 1, func() {
		// With deviation "hold", time stops at 500 ms, before the connections are dropped,
		// until a request blocks. The fault then always finds an open connection.
		if deviation != "hold" || c.Now() < 500 || site.holdingRequest.Load() {
			manual.Advance(10)
		}
	})
	defer cancel()
	report, err := load.Run(ctx, load.Options{Scenario: s, Clock: c, ExpectedAnswer: expectedAnswer})
	if err != nil {
		t.Fatal(err)
	}
	return report, site
}

// Guards against a caller that loses, duplicates or misjudges outcomes of a correct
// router when connections break and answers get lost.
func TestRunCorrectSite(t *testing.T) {
	report, site := run(t, "")
	var table, page, encoded bytes.Buffer
	for writer, write := range map[*bytes.Buffer]func(io.Writer) error{&table: report.WriteTable, &page: report.WriteHTML, &encoded: report.WriteJSON} {
		if err := write(writer); err != nil {
			t.Fatal(err)
		}
	}
	if len(report.Breaches) > 0 || report.Note != "" || report.Reconnects == 0 || report.NotSent > 0 {
		t.Errorf("report:\n%s", table.String())
	}
	for _, c := range report.Classes {
		name, counts := c.Class.Name(), c.Counts
		if name == "tagging" {
			if counts.Shed != counts.Requests || counts.Outcomes[outcome.NotRun] != counts.Requests {
				t.Errorf("tagging: got %+v", counts)
			}
		} else if counts.Attainment() != 1 || c.MeasuredLatency.Count != int64(counts.Requests) {
			t.Errorf("%s: got attainment %v of %d, %d latencies", name, counts.Attainment(), counts.Requests, c.MeasuredLatency.Count)
		}
	}
	if report.TokensGenerated == 0 || report.TokensWasted() != 0 {
		t.Errorf("tokens: got %d generated, %d wasted, want all delivered", report.TokensGenerated, report.TokensWasted())
	}
	if want := `{"kind":"slow","factor":5}`; len(site.faults) != 1 || site.faults[0] != want || len(report.Faults) != 2 {
		t.Errorf("faults: got %q and %v, want %s", site.faults, report.Faults, want)
	}
	for _, want := range []string{"seed 7", "query", "breaches 0", "engine-1"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("table: got no %q in\n%s", want, table.String())
		}
	}
	if got := page.String(); !strings.Contains(got, "<polyline") || strings.Contains(got, "http") {
		t.Error("page: want plots and no reference to another file")
	}
	if !json.Valid(encoded.Bytes()) {
		t.Error("JSON: got an invalid document")
	}
}

// Guards against a DropCallers fault that closes no connection, and against a caller
// that does not retry after its connection was closed.
func TestRunDropsCallers(t *testing.T) {
	report, _ := run(t, "hold")
	if got := report.Faults[1].Result; strings.HasPrefix(got, "0 ") || len(report.Breaches) > 0 {
		t.Errorf("fault: got %q and breaches %v, want a dropped connection and no breaches", got, report.Breaches)
	}
}

// Guards against an experiment that does not detect a violated guarantee.
func TestRunBrokenSite(t *testing.T) {
	tests := []struct {
		deviation string
		want      load.BreachKind
	}{
		{"never end", load.LostOutcome},
		{"end twice", load.ProtocolError},
		{"end early", load.WrongBytes},
		{"wrong bytes", load.WrongBytes},
		{"run twice", load.DuplicateRun},
		{"run shed work", load.MisreportedOutcome},
		{"run no call", load.MisreportedOutcome},
	}
	for _, tt := range tests {
		t.Run(tt.deviation, func(t *testing.T) {
			t.Parallel()
			report, _ := run(t, tt.deviation)
			if got := report.BreachCounts; got[tt.want] == 0 || len(got) != 1 {
				t.Errorf("breaches: got %v, want only %q", got, tt.want)
			}
		})
	}
	t.Run("fail", func(t *testing.T) {
		t.Parallel()
		report, _ := run(t, "fail")
		if got := report.Classes[0].Counts.Outcomes[outcome.Unknown]; got == 0 || len(report.Breaches) > 0 {
			t.Errorf("unknown: got %d and breaches %v, want some unknown outcomes and no breaches", got, report.Breaches)
		}
	})
}

// BenchmarkRun sends 2,000 requests/s for 2 s of real time to a fake site. It shows the
// latency that the load generator itself adds.
func BenchmarkRun(b *testing.B) {
	site := newFakeSite("")
	server := httptest.NewServer(site)
	defer server.Close()
	text := strings.NewReplacer("per_second: 60", "per_second: 2000", "duration_ms: 1000", "duration_ms: 2000").Replace(scenario)
	s, err := load.ParseScenario("test.yaml", []byte(text))
	if err != nil {
		b.Fatal(err)
	}
	address := server.Listener.Addr().String()
	s = s.WithEntryAddresses([]string{address}).WithStandIns([]load.StandIn{{Name: "engine-1", Address: address}})
	for b.Loop() {
		report, err := load.Run(context.Background(), load.Options{Scenario: s, Clock: clock.New(), ExpectedAnswer: expectedAnswer})
		if err != nil {
			b.Fatal(err)
		}
		status := report.Classes[3].CompletionLatency
		b.ReportMetric(float64(report.Sent)/2, "requests/s")
		b.ReportMetric(float64(report.NotSent), "not-sent")
		b.ReportMetric(float64(status.P50), "ms-p50")
		b.ReportMetric(float64(status.P99), "ms-p99")
	}
}
