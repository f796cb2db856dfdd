package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/outcome"
)

// group runs members in this process over loopback HTTP with real disks.
type group struct {
	t       testing.TB
	clock   clock.Clock
	options map[string]control.Options
	running map[string]*control.Control
	release map[string]func()
	client  *control.Client
}

// newGroup starts members c1, c2, ... of which the first three vote.
func newGroup(tb testing.TB, size int) *group {
	tb.Helper()
	g := &group{
		t: tb, clock: clock.New(), options: map[string]control.Options{},
		running: map[string]*control.Control{}, release: map[string]func(){},
	}
	members, addresses := make([]control.Member, size), freeAddresses(size)
	for i := range members {
		members[i] = control.Member{Name: fmt.Sprintf("c%d", i+1), Address: addresses[i], AvailabilityZone: fmt.Sprintf("az-%d", i%3)}
	}
	for _, m := range members {
		g.options[m.Name] = control.Options{
			Name: m.Name, AvailabilityZone: m.AvailabilityZone, Listen: m.Address, Folder: tb.TempDir(),
			Members: members, Clock: g.clock, Logger: event.Discard(),
		}
		g.start(m.Name)
	}
	g.client = g.newClient(addresses)
	g.eventually("a leader and every learner", func() bool { return len(g.members()) == size && g.leader() != "" })
	return g
}

var lastPort atomic.Int32

// freeAddresses returns loopback addresses that nobody else uses: the process
// number is a part of the IP address, and no connection gets it as its own end. A
// port that the system picks may be taken again before a child listens on it.
func freeAddresses(n int) []string {
	pid := os.Getpid()
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&127, pid>>8&255, pid&255, 20_000+lastPort.Add(1))
	}
	return addresses
}

func (g *group) newClient(addresses []string) *control.Client {
	g.t.Helper()
	c, release, err := control.NewClient(control.ClientOptions{Addresses: addresses, Clock: g.clock, CallTimeout: 20 * clock.Second})
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(release)
	return c
}

func (g *group) start(name string) {
	g.t.Helper()
	c, release, err := control.New(g.options[name])
	if err != nil {
		g.t.Fatal(err)
	}
	g.running[name], g.release[name] = c, release
	g.t.Cleanup(release)
}

// crash releases a member without hand-over.
func (g *group) crash(name string) {
	g.release[name]()
	delete(g.running, name)
}

type member struct {
	Identity string `json:"identity"`
	Name     string `json:"name"`
	Voter    bool   `json:"voter"`
	Leader   bool   `json:"leader"`
}

func (g *group) members() []member {
	var answer struct {
		Members []member `json:"members"`
	}
	data, _ := g.client.Members(g.t.Context())
	_ = json.Unmarshal(data, &answer)
	return answer.Members
}

func (g *group) find(match func(m member) bool) (member, bool) {
	for _, m := range g.members() {
		if match(m) {
			return m, true
		}
	}
	return member{}, false
}

func (g *group) leader() string {
	m, _ := g.find(func(m member) bool { return m.Leader })
	return m.Name
}

func (g *group) follower() string {
	m, _ := g.find(func(m member) bool { return m.Voter && !m.Leader })
	return m.Name
}

// eventually polls until the condition holds; the limit only ends a hopeless test.
func (g *group) eventually(what string, condition func() bool) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.t.Context(), (60 * clock.Second).Duration())
	defer cancel()
	for !condition() {
		if !g.clock.Sleep(ctx, 20) {
			g.t.Fatalf("never saw %s: %+v", what, g.members())
		}
	}
}

func (g *group) change(target int) configuration.Answer {
	g.t.Helper()
	current, reply := g.client.Configuration(g.t.Context())
	if reply.Kind != outcome.Answered {
		g.t.Fatalf("reading: %+v", reply)
	}
	got := g.client.Change(g.t.Context(), current.Revision(), classOf(target), control.NewIdempotencyKey())
	if got.Kind != outcome.Answered {
		g.t.Fatalf("changing: %+v", got.Reply)
	}
	return got.Answer
}

func classOf(target int) configuration.SetClass {
	c, err := class.New("clause-query", 1, clock.Millis(target+1), class.FirstToken)
	if err != nil {
		panic(err)
	}
	return configuration.SetClass{Class: c}
}

// operation is a change or, without a key, a read of the revision.
type operation struct {
	base uint64
	key  string
}

type observation struct {
	kind     configuration.Kind // empty when the outcome is unknown
	revision uint64
}

type modelState struct {
	revision uint64
	answers  map[string]observation
}

// model is the sequential specification that histories are checked against. An
// unknown change either took effect or did not.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(modelState), input.(operation), output.(observation)
		if in.key == "" {
			if out.revision == s.revision {
				return []any{s}
			}
			return nil
		}
		answer, known := s.answers[in.key]
		next := s
		if !known {
			answer, next = s.decide(in)
		}
		switch out {
		case answer:
			return []any{next}
		case observation{}:
			return []any{s, next}
		}
		return nil
	},
	Equal: func(a, b any) bool {
		return a.(modelState).revision == b.(modelState).revision && len(a.(modelState).answers) == len(b.(modelState).answers)
	},
}

func (s modelState) decide(in operation) (observation, modelState) {
	answer := observation{configuration.Conflict, s.revision}
	next := modelState{revision: s.revision, answers: map[string]observation{}}
	if in.base == s.revision {
		next.revision++
		answer = observation{configuration.Accepted, next.revision}
	}
	for k, v := range s.answers {
		next.answers[k] = v
	}
	next.answers[in.key] = answer
	return answer, next
}

// recorder keeps the history of concurrent clients. Its times are positions in
// one order, so that operations that did not overlap stay ordered.
type recorder struct {
	mu      sync.Mutex
	time    atomic.Int64
	history []porcupine.Operation
}

func (r *recorder) record(client int, in operation, run func() observation) {
	call := r.time.Add(1)
	out := run()
	end := r.time.Add(1)
	if in.key != "" && out.kind == "" {
		end = math.MaxInt64 // it may still take effect
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// operate races changes on the newest revision that this operator knows, and
// resends some after they were answered.
func (r *recorder) operate(ctx context.Context, client int, c *control.Client, changes int) {
	random := rand.New(rand.NewPCG(uint64(client), 1))
	for i := range changes {
		var base uint64
		r.record(client, operation{}, func() observation {
			current, reply := c.Configuration(ctx)
			for reply.Kind != outcome.Answered && ctx.Err() == nil {
				current, reply = c.Configuration(ctx)
			}
			base = current.Revision()
			return observation{revision: base}
		})
		in := operation{base: base, key: fmt.Sprintf("%d-%d", client, i)}
		for range 1 + random.IntN(2) {
			r.record(client, in, func() observation {
				got := c.Change(ctx, in.base, classOf(client), in.key)
				return observation{got.Answer.Kind, got.Answer.Revision}
			})
		}
	}
}

// Guards against changes that are lost, applied twice or answered out of order
// when racing and resending operators lose the leader, first by a graceful stop
// and then by a crash.
func TestLeaderStoppedDuringWrites(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	r := &recorder{}
	var operators sync.WaitGroup
	for i := range 4 {
		addresses := []string{g.options["c1"].Listen, g.options["c2"].Listen, g.options["c3"].Listen}
		client := g.newClient(append(addresses[i%3:], addresses[:i%3]...))
		operators.Go(func() { r.operate(t.Context(), i, client, 20) })
	}
	written := func(n int) func() bool { return func() bool { return r.time.Load() > int64(n) } }
	g.eventually("the first writes", written(60))
	first := g.leader()
	if err := g.running[first].Stop(t.Context()); err != nil {
		t.Error(err)
	}
	g.start(first)
	g.eventually("writes after the stop", written(200))
	g.eventually("another leader", func() bool { return g.leader() != "" })
	g.crash(g.leader())
	operators.Wait()
	if got := porcupine.CheckOperations(model.ToModel(), r.history); !got {
		t.Errorf("the history of %d operations is not linearizable", len(r.history))
	}
	history, _ := g.client.History(t.Context())
	keys := map[string]bool{}
	for i, record := range history {
		if keys[record.Key] || record.Revision != uint64(i+1) {
			t.Errorf("record %d: got revision %d with key %q again %v", i, record.Revision, record.Key, keys[record.Key])
		}
		keys[record.Key] = true
	}
}

// Guards against changes, answers or history that a restart loses.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	const changes = 1000
	g := newGroup(t, 1)
	for i := range changes {
		if got := g.client.Change(t.Context(), uint64(i), classOf(i), fmt.Sprint(i)); got.Answer.Kind != configuration.Accepted {
			t.Fatalf("change %d: got %+v", i, got)
		}
	}
	g.crash("c1")
	g.start("c1")
	current, reply := g.client.Configuration(t.Context())
	if got, want := current.Revision(), uint64(changes); got != want {
		_, state := request(t, "GET", "http://"+g.options["c1"].Listen+"/debug/state", "", "")
		t.Errorf("revision: got %d (%+v), want %d; state %s", got, reply, want, state)
	}
	for _, i := range []int{0, changes - 1} {
		again := g.client.Change(t.Context(), uint64(i), classOf(i), fmt.Sprint(i))
		if got, want := again.Answer, (configuration.Answer{Kind: configuration.Accepted, Revision: uint64(i + 1)}); got.Kind != want.Kind || got.Revision != want.Revision {
			t.Errorf("resent change %d: got %+v, want %+v", i, got, want)
		}
	}
	if differences, _ := g.client.Diff(t.Context(), 0, 1); len(differences) != 1 || differences[0].NewClass.Target() != 1 {
		t.Errorf("first difference: got %+v", differences)
	}
}

// Guards against a member that votes again under its old identity after its disk
// was lost.
func TestWipedDataFolder(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.change(1)
	wiped := g.follower()
	former, _ := g.find(func(m member) bool { return m.Name == wiped })
	g.crash(wiped)
	if err := os.RemoveAll(filepath.Join(g.options[wiped].Folder, "log")); err != nil {
		t.Fatal(err)
	}
	g.start(wiped)
	g.eventually("the wiped member as a voter with a new identity", func() bool {
		_, old := g.find(func(m member) bool { return m.Identity == former.Identity })
		_, back := g.find(func(m member) bool { return m.Name == wiped && m.Voter && m.Identity != former.Identity })
		return back && !old && len(g.members()) == 3
	})
	want := g.change(2).Revision
	g.eventually("its copy of the configuration", func() bool {
		return g.running[wiped].Machine().Configuration().Revision() == want
	})
}

// Guards against a group that does not survive a second loss after a repair, and
// against a replaced member that returns with its vote.
func TestLostVoterIsReplaced(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 4)
	g.change(1)
	lost := g.follower()
	former, _ := g.find(func(m member) bool { return m.Name == lost })
	g.crash(lost)
	g.eventually("the standby in its place", func() bool {
		_, promoted := g.find(func(m member) bool { return m.Name == "c4" && m.Voter })
		_, old := g.find(func(m member) bool { return m.Name == lost })
		return promoted && !old
	})
	g.crash(g.leader())
	want := g.change(2).Revision
	g.start(lost)
	g.eventually("the replaced member as a learner with a new identity", func() bool {
		back, ok := g.find(func(m member) bool { return m.Name == lost })
		return ok && !back.Voter && back.Identity != former.Identity
	})
	g.eventually("its copy of the configuration", func() bool {
		return g.running[lost].Machine().Configuration().Revision() == want
	})
}

// Guards against a leader without a quorum that still grants leases, claims that
// a change was accepted, or reports one as not run that commits later.
func TestNoQuorum(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	renewal := lease.Renewal{Entry: "e1", Incarnation: 1}
	g.eventually("a lease", func() bool {
		grant, _ := g.client.Renew(t.Context(), renewal)
		return grant.Granted
	})
	alone := g.leader()
	var others []string
	for name := range g.options {
		if name != alone {
			others = append(others, name)
			g.crash(name)
		}
	}
	c, release, err := control.NewClient(control.ClientOptions{Addresses: []string{g.options[alone].Listen}, Clock: g.clock, CallTimeout: clock.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	key := control.NewIdempotencyKey()
	early := c.Change(t.Context(), 0, classOf(1), key)
	if early.Kind == outcome.Answered {
		t.Errorf("change without a quorum: got %+v", early)
	}
	g.eventually("the end of the leader lease", func() bool {
		grant, _ := c.Renew(t.Context(), renewal)
		return !grant.Granted
	})
	a := claim.Attempt{Owner: claim.Owner{Entry: "e1", Incarnation: 1}, ID: "a"}
	if got := c.Acquire(t.Context(), control.NewIdempotencyKey(), "h", a); got.Kind == outcome.Answered {
		t.Errorf("claim without a quorum: got %+v", got)
	}
	// With one other member only the former leader, whose log is longer, can lead.
	g.start(others[0])
	g.eventually("a leader again", func() bool { return g.leader() == alone })
	history, _ := g.client.History(t.Context())
	if len(history) > 0 && history[0].Key == key && early.Kind == outcome.NotRun {
		t.Errorf("the change was reported as %q and committed", early.Kind)
	}
}

// Guards against a claim of an entry whose lease lasts that is taken over, one of
// a lost entry that never is, a takeover that leaves the former owner able to
// send, and a sent call that stays in progress for ever.
func TestLostEntry(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	ctx, client := t.Context(), g.client
	owner := claim.Attempt{Owner: claim.Owner{Entry: "e1", Incarnation: 1}, ID: "a"}
	other := claim.Attempt{Owner: claim.Owner{Entry: "e2", Incarnation: 1}, ID: "b"}
	claimed, sent := control.NewIdempotencyKey(), control.NewIdempotencyKey()
	g.eventually("a lease", func() bool {
		grant, _ := client.Renew(ctx, lease.Renewal{Entry: "e1", Incarnation: 1})
		return grant.Granted
	})
	client.Acquire(ctx, claimed, "h", owner)
	client.Acquire(ctx, sent, "h", owner)
	if got := client.MarkSent(ctx, sent, owner).Result; !got.Owned || got.State != claim.Sent {
		t.Fatalf("send: got %+v", got)
	}
	if got := client.Acquire(ctx, claimed, "h", other).Result; got.Owned || got.Reason != outcome.ReasonCallInProgress {
		t.Errorf("while the lease lasts: got %+v, want call in progress", got)
	}
	g.eventually("the sent call as unknown", func() bool { return client.Lookup(ctx, sent).Result.State == claim.Unknown })
	if got := client.Acquire(ctx, claimed, "h", other).Result; !got.Owned {
		t.Errorf("after the lease: got %+v, want ownership", got)
	}
	if got := client.MarkSent(ctx, claimed, owner).Result; got.Owned {
		t.Errorf("send of the former owner: got %+v", got)
	}
	if got := client.Settle(ctx, sent, owner, claim.Answered, claim.Answer{Status: 200}).Result; got.State != claim.Answered {
		t.Errorf("late answer of the owner: got %+v", got)
	}
}

// Guards against a client that waits for a member that accepts connections and
// never answers.
func TestSilentMember(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close() //nolint:errcheck // Nothing was written.
	client := g.newClient([]string{silent.Addr().String(), g.options["c1"].Listen})
	if got := client.Change(t.Context(), 0, classOf(1), control.NewIdempotencyKey()); got.Answer.Kind != configuration.Accepted {
		t.Errorf("got %+v, want an accepted change", got)
	}
}
