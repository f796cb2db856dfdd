package catalog_test

import (
	"math"
	"testing"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
)

// Guards against orders for servers under conditions that contradict each other.
func TestScaleValidate(t *testing.T) {
	valid := func(change func(*catalog.Scale)) catalog.Scale {
		s := catalog.Scale{Min: 1, Max: 70, StartTime: 4 * clock.Second, ReclaimablePrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 0.8}}
		change(&s)
		return s
	}
	tests := []struct {
		name   string
		change func(*catalog.Scale)
		valid  bool
	}{
		{"as it should be", func(*catalog.Scale) {}, true},
		{"no reclaimable servers", func(s *catalog.Scale) { s.ReclaimablePrice = 0 }, true},
		{"one number only", func(s *catalog.Scale) { s.Min = s.Max }, true},
		{"more at least than at most", func(s *catalog.Scale) { s.Min = 71 }, false},
		{"negative number", func(s *catalog.Scale) { s.Min = -1 }, false},
		{"none at most", func(s *catalog.Scale) { s.Min, s.Max = 0, 0 }, false},
		{"absurd number", func(s *catalog.Scale) { s.Max = math.MaxInt }, false},
		{"negative start time", func(s *catalog.Scale) { s.StartTime = -1 }, false},
		{"start time of years", func(s *catalog.Scale) { s.StartTime = math.MaxInt64 }, false},
		{"negative price of reclaimable servers", func(s *catalog.Scale) { s.ReclaimablePrice = -0.1 }, false},
		{"no zone", func(s *catalog.Scale) { s.ZonePrices = nil }, false},
		{"zone without a name", func(s *catalog.Scale) { s.ZonePrices = map[string]float64{"": 1} }, false},
		{"negative price", func(s *catalog.Scale) { s.ZonePrices = map[string]float64{"a": -1} }, false},
	}
	for _, tt := range tests {
		if got := valid(tt.change).Validate() == nil; got != tt.valid {
			t.Errorf("%s: valid: got %t, want %t", tt.name, got, tt.valid)
		}
	}
}
