package claim_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain sets 1000 cases instead of rapid's default of 100, because an error in the rules of
// claims can run a call twice.
func TestMain(m *testing.M) {
	testseed.MainWith(m, testseed.Options{Seed: 1, Checks: 1000})
}
