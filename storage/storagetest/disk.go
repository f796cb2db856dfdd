// Package storagetest provides a file system in memory for tests, which loses
// unsynced data, tears writes, fails at any step and crashes at any step.
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

// content is a file. A sync that failed leaves bytes that reads return and that
// no later sync makes durable, like the page cache of Linux.
type content struct {
	data    []byte
	durable []byte
	lost    int // bytes before this offset that a failed sync dropped start at lostFrom
	from    int
}

// change is a change of a name that is not durable yet.
type change struct {
	path string
	file *content // nil removes the name
}

// Disk is the fake file system. The zero value is not usable; use New.
type Disk struct {
	mu      sync.Mutex
	random  *rand.Rand
	names   map[string]*content
	durable map[string]*content
	changes []change
	locks   map[string]bool
	life    int // handles of an earlier life are dead
	steps   int
	armed   int // steps until the armed failure; 0 means none
	failure error
	crashed bool
}

// New returns an empty disk.
func New(seed uint64) *Disk {
	return &Disk{
		random: rand.New(rand.NewPCG(seed, 1)),
		names:  map[string]*content{}, durable: map[string]*content{}, locks: map[string]bool{},
	}
}

// ScheduleFailure makes the operation that is the given number of steps ahead fail with an
// error. ErrCrashed stops the disk in the middle of that operation.
func (d *Disk) ScheduleFailure(steps int, failure error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.armed, d.failure = steps, failure
}

// Steps returns the number of operations that could fail so far.
func (d *Disk) Steps() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.steps
}

// Crashed reports whether the disk has stopped.
func (d *Disk) Crashed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashed
}

// Restart ends the process that uses the disk. With power lost, unsynced data
// are lost or torn and unsynced names may be lost.
func (d *Disk) Restart(powerLost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	d.crashed, d.armed = false, 0
	d.locks = map[string]bool{}
	if powerLost {
		d.losePower()
	}
}

func (d *Disk) losePower() {
	for _, c := range d.changes {
		if d.random.IntN(2) == 0 {
			d.apply(c)
		}
	}
	d.changes = nil
	d.names = map[string]*content{}
	paths := make([]string, 0, len(d.durable))
	for path := range d.durable {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	for _, path := range paths {
		f := d.durable[path]
		kept := d.tear(f)
		f = &content{data: kept, durable: slices.Clone(kept)}
		d.names[path], d.durable[path] = f, f
	}
}

func (d *Disk) apply(c change) {
	if c.file == nil {
		delete(d.durable, c.path)
		return
	}
	d.durable[c.path] = c.file
}

// tear returns what is left of a file: the synced part, and a part of the rest
// in which blocks may be zero.
func (d *Disk) tear(f *content) []byte {
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

// Wipe empties the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names, d.durable, d.changes = map[string]*content{}, map[string]*content{}, nil
}

// FlipBit flips one bit of a file. It reports false when there is no such byte.
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

// Size returns the length of a file, or -1.
func (d *Disk) Size(path string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.names[path]
	if !ok {
		return -1
	}
	return len(f.data)
}

// RemoveDurably removes a file for good.
func (d *Disk) RemoveDurably(path string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.names, path)
	delete(d.durable, path)
}

// step counts an operation and returns its failure. The caller holds the lock.
func (d *Disk) step() error {
	if d.crashed {
		return ErrCrashed
	}
	d.steps++
	if d.armed == 0 {
		return nil
	}
	d.armed--
	if d.armed > 0 {
		return nil
	}
	d.crashed = errors.Is(d.failure, ErrCrashed)
	return d.failure
}

func missing(path string) error {
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
		return nil, missing(path)
	}
	return slices.Clone(f.data), nil
}

func (d *Disk) rename(path string, f *content) {
	if f == nil {
		delete(d.names, path)
	} else {
		d.names[path] = f
	}
	d.changes = append(d.changes, change{path: path, file: f})
}

// Create opens an empty file for writing.
func (d *Disk) Create(path string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	f := &content{}
	d.rename(path, f)
	return &handle{disk: d, file: f, life: d.life}, nil
}

// Append opens an existing file for writing at its end.
func (d *Disk) Append(path string) (storage.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	f, ok := d.names[path]
	if !ok {
		return nil, missing(path)
	}
	return &handle{disk: d, file: f, life: d.life}, nil
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

// MakeFolder does nothing; a folder exists when a file is in it.
func (d *Disk) MakeFolder(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.step()
}

// SyncFolder makes all names durable.
func (d *Disk) SyncFolder(string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	for _, c := range d.changes {
		d.apply(c)
	}
	d.changes = nil
	return nil
}

// Rename replaces the file at to with the file at from, durably both or neither.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	f, ok := d.names[from]
	if !ok {
		return missing(from)
	}
	d.rename(to, f)
	d.rename(from, nil)
	return nil
}

// Remove deletes a file.
func (d *Disk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	if _, ok := d.names[path]; !ok {
		return missing(path)
	}
	d.rename(path, nil)
	return nil
}

// Lock takes an exclusive lock that ends with Restart at the latest.
func (d *Disk) Lock(path string) (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	if d.locks[path] {
		return nil, syscall.EWOULDBLOCK
	}
	d.locks[path] = true
	life := d.life
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.life == life {
			delete(d.locks, path)
		}
	}, nil
}

type handle struct {
	disk *Disk
	file *content
	life int
}

func (h *handle) step() error {
	if h.life != h.disk.life {
		return ErrCrashed
	}
	return h.disk.step()
}

// Write appends data. A write that fails or crashes may leave a part of them.
func (h *handle) Write(data []byte) (int, error) {
	d := h.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.crashed
	if err := h.step(); err != nil {
		if before || h.life != d.life {
			return 0, err
		}
		n := d.random.IntN(len(data) + 1)
		h.file.data = append(h.file.data, data[:n]...)
		return n, err
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

// Sync makes the file's data durable. After a failure the data stay readable
// until power is lost, and no later sync of the same file saves them.
func (h *handle) Sync() error {
	d := h.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	f := h.file
	if err := h.step(); err != nil {
		f.from, f.lost = len(f.durable), len(f.data)
		return err
	}
	f.durable = slices.Clone(f.data)
	if f.lost > 0 {
		clear(f.durable[f.from:f.lost])
	}
	return nil
}

func (h *handle) Close() error { return nil }
