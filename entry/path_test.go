package entry_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/standin"
	"github.com/galenaslip/galenaslip/stream"
)

// transcript is the part of a stream that a caller has read.
type transcript struct {
	stream.Transcript
	done    bool   // the done event has arrived
	problem string // data of an error event, or a read error
	body    io.Reader
	reader  *stream.Reader
}

// readerFor returns the event reader for a body. The reader is kept between calls,
// because it may have buffered events.
func (tr *transcript) readerFor(body io.Reader) *stream.Reader {
	if tr.body != body {
		tr.body, tr.reader = body, stream.NewReader(body, 1<<20)
	}
	return tr.reader
}

// readStream reads a stream until it ends or stop returns true.
func readStream(tb testing.TB, body io.Reader, into *transcript, stop func() bool) {
	tb.Helper()
	r := into.readerFor(body)
	for !stop() {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			into.problem = err.Error()
			return
		}
		switch {
		case e.Comment:
		case e.Name == "error":
			into.problem = string(e.Data)
		case string(e.Data) == stream.Done:
			into.done = true
		default:
			c, err := stream.ParseChunk(bytes.Clone(e.Data))
			if err != nil {
				tb.Fatal(err)
			}
			if !into.Add(c) {
				tb.Errorf("position %d was delivered twice", c.Position)
			}
		}
	}
}

// readToEnd is a stop function that makes readStream read to the end.
func readToEnd() bool { return false }

// expectAnswer checks that the transcript is the whole answer of an engine to the
// prompt.
func (tr *transcript) expectAnswer(tb testing.TB, prompt string) {
	tb.Helper()
	want := strings.Join(standin.AnswerTokens(testModel, prompt), "")
	if tr.Text() != want {
		tb.Errorf("got %d tokens that end in %q (problem %q), want %q", tr.Position(), lastBytes(tr.Text()), tr.problem, lastBytes(want))
	}
	if !tr.done || tr.problem != "" {
		tb.Errorf("end: got done %v and problem %q, want a complete answer", tr.done, tr.problem)
	}
}

// lastBytes returns the end of a text, for error messages.
func lastBytes(s string) string {
	return s[max(0, len(s)-60):]
}

// openStream starts a streamed chat request at the first entry.
func (s *site) openStream(prompt string, options ...option) *http.Response {
	s.t.Helper()
	r, err := http.DefaultClient.Do(request(s.t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody(prompt, true), options...))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = r.Body.Close() })
	return r
}

func (s *site) url(e int, path string) string {
	return "http://" + s.entries[e].Address() + path
}

// Guards against answers, streamed or whole, that differ from what the engine generated,
// and against a call that does not reach its service.
func TestAnswers(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 1)
	const prompt = "Which clause limits the layer? [tokens=40]"
	t.Run("streamed", func(t *testing.T) {
		r := s.openStream(prompt, withHeader("X-Request-Id", "r-1"))
		if got := r.Header.Get("X-Request-Id"); r.StatusCode != http.StatusOK || got != "r-1" {
			t.Fatalf("got status %d and id %q, want 200 and r-1", r.StatusCode, got)
		}
		var tr transcript
		readStream(t, r.Body, &tr, readToEnd)
		tr.expectAnswer(t, prompt)
	})
	t.Run("whole", func(t *testing.T) {
		got := do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody(prompt, false))
		var w struct {
			Choices []struct{ Message struct{ Content string } }
			Usage   struct {
				CompletionTokens int `json:"completion_tokens"`
			}
		}
		if err := json.Unmarshal(got.body, &w); err != nil || len(w.Choices) != 1 {
			t.Fatalf("got %s (%v)", got.body, err)
		}
		if want := strings.Join(standin.AnswerTokens(testModel, prompt), ""); w.Choices[0].Message.Content != want || w.Usage.CompletionTokens != 40 {
			t.Errorf("got %+v, want %q with 40 tokens", w, want)
		}
	})
	t.Run("service", func(t *testing.T) {
		key := newKey()
		got := do(t, http.MethodPost, s.url(0, "/v1/services/ledger/postings?x=%2F1"), []byte("42"), withHeader("Idempotency-Key", key))
		if got.status != http.StatusCreated || !strings.Contains(string(got.body), `"/postings?x=%2F1"`) {
			t.Errorf("got %d %s, want 201 and the path unchanged", got.status, got.body)
		}
		if got := s.services[0].State().Runs[key]; got != 1 {
			t.Errorf("runs: got %d, want 1", got)
		}
	})
}
