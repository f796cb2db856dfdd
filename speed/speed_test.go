package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/speed"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// Guards against servers whose speed is taken from a moment: the reports are those of ev-santiago-grown,
// where servers take 0.7 or 1.7 of the usual time, and others' work makes it 2.5 times that for a seventh of
// the time, 600 ms at once.
func TestLastingSlownessDespiteMoments(t *testing.T) {
	const servers, duration, moment, between = 112, 30 * clock.Second, 600 * clock.Millisecond, 300
	wrong, asked := 0, 0
	random := rand.New(rand.NewPCG(1, 2))
	for i := range servers {
		var e speed.Estimate
		lasting := 0.7
		if i%3 == 0 {
			lasting = 1.7
		}
		slowUntil, nextDraw := clock.Millis(0), clock.Millis(0)
		for now := clock.Millis(0); now < duration; now += clock.Millis(random.IntN(2 * between)) {
			for ; nextDraw <= now; nextDraw += moment {
				if random.Float64() < 0.15 {
					slowUntil = nextDraw + moment
				}
			}
			value := lasting
			if now < slowUntil {
				value *= 2.5
			}
			e.Record(now, value)
			if got := e.Now(now); got != value {
				t.Fatalf("slowness at the moment of a report: got %g, want %g", got, value)
			}
			if now < 3*clock.Second {
				continue
			}
			asked++
			if got := e.Lasting(); math.Abs(got-lasting) > 0.01 {
				wrong++
			}
		}
	}
	if got, most := float64(wrong)/float64(asked), 0.05; got > most {
		t.Errorf("share of wrong estimates: got %g, want at most %g", got, most)
	}
}

// Guards against an estimate that does not follow a server that has become slow, or that is usual again, and
// against a moment that is used after its end.
func TestSlownessFollowsTheServer(t *testing.T) {
	var e speed.Estimate
	if got := e.Lasting(); got != 1 {
		t.Errorf("slowness of an unknown server: got %g, want 1", got)
	}
	now := clock.Millis(0)
	for _, want := range []float64{1, 6, 1} {
		for range 10 {
			now += 500
			e.Record(now, want)
		}
		if got := e.Lasting(); got != want {
			t.Errorf("lasting slowness after five seconds: got %g, want %g", got, want)
		}
	}
	e.Record(now+500, 2.5)
	if got := e.Now(now + 600); got != 2.5 {
		t.Errorf("slowness shortly after a report: got %g, want 2.5", got)
	}
	if got := e.Now(now + 1500); got != 1 {
		t.Errorf("slowness a second after a report: got %g, want the lasting one, 1", got)
	}
}

// Guards against values that no server can have.
func TestSlownessIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e speed.Estimate
		now := clock.Millis(0)
		for range rapid.IntRange(0, 20).Draw(t, "reports") {
			now += clock.Millis(rapid.IntRange(0, 2000).Draw(t, "time"))
			e.Record(now, rapid.Float64().Draw(t, "slowness"))
		}
		e.Record(now, math.NaN())
		for _, got := range []float64{e.Lasting(), e.Now(now)} {
			if !(got >= 0.25 && got <= 16) {
				t.Errorf("slowness: got %g, want 0.25 to 16", got)
			}
		}
	})
}
