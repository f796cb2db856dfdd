package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/standin"
)

// post makes a non-idempotent call at an entry.
func (s *site) post(e int, key, body string) reply {
	s.t.Helper()
	return do(s.t, http.MethodPost, s.url(e, "/v1/services/ledger/postings"), []byte(body), withHeader("Idempotency-Key", key))
}

// runs returns how often the services have run the calls with a key.
func (s *site) runs(key string) int {
	sum := 0
	for _, v := range s.services {
		sum += v.State().Runs[key]
	}
	return sum
}

// Guards against a non-idempotent call that runs twice, and against the outcome not_run
// for a call that ran.
func TestOnceOnlyFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		fault  standin.FaultKind
		status int
		code   string
		runs   int
		// repeatStatus and repeatRuns are expected once the call was repeated with the
		// same key.
		repeatStatus int
		repeatRuns   int
	}{
		{name: "no fault", status: 201, code: "/", runs: 1, repeatStatus: 201, repeatRuns: 1},
		{name: "closed before it ran", fault: standin.CloseBefore, status: 502, code: "backend_lost/unknown", repeatStatus: 502},
		{name: "closed before the first byte of the answer", fault: standin.CloseAfter, status: 502, code: "backend_lost/unknown", runs: 1, repeatStatus: 502, repeatRuns: 1},
		{name: "server reports that the call has not run", fault: standin.NotRun, status: 503, code: "backend_refused/not_run", repeatStatus: 201, repeatRuns: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2, 0, 2)
			for _, v := range s.services {
				v.Fault(standin.Fault{Kind: tt.fault})
			}
			key := newKey()
			got := s.post(0, key, "42")
			if got.status != tt.status || got.code() != tt.code || s.runs(key) != tt.runs {
				t.Errorf("got %d %s and %d runs, want %d %s and %d", got.status, got.code(), s.runs(key), tt.status, tt.code, tt.runs)
			}
			for _, v := range s.services {
				v.Fault(standin.Fault{Kind: standin.Recover})
			}
			again := s.post(1, key, "42")
			if again.status != tt.repeatStatus || s.runs(key) != tt.repeatRuns {
				t.Errorf("repetition: got %d and %d runs, want %d and %d", again.status, s.runs(key), tt.repeatStatus, tt.repeatRuns)
			}
			if tt.status == 201 && !bytes.Equal(again.body, got.body) {
				t.Errorf("recorded answer: got %s, want %s", again.body, got.body)
			}
			if other := s.post(1, key, "43"); other.status != http.StatusConflict {
				t.Errorf("another body: got %d, want 409", other.status)
			}
		})
	}
}

// Guards against the outcome not_run for a call that ran and whose answer the caller did
// not get. It could be reported when the repetition is refused before the entry knows
// the state of the key.
func TestOnceOnlyRefusedRepetition(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		refuse func(s *site)
		want   string
	}{
		{name: "control refuses the claim", refuse: func(s *site) {
			s.control.update(func(f *fakeControl) { f.claimsDown = true })
		}, want: "control_unavailable/unknown"},
		{name: "the answer of control is lost", refuse: func(s *site) {
			s.control.update(func(f *fakeControl) { f.lostReplies = map[string]int{"acquire": 1} })
		}, want: "control_unavailable/unknown"},
		{name: "no lease", refuse: func(s *site) {
			s.control.update(func(f *fakeControl) { f.down = true })
			s.eventually("the lease has lapsed", func() bool { return !s.answersOK(0, "/readyz") })
		}, want: "configuration_lease_lapsed/unknown"},
		{name: "no server", refuse: func(s *site) {
			_ = s.services[0].Stop(context.Background())
			s.eventually("no server is left", func() bool { return s.usableServers(0) == 1 })
		}, want: "/"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2, 1, 1)
			key := newKey()
			if got := s.post(0, key, "42"); got.status != http.StatusCreated {
				t.Fatalf("first: got %d %s, want 201", got.status, got.code())
			}
			tt.refuse(s)
			got := s.post(0, key, "42")
			if got.code() != tt.want {
				t.Errorf("repetition: got %d %s, want %s", got.status, got.code(), tt.want)
			}
			lookup := do(t, http.MethodGet, s.url(0, "/v1/calls/"+key), nil)
			for what, r := range map[string]reply{"repetition": got, "lookup": lookup} {
				if strings.HasSuffix(r.code(), "/not_run") && s.runs(key) > 0 {
					t.Errorf("%s: got %s for a call that ran %d times", what, r.code(), s.runs(key))
				}
			}
			s.control.update(func(f *fakeControl) { f.claimsDown, f.down = false, false })
			s.eventually("the recorded answer is returned", func() bool { return s.post(1, key, "42").status == http.StatusCreated })
			if got := s.runs(key); got != 1 {
				t.Errorf("runs: got %d, want 1", got)
			}
		})
	}
}

// Guards against the outcome not_run for a call that ran, when its repetition is refused
// because the entry is stopping.
func TestOnceOnlyRefusedWhileStopping(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 0, 1)
	key := newKey()
	if got := s.post(0, key, "42"); got.status != http.StatusCreated {
		t.Fatalf("first: got %d %s, want 201", got.status, got.code())
	}
	r := request(t, http.MethodPost, s.url(0, "/v1/services/ledger/postings"), []byte("42"), withHeader("Idempotency-Key", key))
	var whole bytes.Buffer
	if err := r.Write(&whole); err != nil {
		t.Fatal(err)
	}
	// The last byte is sent after the listener was closed, so that the request is
	// complete only once the entry refuses new work.
	c, err := net.Dial("tcp", s.entries[0].Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write(whole.Next(whole.Len() - 1)); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.entries[0].Stop(t.Context()) }()
	s.eventually("the listener is closed", func() bool {
		other, err := net.Dial("tcp", s.entries[0].Address())
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	})
	if _, err := c.Write(whole.Bytes()); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, _ := io.ReadAll(answer.Body)
	if got := (reply{status: answer.StatusCode, body: body}); got.status != http.StatusBadGateway || got.code() != "stopping/unknown" || s.runs(key) != 1 {
		t.Errorf("got %d %s and %d runs, want 502 stopping/unknown and one", got.status, got.code(), s.runs(key))
	}
}

// Guards against concurrent calls with one key that run more than once.
func TestOnceOnlyRace(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2, 0, 2)
	key := newKey()
	var posts sync.WaitGroup
	statuses := make([]int, 16)
	for i := range statuses {
		posts.Go(func() { statuses[i] = s.post(i%2, key, "42").status })
	}
	posts.Wait()
	for _, got := range statuses {
		if got != http.StatusCreated && got != http.StatusTooEarly {
			t.Errorf("status: got %d, want 201 or 425", got)
		}
	}
	if got := s.runs(key); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
	var call struct{ State string }
	getJSON(t, s.entries[0], "/v1/calls/"+key, &call)
	if call.State != "answered" {
		t.Errorf("recorded state: got %q, want answered", call.State)
	}
}

// Guards against a call that is sent to the server although the lease expired while the
// claim was being marked as sent.
func TestOnceOnlyLeaseEndsBeforeWrite(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 0, 1)
	lapse := func() {
		s.control.update(func(f *fakeControl) { f.down = true })
		s.eventually("the lease has lapsed", func() bool { return !s.answersOK(0, "/readyz") })
	}
	s.control.update(func(f *fakeControl) { f.afterSend = lapse })
	key := newKey()
	got := s.post(0, key, "42")
	if got.status != http.StatusServiceUnavailable || got.code() != "configuration_lease_lapsed/not_run" || s.runs(key) != 0 {
		t.Errorf("got %d %s and %d runs, want 503 not run and none", got.status, got.code(), s.runs(key))
	}
	s.control.update(func(f *fakeControl) { f.afterSend, f.down = nil, false })
	s.eventually("the repetition is answered", func() bool { return s.post(0, key, "42").status == http.StatusCreated })
	if got := s.runs(key); got != 1 {
		t.Errorf("after the repetition: got %d runs, want one", got)
	}
}

// Guards against a key that stays in progress for ever, and against an answer that the
// caller does not get or that is never recorded, when replies of the control group are
// lost.
func TestOnceOnlyControlAnswersLost(t *testing.T) {
	t.Parallel()
	tests := []struct {
		call   string
		status int
		runs   int
	}{
		{call: "acquire", status: http.StatusBadGateway},
		{call: "settle", status: http.StatusCreated, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.call, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2, 0, 1)
			s.control.update(func(f *fakeControl) { f.lostReplies = map[string]int{tt.call: 1} })
			key := newKey()
			if got := s.post(0, key, "42"); got.status != tt.status || s.runs(key) != tt.runs {
				t.Errorf("got %d %s and %d runs, want %d and %d", got.status, got.code(), s.runs(key), tt.status, tt.runs)
			}
			s.eventually("the repetition is answered", func() bool { return s.post(1, key, "42").status == http.StatusCreated })
			if got := s.runs(key); got != 1 {
				t.Errorf("runs: got %d, want 1", got)
			}
		})
	}
}

// Guards against an idempotent call that fails with its server although another server
// could answer it, and against answers that are changed on the way.
func TestIdempotentCalls(t *testing.T) {
	t.Parallel()
	tests := []struct {
		method string
		fault  standin.FaultKind
		status int
	}{
		{method: http.MethodGet, status: http.StatusOK},
		{method: http.MethodGet, fault: standin.CloseBefore, status: http.StatusOK},
		{method: http.MethodGet, fault: standin.NotRun, status: http.StatusOK},
		{method: http.MethodGet, fault: standin.Crash, status: http.StatusOK},
		{method: http.MethodPut, fault: standin.CloseAfter, status: http.StatusCreated},
		{method: http.MethodHead, fault: standin.CloseBefore, status: http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.method+" "+string(tt.fault), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 0, 2)
			s.services[0].Fault(standin.Fault{Kind: tt.fault})
			for range 3 {
				got := do(t, tt.method, s.url(0, "/v1/services/ledger/treaties/7"), []byte("x"))
				if got.status != tt.status {
					t.Errorf("got %d %s, want %d", got.status, got.body, tt.status)
				}
				if tt.method == http.MethodGet && !bytes.Contains(got.body, []byte(`"/treaties/7"`)) {
					t.Errorf("got %s, want the path in the answer", got.body)
				}
			}
		})
	}
}
