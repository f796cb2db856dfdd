package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/entry"
	"github.com/galenaslip/galenaslip/standin"
)

const (
	slotEngines    = 2
	slotsPerEngine = 2
	queryCount     = 8 // tier 1 requests at one entry
	taggingCount   = 8 // tier 4 requests at each of the three other entries
)

// serverState is the state of one server's slots in an entry's /debug/state.
type serverState struct {
	Server, Owner, Mode string
	Used, Held, Free    int
}

// slotState is the part of an entry's /debug/state that shows slots and requests.
type slotState struct {
	Slots    []serverState
	Requests []struct{ ID string }
}

// newSlotSite starts four entries and two engines with four slots in total.
func newSlotSite(tb testing.TB, leases bool) *site {
	tb.Helper()
	s := newSite(tb, 4, slotEngines, 0, func(o *entry.Options, engineOptions *standin.EngineOptions) {
		o.SlotLeases = leases
		o.Timeouts.DigestInterval = entry.DefaultDigestInterval
		engineOptions.Slots, engineOptions.StepGrowth = slotsPerEngine, 1e-6
	})
	if leases {
		s.eventually("every owner hands out slots", func() bool { return s.allServersGranted() })
	}
	return s
}

// slotStates returns the slot state of every entry.
func (s *site) slotStates() []slotState {
	return lo.Map(s.entries, func(e *entry.Entry, _ int) slotState {
		var state slotState
		getJSON(s.t, e, "/debug/state", &state)
		return state
	})
}

// allServersGranted reports whether slot leases are in use everywhere: at every entry,
// every server is in the mode in which only offers of its owner allow requests.
func (s *site) allServersGranted() bool {
	return lo.EveryBy(s.slotStates(), func(state slotState) bool {
		return lo.CountBy(state.Slots, func(v serverState) bool { return v.Mode == "granted" }) == slotEngines
	})
}

// runBurst sends many tier 4 requests to three entries and then tier 1 requests to the
// fourth. It returns the sorted response times of tier 1, and the number of tier 4
// requests that ended while tier 1 was being served.
func (s *site) runBurst() (waits []clock.Millis, ended int64) {
	var low, high sync.WaitGroup
	var done atomic.Int64
	for i := range 3 * taggingCount {
		low.Go(func() {
			s.chat(s.entries[1+i%3], fmt.Sprintf("tag %d [tokens=150]", i), "tagging")
			done.Add(1)
		})
	}
	s.eventually("tier 4 fills the slots and waits", func() bool {
		return lo.SumBy(s.slotStates(), func(v slotState) int { return len(v.Requests) }) == 3*taggingCount
	})
	before := done.Load()
	waits = make([]clock.Millis, queryCount)
	for i := range queryCount {
		high.Go(func() {
			began := s.elapsed()
			s.chat(s.entries[0], fmt.Sprintf("query %d [tokens=10]", i), "query")
			waits[i] = s.elapsed() - began
		})
	}
	high.Wait()
	ended = done.Load() - before
	low.Wait()
	slices.Sort(waits)
	return waits, ended
}

// chat sends a chat request that must succeed.
func (s *site) chat(e *entry.Entry, prompt, class string) {
	r := do(s.t, http.MethodPost, "http://"+e.Address()+"/v1/chat/completions", chatBody(prompt, false), withHeader("X-Galenaslip-Class", class))
	if r.status != http.StatusOK {
		s.t.Errorf("%s: got status %d %s, want 200", prompt, r.status, r.code())
	}
}

// Guards against tier 4 requests at three entries that get slots while tier 1 waits at
// the fourth, against slots that are not released, and against a /debug/state that does
// not show the slots.
func TestSlotLeasesServeTierOneOfAnotherEntry(t *testing.T) {
	s := newSlotSite(t, true)
	waits, endedLow := s.runBurst()
	if limit := int64(slotEngines * slotsPerEngine); endedLow > limit {
		t.Errorf("tier 4 that ended while tier 1 waited: got %d, want at most the %d that ran before; waits %v ms", endedLow, limit, waits)
	}
	s.eventually("every slot is free again", func() bool {
		free, used := 0, 0
		for _, state := range s.slotStates() {
			for _, v := range state.Slots {
				free += v.Free
				used += v.Used + v.Held
			}
		}
		return free == slotEngines*slotsPerEngine && used == 0
	})
}

// Guards against requests that wait for ever for slots whose owner entry has crashed.
func TestSlotLeasesSurviveCrashOfOwner(t *testing.T) {
	s := newSlotSite(t, true)
	owner := s.slotStates()[0].Slots[0].Owner
	crashed, _ := lo.Find(s.entries, func(e *entry.Entry) bool { return s.entryName(e) == owner })
	s.control.update(func(f *fakeControl) { delete(f.entries, owner) })
	_ = crashed.Stop(expiredContext())
	s.entries = lo.Without(s.entries, crashed)
	var requests sync.WaitGroup
	for i := range 12 {
		requests.Go(func() { s.chat(s.entries[i%3], fmt.Sprintf("query %d [tokens=10]", i), "query") })
	}
	requests.Wait()
}

// entryName returns the name of an entry.
func (s *site) entryName(e *entry.Entry) string {
	var state struct{ Name string }
	getJSON(s.t, e, "/debug/state", &state)
	return state.Name
}

// BenchmarkSlotLeases measures the response time of tier 1 at one entry while tier 4
// waits at three others. Run it with -benchtime 5x.
func BenchmarkSlotLeases(b *testing.B) {
	for _, leases := range []bool{false, true} {
		b.Run(fmt.Sprintf("leases=%t", leases), func(b *testing.B) {
			var allWaits []clock.Millis
			endedSum := int64(0)
			for range b.N {
				waits, ended := newSlotSite(b, leases).runBurst()
				allWaits = append(allWaits, waits...)
				endedSum += ended
			}
			slices.Sort(allWaits)
			b.ReportMetric(float64(lo.Sum(allWaits))/float64(len(allWaits)), "ms-mean")
			b.ReportMetric(float64(allWaits[len(allWaits)/2]), "ms-p50")
			b.ReportMetric(float64(allWaits[len(allWaits)-1]), "ms-max")
			b.ReportMetric(float64(endedSum)/float64(b.N), "tier4-ended")
			b.ReportMetric(0, "ns/op")
		})
	}
}
