package storage

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  uint8
	Data  []byte
}

// Vote is the persistent state of a member besides its log: its current term and its vote in
// that term, its identity, and the epoch of its membership.
type Vote struct {
	Term             uint64
	VotedFor         string // identity of the member voted for in Term; empty if none
	Identity         string
	Epoch            uint64            // membership epoch: 1 at the founding, incremented by each recovery; 0 if not known yet
	FolderID         string            // random ID of the data folder; a new one is chosen for an empty folder
	Founders         []byte            // encoded founding members; empty if the member joined later
	FounderFolderIDs map[string]string // FolderID of each founding member, by identity; empty until the group is founded
}

// Snapshot is the encoded membership and state of the state machine after the entry at Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []byte
	Data    []byte
}

// State is what Open has read from the folder.
type State struct {
	Empty            bool // nothing is stored yet; SaveVote must be called first
	HasSetAsideFiles bool // the folder contains unusable files that SetAside has renamed
	Vote             Vote
	Snapshot         Snapshot
	Entries          []Entry // with consecutive indexes; may start at or before the snapshot's index
	TruncatedBytes   int     // number of bytes of an incomplete last frame that were dropped
}

// Options configures a journal.
type Options struct {
	Folder       string
	Owner        string // name of the member that the folder belongs to
	FileSystem   FileSystem
	SegmentBytes int // 0 means DefaultSegmentBytes
}

const (
	// DefaultSegmentBytes is the default size in bytes at which a new segment is started.
	DefaultSegmentBytes = 4 << 20
	// minClosedSegmentBytes is the size in bytes from which on SaveSnapshot closes the current
	// segment, so that a later snapshot can remove it.
	minClosedSegmentBytes = 64 << 10
)

const (
	lockName        = "lock"
	ownerName       = "owner"
	voteName        = "vote"
	snapshotName    = "snapshot"
	temporarySuffix = ".tmp"
	asidePrefix     = "aside-"
	segmentFormat   = "segment-%016d"
)

// segment is a segment file that is no longer written to.
type segment struct {
	number    uint64
	lastIndex uint64 // highest entry index stored in the segment
}

// Journal stores the state of one member. It isn't safe for concurrent use.
type Journal struct {
	options        Options
	disk           FileSystem
	vote           Vote
	closedSegments []segment // oldest first
	number         uint64    // number of the current segment; 0 means that there is none yet
	lastIndex      uint64    // highest entry index stored in the current segment
	currentSize    int       // bytes
	nextIndex      uint64    // index of the next new entry
	currentFile    File
	snapshot       uint64 // index of the newest snapshot; 0 means none
	failure        error  // failure since the last Repair; nil if none
	closed         bool
}

func (j *Journal) path(name string) string {
	return filepath.Join(j.options.Folder, name)
}

func (j *Journal) segmentPath(number uint64) string {
	return j.path(fmt.Sprintf(segmentFormat, number))
}

// recordFailure records a failure, after which the journal refuses all operations until Repair
// succeeds. It returns err.
func (j *Journal) recordFailure(err error) error {
	if err != nil && j.failure == nil {
		j.failure = err
	}
	return err
}

// checkUsable returns an error if an earlier operation failed or the journal was closed.
func (j *Journal) checkUsable() error {
	switch {
	case j.closed:
		return &Error{Outcome: Closed, Path: j.options.Folder, Reason: "the journal is closed"}
	case j.failure != nil:
		return &Error{Outcome: Closed, Path: j.options.Folder, Reason: "an earlier operation failed", Cause: j.failure}
	default:
		return nil
	}
}

// replaceFile is ReplaceFile for files of the journal.
func (j *Journal) replaceFile(path string, data []byte) error { return ReplaceFile(j.disk, path, data) }

func writeAndSync(f File, path string, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return newFileError(path, "write", err)
	}
	if err := f.Sync(); err != nil {
		return newFileError(path, "sync", err)
	}
	return nil
}

// SaveVote stores the vote durably. In an empty folder it also starts the first segment.
func (j *Journal) SaveVote(v Vote) error {
	if err := j.checkUsable(); err != nil {
		return err
	}
	j.vote = v
	if err := j.writeVote(); err != nil {
		return j.recordFailure(err)
	}
	if j.number == 0 {
		return j.recordFailure(j.startSegment())
	}
	return nil
}

// writeVote stores the vote, together with the number of the current segment and the index of
// the snapshot, so that the loss of one of these files is detected.
func (j *Journal) writeVote() error {
	data, err := encodeVote(j.vote, expectedFiles{segment: j.number, snapshot: j.snapshot})
	if err != nil {
		return err
	}
	return j.replaceFile(j.path(voteName), data)
}

// startSegment closes the current segment and starts a new one.
func (j *Journal) startSegment() error {
	number := j.number + 1
	path := j.segmentPath(number)
	start := encodeFrame(number, 0, encodeIndexRecord(frameStart, j.nextIndex))
	if err := j.replaceFile(path, start); err != nil {
		return err
	}
	f, err := j.disk.Append(path)
	if err != nil {
		return newFileError(path, "open", err)
	}
	if j.currentFile != nil {
		_ = j.currentFile.Close()
		j.closedSegments = append(j.closedSegments, segment{number: j.number, lastIndex: j.lastIndex})
	}
	j.currentFile, j.number, j.currentSize, j.lastIndex = f, number, len(start), 0
	return j.writeVote()
}

// Append stores entries with one write and one sync. The first index must not exceed the
// newest stored index by more than one; stored entries from that index on are replaced.
func (j *Journal) Append(entries []Entry) error {
	if err := j.checkUsable(); err != nil {
		return err
	}
	if len(entries) == 0 {
		return nil
	}
	if entries[0].Index > j.nextIndex {
		return errors.Errorf("storage: entry %d leaves a gap after entry %d", entries[0].Index, j.nextIndex-1)
	}
	if err := j.appendFrame(encodeEntries(entries)); err != nil {
		return j.recordFailure(err)
	}
	lastIndex := entries[len(entries)-1].Index
	j.nextIndex = lastIndex + 1
	j.lastIndex = max(j.lastIndex, lastIndex)
	if j.currentSize >= j.options.SegmentBytes {
		return j.recordFailure(j.startSegment())
	}
	return nil
}

// appendFrame appends a payload to the current segment and syncs it.
func (j *Journal) appendFrame(payload []byte) error {
	if j.currentFile == nil {
		return errors.New("storage: SaveVote must come before the first entry")
	}
	frame := encodeFrame(j.number, uint64(j.currentSize), payload)
	if err := writeAndSync(j.currentFile, j.segmentPath(j.number), frame); err != nil {
		return err
	}
	j.currentSize += len(frame)
	return nil
}

// SaveSnapshot stores a snapshot durably and removes the segments that it covers. With reset,
// the entries after the snapshot are dropped too, because the log that they belong to
// conflicts with the snapshot.
func (j *Journal) SaveSnapshot(s Snapshot, reset bool) error {
	if err := j.checkUsable(); err != nil {
		return err
	}
	if err := j.replaceFile(j.path(snapshotName), encodeSnapshot(s)); err != nil {
		return j.recordFailure(err)
	}
	j.snapshot = s.Index
	if reset {
		if err := j.appendFrame(encodeIndexRecord(frameReset, s.Index)); err != nil {
			return j.recordFailure(err)
		}
		j.nextIndex = s.Index + 1
		j.lastIndex = s.Index
		for i := range j.closedSegments {
			j.closedSegments[i].lastIndex = min(j.closedSegments[i].lastIndex, s.Index)
		}
	}
	if j.currentSize >= minClosedSegmentBytes {
		if err := j.startSegment(); err != nil {
			return j.recordFailure(err)
		}
	} else if err := j.writeVote(); err != nil {
		return j.recordFailure(err)
	}
	return j.recordFailure(j.removeCovered())
}

// removeCovered deletes the oldest segments, as long as all their entries are in the snapshot.
func (j *Journal) removeCovered() error {
	for len(j.closedSegments) > 0 && j.closedSegments[0].lastIndex <= j.snapshot {
		path := j.segmentPath(j.closedSegments[0].number)
		if err := j.disk.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return newFileError(path, "remove", err)
		}
		j.closedSegments = j.closedSegments[1:]
	}
	return nil
}

// close closes the current segment and makes all further operations fail.
func (j *Journal) close() {
	if j.currentFile != nil {
		_ = j.currentFile.Close()
	}
	j.closed = true
}
