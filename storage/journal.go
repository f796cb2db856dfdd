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

// Vote is what a member must never forget: its term and vote, its identity and
// the epoch of the membership that it belongs to.
type Vote struct {
	Term             uint64
	VotedFor         string
	Identity         string
	Epoch            uint64
	FolderID         string            // random, new for each folder
	Founders         []byte            // founding members; empty in a folder that joined later
	FounderFolderIDs map[string]string // lives of the founding members by identity; empty before the group is founded
}

// Snapshot is the state after the entry at Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []byte
	Data    []byte
}

// State is what Open found in the folder.
type State struct {
	Fresh            bool // nothing was stored yet; SaveVote must come first
	HasSetAsideFiles bool // files of a former life were set aside in the folder
	Vote             Vote
	Snapshot         Snapshot
	Entries          []Entry // consecutive; may start at or before the snapshot's index
	TruncatedBytes   int     // bytes of a torn tail that were dropped
}

// Options are the settings of a journal.
type Options struct {
	Folder       string
	Owner        string // name of the member that the folder belongs to
	FileSystem   FileSystem
	SegmentBytes int // 0 means DefaultSegmentBytes
}

const (
	// DefaultSegmentBytes is the size at which a new segment is started.
	DefaultSegmentBytes = 4 << 20
	// rollBytes is the size from which a snapshot starts a new segment, so that
	// the old one can be removed at the next snapshot.
	rollBytes = 64 << 10
)

const (
	lockName      = "lock"
	ownerName     = "owner"
	voteName      = "vote"
	snapshotName  = "snapshot"
	temporaryEnd  = ".tmp"
	asideStart    = "aside-"
	segmentFormat = "segment-%016d"
)

// segment is a file of the log that is no longer written.
type segment struct {
	number uint64
	last   uint64 // highest index stored in it
}

// Journal writes the state of one member. It is owned by one goroutine.
type Journal struct {
	options  Options
	disk     FileSystem
	vote     Vote
	closed   []segment
	number   uint64 // of the current segment; 0 means there is none yet
	last     uint64 // highest index stored in the current segment
	size     int
	next     uint64 // index that follows the newest entry
	current  File
	snapshot uint64
	failure  error
}

func (j *Journal) path(name string) string {
	return filepath.Join(j.options.Folder, name)
}

func (j *Journal) segmentPath(number uint64) string {
	return j.path(fmt.Sprintf(segmentFormat, number))
}

// fail records the first failure, after which the journal refuses all work.
func (j *Journal) fail(err error) error {
	if err != nil && j.failure == nil {
		j.failure = err
	}
	return err
}

func (j *Journal) usable() error {
	if j.failure == nil {
		return nil
	}
	return &Error{Outcome: Closed, Path: j.options.Folder, Reason: "an earlier operation failed", Cause: j.failure}
}

// replace writes a file by write, sync, rename and sync of the folder.
func (j *Journal) replace(path string, data []byte) error {
	temporary := path + temporaryEnd
	f, err := j.disk.Create(temporary)
	if err != nil {
		return failed(temporary, "create", err)
	}
	if err := writeAndSync(f, temporary, data); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return failed(temporary, "close", err)
	}
	if err := j.disk.Rename(temporary, path); err != nil {
		return failed(path, "rename", err)
	}
	if err := j.disk.SyncFolder(j.options.Folder); err != nil {
		return failed(path, "sync folder", err)
	}
	return nil
}

func writeAndSync(f File, path string, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return failed(path, "write", err)
	}
	if err := f.Sync(); err != nil {
		return failed(path, "sync", err)
	}
	return nil
}

// SaveVote stores the vote durably. The first call for a folder also starts the
// first segment.
func (j *Journal) SaveVote(v Vote) error {
	if err := j.usable(); err != nil {
		return err
	}
	j.vote = v
	if err := j.writeVote(); err != nil {
		return j.fail(err)
	}
	if j.number == 0 {
		return j.fail(j.roll())
	}
	return nil
}

// writeVote stores the number of the current segment and the index of the
// snapshot with the vote, so that the loss of one of these files is noticed.
func (j *Journal) writeVote() error {
	data, err := encodeVote(j.vote, marks{segment: j.number, snapshot: j.snapshot})
	if err != nil {
		return err
	}
	return j.replace(j.path(voteName), data)
}

// roll starts a new segment.
func (j *Journal) roll() error {
	number := j.number + 1
	path := j.segmentPath(number)
	start := encodeFrame(number, 0, encodeMark(frameStart, j.next))
	if err := j.replace(path, start); err != nil {
		return err
	}
	f, err := j.disk.Append(path)
	if err != nil {
		return failed(path, "open", err)
	}
	if j.current != nil {
		_ = j.current.Close()
		j.closed = append(j.closed, segment{number: j.number, last: j.last})
	}
	j.current, j.number, j.size, j.last = f, number, len(start), 0
	return j.writeVote()
}

// Append stores entries with one write and one sync. The first index must be at
// most one more than the newest; entries from that index on are replaced.
func (j *Journal) Append(entries []Entry) error {
	if err := j.usable(); err != nil {
		return err
	}
	if len(entries) == 0 {
		return nil
	}
	if entries[0].Index > j.next {
		return errors.Errorf("storage: entry %d leaves a gap after entry %d", entries[0].Index, j.next-1)
	}
	if err := j.write(encodeEntries(entries)); err != nil {
		return j.fail(err)
	}
	last := entries[len(entries)-1].Index
	j.next = last + 1
	j.last = max(j.last, last)
	if j.size >= j.options.SegmentBytes {
		return j.fail(j.roll())
	}
	return nil
}

func (j *Journal) write(payload []byte) error {
	if j.current == nil {
		return errors.New("storage: SaveVote must come before the first entry")
	}
	frame := encodeFrame(j.number, uint64(j.size), payload)
	if err := writeAndSync(j.current, j.segmentPath(j.number), frame); err != nil {
		return err
	}
	j.size += len(frame)
	return nil
}

// SaveSnapshot stores a snapshot durably and removes segments that it covers.
// With reset, entries after the snapshot are dropped too, because they belong
// to another history.
func (j *Journal) SaveSnapshot(s Snapshot, reset bool) error {
	if err := j.usable(); err != nil {
		return err
	}
	if err := j.replace(j.path(snapshotName), encodeSnapshot(s)); err != nil {
		return j.fail(err)
	}
	j.snapshot = s.Index
	if reset {
		if err := j.write(encodeMark(frameReset, s.Index)); err != nil {
			return j.fail(err)
		}
		j.next = s.Index + 1
		j.last = s.Index
		for i := range j.closed {
			j.closed[i].last = min(j.closed[i].last, s.Index)
		}
	}
	if j.size >= rollBytes {
		if err := j.roll(); err != nil {
			return j.fail(err)
		}
	} else if err := j.writeVote(); err != nil {
		return j.fail(err)
	}
	return j.fail(j.removeCovered())
}

// removeCovered deletes the oldest segments while the snapshot covers them.
func (j *Journal) removeCovered() error {
	for len(j.closed) > 0 && j.closed[0].last <= j.snapshot {
		path := j.segmentPath(j.closed[0].number)
		if err := j.disk.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return failed(path, "remove", err)
		}
		j.closed = j.closed[1:]
	}
	return nil
}

// close releases the current segment.
func (j *Journal) close() {
	if j.current != nil {
		_ = j.current.Close()
	}
	_ = j.fail(errors.New("closed"))
}
