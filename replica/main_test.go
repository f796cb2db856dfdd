package replica_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests unless the command line sets it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
