package replica_test

import (
	"bytes"
	"context"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/memory/memorytest"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage/storagetest"
)

// lastCommand is a state machine that keeps the newest command alone, as with documents that
// replace each other.
type lastCommand struct{ command []byte }

func (s *lastCommand) Apply(_ uint64, command []byte) []byte {
	s.command = command
	return nil
}

func (s *lastCommand) Snapshot() []byte { return bytes.Clone(s.command) }

func (s *lastCommand) Restore(snapshot []byte) error {
	s.command = bytes.Clone(snapshot)
	return nil
}

// Guards against large entries that fill the disk and the memory of a member long before there are enough
// of them for a snapshot.
func TestLargeEntriesAreBounded(t *testing.T) {
	const commandBytes, commands = 1 << 20, 100
	c, manual := clock.NewManual(0)
	disk := storagetest.New(1)
	r, stop, err := replica.New(replica.Options{
		Name: "a", Address: "a", Folder: "/data", Members: []replica.Member{{Name: "a", Address: "a", Voter: true}}, Clock: c,
		StateMachine: &lastCommand{}, Transport: &memoryTransport{members: map[string]*replica.Replica{}, bytesSent: map[string]int{}}, FileSystem: disk,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	stopClock := make(chan struct{})
	t.Cleanup(func() { close(stopClock) })
	go runClock(manual, stopClock)
	before := memorytest.HeapBytes()
	for i := range commands {
		command := bytes.Repeat([]byte{byte(i)}, commandBytes)
		for r.Propose(context.Background(), command).Kind != replica.Committed {
			runtime.Gosched()
		}
	}
	names, err := disk.List("/data")
	if err != nil {
		t.Fatal(err)
	}
	stored := 0
	for _, name := range names {
		stored += disk.Size(filepath.Join("/data", name))
	}
	// The disk has the snapshot, perhaps the next one, and the entries since the snapshot before.
	if want := 3*replica.DefaultSnapshotBytes + 4*commandBytes; stored > want {
		t.Errorf("bytes on the disk after %d of %d bytes: got %d, want at most %d", commands, commandBytes, stored, want)
	}
	// The disk of the test is in memory, once as written and once as durable.
	if got, want := int(memorytest.HeapBytes())-int(before)-2*stored, 2*replica.DefaultSnapshotBytes+4*commandBytes; got > want {
		t.Errorf("memory beside the disk: got %d bytes, want at most %d", got, want)
	}
}
