package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// defaultSeed is the seed of property tests unless the package or the command line gives
// another one.
const defaultSeed = 20261204

// Options are the settings of a package's property tests. Zero values select the defaults.
type Options struct {
	Seed       int
	Checks     int  // cases of each property; the default is rapid's
	NoFailFile bool // a failure writes no file; it prints the seed that repeats it
}

// Main runs the tests of a package that uses rapid with the default options.
func Main(m *testing.M) {
	MainWith(m, Options{})
}

// MainWith runs the tests of a package that uses rapid with a fixed seed, so that each run
// gives the same verdict. The flags of rapid, such as -rapid.seed, override the options.
func MainWith(m *testing.M, options Options) {
	setFlag("rapid.seed", strconv.Itoa(options.seed()))
	if options.Checks > 0 {
		setFlag("rapid.checks", strconv.Itoa(options.Checks))
	}
	if options.NoFailFile {
		setFlag("rapid.nofailfile", "true")
	}
	flag.Parse()
	os.Exit(m.Run())
}

func (o Options) seed() int {
	if o.Seed == 0 {
		return defaultSeed
	}
	return o.Seed
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
