package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/retry"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// Guards against more retries than the percentage of requests, refusal of retries within the
// budget, sending a once-only call again, more attempts than allowed, and delays that are out of
// range or not random.
func TestBudget(t *testing.T) {
	seenDelays := map[clock.Millis]bool{}
	rapid.Check(t, func(t *rapid.T) {
		const percent, limit, attempts = 10, 5, 4
		b := retry.New(retry.Options{RetryPercent: percent, MaxSavedRetries: limit, Attempts: attempts,
			BaseDelay: 100, MaxDelay: 300, Seed: rapid.Uint64().Draw(t, "seed")})
		requests, granted := 0, 0
		// The expected balance of the budget, in hundredths of a retry.
		balance := 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "step") > 0 {
				b.CountRequest()
				requests++
				balance = min(balance+percent, limit*100)
				continue
			}
			failed := retry.FailedRequest{Attempts: rapid.IntRange(1, attempts).Draw(t, "attempts"), OnceOnly: rapid.IntRange(0, 4).Draw(t, "once") == 0}
			want := retry.Granted
			switch {
			case failed.OnceOnly:
				want = retry.OnceOnly
			case failed.Attempts == attempts:
				want = retry.TooManyAttempts
			case balance < 100:
				want = retry.NoBudget
			}
			d := b.Decide(failed)
			if d.Result != want {
				t.Fatalf("%+v: got %q, want %q", failed, d.Result, want)
			}
			if d.Result != retry.Granted {
				continue
			}
			granted++
			balance -= 100
			fullDelay := min(clock.Millis(100)<<(failed.Attempts-1), 300)
			if d.Delay < fullDelay/2 || d.Delay > fullDelay {
				t.Fatalf("delay: got %d, want %d to %d", d.Delay, fullDelay/2, fullDelay)
			}
			seenDelays[d.Delay] = true
		}
		if maxGranted := requests * percent / 100; granted > maxGranted || b.Granted() != uint64(granted) {
			t.Fatalf("granted: got %d, counted %d, want at most %d", granted, b.Granted(), maxGranted)
		}
	})
	if got := len(seenDelays); got < 50 {
		t.Errorf("different delays: got %d, want many", got)
	}
}

// Guards against entries that together retry more than the percentage of their requests, because
// each one that starts has retries without requests.
func TestStartsAddNoRetries(t *testing.T) {
	const percent, starts, requestsPerStart = 10, 20, 30
	granted := uint64(0)
	for range starts {
		b := retry.New(retry.Options{RetryPercent: percent})
		for range requestsPerStart {
			b.CountRequest()
			b.Decide(retry.FailedRequest{Attempts: 1})
		}
		granted += b.Granted()
	}
	if want := uint64(starts * requestsPerStart * percent / 100); granted != want {
		t.Errorf("retries of %d requests: got %d, want %d", starts*requestsPerStart, granted, want)
	}
}
