package claim_test

import "flag"

// Property tests draw the same cases in every run; -rapid.seed overrides it. The
// rules of claims are worth more than the default of 100 cases.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
}
