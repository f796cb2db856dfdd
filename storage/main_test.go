package storage_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/testseed"
)

func TestMain(m *testing.M) {
	testseed.MainWith(m, testseed.Options{Seed: 1, NoFailFile: true})
}
