package commands_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/caller"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/standin"
)

// Guards against parts that work alone but not as separate processes. It sends a
// streamed request, a request without streaming and a posting from end to end. Then
// it stops the processes by SIGTERM, and they must end with exit code 0.
func TestPath(t *testing.T) {
	s := newSite(t, 2)
	c := caller.New()
	want := strings.Join(standin.AnswerTokens("m-small", "a clause [tokens=30]"), "")
	streamed, err := c.ChatStreamed(query(t, s.entries[0], "a clause [tokens=30]", true))
	if got := streamed.Text; err != nil || got != want {
		t.Errorf("streamed answer: got %q (%v), want %q", got, err, want)
	}
	whole, err := c.ChatUnstreamed(query(t, s.entries[1], "a clause [tokens=30]", false))
	if got := whole.Text; err != nil || got != want {
		t.Errorf("whole answer: got %q (%v), want %q", got, err, want)
	}
	s.checkPosting(t, c)
	s.checkRefusal(t, c)
	s.checkMetrics(t)
	for _, p := range append(s.entryProcesses, s.controlProcesses...) {
		if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if got, want := p.awaitExitCode(t), 0; got != want {
			t.Errorf("exit code after SIGTERM: got %d, want %d", got, want)
		}
	}
}

func posting(address, key string) caller.Request {
	return caller.Request{
		Entry: address, Class: "posting", Workspace: "w", Key: key,
		Method: http.MethodPost, Path: "/v1/services/ledger/postings", Body: []byte(`{"premium":1}`),
	}
}

func (s *site) checkPosting(t *testing.T, c *caller.Caller) {
	t.Helper()
	key := uuid.Must(uuid.NewV7()).String()
	first, err := c.Call(posting(s.entries[0], key))
	if err != nil || first.Outcome != outcome.Answered {
		t.Fatalf("posting: got %+v (%v), want it answered", first, err)
	}
	second, err := c.Call(posting(s.entries[1], key))
	if got, want := second.Text, first.Text; err != nil || got != want {
		t.Errorf("repeated posting at another entry: got %q (%v), want %q", got, err, want)
	}
	if got, want := s.runs(t)[key], 1; got != want {
		t.Errorf("runs of the posting: got %d, want %d", got, want)
	}
}

// checkRefusal checks the answer to a request with an unknown class.
func (s *site) checkRefusal(t *testing.T, c *caller.Caller) {
	t.Helper()
	r := posting(s.entries[0], "")
	r.Class = "unknown"
	got, err := c.Call(r)
	if err != nil || got.Outcome != outcome.NotRun || !strings.Contains(got.Text, "unknown") {
		t.Errorf("unknown class: got %+v (%v), want not_run with the class in the message", got, err)
	}
}

// runs returns how often the ledger ran each key.
func (s *site) runs(t *testing.T) map[string]int {
	t.Helper()
	_, body, err := fasthttp.Get(nil, "http://"+s.ledgerAddress+"/stand-in/state")
	if err != nil {
		t.Fatal(err)
	}
	var state struct {
		Runs map[string]int `json:"runs"`
	}
	if err := json.Unmarshal(body, &state); err != nil {
		t.Fatal(err)
	}
	return state.Runs
}
