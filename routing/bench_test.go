package routing_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/memory/memorytest"
	"github.com/galenaslip/galenaslip/routing"
)

// BenchmarkDecision measures one call of Choose with the following RecordSent and
// RecordFinished, for different numbers of servers.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 12_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, r := newRouter("entry", n, 16)
			request := routing.Request{ID: "x", Pool: pool, Class: "c", Tier: 2, PromptTokens: 1000, PrefixHashes: []uint64{1, 2, 3, 4}}
			b.ReportAllocs()
			for b.Loop() {
				c, ok := r.Choose(10, request)
				if !ok {
					b.Fatal("no server")
				}
				r.RecordSent(10, request, c.Server.Server())
				r.RecordFinished(10, request.ID, routing.Cancelled)
			}
		})
	}
}

// BenchmarkMemory measures the memory per server that the registry uses, and that the
// router uses in addition.
func BenchmarkMemory(b *testing.B) {
	const n = 12_000
	for b.Loop() {
		before := memorytest.HeapBytes()
		registry := backend.New(backend.Options{Entry: "e"})
		for i := range n {
			data, err := backend.EncodeAnnouncement(backend.NewAnnouncement(serverName(i), 1, 1, "10.0.0.7:9000").
				WithModels("m").WithSlots(16).WithAvailabilityZone("az-1"))
			if err != nil {
				b.Fatal(err)
			}
			a, err := backend.DecodeAnnouncement(data)
			if err != nil {
				b.Fatal(err)
			}
			registry.Accept(0, a, 0)
		}
		withRegistry := memorytest.HeapBytes()
		r := routing.New(routing.Options{Entry: "e", Registry: registry})
		for i := range 100_000 {
			request := routing.Request{ID: fmt.Sprint(i), Pool: pool}
			r.RecordSent(clock.Millis(i/50), request, serverName(i%n))
			r.RecordFinished(clock.Millis(i/50), request.ID, routing.Cancelled)
		}
		withRouter := memorytest.HeapBytes()
		b.ReportMetric(float64(withRegistry-before)/n, "registry-B/server")
		b.ReportMetric(float64(withRouter-withRegistry)/n, "router-B/server")
		runtime.KeepAlive(registry)
		runtime.KeepAlive(r)
	}
}

// BenchmarkExperiment compares routers in the simulation: 20 engines, four entries,
// 20 s of warm-up and then 60 s of measurement. One engine is slower by the factor
// slow.
func BenchmarkExperiment(b *testing.B) {
	router := func(o routing.Options) chooser { return routing.New(o) }
	naive := func(o routing.Options) chooser { return routing.NewNaive(o) }
	routers := []struct {
		name     string
		make     func(routing.Options) chooser
		affinity bool
	}{{"round-robin", naive, false}, {"router-no-affinity", router, false}, {"router", router, true}}
	scenarios := []struct {
		rate     float64
		age      clock.Millis
		slow     float64
		prefixes int
	}{
		{rate: 25, age: 400, slow: 1, prefixes: 40},
		{rate: 35, age: 400, slow: 1, prefixes: 40},
		{rate: 45, age: 400, slow: 1, prefixes: 40},
		{rate: 45, age: 5000, slow: 1, prefixes: 40},
		{rate: 35, age: 400, slow: 5, prefixes: 40},
		{rate: 45, age: 400, slow: 5, prefixes: 40},
		{rate: 35, age: 400, slow: 1, prefixes: 1},
		{rate: 35, age: 400, slow: 1, prefixes: 3},
		{rate: 35, age: 400, slow: 1, prefixes: 400},
	}
	for _, c := range scenarios {
		for _, r := range routers {
			b.Run(fmt.Sprintf("rate=%v/age=%d/slow=%v/prefixes=%d/%s", c.rate, c.age, c.slow, c.prefixes, r.name), func(b *testing.B) {
				for b.Loop() {
					s := newSimulation(simOptions{
						engines: 20, rate: c.rate, reportAge: c.age, prefixes: c.prefixes,
						make: r.make, affinity: r.affinity, warmUp: 20_000,
					})
					s.engines[0].slow = c.slow
					s.run(80_000)
					s.countWaiting()
					b.ReportMetric(percentile(s.firstTokenTimes, 0.5), "first-p50-ms")
					b.ReportMetric(percentile(s.firstTokenTimes, 0.95), "first-p95-ms")
					b.ReportMetric(percentile(s.firstTokenTimes, 0.99), "first-p99-ms")
					b.ReportMetric(percentile(s.tokenTimes, 0.95), "between-p95-ms")
					b.ReportMetric(percentile(s.predictionErrors, 0.5), "predict-error-p50-ms")
					b.ReportMetric(100*float64(s.cachedTokens)/float64(s.promptTokens), "cached-%")
				}
			})
		}
	}
}
