package class_test

import (
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// Guards against a class that is accepted with an invalid field, and against an
// error that does not name the field.
func TestNew(t *testing.T) {
	tests := []struct {
		name    string
		class   string
		tier    class.Tier
		target  clock.Millis
		measure class.Measure
		want    string
	}{
		{name: "valid", class: "clause-query", tier: 1, target: 580, measure: class.FirstToken},
		{name: "empty name", class: "", tier: 1, target: 580, measure: class.FirstToken, want: "class name"},
		{name: "upper case", class: "Query", tier: 1, target: 580, measure: class.FirstToken, want: "class name"},
		{name: "tier 0", class: "q", tier: 0, target: 580, measure: class.FirstToken, want: "tier"},
		{name: "tier 5", class: "q", tier: 5, target: 580, measure: class.FirstToken, want: "tier"},
		{name: "target 0", class: "q", tier: 1, target: 0, measure: class.FirstToken, want: "target_ms"},
		{name: "measure", class: "q", tier: 1, target: 580, measure: "x", want: "measure"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := class.New(tt.class, tt.tier, tt.target, tt.measure)
			got := ""
			if err != nil {
				got = err.Error()
			}
			if tt.want == "" && got != "" || !strings.Contains(got, tt.want) {
				t.Errorf("error: got %q, want one with %q", got, tt.want)
			}
		})
	}
}

// Guards against a starvation bound below its minimum or above its maximum.
func TestStarvationBound(t *testing.T) {
	tests := []struct{ target, want clock.Millis }{
		{target: 10, want: 5 * clock.Second},
		{target: 2 * clock.Second, want: 20 * clock.Second},
		{target: 8 * clock.Hour, want: 10 * clock.Minute},
	}
	for _, tt := range tests {
		c, err := class.New("c", 1, tt.target, class.Completion)
		if err != nil {
			t.Fatal(err)
		}
		if got := c.StarvationBound(); got != tt.want {
			t.Errorf("target %d: got %d, want %d", tt.target, got, tt.want)
		}
	}
}
