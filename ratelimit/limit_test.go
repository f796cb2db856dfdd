package ratelimit_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// Guards against a field that takes a server out of use for good, that ends its limit by mistake
// or that fails a response because it cannot be read.
func TestParseLimit(t *testing.T) {
	tests := []struct {
		name   string
		values []string
		want   float64 // requests a second
		says   bool
	}{
		{name: "none", want: math.Inf(1), says: true},
		{name: "a number", values: []string{"4.9"}, want: 4.9, says: true},
		{name: "spaces", values: []string{" 5 "}, want: 5, says: true},
		{name: "an exponent", values: []string{"1e1"}, want: 10, says: true},
		{name: "nothing is taken", values: []string{"0"}, want: ratelimit.MinRate, says: true},
		{name: "nearly nothing", values: []string{"0.001"}, want: ratelimit.MinRate, says: true},
		{name: "one in five seconds", values: []string{"0.2"}, want: 0.2, says: true},
		{name: "more than all traffic", values: []string{"1e9"}, want: math.Inf(1), says: true},
		{name: "not a number", values: []string{"NaN"}, want: math.Inf(1)},
		{name: "infinite", values: []string{"+Inf"}, want: math.Inf(1)},
		{name: "out of range", values: []string{"1e999"}, want: math.Inf(1)},
		{name: "negative", values: []string{"-3"}, want: math.Inf(1)},
		{name: "text", values: []string{"few"}, want: math.Inf(1)},
		{name: "empty", values: []string{""}, want: math.Inf(1)},
		{name: "twice", values: []string{"7", "3"}, want: 3, says: true},
		{name: "two in one field", values: []string{"3, 7"}, want: 3, says: true},
		{name: "twice, one unreadable", values: []string{"x", "3"}, want: 3, says: true},
	}
	for _, tt := range tests {
		got, says := ratelimit.ParseLimit(tt.values)
		if got.Rate() != tt.want || says != tt.says {
			t.Errorf("%s: got %g, %v, want %g, %v", tt.name, got.Rate(), says, tt.want, tt.says)
		}
	}
}

var testRun = ratelimit.Run{Server: "server", StartedAt: 1}

// Guards against a limit that an answer ends although it was made before the limit began, and
// against one that goes on after a later answer has ended it.
func TestLimitFollowsTheLaterAnswer(t *testing.T) {
	five, two := ratelimit.NewLimit(5), ratelimit.NewLimit(2)
	type answer struct {
		limit           ratelimit.Limit
		sentAt, arrived clock.Millis
	}
	tests := []struct {
		name    string
		answers []answer
		want    ratelimit.Limit
	}{
		{"a limit begins", []answer{{five, 0, 10}}, five},
		{"a later answer names another one", []answer{{two, 0, 10}, {five, 11, 20}}, five},
		{"a later answer names none", []answer{{five, 0, 10}, {ratelimit.None, 11, 20}}, ratelimit.None},
		{"an answer on another connection was sent before", []answer{{five, 0, 10}, {ratelimit.None, 5, 20}}, five},
		{"a stricter answer that may be the later one", []answer{{five, 0, 10}, {two, 5, 20}}, two},
		{"an answer that was late", []answer{{ratelimit.None, 20, 30}, {five, 0, 40}, {ratelimit.None, 41, 50}}, ratelimit.None},
		{"the same again, then none from before it", []answer{{five, 0, 10}, {five, 30, 40}, {ratelimit.None, 20, 45}}, five},
	}
	for _, tt := range tests {
		l := ratelimit.NewLimits()
		for _, a := range tt.answers {
			l.Record(a.arrived, testRun, a.limit, a.sentAt, a.arrived)
		}
		if got := l.Limit(testRun); got != tt.want {
			t.Errorf("%s: got %g requests a second, want %g", tt.name, got.Rate(), tt.want.Rate())
		}
		if got := l.Limit(ratelimit.Run{Server: "server", StartedAt: 2}); got.Exists() {
			t.Errorf("%s: after a restart: got %g requests a second, want no limit", tt.name, got.Rate())
		}
	}
}

// Guards against processes that come to different limits because reports reach them in another
// order, more than once or in parts: once the last answer has been told to all, all know it.
func TestReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 3
		limits := make([]*ratelimit.Limits, processes)
		known := make([][processes]gossip.Position, processes)
		for i := range limits {
			limits[i] = ratelimit.NewLimits()
		}
		now := clock.Millis(0)
		tell := func(from, to int) {
			report, position := limits[from].Report(now, known[to][from])
			limits[to].Merge(now, report)
			if rapid.Bool().Draw(t, "the position is remembered") {
				known[to][from] = position
			}
		}
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 3000).Draw(t, "time"))
			at := rapid.IntRange(0, processes-1).Draw(t, "process")
			if rapid.Bool().Draw(t, "an answer arrives") {
				limit := rapid.SampledFrom([]ratelimit.Limit{ratelimit.None, ratelimit.NewLimit(2), ratelimit.NewLimit(5)}).Draw(t, "limit")
				limits[at].Record(now, testRun, limit, now-clock.Millis(rapid.IntRange(0, 4000).Draw(t, "duration")), now)
				continue
			}
			tell(at, rapid.IntRange(0, processes-1).Draw(t, "to"))
		}
		tellAll := func() {
			for i := range processes * processes * processes {
				tell(i%processes, i/processes%processes)
			}
		}
		tellAll() // an answer without a limit is kept only where a limit is known
		now += 5 * clock.Second
		want := rapid.SampledFrom([]ratelimit.Limit{ratelimit.None, ratelimit.NewLimit(3)}).Draw(t, "last limit")
		limits[0].Record(now, testRun, want, now, now)
		tellAll()
		for i := range limits {
			if got := limits[i].Limit(testRun); got != want {
				t.Fatalf("process %d: got %g requests a second, want %g", i, got.Rate(), want.Rate())
			}
		}
	})
}

// Guards against reports about servers that name another limit in each answer.
func TestVaryingLimitsAreReportedSeldom(t *testing.T) {
	l, known, reports := ratelimit.NewLimits(), gossip.Position{}, 0
	const seconds = 60
	for now := clock.Millis(0); now < seconds*clock.Second; now += 100 {
		l.Record(now, testRun, ratelimit.NewLimit(float64(2+now/100%5)), now, now)
		var report ratelimit.Report
		report, known = l.Report(now, known)
		reports += len(report)
	}
	if want := seconds / 5; reports > want {
		t.Errorf("reports in %d s: got %d, want at most %d", seconds, reports, want)
	}
}

// Guards against reports that grow with the number of limited servers: a thousand limits are told
// in reports of bounded size, each of them once.
func TestReportsAreBounded(t *testing.T) {
	const servers, most = 1000, 64
	from, to := ratelimit.NewLimits(), ratelimit.NewLimits()
	for i := range servers {
		from.Record(0, ratelimit.Run{Server: string(rune('a' + i)), StartedAt: 1}, ratelimit.NewLimit(3), 0, 0)
	}
	known, told := gossip.Position{}, 0
	for {
		report, position := from.Report(0, known)
		if len(report) == 0 {
			break
		}
		if len(report) > most {
			t.Fatalf("servers in a report: got %d, want at most %d", len(report), most)
		}
		known, told = position, told+len(report)
		to.Merge(0, report)
	}
	if told != servers || to.Count() != servers {
		t.Errorf("limits told and known: got %d and %d, want %d", told, to.Count(), servers)
	}
}
