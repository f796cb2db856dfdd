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

// command is about as long as a typical command of the control group: the claim of a
// once-only call.
var command = make([]byte, 200)

// newRealGroup starts members on the real disk and clock, with the default timing.
func newRealGroup(b *testing.B, names ...string) *group {
	b.Helper()
	g := &group{
		tb: b, clock: clock.New(),
		memoryTransport: &memoryTransport{members: map[string]*replica.Replica{}, bytesSent: map[string]int{}},
		machines:        map[string]*commandList{}, stops: map[string]func(){},
	}
	g.pausePolling = func() { g.clock.Sleep(context.Background(), 1) }
	for _, name := range names {
		g.founders = append(g.founders, replica.Member{Name: name, Address: name, Voter: true})
	}
	folder := b.TempDir()
	for _, name := range names {
		g.machines[name] = &commandList{}
		r, stop, err := replica.New(replica.Options{
			Name: name, Address: name, Folder: filepath.Join(folder, name), Members: g.founders,
			Clock: g.clock, StateMachine: g.machines[name], Transport: g.memoryTransport, Seed: uint64(name[0]),
		})
		if err != nil {
			b.Fatal(err)
		}
		g.memoryTransport.mu.Lock()
		g.memoryTransport.members[name] = r
		g.memoryTransport.mu.Unlock()
		g.stops[name] = stop
	}
	b.Cleanup(func() {
		for name := range g.stops {
			g.stop(name)
		}
	})
	return g
}

// BenchmarkSync measures one write and sync of a command's size, as a baseline.
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

// BenchmarkCommit measures the commit throughput with several numbers of concurrent
// writers.
func BenchmarkCommit(b *testing.B) {
	for _, writers := range []int{1, 64} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			g := newRealGroup(b, "a", "b", "c")
			_, r := g.leader()
			b.ResetTimer()
			var group sync.WaitGroup
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			for range writers {
				group.Go(func() {
					for remaining.Add(-1) >= 0 {
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

// BenchmarkNewLeader measures the time from the loss of the leader until another member
// holds the lease.
func BenchmarkNewLeader(b *testing.B) {
	for range b.N {
		b.StopTimer()
		g := newRealGroup(b, "a", "b", "c")
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

// BenchmarkRestart measures New on a data folder with records, with and without a snapshot.
func BenchmarkRestart(b *testing.B) {
	for _, records := range []uint64{1000, 10_000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("records=%d/snapshot=%v", records, snapshot), func(b *testing.B) {
				folder := b.TempDir()
				fillFolder(b, folder, records, snapshot)
				for b.Loop() {
					_, stop, err := replica.New(replica.Options{
						Name: "a", Address: "a", Folder: folder, Clock: clock.New(),
						StateMachine: &commandList{}, Transport: &memoryTransport{},
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

// fillFolder writes records in batches of ten and, if asked to, a snapshot after nine
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
	machine := &commandList{}
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

// BenchmarkIdle measures an idle group for ten seconds: the JSON bytes per second sent by
// the busiest member, and the average CPU use of a member in percent of a core.
func BenchmarkIdle(b *testing.B) {
	const seconds = 10
	g := newRealGroup(b, "a", "b", "c")
	g.leader()
	cpuBefore, sentBytes := cpuSeconds(b), g.sentBytes()
	g.clock.Sleep(context.Background(), seconds*clock.Second)
	cpuUsed, sentAfter := cpuSeconds(b)-cpuBefore, g.sentBytes()
	busiest := 0
	for name := range sentAfter {
		busiest = max(busiest, sentAfter[name]-sentBytes[name])
	}
	b.ReportMetric(float64(busiest)/seconds, "B/s-leader")
	b.ReportMetric(100*cpuUsed/seconds/3, "%core/member")
}

// sentBytes returns the bytes that each member has sent, by the member's address.
func (g *group) sentBytes() map[string]int {
	g.memoryTransport.mu.Lock()
	defer g.memoryTransport.mu.Unlock()
	copied := map[string]int{}
	for name, n := range g.memoryTransport.bytesSent {
		copied[name] = n
	}
	return copied
}

// cpuSeconds returns the CPU time that the process has used, in seconds.
func cpuSeconds(b *testing.B) float64 {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return seconds(usage.Utime) + seconds(usage.Stime)
}
