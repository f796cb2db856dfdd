package usage_test

import (
	"os"
	"testing"

	"github.com/galenaslip/galenaslip/usage"
)

// Guards against a field of /proc that is read from the wrong position. This process
// uses memory, and has read some bytes by the second reading.
func TestRead(t *testing.T) {
	first, err := usage.Read(os.Getpid(), 0)
	if err != nil {
		t.Fatal(err)
	}
	second, err := usage.Read(os.Getpid(), 1000)
	if err != nil {
		t.Fatal(err)
	}
	got := second.RateSince(first)
	if got.ResidentBytes < 1<<20 || got.BytesPerSecond <= 0 || got.CorePercent < 0 {
		t.Errorf("got %+v, want memory above 1 MiB and some bytes", got)
	}
	if _, err := usage.Read(-1, 0); err == nil {
		t.Error("process -1: got no error, want one")
	}
}
