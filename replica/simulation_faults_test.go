package replica_test

import (
	"errors"
	"slices"
	"syscall"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
	"github.com/galenaslip/galenaslip/storage"
	"github.com/galenaslip/galenaslip/storage/storagetest"
)

// Faults that a schedule can contain.
const (
	faultCrash = iota
	faultPowerLoss
	faultCrashAtStep
	faultDiskError
	faultDiskRefuses
	faultDiskFlaps
	faultDiskStalls
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
	faultCrash, faultPowerLoss, faultPowerLoss, faultCrashAtStep, faultDiskError, faultDiskRefuses, faultDiskRefuses, faultDiskFlaps, faultDiskStalls, faultDiskLost, faultDiskDamaged,
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
		n.disk.ScheduleFailure(1+amount%40, diskErrors[amount%3])
	case faultDiskRefuses:
		s.refuseWrites(n, diskErrors[amount%3], s.now, until)
	case faultDiskFlaps:
		for from := s.now; from < until; from += simElectionTimeout / 2 {
			s.refuseWrites(n, diskErrors[amount%3], from, from+simElectionTimeout/4)
		}
	case faultDiskStalls:
		n.stalledUntil = until
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

// diskErrors are the errors with which disks refuse writes.
var diskErrors = []error{syscall.EIO, syscall.ENOSPC, syscall.EROFS}

// refuseWrites lets a node's disk refuse writes for a time.
func (s *sim) refuseWrites(n *simNode, err error, from, until clock.Millis) {
	s.scheduledActions = append(s.scheduledActions, scheduledAction{at: from, run: func() {
		if !s.faultsEnded {
			n.disk.Refuse(err)
		}
	}}, scheduledAction{at: until, run: func() { n.disk.Refuse(nil) }})
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

// loseDisk crashes a node and empties its disk or, with damageOnly, damages its vote. A node with
// an empty disk starts with the list of founding members or, if amount is odd, without it.
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
	n.withoutFounders = amount%2 == 1
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
		unusableFor := max(n.core.SilentFor(now, m.Identity), n.core.DiskFailingFor(now, m.Identity))
		unresponsive := m.Identity != n.core.Identity() && unusableFor > 2*simElectionTimeout
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
	case learner != "" && voters < s.voters:
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
