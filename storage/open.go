package storage

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Open locks the folder and reads what it holds. The returned function releases
// the folder. Errors carry an Outcome.
func Open(options Options) (*Journal, State, func(), error) {
	if options.FileSystem == nil {
		options.FileSystem = OSFileSystem{}
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	j := &Journal{options: options, disk: options.FileSystem, next: 1}
	if err := j.disk.MakeFolder(options.Folder); err != nil {
		return nil, State{}, nil, failed(options.Folder, "make folder", err)
	}
	release, err := j.disk.Lock(j.path(lockName))
	if err != nil {
		return nil, State{}, nil, failed(j.path(lockName), "lock", err)
	}
	state, err := j.load()
	if err != nil {
		release()
		return nil, State{}, nil, err
	}
	return j, state, func() { j.close(); release() }, nil
}

// content is the list of the folder's files.
type content struct {
	owner, vote, snapshot bool
	segments              []uint64
	temporary             []string
	aside                 bool
}

func (j *Journal) list() (content, error) {
	names, err := j.disk.List(j.options.Folder)
	if err != nil {
		return content{}, failed(j.options.Folder, "list", err)
	}
	var c content
	for _, name := range names {
		var number uint64
		switch {
		case strings.HasSuffix(name, temporaryEnd):
			c.temporary = append(c.temporary, name)
		case strings.HasPrefix(name, asideStart):
			c.aside = true
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

func scanSegment(name string, number *uint64) bool {
	_, err := fmt.Sscanf(name, segmentFormat, number)
	return err == nil && name == fmt.Sprintf(segmentFormat, *number)
}

func (j *Journal) load() (State, error) {
	// An earlier process may have ended before it synced the names.
	if err := j.disk.SyncFolder(j.options.Folder); err != nil {
		return State{}, failed(j.options.Folder, "sync folder", err)
	}
	found, err := j.list()
	if err != nil {
		return State{}, err
	}
	if err := j.checkOwner(found); err != nil {
		return State{}, err
	}
	for _, name := range found.temporary {
		if err := j.disk.Remove(j.path(name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return State{}, failed(j.path(name), "remove", err)
		}
	}
	if !found.vote && !found.snapshot && len(found.segments) == 0 {
		return State{Fresh: true, HasSetAsideFiles: found.aside}, nil
	}
	return j.loadState(found)
}

func (j *Journal) checkOwner(found content) error {
	path := j.path(ownerName)
	if !found.owner {
		if found.vote || found.snapshot || len(found.segments) > 0 {
			return damaged(path, "the owner mark is missing")
		}
		return j.replace(path, encodeFrame(ownerSalt, 0, []byte(j.options.Owner)))
	}
	data, err := j.disk.Read(path)
	if err != nil {
		return failed(path, "read", err)
	}
	owner, ok := decodeFrame(ownerSalt, data, 0)
	if !ok {
		return damaged(path, "the owner mark cannot be read")
	}
	if string(owner) != j.options.Owner {
		reason := fmt.Sprintf("the folder belongs to member %q, not to %q", owner, j.options.Owner)
		return &Error{Outcome: WrongOwner, Path: path, Reason: reason}
	}
	return nil
}

func (j *Journal) loadState(found content) (State, error) {
	var state State
	if !found.vote {
		return State{}, damaged(j.path(voteName), "the vote is missing")
	}
	data, err := j.disk.Read(j.path(voteName))
	if err != nil {
		return State{}, failed(j.path(voteName), "read", err)
	}
	vote, marks, err := decodeVote(data)
	if err != nil {
		return State{}, damaged(j.path(voteName), "%v", err)
	}
	state.Vote, j.vote = vote, vote
	if found.snapshot {
		if state.Snapshot, err = j.readSnapshot(); err != nil {
			return State{}, err
		}
	}
	if state.Snapshot.Index < marks.snapshot {
		return State{}, damaged(j.path(snapshotName), "the snapshot at entry %d is missing", marks.snapshot)
	}
	j.snapshot = state.Snapshot.Index
	if err := j.readSegments(&state, found.segments, marks.segment); err != nil {
		return State{}, err
	}
	return state, nil
}

func (j *Journal) readSnapshot() (Snapshot, error) {
	path := j.path(snapshotName)
	data, err := j.disk.Read(path)
	if err != nil {
		return Snapshot{}, failed(path, "read", err)
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return Snapshot{}, damaged(path, "%v", err)
	}
	return s, nil
}

// consecutive returns the newest segments whose numbers leave no gap, and the
// older rest, which a crash during removal may leave behind.
func consecutive(numbers []uint64) (kept, rest []uint64) {
	start := len(numbers) - 1
	for start > 0 && numbers[start-1]+1 == numbers[start] {
		start--
	}
	return numbers[start:], numbers[:start]
}

func (j *Journal) readSegments(state *State, numbers []uint64, newest uint64) error {
	if len(numbers) == 0 && newest == 0 {
		return j.roll()
	}
	if len(numbers) == 0 || numbers[len(numbers)-1] < newest {
		return damaged(j.segmentPath(newest), "the segment is missing")
	}
	kept, rest := consecutive(numbers)
	replay := &replay{journal: j, state: state}
	for i, number := range kept {
		if err := replay.segment(number, i == 0, i == len(kept)-1); err != nil {
			return err
		}
	}
	if err := replay.finish(); err != nil {
		return err
	}
	for _, number := range rest {
		if err := j.disk.Remove(j.segmentPath(number)); err != nil {
			return failed(j.segmentPath(number), "remove", err)
		}
	}
	if replay.reset {
		mark := encodeMark(frameReset, state.Snapshot.Index)
		replay.valid = append(replay.valid, encodeFrame(j.number, uint64(len(replay.valid)), mark)...)
	}
	return j.continueSegment(replay.valid)
}

// continueSegment writes the valid part of the newest segment again. What was
// read may be only in memory when the sync of an earlier process failed, and a
// new file cannot keep parts of a torn tail.
func (j *Journal) continueSegment(valid []byte) error {
	path := j.segmentPath(j.number)
	if err := j.replace(path, valid); err != nil {
		return err
	}
	f, err := j.disk.Append(path)
	if err != nil {
		return failed(path, "open", err)
	}
	j.current, j.size = f, len(valid)
	return j.writeVote()
}

// replay rebuilds the log from the frames of its segments.
type replay struct {
	journal *Journal
	state   *State
	valid   []byte // valid part of the newest segment
	reset   bool   // the entries do not continue the snapshot and were dropped
	gap     error  // the oldest segment starts too late; a reset that follows makes it irrelevant
}

func (r *replay) segment(number uint64, first, newest bool) error {
	path := r.journal.segmentPath(number)
	data, err := r.journal.disk.Read(path)
	if err != nil {
		return failed(path, "read", err)
	}
	offset, last := 0, uint64(0)
	for offset < len(data) {
		payload, ok := decodeFrame(number, data, offset)
		if !ok {
			break
		}
		rec, err := decodeRecord(payload)
		if err != nil {
			return damaged(path, "offset %d: %v", offset, err)
		}
		if (rec.kind == frameStart) != (offset == 0) {
			return damaged(path, "offset %d: unexpected kind of record", offset)
		}
		if err := r.apply(path, offset, rec, first); err != nil {
			return err
		}
		for _, e := range rec.entries {
			last = max(last, e.Index)
		}
		offset += frameHeader + len(payload)
	}
	if err := r.checkTail(path, number, data, offset, newest); err != nil {
		return err
	}
	r.valid = data[:offset]
	if newest {
		r.journal.number, r.journal.last = number, last
		return nil
	}
	r.journal.closed = append(r.journal.closed, segment{number: number, last: last})
	return nil
}

// checkTail accepts bytes after the last valid frame only where a crash during
// a write can leave them.
func (r *replay) checkTail(path string, number uint64, data []byte, offset int, newest bool) error {
	if offset == 0 {
		return damaged(path, "the start of the segment cannot be read")
	}
	if offset == len(data) {
		return nil
	}
	if !newest {
		return damaged(path, "offset %d: invalid record in an old segment", offset)
	}
	if frameFollows(number, data, offset) {
		return damaged(path, "offset %d: invalid record before valid ones", offset)
	}
	r.state.TruncatedBytes = len(data) - offset
	return nil
}

func (r *replay) next() uint64 {
	if n := len(r.state.Entries); n > 0 {
		return r.state.Entries[n-1].Index + 1
	}
	return r.journal.next
}

func (r *replay) apply(path string, offset int, rec record, first bool) error {
	switch rec.kind {
	case frameStart:
		if first && rec.index > r.state.Snapshot.Index+1 {
			r.gap = damaged(path, "the log starts at entry %d, after the snapshot's end at %d", rec.index, r.state.Snapshot.Index)
		}
		if first {
			r.journal.next = rec.index
		} else if rec.index != r.next() {
			return damaged(path, "the segment starts at entry %d, want %d", rec.index, r.next())
		}
	case frameReset:
		if rec.index > r.state.Snapshot.Index {
			return damaged(path, "offset %d: the snapshot at entry %d is missing", offset, rec.index)
		}
		r.state.Entries, r.gap = nil, nil
		r.journal.next = rec.index + 1
	default:
		return r.entries(path, offset, rec.entries)
	}
	return nil
}

func (r *replay) entries(path string, offset int, entries []Entry) error {
	for _, e := range entries {
		next := r.next()
		if e.Index > next || e.Index == 0 {
			return damaged(path, "offset %d: entry %d does not follow entry %d", offset, e.Index, next-1)
		}
		count := uint64(len(r.state.Entries))
		r.state.Entries = r.state.Entries[:count-min(count, next-e.Index)]
		r.state.Entries = append(r.state.Entries, e)
		if len(r.state.Entries) == 1 {
			r.journal.next = e.Index
		}
	}
	return nil
}

// finish drops entries that do not continue the snapshot and sets the index at
// which the log goes on. Such entries remain when a snapshot from the leader was
// stored and the crash came before the log was reset.
func (r *replay) finish() error {
	if r.gap != nil {
		return r.gap
	}
	next, s := r.next(), r.state.Snapshot
	r.reset = next <= s.Index
	for _, e := range r.state.Entries {
		if e.Index == s.Index && e.Term != s.Term {
			r.reset = true
		}
	}
	if r.reset {
		r.state.Entries = nil
		next = s.Index + 1
	}
	if len(r.state.Entries) > 0 && r.state.Entries[0].Index > s.Index+1 {
		return damaged(r.journal.options.Folder, "entry %d is missing", s.Index+1)
	}
	r.journal.next = next
	return nil
}

// SetAside renames the files of a folder that can no longer be used, so that
// the next Open starts a new life. The vote goes last, so that a crash on the way
// leaves a damaged folder and not one that looks whole.
func SetAside(fileSystem FileSystem, folder, label string) error {
	if fileSystem == nil {
		fileSystem = OSFileSystem{}
	}
	j := &Journal{options: Options{Folder: folder}, disk: fileSystem}
	names, err := fileSystem.List(folder)
	if err != nil {
		return failed(folder, "list", err)
	}
	release, err := fileSystem.Lock(j.path(lockName))
	if err != nil {
		return failed(j.path(lockName), "lock", err)
	}
	defer release()
	for _, name := range names {
		var number uint64
		if name != voteName && name != snapshotName && name != ownerName && !scanSegment(name, &number) {
			continue
		}
		err := fileSystem.Rename(j.path(name), j.path(asideStart+label+"-"+name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return failed(j.path(name), "rename", err)
		}
	}
	if err := fileSystem.SyncFolder(folder); err != nil {
		return failed(folder, "sync folder", err)
	}
	return nil
}
