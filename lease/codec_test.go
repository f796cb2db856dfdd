package lease_test

import (
	"reflect"
	"testing"

	"github.com/galenaslip/galenaslip/lease"
)

// Guards against demand by tier that is lost or changed by the encoding, against
// rejecting a renewal without tiers, and against accepting values that placement
// cannot use.
func TestDemandCodec(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, models string
		want         []lease.Demand // nil when the renewal is refused
	}{
		{"without tiers", `{"model":"m","waiting":3,"servers":1}`, []lease.Demand{{Model: "m", Waiting: 3, Servers: 1}}},
		{"with tiers", `{"model":"m","waiting":3,"servers":0,"tiers":[1,0,0,2]}`, []lease.Demand{{Model: "m", Waiting: 3, WaitingByTier: []int{1, 0, 0, 2}}}},
		{"too many tiers", `{"model":"m","waiting":3,"tiers":[1,0,0,2,1]}`, nil},
		{"negative count", `{"model":"m","waiting":3,"tiers":[-1]}`, nil},
		{"negative sum", `{"model":"m","waiting":-3}`, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			got, err := lease.DecodeRenewal([]byte(`{"entry":"e1","models":[` + tt.models + `]}`))
			if (err != nil) != (tt.want == nil) || !reflect.DeepEqual(got.Demands, tt.want) {
				t.Fatalf("got %+v (%v), want %+v", got.Demands, err, tt.want)
			}
			if err != nil {
				return
			}
			data, err := lease.EncodeRenewal(got)
			if err != nil {
				t.Fatal(err)
			}
			if decodedAgain, err := lease.DecodeRenewal(data); err != nil || !reflect.DeepEqual(decodedAgain, got) {
				t.Errorf("after a round trip: got %+v (%v), want %+v", decodedAgain, err, got)
			}
		})
	}
}
