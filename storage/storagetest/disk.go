// Package storagetest provides an in-memory file system for tests. It can lose unsynced data,
// write data only in part, and fail or crash at any operation.
package storagetest

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/storage"
)

// ErrCrashed is returned by every operation between a crash and Restart.
var ErrCrashed = errors.New("crashed")

// fakeFile is a file. As with the page cache of Linux, the data of a failed sync can still be
// read, but no later sync makes it durable.
type fakeFile struct {
	data      []byte
	durable   []byte // synced data, which remains after a power loss
	lostEnd   int    // end offset of the bytes that a failed sync has lost; 0 if no sync has failed
	lostStart int    // offset of the first of these bytes
}

// nameChange is a new or removed file name that is not durable yet.
type nameChange struct {
	path string
	file *fakeFile // nil means that the name is removed
}

// Disk is the fake file system. Use New to create one; the zero value is not usable.
type Disk struct {
	mu             sync.Mutex
	random         *rand.Rand
	names          map[string]*fakeFile // files by path, as the running process sees them
	durable        map[string]*fakeFile // files by path, as they remain after a power loss
	unsyncedNames  []nameChange
	locks          map[string]bool // whether a lock is held, by path; a path that is missing has no file yet
	generation     int             // number of restarts; file handles of earlier generations fail
	steps          int             // operations so far that could fail
	stepsToFailure int             // operations until the one that fails; 0 means none
	failure        error           // error of that operation
	refusal        error           // error of every operation that writes; nil if the disk takes writes
	crashed        bool
}

// New returns an empty disk.
func New(seed uint64) *Disk {
	return &Disk{
		random: rand.New(rand.NewPCG(seed, 1)),
		names:  map[string]*fakeFile{}, durable: map[string]*fakeFile{}, locks: map[string]bool{},
	}
}

// ScheduleFailure makes the operation that is the given number of steps ahead fail; 1 means the next one.
// With ErrCrashed, the disk stops in the middle of that operation.
func (d *Disk) ScheduleFailure(steps int, failure error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepsToFailure, d.failure = steps, failure
}

// Refuse makes every operation that writes fail until Refuse is called with nil. A write that fails
// may write a part of the data, and a sync that fails loses the data that it covers.
func (d *Disk) Refuse(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusal = err
}

// Refuses reports whether the disk refuses writes.
func (d *Disk) Refuses() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refusal != nil
}

// Steps returns the number of operations so far that could fail.
func (d *Disk) Steps() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.steps
}

// Crashed reports whether the disk has stopped after a crash.
func (d *Disk) Crashed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed
}

// Restart simulates a restart of the process that uses the disk. If power was lost, unsynced
// data is lost at least in part, and unsynced names may be lost.
func (d *Disk) Restart(powerLost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.crashed, d.stepsToFailure = false, 0
	for path := range d.locks {
		d.locks[path] = false
	}
	if powerLost {
		d.losePower()
	}
}

func (d *Disk) losePower() {
	for _, c := range d.unsyncedNames {
		if d.random.IntN(2) == 0 {
			d.makeDurable(c)
		}
	}
	d.unsyncedNames = nil
	d.names = map[string]*fakeFile{}
	paths := make([]string, 0, len(d.durable))
	for path := range d.durable {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	for _, path := range paths {
		f := d.durable[path]
		kept := d.dataAfterPowerLoss(f)
		f = &fakeFile{data: kept, durable: slices.Clone(kept)}
		d.names[path], d.durable[path] = f, f
	}
}

func (d *Disk) makeDurable(c nameChange) {
	if c.file == nil {
		delete(d.durable, c.path)
		return
	}
	d.durable[c.path] = c.file
}

// dataAfterPowerLoss returns what remains of a file after a power loss: the synced data and
// a random part of the rest, in which some bytes may be zero.
func (d *Disk) dataAfterPowerLoss(f *fakeFile) []byte {
	kept := slices.Clone(f.durable)
	if len(f.data) <= len(kept) {
		return kept
	}
	rest := slices.Clone(f.data[len(kept):])
	rest = rest[:d.random.IntN(len(rest)+1)]
	if len(rest) > 0 && d.random.IntN(2) == 0 {
		from := d.random.IntN(len(rest))
		clear(rest[from:min(len(rest), from+1+d.random.IntN(64))])
	}
	return append(kept, rest...)
}

// Wipe removes all files.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names, d.durable, d.unsyncedNames = map[string]*fakeFile{}, map[string]*fakeFile{}, nil
	clear(d.locks)
}

// FlipBit flips one bit of the byte at offset. It reports false if there is no such byte.
func (d *Disk) FlipBit(path string, offset int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.names[path]
	if !ok || offset >= len(f.data) {
		return false
	}
	f.data[offset] ^= 1
	if offset < len(f.durable) {
		f.durable[offset] ^= 1
	}
	return true
}

// Size returns the length of a file, or -1 if there is no such file.
func (d *Disk) Size(path string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.names[path]
	if !ok {
		return -1
	}
	return len(f.data)
}

// RemoveDurably removes a file durably.
func (d *Disk) RemoveDurably(path string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.names, path)
	delete(d.durable, path)
}

// countStep counts an operation that could fail and returns its failure, if one is
// scheduled. The caller holds d.mu.
func (d *Disk) countStep() error {
	if d.crashed {
		return ErrCrashed
	}
	d.steps++
	if d.stepsToFailure == 0 {
		return d.refusal
	}
	d.stepsToFailure--
	if d.stepsToFailure > 0 {
		return d.refusal
	}
	d.crashed = errors.Is(d.failure, ErrCrashed)
	return d.failure
}

// errNotExist returns the error for a missing file.
func errNotExist(path string) error {
	return &os.PathError{Op: "open", Path: path, Err: os.ErrNotExist}
}

// Read returns the content of a file.
func (d *Disk) Read(path string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	f, ok := d.names[path]
	if !ok {
		return nil, errNotExist(path)
	}
	return slices.Clone(f.data), nil
}

// setName makes a path refer to a file, or removes the path if the file is nil. The caller
// holds d.mu.
func (d *Disk) setName(path string, f *fakeFile) {
	if f == nil {
		delete(d.names, path)
	} else {
		d.names[path] = f
	}
	d.unsyncedNames = append(d.unsyncedNames, nameChange{path: path, file: f})
}

// Create opens an empty file for writing.
func (d *Disk) Create(path string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return nil, err
	}
	f := &fakeFile{}
	d.setName(path, f)
	return &handle{disk: d, file: f, generation: d.generation}, nil
}

// Append opens an existing file for writing at its end.
func (d *Disk) Append(path string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return nil, err
	}
	f, ok := d.names[path]
	if !ok {
		return nil, errNotExist(path)
	}
	return &handle{disk: d, file: f, generation: d.generation}, nil
}

// List returns the sorted names of the files in a folder.
func (d *Disk) List(folder string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	var names []string
	for path := range d.names {
		if filepath.Dir(path) == filepath.Clean(folder) {
			names = append(names, filepath.Base(path))
		}
	}
	sort.Strings(names)
	return names, nil
}

// MakeFolder only counts as an operation: a folder exists as soon as it contains a file.
func (d *Disk) MakeFolder(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.countStep()
}

// SyncFolder makes all file names durable.
func (d *Disk) SyncFolder(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	for _, c := range d.unsyncedNames {
		d.makeDurable(c)
	}
	d.unsyncedNames = nil
	return nil
}

// Rename renames a file and replaces an existing one. The new and the removed name become
// durable with the next SyncFolder.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	f, ok := d.names[from]
	if !ok {
		return errNotExist(from)
	}
	d.setName(to, f)
	d.setName(from, nil)
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.countStep(); err != nil {
		return err
	}
	if _, ok := d.names[path]; !ok {
		return errNotExist(path)
	}
	d.setName(path, nil)
	return nil
}

// Lock takes an exclusive lock and returns a function that releases it. The lock ends with
// Restart at the latest.
func (d *Disk) Lock(path string) (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	if d.locks[path] {
		return nil, syscall.EWOULDBLOCK
	}
	if _, exists := d.locks[path]; !exists && d.refusal != nil {
		return nil, d.refusal
	}
	d.locks[path] = true
	generation := d.generation
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.generation == generation {
			d.locks[path] = false
		}
	}, nil
}

// handle is a file that is open for writing.
type handle struct {
	disk       *Disk
	file       *fakeFile
	generation int
}

func (h *handle) countStep() error {
	if h.generation != h.disk.generation {
		return ErrCrashed
	}
	return h.disk.countStep()
}

// Write appends data. A write that fails or crashes may write a part of the data.
func (h *handle) Write(data []byte) (int, error) {
	d := h.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	wasCrashed := d.crashed
	if err := h.countStep(); err != nil {
		if wasCrashed || h.generation != d.generation {
			return 0, err
		}
		n := d.random.IntN(len(data) + 1)
		h.file.data = append(h.file.data, data[:n]...)
		return n, err
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

// Sync makes the file's data durable. After a failed sync the data can be read until power is
// lost, but no later sync of the file makes it durable.
func (h *handle) Sync() error {
	d := h.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	f := h.file
	if err := h.countStep(); err != nil {
		f.lostStart, f.lostEnd = len(f.durable), len(f.data)
		return err
	}
	f.durable = slices.Clone(f.data)
	if f.lostEnd > 0 {
		clear(f.durable[f.lostStart:f.lostEnd])
	}
	return nil
}

func (h *handle) Close() error { return nil }
