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

func open(t rapid.TB, disk storage.FileSystem) (*storage.Journal, storage.State, func()) {
	t.Helper()
	j, state, release, err := storage.Open(options(disk))
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return j, state, release
}

func entries(from, to, term uint64) []storage.Entry {
	var out []storage.Entry
	for i := from; i <= to; i++ {
		out = append(out, storage.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "%d/%d", i, term)})
	}
	return out
}

func check(t rapid.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// fill stores a vote, three segments of entries and a snapshot.
func fill(t rapid.TB, disk storage.FileSystem) {
	t.Helper()
	j, _, release := open(t, disk)
	defer release()
	check(t, j.SaveVote(storage.Vote{Term: 3, VotedFor: "b", Identity: "a1", Epoch: 1, FolderID: "x"}))
	for i := uint64(1); i <= 30; i += 3 {
		check(t, j.Append(entries(i, i+2, 3)))
	}
	check(t, j.SaveSnapshot(storage.Snapshot{Index: 15, Term: 3, Members: []byte("m"), Data: []byte("s")}, false))
}

// Guards against state that a restart does not bring back, and against segments
// that stay after a snapshot covers them.
func TestReopen(t *testing.T) {
	disk := storagetest.New(1)
	fill(t, disk)
	disk.Restart(true)
	_, state, release := open(t, disk)
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

// Guards against entries of another history after a snapshot from the leader.
func TestResetAfterSnapshot(t *testing.T) {
	disk := storagetest.New(1)
	fill(t, disk)
	disk.Restart(false)
	j, _, release := open(t, disk)
	check(t, j.SaveSnapshot(storage.Snapshot{Index: 20, Term: 4}, true))
	check(t, j.Append(entries(21, 22, 4)))
	release()
	_, state, release := open(t, disk)
	defer release()
	if got := state.Entries; len(got) != 2 || got[0].Index != 21 || got[0].Term != 4 {
		t.Errorf("entries: got %v, want 21 and 22 of term 4", got)
	}
}

// Guards against damage that is not noticed, or is taken for a torn tail. The
// last record cannot be told from a torn one, see the design page.
func TestDamage(t *testing.T) {
	probe := storagetest.New(1)
	fill(t, probe)
	names, err := probe.List(folder)
	check(t, err)
	for _, name := range names {
		if name == "lock" {
			continue
		}
		path := filepath.Join(folder, name)
		newest := strings.HasPrefix(name, "segment") && name == slices.Max(segments(names))
		for offset := -1; offset < probe.Size(path); offset++ {
			disk := storagetest.New(1)
			fill(t, disk)
			if offset < 0 {
				disk.RemoveDurably(path)
			} else {
				disk.FlipBit(path, offset)
			}
			_, state, release, err := storage.Open(options(disk))
			torn := newest && err == nil && state.TruncatedBytes > 0
			if torn {
				release()
			}
			if !torn && storage.OutcomeOf(err) != storage.Damaged {
				t.Fatalf("%s, offset %d: got %v, want damaged", name, offset, err)
			}
		}
	}
}

func segments(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !strings.HasPrefix(n, "segment") })
}

// Guards against a member that uses the folder of another, or of a running
// process, and against disk errors without a clear outcome.
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
			_, _, release := open(t, disk)
			defer release()
			_, _, _, err := storage.Open(options(disk))
			return err
		}},
		{"full", storage.Full, func(disk *storagetest.Disk) error {
			j, _, release := open(t, disk)
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
			j, _, release := open(t, disk)
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
			fill(t, disk)
			disk.Restart(false)
			err := tt.run(disk)
			if got := storage.OutcomeOf(err); err == nil || got != tt.want {
				t.Errorf("got %v (%v), want %v", got, err, tt.want)
			}
		})
	}
}

// Guards against a folder that was set aside and still counts as a first start.
func TestSetAside(t *testing.T) {
	disk := storagetest.New(1)
	fill(t, disk)
	disk.Restart(false)
	check(t, storage.SetAside(disk, folder, "old"))
	_, state, release := open(t, disk)
	defer release()
	if !state.Fresh || !state.HasSetAsideFiles {
		t.Errorf("got fresh %v, aside %v, want both", state.Fresh, state.HasSetAsideFiles)
	}
}

// model is what must survive: everything that was confirmed.
type model struct {
	vote     storage.Vote
	snapshot uint64
	entries  map[uint64]storage.Entry
	last     uint64
	pending  *model // the state if the operation in progress takes effect
}

func (m model) clone() model {
	c := m
	c.entries = map[uint64]storage.Entry{}
	for i, e := range m.entries {
		c.entries[i] = e
	}
	return c
}

func (m model) matches(s storage.State) bool {
	if s.Vote.Term != m.vote.Term || s.Vote.VotedFor != m.vote.VotedFor || s.Snapshot.Index != m.snapshot {
		return false
	}
	last := s.Snapshot.Index
	for _, e := range s.Entries {
		last = e.Index
		if want := m.entries[e.Index]; e.Index > m.snapshot && (want.Term != e.Term || !bytes.Equal(want.Data, e.Data)) {
			return false
		}
	}
	return last == max(m.last, m.snapshot)
}

// step draws an operation and returns the state after it.
func (m model) step(t *rapid.T) (model, func(*storage.Journal) error) {
	next := m.clone()
	switch rapid.IntRange(0, 9).Draw(t, "operation") {
	case 0:
		next.vote.Term++
		next.vote.VotedFor = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "voted")
		return next, func(j *storage.Journal) error { return j.SaveVote(next.vote) }
	case 1:
		next.snapshot = rapid.Uint64Range(m.snapshot, max(m.last, m.snapshot)).Draw(t, "snapshot")
		s := storage.Snapshot{Index: next.snapshot, Term: m.entries[next.snapshot].Term}
		return next, func(j *storage.Journal) error { return j.SaveSnapshot(s, false) }
	case 2:
		next.snapshot = max(m.last, m.snapshot) + rapid.Uint64Range(1, 5).Draw(t, "ahead")
		next.last = next.snapshot
		s := storage.Snapshot{Index: next.snapshot, Term: m.vote.Term}
		next.entries[s.Index] = storage.Entry{Index: s.Index, Term: s.Term}
		return next, func(j *storage.Journal) error { return j.SaveSnapshot(s, true) }
	}
	end := max(m.last, m.snapshot) + 1
	first := rapid.Uint64Range(max(m.snapshot+1, end-min(end, 3)), end).Draw(t, "first")
	batch := entries(first, first+rapid.Uint64Range(0, 8).Draw(t, "count"), m.vote.Term)
	for _, e := range batch {
		next.entries[e.Index] = e
		next.last = e.Index
	}
	return next, func(j *storage.Journal) error { return j.Append(batch) }
}

// Guards against losing confirmed data, against half an operation, and against
// taking a crash for damage, for a crash or an error at any write and sync.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := storagetest.New(rapid.Uint64().Draw(t, "seed"))
		now := model{entries: map[uint64]storage.Entry{}}
		fresh := true
		for range rapid.IntRange(1, 12).Draw(t, "lives") {
			failure := rapid.SampledFrom([]error{storagetest.ErrCrashed, syscall.EIO, syscall.ENOSPC}).Draw(t, "failure")
			disk.ScheduleFailure(rapid.IntRange(1, 60).Draw(t, "steps"), failure)
			now, fresh = live(t, disk, now, fresh)
			disk.Restart(rapid.Bool().Draw(t, "power lost"))
		}
		_, state, release := open(t, disk)
		defer release()
		if !state.Fresh && !now.matches(state) && !now.pending.matches(state) {
			t.Fatalf("got %+v, want %+v", state, now)
		}
	})
}

// live opens the journal and runs operations until one fails.
func live(t *rapid.T, disk *storagetest.Disk, now model, fresh bool) (model, bool) {
	j, state, release, err := storage.Open(options(disk))
	if err != nil {
		if storage.OutcomeOf(err) == storage.Damaged {
			t.Fatalf("a crash was taken for damage: %v", err)
		}
		return now, fresh
	}
	defer release()
	if state.Fresh != fresh && (now.pending == nil || state.Fresh) {
		t.Fatalf("fresh: got %v, want %v", state.Fresh, fresh)
	}
	if !state.Fresh && !now.matches(state) {
		if now.pending == nil || !now.pending.matches(state) {
			t.Fatalf("got %+v, want %+v or %+v", state, now, now.pending)
		}
		now = *now.pending
	}
	now.pending = nil
	for {
		next, run := now.step(t)
		if state.Fresh {
			next = now.clone()
			next.vote.Term = 1
			run = func(j *storage.Journal) error { return j.SaveVote(next.vote) }
		}
		if err := run(j); err != nil {
			now.pending = &next
			return now, state.Fresh
		}
		state.Fresh = false
		now = next
	}
}
