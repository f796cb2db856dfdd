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
	simHeartbeat         = 20  // interval of heartbeats, in ms
	simElectionTimeout   = 200 // ms
	simStep              = 4   // ms by which advance moves the time
	simSnapshotEvery     = 12  // number of entries between snapshots
	simKeptEntries       = 4   // number of entries kept in memory after a snapshot
	simSnapshotPartBytes = 5   // size of a snapshot part in bytes
)

// hashChain is the simulated state machine: a hash chain over all commands.
type hashChain struct {
	count uint64
	value uint64
}

func (d *hashChain) apply(command []byte) {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, d.value))
	_, _ = h.Write(command)
	d.count, d.value = d.count+1, h.Sum64()
}

func (d hashChain) bytes() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, d.count), d.value)
}

func (d *hashChain) restore(data []byte) {
	d.count, d.value = 0, 0
	if len(data) == 16 {
		d.count, d.value = binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])
	}
}

// simNode is a simulated member with its disk and clock.
type simNode struct {
	name              string
	disk              *storagetest.Disk
	rate              float64       // rate of the node's clock, within 0.5% of 1
	offset            clock.Millis  // offset of the node's clock
	core              *replica.Core // nil while the process is down
	journal           *storage.Journal
	batch             *replica.Batch // being written; nil if none
	writeDoneAt       clock.Millis   // when batch is durable
	hashChain         hashChain
	applied           uint64       // index of the last applied entry
	snapshotIndex     uint64       // index of the newest snapshot
	publishedLeaseEnd clock.Millis // latest lease end that callers may have read, by the node's clock
	restartAt         clock.Millis // when a stopped process starts again
	frozenUntil       clock.Millis
	lostIdentity      string // identity whose vote was lost with the disk; empty if none
	refusedIdentity   string // identity that could not join because it had been removed; empty if none
	inbox             []replica.Message
}

// delayedMessage is a message that will be delivered at a later time.
type delayedMessage struct {
	at      clock.Millis
	to      string
	message replica.Message
}

// scheduledAction is a part of a fault that happens at a later time.
type scheduledAction struct {
	at  clock.Millis
	run func()
}

// sim runs members over a faulty network and checks the guarantees of the log.
type sim struct {
	t                rapid.TB
	random           *rand.Rand
	now              clock.Millis
	nodes            []*simNode
	delayedMessages  []delayedMessage
	scheduledActions []scheduledAction
	noProposalsUntil clock.Millis            // no commands are proposed before this time
	blockedUntil     map[string]clock.Millis // by "from>to": messages on this link are lost until this time
	loss             float64                 // share of messages that are lost
	delay            int                     // upper limit of most message delays, in ms

	appendBytes int // limit of the entries in one append message and in one disk batch
	syncDelay   int // upper limit of the duration of a write, in ms

	leaders         map[string]string        // identity of the leader, by term
	committed       map[uint64]storage.Entry // committed entries by index, as the first member committed them
	expectedStates  map[uint64]hashChain     // expected state after the entry at each index, from one state machine that applies all committed entries
	newestCommitted uint64                   // index of the newest committed entry
	proposals       int
	elections       int
	changes         int
}

// newSim starts four members with empty disks, of which the first three found the group.
func newSim(t rapid.TB, seed uint64, loss float64, delay int) *sim {
	s := newStoppedSim(t, seed, loss, delay)
	for _, n := range s.nodes {
		s.startNode(n)
	}
	return s
}

// newStoppedSim returns a simulation of four members that are not running yet.
func newStoppedSim(t rapid.TB, seed uint64, loss float64, delay int) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), loss: loss, delay: delay,
		blockedUntil: map[string]clock.Millis{}, leaders: map[string]string{},
		committed: map[uint64]storage.Entry{}, expectedStates: map[uint64]hashChain{0: {}},
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

// clock returns the time on a node's clock.
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

// startNode starts a node's process. If its disk fails, the process counts as crashed.
func (s *sim) startNode(n *simNode) {
	s.t.Helper()
	core, j, state, _, err := replica.OpenCore(s.clock(n), replica.CoreOptions{
		KeptEntries: simKeptEntries, SnapshotPartBytes: simSnapshotPartBytes, AppendBytes: s.appendBytes,
		Options: replica.Options{
			Name: n.name, Address: n.name, Folder: "/" + n.name, Members: s.founders(),
			FileSystem: n.disk, Seed: s.random.Uint64(), HeartbeatInterval: simHeartbeat, ElectionTimeout: simElectionTimeout,
		},
	})
	if err != nil {
		s.crash(n, false)
		return
	}
	n.core, n.journal, n.batch, n.inbox = core, j, nil, nil
	n.hashChain.restore(state.Snapshot.Data)
	n.applied, n.snapshotIndex, n.frozenUntil = state.Snapshot.Index, state.Snapshot.Index, 0
	s.processEffects(n)
}

// crash ends a node's process, which restarts after a random time.
func (s *sim) crash(n *simNode, powerLost bool) {
	n.core = nil
	n.disk.Restart(powerLost)
	n.restartAt = s.now + clock.Millis(1+s.random.IntN(3*simElectionTimeout))
}

// running reports whether a node's process is up and not frozen.
func (s *sim) running(n *simNode) bool { return n.core != nil && s.now >= n.frozenUntil }

// processEffects carries out the core's outputs, as the runtime does.
func (s *sim) processEffects(n *simNode) {
	for {
		s.apply(n)
		if n.batch != nil {
			break
		}
		b, ok := n.core.NextBatch()
		if !ok {
			break
		}
		n.batch = &b
		n.writeDoneAt = s.now + clock.Millis(s.random.IntN(s.syncDelay))
	}
	// A caller that has read a lease may rely on it even if the leader steps down later.
	n.publishedLeaseEnd = max(n.publishedLeaseEnd, n.core.LeaseUntil())
	messages, addresses := n.core.DrainMessages()
	for i, m := range messages {
		s.send(n.name, addresses[i], m)
	}
	s.checkLeader(n)
}

// send sends a message that may be lost, duplicated or delayed.
func (s *sim) send(from, to string, m replica.Message) {
	if s.blockedUntil[from+">"+to] > s.now || s.random.Float64() < s.loss {
		return
	}
	copies := 1
	if s.random.Float64() < s.loss/2 {
		copies = 2
	}
	for range copies {
		at := s.now + clock.Millis(s.random.IntN(s.delay)+1)
		if s.random.IntN(200) == 0 {
			at += simElectionTimeout * clock.Millis(1+s.random.IntN(10)) // Arrives long after an election timeout.
		}
		s.delayedMessages = append(s.delayedMessages, delayedMessage{at: at, to: to, message: m})
	}
}

// apply runs the state machine's tasks and compares its state with expectedStates.
func (s *sim) apply(n *simNode) {
	for {
		restore, entries, ok := n.core.NextTask()
		if !ok {
			break
		}
		if restore != nil {
			n.hashChain.restore(restore.Data)
			n.applied, n.snapshotIndex = restore.Index, restore.Index
			s.checkState(n)
		}
		for _, e := range entries {
			s.recordCommitted(n, e)
			if e.Kind == 0 {
				n.hashChain.apply(e.Data)
			}
			n.applied = e.Index
			s.checkState(n)
		}
	}
	if n.applied >= n.snapshotIndex+simSnapshotEvery {
		n.snapshotIndex = n.applied
		n.core.TakeSnapshot(n.applied, n.hashChain.bytes())
	}
}

// recordCommitted checks that all members commit the same entry at an index. For a new
// entry it adds the state after it to expectedStates.
func (s *sim) recordCommitted(n *simNode, e storage.Entry) {
	known, ok := s.committed[e.Index]
	if ok && (known.Term != e.Term || !bytes.Equal(known.Data, e.Data)) {
		s.t.Fatalf("%d ms: %s commits entry %d of term %d %q, another member committed term %d %q",
			s.now, n.name, e.Index, e.Term, e.Data, known.Term, known.Data)
	}
	if ok {
		return
	}
	if e.Index != s.newestCommitted+1 {
		s.t.Fatalf("%d ms: %s commits entry %d after entry %d", s.now, n.name, e.Index, s.newestCommitted)
	}
	s.committed[e.Index], s.newestCommitted = e, e.Index
	model := s.expectedStates[e.Index-1]
	if e.Kind == 0 {
		model.apply(e.Data)
	}
	s.expectedStates[e.Index] = model
}

// checkState compares the state of a node's state machine with expectedStates.
func (s *sim) checkState(n *simNode) {
	if got, want := n.hashChain, s.expectedStates[n.applied]; got != want {
		s.t.Fatalf("%d ms: %s at entry %d: state %+v, want %+v", s.now, n.name, n.applied, got, want)
	}
}

// checkLeader checks that a term has only one leader and that a new leader has every
// committed entry of earlier terms.
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

// checkLease checks that at most one member holds a lease, and that a read under the lease
// sees every committed entry.
func (s *sim) checkLease() {
	holder := ""
	for _, n := range s.nodes {
		if s.clock(n) >= n.publishedLeaseEnd {
			continue
		}
		if holder != "" {
			s.t.Fatalf("%d ms: %s and %s hold a lease", s.now, holder, n.name)
		}
		holder = n.name
		if !s.running(n) || s.clock(n) >= n.core.LeaseUntil() {
			continue
		}
		if index, ok := n.core.ReadIndex(s.clock(n)); ok && index < s.newestCommitted {
			s.t.Fatalf("%d ms: a read at %s sees entry %d, committed is %d", s.now, n.name, index, s.newestCommitted)
		}
	}
}

// checkLogs checks Raft's log matching property: if two logs have an entry with the same
// index and term, all entries before it are equal too.
func (s *sim) checkLogs() {
	for i, x := range s.nodes {
		for _, y := range s.nodes[i+1:] {
			if x.core != nil && y.core != nil {
				s.compareLogs(x, y)
			}
		}
	}
}

// compareLogs checks the log matching property for the entries that both nodes have in memory.
func (s *sim) compareLogs(x, y *simNode) {
	xBase, xs := x.core.Log()
	yBase, ys := y.core.Log()
	from := max(xBase, yBase)
	if from > xBase+uint64(len(xs)) || from > yBase+uint64(len(ys)) {
		return
	}
	xs, ys = xs[from-xBase:], ys[from-yBase:]
	agree := false
	for i := min(len(xs), len(ys)) - 1; i >= 0; i-- {
		equal := xs[i].Term == ys[i].Term
		if agree && (!equal || !bytes.Equal(xs[i].Data, ys[i].Data)) {
			s.t.Fatalf("%d ms: %s and %s differ at entry %d before an entry of equal term", s.now, x.name, y.name, xs[i].Index)
		}
		agree = agree || equal
	}
}

// advance moves the time by one step and runs everything that is due.
func (s *sim) advance() {
	s.now += simStep
	s.deliver()
	s.scheduledActions = slices.DeleteFunc(s.scheduledActions, func(a scheduledAction) bool {
		if a.at <= s.now {
			a.run()
		}
		return a.at <= s.now
	})
	for _, n := range s.nodes {
		if n.core == nil && s.now >= n.restartAt {
			s.startNode(n)
		}
		if s.running(n) {
			s.runNode(n)
		}
	}
	s.checkLease()
}

// deliver moves the messages that have arrived to the inboxes of running processes.
func (s *sim) deliver() {
	var due []delayedMessage
	s.delayedMessages = slices.DeleteFunc(s.delayedMessages, func(f delayedMessage) bool {
		if f.at <= s.now {
			due = append(due, f)
		}
		return f.at <= s.now
	})
	slices.SortStableFunc(due, func(x, y delayedMessage) int { return int(x.at - y.at) })
	for _, f := range due {
		for _, n := range s.nodes {
			if n.name == f.to && n.core != nil {
				n.inbox = append(n.inbox, f.message)
			}
		}
	}
}

// runNode handles a node's messages, timers, proposals and completed writes.
func (s *sim) runNode(n *simNode) {
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		n.core.Step(s.clock(n), m)
		s.processEffects(n)
	}
	n.core.Tick(s.clock(n))
	if n.core.Role() == replica.Leader && s.now >= s.noProposalsUntil && s.random.IntN(3) == 0 {
		s.proposals++
		n.core.Propose(s.clock(n), fmt.Appendf(nil, "%d", s.proposals))
	}
	s.processEffects(n)
	if n.batch != nil && s.now >= n.writeDoneAt {
		b := *n.batch
		n.batch = nil
		if err := replica.Persist(n.journal, b); err != nil {
			s.crash(n, s.random.IntN(2) == 0 || n.disk.Crashed())
			return
		}
		n.core.BatchWritten(s.clock(n), b)
		s.processEffects(n)
	}
}

// manageMembers does what the control process does: it restarts excluded members under a
// new identity, adds learners, and replaces voters that don't respond.
func (s *sim) manageMembers() {
	for _, n := range s.nodes {
		if s.running(n) && (n.core.Excluded() || n.refusedIdentity == n.core.Identity()) {
			n.disk.Restart(false)
			n.core = nil
			if err := replica.AbandonIdentity(n.disk, "/"+n.name); err == nil {
				s.startNode(n)
			}
		}
	}
	for _, n := range s.nodes {
		if s.running(n) && n.core.Role() == replica.Leader {
			s.manageMembersAt(n)
			s.processEffects(n)
		}
	}
}

// manageMembersAt starts membership changes at the leader n.
func (s *sim) manageMembersAt(n *simNode) {
	members, _ := n.core.Members()
	now := s.clock(n)
	identities, voters, unresponsiveVoter, learner := map[string]bool{}, 0, "", ""
	for _, m := range members {
		identities[m.Identity] = true
		unresponsive := m.Identity != n.core.Identity() && n.core.SilentFor(now, m.Identity) > 2*simElectionTimeout
		switch {
		case m.Voter:
			voters++
			if unresponsive {
				unresponsiveVoter = m.Identity
			}
		case unresponsive:
			s.change(n, replica.MemberChange{Kind: replica.Remove, Member: m})
		default:
			learner = m.Identity
		}
	}
	switch {
	case learner != "" && voters < 3:
		s.change(n, replica.MemberChange{Kind: replica.Promote, Member: replica.Member{Identity: learner}})
	case learner != "" && unresponsiveVoter != "":
		s.change(n, replica.MemberChange{Kind: replica.Replace, Member: replica.Member{Identity: learner}, Replaces: unresponsiveVoter})
	}
	for _, x := range s.nodes {
		if s.running(x) && !identities[x.core.Identity()] && !x.core.Excluded() {
			reason := s.change(n, replica.MemberChange{Kind: replica.AddLearner, Member: replica.Member{
				Identity: x.core.Identity(), Name: x.name, Address: x.name,
			}})
			if reason == replica.ReasonRemoved {
				x.refusedIdentity = x.core.Identity()
			}
		}
	}
}

func (s *sim) change(n *simNode, change replica.MemberChange) string {
	reason := n.core.ChangeMember(s.clock(n), change)
	if reason == "" {
		s.changes++
	}
	return reason
}

// mayLoseDisk reports whether the disk of a node may be lost. At any time only one identity
// that may still vote in some member's membership may have lost its vote.
func (s *sim) mayLoseDisk(n *simNode) bool {
	for _, x := range s.nodes {
		if x != n && x.lostIdentity != "" && s.mayStillVote(x.lostIdentity) {
			return false
		}
	}
	return n.lostIdentity == "" || !s.mayStillVote(n.lostIdentity)
}

// mayStillVote reports whether the identity is a voter in a membership that some member
// still uses.
func (s *sim) mayStillVote(identity string) bool {
	for _, x := range s.nodes {
		if x.core == nil {
			return true // Its membership is unknown and may include the identity.
		}
		members, previous := x.core.Members()
		votes := slices.ContainsFunc(members, func(m replica.Member) bool { return m.Identity == identity && m.Voter })
		if votes || slices.Contains(previous, identity) {
			return true
		}
	}
	return false
}

// Faults that a schedule can contain.
const (
	faultCrash = iota
	faultPowerLoss
	faultCrashAtStep
	faultDiskError
	faultDiskLost
	faultDiskDamaged
	faultFreeze
	faultLinkBlocked
	faultIsolate
	faultTransfer
	faultReplace
	faultCampaign
	faultTwoCampaigns
	faultCampaignDespiteLeader
	faultCampaignAfterVoterRestart
	faultNone
)

// faultWeights lists the faults to draw from. A fault that occurs several times in the list
// is drawn more often; these are the ones without which others have no effect.
var faultWeights = []int{
	faultCrash, faultPowerLoss, faultPowerLoss, faultCrashAtStep, faultDiskError, faultDiskLost, faultDiskDamaged,
	faultFreeze, faultLinkBlocked, faultLinkBlocked, faultIsolate, faultIsolate, faultTransfer, faultReplace,
	faultCampaign, faultCampaign, faultCampaign, faultTwoCampaigns, faultTwoCampaigns, faultCampaignDespiteLeader, faultCampaignDespiteLeader, faultCampaignAfterVoterRestart, faultCampaignAfterVoterRestart, faultNone,
}

// inject starts a fault at a node. The meaning of amount depends on the kind.
func (s *sim) inject(kind int, n *simNode, amount int) {
	if n.core == nil {
		return
	}
	other := s.nodes[amount%len(s.nodes)]
	until := s.now + clock.Millis(amount)
	switch kind {
	case faultCrash, faultPowerLoss:
		s.crash(n, kind == faultPowerLoss)
	case faultCrashAtStep:
		n.disk.ScheduleFailure(1+amount%40, storagetest.ErrCrashed)
	case faultDiskError:
		n.disk.ScheduleFailure(1+amount%40, []error{syscall.EIO, syscall.ENOSPC, syscall.EROFS}[amount%3])
	case faultDiskLost, faultDiskDamaged:
		s.loseDisk(n, kind == faultDiskDamaged, amount)
	case faultFreeze:
		n.frozenUntil = until
	case faultLinkBlocked:
		s.blockedUntil[n.name+">"+other.name] = until
	case faultIsolate:
		s.isolate(n, amount%2 == 0, until)
	case faultCampaign, faultTwoCampaigns:
		s.campaign(n)
		if kind == faultTwoCampaigns && other.core != nil {
			s.campaign(other)
		}
	case faultCampaignDespiteLeader:
		s.withLeader(func(l *simNode) { s.isolate(l, amount%3 > 0, until) })
		s.campaign(n)
	case faultCampaignAfterVoterRestart:
		s.withLeader(func(l *simNode) { s.campaignAfterVoterRestart(l, n, other) })
	case faultTransfer:
		s.withLeader(func(l *simNode) { l.core.TransferLeadership(s.clock(l), n.core.Identity()) })
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

// isolate blocks the messages from a node until the given time, and those to it if bothWays is
// set.
func (s *sim) isolate(n *simNode, bothWays bool, until clock.Millis) {
	name := n.name
	for _, x := range s.nodes {
		s.blockedUntil[name+">"+x.name] = until
		if bothWays && x != n {
			s.blockedUntil[x.name+">"+name] = until
		}
	}
}

// campaignAfterVoterRestart lets a member that the leader doesn't reach campaign right after
// the restart of a voter that heard from the leader.
func (s *sim) campaignAfterVoterRestart(leader, candidate, voter *simNode) {
	if leader == candidate || leader == voter || candidate == voter {
		return
	}
	start := s.now + simHeartbeat
	restart := start + simElectionTimeout + simHeartbeat
	s.noProposalsUntil = restart // Keeps the candidate's log up to date.
	s.scheduledActions = append(s.scheduledActions, scheduledAction{at: start, run: func() {
		s.blockedUntil[leader.name+">"+candidate.name] = s.now + 3*simElectionTimeout
	}}, scheduledAction{at: restart, run: func() {
		s.crash(voter, false)
		voter.restartAt = s.now
	}}, scheduledAction{at: restart + simStep, run: func() { s.campaign(candidate) }})
}

// campaign lets a running node start an election.
func (s *sim) campaign(n *simNode) {
	if s.running(n) {
		n.core.Campaign(s.clock(n))
		s.processEffects(n)
	}
}

// withLeader calls f for every running leader; a leader of an older term may remain for a while.
func (s *sim) withLeader(f func(*simNode)) {
	for _, n := range s.nodes {
		if s.running(n) && n.core.Role() == replica.Leader {
			f(n)
			s.processEffects(n)
		}
	}
}

// loseDisk crashes a node and empties its disk or, with damageOnly, damages its vote.
func (s *sim) loseDisk(n *simNode, damageOnly bool, amount int) {
	// A member whose folder is set aside before the group is founded could not found it.
	if !s.mayLoseDisk(n) || damageOnly && s.newestCommitted == 0 {
		return
	}
	n.lostIdentity = n.core.Identity()
	s.crash(n, true)
	if damageOnly {
		n.disk.FlipBit("/"+n.name+"/vote", amount%20)
		return
	}
	n.disk.Wipe()
}

// startWithLog stores a term and entries on the disk of a founding member and starts it.
func (s *sim) startWithLog(name string, term uint64, entries ...storage.Entry) {
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
		s.startNode(n)
	}
}

// advanceUntil runs the simulation until the condition is true.
func (s *sim) advanceUntil(condition func() bool) {
	s.t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		s.advance()
	}
	s.t.Fatalf("%d ms: the condition does not become true", s.now)
}

// checkRecovery ends all faults and checks that the group commits new entries and that all
// members catch up.
func (s *sim) checkRecovery() {
	s.blockedUntil, s.loss, s.delay, s.syncDelay = map[string]clock.Millis{}, 0, 3, 4
	for _, n := range s.nodes {
		n.frozenUntil = 0
		n.disk.ScheduleFailure(0, nil)
	}
	start := s.newestCommitted
	for range 60 * simElectionTimeout / simStep {
		s.advance()
		s.manageMembers()
		if s.newestCommitted > start+20 && s.converged() {
			return
		}
	}
	for _, n := range s.nodes {
		if n.core != nil {
			members, previous := n.core.Members()
			s.t.Logf("%s: identity %s, %v, term %d, commit %d, excluded %v, members %v, previous %v",
				n.name, n.core.Identity(), n.core.Role(), n.core.Term(), n.core.CommitIndex(), n.core.Excluded(), members, previous)
		}
	}
	s.t.Fatalf("no agreement after the faults ended: %d entries are committed, %d were before", s.newestCommitted, start)
}

// converged reports whether every node is running, in the group and close to the newest
// committed entry.
func (s *sim) converged() bool {
	for _, n := range s.nodes {
		if !s.running(n) || n.core.Excluded() || n.applied+30 < s.newestCommitted {
			return false
		}
	}
	return true
}
