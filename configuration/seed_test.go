package configuration_test

import "flag"

// Property tests draw the same cases in every run; -rapid.seed overrides the
// seed.
func init() { _ = flag.Set("rapid.seed", "1") }
