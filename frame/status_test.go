package frame_test

import (
	"fmt"
	"testing"

	"github.com/galenaslip/galenaslip/frame"
)

// Guards against a number that is no status and is taken for one, and the other way round.
func TestIsStatus(t *testing.T) {
	for n := range 2000 {
		for _, format := range []string{"%d", "%03d", "%04d"} {
			text := fmt.Sprintf(format, n)
			if got, want := frame.IsStatus(text), n >= 100 && n <= 599 && format != "%04d"; got != want {
				t.Errorf("%q: got %v, want %v", text, got, want)
			}
		}
	}
	for _, text := range []string{"", "20", "+20", "-20", " 20", "20 ", "2 0", "20x", "2.0", "2e2"} {
		if frame.IsStatus(text) {
			t.Errorf("%q: got a status", text)
		}
	}
}
