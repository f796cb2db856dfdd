package backend_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/gossip"
	"github.com/galenaslip/galenaslip/quarantine"
)

// Guards against news about requests that end servers which change on their way to a peer, or
// whose position is lost.
func TestDigestCarriesQuarantine(t *testing.T) {
	key := quarantine.NewRequestKey("model:m", "00ff")
	run := quarantine.ServerRun{Server: "engine-1", StartedAt: 5}
	want := quarantine.Report{
		Ends:      []quarantine.End{{Key: key, ServerRun: run, Depth: 16, Trial: true, Request: "00ff", AtServer: 7, Age: 9}},
		Servers:   []quarantine.EndedServer{{Service: "model:m", ServerRun: run, Age: 9}},
		Survivals: []quarantine.Survivals{{Key: key, Entry: "entry-1", Count: 2}},
		Trials:    []quarantine.Trial{{Key: key, Number: 1, Age: 8}},
		Probes:    []quarantine.Probe{{Key: key, Number: 2, Age: 6}},
		Releases:  []quarantine.Release{{Key: key, Number: 3, Age: 4}},
	}
	wantPosition := gossip.Position{Instance: 3, Number: 4}
	registry := backend.New(backend.Options{Entry: "entry-1", Epoch: 1})
	data, err := backend.EncodeDigest(registry.Digest(0, backend.Version{}).WithQuarantine(want, wantPosition))
	if err != nil {
		t.Fatal(err)
	}
	digest, err := backend.DecodeDigest(data)
	if err != nil {
		t.Fatal(err)
	}
	got, gotPosition := digest.Quarantine()
	if !reflect.DeepEqual(got, want) || gotPosition != wantPosition {
		t.Errorf("got %+v at %+v, want %+v at %+v", got, gotPosition, want, wantPosition)
	}
}

// Guards against a digest of a former build, or one whose news about requests cannot be read, that
// is refused with its servers.
func TestDigestWithoutReadableQuarantine(t *testing.T) {
	const digestText = `{"entry":"e","version":{},"full":[{"origin":"e/1","counter":1,"age_ms":3,"announcement":` +
		`{"server":"s","state":"leaving","kind":"service","address":"[::1]:1","services":["ledger"],"slots":1,"load":{}}}],"load":{}QUARANTINE}`
	tests := []struct {
		name, field string
		wantRefused int
	}{
		{name: "former build", field: ""},
		{name: "unreadable", field: `,"quarantine":{"position":7}`, wantRefused: 1},
		{name: "unreadable report", field: `,"quarantine":{"position":{"instance":1},"report":{"ends":[{"server":{}}]}}`, wantRefused: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			digest, err := backend.DecodeDigest([]byte(strings.Replace(digestText, "QUARANTINE", tt.field, 1)))
			if err != nil {
				t.Fatal(err)
			}
			report, position := digest.Quarantine()
			if !report.IsEmpty() || position != (gossip.Position{}) {
				t.Errorf("quarantine: got %+v at %+v, want none", report, position)
			}
			if got, want := digest.RecordCount(), 1; got != want {
				t.Errorf("servers: got %d, want %d", got, want)
			}
			if got, _ := digest.Refused(); got != tt.wantRefused {
				t.Errorf("refused: got %d, want %d", got, tt.wantRefused)
			}
		})
	}
}

// Guards against a pull of a former build that is taken for one that asks for all news about
// requests.
func TestDigestRequestWithoutQuarantine(t *testing.T) {
	request, err := backend.DecodeDigestRequest([]byte(`{"entry":"e","since":{"e/1":5}}`))
	if err != nil {
		t.Fatal(err)
	}
	if request.QuarantineKnown != nil {
		t.Errorf("got %+v, want nil", request.QuarantineKnown)
	}
	want := gossip.Position{Instance: 3, Number: 4}
	request.QuarantineKnown = &want
	data, err := backend.EncodeDigestRequest(request)
	if err != nil {
		t.Fatal(err)
	}
	request, err = backend.DecodeDigestRequest(data)
	if err != nil {
		t.Fatal(err)
	}
	if got := request.QuarantineKnown; got == nil || *got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
