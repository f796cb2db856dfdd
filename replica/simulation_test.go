package replica_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

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
	stalledUntil      clock.Millis   // no write ends before this time
	hashChain         hashChain
	applied           uint64       // index of the last applied entry
	snapshotIndex     uint64       // index of the newest snapshot
	publishedLeaseEnd clock.Millis // latest lease end that callers may have read, by the node's clock
	restartAt         clock.Millis // when a stopped process starts again
	frozenUntil       clock.Millis
	withoutFounders   bool   // the node starts without the list of founding members
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

	sendTime         clock.Millis // how long a link takes for each message; 0 if it takes any number at once
	links            []*simLink
	appendBytes      int          // limit of the entries in one append message and in one disk batch
	syncDelay        int          // upper limit of the duration of a write, in ms
	writeTime        clock.Millis // added to the duration of each write
	crashAtDiskError float64      // share of disk errors after which the process crashes
	voters           int          // number of voters; the nodes after them are learners
	faultsEnded      bool         // faults that were scheduled for a later time no longer happen

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
	s.startAll()
	return s
}

// startAll starts the processes of all nodes.
func (s *sim) startAll() {
	for _, n := range s.nodes {
		s.startNode(n)
	}
}

// newStoppedSim returns a simulation of four members that are not running yet.
func newStoppedSim(t rapid.TB, seed uint64, loss float64, delay int) *sim {
	return newStoppedSimOf(t, seed, loss, delay, 3, 4)
}

// newStoppedSimOf returns a simulation of members that are not running yet, of which the given
// number are voters and found the group.
func newStoppedSimOf(t rapid.TB, seed uint64, loss float64, delay, voters, members int) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), loss: loss, delay: delay, voters: voters, crashAtDiskError: 0.25,
		blockedUntil: map[string]clock.Millis{}, leaders: map[string]string{},
		committed: map[uint64]storage.Entry{}, expectedStates: map[uint64]hashChain{0: {}},
	}
	s.appendBytes = []int{1, 300, 1 << 20}[s.random.IntN(3)]
	s.syncDelay = []int{4, 4, 60}[s.random.IntN(3)]
	uuid.SetRand(rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24)}))
	for i := range members {
		name := string(rune('a' + i))
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
	for _, n := range s.nodes[:s.voters] {
		members = append(members, replica.Member{Identity: n.name, Name: n.name, Address: n.name, Voter: true})
	}
	return members
}

// startNode starts a node's process. If its disk fails, the process counts as crashed.
func (s *sim) startNode(n *simNode) {
	s.t.Helper()
	founders := s.founders()
	if n.withoutFounders {
		founders = nil
	}
	core, j, state, _, err := replica.OpenCore(s.clock(n), replica.CoreOptions{
		KeptEntries: simKeptEntries, SnapshotPartBytes: simSnapshotPartBytes, AppendBytes: s.appendBytes,
		Options: replica.Options{
			Name: n.name, Address: n.name, Folder: "/" + n.name, Members: founders,
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
		b, ok := n.core.NextBatch(s.clock(n))
		if !ok {
			break
		}
		n.batch = &b
		n.writeDoneAt = s.now + s.writeTime + clock.Millis(s.random.IntN(s.syncDelay))
	}
	// A caller that has read a lease may rely on it even if the leader steps down later.
	n.publishedLeaseEnd = max(n.publishedLeaseEnd, n.core.LeaseUntil())
	messages, addresses := n.core.DrainMessages()
	for i, m := range messages {
		s.send(n.name, addresses[i], m)
	}
	s.checkLeader(n)
}

// send sends a message. It waits in the outbox if the link takes time for each message.
func (s *sim) send(from, to string, m replica.Message) {
	if s.sendTime > 0 {
		s.link(from, to).outbox.Put(m)
		return
	}
	s.transmit(from, to, m)
}

// transmit passes a message to the network, which may lose, duplicate or delay it.
func (s *sim) transmit(from, to string, m replica.Message) {
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

// advance moves the time by one step and runs everything that is due.
func (s *sim) advance() {
	s.now += simStep
	s.runLinks()
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
	if n.batch != nil && s.now >= max(n.writeDoneAt, n.stalledUntil) {
		s.finishWrite(n)
	}
}

// finishWrite writes a node's batch. If the disk refuses it, the process goes on or, in some cases,
// crashes.
func (s *sim) finishWrite(n *simNode) {
	b := *n.batch
	n.batch = nil
	_, err := replica.Persist(n.journal, b)
	switch {
	case err == nil:
		n.core.BatchWritten(s.clock(n), b)
	case n.disk.Crashed() || s.random.Float64() < s.crashAtDiskError:
		s.crash(n, n.disk.Crashed() || s.random.IntN(2) == 0)
		return
	case storage.OutcomeOf(err) == storage.Damaged:
		s.t.Fatalf("%d ms: %s takes a disk that refuses writes for a damaged one: %v", s.now, n.name, err)
	default:
		n.core.BatchFailed(s.clock(n), b, err)
	}
	s.processEffects(n)
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
