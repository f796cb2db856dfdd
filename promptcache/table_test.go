package promptcache_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/memory/memorytest"
	"github.com/galenaslip/galenaslip/promptcache"
)

// Guards against prompts with parts of their own that fill the memory of a relay, and against parts
// that are forgotten although few are in use.
func TestTableIsBounded(t *testing.T) {
	const limit, parts = 1000, 100_000
	table := promptcache.New(limit)
	servers := []promptcache.Cache{table.NewCache(), table.NewCache()}
	for i := range parts {
		table.Use(clock.Millis(i/100), servers[i%2], fmt.Sprint(i))
		if got := table.Len(); got > limit {
			t.Fatalf("after %d parts: got %d, want at most %d", i+1, got, limit)
		}
	}
	for i := parts - limit/2; i < parts; i++ {
		if !table.Use(parts/100, servers[i%2], fmt.Sprint(i)) {
			t.Fatalf("part %d of %d: got forgotten, want it among the last %d to be remembered", i, parts, limit/2)
		}
	}
}

// Guards against servers that are assumed to have cached what another one, or their former run, has,
// and against parts that are assumed to stay cached for ever or are dropped too early.
func TestPartIsCached(t *testing.T) {
	table := promptcache.New(10)
	first, second := table.NewCache(), table.NewCache()
	tests := []struct {
		now   clock.Millis
		cache promptcache.Cache
		part  string
		want  bool
	}{
		{0, first, "a", false},
		{1, first, "a", true},
		{1, first, "b", false},
		{1, second, "a", false},
		{promptcache.Retention, first, "a", true},
		{2*promptcache.Retention - 1, first, "a", true},
		{3*promptcache.Retention - 1, first, "a", false},
		{3 * promptcache.Retention, table.NewCache(), "a", false},
	}
	for _, tt := range tests {
		table.DropExpired(tt.now)
		if got := table.Use(tt.now, tt.cache, tt.part); got != tt.want {
			t.Errorf("part %s of server %d at %d ms: got cached %t, want %t", tt.part, tt.cache, tt.now, got, tt.want)
		}
	}
	for now := 3 * promptcache.Retention; now <= 5*promptcache.Retention; now += promptcache.Retention / 2 {
		table.DropExpired(now)
	}
	if got, want := table.Len(), 0; got != want {
		t.Errorf("parts without use: got %d, want %d", got, want)
	}
}

// Guards against a table whose parts keep the long header lines in memory in which their IDs arrived.
func TestPartsKeepNoHeaders(t *testing.T) {
	const limit, line = 10_000, 2 << 10
	table := promptcache.New(limit)
	server, before := table.NewCache(), memorytest.HeapBytes()
	for i := range limit / 2 {
		header := fmt.Sprintf("%0*d", line, i)
		table.Use(0, server, header[line-8:])
	}
	if got, want := memorytest.HeapBytes()-before, uint64(limit/2*line/10); int64(got) > int64(want) {
		t.Errorf("memory of %d parts: got %d bytes, want at most %d", limit/2, got, want)
	}
	runtime.KeepAlive(table)
}
