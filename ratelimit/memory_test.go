package ratelimit_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// Guards against refusals of services that catalogs have renamed long ago and that are kept for ever.
func TestRefusalsAreForgotten(t *testing.T) {
	const services = 5000
	limiter := ratelimit.NewLimiter(ratelimit.NewLimits())
	before := heapBytes()
	for i := range services {
		limiter.RefuseFor(clock.Millis(i)*clock.Minute, fmt.Sprintf("%0200d", i), nil, ratelimit.Urgency{})
	}
	if got, want := heapBytes(), before+services*100; got > want {
		t.Errorf("memory after refusals of %d services: got %d bytes, want at most %d", services, got, want)
	}
	runtime.KeepAlive(limiter)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
