package replica_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage"
	"github.com/galenaslip/galenaslip/storage/storagetest"
)

// list is a state machine that keeps every command.
type list struct {
	mu       sync.Mutex
	commands []string
}

func (l *list) Apply(_ uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(command))
	return command
}

func (l *list) Snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []byte
	for _, c := range l.commands {
		out = binary.AppendUvarint(out, uint64(len(c)))
		out = append(out, c...)
	}
	return out
}

func (l *list) Restore(snapshot []byte) error {
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

func (l *list) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.commands...)
}

// wire joins the members of one process by their JSON messages.
type wire struct {
	mu      sync.Mutex
	members map[string]*replica.Replica // by address
	bytes   map[string]int              // sent, by address of the sender
}

func (w *wire) Send(to replica.Member, m replica.Message) {
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
	w.bytes[m.Address] += len(data)
	w.mu.Unlock()
	if r != nil {
		r.Receive(decoded)
	}
}

// group is a set of members over a wire, on fake disks and a clock that runs as
// fast as the members follow.
type group struct {
	tb       testing.TB
	clock    clock.Clock
	wire     *wire
	founders []replica.Member
	disks    map[string]*storagetest.Disk
	machines map[string]*list
	stops    map[string]func()
	pause    func() // between looks at the members
}

func newGroup(tb testing.TB, names ...string) *group {
	tb.Helper()
	c, manual := clock.NewManual(0)
	g := &group{
		tb: tb, clock: c,
		wire:  &wire{members: map[string]*replica.Replica{}, bytes: map[string]int{}},
		disks: map[string]*storagetest.Disk{}, machines: map[string]*list{}, stops: map[string]func(){},
		pause: runtime.Gosched,
	}
	for _, name := range names {
		g.founders = append(g.founders, replica.Member{Name: name, Address: name, Voter: true})
	}
	for _, name := range names {
		g.start(name)
	}
	stopped, pumped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(pumped)
		pump(manual, stopped)
	}()
	tb.Cleanup(func() {
		close(stopped)
		<-pumped
		for name := range g.stops {
			g.stop(name)
		}
	})
	return g
}

// pump advances the clock and lets the members work in between.
func pump(manual *clock.Manual, stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
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
	g.machines[name] = &list{}
	return replica.Options{
		Name: name, Address: name, Folder: "/data", Members: g.founders,
		Clock: g.clock, StateMachine: g.machines[name], Transport: g.wire, FileSystem: g.disks[name],
		Seed: uint64(name[0]), Heartbeat: 50, ElectionTimeout: 500, SnapshotEvery: 50,
	}
}

func (g *group) start(name string) *replica.Replica {
	g.tb.Helper()
	r, stop, err := replica.New(g.options(name))
	if err != nil {
		g.tb.Fatal(err)
	}
	g.wire.mu.Lock()
	g.wire.members[name] = r
	g.wire.mu.Unlock()
	g.stops[name] = stop
	return r
}

func (g *group) stop(name string) {
	g.wire.mu.Lock()
	delete(g.wire.members, name)
	g.wire.mu.Unlock()
	g.stops[name]()
	delete(g.stops, name)
}

// leader returns the member that holds the lease, once there is one.
func (g *group) leader() (string, *replica.Replica) {
	for {
		g.wire.mu.Lock()
		for name, r := range g.wire.members {
			if r.Status().LeaseRemaining > 0 {
				g.wire.mu.Unlock()
				return name, r
			}
		}
		g.wire.mu.Unlock()
		g.pause()
	}
}

// commit proposes until the group commits. After an unknown outcome it proposes
// again, so the command may be applied twice.
func (g *group) commit(command string) replica.Result {
	g.tb.Helper()
	for {
		_, r := g.leader()
		if result := r.Propose(context.Background(), []byte(command)); result.Kind == replica.Committed {
			return result
		}
	}
}

// change asks the leader until the membership change is committed.
func (g *group) change(change replica.MemberChange) {
	for {
		_, r := g.leader()
		if r.ChangeMember(context.Background(), change).Kind == replica.Committed {
			return
		}
	}
}

// until waits for a condition that the members bring about.
func until(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// Guards against a group that does not elect, commit, apply or survive the loss
// of its leader.
func TestThreeMembers(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	if got, want := string(g.commit("one").Value), "one"; got != want {
		t.Errorf("value: got %q, want %q", got, want)
	}
	first, _ := g.leader()
	g.stop(first)
	g.commit("two")
	name, r := g.leader()
	until(func() bool { return r.Barrier(context.Background()).Kind == replica.Committed })
	got := slices.Compact(g.machines[name].all())
	if want := []string{"one", "two"}; !slices.Equal(got, want) {
		t.Errorf("commands: got %q, want %q", got, want)
	}
}

// Guards against proposals that are lost, applied twice or answered with the
// value of another, under snapshots and a transfer of leadership.
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
	for _, command := range g.machines[name].all() {
		applied[command]++
	}
	for command, ok := range committed {
		if n := applied[command]; n > 1 || ok && n == 0 {
			t.Errorf("%s: committed %v, applied %d times", command, ok, n)
		}
	}
}

// Guards against a leader that goes on with a disk that cannot be written.
func TestDiskFailure(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	name, r := g.leader()
	g.disks[name].ScheduleFailure(1, syscall.ENOSPC)
	if result := r.Propose(context.Background(), []byte("x")); result.Kind != replica.Unknown && result.Kind != replica.Committed {
		t.Errorf("got %v, want unknown or committed", result.Kind)
	}
	until(func() bool { return r.Status().Failure != nil })
	if got := storage.OutcomeOf(r.Status().Failure); got != storage.Full {
		t.Errorf("failure: got %v, want %v", got, storage.Full)
	}
	if result := r.Propose(context.Background(), []byte("y")); result.Kind != replica.NotLeader {
		t.Errorf("got %v, want not leader", result.Kind)
	}
	g.commit("z")
}

// Guards against a member that votes under its old identity after damage, and
// against a replaced member that comes back.
func TestDamagedFolder(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.commit("one")
	leader, _ := g.leader()
	victim := map[string]string{"a": "b", "b": "c", "c": "a"}[leader]
	g.stop(victim)
	g.disks[victim].FlipBit("/data/vote", 15)
	r := g.start(victim)
	identity := r.Status().Identity
	if identity == victim {
		t.Fatalf("identity: got %q again after damage", identity)
	}
	g.change(replica.MemberChange{Kind: replica.AddLearner, Member: replica.Member{Identity: identity, Name: victim, Address: victim}})
	g.change(replica.MemberChange{Kind: replica.Replace, Member: replica.Member{Identity: identity}, Replaces: victim})
	var result replica.Result
	until(func() bool {
		_, l := g.leader()
		result = l.ChangeMember(context.Background(), replica.MemberChange{Kind: replica.AddLearner, Member: replica.Member{Identity: victim}})
		return result.Kind == replica.Committed || result.Reason == replica.ReasonRemoved
	})
	if result.Kind != replica.Refused {
		t.Errorf("return of the old identity: got %v, want refused", result.Kind)
	}
	until(func() bool { return slices.Contains(g.machines[victim].all(), "one") })
}

// Guards against a recovery at the wrong member or twice, and against members of
// the old epoch that come back with their votes.
func TestRecover(t *testing.T) {
	g := newGroup(t, "a", "b", "c")
	g.commit("one")
	until(func() bool { return slices.Contains(g.machines["a"].all(), "one") })
	for _, name := range []string{"a", "b", "c"} {
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
	if got, want := slices.Compact(g.machines["a"].all()), []string{"one", "two"}; !slices.Equal(got, want) {
		t.Errorf("commands: got %q, want %q", got, want)
	}
	b := g.start("b")
	until(func() bool { return b.Status().Excluded })
	g.stop("b")
	if err := replica.AbandonIdentity(g.disks["b"], "/data"); err != nil {
		t.Fatal(err)
	}
	b = g.start("b")
	g.change(replica.MemberChange{Kind: replica.AddLearner, Member: replica.Member{Identity: b.Status().Identity, Name: "b", Address: "b"}})
	until(func() bool { return slices.Contains(g.machines["b"].all(), "two") })
}

// Guards against a recovery that a crash between its writes leaves half done.
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
		// It may have been complete; the state below tells.
		_ = replica.Recover(g.options("a"), guard)
	}
	r := g.start("a")
	g.commit("two")
	if got := r.Status().Epoch; got != 2 {
		t.Errorf("epoch: got %d, want 2", got)
	}
	if got, want := slices.Compact(g.machines["a"].all()), []string{"one", "two"}; !slices.Equal(got, want) {
		t.Errorf("commands: got %q, want %q", got, want)
	}
}
