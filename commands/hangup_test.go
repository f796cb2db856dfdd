package commands_test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// Guards against a process that SIGHUP ends during its start. The users'
// infrastructure sends the signal when the settings file changes, which may be before the
// process has read it.
func TestHangupDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "relay.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, "serve", "relay", "--settings", path)
	var settings *os.File
	eventually(t, "the process reads its settings", func() bool {
		var err error
		// A named pipe cannot be opened for writing without a reader.
		settings, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	sendSignal(t, p, syscall.SIGHUP)
	_, err := fmt.Fprintf(settings, "role: relay\nname: relay-1\navailability_zone: z\naddress: 127.0.0.1\nlisten: %s\nready_listen: %s\npeer_port: 1\nseeds: [\"127.0.0.1:1\"]\n",
		freeAddress(t), freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	if err := settings.Close(); err != nil {
		t.Fatal(err)
	}
	p.address(t)
}
