package storage_test

import (
	"fmt"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/storage"
	"github.com/galenaslip/galenaslip/storage/storagetest"
)

// Guards against payloads that are lost although they were confirmed, or read in part, after a kill, a power loss,
// a failed write or a disk that was full; and against a file that stays unusable after one of these.
func TestRecordFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := storagetest.New(rapid.Uint64().Draw(t, "seed"))
		var confirmed []string // payloads that must be read back, in order
		written := map[string]bool{}
		number := 0
		next := func() []byte {
			number++
			payload := fmt.Sprintf("payload %d", number)
			written[payload] = true
			return []byte(payload)
		}
		for range rapid.IntRange(1, 4).Draw(t, "processes") {
			file, release := storage.NewRecordFile(disk, "records")
			checkPayloads(t, file, confirmed, written)
			replaced := false
			for range rapid.IntRange(1, 12).Draw(t, "operations") {
				drawDiskFault(t, disk)
				payload := next()
				if !replaced || rapid.Bool().Draw(t, "replace") {
					replaced = file.Replace([][]byte{payload}) == nil
					if replaced {
						confirmed = []string{string(payload)}
					} else {
						confirmed = nil // the file has the former payloads or the new one
					}
				} else if replaced = file.Append(payload) == nil; replaced {
					confirmed = append(confirmed, string(payload))
				}
				disk.ScheduleFailure(0, nil)
				disk.Refuse(nil)
			}
			release()
			disk.Restart(rapid.Bool().Draw(t, "power lost"))
		}
	})
}

// checkPayloads checks that the file has the confirmed payloads and, besides, only payloads as they were written.
func checkPayloads(t *rapid.T, file *storage.RecordFile, confirmed []string, written map[string]bool) {
	payloads, _ := file.Read() // an error tells of a damaged end
	for i, want := range confirmed {
		if i >= len(payloads) || string(payloads[i]) != want {
			t.Fatalf("got payloads %q, want those that begin with %q", payloads, confirmed)
		}
	}
	for _, payload := range payloads {
		if !written[string(payload)] {
			t.Fatalf("got payload %q, which was never written", payload)
		}
	}
}

// Guards against a payload that is added behind a damaged one, where nothing is read.
func TestRecordFileAppendsNothingAfterFailure(t *testing.T) {
	disk := storagetest.New(1)
	file, release := storage.NewRecordFile(disk, "records")
	defer release()
	if err := file.Append([]byte("a")); err == nil {
		t.Error("before the file was replaced: got no error, want one")
	}
	if err := file.Replace([][]byte{[]byte("a")}); err != nil {
		t.Fatal(err)
	}
	disk.ScheduleFailure(1, syscall.EIO)
	if err := file.Append([]byte("b")); err == nil {
		t.Error("a failed write: got no error, want one")
	}
	if err := file.Append([]byte("c")); err == nil {
		t.Error("after a failed write: got no error, want one")
	}
	if err := file.Replace([][]byte{[]byte("d")}); err != nil {
		t.Fatal(err)
	}
	if got, err := file.Read(); err != nil || len(got) != 1 || string(got[0]) != "d" {
		t.Errorf("got payloads %q and error %v, want d", got, err)
	}
}
