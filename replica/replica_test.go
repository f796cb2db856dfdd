package replica_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage"
	"github.com/galenaslip/galenaslip/storage/storagetest"
)

// commandList is a state machine that records every command.
type commandList struct {
	mu       sync.Mutex
	commands []string
}

func (l *commandList) Apply(_ uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(command))
	return command
}

func (l *commandList) Snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []byte
	for _, c := range l.commands {
		out = binary.AppendUvarint(out, uint64(len(c)))
		out = append(out, c...)
	}
	return out
}

func (l *commandList) Restore(snapshot []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = nil
	for len(snapshot) > 0 {
		n, w := binary.Uvarint(snapshot)
		l.commands = append(l.commands, string(snapshot[w:w+int(n)]))
		snapshot = snapshot[w+int(n):]
	}
	return nil
}

// allCommands returns a copy of the applied commands.
func (l *commandList) allCommands() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.commands...)
}

// memoryTransport passes JSON messages between members in the same process.
type memoryTransport struct {
	mu        sync.Mutex
	members   map[string]*replica.Replica // by address
	bytesSent map[string]int              // bytes sent, by address of the sender
}

func (w *memoryTransport) Send(to replica.Member, m replica.Message) {
	data, err := replica.EncodeMessage(m)
	if err != nil {
		panic(err)
	}
	decoded, err := replica.DecodeMessage(data)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	r := w.members[to.Address]
	w.bytesSent[m.Address] += len(data)
	w.mu.Unlock()
	if r != nil {
		r.Receive(decoded)
	}
}

// group is a set of members that share a memoryTransport. In tests they use fake disks and
// a manual clock that advances as fast as they can follow.
type group struct {
	tb              testing.TB
	clock           clock.Clock
	memoryTransport *memoryTransport
	founders        []replica.Member
	disks           map[string]*storagetest.Disk
	machines        map[string]*commandList
	stops           map[string]func()
	pausePolling    func() // called between two polls of the members' status
}

func newGroup(tb testing.TB, names ...string) *group {
	tb.Helper()
	c, manual := clock.NewManual(0)
	g := &group{
		tb: tb, clock: c,
		memoryTransport: &memoryTransport{members: map[string]*replica.Replica{}, bytesSent: map[string]int{}},
		disks:           map[string]*storagetest.Disk{}, machines: map[string]*commandList{}, stops: map[string]func(){},
		pausePolling: runtime.Gosched,
	}
	for _, name := range names {
		g.founders = append(g.founders, replica.Member{Name: name, Address: name, Voter: true})
	}
	for _, name := range names {
		g.start(name)
	}
	stopClock, clockStopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(clockStopped)
		runClock(manual, stopClock)
	}()
	tb.Cleanup(func() {
		close(stopClock)
		<-clockStopped
		for name := range g.stops {
			g.stop(name)
		}
	})
	return g
}

// runClock advances the clock until stopClock is closed, and lets the members work after
// each step.
func runClock(manual *clock.Manual, stopClock <-chan struct{}) {
	for {
		select {
		case <-stopClock:
			return
		default:
			manual.Advance(1)
			for range 20 {
				runtime.Gosched()
			}
		}
	}
}

func (g *group) options(name string) replica.Options {
	if g.disks[name] == nil {
		g.disks[name] = storagetest.New(uint64(name[0]))
	}
	g.machines[name] = &commandList{}
	return replica.Options{
		Name: name, Address: name, Folder: "/data", Members: g.founders,
		Clock: g.clock, StateMachine: g.machines[name], Transport: g.memoryTransport, FileSystem: g.disks[name],
		Seed: uint64(name[0]), HeartbeatInterval: 50, ElectionTimeout: 500, SnapshotEvery: 50,
	}
}

// start starts a member on its existing or a new disk.
func (g *group) start(name string) *replica.Replica {
	g.tb.Helper()
	return g.startWith(name, g.options(name))
}

func (g *group) startWith(name string, options replica.Options) *replica.Replica {
	g.tb.Helper()
	r, stop, err := replica.New(options)
	if err != nil {
		g.tb.Fatal(err)
	}
	g.memoryTransport.mu.Lock()
	g.memoryTransport.members[name] = r
	g.memoryTransport.mu.Unlock()
	g.stops[name] = stop
	return r
}

func (g *group) stop(name string) {
	g.memoryTransport.mu.Lock()
	delete(g.memoryTransport.members, name)
	g.memoryTransport.mu.Unlock()
	g.stops[name]()
	delete(g.stops, name)
}

// stopOnceStored stops a member whose disk has a command. As long as it does not, the member
// is started again, and the others send it the command.
func (g *group) stopOnceStored(name, command string) {
	g.tb.Helper()
	for {
		waitUntil(func() bool { return slices.Contains(g.machines[name].allCommands(), command) })
		g.stop(name)
		_, state, release, err := storage.Open(storage.Options{Folder: "/data", Owner: name, FileSystem: g.disks[name]})
		if err != nil {
			g.tb.Fatal(err)
		}
		release()
		if slices.ContainsFunc(state.Entries, func(e storage.Entry) bool { return string(e.Data) == command }) {
			return
		}
		g.start(name)
	}
}

// leader waits until a member holds the lease and returns it.
func (g *group) leader() (string, *replica.Replica) {
	for {
		g.memoryTransport.mu.Lock()
		for name, r := range g.memoryTransport.members {
			if r.Status().LeaseRemaining > 0 {
				g.memoryTransport.mu.Unlock()
				return name, r
			}
		}
		g.memoryTransport.mu.Unlock()
		g.pausePolling()
	}
}

// commit proposes the command until it is committed. It also repeats the proposal after the
// outcome Unknown, so the command may be applied twice.
func (g *group) commit(command string) replica.Result {
	g.tb.Helper()
	for {
		_, r := g.leader()
		if result := r.Propose(context.Background(), []byte(command)); result.Kind == replica.Committed {
			return result
		}
	}
}

// change requests the membership change from the leader until it is committed.
func (g *group) change(change replica.MemberChange) {
	for {
		_, r := g.leader()
		if r.ChangeMember(context.Background(), change).Kind == replica.Committed {
			return
		}
	}
}

func waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// Guards against a group that fails to elect a leader, to commit and apply commands, or to
// go on after the loss of its leader.
func TestThreeMembers(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	if got, want := string(g.commit("one").Value), "one"; got != want {
		t.Errorf("value: got %q, want %q", got, want)
	}
	first, _ := g.leader()
	g.stop(first)
	g.commit("two")
	name, r := g.leader()
	waitUntil(func() bool { return r.Barrier(context.Background()).Kind == replica.Committed })
	got := slices.Compact(g.machines[name].allCommands())
	if want := []string{"one", "two"}; !slices.Equal(got, want) {
		t.Errorf("commands: got %q, want %q", got, want)
	}
}

// Guards against concurrent proposals that are lost, applied twice or answered with another
// proposal's value while snapshots are taken and leadership is transferred.
func TestConcurrentProposals(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	_, r := g.leader()
	var group sync.WaitGroup
	var mu sync.Mutex
	committed := map[string]bool{}
	for i := range 32 {
		group.Go(func() {
			for k := range 20 {
				command := fmt.Sprintf("%d/%d", i, k)
				result := r.Propose(context.Background(), []byte(command))
				if result.Kind == replica.Committed && string(result.Value) != command {
					t.Errorf("value: got %q, want %q", result.Value, command)
				}
				mu.Lock()
				committed[command] = result.Kind == replica.Committed
				mu.Unlock()
			}
		})
	}
	for _, m := range r.Status().Members {
		if m.Identity != r.Status().Identity {
			r.TransferLeadership(context.Background(), m.Identity)
			break
		}
	}
	group.Wait()
	g.commit("end")
	name, _ := g.leader()
	applied := map[string]int{}
	for _, command := range g.machines[name].allCommands() {
		applied[command]++
	}
	for command, ok := range committed {
		if n := applied[command]; n > 1 || ok && n == 0 {
			t.Errorf("%s: committed %v, applied %d times", command, ok, n)
		}
	}
}

// Guards against a member that votes under its old identity after its folder was damaged,
// and against an identity that joins again after it was replaced.
func TestDamagedFolder(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.commit("one")
	leader, _ := g.leader()
	follower := map[string]string{"a": "b", "b": "c", "c": "a"}[leader]
	g.stop(follower)
	g.disks[follower].FlipBit("/data/vote", 15)
	r := g.start(follower)
	identity := r.Status().Identity
	if identity == follower {
		t.Fatalf("identity: got %q again after damage", identity)
	}
	g.change(replica.MemberChange{Kind: replica.AddLearner, Member: replica.Member{Identity: identity, Name: follower, Address: follower}})
	g.change(replica.MemberChange{Kind: replica.Replace, Member: replica.Member{Identity: identity}, Replaces: follower})
	var result replica.Result
	waitUntil(func() bool {
		_, l := g.leader()
		result = l.ChangeMember(context.Background(), replica.MemberChange{Kind: replica.AddLearner, Member: replica.Member{Identity: follower}})
		return result.Kind == replica.Committed || result.Reason == replica.ReasonRemoved
	})
	if result.Kind != replica.Refused {
		t.Errorf("return of the old identity: got %v, want refused", result.Kind)
	}
	waitUntil(func() bool { return slices.Contains(g.machines[follower].allCommands(), "one") })
}

// Guards against a recovery at the wrong member or a second recovery, and against members of
// the old epoch that take part in votes again.
func TestRecover(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.commit("one")
	// A member applies what a quorum has stored, possibly before it has stored it itself.
	g.stopOnceStored("a", "one")
	for _, name := range []string{"b", "c"} {
		g.stop(name)
	}
	tests := []struct {
		guard replica.RecoveryGuard
		ok    bool
	}{
		{replica.RecoveryGuard{Identity: "b", Epoch: 1}, false},
		{replica.RecoveryGuard{Identity: "a", Epoch: 2}, false},
		{replica.RecoveryGuard{Identity: "a", Epoch: 1}, true},
		{replica.RecoveryGuard{Identity: "a", Epoch: 1}, false},
	}
	for i, tt := range tests {
		if err := replica.Recover(g.options("a"), tt.guard); (err == nil) != tt.ok {
			t.Errorf("attempt %d: got %v, want success %v", i, err, tt.ok)
		}
	}
	g.start("a")
	g.commit("two")
	if got, want := slices.Compact(g.machines["a"].allCommands()), []string{"one", "two"}; !slices.Equal(got, want) {
		t.Errorf("commands: got %q, want %q", got, want)
	}
	b := g.start("b")
	waitUntil(func() bool { return b.Status().Excluded })
	g.stop("b")
	if err := replica.AbandonIdentity(g.disks["b"], "/data"); err != nil {
		t.Fatal(err)
	}
	b = g.start("b")
	g.change(replica.MemberChange{Kind: replica.AddLearner, Member: replica.Member{Identity: b.Status().Identity, Name: "b", Address: "b"}})
	waitUntil(func() bool { return slices.Contains(g.machines["b"].allCommands(), "two") })
}

// Guards against a recovery that cannot be repeated after a crash between its writes.
func TestRecoverCrash(t *testing.T) {
	for step := 1; step < 30; step++ {
		t.Run(fmt.Sprint(step), func(t *testing.T) { recoverAfterCrash(t, step) })
	}
}

func recoverAfterCrash(t *testing.T, step int) {
	t.Helper()
	g := newGroup(t, "a")
	g.commit("one")
	g.stop("a")
	g.disks["a"].ScheduleFailure(step, storagetest.ErrCrashed)
	guard := replica.RecoveryGuard{Identity: "a", Epoch: 1}
	err := replica.Recover(g.options("a"), guard)
	g.disks["a"].Restart(true)
	if err != nil {
		// This fails if the first recovery was complete; the checks below cover both cases.
		_ = replica.Recover(g.options("a"), guard)
	}
	r := g.start("a")
	g.commit("two")
	if got := r.Status().Epoch; got != 2 {
		t.Errorf("epoch: got %d, want 2", got)
	}
	if got, want := slices.Compact(g.machines["a"].allCommands()), []string{"one", "two"}; !slices.Equal(got, want) {
		t.Errorf("commands: got %q, want %q", got, want)
	}
}
