package entry_test

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/standin"
)

// Guards against a non-idempotent call that runs twice or is reported with the wrong
// outcome when callers repeat it at several entries while services fail and replies of
// the control group are lost.
func TestRandomOnceOnly(t *testing.T) {
	t.Parallel()
	const seed, keys, repeats, faults = 2, 50, 4, 60
	s := newSite(t, 3, 0, 3, func(o *entry.Options, _ *standin.EngineOptions) { o.Timeouts.Call = 400 * clock.Millisecond })
	random := rand.New(rand.NewPCG(seed, seed))
	names := make([]string, keys)
	replies := make([][]reply, keys)
	var posts sync.WaitGroup
	for i := range names {
		names[i] = newKey()
		replies[i] = make([]reply, repeats)
		entries, pauses := random.Perm(repeats), random.Perm(repeats)
		posts.Go(func() {
			var repetitions sync.WaitGroup
			for j := range repeats {
				repetitions.Go(func() {
					s.clock.Sleep(t.Context(), clock.Millis(20*i+100*pauses[j]))
					replies[i][j] = s.post(entries[j]%3, names[i], "42")
				})
			}
			repetitions.Wait()
		})
	}
	kinds := []standin.FaultKind{standin.CloseBefore, standin.CloseAfter, standin.NotRun, standin.Crash, standin.Silent}
	for range faults {
		v := s.services[random.IntN(len(s.services))]
		v.Fault(standin.Fault{Kind: kinds[random.IntN(len(kinds))]})
		if random.IntN(3) == 0 {
			call := []string{"acquire", "settle"}[random.IntN(2)]
			s.control.update(func(f *fakeControl) { f.lostReplies = map[string]int{call: 1} })
		}
		s.clock.Sleep(t.Context(), 30)
		v.Fault(standin.Fault{Kind: standin.Recover})
	}
	posts.Wait()
	outcomes := map[string]int{}
	for i, key := range names {
		runs := s.runs(key)
		answered, unknown := 0, 0
		for _, r := range replies[i] {
			outcomes[r.code()]++
			switch {
			case r.status == http.StatusCreated:
				answered++
			case strings.HasSuffix(r.code(), "/unknown"):
				unknown++
			case !strings.HasSuffix(r.code(), "/not_run"):
				t.Errorf("key %d: got %d %s, want an outcome", i, r.status, r.body)
			}
		}
		if runs > 1 {
			t.Errorf("key %d: ran %d times", i, runs)
		}
		if answered > 0 && runs != 1 || answered+unknown == 0 && runs != 0 {
			t.Errorf("key %d: %d answered, %d unknown and %d runs", i, answered, unknown, runs)
		}
	}
	t.Logf("seed %d: outcomes %v", seed, outcomes)
	s.eventually("every call has one recorded outcome", func() bool { return s.recordedOutcomes() == keys*repeats })
}
