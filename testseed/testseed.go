package testseed

import (
	"flag"
	"os"
	"testing"
)

// seed is the seed of property tests unless the command line gives another one.
const seed = "20261204"

// Main runs the tests of a package that uses rapid with a fixed seed, so that each run gives
// the same verdict. The flag -rapid.seed sets another seed.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
