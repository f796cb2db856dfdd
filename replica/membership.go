package replica

import (
	"slices"

	"github.com/samber/lo"
)

// Member describes one process of the group.
type Member struct {
	Identity         string
	Name             string
	Address          string
	AvailabilityZone string
	Voter            bool
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	// AddLearner adds Member as a learner, which receives the log but does not vote.
	AddLearner ChangeKind = iota + 1
	// Promote makes the learner with Member's identity a voter.
	Promote
	// Remove removes the member with Member's identity permanently.
	Remove
	// Replace makes the learner with Member's identity a voter and permanently
	// removes the voter with the identity Replaces.
	Replace
)

// MemberChange is a change of the membership.
type MemberChange struct {
	Kind     ChangeKind
	Member   Member
	Replaces string
}

// ReasonRemoved is Result.Reason when AddLearner is refused because the identity was
// removed from the group earlier. The member has to call AbandonIdentity and join under a new
// one.
const ReasonRemoved = "the identity was removed; join under a new one"

// maxRemoved limits the list of removed identities. Older ones can be forgotten safely:
// their terms are old, and pre-vote keeps them from disrupting the group.
const maxRemoved = 256

// membership lists the members of the group. It is immutable. While the set of voters
// changes, the group is in joint consensus: previous lists the former voters, and every
// decision needs a majority of both the former and the new voters.
type membership struct {
	epoch    uint64
	members  []Member
	previous []string
	leaving  []string // identities to remove when the change completes
	removed  []string // identities that may not join again
	// founderFolderIDs are the founding members' folder IDs, by identity. With them,
	// members that joined later can answer a founding member that was down when the
	// group was founded.
	founderFolderIDs map[string]string
}

func (m membership) find(identity string) (Member, bool) {
	return lo.Find(m.members, func(x Member) bool { return x.Identity == identity })
}

func (m membership) voters() []string {
	return lo.FilterMap(m.members, func(x Member, _ int) (string, bool) { return x.Identity, x.Voter })
}

// joint reports whether a change of the voters is in progress.
func (m membership) joint() bool { return len(m.previous) > 0 }

// votes reports whether the member is a voter, either after the current change or before
// it.
func (m membership) votes(identity string) bool {
	member, ok := m.find(identity)
	return ok && member.Voter || slices.Contains(m.previous, identity)
}

func (m membership) isRemoved(identity string) bool {
	return slices.Contains(m.removed, identity)
}

// quorum returns the highest value that a majority of the voters has reached; during a
// change, a majority of the former and of the new voters.
func (m membership) quorum(value func(identity string) uint64) uint64 {
	reached := majority(m.voters(), value)
	if m.joint() {
		reached = min(reached, majority(m.previous, value))
	}
	return reached
}

// majority returns the highest value that more than half of the voters have reached.
func majority(voters []string, value func(string) uint64) uint64 {
	if len(voters) == 0 {
		return 0
	}
	values := lo.Map(voters, func(v string, _ int) uint64 { return value(v) })
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// hasMajority reports whether a majority of the voters has granted a vote.
func (m membership) hasMajority(granted map[string]bool) bool {
	return m.quorum(func(identity string) uint64 { return lo.Ternary(granted[identity], uint64(1), 0) }) == 1
}

// inEffect reports whether the change was already made, so that a caller that lost the
// answer can repeat its request.
func (m membership) inEffect(change MemberChange) bool {
	current, known := m.find(change.Member.Identity)
	switch change.Kind {
	case AddLearner:
		return known
	case Promote:
		return known && current.Voter
	case Remove:
		return m.isRemoved(change.Member.Identity)
	case Replace:
		return known && current.Voter && m.isRemoved(change.Replaces)
	default:
		return false
	}
}

// withChange returns the membership with the change started, or the reason for refusing it.
func (m membership) withChange(change MemberChange) (membership, string) {
	current, known := m.find(change.Member.Identity)
	switch {
	case change.Member.Identity == "":
		return m, "the identity is empty"
	case change.Kind == AddLearner && m.isRemoved(change.Member.Identity):
		return m, ReasonRemoved
	case change.Kind != AddLearner && !known:
		return m, "the identity is not a member"
	}
	next := membership{epoch: m.epoch, members: slices.Clone(m.members), removed: m.removed, founderFolderIDs: m.founderFolderIDs}
	switch change.Kind {
	case AddLearner:
		learner := change.Member
		learner.Voter = false
		next.members = append(next.members, learner)
		return next, ""
	case Promote:
		return m.withVoters(next, change.Member.Identity, ""), ""
	case Remove:
		return m.withoutMember(next, current)
	case Replace:
		former, ok := m.find(change.Replaces)
		if !ok || !former.Voter || current.Voter {
			return m, "a voter can only be replaced by a learner"
		}
		return m.withVoters(next, change.Member.Identity, change.Replaces), ""
	default:
		return m, "the kind of change is unknown"
	}
}

// withoutMember returns next with the removal of a member started, or the reason for refusing
// it. A learner is removed at once.
func (m membership) withoutMember(next membership, member Member) (membership, string) {
	if !member.Voter {
		next.leaving = []string{member.Identity}
		return next.completed(), ""
	}
	if len(m.voters()) == 1 {
		return m, "the last voter cannot be removed"
	}
	return m.withVoters(next, "", member.Identity), ""
}

// withVoters starts a joint change in which added becomes a voter and dropped is removed.
// Either may be empty.
func (m membership) withVoters(next membership, added, dropped string) membership {
	next.previous = m.voters()
	for i := range next.members {
		switch next.members[i].Identity {
		case added:
			next.members[i].Voter = true
		case dropped:
			next.members[i].Voter = false
		}
	}
	if dropped != "" {
		next.leaving = []string{dropped}
	}
	return next
}

// completed returns the membership after the change: without the former voters and the
// leaving members.
func (m membership) completed() membership {
	next := membership{epoch: m.epoch, founderFolderIDs: m.founderFolderIDs}
	next.members = lo.Reject(m.members, func(x Member, _ int) bool { return slices.Contains(m.leaving, x.Identity) })
	next.removed = append(slices.Clone(m.removed), m.leaving...)
	if extra := len(next.removed) - maxRemoved; extra > 0 {
		next.removed = next.removed[extra:]
	}
	return next
}
