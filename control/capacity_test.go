package control_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/capacity"
	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/duty"
	"github.com/galenaslip/galenaslip/roster"
)

// scaledFormat decodes every document to a service whose number of servers is decided, unless the document
// is empty.
type scaledFormat struct{}

func (scaledFormat) Decode(document []byte) (catalog.Catalog, error) {
	service := catalog.Service{Name: "s"}
	if len(document) > 0 {
		service.Scale = &catalog.Scale{Min: 1, Max: 20, StartTime: 10, ReclaimablePrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 1}}
	}
	return catalog.Build(catalog.Definition{Revision: 1, Services: []catalog.Service{service}})
}

// hostingPlatform carries orders for servers out at once, and announces the servers.
type hostingPlatform struct {
	mu      sync.Mutex
	counts  map[capacity.Place]int
	highest map[capacity.Place]int // of the counts so far
	tokens  []uint64
	outcome duty.Outcome
	beat    uint64
}

func newHostingPlatform() *hostingPlatform {
	return &hostingPlatform{outcome: duty.Accepted, highest: map[capacity.Place]int{}, counts: map[capacity.Place]int{
		{Zone: "a", Kind: capacity.Ordinary}: 4, {Zone: "b", Kind: capacity.Ordinary}: 4,
	}}
}

func (h *hostingPlatform) OrderServers(_ context.Context, service string, o capacity.Order, f duty.Fence, mayAct func() bool) (duty.Outcome, error) {
	if service != "s" || !mayAct() {
		return duty.Withheld, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens = append(h.tokens, f.Token)
	if h.outcome == duty.Accepted {
		h.counts[o.Place] = o.Count
	}
	return h.outcome, nil
}

// announce sends a heartbeat of each server, and the departure of those that were given back.
func (h *hostingPlatform) announce(c *control.Control) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.beat++
	for at, n := range h.counts {
		h.highest[at] = max(h.highest[at], n)
		for i := range h.highest[at] {
			a := roster.Announcement{
				Server: fmt.Sprintf("%s-%s-%d", at.Zone, at.Kind, i), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:%d", at.Kind, at.Zone[0], i+1),
				AvailabilityZone: at.Zone, Slots: 4, State: roster.Serving, Sequence: h.beat, StartedAt: 5, Reclaimable: at.Kind == capacity.Reclaimable,
			}
			if i >= n {
				a.State = roster.Gone
			}
			_ = c.Announce(a)
		}
	}
}

func (h *hostingPlatform) total(kind capacity.Kind) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[capacity.Place{Zone: "a", Kind: kind}] + h.counts[capacity.Place{Zone: "b", Kind: kind}]
}

func (h *hostingPlatform) calls() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]uint64(nil), h.tokens...)
}

// startOrdering starts a member that orders servers of a platform, with a catalog.
func startOrdering(t *testing.T, h *hostingPlatform, folder, document string) (*control.Control, string) {
	t.Helper()
	c := startMember(t, control.Options{
		Name: "c1", Listen: "127.0.0.1:0", Folder: folder, ServerTimeout: 1 * clock.Second, Format: scaledFormat{}, ServerOrders: h,
		Duties: &control.DutyOptions{Holder: "c1", HolderLease: 100, CallsPerSecond: 100},
	})
	url := "http://" + c.Address()
	waitForLeader(t, url)
	if _, err := c.PutCatalog(t.Context(), catalog.Document{Revision: 1, Body: []byte(document)}); err != nil {
		t.Fatal(err)
	}
	return c, url
}

// until announces the servers until a condition holds.
func until(t *testing.T, h *hostingPlatform, c *control.Control, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), (60 * clock.Second).Duration())
	defer cancel()
	for wall := clock.New(); !condition(); {
		h.announce(c)
		if !wall.Sleep(ctx, 100) {
			t.Fatalf("timed out waiting for %s; orders with the tokens %v", what, h.calls())
		}
	}
}

// Guards against servers that are never ordered, orders without the fence of the term, a successor that
// begins anew, and decisions that operators cannot see.
func TestLeaderOrdersServers(t *testing.T) {
	t.Parallel()
	h, folder := newHostingPlatform(), t.TempDir()
	c, url := startOrdering(t, h, folder, "{}")
	until(t, h, c, "reclaimable servers", func() bool { return h.total(capacity.Reclaimable) == 12 })
	until(t, h, c, "ordinary servers that are given back", func() bool { return h.total(capacity.Ordinary) == 2 })
	_, state := request(t, "GET", url+"/debug/state", "", "")
	for _, want := range []string{`"service":"s"`, `"wanted":8`, `"kind":"reclaimable","target":6,"present":6`} {
		if !strings.Contains(state, want) {
			t.Errorf("state dump lacks %s: %s", want, state)
		}
	}
	_, metrics := request(t, "GET", url+"/metrics", "", "")
	for _, want := range []string{"galenaslip_control_servers_wanted 8\n", `galenaslip_control_server_orders_total{outcome="accepted"}`} {
		if !strings.Contains(metrics, want) {
			t.Errorf("metrics lack %q", want)
		}
	}
	first := h.calls()[0]
	for _, token := range h.calls() {
		if token != first {
			t.Errorf("tokens of one term: got %v, want one", h.calls())
		}
	}
	if err := c.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	before := len(h.calls())
	c, url = startOrdering(t, h, folder, "{}")
	until(t, h, c, "a plan of the successor", func() bool {
		_, state := request(t, "GET", url+"/debug/state", "", "")
		return strings.Contains(state, `"service":"s"`)
	})
	for _, token := range h.calls()[before:] {
		if token <= first {
			t.Errorf("token of the successor: got %d, want more than %d", token, first)
		}
	}
	if got := h.total(capacity.Ordinary) + h.total(capacity.Reclaimable); got < 14 {
		t.Errorf("servers after a change of leader: got %d, want the 14 that were there", got)
	}
}

// Guards against orders for a service whose configuration does not ask for them any more.
func TestNoOrdersWithoutScale(t *testing.T) {
	t.Parallel()
	h := newHostingPlatform()
	c, url := startOrdering(t, h, "", "{}")
	wanted := func(n int) func() bool {
		return func() bool {
			_, metrics := request(t, "GET", url+"/metrics", "", "")
			return strings.Contains(metrics, fmt.Sprintf("galenaslip_control_servers_wanted %d\n", n))
		}
	}
	until(t, h, c, "a plan", wanted(8))
	if _, err := c.PutCatalog(t.Context(), catalog.Document{Revision: 2}); err != nil {
		t.Fatal(err)
	}
	until(t, h, c, "no plan", wanted(0))
}
