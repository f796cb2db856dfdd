package demo_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/demo"
	"github.com/galenaslip/galenaslip/event"
)

// Guards against a demo that fails, or that succeeds although the posting did not run
// exactly once.
func TestRun(t *testing.T) {
	var output bytes.Buffer
	err := demo.Run(t.Context(), demo.Options{Clock: clock.New(), Logger: event.Discard(), Output: &output})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := output.String(), "the ledger ran it 1 time(s)"; !strings.Contains(got, want) {
		t.Errorf("output: got %q, want it to contain %q", got, want)
	}
}
