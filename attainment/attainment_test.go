package attainment_test

import (
	"context"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/attainment"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

func newClass(tb testing.TB, name string, tier class.Tier, target clock.Millis, measure class.Measure) class.Class {
	tb.Helper()
	c, err := class.New(name, tier, target, measure)
	if err != nil {
		tb.Fatal(err)
	}
	return c
}

// Guards against a request that counts as having met its target although it was late by
// the measure of its class, was not answered or was in error, and against a failed
// request that is left out of attainment.
func TestMet(t *testing.T) {
	query := newClass(t, "query", 1, 500, class.FirstToken)
	posting := newClass(t, "posting", 1, 500, class.Completion)
	tests := []struct {
		name         string
		sample       attainment.Sample
		counted, met bool
	}{
		{"first token in time", attainment.Sample{Class: query, Outcome: outcome.Answered, FirstToken: 500, Completion: 9000}, true, true},
		{"first token late", attainment.Sample{Class: query, Outcome: outcome.Answered, FirstToken: 501, Completion: 502}, true, false},
		{"completion late", attainment.Sample{Class: posting, Outcome: outcome.Answered, Completion: 501}, true, false},
		{"shed", attainment.Sample{Class: query, Outcome: outcome.NotRun, Reason: outcome.ReasonShed}, true, false},
		{"unknown", attainment.Sample{Class: posting, Outcome: outcome.Unknown, Reason: outcome.ReasonBackendLost}, true, false},
		{"caller gone", attainment.Sample{Class: query, Outcome: outcome.Answered, Reason: outcome.ReasonCallerGone}, false, false},
		{"invalid", attainment.Sample{Class: query, Outcome: outcome.NotRun, Reason: outcome.ReasonInvalidRequest}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if counted, met := tt.sample.Counted(), tt.sample.Met(); counted != tt.counted || met != tt.met {
				t.Errorf("counted, met: got %v, %v, want %v, %v", counted, met, tt.counted, tt.met)
			}
		})
	}
}

// Guards against different counts in the state and in the metrics, against a sample that
// is lost without being counted as dropped, and against a state that lacks samples that
// were recorded before it was requested.
func TestCollector(t *testing.T) {
	registry := prometheus.NewRegistry()
	c, stop, err := attainment.New(attainment.Options{Registerer: registry})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	query := newClass(t, "query", 1, 500, class.FirstToken)
	tagging := newClass(t, "tagging", 3, 500, class.Completion)
	samples := []attainment.Sample{
		{Class: query, Outcome: outcome.Answered, FirstToken: 100, Completion: 900, QueueWait: 5, DeliveredTokens: 30, WastedTokens: 10, Retries: 1},
		{Class: query, Outcome: outcome.Answered, FirstToken: 600, Completion: 800, QueueWait: 7, DeliveredTokens: 20},
		{Class: tagging, Outcome: outcome.NotRun, Reason: outcome.ReasonShed},
		{Class: tagging, Outcome: outcome.NotRun, Reason: outcome.ReasonInvalidRequest},
	}
	for _, s := range samples {
		c.Record(s)
	}
	state, err := c.State(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	byClass, byTier := state.Classes[0], state.Tiers[1]
	if got, want := []any{byClass.Class, byClass.Requests, byClass.Met, byClass.GoodputTokens, byClass.WastedTokens, byClass.Retries, byClass.Attainment(), byClass.WasteShare()},
		[]any{"query", uint64(2), uint64(1), uint64(30), uint64(10), uint64(1), 0.5, 10.0 / 60}; !equal(got, want) {
		t.Errorf("class: got %v, want %v", got, want)
	}
	if got, want := []any{byTier.Tier, byTier.Requests, byTier.Counted, byTier.Shed, byTier.Outcomes[outcome.NotRun], byTier.Reasons[outcome.ReasonShed]},
		[]any{class.Tier(3), uint64(2), uint64(1), uint64(1), uint64(2), uint64(1)}; !equal(got, want) {
		t.Errorf("tier: got %v, want %v", got, want)
	}
	if byClass.QueueWait.Max != 7 || byClass.FirstToken.P50 != 100 || byClass.Completion.Count != 2 {
		t.Errorf("latency: got %+v", byClass)
	}
	sums := metricSums(t, registry)
	for name, want := range map[string]float64{
		"galenaslip_requests_total": 4, "galenaslip_targets_total": 3, "galenaslip_tokens_total": 50 + 30 + 10,
		"galenaslip_sheds_total": 1, "galenaslip_retries_total": 1, "galenaslip_samples_dropped_total": 0,
		"galenaslip_queue_wait_seconds": 2, "galenaslip_first_token_seconds": 2, "galenaslip_completion_seconds": 2,
	} {
		if got, ok := sums[name]; got != want || !ok {
			t.Errorf("%s: got %v, want %v", name, got, want)
		}
	}
	encoded, err := attainment.Encode(state)
	if want := `"tier":3,"requests":2,"counted":1,"met":0,"attainment":0,"shed":1`; err != nil || !strings.Contains(string(encoded), want) {
		t.Errorf("encoded: got %s, %v, want one with %s", encoded, err, want)
	}
}

func equal(a, b []any) bool {
	return lo.EveryBy(lo.Zip2(a, b), func(p lo.Tuple2[any, any]) bool { return p.A == p.B })
}

// metricSums returns the sum of each metric over its labels. The value of a histogram is
// its number of observations.
func metricSums(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sums := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			sums[f.GetName()] += m.GetCounter().GetValue() + float64(m.GetHistogram().GetSampleCount())
		}
	}
	return sums
}

// Guards against a full channel that blocks Record or drops samples without counting
// them, and against samples that are lost when the collector is stopped.
func TestCollectorDrops(t *testing.T) {
	registry := prometheus.NewRegistry()
	const capacity = 1000
	c, stop, err := attainment.New(attainment.Options{Registerer: registry, Capacity: capacity})
	if err != nil {
		t.Fatal(err)
	}
	accepted, dropped := 0.0, 0.0
	for range 100_000 {
		if c.Record(attainment.Sample{Class: newClass(t, "c", 1, 1, class.Completion)}) {
			accepted++
		} else {
			dropped++
		}
	}
	stop()
	stop()
	for range capacity + 1 { // the collector has stopped, so the last sample exceeds the capacity
		if !c.Record(attainment.Sample{}) {
			dropped++
		}
	}
	sums := metricSums(t, registry)
	if got := sums["galenaslip_samples_dropped_total"]; got != dropped || dropped == 0 {
		t.Errorf("dropped: got %v, want %v above 0", got, dropped)
	}
	if got := sums["galenaslip_requests_total"]; got != accepted {
		t.Errorf("requests: got %v, want %v", got, accepted)
	}
	if _, err := c.State(context.Background()); err == nil {
		t.Error("state after the end: got no error")
	}
}
