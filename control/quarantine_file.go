package control

import (
	"context"
	"encoding/json"
	"path/filepath"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/storage"
)

const (
	// quarantineFileName is the name of the file in the data folder that keeps the evidence against
	// suspects, so that servers need not end again to condemn them once all processes were killed.
	quarantineFileName = "quarantine.json"
	// quarantineSaveInterval bounds how much evidence a kill loses, and how often the disk is written.
	quarantineSaveInterval = 100 * clock.Millisecond
)

// quarantineFile keeps the evidence against suspects on disk.
type quarantineFile struct {
	path   string
	disk   storage.FileSystem
	known  *quarantine.Quarantine
	clock  clock.Clock
	logger event.Logger

	saved  uint64 // number of the newest change that was saved
	failed bool   // the newest attempt to save failed
}

func newQuarantineFile(c *Control) *quarantineFile {
	return &quarantineFile{
		path: filepath.Join(c.options.Folder, quarantineFileName), disk: storage.OSFileSystem{},
		known: c.quarantine, clock: c.options.Clock, logger: c.options.Logger,
	}
}

// load takes over the evidence of an earlier process. A file that is missing or unreadable is no failure:
// the evidence is collected anew.
func (f *quarantineFile) load() {
	data, err := f.disk.Read(f.path)
	if err != nil {
		return
	}
	var wire quarantine.WireReport
	if err := json.Unmarshal(data, &wire); err != nil {
		f.logger.Log(event.QuarantineNotSaved, zap.String("path", f.path), zap.Error(err))
		return
	}
	// The file has ages. They do not grow while no process runs, so that evidence is kept longer.
	f.known.Merge(f.clock.Now(), wire.Report())
}

// run saves changed evidence until ctx ends.
func (f *quarantineFile) run(ctx context.Context) {
	f.clock.Every(ctx, quarantineSaveInterval, f.save)
}

// save writes the evidence to disk if it has changed. It is tried again if it fails, for example because
// the disk is full.
func (f *quarantineFile) save() {
	report, newest, changed := f.known.Evidence(f.clock.Now(), f.saved)
	if !changed {
		return
	}
	err := f.write(report)
	if err != nil && !f.failed {
		f.logger.Log(event.QuarantineNotSaved, zap.String("path", f.path), zap.Error(err))
	}
	if f.failed = err != nil; !f.failed {
		f.saved = newest
	}
}

func (f *quarantineFile) write(report quarantine.Report) error {
	data, err := json.Marshal(quarantine.ToWire(report))
	if err != nil {
		return err
	}
	return storage.ReplaceFile(f.disk, f.path, data)
}
