package replica_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
)

// simSlowDelay is the longest delay of most messages in a slow network. Answers arrive just within
// the election timeout; with longer ones no leader could keep its lease.
const simSlowDelay = simElectionTimeout*9/20 - simStep

// simElectionAfterFaults is how long a group may take, after all faults have ended, to elect a leader that
// commits an entry: as long as checkRecovery allows, with slow messages and writes.
const simElectionAfterFaults = 60 * simElectionTimeout

// How a day of faults ends.
const (
	endQuiet            = iota
	endLeaderLost       // the leader crashes
	endAllKilled        // all processes end
	endPowerLost        // all members lose power at once, and with it what their disks had not synced
	endPowerLostOnAck   // the same, at the moment at which an entry is committed
	endDiskWiped        // all members lose power, and the disk of one that is no longer needed is empty
	endZoneLost         // a zone is cut off until the end
	endStalls           // the disks of several members have stalled again and again
	endSnapshotTransfer // a member that lacks entries is sent a snapshot when the leader crashes
	endCount
)

// Guards against a group that elects no leader for good, although all faults have ended and a
// majority of the voters of each membership in use runs: after members were replaced by others at new
// addresses and returned with an empty disk while a change of the membership was undecided, after
// disks stalled again and again or lost what was not synced, and with slow messages.
func TestLeaderAfterFaults(t *testing.T) {
	var outcomes leaderOutcomes
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 5, 5, 9}).Draw(t, "voters")
		spares := rapid.IntRange(0, 3).Draw(t, "spares")
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		delay := rapid.SampledFrom([]int{2, 10, simSlowDelay}).Draw(t, "delay")
		s := newStoppedSimOf(t, rapid.Uint64().Draw(t, "seed"), 0, 2, voters, voters+spares)
		d := faultyDay{sim: s, zones: rapid.IntRange(2, 4).Draw(t, "zones"), outcomes: &outcomes}
		s.appendBytes = 1 << 20 // With a few entries an append, the proposals would come faster than the appends.
		for _, n := range s.nodes[:voters] {
			s.startNode(n)
		}
		for _, n := range s.nodes[voters:] {
			n.restartAt = s.now + clock.Millis(rapid.IntRange(0, 20*simElectionTimeout).Draw(t, "joins"))
		}
		s.advanceUntil(func() bool { return s.newestCommitted > 0 })
		s.loss, s.delay = loss, delay
		for range rapid.IntRange(0, 20).Draw(t, "faults") {
			d.fault(rapid.IntRange(0, dayFaultCount-1).Draw(t, "fault"), rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node"), rapid.IntRange(0, 8*simElectionTimeout).Draw(t, "amount"))
			d.pass(rapid.IntRange(1, 150).Draw(t, "steps"))
		}
		d.end(rapid.IntRange(0, endCount-1).Draw(t, "end"), rapid.IntRange(0, 40).Draw(t, "steps before the end"), rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node"))
		d.lastFaultsEnd(rapid.SampledFrom([]int{3, 40, simSlowDelay}).Draw(t, "delay after the faults"))
		s.sendTime = rapid.SampledFrom([]clock.Millis{0, 0, simHeartbeat / 2, 3 * simHeartbeat / 2}).Draw(t, "time to send a message")
		if s.sendTime > 0 {
			s.delay = 3 // Both together could exceed the election timeout.
		}
		if s.sendTime == 0 && s.delay < simElectionTimeout/4 {
			s.writeTime = rapid.SampledFrom([]clock.Millis{0, 0, simElectionTimeout / 4, simElectionTimeout / 2}).Draw(t, "time of a write")
		}
		d.leaveDown(rapid.IntRange(0, (len(s.nodes)+2)/3).Draw(t, "members lost for good"), rapid.IntRange(0, len(s.nodes)-1).Draw(t, "first of them"))
		d.checkLeaderElected(rapid.Bool().Draw(t, "members are managed"))
	})
	t.Logf("%d elected a leader, the slowest in %d ms; %d could elect none", outcomes.elected, outcomes.slowest, outcomes.impossible)
	if outcomes.impossible > outcomes.elected/10 {
		t.Errorf("%d of %d groups could elect no leader, want at most a tenth: the test checks too little", outcomes.impossible, outcomes.elected)
	}
}

// faultyDay runs a simulation in which members are replaced, and checks that a leader is elected
// afterwards.
type faultyDay struct {
	*sim
	zones    int
	outcomes *leaderOutcomes
}

// leaderOutcomes counts the days by their outcome.
type leaderOutcomes struct {
	elected    int
	impossible int          // a majority of the voters was lost for good
	slowest    clock.Millis // longest time until a leader had committed an entry
}

// The faults of a day.
const (
	dayChange         = iota // the leader starts a membership change, whatever its members are like
	dayChangeAndCrash        // the same, and a member crashes within a few steps
	dayManage                // the leader replaces what is lost, as control does
	dayCrash
	dayPowerLoss
	dayWipe // a member returns with an empty disk under a new identity
	dayStallTrain
	dayRefuse
	dayFreeze
	dayCutZone
	dayBlockLink
	dayIsolate
	dayTransfer
	dayFaultCount
)

func (d *faultyDay) fault(kind, index, amount int) {
	s, n := d.sim, d.nodes[index]
	if n.core == nil {
		return
	}
	until := s.now + clock.Millis(amount)
	switch kind {
	case dayChange, dayChangeAndCrash:
		s.withLeader(func(l *simNode) { d.startChange(l, index, amount) })
		if kind == dayChangeAndCrash {
			d.pass(amount % 12)
			victim := s.nodes[(index+amount)%len(s.nodes)]
			if victim.core != nil {
				s.crash(victim, amount%2 == 0)
			}
		}
	case dayManage:
		s.manageMembers()
	case dayCrash, dayPowerLoss:
		s.crash(n, kind == dayPowerLoss)
	case dayWipe:
		if s.mayLoseDisk(n) {
			n.lostIdentity = n.core.Identity()
			s.crash(n, true)
			n.disk.Wipe()
		}
	case dayStallTrain:
		for i := range clock.Millis(1 + amount%8) {
			at := s.now + i*simElectionTimeout*5/4
			s.scheduledActions = append(s.scheduledActions, scheduledAction{at: at, run: func() {
				if !s.faultsEnded {
					n.stalledUntil = max(n.stalledUntil, s.now+simElectionTimeout)
				}
			}})
		}
	case dayRefuse:
		s.refuseWrites(n, diskErrors[amount%3], s.now, until)
	case dayFreeze:
		n.frozenUntil = until
	case dayCutZone:
		d.cutZone(index%d.zones, until)
	case dayBlockLink:
		s.blockedUntil[n.name+">"+s.nodes[amount%len(s.nodes)].name] = until
	case dayIsolate:
		s.isolate(n, amount%2 == 0, until)
	case dayTransfer:
		s.withLeader(func(l *simNode) { l.core.TransferLeadership(s.clock(l), n.core.Identity()) })
	}
}

// startChange starts a change of any kind at the leader.
func (d *faultyDay) startChange(leader *simNode, index, amount int) {
	s := d.sim
	members, _ := leader.core.Members()
	target := members[index%len(members)]
	learner := slices.IndexFunc(members, func(m replica.Member) bool { return !m.Voter })
	switch {
	case amount%4 == 0:
		s.change(leader, replica.MemberChange{Kind: replica.Remove, Member: target})
	case learner >= 0 && amount%4 == 1:
		s.change(leader, replica.MemberChange{Kind: replica.Promote, Member: members[learner]})
	case learner >= 0 && target.Voter:
		s.change(leader, replica.MemberChange{Kind: replica.Replace, Member: members[learner], Replaces: target.Identity})
	default:
		s.manageMembersAt(leader)
	}
}

// pass lets time pass. The members are managed from time to time.
func (d *faultyDay) pass(steps int) {
	for range steps {
		d.advance()
		if d.now%40 == 0 && d.random.IntN(2) == 0 {
			d.manageMembers()
		}
	}
}

func (d *faultyDay) cutZone(zone int, until clock.Millis) {
	for i, a := range d.nodes {
		for j, b := range d.nodes {
			if (i%d.zones == zone) != (j%d.zones == zone) {
				d.blockedUntil[a.name+">"+b.name] = until
			}
		}
	}
}

// end lets the last fault happen.
func (d *faultyDay) end(kind, steps, index int) {
	s := d.sim
	all := func(powerLost bool) {
		for _, n := range s.nodes {
			if n.core != nil {
				s.crash(n, powerLost)
			}
		}
	}
	lagging := s.nodes[index]
	if kind == endSnapshotTransfer {
		s.isolate(lagging, true, s.now+4*simElectionTimeout)
		d.pass(4 * simElectionTimeout / simStep)
	}
	s.withLeader(func(l *simNode) { d.startChange(l, index, steps) })
	for range steps {
		s.advance()
	}
	switch kind {
	case endLeaderLost, endSnapshotTransfer:
		s.withLeader(func(l *simNode) { s.crashLater(l) })
	case endAllKilled, endPowerLost:
		all(kind == endPowerLost)
	case endPowerLostOnAck:
		newest := s.newestCommitted
		for range 10 * simElectionTimeout / simStep {
			if s.newestCommitted > newest {
				break
			}
			s.advance()
		}
		all(true)
	case endDiskWiped:
		if n := s.nodes[index]; n.core != nil && s.mayLoseDisk(n) {
			n.lostIdentity = n.core.Identity()
			all(true)
			n.disk.Wipe()
		}
	case endZoneLost:
		d.cutZone(index%d.zones, s.now+5*simElectionTimeout)
		d.pass(5 * simElectionTimeout / simStep)
	case endStalls:
		for i := range len(s.nodes)/2 + 1 {
			d.fault(dayStallTrain, (index+i)%len(s.nodes), 7)
		}
		d.pass(10 * simElectionTimeout / simStep)
	}
}

// lastFaultsEnd ends all faults and lets every process start.
func (d *faultyDay) lastFaultsEnd(delay int) {
	s := d.sim
	s.blockedUntil, s.loss, s.delay, s.syncDelay = map[string]clock.Millis{}, 0, delay, 4
	s.faultsEnded = true
	s.advance()
	for _, n := range s.nodes {
		n.frozenUntil, n.stalledUntil = 0, 0
		n.disk.ScheduleFailure(0, nil)
		n.disk.Refuse(nil)
		if n.core == nil {
			n.restartAt = s.now
		}
	}
	s.advance()
}

// leaveDown ends up to count processes for good, as long as a majority of the voters of each
// membership in use stays.
func (d *faultyDay) leaveDown(count, first int) {
	for i := range d.nodes {
		n := d.nodes[(first+i)%len(d.nodes)]
		if count == 0 || n.core == nil {
			continue
		}
		n.frozenUntil = d.now + 1
		if !d.majorityCanVote() {
			n.frozenUntil = 0
			continue
		}
		d.stopForGood(n)
		count--
	}
}

// majorityCanVote reports whether a leader can be elected: in each membership of a member that may
// have all committed entries, a majority of the voters runs and has the disk with which it joined. Members
// that lack committed entries cannot win, so that their memberships don't count. A founding member with
// an empty disk has its former identity until it reaches another member.
func (d *faultyDay) majorityCanVote() bool {
	working := map[string]bool{}
	for _, n := range d.nodes {
		if d.running(n) && !n.core.Excluded() && n.core.Identity() != n.lostIdentity {
			working[n.core.Identity()] = true
		}
	}
	counted := false
	for _, n := range d.nodes {
		if !d.running(n) || !working[n.core.Identity()] || n.core.LastIndex() < d.newestCommitted {
			continue
		}
		counted = true
		members, previous := n.core.Members()
		var voters []string
		for _, m := range members {
			if m.Voter {
				voters = append(voters, m.Identity)
			}
		}
		if !hasMajority(voters, working) || len(previous) > 0 && !hasMajority(previous, working) {
			return false
		}
	}
	return counted
}

// checkLeaderElected checks that a leader commits entries within simElectionAfterFaults of the time since
// when one can be elected. Messages that are still on their way may change the membership.
func (d *faultyDay) checkLeaderElected(managed bool) {
	s := d.sim
	start, newest := s.now, s.newestCommitted
	for began := s.now; s.now < start+simElectionAfterFaults; {
		s.advance()
		if managed && s.now%500 == 0 {
			s.manageMembers()
		}
		if s.newestCommitted > newest {
			d.outcomes.elected++
			d.outcomes.slowest = max(d.outcomes.slowest, s.now-start)
			return
		}
		if !d.majorityCanVote() {
			start = s.now
		}
		if s.now > began+4*simElectionAfterFaults {
			d.outcomes.impossible++
			return
		}
	}
	for _, n := range s.nodes {
		if n.core == nil {
			s.t.Logf("%s: down", n.name)
			continue
		}
		members, previous := n.core.Members()
		s.t.Logf("%s: identity %s, %v, term %d, commit %d, last %d, cause %s, answers %v, members %v, previous %v", n.name, n.core.Identity(),
			n.core.Role(), n.core.Term(), n.core.CommitIndex(), n.core.LastIndex(), n.core.NoLeaderCause(s.clock(n), 0), n.core.Answers(), members, previous)
	}
	s.t.Fatalf("%d ms: no entry was committed within %d ms after the faults had ended", s.now, simElectionAfterFaults)
}
