package retry_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/retry"
)

// TestMain fixes the seed of rapid unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// Guards against more retries than the share of requests plus the reserve, a
// refusal within it, a second send of an at-most-once call, more attempts than
// allowed, and delays that are out of range or without jitter.
func TestBudget(t *testing.T) {
	delays := map[clock.Millis]bool{}
	rapid.Check(t, func(t *rapid.T) {
		const percent, reserve, limit, attempts = 10, 2, 5, 4
		b := retry.New(retry.Options{Percent: percent, InitialRetries: reserve, MaxSavedRetries: limit, Attempts: attempts,
			BaseDelay: 100, MaxDelay: 300, Seed: rapid.Uint64().Draw(t, "seed")})
		requests, granted := 0, 0
		// balance is exact: the last value at the limit, plus what came since.
		balance := reserve * 100
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "step") > 0 {
				b.CountRequest()
				requests++
				balance = min(balance+percent, limit*100)
				continue
			}
			work := retry.Work{Attempts: rapid.IntRange(1, attempts).Draw(t, "attempts"), OnceOnly: rapid.IntRange(0, 4).Draw(t, "once") == 0}
			want := retry.Granted
			switch {
			case work.OnceOnly:
				want = retry.OnceOnly
			case work.Attempts == attempts:
				want = retry.TooManyAttempts
			case balance < 100:
				want = retry.NoBudget
			}
			d := b.Retry(work)
			if d.Verdict != want {
				t.Fatalf("%+v: got %q, want %q", work, d.Verdict, want)
			}
			if d.Verdict != retry.Granted {
				continue
			}
			granted++
			balance -= 100
			full := min(clock.Millis(100)<<(work.Attempts-1), 300)
			if d.Delay < full/2 || d.Delay > full {
				t.Fatalf("delay: got %d, want %d to %d", d.Delay, full/2, full)
			}
			delays[d.Delay] = true
		}
		if most := reserve + requests*percent/100; granted > most || b.Granted() != uint64(granted) {
			t.Fatalf("granted: got %d, counted %d, want at most %d", granted, b.Granted(), most)
		}
	})
	if got := len(delays); got < 50 {
		t.Errorf("different delays: got %d, want many", got)
	}
}
