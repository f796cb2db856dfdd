// Package commandstest builds the program for tests that run it as processes.
package commandstest

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

var (
	build = sync.OnceValues(buildBinary)
	built string // folder; empty until the program is built
)

// BinaryPath returns the path of the program, which is built at the first call.
func BinaryPath() (string, error) { return build() }

func buildBinary() (string, error) {
	folder, err := os.MkdirTemp("", "galenaslip-test-")
	if err != nil {
		return "", errors.WithStack(err)
	}
	built = folder
	path := filepath.Join(folder, "galenaslip")
	output, err := exec.Command("go", "build", "-o", path, "github.com/galenaslip/galenaslip").CombinedOutput()
	return path, errors.Wrapf(err, "building the program: %s", output)
}

// RemoveBinary removes the program; TestMain calls it after the tests.
func RemoveBinary() {
	if built != "" {
		_ = os.RemoveAll(built) // it lies in the folder for temporary files
	}
}
