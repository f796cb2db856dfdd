package ratelimit_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/memory/memorytest"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// Guards against refusals of services that catalogs have renamed long ago and that are kept for ever.
func TestRefusalsAreForgotten(t *testing.T) {
	const services = 5000
	limiter := ratelimit.NewLimiter(ratelimit.NewLimits())
	before := memorytest.HeapBytes()
	for i := range services {
		limiter.RefuseFor(clock.Millis(i)*clock.Minute, fmt.Sprintf("%0200d", i), nil, ratelimit.Urgency{})
	}
	if got, want := memorytest.HeapBytes(), before+services*100; got > want {
		t.Errorf("memory after refusals of %d services: got %d bytes, want at most %d", services, got, want)
	}
	runtime.KeepAlive(limiter)
}
