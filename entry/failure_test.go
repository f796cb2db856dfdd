package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/standin"
)

// runsOn returns the engine that runs a request.
func (s *site) runsOn(id string) *standin.Engine {
	s.t.Helper()
	for _, e := range s.engines {
		if e.State().ByRequest[id] > 0 {
			return e
		}
	}
	s.t.Fatalf("no engine runs %s", id)
	return nil
}

func (s *site) generated() int {
	sum := 0
	for _, e := range s.engines {
		sum += e.State().Generated
	}
	return sum
}

func longPrompt(tokens int) string {
	return fmt.Sprintf("Review the netlist. [tokens=%d]", tokens)
}

// Guards against a stream that ends, repeats or changes bytes when its engine
// fails in the middle.
func TestContinuation(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// fault happens to the engine that runs the stream.
		fault func(s *site, e *standin.Engine)
		// extra bounds the tokens that may be generated twice.
		extra int
		// resume is the time that an engine has to answer a resume.
		resume clock.Millis
	}{
		{name: "crash", fault: func(_ *site, e *standin.Engine) { e.Fault(standin.Fault{Kind: standin.Crash}) }, extra: 300},
		{name: "silent engine", fault: func(_ *site, e *standin.Engine) { e.Fault(standin.Fault{Kind: standin.Silent}) }, extra: 300},
		{name: "silent connection", fault: func(_ *site, e *standin.Engine) { e.Fault(standin.Fault{Kind: standin.Stall}) }, resume: 10 * clock.Second},
		{name: "planned stop near its deadline", fault: func(s *site, e *standin.Engine) { s.stopServer(e, 2*clock.Second) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1, 2, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.Resume = tt.resume })
			prompt := longPrompt(300)
			r := s.open(prompt, with("X-Request-Id", "r-1"))
			var tr transcript
			readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 20 })
			tt.fault(s, s.runsOn("r-1"))
			readStream(t, r.Body, &tr, never)
			tr.expect(t, prompt)
			if got := s.generated(); got > 300+tt.extra {
				t.Errorf("tokens generated: got %d, want at most %d", got, 300+tt.extra)
			}
		})
	}
}

// Guards against a server that refuses connections and attracts work, because its
// slots look free, until its last announcement is 3 s old.
func TestUnreachableServerGetsNoWork(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 2, 0)
	s.engines[0].Fault(standin.Fault{Kind: standin.Crash})
	began := s.age()
	for i := 0; s.age() < began+2500*clock.Millisecond; i++ {
		got := do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody(fmt.Sprintf("x %d [tokens=2]", i), false))
		if got.status != http.StatusOK {
			t.Fatalf("got %d %s, want 200", got.status, got.code())
		}
	}
	if got := s.continued(); got > 1 {
		t.Errorf("attempts at the crashed engine: got %d, want at most 1", got)
	}
	s.engines[0].Fault(standin.Fault{Kind: standin.Recover})
	s.eventually("the engine is in use again", func() bool { return s.usable() == 2 })
}

// continued returns the attempts that failed and were repeated.
func (s *site) continued() int {
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
	s.t.Fatal("the metrics hold no count of repeated attempts")
	return 0
}

// stopServer announces a planned stop of an engine.
func (s *site) stopServer(e *standin.Engine, grace clock.Millis) {
	for i, other := range s.engines {
		if other == e {
			s.announceStop(configuration.StopServer, fmt.Sprintf("engine-%d", i), grace)
		}
	}
}

func (s *site) announceStop(kind configuration.StopKind, name string, grace clock.Millis) {
	s.t.Helper()
	stop, err := configuration.NewStop("stop-1", kind, name, grace)
	if err != nil {
		s.t.Fatal(err)
	}
	s.control.set(func(f *fakeControl) {
		f.configuration = f.configuration.WithStop(stop).WithRevision(f.configuration.Revision() + 1)
	})
}

// Guards against a stream that is interrupted for the server that it runs on, when
// that server is the only one and stops soon.
func TestStopOfTheOnlyServer(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0)
	prompt := longPrompt(600)
	r := s.open(prompt)
	var tr transcript
	readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 5 })
	s.stopServer(s.engines[0], clock.Second)
	readStream(t, r.Body, &tr, never)
	tr.expect(t, prompt)
	if got := s.engines[0].State().Starts; len(got) != 1 || s.usable() != 0 {
		t.Errorf("got starts %v and %d usable servers, want one start and none", got, s.usable())
	}
}

// Guards against an incomplete answer that looks complete, and against a work
// that is reported as not run although tokens were delivered.
func TestNoEngineLeft(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.NoServer = 200 * clock.Millisecond })
	r := s.open(longPrompt(500))
	var tr transcript
	readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 20 })
	s.engines[0].Fault(standin.Fault{Kind: standin.Crash})
	readStream(t, r.Body, &tr, never)
	if tr.done || !strings.Contains(tr.problem, `"outcome":"unknown"`) {
		t.Errorf("got done %v and %q, want an error event with outcome unknown", tr.done, tr.problem)
	}
}

// Guards against work that goes on at the engine after its caller has gone,
// while it waits, streams or is answered as a whole.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0, func(_ *entry.Options, o *standin.EngineOptions) { o.Slots = 2 })
	streamed := s.open(longPrompt(50_000))
	var tr transcript
	readStream(t, streamed.Body, &tr, func() bool { return tr.Position() >= 5 })
	whole := s.dial(0, longPrompt(50_001), false)
	s.eventually("both run", func() bool { return s.engines[0].State().Running == 2 })
	waiting := s.dial(0, longPrompt(50_002), true)
	s.eventually("one waits", func() bool { return s.state(0).waiting() == 1 })
	_ = waiting.Close()
	s.eventually("nothing waits", func() bool { return s.state(0).waiting() == 0 })
	_ = streamed.Body.Close()
	_ = whole.Close()
	s.eventually("nothing runs", func() bool { return s.engines[0].State().Running == 0 })
	if got := len(s.engines[0].State().Starts); got != 2 {
		t.Errorf("requests at the engine: got %d, want 2", got)
	}
}

// dial sends a chat request and leaves the answer unread.
func (s *site) dial(e int, prompt string, streamed bool) net.Conn {
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

type siteState struct {
	Pools []struct{ Waiting, Running int }
}

func (s *site) state(e int) siteState {
	var w siteState
	get(s.t, s.entries[e], "/debug/state", &w)
	return w
}

func (w siteState) waiting() int {
	sum := 0
	for _, p := range w.Pools {
		sum += p.Waiting
	}
	return sum
}

// Guards against a stream that is lost with its entry although the engine still
// holds it, and against an entry that cancels a stream which another took over.
func TestResumeElsewhere(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		at     int // the entry where the stream is resumed
		crash  bool
		digest clock.Millis
	}{
		{name: "same entry", at: 0, digest: 50},
		{name: "other entry", at: 1, digest: 50},
		{name: "other entry after a crash", at: 1, crash: true, digest: 50},
		{name: "other entry after a crash before the first digest", at: 1, crash: true, digest: clock.Hour},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2, 1, 0, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.DigestInterval = tt.digest })
			prompt := longPrompt(900)
			r := s.open(prompt, with("X-Request-Id", "r-1"))
			var tr transcript
			readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 50 })
			if tt.digest < clock.Hour {
				s.eventually("the other entry knows the stream", func() bool { return s.peerStreams(1) == 1 })
			}
			if tt.crash {
				go func() { _ = s.entries[0].Stop(expired()) }()
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
			readStream(t, r.Body, &tr, never)
			tr.expect(t, prompt)
			if got := s.generated(); got != 900 {
				t.Errorf("tokens generated: got %d, want 900", got)
			}
		})
	}
}

func (s *site) peerStreams(e int) int {
	var w struct{ Peers []struct{ Streams int } }
	get(s.t, s.entries[e], "/debug/state", &w)
	sum := 0
	for _, p := range w.Peers {
		sum += p.Streams
	}
	return sum
}

// Guards against lower-tier work that keeps a slot from higher-tier work, and
// against tokens that are lost or changed by the preemption.
func TestPreemption(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, 1, 0, func(_ *entry.Options, o *standin.EngineOptions) { o.Slots = 1 })
	low, high := longPrompt(800), longPrompt(30)
	r := s.open(low, with("X-Galenaslip-Class", "tagging"))
	var tr transcript
	readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 20 })
	var urgent transcript
	readStream(t, s.open(high).Body, &urgent, never)
	urgent.expect(t, high)
	if got := s.generated(); got >= 830 {
		t.Errorf("tokens generated when the urgent answer was complete: got %d, want less than 830", got)
	}
	readStream(t, r.Body, &tr, never)
	tr.expect(t, low)
	if got := s.generated(); got != 830 {
		t.Errorf("tokens generated: got %d, want 830", got)
	}
}

// Guards against a planned stop that interrupts running work, and against new
// work at a server that leaves.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	t.Run("server", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, 1, 2, 0)
		prompt := longPrompt(400)
		r := s.open(prompt, with("X-Request-Id", "r-1"))
		var tr transcript
		readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 5 })
		leaving := s.runsOn("r-1")
		stopped := make(chan error, 1)
		go func() { stopped <- leaving.Stop(t.Context()) }()
		s.eventually("the server is out of use", func() bool { return s.usable() == 1 })
		for range 10 {
			do(t, http.MethodPost, s.url(0, "/v1/chat/completions"), chatBody("x [tokens=2]", false))
		}
		readStream(t, r.Body, &tr, never)
		tr.expect(t, prompt)
		if err := <-stopped; err != nil || len(leaving.State().Starts) != 1 {
			t.Errorf("got %v and %v, want no error and one request", err, leaving.State().Starts)
		}
	})
	t.Run("entry", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, 1, 1, 0)
		prompt := longPrompt(400)
		r := s.open(prompt)
		var tr transcript
		readStream(t, r.Body, &tr, func() bool { return tr.Position() >= 5 })
		s.announceStop(configuration.StopEntry, "entry-0", 0)
		s.eventually("readiness fails", func() bool { return !s.answers(0, "/readyz") })
		readStream(t, r.Body, &tr, never)
		tr.expect(t, prompt)
		<-s.entries[0].Stopped()
	})
}

// answers reports whether a path is answered with 200.
func (s *site) answers(e int, path string) bool {
	r, err := http.Get(s.url(e, path))
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

func (s *site) usable() int {
	var w struct{ Servers []struct{ Usable bool } }
	get(s.t, s.entries[0], "/debug/state", &w)
	n := 0
	for _, v := range w.Servers {
		if v.Usable {
			n++
		}
	}
	return n
}
