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
	slotEngines = 2
	slotSlots   = 2
	queries     = 8
	taggings    = 8 // at each of three entries
)

type serverState struct {
	Server, Owner, Mode string
	Used, Held, Free    int
}

type slotState struct {
	Slots    []serverState
	Requests []struct{ ID string }
}

// newSlotSite starts four entries that hand out four slots of two engines.
func newSlotSite(tb testing.TB, leases bool) *site {
	tb.Helper()
	s := newSite(tb, 4, slotEngines, 0, func(o *entry.Options, so *standin.EngineOptions) {
		o.SlotLeases = leases
		o.Timeouts.DigestInterval = entry.DefaultDigestInterval
		so.Slots, so.BatchGrowth = slotSlots, 1e-6
	})
	if leases {
		s.eventually("every owner hands out slots", func() bool { return s.granted() })
	}
	return s
}

func (s *site) states() []slotState {
	return lo.Map(s.entries, func(e *entry.Entry, _ int) slotState {
		var state slotState
		get(s.t, e, "/debug/state", &state)
		return state
	})
}

func (s *site) granted() bool {
	return lo.EveryBy(s.states(), func(state slotState) bool {
		return lo.CountBy(state.Slots, func(v serverState) bool { return v.Mode == "granted" }) == slotEngines
	})
}

// burst fills three entries with tier 4, then sends tier 1 to the fourth. It
// returns the waits of tier 1 and how many of tier 4 ended meanwhile.
func (s *site) burst() (waits []clock.Millis, ended int64) {
	var low, high sync.WaitGroup
	var done atomic.Int64
	for i := range 3 * taggings {
		low.Go(func() {
			s.ask(s.entries[1+i%3], fmt.Sprintf("tag %d [tokens=150]", i), "tagging")
			done.Add(1)
		})
	}
	s.eventually("tier 4 fills the slots and waits", func() bool {
		return lo.SumBy(s.states(), func(v slotState) int { return len(v.Requests) }) == 3*taggings
	})
	before := done.Load()
	waits = make([]clock.Millis, queries)
	for i := range queries {
		high.Go(func() {
			began := s.age()
			s.ask(s.entries[0], fmt.Sprintf("query %d [tokens=10]", i), "query")
			waits[i] = s.age() - began
		})
	}
	high.Wait()
	ended = done.Load() - before
	low.Wait()
	slices.Sort(waits)
	return waits, ended
}

func (s *site) ask(e *entry.Entry, prompt, class string) {
	r := do(s.t, http.MethodPost, "http://"+e.Address()+"/v1/chat/completions", chatBody(prompt, false), with("X-Galenaslip-Class", class))
	if r.status != http.StatusOK {
		s.t.Errorf("%s: got status %d %s, want 200", prompt, r.status, r.code())
	}
}

// Guards against tier 4 that takes slots at three entries while tier 1 waits at
// the fourth, against slots that are not given back, and against a state that
// does not show them.
func TestSlotLeasesServeTierOneOfAnotherEntry(t *testing.T) {
	s := newSlotSite(t, true)
	waits, ended := s.burst()
	if limit := int64(slotEngines * slotSlots); ended > limit {
		t.Errorf("tier 4 that ended while tier 1 waited: got %d, want at most the %d that ran before; waits %v ms", ended, limit, waits)
	}
	s.eventually("every slot is free again", func() bool {
		free, used := 0, 0
		for _, state := range s.states() {
			for _, v := range state.Slots {
				free += v.Free
				used += v.Used + v.Held
			}
		}
		return free == slotEngines*slotSlots && used == 0
	})
}

// Guards against requests that wait for an entry which has crashed and owned
// servers.
func TestSlotLeasesSurviveCrashOfOwner(t *testing.T) {
	s := newSlotSite(t, true)
	owner := s.states()[0].Slots[0].Owner
	crashed, _ := lo.Find(s.entries, func(e *entry.Entry) bool { return s.name(e) == owner })
	s.control.set(func(f *fakeControl) { delete(f.entries, owner) })
	_ = crashed.Stop(expired())
	s.entries = lo.Without(s.entries, crashed)
	var requests sync.WaitGroup
	for i := range 12 {
		requests.Go(func() { s.ask(s.entries[i%3], fmt.Sprintf("query %d [tokens=10]", i), "query") })
	}
	requests.Wait()
}

func (s *site) name(e *entry.Entry) string {
	var state struct{ Name string }
	get(s.t, e, "/debug/state", &state)
	return state.Name
}

// BenchmarkSlotLeases measures the wait and answer of tier 1 at one entry while
// tier 4 waits at three others; run it with -benchtime 5x.
func BenchmarkSlotLeases(b *testing.B) {
	for _, leases := range []bool{false, true} {
		b.Run(fmt.Sprintf("leases=%t", leases), func(b *testing.B) {
			var all []clock.Millis
			passed := int64(0)
			for range b.N {
				waits, ended := newSlotSite(b, leases).burst()
				all = append(all, waits...)
				passed += ended
			}
			slices.Sort(all)
			b.ReportMetric(float64(lo.Sum(all))/float64(len(all)), "ms-mean")
			b.ReportMetric(float64(all[len(all)/2]), "ms-p50")
			b.ReportMetric(float64(all[len(all)-1]), "ms-max")
			b.ReportMetric(float64(passed)/float64(b.N), "tier4-ended")
			b.ReportMetric(0, "ns/op")
		})
	}
}
