package storage_test

import (
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/storage"
	"github.com/galenaslip/galenaslip/storage/storagetest"
)

// Guards against a journal that stays unusable after its disk was full or failed, and against
// confirmed data that is lost because the journal went on with a file whose write or sync had
// failed: as in the page cache of Linux, a later sync of such a file succeeds without the data.
func TestRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := storagetest.New(rapid.Uint64().Draw(t, "seed"))
		j, _, release := openJournal(t, disk)
		expected := expectedState{entries: map[uint64]storage.Entry{}}
		expected.vote.Term = 1
		checkNoError(t, j.SaveVote(expected.vote))
		for range rapid.IntRange(1, 30).Draw(t, "operations") {
			next, run := expected.drawOperation(t)
			drawDiskFault(t, disk)
			repeatUntilDone(t, disk, j, run)
			expected = next
		}
		disk.ScheduleFailure(0, nil)
		disk.Restart(rapid.Bool().Draw(t, "power lost"))
		_, state, releaseReopened := openJournal(t, disk)
		defer releaseReopened()
		release()
		if !expected.matches(state) {
			t.Fatalf("got %+v, want %+v", state, expected)
		}
	})
}

// drawDiskFault lets one of the next operations of the disk fail, or all of them, or none.
func drawDiskFault(t *rapid.T, disk *storagetest.Disk) {
	fault := rapid.SampledFrom([]error{syscall.EIO, syscall.ENOSPC, syscall.EROFS}).Draw(t, "fault")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		disk.Refuse(fault)
	case 1, 2:
		disk.ScheduleFailure(rapid.IntRange(1, 12).Draw(t, "steps"), fault)
	}
}

// repeatUntilDone runs an operation and, after a failure, repairs the journal and runs the
// operation again until it succeeds. The disk takes writes again after some attempts.
func repeatUntilDone(t *rapid.T, disk *storagetest.Disk, j *storage.Journal, run func(*storage.Journal) error) {
	refusedAttempts := rapid.IntRange(0, 3).Draw(t, "refused attempts")
	for attempt := 0; ; attempt++ {
		if attempt == refusedAttempts {
			disk.Refuse(nil)
		}
		_, err := j.Repair()
		if err == nil {
			err = run(j)
		}
		if err == nil {
			return
		}
		if storage.OutcomeOf(err) == storage.Damaged {
			t.Fatalf("a disk that refuses writes was reported as damaged: %v", err)
		}
		if attempt > refusedAttempts+10 {
			t.Fatalf("attempt %d: %v", attempt, err)
		}
	}
}

// Guards against a repair that takes a segment whose confirmed records have changed, or that
// lacks some of them, for a sound one.
func TestRepairFindsDamage(t *testing.T) {
	disk := storagetest.New(1)
	o := options(disk)
	o.SegmentBytes = 1 << 20
	j, _, release, err := storage.Open(o)
	checkNoError(t, err)
	defer release()
	checkNoError(t, j.SaveVote(storage.Vote{Term: 1}))
	checkNoError(t, j.Append(entries(1, 3, 1)))
	disk.ScheduleFailure(1, syscall.EIO)
	if err := j.Append(entries(4, 4, 1)); err == nil {
		t.Fatal("got no error of the write that fails")
	}
	if !disk.FlipBit(folder+"/segment-0000000000000001", 40) {
		t.Fatal("the segment is missing")
	}
	_, err = j.Repair()
	if got, want := storage.OutcomeOf(err), storage.Damaged; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against files of failed attempts that use up the space which a later attempt needs.
func TestFailedAttemptLeavesNoFile(t *testing.T) {
	disk := storagetest.New(1)
	j, _, release := openJournal(t, disk)
	defer release()
	checkNoError(t, j.SaveVote(storage.Vote{Term: 1}))
	disk.ScheduleFailure(2, syscall.ENOSPC)
	if err := j.SaveVote(storage.Vote{Term: 2}); storage.OutcomeOf(err) != storage.Full {
		t.Fatalf("got %v, want %v", err, storage.Full)
	}
	if got, want := disk.Size(folder+"/vote.tmp"), -1; got != want {
		t.Errorf("size of the temporary file: got %d, want %d", got, want)
	}
}
