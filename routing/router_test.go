package routing_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/routing"
)

const pool = "model:m"

func announce(r *backend.Registry, now clock.Millis, name string, sequence uint64, slots int, load backend.Load) {
	a := backend.NewAnnouncement(name, 1, sequence, "10.0.0.7:9000").WithModels("m").WithSlots(slots).WithLoad(load)
	r.Accept(now, a, 0)
}

func serverName(i int) string { return fmt.Sprintf("engine-%d", i) }

// newRouter returns a router in front of n idle servers, each with the given number of
// slots.
func newRouter(entry string, n, slots int) (*backend.Registry, *routing.Router) {
	registry := backend.New(backend.Options{Entry: entry})
	for i := range n {
		announce(registry, 0, serverName(i), 1, slots, backend.Load{})
	}
	return registry, routing.New(routing.Options{Entry: entry, Registry: registry})
}

// Guards against the choice of a server that is full or excluded, and against a
// priority that does not correspond to the tier.
func TestChoose(t *testing.T) {
	tests := []struct {
		name    string
		slots   int
		sent    int
		exclude []string
		want    string
		ok      bool
	}{
		{name: "free slot", slots: 2, sent: 1, want: "engine-0", ok: true},
		{name: "full", slots: 2, sent: 2},
		{name: "excluded", slots: 2, exclude: []string{"engine-0"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, r := newRouter("e", 1, tt.slots)
			for i := range tt.sent {
				r.RecordSent(10, routing.Request{ID: fmt.Sprint(i), Pool: pool}, "engine-0")
			}
			got, ok := r.Choose(10, routing.Request{ID: "x", Pool: pool, Tier: 3, Exclude: tt.exclude})
			if ok != tt.ok || ok && (got.Server.Server() != tt.want || got.Priority != 2) {
				t.Errorf("got %v with priority %d, %v, want %q with 2, %v", got.Server, got.Priority, ok, tt.want, tt.ok)
			}
			if got, want := r.FreeSlots(10, pool), tt.slots-tt.sent; got != want {
				t.Errorf("free slots: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a prefix that is treated as cached after a gap in the events, after
// its eviction, or after the cache was cleared, and against events that are applied
// twice.
func TestCacheEvents(t *testing.T) {
	stored := func(sequence, hash uint64) backend.CacheEvent {
		return backend.CacheEvent{Sequence: sequence, Kind: backend.PrefixStored, Hash: hash}
	}
	tests := []struct {
		name   string
		events []backend.CacheEvent
		cached bool
	}{
		{name: "stored", events: []backend.CacheEvent{stored(5, 1), stored(6, 2)}, cached: true},
		{name: "gap", events: []backend.CacheEvent{stored(5, 2), stored(7, 9)}},
		{name: "stored after gap", events: []backend.CacheEvent{stored(5, 9), stored(7, 2)}, cached: true},
		{name: "evicted", events: []backend.CacheEvent{stored(5, 2), {Sequence: 6, Kind: backend.PrefixEvicted, Hash: 2}}},
		{name: "old event again", events: []backend.CacheEvent{stored(5, 2), {Sequence: 6, Kind: backend.PrefixEvicted, Hash: 2}, stored(5, 2)}},
		{name: "cleared", events: []backend.CacheEvent{stored(5, 2), {Sequence: 6, Kind: backend.CacheCleared}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, r := newRouter("e", 40, 4)
			r.CacheEvents("engine-7", tt.events)
			found := 0
			for i := range 20 {
				c, _ := r.Choose(10, routing.Request{ID: "x", Pool: pool, PromptTokens: 1000 + i, PrefixHashes: []uint64{1, 2}})
				if c.Server.Server() == "engine-7" {
					found++
				}
			}
			if got := found == 20; got != tt.cached {
				t.Errorf("holder chosen %d times of 20, want cached %v", found, tt.cached)
			}
		})
	}
}

// Guards against a crashed server that attracts requests because it looks idle, and
// against a block that never ends.
func TestFailuresBlock(t *testing.T) {
	registry, r := newRouter("e", 1, 4)
	fail := func(now clock.Millis) {
		for _, id := range []string{"x", "y", "z"} { // one crash ends all of these requests
			r.RecordSent(now, routing.Request{ID: id, Pool: pool}, "engine-0")
		}
		for _, id := range []string{"x", "y", "z"} {
			r.RecordFinished(now, id, routing.Failed)
		}
	}
	fail(10)
	tests := []struct {
		now  clock.Millis
		want int
	}{{now: 20, want: 0}, {now: 509, want: 0}, {now: 510, want: 4}}
	for _, tt := range tests {
		if got := r.FreeSlots(tt.now, pool); got != tt.want {
			t.Errorf("free slots at %d: got %d, want %d", tt.now, got, tt.want)
		}
	}
	fail(600)
	announce(registry, 1500, "engine-0", 2, 4, backend.Load{})
	if got := r.FreeSlots(1599, pool); got != 0 {
		t.Errorf("free slots after a second failure: got %d, want 0", got)
	}
	if got := r.FreeSlots(1600, pool); got != 4 {
		t.Errorf("free slots after the second block: got %d, want 4", got)
	}
}

// Guards against counting a peer's load from a late digest or from a peer that has
// become silent.
func TestPeerLoad(t *testing.T) {
	_, r := newRouter("e", 1, 8)
	r.RecordPeerLoad(1000, "p", map[string]int{"engine-0": 3}, 100)
	r.RecordPeerLoad(1010, "p", map[string]int{"engine-0": 7}, 200)
	if got, want := r.FreeSlots(1020, pool), 5; got != want {
		t.Errorf("after an older digest: got %d, want %d", got, want)
	}
	r.RecordPeerLoad(1030, "q", map[string]int{"engine-0": 1}, 0)
	if got, want := r.FreeSlots(1040, pool), 4; got != want {
		t.Errorf("with two peers: got %d, want %d", got, want)
	}
	r.RecordPeerLoad(2500, "q", map[string]int{"engine-0": 2}, 0)
	if got, want := r.FreeSlots(2999, pool), 3; got != want {
		t.Errorf("before silence: got %d, want %d", got, want)
	}
}

// Guards against an expected length below the number of tokens already produced, and
// against an average that includes answers shorter than that.
func TestExpectedTokens(t *testing.T) {
	_, r := newRouter("e", 1, 8)
	finish := func(id string, tokens int) {
		r.RecordSent(0, routing.Request{ID: id, Pool: pool, Class: "c"}, "engine-0")
		r.RecordProgress(10, id, tokens)
		r.RecordFinished(20, id, routing.Completed)
	}
	for i := range 10 {
		finish(fmt.Sprint("short", i), 20)
		finish(fmt.Sprint("long", i), 500)
	}
	tests := []struct {
		class    string
		produced int
		want     float64
	}{
		{class: "c", produced: 0, want: 260},
		{class: "c", produced: 20, want: 500},
		{class: "c", produced: 499, want: 500},
		{class: "c", produced: 1000, want: 1500},
		{class: "unknown", produced: 0, want: 256},
	}
	for _, tt := range tests {
		if got := r.ExpectedTokens(tt.class, tt.produced); got != tt.want {
			t.Errorf("%s after %d: got %v, want %v", tt.class, tt.produced, got, tt.want)
		}
	}
}

// Guards against a straggler that still uses all its slots, and against one that does
// not get them back after it has recovered.
func TestStragglerSlots(t *testing.T) {
	registry, r := newRouter("e", 4, 16)
	now := clock.Millis(0)
	decode := func(name string, millis clock.Millis) {
		now++
		announce(registry, now, name, uint64(now), 16, backend.Load{})
		request := routing.Request{ID: "x", Pool: pool, Class: "c"}
		r.RecordSent(now, request, name)
		for i := range 60 {
			r.RecordProgress(now+clock.Millis(i)*millis, "x", i+1)
		}
		r.RecordFinished(now, "x", routing.Completed)
	}
	steps := []struct {
		name   string
		millis clock.Millis
		want   int
	}{{"as fast as the others", 30, 64}, {"five times slower", 150, 49}, {"almost recovered", 36, 64}}
	for _, s := range steps {
		for i := range 3 {
			decode(serverName(i+1), 30)
		}
		decode("engine-0", s.millis)
		if got := r.FreeSlots(now, pool); got != s.want {
			t.Errorf("%s: got %d free slots, want %d", s.name, got, s.want)
		}
	}
}

// Guards against a predicted time to first token that does not follow the observed
// times, or that ignores that a server runs five times slower.
func TestPrediction(t *testing.T) {
	_, r := newRouter("e", 4, 16)
	request := routing.Request{ID: "x", Pool: pool, Class: "c", PromptTokens: 1000}
	now := clock.Millis(0)
	for i := range 400 {
		name, slow := serverName(i%4), clock.Millis(1)
		if i%4 == 0 {
			slow = 5
		}
		now += 5
		r.RecordSent(now, request, name)
		for k := range 9 {
			r.RecordProgress(now+400*slow+clock.Millis(k)*30*slow, "x", k+1)
		}
		r.RecordFinished(now+3500, "x", routing.Completed)
	}
	tests := []struct {
		name, server string
		want         clock.Millis
	}{{"normal", "engine-1", 400}, {"slow", "engine-0", 2000}}
	for _, tt := range tests {
		var exclude []string
		for i := range 4 {
			if serverName(i) != tt.server {
				exclude = append(exclude, serverName(i))
			}
		}
		restricted := request
		restricted.Exclude = exclude
		c, ok := r.Choose(now, restricted)
		if !ok || c.PredictedFirstToken < tt.want*7/10 || c.PredictedFirstToken > tt.want*13/10 {
			t.Errorf("%s: got first token in %d, %v, want about %d", tt.name, c.PredictedFirstToken, ok, tt.want)
		}
	}
}
