package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

const (
	deadlyText = "deadly"
	soundText  = "sound"
)

// mortalServer is an engine and a service that loses its connections under requests with
// deadlyText, and answers all others.
type mortalServer struct {
	name      string
	http      *httptest.Server
	sequence  int
	run       atomic.Int64 // number of restarts
	challenge string
	lost      atomic.Int64 // requests with deadlyText
	ended     atomic.Bool
	keepsOn   bool                        // goes on listening after it has lost its connections
	restarts  bool                        // ends and starts again at the same address at once
	silent    bool                        // holds the request until the entry closes the connection
	begin     func(w http.ResponseWriter) // sends the begin of the answer first; nil sends nothing
}

func (v *mortalServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch {
	case strings.HasSuffix(r.URL.Path, "/cancel"):
		_, _ = io.WriteString(w, `{"position":0}`)
	case bytes.Contains(body, []byte(deadlyText)):
		v.lost.Add(1)
		if v.silent {
			<-r.Context().Done()
		}
		if v.begin != nil {
			v.begin(w)
			_ = http.NewResponseController(w).Flush()
		}
		if v.restarts {
			v.run.Add(1)
		}
		if !v.keepsOn && !v.restarts {
			v.ended.Store(true)
			_ = v.http.Listener.Close()
		}
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, "/v1/chat"):
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, textChunk(1, "a")+finishChunk(1)+doneEvent)
	}
}

// announce announces the server to the first entry, unless it has ended.
func (v *mortalServer) announce(s *site) {
	for range 2 {
		if v.ended.Load() {
			return
		}
		v.sequence++
		body, err := json.Marshal(map[string]any{
			"server": v.name, "incarnation": 1 + v.run.Load(), "kind": "engine", "role": "generate", "address": v.http.Listener.Addr().String(),
			"models": []string{testModel}, "services": []string{"ledger"}, "slots": 4, "sequence": v.sequence, "state": "serving",
			"challenge": v.challenge, "load": map[string]int{"kv_total": 100_000},
		})
		if err != nil {
			s.t.Fatal(err)
		}
		r := do(s.t, http.MethodPost, s.url(0, "/v1/announcements"), body)
		var response struct {
			Accepted  bool
			Challenge string
		}
		if err := json.Unmarshal(r.body, &response); err != nil {
			s.t.Fatalf("announcement: got %d and %s: %v", r.status, r.body, err)
		}
		v.challenge = response.Challenge
		if response.Accepted {
			return
		}
	}
}

// mortalSite is a site with entries and servers that end under requests.
type mortalSite struct {
	*site
	servers []*mortalServer
}

func newMortalSite(t *testing.T, entries, count int, adjust func(v *mortalServer)) *mortalSite {
	t.Helper()
	s := &mortalSite{site: newSite(t, entries, 0, 0)}
	for i := range count {
		v := &mortalServer{name: fmt.Sprintf("mortal-%d", i)}
		adjust(v)
		v.http = httptest.NewServer(v)
		t.Cleanup(v.http.Close)
		s.servers = append(s.servers, v)
	}
	s.wait(0)
	return s
}

// wait has the servers announce themselves for a time.
func (s *mortalSite) wait(time clock.Millis) {
	for end := s.elapsed() + time; ; s.clock.Sleep(context.Background(), 200*clock.Millisecond) {
		for _, v := range s.servers {
			v.announce(s.site)
		}
		if s.elapsed() >= end {
			return
		}
	}
}

// lost returns how often a server got a request with deadlyText.
func (s *mortalSite) lost() int {
	sum := 0
	for _, v := range s.servers {
		sum += int(v.lost.Load())
	}
	return sum
}

// callKinds send a request with a text to an entry, in each way in which an entry passes requests on.
var callKinds = map[string]func(s *mortalSite, entry int, text string) reply{
	"stream": func(s *mortalSite, entry int, text string) reply {
		return do(s.t, http.MethodPost, s.url(entry, "/v1/chat/completions"), chatBody(text, true))
	},
	"chat": func(s *mortalSite, entry int, text string) reply {
		return do(s.t, http.MethodPost, s.url(entry, "/v1/chat/completions"), chatBody(text, false))
	},
	"idempotent call": func(s *mortalSite, entry int, text string) reply {
		return do(s.t, http.MethodPut, s.url(entry, "/v1/services/ledger/x"), []byte(text))
	},
	"once-only call": func(s *mortalSite, entry int, text string) reply {
		return do(s.t, http.MethodPost, s.url(entry, "/v1/services/ledger/x"), []byte(text), withHeader("Idempotency-Key", newKey()))
	},
}

// Guards against one request that ends each server that runs it and comes again with the same
// path, caller and body, so that callers of all kinds lose one server after another.
func TestDeadlyRequestIsRefused(t *testing.T) {
	t.Parallel()
	for name, send := range callKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newMortalSite(t, 1, 8, func(*mortalServer) {})
			for range 8 {
				send(s, 0, deadlyText)
				s.wait(600 * clock.Millisecond)
			}
			if got, want := s.lost(), 3; got > want {
				t.Errorf("servers ended: got %d, want at most %d", got, want)
			}
			s.wait(2 * clock.Second)
			for range 4 {
				if got := send(s, 0, deadlyText); got.status != http.StatusBadRequest || got.code() != "quarantined/not_run" {
					t.Errorf("deadly request: got %d %s, want 400 quarantined/not_run", got.status, got.code())
				}
			}
			if got := send(s, 0, soundText); got.status != http.StatusOK {
				t.Errorf("sound request: got %d %s, want 200", got.status, got.code())
			}
			var state struct {
				Suspects []struct {
					Quarantined bool
					Servers     []string
				}
			}
			getJSON(t, s.entries[0], "/debug/state", &state)
			if len(state.Suspects) != 1 || !state.Suspects[0].Quarantined || len(state.Suspects[0].Servers) != 3 {
				t.Errorf("suspects in the state: got %+v, want one that is quarantined after 3 servers", state.Suspects)
			}
		})
	}
}

// Guards against a quarantine before a trial: a request that has lost two servers is only
// suspect, and its caller is told to come again while a trial runs.
func TestSuspectRequestWaitsForTrial(t *testing.T) {
	t.Parallel()
	s := newMortalSite(t, 1, 8, func(*mortalServer) {})
	send := callKinds["idempotent call"]
	for range 3 {
		send(s, 0, deadlyText)
		s.wait(100 * clock.Millisecond)
		if s.lost() == 3 {
			break
		}
	}
	got := send(s, 0, deadlyText)
	if got.status != http.StatusServiceUnavailable || got.code() != "request_suspect/not_run" || got.headers.Get("Retry-After") == "" {
		t.Errorf("during the trial: got %d %s and Retry-After %q, want 503 request_suspect/not_run and a time",
			got.status, got.code(), got.headers.Get("Retry-After"))
	}
	if got, want := s.lost(), 3; got != want {
		t.Errorf("servers ended: got %d, want %d", got, want)
	}
}

// Guards against a request that ends servers at each entry in turn, because no entry knows what
// the others have seen.
func TestDeadlyRequestIsRefusedAtAllEntries(t *testing.T) {
	t.Parallel()
	s := newMortalSite(t, 3, 9, func(*mortalServer) {})
	s.wait(500 * clock.Millisecond) // the other entries learn of the servers
	send := callKinds["once-only call"]
	for i := range 9 {
		send(s, i%3, deadlyText)
		s.wait(600 * clock.Millisecond)
	}
	if got, want := s.lost(), 3; got != want {
		t.Errorf("servers ended: got %d, want %d", got, want)
	}
	s.wait(2 * clock.Second)
	for i := range 3 {
		if got := send(s, i, deadlyText); got.status != http.StatusBadRequest {
			t.Errorf("deadly request at entry %d: got %d %s, want 400", i, got.status, got.code())
		}
		if got := send(s, i, soundText); got.status != http.StatusOK {
			t.Errorf("sound request at entry %d: got %d %s, want 200", i, got.status, got.code())
		}
	}
	// A peer of a former build does not ask for it.
	got := do(t, http.MethodPost, s.url(0, "/peer/v1/digest"), []byte(`{"entry":"entry-9","since":{}}`))
	if got.status != http.StatusOK || bytes.Contains(got.body, []byte("quarantine")) {
		t.Errorf("digest for a former build: got %d %s, want 200 and no quarantine", got.status, got.body)
	}
}

// Guards against ends that stay unknown because the server is started again at once: its address
// accepts connections, and only its next announcement tells.
func TestDeadlyRequestIsRefusedAfterRestarts(t *testing.T) {
	t.Parallel()
	s := newMortalSite(t, 1, 8, func(v *mortalServer) { v.restarts = true })
	send := callKinds["once-only call"]
	s.eventually("the request is refused", func() bool {
		got := send(s, 0, deadlyText)
		s.wait(1200 * clock.Millisecond)
		return got.status == http.StatusBadRequest
	})
	if got, want := s.lost(), 3; got != want {
		t.Errorf("servers ended: got %d, want %d", got, want)
	}
	if got := send(s, 0, soundText); got.status != http.StatusOK {
		t.Errorf("sound request: got %d %s, want 200", got.status, got.code())
	}
}

// Guards against a quarantine for lost connections: the servers go on listening, so that none of
// them has ended.
func TestLostConnectionsAreNoEnds(t *testing.T) {
	t.Parallel()
	for name, send := range callKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newMortalSite(t, 1, 4, func(v *mortalServer) { v.keepsOn = true })
			for range 6 {
				if got := send(s, 0, deadlyText); got.status != http.StatusBadGateway {
					t.Errorf("lost request: got %d %s, want 502", got.status, got.code())
				}
				s.wait(600 * clock.Millisecond)
			}
			var state struct{ Suspects []any }
			getJSON(t, s.entries[0], "/debug/state", &state)
			if len(state.Suspects) != 0 {
				t.Errorf("suspects: got %v, want none", state.Suspects)
			}
		})
	}
}

// Guards against a quarantine for ends of servers that had been answering for a while: such ends
// have another cause, so the stream goes on elsewhere and the request comes through later.
func TestEndsAfterLongAnswersAreNoEvidence(t *testing.T) {
	t.Parallel()
	s := newMortalSite(t, 1, 6, func(v *mortalServer) {
		v.begin = func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "text/event-stream")
			for position := range 8 {
				_, _ = io.WriteString(w, textChunk(position+1, "a"))
				_ = http.NewResponseController(w).Flush()
				clock.New().Sleep(context.Background(), 100*clock.Millisecond)
			}
		}
	})
	callKinds["stream"](s, 0, deadlyText)
	if got, want := s.lost(), 3; got < want {
		t.Errorf("attempts of the stream: got %d, want at least %d", got, want)
	}
	var state struct{ Suspects []any }
	getJSON(t, s.entries[0], "/debug/state", &state)
	if len(state.Suspects) != 0 {
		t.Errorf("suspects: got %v, want none", state.Suspects)
	}
}

// Guards against a deadly request that is never found because its caller has left, or the entry has
// moved it, before the server ends.
func TestDeadlyRequestOfCallersWhoLeaveIsRefused(t *testing.T) {
	t.Parallel()
	bodies := map[string][]byte{"stream": chatBody(deadlyText, true), "chat": chatBody(deadlyText, false), "idempotent call": []byte(deadlyText)}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newMortalSite(t, 1, 8, func(v *mortalServer) { v.silent = true })
			method, path := http.MethodPost, "/v1/chat/completions"
			if name == "idempotent call" {
				method, path = http.MethodPut, "/v1/services/ledger/x"
			}
			for range 6 {
				before := s.lost()
				ctx, leave := context.WithCancel(t.Context())
				answered := make(chan int, 1)
				go func() {
					answered <- statusOf(request(t, method, s.url(0, path), body).WithContext(ctx))
				}()
				status := 0
				s.eventually("the request is at a server or refused", func() bool {
					select {
					case status = <-answered:
					default:
					}
					return s.lost() > before || status != 0
				})
				leave()
				if status == 0 {
					<-answered
				}
				s.wait(3 * clock.Second) // the entry notices that the caller has left
			}
			if got, want := s.lost(), 3; got > want {
				t.Errorf("servers that got the request: got %d, want at most %d", got, want)
			}
			if got := callKinds[name](s, 0, soundText); got.status != http.StatusOK {
				t.Errorf("sound request: got %d %s, want 200", got.status, got.code())
			}
		})
	}
}

// statusOf returns the status of the answer to a request, or 0 if there is none.
func statusOf(r *http.Request) int {
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// chatOf returns a chat request whose prompt has several messages.
func chatOf(messages ...string) []byte {
	body, err := json.Marshal(map[string]any{
		"model": testModel, "stream": true,
		"messages": lo.Map(messages, func(text string, _ int) map[string]string { return map[string]string{"role": "user", "content": text} }),
	})
	if err != nil {
		panic(err)
	}
	return body
}

// Guards against a message that ends each server before its answer begins and is never found, because
// no two requests with it are alike: what they share is looked at too, however long the conversation before it is.
func TestDeadlyMessageOfDifferentRequestsIsRefused(t *testing.T) {
	t.Parallel()
	for _, before := range []int{1, 40} {
		t.Run(fmt.Sprintf("%d messages before it", before), func(t *testing.T) {
			t.Parallel()
			checkDeadlyMessage(t, lo.Times(before, func(i int) string { return fmt.Sprint("instructions ", i) }))
		})
	}
}

// checkDeadlyMessage checks that a message that ends servers behind the given others is found.
func checkDeadlyMessage(t *testing.T, before []string) {
	t.Helper()
	s := newMortalSite(t, 1, 10, func(*mortalServer) {})
	send := func(messages ...string) reply {
		return do(s.t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatOf(slices.Concat(before, messages)...))
	}
	for i := range 20 {
		if got := send("document", fmt.Sprint("question ", i)); got.status != http.StatusOK {
			t.Fatalf("sound request: got %d %s, want 200", got.status, got.code())
		}
	}
	for i := range 8 {
		send(deadlyText, fmt.Sprint("question ", i))
		s.wait(600 * clock.Millisecond)
	}
	if got, want := s.lost(), 4; got > want {
		t.Errorf("servers ended: got %d, want at most %d", got, want)
	}
	s.wait(2 * clock.Second)
	if got := send(deadlyText, "another question"); got.status != http.StatusBadRequest {
		t.Errorf("request with the deadly message: got %d %s, want 400", got.status, got.code())
	}
	if got := send("document", "another question"); got.status != http.StatusOK {
		t.Errorf("request with the same first messages: got %d %s, want 200", got.status, got.code())
	}
}
