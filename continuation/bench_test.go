package continuation_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
)

// BenchmarkRecords measures the time to keep and to find a record at a full holder, and its memory.
func BenchmarkRecords(b *testing.B) {
	const kept = 1 << 18
	origins := []continuation.Origin{{Service: "model-pool", Version: "v1"}, {Service: "model-pool", Version: "v2"}}
	add := func(r *continuation.Records, i int) {
		// Decoded records share no memory with each other.
		r.Add(clock.Millis(i/1000), continuation.Record{Stream: fmt.Sprintf("9c41d07be2%08x", i), Origin: origins[i%2]})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	records := continuation.NewRecords(kept)
	for i := range 2 * kept {
		add(records, i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perRecord := float64(after.HeapAlloc-before.HeapAlloc) / kept
	b.Run("add", func(b *testing.B) {
		for i := 2 * kept; b.Loop(); i++ {
			add(records, i)
		}
		b.ReportMetric(perRecord, "bytes/record")
	})
	b.Run("lookup", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			records.Lookup(0, "9c41d07be200000001")
		}
	})
}
