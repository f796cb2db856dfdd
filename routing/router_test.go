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

// newRouter returns a router in front of n idle servers with the given slots.
func newRouter(entry string, n, slots int) (*backend.Registry, *routing.Router) {
	registry := backend.New(backend.Options{Entry: entry})
	for i := range n {
		announce(registry, 0, serverName(i), 1, slots, backend.Load{})
	}
	return registry, routing.New(routing.Options{Entry: entry, Registry: registry})
}

// Guards against work being sent beyond the free slots, to an excluded server,
// or with a priority that does not follow the tier.
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
				r.Sent(10, routing.Request{ID: fmt.Sprint(i), Pool: pool}, "engine-0")
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
