package backend_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// Guards against limits of servers that are lost or changed on their way to another entry, and
// against a digest that is refused with its servers because its limits cannot be read.
func TestDigestCarriesLimits(t *testing.T) {
	want := ratelimit.Report{
		{Run: ratelimit.Run{Server: "engine-1", StartedAt: 5}, Limit: ratelimit.NewLimit(4.9), EarliestAge: 20, LatestAge: 3},
		{Run: ratelimit.Run{Server: "engine-2", StartedAt: 6}, EarliestAge: 7, LatestAge: 7},
	}
	wantPosition := gossip.Position{Instance: 3, Number: 4}
	registry := backend.New(backend.Options{Entry: "entry-1", Epoch: 1})
	data, err := backend.EncodeDigest(registry.Digest(0, backend.Version{}).WithLimits(want, wantPosition))
	if err != nil {
		t.Fatal(err)
	}
	digest, err := backend.DecodeDigest(data)
	if err != nil {
		t.Fatal(err)
	}
	got, gotPosition := digest.Limits()
	if !reflect.DeepEqual(got, want) || gotPosition != wantPosition {
		t.Errorf("got %+v at %+v, want %+v at %+v", got, gotPosition, want, wantPosition)
	}
	for _, tt := range []struct {
		name, field string
		wantRefused int
	}{
		{name: "former build", field: `"limits":null`},
		{name: "unreadable", field: `"limits":{"position":7}`, wantRefused: 1},
		{name: "unreadable report", field: `"limits":{"position":{"instance":1},"report":[{"r":"few"}]}`, wantRefused: 1},
	} {
		text := strings.Replace(string(data), `"limits":`, tt.field+`,"former":`, 1)
		digest, err := backend.DecodeDigest([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if report, position := digest.Limits(); len(report) > 0 || position != (gossip.Position{}) {
			t.Errorf("%s: got %+v at %+v, want none", tt.name, report, position)
		}
		if got, _ := digest.Refused(); got != tt.wantRefused {
			t.Errorf("%s: refused: got %d, want %d", tt.name, got, tt.wantRefused)
		}
	}
}
