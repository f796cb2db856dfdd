package replica_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"syscall"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage"
	"github.com/galenaslip/galenaslip/storage/storagetest"
)

const (
	simHeartbeat = 20
	simElection  = 200
	simStep      = 4
	simSnapshot  = 12 // entries between snapshots
	simKept      = 4  // entries kept in memory after a snapshot
	simPart      = 5  // bytes of a part of a snapshot
)

// digest is the state machine: a hash chain over all commands.
type digest struct {
	count uint64
	value uint64
}

func (d *digest) apply(command []byte) {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, d.value))
	_, _ = h.Write(command)
	d.count, d.value = d.count+1, h.Sum64()
}

func (d digest) bytes() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, d.count), d.value)
}

func (d *digest) restore(data []byte) {
	d.count, d.value = 0, 0
	if len(data) == 16 {
		d.count, d.value = binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])
	}
}

// simNode is one member with its disk and clock.
type simNode struct {
	name    string
	disk    *storagetest.Disk
	rate    float64 // of the clock, within 0.5% of 1
	offset  clock.Millis
	core    *replica.Core // nil while the process is down
	journal *storage.Journal
	batch   *replica.Batch
	syncAt  clock.Millis
	digest  digest
	applied uint64
	snapped uint64
	lease   clock.Millis // as published, on the node's clock
	upAt    clock.Millis
	frozen  clock.Millis // until
	lost    string       // identity whose vote was lost with the disk
	refused string       // identity that was refused as removed
	inbox   []replica.Message
}

// flight is a message on its way.
type flight struct {
	at      clock.Millis
	to      string
	message replica.Message
}

// action is a part of a fault that comes later.
type action struct {
	at  clock.Millis
	run func()
}

// sim runs members over a faulty link and checks the log's guarantees.
type sim struct {
	t       rapid.TB
	random  *rand.Rand
	now     clock.Millis
	nodes   []*simNode
	flights []flight
	later   []action
	quiet   clock.Millis            // no proposals until then
	cuts    map[string]clock.Millis // "from>to" until
	loss    float64
	delay   int

	appendBytes int
	syncDelay   int // longest time of a write

	leaders   map[string]string        // "epoch/term" to identity
	committed map[uint64]storage.Entry // by index, as first seen
	models    map[uint64]digest        // naive single copy, after each index
	newest    uint64
	proposals int
	elections int
	changes   int
}

// newSim starts four members with empty disks.
func newSim(t rapid.TB, seed uint64, loss float64, delay int) *sim {
	s := emptySim(t, seed, loss, delay)
	for _, n := range s.nodes {
		s.boot(n)
	}
	return s
}

func emptySim(t rapid.TB, seed uint64, loss float64, delay int) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), loss: loss, delay: delay,
		cuts: map[string]clock.Millis{}, leaders: map[string]string{},
		committed: map[uint64]storage.Entry{}, models: map[uint64]digest{0: {}},
	}
	s.appendBytes = []int{1, 300, 1 << 20}[s.random.IntN(3)]
	s.syncDelay = []int{4, 4, 60}[s.random.IntN(3)]
	uuid.SetRand(rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24)}))
	for i, name := range []string{"a", "b", "c", "d"} {
		n := &simNode{
			name: name, disk: storagetest.New(seed + uint64(i)),
			rate:   0.995 + 0.01*s.random.Float64(),
			offset: clock.Millis(s.random.IntN(100_000)),
		}
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (s *sim) clock(n *simNode) clock.Millis {
	return n.offset + clock.Millis(float64(s.now)*n.rate)
}

func (s *sim) founders() []replica.Member {
	var members []replica.Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, replica.Member{Identity: name, Name: name, Address: name, Voter: true})
	}
	return members
}

// boot starts a node's process. A disk that fails again keeps it down.
func (s *sim) boot(n *simNode) {
	s.t.Helper()
	core, j, state, _, err := replica.OpenCore(s.clock(n), replica.CoreOptions{
		Kept: simKept, PartBytes: simPart, AppendBytes: s.appendBytes,
		Options: replica.Options{
			Name: n.name, Address: n.name, Folder: "/" + n.name, Members: s.founders(),
			FileSystem: n.disk, Seed: s.random.Uint64(), Heartbeat: simHeartbeat, ElectionTimeout: simElection,
		},
	})
	if err != nil {
		s.crash(n, false)
		return
	}
	n.core, n.journal, n.batch, n.inbox = core, j, nil, nil
	n.digest.restore(state.Snapshot.Data)
	n.applied, n.snapped, n.frozen = state.Snapshot.Index, state.Snapshot.Index, 0
	s.settle(n)
}

// crash ends a node's process for a while.
func (s *sim) crash(n *simNode, powerLost bool) {
	n.core = nil
	n.disk.Restart(powerLost)
	n.upAt = s.now + clock.Millis(1+s.random.IntN(3*simElection))
}

func (s *sim) up(n *simNode) bool { return n.core != nil && s.now >= n.frozen }

// settle carries out what the core hands out, as the runtime does.
func (s *sim) settle(n *simNode) {
	for {
		s.apply(n)
		if n.batch != nil {
			break
		}
		b, ok := n.core.Begin()
		if !ok {
			break
		}
		n.batch = &b
		n.syncAt = s.now + clock.Millis(s.random.IntN(s.syncDelay))
	}
	// Whoever has read a lease may rely on it whatever the leader learns later.
	n.lease = max(n.lease, n.core.LeaseUntil())
	messages, addresses := n.core.Messages()
	for i, m := range messages {
		s.send(n.name, addresses[i], m)
	}
	s.checkLeader(n)
}

func (s *sim) send(from, to string, m replica.Message) {
	if s.cuts[from+">"+to] > s.now || s.random.Float64() < s.loss {
		return
	}
	copies := 1
	if s.random.Float64() < s.loss/2 {
		copies = 2
	}
	for range copies {
		at := s.now + clock.Millis(s.random.IntN(s.delay)+1)
		if s.random.IntN(200) == 0 {
			at += simElection * clock.Millis(1+s.random.IntN(10)) // Very late.
		}
		s.flights = append(s.flights, flight{at: at, to: to, message: m})
	}
}

// apply runs the state machine and compares it with the naive single copy.
func (s *sim) apply(n *simNode) {
	for {
		restore, entries, ok := n.core.Task()
		if !ok {
			break
		}
		if restore != nil {
			n.digest.restore(restore.Data)
			n.applied, n.snapped = restore.Index, restore.Index
			s.compare(n)
		}
		for _, e := range entries {
			s.note(n, e)
			if e.Kind == 0 {
				n.digest.apply(e.Data)
			}
			n.applied = e.Index
			s.compare(n)
		}
	}
	if n.applied >= n.snapped+simSnapshot {
		n.snapped = n.applied
		n.core.TakeSnapshot(n.applied, n.digest.bytes())
	}
}

// note checks that a committed entry is the same for everyone.
func (s *sim) note(n *simNode, e storage.Entry) {
	known, ok := s.committed[e.Index]
	if ok && (known.Term != e.Term || !bytes.Equal(known.Data, e.Data)) {
		s.t.Fatalf("%d ms: %s commits entry %d of term %d %q, another member committed term %d %q",
			s.now, n.name, e.Index, e.Term, e.Data, known.Term, known.Data)
	}
	if ok {
		return
	}
	if e.Index != s.newest+1 {
		s.t.Fatalf("%d ms: %s commits entry %d after entry %d", s.now, n.name, e.Index, s.newest)
	}
	s.committed[e.Index], s.newest = e, e.Index
	model := s.models[e.Index-1]
	if e.Kind == 0 {
		model.apply(e.Data)
	}
	s.models[e.Index] = model
}

func (s *sim) compare(n *simNode) {
	if got, want := n.digest, s.models[n.applied]; got != want {
		s.t.Fatalf("%d ms: %s at entry %d: state %+v, want %+v", s.now, n.name, n.applied, got, want)
	}
}

// checkLeader checks election safety and that a leader holds every committed
// entry.
func (s *sim) checkLeader(n *simNode) {
	if n.core.Role() != replica.Leader {
		return
	}
	key, identity := fmt.Sprint(n.core.Term()), n.core.Identity()
	known, ok := s.leaders[key]
	if ok && known != identity {
		s.t.Fatalf("%d ms: term %s has leaders %s and %s", s.now, key, known, identity)
	}
	if ok {
		return
	}
	s.leaders[key] = identity
	s.elections++
	base, entries := n.core.Log()
	for i, e := range s.committed {
		if i <= base {
			continue
		}
		if at := i - base - 1; at >= uint64(len(entries)) || entries[at].Term != e.Term {
			if e.Term < n.core.Term() {
				s.t.Fatalf("%d ms: leader %s of term %s lacks committed entry %d of term %d", s.now, n.name, key, i, e.Term)
			}
		}
	}
}

// checkLease checks that at most one member holds a lease, and that a read under
// the lease sees everything that is committed.
func (s *sim) checkLease() {
	holder := ""
	for _, n := range s.nodes {
		if s.clock(n) >= n.lease {
			continue
		}
		if holder != "" {
			s.t.Fatalf("%d ms: %s and %s hold a lease", s.now, holder, n.name)
		}
		holder = n.name
		if !s.up(n) || s.clock(n) >= n.core.LeaseUntil() {
			continue
		}
		if index, ok := n.core.Read(s.clock(n)); ok && index < s.newest {
			s.t.Fatalf("%d ms: a read at %s sees entry %d, committed is %d", s.now, n.name, index, s.newest)
		}
	}
}

// checkLogs checks log matching: logs that agree on the term of an entry agree
// on all entries before it.
func (s *sim) checkLogs() {
	for i, x := range s.nodes {
		for _, y := range s.nodes[i+1:] {
			if x.core != nil && y.core != nil {
				s.matchLogs(x, y)
			}
		}
	}
}

func (s *sim) matchLogs(x, y *simNode) {
	xBase, xs := x.core.Log()
	yBase, ys := y.core.Log()
	from := max(xBase, yBase)
	if from > xBase+uint64(len(xs)) || from > yBase+uint64(len(ys)) {
		return
	}
	xs, ys = xs[from-xBase:], ys[from-yBase:]
	same := false
	for i := min(len(xs), len(ys)) - 1; i >= 0; i-- {
		equal := xs[i].Term == ys[i].Term
		if same && (!equal || !bytes.Equal(xs[i].Data, ys[i].Data)) {
			s.t.Fatalf("%d ms: %s and %s differ at entry %d before an entry of equal term", s.now, x.name, y.name, xs[i].Index)
		}
		same = same || equal
	}
}

// advance runs one step of time.
func (s *sim) advance() {
	s.now += simStep
	s.deliver()
	s.later = slices.DeleteFunc(s.later, func(a action) bool {
		if a.at <= s.now {
			a.run()
		}
		return a.at <= s.now
	})
	for _, n := range s.nodes {
		if n.core == nil && s.now >= n.upAt {
			s.boot(n)
		}
		if s.up(n) {
			s.runNode(n)
		}
	}
	s.checkLease()
}

func (s *sim) deliver() {
	var due []flight
	s.flights = slices.DeleteFunc(s.flights, func(f flight) bool {
		if f.at <= s.now {
			due = append(due, f)
		}
		return f.at <= s.now
	})
	slices.SortStableFunc(due, func(x, y flight) int { return int(x.at - y.at) })
	for _, f := range due {
		for _, n := range s.nodes {
			if n.name == f.to && n.core != nil {
				n.inbox = append(n.inbox, f.message)
			}
		}
	}
}

func (s *sim) runNode(n *simNode) {
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		n.core.Step(s.clock(n), m)
		s.settle(n)
	}
	n.core.Tick(s.clock(n))
	if n.core.Role() == replica.Leader && s.now >= s.quiet && s.random.IntN(3) == 0 {
		s.proposals++
		n.core.Propose(s.clock(n), fmt.Appendf(nil, "%d", s.proposals))
	}
	s.settle(n)
	if n.batch != nil && s.now >= n.syncAt {
		b := *n.batch
		n.batch = nil
		if err := replica.Persist(n.journal, b); err != nil {
			s.crash(n, s.random.IntN(2) == 0 || n.disk.Crashed())
			return
		}
		n.core.Finish(s.clock(n), b)
		s.settle(n)
	}
}

// operate does what the control process does: it gives members that are outside
// a new life, adds learners, and replaces voters that are silent.
func (s *sim) operate() {
	for _, n := range s.nodes {
		if s.up(n) && (n.core.Outside() || n.refused == n.core.Identity()) {
			n.disk.Restart(false)
			n.core = nil
			if err := replica.AbandonIdentity(n.disk, "/"+n.name); err == nil {
				s.boot(n)
			}
		}
	}
	for _, n := range s.nodes {
		if s.up(n) && n.core.Role() == replica.Leader {
			s.operateLeader(n)
			s.settle(n)
		}
	}
}

func (s *sim) operateLeader(n *simNode) {
	members, _ := n.core.Members()
	now := s.clock(n)
	identities, voters, silent, learner := map[string]bool{}, 0, "", ""
	for _, m := range members {
		identities[m.Identity] = true
		quiet := m.Identity != n.core.Identity() && n.core.Silent(now, m.Identity) > 2*simElection
		switch {
		case m.Voter:
			voters++
			if quiet {
				silent = m.Identity
			}
		case quiet:
			s.change(n, replica.MemberChange{Kind: replica.Remove, Member: m})
		default:
			learner = m.Identity
		}
	}
	switch {
	case learner != "" && voters < 3:
		s.change(n, replica.MemberChange{Kind: replica.Promote, Member: replica.Member{Identity: learner}})
	case learner != "" && silent != "":
		s.change(n, replica.MemberChange{Kind: replica.Replace, Member: replica.Member{Identity: learner}, Replaces: silent})
	}
	for _, x := range s.nodes {
		if s.up(x) && !identities[x.core.Identity()] && !x.core.Outside() {
			reason := s.change(n, replica.MemberChange{Kind: replica.AddLearner, Member: replica.Member{
				Identity: x.core.Identity(), Name: x.name, Address: x.name,
			}})
			if reason == replica.ReasonRemoved {
				x.refused = x.core.Identity()
			}
		}
	}
}

func (s *sim) change(n *simNode, change replica.MemberChange) string {
	reason := n.core.Change(s.clock(n), change)
	if reason == "" {
		s.changes++
	}
	return reason
}

// mayLose reports whether the disk of a node may be lost: no more votes than a
// minority may be lost at a time, in any membership that is still in force.
func (s *sim) mayLose(n *simNode) bool {
	for _, x := range s.nodes {
		if x != n && x.lost != "" && s.inForce(x.lost) {
			return false
		}
	}
	return n.lost == "" || !s.inForce(n.lost)
}

func (s *sim) inForce(identity string) bool {
	for _, x := range s.nodes {
		if x.core == nil {
			return true // Its membership is not known; assume the worst.
		}
		members, previous := x.core.Members()
		votes := slices.ContainsFunc(members, func(m replica.Member) bool { return m.Identity == identity && m.Voter })
		if votes || slices.Contains(previous, identity) {
			return true
		}
	}
	return false
}

// Faults of a schedule.
const (
	faultCrash = iota
	faultPower
	faultStep
	faultError
	faultLost
	faultDamage
	faultFreeze
	faultCut
	faultIsolate
	faultTransfer
	faultReplace
	faultCampaign
	faultRivals
	faultUsurp
	faultForget
	faultNone
)

// faultWeights repeats the faults that other faults need to matter.
var faultWeights = []int{
	faultCrash, faultPower, faultPower, faultStep, faultError, faultLost, faultDamage,
	faultFreeze, faultCut, faultCut, faultIsolate, faultIsolate, faultTransfer, faultReplace,
	faultCampaign, faultCampaign, faultCampaign, faultRivals, faultRivals, faultUsurp, faultUsurp, faultForget, faultForget, faultNone,
}

// inject starts a fault at a node.
func (s *sim) inject(kind int, n *simNode, amount int) {
	if n.core == nil {
		return
	}
	other := s.nodes[amount%len(s.nodes)]
	until := s.now + clock.Millis(amount)
	switch kind {
	case faultCrash, faultPower:
		s.crash(n, kind == faultPower)
	case faultStep:
		n.disk.ScheduleFailure(1+amount%40, storagetest.ErrCrashed)
	case faultError:
		n.disk.ScheduleFailure(1+amount%40, []error{syscall.EIO, syscall.ENOSPC, syscall.EROFS}[amount%3])
	case faultLost, faultDamage:
		s.loseDisk(n, kind == faultDamage, amount)
	case faultFreeze:
		n.frozen = until
	case faultCut:
		s.cuts[n.name+">"+other.name] = until
	case faultIsolate:
		s.isolate(n, amount%2 == 0, until)
	case faultCampaign, faultRivals:
		s.campaign(n)
		if kind == faultRivals && other.core != nil {
			s.campaign(other)
		}
	case faultUsurp:
		s.withLeader(func(l *simNode) { s.isolate(l, amount%3 > 0, until) })
		s.campaign(n)
	case faultForget:
		s.withLeader(func(l *simNode) { s.forget(l, n, other) })
	case faultTransfer:
		s.withLeader(func(l *simNode) { l.core.Transfer(s.clock(l), n.core.Identity()) })
	case faultReplace:
		s.withLeader(func(l *simNode) {
			members, _ := l.core.Members()
			for _, m := range members {
				if !m.Voter {
					s.change(l, replica.MemberChange{Kind: replica.Replace, Member: m, Replaces: n.core.Identity()})
				}
			}
		})
	}
}

func (s *sim) isolate(n *simNode, bothWays bool, until clock.Millis) {
	name := n.name
	for _, x := range s.nodes {
		s.cuts[name+">"+x.name] = until
		if bothWays && x != n {
			s.cuts[x.name+">"+name] = until
		}
	}
}

// forget lets a member that the leader does not reach campaign just after the
// one that the leader reaches was restarted.
func (s *sim) forget(leader, candidate, voter *simNode) {
	if leader == candidate || leader == voter || candidate == voter {
		return
	}
	start := s.now + simHeartbeat
	restart := start + simElection + simHeartbeat
	s.quiet = restart // So that the candidate's log stays up to date.
	s.later = append(s.later, action{at: start, run: func() {
		s.cuts[leader.name+">"+candidate.name] = s.now + 3*simElection
	}}, action{at: restart, run: func() {
		s.crash(voter, false)
		voter.upAt = s.now
	}}, action{at: restart + simStep, run: func() { s.campaign(candidate) }})
}

func (s *sim) campaign(n *simNode) {
	if s.up(n) {
		n.core.Campaign(s.clock(n))
		s.settle(n)
	}
}

func (s *sim) withLeader(f func(*simNode)) {
	for _, n := range s.nodes {
		if s.up(n) && n.core.Role() == replica.Leader {
			f(n)
			s.settle(n)
		}
	}
}

func (s *sim) loseDisk(n *simNode, damage bool, amount int) {
	// A folder that is set aside before the group is founded cannot found it.
	if !s.mayLose(n) || damage && s.newest == 0 {
		return
	}
	n.lost = n.core.Identity()
	s.crash(n, true)
	if damage {
		n.disk.FlipBit("/"+n.name+"/vote", amount%20)
		return
	}
	n.disk.Wipe()
}

// store prepares the disk of a founding member and starts it.
func (s *sim) store(name string, term uint64, entries ...storage.Entry) {
	s.t.Helper()
	for _, n := range s.nodes {
		if n.name != name {
			continue
		}
		j, _, release, err := storage.Open(storage.Options{Folder: "/" + name, Owner: name, FileSystem: n.disk})
		if err != nil {
			s.t.Fatal(err)
		}
		vote := storage.Vote{
			Term: term, VotedFor: name, Identity: name, Epoch: 1, FolderID: name,
			Founders: replica.EncodeFounders(s.founders()), FounderFolderIDs: map[string]string{"a": "a", "b": "b", "c": "c"},
		}
		if err := errors.Join(j.SaveVote(vote), j.Append(entries)); err != nil {
			s.t.Fatal(err)
		}
		release()
		s.boot(n)
	}
}

// until runs until the condition holds.
func (s *sim) until(condition func() bool) {
	s.t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		s.advance()
	}
	s.t.Fatalf("%d ms: the condition does not become true", s.now)
}

// heal ends all faults and checks that the group commits again and agrees.
func (s *sim) heal() {
	s.cuts, s.loss, s.delay, s.syncDelay = map[string]clock.Millis{}, 0, 3, 4
	for _, n := range s.nodes {
		n.frozen = 0
		n.disk.ScheduleFailure(0, nil)
	}
	start := s.newest
	for range 60 * simElection / simStep {
		s.advance()
		s.operate()
		if s.newest > start+20 && s.agreed() {
			return
		}
	}
	for _, n := range s.nodes {
		if n.core != nil {
			members, previous := n.core.Members()
			s.t.Logf("%s: identity %s, %v, term %d, commit %d, outside %v, members %v, previous %v",
				n.name, n.core.Identity(), n.core.Role(), n.core.Term(), n.core.Commit(), n.core.Outside(), members, previous)
		}
	}
	s.t.Fatalf("no agreement after the faults ended; %d entries, were %d", s.newest, start)
}

// agreed reports whether every node is up, in the group and close to the end.
func (s *sim) agreed() bool {
	for _, n := range s.nodes {
		if !s.up(n) || n.core.Outside() || n.applied+30 < s.newest {
			return false
		}
	}
	return true
}
