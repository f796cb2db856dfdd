package storage

import "path/filepath"

// ReplaceFile replaces a file atomically and durably: it writes and syncs a temporary file, renames it
// and syncs the folder. OutcomeOf classifies the errors.
func ReplaceFile(disk FileSystem, path string, data []byte) error {
	temporary := path + temporarySuffix
	if err := createFile(disk, temporary, data); err != nil {
		// A later attempt needs the space, and a file whose sync has failed is not used again.
		_ = disk.Remove(temporary)
		return err
	}
	if err := disk.Rename(temporary, path); err != nil {
		return newFileError(path, "rename", err)
	}
	if err := disk.SyncFolder(filepath.Dir(path)); err != nil {
		return newFileError(path, "sync folder", err)
	}
	return nil
}

// createFile creates a file with the data and syncs it.
func createFile(disk FileSystem, path string, data []byte) error {
	f, err := disk.Create(path)
	if err != nil {
		return newFileError(path, "create", err)
	}
	if err := writeAndSync(f, path, data); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return newFileError(path, "close", err)
	}
	return nil
}
