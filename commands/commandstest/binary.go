// Package commandstest builds the program for tests that run it as separate
// processes.
package commandstest

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

var (
	buildOnce   = sync.OnceValues(buildBinary)
	buildFolder string // folder of the program; empty until it is built
)

// BinaryPath returns the path of the program. The first call builds it.
func BinaryPath() (string, error) { return buildOnce() }

func buildBinary() (string, error) {
	folder, err := os.MkdirTemp("", "galenaslip-test-")
	if err != nil {
		return "", errors.WithStack(err)
	}
	buildFolder = folder
	path := filepath.Join(folder, "galenaslip")
	output, err := exec.Command("go", "build", "-o", path, "github.com/galenaslip/galenaslip").CombinedOutput()
	return path, errors.Wrapf(err, "building the program: %s", output)
}

// RemoveBinary removes the program that BinaryPath has built. TestMain calls it after the
// tests.
func RemoveBinary() {
	if buildFolder != "" {
		_ = os.RemoveAll(buildFolder) // a leftover in the folder for temporary files does no harm
	}
}
