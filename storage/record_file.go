package storage

import (
	"bytes"
	"os"

	"github.com/pkg/errors"
)

// recordSalt is the salt of the frames of a RecordFile.
const recordSalt = ^uint64(3)

// RecordFile keeps payloads that are useful after a restart but of which the newest ones may be lost: unlike
// a Journal, it goes on after a file that is damaged or a disk that was full. Each payload is read back
// whole or not at all. It is for use by one goroutine.
type RecordFile struct {
	disk FileSystem
	path string
	file File   // nil if payloads cannot be appended before the next Replace
	size uint64 // bytes
}

// NewRecordFile returns the file at a path, and a function that closes it. Replace must be called before
// Append.
func NewRecordFile(disk FileSystem, path string) (*RecordFile, func()) {
	f := &RecordFile{disk: disk, path: path}
	return f, f.close
}

// Read returns the payloads in the file up to the first one that is damaged, and no error if there is no
// file.
func (f *RecordFile) Read() ([][]byte, error) {
	data, err := f.disk.Read(f.path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, nil
	case err != nil:
		return nil, newFileError(f.path, "read", err)
	}
	var payloads [][]byte
	for offset := 0; offset < len(data); {
		payload, ok := decodeFrame(recordSalt, data, offset)
		if !ok {
			return payloads, newDamagedError(f.path, "the frame at offset %d of %d bytes is invalid", offset, len(data))
		}
		payloads = append(payloads, payload)
		offset += frameHeader + len(payload)
	}
	return payloads, nil
}

// Replace replaces all payloads in the file durably. After an error the file has the former payloads or
// the new ones.
func (f *RecordFile) Replace(payloads [][]byte) error {
	f.close()
	var data bytes.Buffer
	for _, payload := range payloads {
		data.Write(encodeFrame(recordSalt, uint64(data.Len()), payload))
	}
	if err := ReplaceFile(f.disk, f.path, data.Bytes()); err != nil {
		return err
	}
	file, err := f.disk.Append(f.path)
	if err != nil {
		return newFileError(f.path, "open", err)
	}
	f.file, f.size = file, uint64(data.Len())
	return nil
}

// Append adds a payload durably. After an error, nothing can be appended before Replace has succeeded: the
// end of the file is unknown.
func (f *RecordFile) Append(payload []byte) error {
	if f.file == nil {
		return &Error{Outcome: Closed, Path: f.path, Reason: "the file was not replaced since it was opened or could not be written"}
	}
	frame := encodeFrame(recordSalt, f.size, payload)
	if err := writeAndSync(f.file, f.path, frame); err != nil {
		f.close()
		return err
	}
	f.size += uint64(len(frame))
	return nil
}

func (f *RecordFile) close() {
	if f.file != nil {
		_ = f.file.Close()
		f.file = nil
	}
}
