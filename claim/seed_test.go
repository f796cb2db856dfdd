package claim_test

import "flag"

// Property tests draw the same cases in every run; -rapid.seed overrides the seed.
// The rules of claims are important enough for 1000 cases instead of rapid's
// default of 100.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}
