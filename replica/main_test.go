package replica_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/testseed"
)

func TestMain(m *testing.M) {
	testseed.MainWith(m, testseed.Options{Seed: 1, Checks: 300, NoFailFile: true})
}
