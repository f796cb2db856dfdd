package entry_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/standin"
)

// limitState returns the limit of a server as an entry knows it, and the entry's part of it.
func (s *site) limitState(entry int, name string) (limit, rate float64) {
	s.t.Helper()
	var state struct {
		Servers []struct {
			Server    string
			Limit     float64
			LimitRate float64 `json:"limit_rate"`
		}
	}
	getJSON(s.t, s.entries[entry], "/debug/state", &state)
	for _, v := range state.Servers {
		if v.Server == name {
			return v.Limit, v.LimitRate
		}
	}
	return 0, 0
}

// Guards against a service that gets more calls than it has said that it takes, from several
// entries together, against a limit that only one entry knows or that is not used, and against
// refused callers who are not told when to come back.
func TestServiceLimitHolds(t *testing.T) {
	t.Parallel()
	const entries, rate = 3, 12
	s := newSite(t, entries, 0, 1)
	service := s.services[0]
	service.Fault(standin.Fault{Kind: standin.Limit, Factor: rate})
	do(t, http.MethodGet, s.url(0, lookupPath), nil)
	s.eventually("all entries know the limit and hold all of it", func() bool {
		sum := 0.0
		for i := range entries {
			limit, part := s.limitState(i, "ledger-0")
			if limit != rate {
				return false
			}
			sum += part
		}
		return sum > 0.99*rate && sum < 1.01*rate
	})
	before, began := service.State().Lookups, s.elapsed()
	var wait sync.WaitGroup
	for i := range entries {
		wait.Go(func() {
			for range 8 {
				got := do(t, http.MethodGet, s.url(i, lookupPath), nil)
				if got.status == http.StatusOK {
					continue
				}
				if after, _ := strconv.Atoi(got.headers.Get("Retry-After")); got.status != http.StatusServiceUnavailable || after < 1 {
					t.Errorf("lookup at a limit: got %d %s and Retry-After %q, want 503 and a time", got.status, got.code(), got.headers.Get("Retry-After"))
				}
			}
		})
	}
	wait.Wait()
	seconds := (s.elapsed() - began).Duration().Seconds()
	got := float64(service.State().Lookups - before)
	if most := 1.5*rate*seconds + 5; got > most {
		t.Errorf("calls in %.1f s: got %g, want at most %g", seconds, got, most)
	}
	if got < 3 {
		t.Errorf("calls in %.1f s: got %g, want some", seconds, got)
	}
	service.Fault(standin.Fault{Kind: standin.Recover})
	s.eventually("the limit has ended at all entries", func() bool {
		for i := range entries {
			do(t, http.MethodGet, s.url(i, lookupPath), nil)
			if limit, _ := s.limitState(i, "ledger-0"); limit > 0 {
				return false
			}
		}
		return true
	})
}
