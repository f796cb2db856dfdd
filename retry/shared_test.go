package retry_test

import (
	"fmt"
	"sort"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/retry"
)

const (
	sharedWindow = 10 * clock.Second
	sharedExtra  = 40
)

// Guards against a retry of the fixed number beyond the smallest share that an entry has held since
// the window began: one granted, one that has ended, and one that has shrunk and grown again.
func TestSharedBudgetUsesSmallestShare(t *testing.T) {
	const second = clock.Second
	steps := []struct {
		what  string
		at    clock.Millis
		share float64 // set at that time if not negative, until 4 s later
		want  float64 // usable share
	}{
		{"just started", 0, 1, 0},
		{"renewed", 3 * second, 1, 0},
		{"renewed", 6 * second, 1, 0},
		{"before a window has passed", 9 * second, 1, 0},
		{"after a window", 10 * second, 1, 1},
		{"shrunk", 11 * second, 0.25, 0.25},
		{"grown again", 12 * second, 0.5, 0.25},
		{"renewed", 15 * second, 0.5, 0.25},
		{"renewed", 18 * second, 0.5, 0.25},
		{"renewed", 21 * second, 0.5, 0.25},
		{"a window after it has grown", 22 * second, 0.5, 0.5},
		{"before it ends", 25*second + 999, -1, 0.5},
		{"after it has ended", 26 * second, -1, 0},
		{"granted again", 27 * second, 0.5, 0},
		{"renewed", 30 * second, 0.5, 0},
		{"renewed", 33 * second, 0.5, 0},
		{"renewed", 36 * second, 0.5, 0},
		{"a window after it was granted again", 37 * second, -1, 0.5},
		{"ended long ago", 100 * second, 0.5, 0},
	}
	b := retry.NewSharedBudget(retry.Limits{Ratio: 0, Window: sharedWindow, ExtraRetries: sharedExtra})
	for _, step := range steps {
		if step.share >= 0 {
			b.SetShare(step.at, step.share, step.at+4*second)
		}
		if got := b.Share(step.at); got != step.want {
			t.Errorf("%s, at %d ms: got share %g, want %g", step.what, step.at, got, step.want)
		}
	}
}

// heldShare is a share that an entry holds from a time on, until its lease ends or it gets the next.
type heldShare struct {
	from, until clock.Millis
	share       float64
}

// shareAt returns the share that an entry held at a time, by all that it ever got.
func shareAt(shares []heldShare, at clock.Millis) float64 {
	share := 0.0
	for _, s := range shares {
		switch {
		case s.from > at:
			return share
		case at < s.until:
			share = s.share
		default:
			share = 0
		}
	}
	return share
}

// smallestShare returns the smallest share that an entry held between two times.
func smallestShare(shares []heldShare, from, to clock.Millis) float64 {
	smallest := shareAt(shares, to)
	for at := from; at <= to; at++ {
		smallest = min(smallest, shareAt(shares, at))
	}
	for _, s := range shares {
		if s.from >= from && s.until > s.from {
			smallest = min(smallest, s.share) // also one that was replaced at once
		} else if s.from >= from {
			smallest = 0
		}
	}
	return smallest
}

// countSince returns how many times are later than the start.
func countSince(times []clock.Millis, start clock.Millis) float64 {
	return float64(len(times) - sort.Search(len(times), func(i int) bool { return times[i] > start }))
}

// Guards against more retries within a window than its requests and the share held at its begin
// allow, and against a budget of which much is left unused: for any series of requests, retries
// and shares.
func TestSharedBudgetAgainstNaive(t *testing.T) {
	const window, edge = 2 * clock.Second, 250 * clock.Millisecond
	const wantUsed = 0.7
	rapid.Check(t, func(t *rapid.T) {
		limits := retry.Limits{Ratio: rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "ratio"), Window: window, ExtraRetries: rapid.SampledFrom([]int{0, 4, 40}).Draw(t, "extra")}
		b, now := retry.NewSharedBudget(limits), 100*clock.Second
		var requests, retries []clock.Millis
		var shares []heldShare
		allowed := func(requests, share float64) float64 {
			return limits.Ratio*requests + float64(limits.ExtraRetries)*share
		}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			now += clock.Millis(rapid.SampledFrom([]int{0, 0, 0, 1, 30, 250, 700}).Draw(t, "pause"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				s := heldShare{from: now, until: now + clock.Millis(rapid.SampledFrom([]int{0, 300, 1500, 5000}).Draw(t, "lease")), share: rapid.SampledFrom([]float64{0, 0.25, 0.5, 1}).Draw(t, "share")}
				b.SetShare(s.from, s.share, s.until)
				shares = append(shares, s)
			case 1:
				for range rapid.IntRange(1, 40).Draw(t, "requests") {
					b.CountRequest(now, "s")
					requests = append(requests, now)
				}
			default:
				for b.Take(now, "s", 1) {
					retries = append(retries, now)
					got, want := countSince(retries, now-window), allowed(countSince(requests, now-window), shareAt(shares, now-window))
					if got > want+1e-6 {
						t.Fatalf("at %d ms: got %g retries within a window, want at most %g", now, got, want)
					}
				}
				got, want := countSince(retries, now-window-edge)+1, wantUsed*allowed(countSince(requests, now-window+edge), smallestShare(shares, now-window, now))
				if got < want {
					t.Fatalf("at %d ms: refused retry %g within a window, want at least %g", now, got, want)
				}
			}
		}
	})
}

// Guards against memory that grows with each service that operators have ever configured.
func TestSharedBudgetForgetsServices(t *testing.T) {
	const services, kept = 1000, 12
	b := retry.NewSharedBudget(retry.Limits{Ratio: 1, Window: sharedWindow})
	now := clock.Millis(0)
	for i := range services {
		b.CountRequest(now, fmt.Sprintf("service-%d", i))
		now += clock.Second
	}
	if got := len(b.Usage(now)); got > kept {
		t.Errorf("services with a window: got %d, want at most %d", got, kept)
	}
}
