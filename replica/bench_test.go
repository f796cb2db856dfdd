package replica_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage"
)

// command is about as long as a claim.
var command = make([]byte, 200)

// realGroup starts three members on the machine's disk and clock with the
// default timing.
func realGroup(b *testing.B, names ...string) *group {
	b.Helper()
	g := &group{
		tb: b, clock: clock.New(),
		wire:     &wire{members: map[string]*replica.Replica{}, bytes: map[string]int{}},
		machines: map[string]*list{}, stops: map[string]func(){},
	}
	g.pause = func() { g.clock.Sleep(context.Background(), 1) }
	for _, name := range names {
		g.founders = append(g.founders, replica.Member{Name: name, Address: name, Voter: true})
	}
	folder := b.TempDir()
	for _, name := range names {
		g.machines[name] = &list{}
		r, stop, err := replica.New(replica.Options{
			Name: name, Address: name, Folder: filepath.Join(folder, name), Members: g.founders,
			Clock: g.clock, StateMachine: g.machines[name], Transport: g.wire, Seed: uint64(name[0]),
		})
		if err != nil {
			b.Fatal(err)
		}
		g.wire.mu.Lock()
		g.wire.members[name] = r
		g.wire.mu.Unlock()
		g.stops[name] = stop
	}
	b.Cleanup(func() {
		for name := range g.stops {
			g.stop(name)
		}
	})
	return g
}

// BenchmarkSync is the bare cost of a write and a sync of the same size.
func BenchmarkSync(b *testing.B) {
	f, err := os.Create(filepath.Join(b.TempDir(), "file"))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	for b.Loop() {
		if _, err := f.Write(command); err != nil {
			b.Fatal(err)
		}
		if err := f.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCommit measures commits by the number of concurrent writers.
func BenchmarkCommit(b *testing.B) {
	for _, writers := range []int{1, 64} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			g := realGroup(b, "a", "b", "c")
			_, r := g.leader()
			b.ResetTimer()
			var group sync.WaitGroup
			var left atomic.Int64
			left.Store(int64(b.N))
			for range writers {
				group.Go(func() {
					for left.Add(-1) >= 0 {
						if k := r.Propose(context.Background(), command).Kind; k != replica.Committed {
							b.Errorf("got %v, want committed", k)
						}
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkNewLeader measures the time from the loss of the leader to the next
// member that holds the lease.
func BenchmarkNewLeader(b *testing.B) {
	for range b.N {
		b.StopTimer()
		g := realGroup(b, "a", "b", "c")
		name, _ := g.leader()
		b.StartTimer()
		g.stop(name)
		g.leader()
		b.StopTimer()
		for other := range g.stops {
			g.stop(other)
		}
		b.StartTimer()
	}
}

// BenchmarkRestart measures New on a folder with a number of records.
func BenchmarkRestart(b *testing.B) {
	for _, records := range []uint64{1000, 10_000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("records=%d/snapshot=%v", records, snapshot), func(b *testing.B) {
				folder := b.TempDir()
				fillFolder(b, folder, records, snapshot)
				for b.Loop() {
					_, stop, err := replica.New(replica.Options{
						Name: "a", Address: "a", Folder: folder, Clock: clock.New(),
						StateMachine: &list{}, Transport: &wire{},
					})
					if err != nil {
						b.Fatal(err)
					}
					stop()
				}
			})
		}
	}
}

// fillFolder writes records one batch of ten at a time, and a snapshot at nine
// tenths of them.
func fillFolder(b *testing.B, folder string, records uint64, snapshot bool) {
	b.Helper()
	j, _, release, err := storage.Open(storage.Options{Folder: folder, Owner: "a"})
	if err != nil {
		b.Fatal(err)
	}
	defer release()
	founders := replica.EncodeFounders([]replica.Member{{Identity: "a", Name: "a", Address: "a", Voter: true}, {Identity: "b", Name: "b", Address: "b", Voter: true}})
	vote := storage.Vote{Term: 1, Identity: "a", Epoch: 1, FolderID: "a", Founders: founders, FounderFolderIDs: map[string]string{"a": "a", "b": "b"}}
	if err := j.SaveVote(vote); err != nil {
		b.Fatal(err)
	}
	machine := &list{}
	for i := uint64(1); i <= records; i += 10 {
		var batch []storage.Entry
		for k := i; k < i+10; k++ {
			machine.Apply(k, command)
			batch = append(batch, storage.Entry{Index: k, Term: 1, Data: command})
		}
		if err := j.Append(batch); err != nil {
			b.Fatal(err)
		}
		if snapshot && i == records/10*9+1 {
			s := storage.Snapshot{Index: i + 9, Term: 1, Members: founders, Data: machine.Snapshot()}
			if err := j.SaveSnapshot(s, false); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkIdle measures an idle group for ten seconds: bytes of JSON that the
// busiest member sends, and the CPU time of all members.
func BenchmarkIdle(b *testing.B) {
	const seconds = 10
	g := realGroup(b, "a", "b", "c")
	g.leader()
	before, sent := cpu(b), g.sent()
	g.clock.Sleep(context.Background(), seconds*clock.Second)
	used, now := cpu(b)-before, g.sent()
	busiest := 0
	for name := range now {
		busiest = max(busiest, now[name]-sent[name])
	}
	b.ReportMetric(float64(busiest)/seconds, "B/s-leader")
	b.ReportMetric(100*used/seconds/3, "%core/member")
}

func (g *group) sent() map[string]int {
	g.wire.mu.Lock()
	defer g.wire.mu.Unlock()
	copied := map[string]int{}
	for name, n := range g.wire.bytes {
		copied[name] = n
	}
	return copied
}

// cpu returns the seconds of CPU that the process has used.
func cpu(b *testing.B) float64 {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return seconds(usage.Utime) + seconds(usage.Stime)
}
