package storage

// Repair makes the journal usable again after a failed operation; it does nothing if none has
// failed. It restores the state that was confirmed last, with these exceptions: a vote or a
// snapshot whose operation failed may be stored already. The caller has to repeat the failed
// operation next: that replaces the other files which it had begun to write.
//
// After a failed write or sync the current segment may end in bytes that are only in the page
// cache, and a later sync of that file can succeed without them. Repair therefore neither syncs nor
// appends to that file again, but copies the bytes whose sync has succeeded to a new file.
//
// Repair returns the number of bytes that it has cut off. If the disk still refuses writes, it returns an error and can be called again. An error with
// the outcome Damaged means that confirmed data can no longer be read: the member must not vote with
// this folder again.
func (j *Journal) Repair() (cutBytes int, err error) {
	if j.closed || j.failure == nil || j.number == 0 {
		// Without a segment nothing has been confirmed yet, and the folder has to be opened again.
		return 0, j.checkUsable()
	}
	// The vote is small. It shows whether the disk takes writes before a whole segment is copied.
	if err := j.writeVote(); err != nil {
		return 0, err
	}
	confirmed, cutBytes, err := j.readConfirmed()
	if err != nil {
		return 0, err
	}
	if j.currentFile != nil {
		_ = j.currentFile.Close()
		j.currentFile = nil
	}
	if err := j.continueSegment(confirmed); err != nil {
		return 0, err
	}
	j.failure = nil
	return cutBytes, nil
}

// readConfirmed returns the part of the current segment whose sync has succeeded, and the number of
// bytes after it.
func (j *Journal) readConfirmed() (confirmed []byte, restBytes int, err error) {
	path := j.segmentPath(j.number)
	data, err := j.disk.Read(path)
	if err != nil {
		return nil, 0, newFileError(path, "read", err)
	}
	if len(data) < j.currentSize {
		return nil, 0, newDamagedError(path, "%d bytes of %d that were confirmed are left", len(data), j.currentSize)
	}
	confirmed = data[:j.currentSize]
	for offset := 0; offset < len(confirmed); {
		payload, ok := decodeFrame(j.number, confirmed, offset)
		if !ok {
			return nil, 0, newDamagedError(path, "offset %d: a record that was confirmed has changed", offset)
		}
		offset += frameHeader + len(payload)
	}
	return confirmed, len(data) - j.currentSize, nil
}
