package replica_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of cases of property tests, which the command line
// can override. A failure prints its seed, so no file is needed to repeat it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
