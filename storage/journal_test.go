package storage_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/storage"
	"github.com/galenaslip/galenaslip/storage/storagetest"
)

const folder = "/data"

func options(disk storage.FileSystem) storage.Options {
	return storage.Options{Folder: folder, Owner: "a", FileSystem: disk, SegmentBytes: 100}
}

func openJournal(t rapid.TB, disk storage.FileSystem) (*storage.Journal, storage.State, func()) {
	t.Helper()
	j, state, release, err := storage.Open(options(disk))
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return j, state, release
}

// entries returns entries with consecutive indexes, all of one term.
func entries(from, to, term uint64) []storage.Entry {
	var out []storage.Entry
	for i := from; i <= to; i++ {
		out = append(out, storage.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "%d/%d", i, term)})
	}
	return out
}

func checkNoError(t rapid.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// fillJournal stores a vote, three segments of entries and a snapshot.
func fillJournal(t rapid.TB, disk storage.FileSystem) {
	t.Helper()
	j, _, release := openJournal(t, disk)
	defer release()
	checkNoError(t, j.SaveVote(storage.Vote{Term: 3, VotedFor: "b", Identity: "a1", Epoch: 1, FolderID: "x"}))
	for i := uint64(1); i <= 30; i += 3 {
		checkNoError(t, j.Append(entries(i, i+2, 3)))
	}
	checkNoError(t, j.SaveSnapshot(storage.Snapshot{Index: 15, Term: 3, Members: []byte("m"), Data: []byte("s")}, false))
}

// Guards against state that is lost in a restart, and against segments that remain although
// a snapshot covers all their entries.
func TestReopen(t *testing.T) {
	disk := storagetest.New(1)
	fillJournal(t, disk)
	disk.Restart(true)
	_, state, release := openJournal(t, disk)
	defer release()
	if got := state.Vote; got.Term != 3 || got.VotedFor != "b" || got.Identity != "a1" || got.Epoch != 1 || got.FolderID != "x" {
		t.Errorf("vote: got %+v", got)
	}
	if got := state.Snapshot; got.Index != 15 || string(got.Members) != "m" || string(got.Data) != "s" {
		t.Errorf("snapshot: got %+v", got)
	}
	first, last := state.Entries[0].Index, state.Entries[len(state.Entries)-1].Index
	if first <= 1 || first > 16 || last != 30 {
		t.Errorf("entries: got %d to %d, want from at most 16 to 30, without the oldest segment", first, last)
	}
}

// Guards against old entries that remain although a snapshot from the leader has replaced the
// log.
func TestResetAfterSnapshot(t *testing.T) {
	disk := storagetest.New(1)
	fillJournal(t, disk)
	disk.Restart(false)
	j, _, release := openJournal(t, disk)
	checkNoError(t, j.SaveSnapshot(storage.Snapshot{Index: 20, Term: 4}, true))
	checkNoError(t, j.Append(entries(21, 22, 4)))
	release()
	_, state, release := openJournal(t, disk)
	defer release()
	if got := state.Entries; len(got) != 2 || got[0].Index != 21 || got[0].Term != 4 {
		t.Errorf("entries: got %v, want 21 and 22 of term 4", got)
	}
}

// Guards against damage that is not detected, or is mistaken for an incomplete last frame.
// Damage to the last frame of the newest segment cannot be told from an incomplete write.
func TestDamage(t *testing.T) {
	undamaged := storagetest.New(1)
	fillJournal(t, undamaged)
	names, err := undamaged.List(folder)
	checkNoError(t, err)
	for _, name := range names {
		if name == "lock" {
			continue
		}
		path := filepath.Join(folder, name)
		isNewestSegment := strings.HasPrefix(name, "segment") && name == slices.Max(segments(names))
		for offset := -1; offset < undamaged.Size(path); offset++ {
			disk := storagetest.New(1)
			fillJournal(t, disk)
			if offset < 0 {
				disk.RemoveDurably(path)
			} else {
				disk.FlipBit(path, offset)
			}
			_, state, release, err := storage.Open(options(disk))
			incomplete := isNewestSegment && err == nil && state.TruncatedBytes > 0
			if incomplete {
				release()
			}
			if !incomplete && storage.OutcomeOf(err) != storage.Damaged {
				t.Fatalf("%s, offset %d: got %v, want damaged", name, offset, err)
			}
		}
	}
}

func segments(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !strings.HasPrefix(n, "segment") })
}

// Guards against a member that uses the folder of another member or of a running process, and
// against disk errors that get the wrong outcome.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name string
		want storage.Outcome
		run  func(disk *storagetest.Disk) error
	}{
		{"foreign", storage.WrongOwner, func(disk *storagetest.Disk) error {
			o := options(disk)
			o.Owner = "b"
			_, _, _, err := storage.Open(o)
			return err
		}},
		{"locked", storage.Locked, func(disk *storagetest.Disk) error {
			_, _, release := openJournal(t, disk)
			defer release()
			_, _, _, err := storage.Open(options(disk))
			return err
		}},
		{"full", storage.Full, func(disk *storagetest.Disk) error {
			j, _, release := openJournal(t, disk)
			defer release()
			disk.ScheduleFailure(1, syscall.ENOSPC)
			return j.Append(entries(31, 31, 3))
		}},
		{"read-only", storage.ReadOnly, func(disk *storagetest.Disk) error {
			disk.ScheduleFailure(1, syscall.EROFS)
			_, _, _, err := storage.Open(options(disk))
			return err
		}},
		{"closed after a failed sync", storage.Closed, func(disk *storagetest.Disk) error {
			j, _, release := openJournal(t, disk)
			defer release()
			disk.ScheduleFailure(2, syscall.EIO)
			if err := j.Append(entries(31, 31, 3)); storage.OutcomeOf(err) != storage.Failed {
				return err
			}
			return j.SaveVote(storage.Vote{Term: 9})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			disk := storagetest.New(1)
			fillJournal(t, disk)
			disk.Restart(false)
			err := tt.run(disk)
			if got := storage.OutcomeOf(err); err == nil || got != tt.want {
				t.Errorf("got %v (%v), want %v", got, err, tt.want)
			}
		})
	}
}

// Guards against a folder that looks as if it was never used although its files were set
// aside.
func TestSetAside(t *testing.T) {
	disk := storagetest.New(1)
	fillJournal(t, disk)
	disk.Restart(false)
	checkNoError(t, storage.SetAside(disk, folder, "old"))
	_, state, release := openJournal(t, disk)
	defer release()
	if !state.Empty || !state.HasSetAsideFiles {
		t.Errorf("got fresh %v, aside %v, want both", state.Empty, state.HasSetAsideFiles)
	}
}

// expectedState is the state that the journal has confirmed and that must survive a crash.
type expectedState struct {
	vote         storage.Vote
	snapshot     uint64
	entries      map[uint64]storage.Entry
	lastIndex    uint64
	afterPending *expectedState // the state if the operation that failed took effect nevertheless; nil if none failed
}

func (m expectedState) clone() expectedState {
	c := m
	c.entries = map[uint64]storage.Entry{}
	for i, e := range m.entries {
		c.entries[i] = e
	}
	return c
}

func (m expectedState) matches(s storage.State) bool {
	if s.Vote.Term != m.vote.Term || s.Vote.VotedFor != m.vote.VotedFor || s.Snapshot.Index != m.snapshot {
		return false
	}
	lastIndex := s.Snapshot.Index
	for _, e := range s.Entries {
		lastIndex = e.Index
		if want := m.entries[e.Index]; e.Index > m.snapshot && (want.Term != e.Term || !bytes.Equal(want.Data, e.Data)) {
			return false
		}
	}
	return lastIndex == max(m.lastIndex, m.snapshot)
}

// drawOperation draws an operation and returns it with the state after it.
func (m expectedState) drawOperation(t *rapid.T) (expectedState, func(*storage.Journal) error) {
	next := m.clone()
	switch rapid.IntRange(0, 9).Draw(t, "operation") {
	case 0:
		next.vote.Term++
		next.vote.VotedFor = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "voted")
		return next, func(j *storage.Journal) error { return j.SaveVote(next.vote) }
	case 1:
		next.snapshot = rapid.Uint64Range(m.snapshot, max(m.lastIndex, m.snapshot)).Draw(t, "snapshot")
		s := storage.Snapshot{Index: next.snapshot, Term: m.entries[next.snapshot].Term}
		return next, func(j *storage.Journal) error { return j.SaveSnapshot(s, false) }
	case 2:
		next.snapshot = max(m.lastIndex, m.snapshot) + rapid.Uint64Range(1, 5).Draw(t, "ahead")
		next.lastIndex = next.snapshot
		s := storage.Snapshot{Index: next.snapshot, Term: m.vote.Term}
		next.entries[s.Index] = storage.Entry{Index: s.Index, Term: s.Term}
		return next, func(j *storage.Journal) error { return j.SaveSnapshot(s, true) }
	}
	end := max(m.lastIndex, m.snapshot) + 1
	first := rapid.Uint64Range(max(m.snapshot+1, end-min(end, 3)), end).Draw(t, "first")
	batch := entries(first, first+rapid.Uint64Range(0, 8).Draw(t, "count"), m.vote.Term)
	for _, e := range batch {
		next.entries[e.Index] = e
		next.lastIndex = e.Index
	}
	return next, func(j *storage.Journal) error { return j.Append(batch) }
}

// Guards against lost confirmed data, partly executed operations and undamaged folders that
// are reported as damaged, after a crash or an error at any write or sync.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := storagetest.New(rapid.Uint64().Draw(t, "seed"))
		expected := expectedState{entries: map[uint64]storage.Entry{}}
		fresh := true
		for range rapid.IntRange(1, 12).Draw(t, "lives") {
			failure := rapid.SampledFrom([]error{storagetest.ErrCrashed, syscall.EIO, syscall.ENOSPC}).Draw(t, "failure")
			disk.ScheduleFailure(rapid.IntRange(1, 60).Draw(t, "steps"), failure)
			expected, fresh = runUntilFailure(t, disk, expected, fresh)
			disk.Restart(rapid.Bool().Draw(t, "power lost"))
		}
		_, state, release := openJournal(t, disk)
		defer release()
		if !state.Empty && !expected.matches(state) && !expected.afterPending.matches(state) {
			t.Fatalf("got %+v, want %+v", state, expected)
		}
	})
}

// runUntilFailure opens the journal, checks its state and runs operations until one fails.
func runUntilFailure(t *rapid.T, disk *storagetest.Disk, expected expectedState, fresh bool) (expectedState, bool) {
	j, state, release, err := storage.Open(options(disk))
	if err != nil {
		if storage.OutcomeOf(err) == storage.Damaged {
			t.Fatalf("a crash was reported as damage: %v", err)
		}
		return expected, fresh
	}
	defer release()
	if state.Empty != fresh && (expected.afterPending == nil || state.Empty) {
		t.Fatalf("fresh: got %v, want %v", state.Empty, fresh)
	}
	if !state.Empty && !expected.matches(state) {
		if expected.afterPending == nil || !expected.afterPending.matches(state) {
			t.Fatalf("got %+v, want %+v or %+v", state, expected, expected.afterPending)
		}
		expected = *expected.afterPending
	}
	expected.afterPending = nil
	for {
		next, run := expected.drawOperation(t)
		if state.Empty {
			next = expected.clone()
			next.vote.Term = 1
			run = func(j *storage.Journal) error { return j.SaveVote(next.vote) }
		}
		if err := run(j); err != nil {
			expected.afterPending = &next
			return expected, state.Empty
		}
		state.Empty = false
		expected = next
	}
}
