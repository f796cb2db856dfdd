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

// group runs a control group in this process. The members use loopback HTTP and
// folders on disk. All maps have the names of the members as keys.
type group struct {
	t             testing.TB
	clock         clock.Clock
	memberOptions map[string]control.Options
	running       map[string]*control.Control
	release       map[string]func()
	client        *control.Client
}

// newGroup starts members c1, c2, ... of which the first three vote. It returns
// once there is a leader and all members belong to the group.
func newGroup(tb testing.TB, size int) *group {
	tb.Helper()
	g := &group{
		t: tb, clock: clock.New(), memberOptions: map[string]control.Options{},
		running: map[string]*control.Control{}, release: map[string]func(){},
	}
	members, addresses := make([]control.Member, size), freeAddresses(size)
	for i := range members {
		members[i] = control.Member{Name: fmt.Sprintf("c%d", i+1), Address: addresses[i], AvailabilityZone: fmt.Sprintf("az-%d", i%3)}
	}
	for _, m := range members {
		g.memberOptions[m.Name] = control.Options{
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

// freeAddresses returns loopback addresses that no other process uses: the IP
// address contains the process ID, and the system does not pick it as the local
// address of a connection. A port picked by the system could be taken by
// another process before a child process listens on it.
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
	c, release, err := control.New(g.memberOptions[name])
	if err != nil {
		g.t.Fatal(err)
	}
	g.running[name], g.release[name] = c, release
	g.t.Cleanup(release)
}

// crash stops a member without transferring leadership.
func (g *group) crash(name string) {
	g.release[name]()
	delete(g.running, name)
}

// member is a member as listed by the members API.
type member struct {
	Identity string `json:"identity"`
	Name     string `json:"name"`
	Voter    bool   `json:"voter"`
	Leader   bool   `json:"leader"`
}

// members returns the members of the group; none without an answer.
func (g *group) members() []member {
	var answer struct {
		Members []member `json:"members"`
	}
	data, _ := g.client.Members(g.t.Context())
	_ = json.Unmarshal(data, &answer)
	return answer.Members
}

// find returns the first member that matches.
func (g *group) find(match func(m member) bool) (member, bool) {
	for _, m := range g.members() {
		if match(m) {
			return m, true
		}
	}
	return member{}, false
}

// leader returns the name of the leader, or an empty string.
func (g *group) leader() string {
	m, _ := g.find(func(m member) bool { return m.Leader })
	return m.Name
}

// follower returns the name of a voter that does not lead, or an empty string.
func (g *group) follower() string {
	m, _ := g.find(func(m member) bool { return m.Voter && !m.Leader })
	return m.Name
}

// eventually polls until the condition holds. The test fails after 60 s, which
// is far longer than a correct group needs.
func (g *group) eventually(what string, condition func() bool) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.t.Context(), (60 * clock.Second).Duration())
	defer cancel()
	for !condition() {
		if !g.clock.Sleep(ctx, 20) {
			g.t.Fatalf("timed out waiting for %s; members: %+v", what, g.members())
		}
	}
}

// change sets the latency target of a class, based on the current revision.
func (g *group) change(target int) configuration.Answer {
	g.t.Helper()
	current, reply := g.client.Configuration(g.t.Context())
	if reply.Kind != outcome.Answered {
		g.t.Fatalf("reading: %+v", reply)
	}
	got := g.client.Change(g.t.Context(), current.Revision(), setClassTarget(target), control.NewIdempotencyKey())
	if got.Kind != outcome.Answered {
		g.t.Fatalf("changing: %+v", got.Reply)
	}
	return got.Answer
}

// setClassTarget returns a change that sets a class whose latency target, in
// ms, is target+1.
func setClassTarget(target int) configuration.SetClass {
	c, err := class.New("clause-query", 1, clock.Millis(target+1), class.FirstToken)
	if err != nil {
		panic(err)
	}
	return configuration.SetClass{Class: c}
}

// operation is the input of an operation in a history: a configuration change
// or, without a key, a read of the revision.
type operation struct {
	baseRevision   uint64
	idempotencyKey string
}

// observation is the output of an operation.
type observation struct {
	kind     configuration.Kind // empty for a read or when the outcome is unknown
	revision uint64
}

// modelState is the state of configurationModel: the revision and the answer to
// each idempotency key.
type modelState struct {
	revision uint64
	answers  map[string]observation
}

// configurationModel is the sequential specification that recorded histories
// are checked against. A change with an unknown outcome may or may not have
// taken effect.
var configurationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(modelState), input.(operation), output.(observation)
		if in.idempotencyKey == "" {
			if out.revision == s.revision {
				return []any{s}
			}
			return nil
		}
		answer, known := s.answers[in.idempotencyKey]
		next := s
		if !known {
			answer, next = s.apply(in)
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

// apply returns the answer to a new change and the state after it.
func (s modelState) apply(in operation) (observation, modelState) {
	answer := observation{configuration.Conflict, s.revision}
	next := modelState{revision: s.revision, answers: map[string]observation{}}
	if in.baseRevision == s.revision {
		next.revision++
		answer = observation{configuration.Accepted, next.revision}
	}
	for k, v := range s.answers {
		next.answers[k] = v
	}
	next.answers[in.idempotencyKey] = answer
	return answer, next
}

// recorder records the operations of concurrent clients. Its times come from one
// counter, so that operations that did not overlap stay ordered.
type recorder struct {
	mu      sync.Mutex
	counter atomic.Int64
	history []porcupine.Operation
}

// record runs an operation and adds it to the history.
func (r *recorder) record(client int, in operation, run func() observation) {
	call := r.counter.Add(1)
	out := run()
	end := r.counter.Add(1)
	if in.idempotencyKey != "" && out.kind == "" {
		end = math.MaxInt64 // the change may still take effect
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// makeChanges makes changes in competition with other clients, each based on a
// revision that was just read, and sends some of them a second time after the
// answer.
func (r *recorder) makeChanges(ctx context.Context, client int, c *control.Client, changes int) {
	random := rand.New(rand.NewPCG(uint64(client), 1))
	for i := range changes {
		var baseRevision uint64
		r.record(client, operation{}, func() observation {
			current, reply := c.Configuration(ctx)
			for reply.Kind != outcome.Answered && ctx.Err() == nil {
				current, reply = c.Configuration(ctx)
			}
			baseRevision = current.Revision()
			return observation{revision: baseRevision}
		})
		in := operation{baseRevision: baseRevision, idempotencyKey: fmt.Sprintf("%d-%d", client, i)}
		for range 1 + random.IntN(2) {
			r.record(client, in, func() observation {
				got := c.Change(ctx, in.baseRevision, setClassTarget(client), in.idempotencyKey)
				return observation{got.Answer.Kind, got.Answer.Revision}
			})
		}
	}
}

// Guards against changes that are lost, applied twice or answered out of order
// when the leader stops while several operators make and resend changes: first
// a graceful stop, then a crash.
func TestLeaderStoppedDuringWrites(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	r := &recorder{}
	var operators sync.WaitGroup
	for i := range 4 {
		addresses := []string{g.memberOptions["c1"].Listen, g.memberOptions["c2"].Listen, g.memberOptions["c3"].Listen}
		client := g.newClient(append(addresses[i%3:], addresses[:i%3]...))
		operators.Go(func() { r.makeChanges(t.Context(), i, client, 20) })
	}
	operationsRecorded := func(n int) func() bool { return func() bool { return r.counter.Load() > int64(n) } }
	g.eventually("the first writes", operationsRecorded(60))
	stopped := g.leader()
	if err := g.running[stopped].Stop(t.Context()); err != nil {
		t.Error(err)
	}
	g.start(stopped)
	g.eventually("writes after the stop", operationsRecorded(200))
	g.eventually("another leader", func() bool { return g.leader() != "" })
	g.crash(g.leader())
	operators.Wait()
	if got := porcupine.CheckOperations(configurationModel.ToModel(), r.history); !got {
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

// Guards against a restart that loses changes, answers or the history.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	const changes = 1000
	g := newGroup(t, 1)
	for i := range changes {
		if got := g.client.Change(t.Context(), uint64(i), setClassTarget(i), fmt.Sprint(i)); got.Answer.Kind != configuration.Accepted {
			t.Fatalf("change %d: got %+v", i, got)
		}
	}
	g.crash("c1")
	g.start("c1")
	current, reply := g.client.Configuration(t.Context())
	if got, want := current.Revision(), uint64(changes); got != want {
		_, state := request(t, "GET", "http://"+g.memberOptions["c1"].Listen+"/debug/state", "", "")
		t.Errorf("revision: got %d (%+v), want %d; state %s", got, reply, want, state)
	}
	for _, i := range []int{0, changes - 1} {
		resent := g.client.Change(t.Context(), uint64(i), setClassTarget(i), fmt.Sprint(i))
		if got, want := resent.Answer, (configuration.Answer{Kind: configuration.Accepted, Revision: uint64(i + 1)}); got.Kind != want.Kind || got.Revision != want.Revision {
			t.Errorf("resent change %d: got %+v, want %+v", i, got, want)
		}
	}
	if differences, _ := g.client.Diff(t.Context(), 0, 1); len(differences) != 1 || differences[0].NewClass.Target() != 1 {
		t.Errorf("first difference: got %+v", differences)
	}
}

// Guards against a member that votes under its old identity after the loss of
// its disk.
func TestWipedDataFolder(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.change(1)
	wiped := g.follower()
	original, _ := g.find(func(m member) bool { return m.Name == wiped })
	g.crash(wiped)
	if err := os.RemoveAll(filepath.Join(g.memberOptions[wiped].Folder, "log")); err != nil {
		t.Fatal(err)
	}
	g.start(wiped)
	g.eventually("the wiped member as a voter with a new identity", func() bool {
		_, stillMember := g.find(func(m member) bool { return m.Identity == original.Identity })
		_, returned := g.find(func(m member) bool { return m.Name == wiped && m.Voter && m.Identity != original.Identity })
		return returned && !stillMember && len(g.members()) == 3
	})
	want := g.change(2).Revision
	g.eventually("its copy of the configuration", func() bool {
		return g.running[wiped].Machine().Configuration().Revision() == want
	})
}

// Guards against a group that does not survive the loss of a second member
// after a standby has replaced the first, and against a replaced member that
// comes back as a voter.
func TestLostVoterIsReplaced(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 4)
	g.change(1)
	lostVoter := g.follower()
	original, _ := g.find(func(m member) bool { return m.Name == lostVoter })
	g.crash(lostVoter)
	g.eventually("the standby in its place", func() bool {
		_, promoted := g.find(func(m member) bool { return m.Name == "c4" && m.Voter })
		_, stillMember := g.find(func(m member) bool { return m.Name == lostVoter })
		return promoted && !stillMember
	})
	g.crash(g.leader())
	want := g.change(2).Revision
	g.start(lostVoter)
	g.eventually("the replaced member as a learner with a new identity", func() bool {
		returned, ok := g.find(func(m member) bool { return m.Name == lostVoter })
		return ok && !returned.Voter && returned.Identity != original.Identity
	})
	g.eventually("its copy of the configuration", func() bool {
		return g.running[lostVoter].Machine().Configuration().Revision() == want
	})
}

// Guards against a leader without a quorum that still grants leases, reports a
// change as accepted, or reports a change as not run that is committed later.
func TestNoQuorum(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	renewal := lease.Renewal{Entry: "e1", Incarnation: 1}
	g.eventually("a lease", func() bool {
		grant, _ := g.client.Renew(t.Context(), renewal)
		return grant.Granted
	})
	remaining := g.leader()
	var others []string
	for name := range g.memberOptions {
		if name != remaining {
			others = append(others, name)
			g.crash(name)
		}
	}
	isolatedClient, release, err := control.NewClient(control.ClientOptions{Addresses: []string{g.memberOptions[remaining].Listen}, Clock: g.clock, CallTimeout: clock.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	key := control.NewIdempotencyKey()
	unconfirmed := isolatedClient.Change(t.Context(), 0, setClassTarget(1), key)
	if unconfirmed.Kind == outcome.Answered {
		t.Errorf("change without a quorum: got %+v", unconfirmed)
	}
	g.eventually("the end of the leader lease", func() bool {
		grant, _ := isolatedClient.Renew(t.Context(), renewal)
		return !grant.Granted
	})
	attempt := claim.Attempt{Owner: claim.Owner{Entry: "e1", Incarnation: 1}, ID: "a"}
	if got := isolatedClient.Acquire(t.Context(), control.NewIdempotencyKey(), "h", attempt); got.Kind == outcome.Answered {
		t.Errorf("claim without a quorum: got %+v", got)
	}
	// With one other member running, only the former leader can be elected if it has appended
	// the change, because its log is longer then. If it had stepped down before, it reported the
	// change as not run, and either can be elected.
	g.start(others[0])
	g.eventually("a leader again", func() bool {
		leader := g.leader()
		return leader == remaining || leader != "" && unconfirmed.Kind == outcome.NotRun
	})
	history, _ := g.client.History(t.Context())
	if len(history) > 0 && history[0].Key == key && unconfirmed.Kind == outcome.NotRun {
		t.Errorf("the change was reported as %q and committed", unconfirmed.Kind)
	}
}

// Guards against the takeover of a claim whose owner still has its lease, a
// claim of a lost entry that cannot be taken over, a takeover after which the
// former owner can still send, and a sent call that stays in progress forever.
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
	if got := client.EndAttempt(ctx, sent, owner, claim.Answered, claim.Answer{Status: 200}).Result; got.State != claim.Answered {
		t.Errorf("late answer of the owner: got %+v", got)
	}
}

// Guards against a client that keeps waiting for a member that accepts
// connections but never answers.
func TestSilentMember(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close() //nolint:errcheck // Nothing was written.
	client := g.newClient([]string{silent.Addr().String(), g.memberOptions["c1"].Listen})
	if got := client.Change(t.Context(), 0, setClassTarget(1), control.NewIdempotencyKey()); got.Answer.Kind != configuration.Accepted {
		t.Errorf("got %+v, want an accepted change", got)
	}
}
