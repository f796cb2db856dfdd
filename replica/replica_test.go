package replica_test

import (
	"context"
	"encoding/binary"
	"sync"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
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

// group is a set of members over a wire, on the machine's clock.
type group struct {
	tb       testing.TB
	wire     *wire
	founders []replica.Member
	folders  map[string]string
	machines map[string]*list
	stops    map[string]func()
	every    int
}

func newGroup(tb testing.TB, names ...string) *group {
	tb.Helper()
	g := &group{
		tb:      tb,
		wire:    &wire{members: map[string]*replica.Replica{}, bytes: map[string]int{}},
		folders: map[string]string{}, machines: map[string]*list{}, stops: map[string]func(){},
	}
	for _, name := range names {
		g.founders = append(g.founders, replica.Member{Identity: name, Name: name, Address: name, Voter: true})
	}
	for _, name := range names {
		g.start(name)
	}
	tb.Cleanup(func() {
		for name := range g.stops {
			g.stop(name)
		}
	})
	return g
}

func (g *group) start(name string) *replica.Replica {
	g.tb.Helper()
	if g.folders[name] == "" {
		g.folders[name] = g.tb.TempDir()
	}
	g.machines[name] = &list{}
	r, stop, err := replica.New(replica.Options{
		Name: name, Address: name, Folder: g.folders[name], Members: g.founders,
		Clock: clock.New(), Machine: g.machines[name], Transport: g.wire,
		Seed: uint64(name[0]), Heartbeat: 10, Election: 100, SnapshotEvery: g.every,
	})
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
	c := clock.New()
	for c.Sleep(context.Background(), 1) {
		g.wire.mu.Lock()
		for name, r := range g.wire.members {
			if r.Status().LeaseRemaining > 0 {
				g.wire.mu.Unlock()
				return name, r
			}
		}
		g.wire.mu.Unlock()
	}
	return "", nil
}

// commit proposes until the group commits.
func (g *group) commit(command string) replica.Result {
	g.tb.Helper()
	for {
		_, r := g.leader()
		if result := r.Propose(context.Background(), []byte(command)); result.Kind == replica.Committed {
			return result
		}
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
	if result := r.Barrier(context.Background()); result.Kind != replica.Committed {
		t.Fatalf("barrier: got %v, want committed", result.Kind)
	}
	if got := g.machines[name].all(); len(got) != 2 || got[0] != "one" || got[1] != "two" {
		t.Errorf("commands: got %q, want [one two]", got)
	}
}
