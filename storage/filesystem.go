package storage

import (
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/pkg/errors"
)

// File is a file that is open for writing. Written data is durable once Sync has returned
// without an error.
type File interface {
	Write(data []byte) (int, error)
	Sync() error
	Close() error
}

// FileAccess opens and reads files.
type FileAccess interface {
	Read(path string) ([]byte, error)
	Create(path string) (File, error)
	Append(path string) (File, error)
}

// FolderOperations lists and creates folders. Created, renamed and removed names are durable once
// SyncFolder has returned without an error.
type FolderOperations interface {
	List(folder string) ([]string, error)
	MakeFolder(folder string) error
	SyncFolder(folder string) error
}

// FileNameOperations renames, removes and locks files.
type FileNameOperations interface {
	Rename(from, to string) error
	Remove(path string) error
	Lock(path string) (func(), error)
}

// FileSystem contains the file operations that a journal needs. The error for a missing file
// matches os.ErrNotExist.
type FileSystem interface {
	FileAccess
	FolderOperations
	FileNameOperations
}

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// OSFileSystem is the file system of the operating system.
type OSFileSystem struct{}

// Read returns the content of a file.
func (OSFileSystem) Read(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// Create opens an empty file for writing.
func (OSFileSystem) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append opens an existing file for writing at its end.
func (OSFileSystem) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// List returns the sorted names of the files in a folder.
func (OSFileSystem) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// MakeFolder creates a folder and its parents.
func (OSFileSystem) MakeFolder(folder string) error {
	return os.MkdirAll(folder, folderMode)
}

// SyncFolder makes the file names in a folder durable.
func (OSFileSystem) SyncFolder(folder string) error {
	f, err := os.Open(filepath.Clean(folder))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// Rename renames a file and replaces an existing one.
func (OSFileSystem) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove deletes a file.
func (OSFileSystem) Remove(path string) error {
	return os.Remove(path)
}

// Lock takes an exclusive lock without waiting for it and returns a function that releases
// it. The lock ends with the process at the latest.
func (OSFileSystem) Lock(path string) (func(), error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "lock %s", path)
	}
	return func() { _ = f.Close() }, nil
}
