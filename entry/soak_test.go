package entry_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/standin"
)

// Guards against answers that change, end early without an error or never end when
// several engines fail in several ways at the same time.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	const seed, streams, faults = 1, 60, 12
	s := newSite(t, 2, 4, 0, func(o *entry.Options, engineOptions *standin.EngineOptions) {
		o.Timeouts.ReadTimeout, o.Timeouts.Resume = 600*clock.Millisecond, 300*clock.Millisecond
		engineOptions.Slots = 8
	})
	var running sync.WaitGroup
	results := make([]transcript, streams)
	prompts := make([]string, streams)
	for i := range streams {
		prompts[i] = fmt.Sprintf("%d %s", i, longPrompt(50+i*7))
		tier := []string{"query", "digest", "tagging"}[i%3]
		running.Go(func() {
			r, err := http.DefaultClient.Do(request(t, http.MethodPost, s.url(i%2, "/v1/chat/completions"),
				chatBody(prompts[i], true), withHeader("X-Galenaslip-Class", tier)))
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = r.Body.Close() }()
			if r.StatusCode == http.StatusOK {
				readStream(t, r.Body, &results[i], readToEnd)
				return
			}
			body, _ := io.ReadAll(r.Body)
			results[i].problem = reply{body: body}.code()
		})
	}
	random := rand.New(rand.NewPCG(seed, seed))
	for range faults {
		e := s.engines[random.IntN(len(s.engines))]
		kind := []standin.FaultKind{standin.Crash, standin.Silent, standin.Stall, standin.Slow}[random.IntN(4)]
		e.Fault(standin.Fault{Kind: kind, Factor: 5})
		s.clock.Sleep(t.Context(), 150)
		e.Fault(standin.Fault{Kind: standin.Recover})
	}
	running.Wait()
	whole, delivered := 0, 0
	for i := range results {
		want := strings.Join(standin.AnswerTokens(testModel, prompts[i]), "")
		switch got := &results[i]; {
		case got.done && got.problem == "" && got.Text() == want:
			whole++
		case got.done || !strings.Contains(got.problem, "unknown") || !strings.HasPrefix(want, got.Text()):
			t.Errorf("stream %d: got done %v, problem %q and %d tokens, want the answer or a prefix with an error",
				i, got.done, got.problem, got.Position())
		}
		delivered += results[i].Position()
	}
	t.Logf("seed %d: %d of %d whole, %d tokens delivered, %d generated", seed, whole, streams, delivered, s.generatedTokens())
	s.eventually("every request has one recorded outcome", func() bool { return s.recordedOutcomes() == streams })
	s.eventually("no request runs", func() bool {
		left := 0
		for _, e := range s.engines {
			left += e.State().Running
		}
		return left == 0 && s.state(0).waiting()+s.state(1).waiting() == 0
	})
}

// recordedOutcomes returns the number of outcomes that all entries have recorded.
func (s *site) recordedOutcomes() int {
	sum := 0
	for _, e := range s.entries {
		var w struct {
			Attainment struct{ Classes []struct{ Requests int } }
		}
		getJSON(s.t, e, "/debug/state", &w)
		for _, c := range w.Attainment.Classes {
			sum += c.Requests
		}
	}
	return sum
}
