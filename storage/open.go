package storage

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Open locks the folder and reads its content. The returned function closes the journal and
// unlocks the folder. OutcomeOf classifies the errors.
func Open(options Options) (*Journal, State, func(), error) {
	if options.FileSystem == nil {
		options.FileSystem = OSFileSystem{}
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	j := &Journal{options: options, disk: options.FileSystem, nextIndex: 1}
	if err := j.disk.MakeFolder(options.Folder); err != nil {
		return nil, State{}, nil, newFileError(options.Folder, "make folder", err)
	}
	release, err := j.disk.Lock(j.path(lockName))
	if err != nil {
		return nil, State{}, nil, newFileError(j.path(lockName), "lock", err)
	}
	state, err := j.load()
	if err != nil {
		release()
		return nil, State{}, nil, err
	}
	return j, state, func() { j.close(); release() }, nil
}

// folderContent lists the journal's files in the folder.
type folderContent struct {
	owner, vote, snapshot bool // whether the file exists
	segments              []uint64
	temporary             []string
	hasSetAside           bool // there are files that SetAside has renamed
}

func (j *Journal) listFolder() (folderContent, error) {
	names, err := j.disk.List(j.options.Folder)
	if err != nil {
		return folderContent{}, newFileError(j.options.Folder, "list", err)
	}
	var c folderContent
	for _, name := range names {
		var number uint64
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			c.temporary = append(c.temporary, name)
		case strings.HasPrefix(name, asidePrefix):
			c.hasSetAside = true
		case name == ownerName:
			c.owner = true
		case name == voteName:
			c.vote = true
		case name == snapshotName:
			c.snapshot = true
		case scanSegment(name, &number):
			c.segments = append(c.segments, number)
		}
	}
	return c, nil
}

// scanSegment reads the number from a segment's file name. It reports false for other names.
func scanSegment(name string, number *uint64) bool {
	_, err := fmt.Sscanf(name, segmentFormat, number)
	return err == nil && name == fmt.Sprintf(segmentFormat, *number)
}

// load checks the folder's owner, removes temporary files and reads the stored state.
func (j *Journal) load() (State, error) {
	// An earlier process may have ended before it synced the file names.
	if err := j.disk.SyncFolder(j.options.Folder); err != nil {
		return State{}, newFileError(j.options.Folder, "sync folder", err)
	}
	found, err := j.listFolder()
	if err != nil {
		return State{}, err
	}
	if err := j.checkOwner(found); err != nil {
		return State{}, err
	}
	for _, name := range found.temporary {
		if err := j.disk.Remove(j.path(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return State{}, newFileError(j.path(name), "remove", err)
		}
	}
	if !found.vote && !found.snapshot && len(found.segments) == 0 {
		return State{Empty: true, HasSetAsideFiles: found.hasSetAside}, nil
	}
	state, err := j.loadState(found)
	state.HasSetAsideFiles = found.hasSetAside
	return state, err
}

// checkOwner checks that the folder belongs to the configured owner, or stores the owner in an
// empty folder.
func (j *Journal) checkOwner(found folderContent) error {
	path := j.path(ownerName)
	if !found.owner {
		if found.vote || found.snapshot || len(found.segments) > 0 {
			return newDamagedError(path, "the owner file is missing")
		}
		return j.replaceFile(path, encodeFrame(ownerSalt, 0, []byte(j.options.Owner)))
	}
	data, err := j.disk.Read(path)
	if err != nil {
		return newFileError(path, "read", err)
	}
	owner, ok := decodeFrame(ownerSalt, data, 0)
	if !ok {
		return newDamagedError(path, "the owner file is corrupt")
	}
	if string(owner) != j.options.Owner {
		reason := fmt.Sprintf("the folder belongs to member %q, not to %q", owner, j.options.Owner)
		return &Error{Outcome: WrongOwner, Path: path, Reason: reason}
	}
	return nil
}

// loadState reads the vote, the snapshot and the segments.
func (j *Journal) loadState(found folderContent) (State, error) {
	var state State
	if !found.vote {
		return State{}, newDamagedError(j.path(voteName), "the vote is missing")
	}
	data, err := j.disk.Read(j.path(voteName))
	if err != nil {
		return State{}, newFileError(j.path(voteName), "read", err)
	}
	vote, expected, err := decodeVote(data)
	if err != nil {
		return State{}, newDamagedError(j.path(voteName), "%v", err)
	}
	state.Vote, j.vote = vote, vote
	if found.snapshot {
		if state.Snapshot, err = j.readSnapshot(); err != nil {
			return State{}, err
		}
	}
	if state.Snapshot.Index < expected.snapshot {
		return State{}, newDamagedError(j.path(snapshotName), "the snapshot at entry %d is missing", expected.snapshot)
	}
	j.snapshot = state.Snapshot.Index
	if err := j.readSegments(&state, found.segments, expected.segment); err != nil {
		return State{}, err
	}
	return state, nil
}

func (j *Journal) readSnapshot() (Snapshot, error) {
	path := j.path(snapshotName)
	data, err := j.disk.Read(path)
	if err != nil {
		return Snapshot{}, newFileError(path, "read", err)
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return Snapshot{}, newDamagedError(path, "%v", err)
	}
	return s, nil
}

// newestConsecutive returns the newest segments whose numbers are consecutive and, separately,
// the older ones, which remain if a crash interrupts the removal of segments.
func newestConsecutive(numbers []uint64) (kept, stale []uint64) {
	start := len(numbers) - 1
	for start > 0 && numbers[start-1]+1 == numbers[start] {
		start--
	}
	return numbers[start:], numbers[:start]
}

// readSegments rebuilds the log from the segments and opens the newest one for appending.
func (j *Journal) readSegments(state *State, numbers []uint64, newest uint64) error {
	if len(numbers) == 0 && newest == 0 {
		return j.startSegment()
	}
	if len(numbers) == 0 || numbers[len(numbers)-1] < newest {
		return newDamagedError(j.segmentPath(newest), "the segment is missing")
	}
	kept, stale := newestConsecutive(numbers)
	replay := &replay{journal: j, state: state}
	for i, number := range kept {
		if err := replay.segment(number, i == 0, i == len(kept)-1); err != nil {
			return err
		}
	}
	if err := replay.dropUnlinkedEntries(); err != nil {
		return err
	}
	for _, number := range stale {
		if err := j.disk.Remove(j.segmentPath(number)); err != nil {
			return newFileError(j.segmentPath(number), "remove", err)
		}
	}
	if replay.entriesDropped {
		resetRecord := encodeIndexRecord(frameReset, state.Snapshot.Index)
		replay.validBytes = append(replay.validBytes, encodeFrame(j.number, uint64(len(replay.validBytes)), resetRecord)...)
	}
	return j.continueSegment(replay.validBytes)
}

// continueSegment writes the valid part of the newest segment to a new file and continues with
// that file. If the sync of an earlier process failed, the data that was read may exist only in
// the page cache. A new file also contains no remains of an incomplete last frame.
func (j *Journal) continueSegment(validBytes []byte) error {
	path := j.segmentPath(j.number)
	if err := j.replaceFile(path, validBytes); err != nil {
		return err
	}
	f, err := j.disk.Append(path)
	if err != nil {
		return newFileError(path, "open", err)
	}
	j.currentFile, j.currentSize = f, len(validBytes)
	return j.writeVote()
}

// replay rebuilds the log from the records in its segments.
type replay struct {
	journal        *Journal
	state          *State
	validBytes     []byte // valid frames of the newest segment
	entriesDropped bool   // the entries did not continue the snapshot and were dropped
	gapError       error  // entries between the snapshot and the oldest segment are missing; a later reset record clears it
}

// segment reads one segment. The flags say whether it is the oldest or the newest one.
func (r *replay) segment(number uint64, oldest, newest bool) error {
	path := r.journal.segmentPath(number)
	data, err := r.journal.disk.Read(path)
	if err != nil {
		return newFileError(path, "read", err)
	}
	offset, lastIndex := 0, uint64(0)
	for offset < len(data) {
		payload, ok := decodeFrame(number, data, offset)
		if !ok {
			break
		}
		rec, err := decodeRecord(payload)
		if err != nil {
			return newDamagedError(path, "offset %d: %v", offset, err)
		}
		if (rec.kind == frameStart) != (offset == 0) {
			return newDamagedError(path, "offset %d: unexpected kind of record", offset)
		}
		if err := r.apply(path, offset, rec, oldest); err != nil {
			return err
		}
		for _, e := range rec.entries {
			lastIndex = max(lastIndex, e.Index)
		}
		offset += frameHeader + len(payload)
	}
	if err := r.checkTail(path, number, data, offset, newest); err != nil {
		return err
	}
	r.validBytes = data[:offset]
	if newest {
		r.journal.number, r.journal.lastIndex = number, lastIndex
		return nil
	}
	r.journal.closedSegments = append(r.journal.closedSegments, segment{number: number, lastIndex: lastIndex})
	return nil
}

// checkTail returns an error for bytes after the last valid frame, unless a crash during a
// write explains them: they must be in the newest segment, and no valid frame may follow.
func (r *replay) checkTail(path string, number uint64, data []byte, offset int, newest bool) error {
	if offset == 0 {
		return newDamagedError(path, "the start of the segment cannot be read")
	}
	if offset == len(data) {
		return nil
	}
	if !newest {
		return newDamagedError(path, "offset %d: invalid record in an old segment", offset)
	}
	if frameFollows(number, data, offset) {
		return newDamagedError(path, "offset %d: invalid record before valid ones", offset)
	}
	r.state.TruncatedBytes = len(data) - offset
	return nil
}

// nextIndex returns the index of the entry that continues the log.
func (r *replay) nextIndex() uint64 {
	if n := len(r.state.Entries); n > 0 {
		return r.state.Entries[n-1].Index + 1
	}
	return r.journal.nextIndex
}

// apply applies one record to the state.
func (r *replay) apply(path string, offset int, rec record, oldest bool) error {
	switch rec.kind {
	case frameStart:
		if oldest && rec.index > r.state.Snapshot.Index+1 {
			r.gapError = newDamagedError(path, "the log starts at entry %d, after the snapshot's end at %d", rec.index, r.state.Snapshot.Index)
		}
		if oldest {
			r.journal.nextIndex = rec.index
		} else if rec.index != r.nextIndex() {
			return newDamagedError(path, "the segment starts at entry %d, want %d", rec.index, r.nextIndex())
		}
	case frameReset:
		if rec.index > r.state.Snapshot.Index {
			return newDamagedError(path, "offset %d: the snapshot at entry %d is missing", offset, rec.index)
		}
		r.state.Entries, r.gapError = nil, nil
		r.journal.nextIndex = rec.index + 1
	default:
		return r.entries(path, offset, rec.entries)
	}
	return nil
}

// entries adds entries to the log. An entry with an existing index replaces that entry and all
// that follow it.
func (r *replay) entries(path string, offset int, entries []Entry) error {
	for _, e := range entries {
		nextIndex := r.nextIndex()
		if e.Index > nextIndex || e.Index == 0 {
			return newDamagedError(path, "offset %d: entry %d does not follow entry %d", offset, e.Index, nextIndex-1)
		}
		count := uint64(len(r.state.Entries))
		r.state.Entries = r.state.Entries[:count-min(count, nextIndex-e.Index)]
		r.state.Entries = append(r.state.Entries, e)
		if len(r.state.Entries) == 1 {
			r.journal.nextIndex = e.Index
		}
	}
	return nil
}

// dropUnlinkedEntries drops entries that do not continue the snapshot and sets the index of the next entry.
// Such entries remain if a crash came after a snapshot from the leader was stored and before
// the log was reset.
func (r *replay) dropUnlinkedEntries() error {
	if r.gapError != nil {
		return r.gapError
	}
	nextIndex, s := r.nextIndex(), r.state.Snapshot
	r.entriesDropped = nextIndex <= s.Index
	for _, e := range r.state.Entries {
		if e.Index == s.Index && e.Term != s.Term {
			r.entriesDropped = true
		}
	}
	if r.entriesDropped {
		r.state.Entries = nil
		nextIndex = s.Index + 1
	}
	if len(r.state.Entries) > 0 && r.state.Entries[0].Index > s.Index+1 {
		return newDamagedError(r.journal.options.Folder, "entry %d is missing", s.Index+1)
	}
	r.journal.nextIndex = nextIndex
	return nil
}

// SetAside renames the files of a folder that can no longer be used, so that the next Open
// finds an empty folder. It renames the vote last: if a crash interrupts it, the next Open
// reports a damaged folder instead of accepting a part of the files.
func SetAside(fileSystem FileSystem, folder, label string) error {
	if fileSystem == nil {
		fileSystem = OSFileSystem{}
	}
	j := &Journal{options: Options{Folder: folder}, disk: fileSystem}
	names, err := fileSystem.List(folder)
	if err != nil {
		return newFileError(folder, "list", err)
	}
	release, err := fileSystem.Lock(j.path(lockName))
	if err != nil {
		return newFileError(j.path(lockName), "lock", err)
	}
	defer release()
	for _, name := range names {
		var number uint64
		if name != voteName && name != snapshotName && name != ownerName && !scanSegment(name, &number) {
			continue
		}
		err := fileSystem.Rename(j.path(name), j.path(asidePrefix+label+"-"+name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return newFileError(j.path(name), "rename", err)
		}
	}
	if err := fileSystem.SyncFolder(folder); err != nil {
		return newFileError(folder, "sync folder", err)
	}
	return nil
}
