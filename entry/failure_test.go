package entry_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/standin"
)

// engineRunning returns the engine that got a request.
func (s *site) engineRunning(id string) *standin.Engine {
	s.t.Helper()
	for _, e := range s.engines {
		if e.State().TokensByRequest[id] > 0 {
			return e
		}
	}
	s.t.Fatalf("no engine runs %s", id)
	return nil
}

// generatedTokens returns the number of tokens that all engines have generated.
func (s *site) generatedTokens() int {
	sum := 0
	for _, e := range s.engines {
		sum += e.State().GeneratedTokens
	}
	return sum
}

// longPrompt returns a prompt that stand-in engines answer with this number of tokens.
func longPrompt(tokens int) string {
	return fmt.Sprintf("Review the netlist. [tokens=%d]", tokens)
}

// Guards against a stream that breaks off, or whose bytes are repeated or changed,
// when its engine fails in the middle of the answer.
func TestContinuation(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// fault makes the engine that runs the stream fail.
		fault func(s *site, e *standin.Engine)
		// maxRepeated is the largest number of tokens that may be generated twice.
		maxRepeated int
		// resumeTimeout is the time that an engine has to answer a resume.
		resumeTimeout clock.Millis
	}{
		{name: "crash", fault: func(_ *site, e *standin.Engine) { e.Fault(standin.Fault{Kind: standin.Crash}) }, maxRepeated: 300},
		{name: "silent engine", fault: func(_ *site, e *standin.Engine) { e.Fault(standin.Fault{Kind: standin.Silent}) }, maxRepeated: 300},
		{name: "silent connection", fault: func(_ *site, e *standin.Engine) { e.Fault(standin.Fault{Kind: standin.Stall}) }, resumeTimeout: 10 * clock.Second},
		{name: "planned stop near its deadline", fault: func(s *site, e *standin.Engine) { s.planServerStop(e, 2*clock.Second) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 2, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.Resume = tt.resumeTimeout })
			prompt := longPrompt(300)
			r := s.openStream(prompt, withHeader("X-Request-Id", "r-1"))
			var tr transcript
			readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 20 })
			tt.fault(s, s.engineRunning("r-1"))
			readStream(t, r.Body, &tr, readToEnd)
			tr.expectAnswer(t, prompt)
			if got := s.generatedTokens(); got > 300+tt.maxRepeated {
				t.Errorf("tokens generated: got %d, want at most %d", got, 300+tt.maxRepeated)
			}
		})
	}
}

// Guards against a crashed server that attracts requests: its slots look free, and
// its last announcement stays valid for 3 s.
func TestUnreachableServerGetsNoWork(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 2, 0)
	s.engines[0].Fault(standin.Fault{Kind: standin.Crash})
	began := s.elapsed()
	for i := 0; s.elapsed() < began+2500*clock.Millisecond; i++ {
		got := do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody(fmt.Sprintf("x %d [tokens=2]", i), false))
		if got.status != http.StatusOK {
			t.Fatalf("got %d %s, want 200", got.status, got.code())
		}
	}
	if got := s.retriedAttempts(); got > 1 {
		t.Errorf("attempts at the crashed engine: got %d, want at most 1", got)
	}
	s.engines[0].Fault(standin.Fault{Kind: standin.Recover})
	s.eventually("the engine is in use again", func() bool { return s.usableServers(0) == 2 })
}

// retriedAttempts returns the number of failed attempts after which the first entry
// tried the request again.
func (s *site) retriedAttempts() int {
	s.t.Helper()
	r := do(s.t, http.MethodGet, s.url(0, "/metrics"), nil)
	for line := range strings.Lines(string(r.body)) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && strings.HasSuffix(name, "continued_total") {
			n, err := strconv.Atoi(value)
			if err != nil {
				s.t.Fatal(err)
			}
			return n
		}
	}
	s.t.Fatal("the metrics have no continued_total counter")
	return 0
}

// planServerStop configures a planned stop of an engine.
func (s *site) planServerStop(e *standin.Engine, grace clock.Millis) {
	for i, other := range s.engines {
		if other == e {
			s.configurePlannedStop(configuration.StopServer, fmt.Sprintf("engine-%d", i), grace)
		}
	}
}

// configurePlannedStop adds a planned stop to the configuration.
func (s *site) configurePlannedStop(kind configuration.StopKind, name string, grace clock.Millis) {
	s.t.Helper()
	stop, err := configuration.NewStop("stop-1", kind, name, grace)
	if err != nil {
		s.t.Fatal(err)
	}
	s.control.update(func(f *fakeControl) {
		f.configuration = f.configuration.WithStop(stop).WithRevision(f.configuration.Revision() + 1)
	})
}

// Guards against a stream being interrupted because its server stops soon, although
// there is no other server on which it could continue.
func TestStopOfTheOnlyServer(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0)
	prompt := longPrompt(600)
	r := s.openStream(prompt)
	var tr transcript
	readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 5 })
	s.planServerStop(s.engines[0], clock.Second)
	readStream(t, r.Body, &tr, readToEnd)
	tr.expectAnswer(t, prompt)
	if got := s.engines[0].State().StartsByRequest; len(got) != 1 || s.usableServers(0) != 0 {
		t.Errorf("got starts %v and %d usable servers, want one start and none", got, s.usableServers(0))
	}
}

// Guards against an incomplete answer that looks complete, and against the outcome
// not_run although tokens were delivered.
func TestNoEngineLeft(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.NoServer = 200 * clock.Millisecond })
	r := s.openStream(longPrompt(500))
	var tr transcript
	readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 20 })
	s.engines[0].Fault(standin.Fault{Kind: standin.Crash})
	readStream(t, r.Body, &tr, readToEnd)
	if tr.done || !strings.Contains(tr.problem, `"outcome":"unknown"`) {
		t.Errorf("got done %v and %q, want an error event with outcome unknown", tr.done, tr.problem)
	}
}

// Guards against a request that continues after its caller has disconnected, whether
// it waits in the queue, is streamed or is answered as a whole.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0, func(_ *entry.Options, o *standin.EngineOptions) { o.Slots = 2 })
	streamed := s.openStream(longPrompt(50_000))
	var tr transcript
	readStream(t, streamed.Body, &tr, func() bool { return tr.Position() >= 5 })
	whole := s.sendWithoutReading(0, longPrompt(50_001), false)
	s.eventually("both requests run", func() bool { return s.engines[0].State().Running == 2 })
	waiting := s.sendWithoutReading(0, longPrompt(50_002), true)
	s.eventually("one request waits", func() bool { return s.state(0).waiting() == 1 })
	_ = waiting.Close()
	s.eventually("no request waits", func() bool { return s.state(0).waiting() == 0 })
	_ = streamed.Body.Close()
	_ = whole.Close()
	s.eventually("no request runs", func() bool { return s.engines[0].State().Running == 0 })
	if got := len(s.engines[0].State().StartsByRequest); got != 2 {
		t.Errorf("requests at the engine: got %d, want 2", got)
	}
}

// sendWithoutReading sends a chat request on a new connection and does not read the
// answer.
func (s *site) sendWithoutReading(e int, prompt string, streamed bool) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.entries[e].Address())
	if err != nil {
		s.t.Fatal(err)
	}
	r := request(s.t, http.MethodPost, s.url(e, "/v1/chat/completions"), chatBody(prompt, streamed))
	if err := r.Write(c); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// entryState is a part of an entry's /debug/state.
type entryState struct {
	Pools []struct{ Waiting, Running int }
}

// state returns the state of an entry.
func (s *site) state(e int) entryState {
	var w entryState
	getJSON(s.t, s.entries[e], "/debug/state", &w)
	return w
}

// waiting returns the number of waiting requests in all pools.
func (w entryState) waiting() int {
	sum := 0
	for _, p := range w.Pools {
		sum += p.Waiting
	}
	return sum
}

// Guards against a stream that cannot be resumed after its entry was lost, although the
// engine still has it, also where there are many engines, and against an entry that cancels a stream which another entry
// has taken over.
func TestResumeElsewhere(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		at     int // index of the entry at which the stream is resumed
		crash  bool
		digest clock.Millis
		others int // engines that do not have the stream
	}{
		{name: "same entry", at: 0, digest: 50},
		{name: "other entry", at: 1, digest: 50},
		{name: "other entry after a crash", at: 1, crash: true, digest: 50},
		{name: "other entry after a crash before the first digest", at: 1, crash: true, digest: clock.Hour},
		{name: "other entry after a crash before the first digest, many engines", at: 1, crash: true, digest: clock.Hour, others: 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2, 1, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.DigestInterval = tt.digest })
			prompt := longPrompt(900)
			r := s.openStream(prompt, withHeader("X-Request-Id", "r-1"))
			var tr transcript
			readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 50 })
			for i := range tt.others {
				s.addEngine(fmt.Sprintf("another-engine-%d", i), s.engineOptions)
			}
			if tt.others > 0 {
				s.eventually("the other entry knows many engines", func() bool { return s.usableServers(1) > 70 })
			}
			if tt.digest < clock.Hour {
				s.eventually("the other entry knows the stream", func() bool { return s.peerStreams(1) == 1 })
			}
			if tt.crash {
				go func() { _ = s.entries[0].Stop(expiredContext()) }()
			}
			_ = r.Body.Close()
			r, err := http.Get(s.url(tt.at, fmt.Sprintf("/v1/streams/r-1?position=%d", tr.Position())))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = r.Body.Close() }()
			if r.StatusCode != http.StatusOK {
				t.Fatalf("resume: got status %d, want 200", r.StatusCode)
			}
			readStream(t, r.Body, &tr, readToEnd)
			tr.expectAnswer(t, prompt)
			if got := s.generatedTokens(); got != 900 {
				t.Errorf("tokens generated: got %d, want 900", got)
			}
		})
	}
}

// peerStreams returns the number of streams at other entries that an entry knows.
func (s *site) peerStreams(e int) int {
	var w struct{ Peers []struct{ Streams int } }
	getJSON(s.t, s.entries[e], "/debug/state", &w)
	sum := 0
	for _, p := range w.Peers {
		sum += p.Streams
	}
	return sum
}

// Guards against a request of a lower tier that keeps its slot while one of a higher
// tier waits, and against tokens that are lost or changed by the preemption.
func TestPreemption(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0, func(_ *entry.Options, o *standin.EngineOptions) { o.Slots = 1 })
	low, high := longPrompt(800), longPrompt(30)
	lowResponse := s.openStream(low, withHeader("X-Galenaslip-Class", "tagging"))
	var tr transcript
	readStream(t, lowResponse.Body, &tr, func() bool { return tr.Position() >= 20 })
	var urgent transcript
	readStream(t, s.openStream(high).Body, &urgent, readToEnd)
	urgent.expectAnswer(t, high)
	if got := s.generatedTokens(); got >= 830 {
		t.Errorf("tokens generated when the urgent answer was complete: got %d, want less than 830", got)
	}
	readStream(t, lowResponse.Body, &tr, readToEnd)
	tr.expectAnswer(t, low)
	if got := s.generatedTokens(); got != 830 {
		t.Errorf("tokens generated: got %d, want 830", got)
	}
}

// Guards against a planned stop that interrupts running requests, and against new
// requests at a server that is stopping.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	t.Run("server", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, 1, 2, 0)
		prompt := longPrompt(400)
		r := s.openStream(prompt, withHeader("X-Request-Id", "r-1"))
		var tr transcript
		readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 5 })
		leaving := s.engineRunning("r-1")
		stopped := make(chan error, 1)
		go func() { stopped <- leaving.Stop(t.Context()) }()
		s.eventually("the server is out of use", func() bool { return s.usableServers(0) == 1 })
		for range 10 {
			do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody("x [tokens=2]", false))
		}
		readStream(t, r.Body, &tr, readToEnd)
		tr.expectAnswer(t, prompt)
		if err := <-stopped; err != nil || len(leaving.State().StartsByRequest) != 1 {
			t.Errorf("got %v and %v, want no error and one request", err, leaving.State().StartsByRequest)
		}
	})
	t.Run("entry", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, 1, 1, 0)
		prompt := longPrompt(400)
		r := s.openStream(prompt)
		var tr transcript
		readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 5 })
		s.configurePlannedStop(configuration.StopEntry, "entry-0", 0)
		s.eventually("readiness fails", func() bool { return !s.answersOK(0, "/readyz") })
		readStream(t, r.Body, &tr, readToEnd)
		tr.expectAnswer(t, prompt)
		<-s.entries[0].Stopped()
	})
}

// Guards against requests that an entry accepts until the end of a planned stop, which then cuts them,
// because the stop is shorter than the time for the load balancer.
func TestShortPlannedStopRefusesInTime(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.StopWait = clock.Minute })
	s.configurePlannedStop(configuration.StopEntry, "entry-0", 4*clock.Second)
	var callers sync.WaitGroup
	for number := 0; ; number++ {
		callers.Go(func() {
			r, err := http.DefaultClient.Do(request(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody(longPrompt(50), false)))
			if errors.Is(err, syscall.ECONNREFUSED) {
				return // nothing was sent
			}
			if err != nil {
				t.Errorf("request %d: got %v, want an answer or a refusal", number, err)
				return
			}
			_ = r.Body.Close()
			if r.StatusCode != http.StatusOK && r.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("request %d: got status %d, want 200 or 503", number, r.StatusCode)
			}
		})
		s.clock.Sleep(t.Context(), 20)
		select {
		case <-s.entries[0].Stopped():
			callers.Wait()
			return
		default:
		}
	}
}

// answersOK reports whether an entry answers a path with status 200.
func (s *site) answersOK(e int, path string) bool {
	r, err := http.Get(s.url(e, path))
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// usableServers returns the number of servers that an entry can use.
func (s *site) usableServers(entry int) int {
	var w struct{ Servers []struct{ Usable bool } }
	getJSON(s.t, s.entries[entry], "/debug/state", &w)
	n := 0
	for _, v := range w.Servers {
		if v.Usable {
			n++
		}
	}
	return n
}
