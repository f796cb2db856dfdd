package membership

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// Defaults of Options, and the smallest number of voters with which a group survives the
// loss of one of them.
const (
	// Voters is the default number of voters: one in each of three availability zones.
	Voters = 3
	// VoterTimeout is the default time without a message after which a voter is replaced. It
	// is longer than a restart takes, because a replaced identity can never join again.
	VoterTimeout = 10 * clock.Second
	minVoters    = 3
)

// Options configures a policy. Zero fields mean the defaults.
type Options struct {
	Voters       int
	VoterTimeout clock.Millis
}

func (o Options) withDefaults() Options {
	if o.Voters == 0 {
		o.Voters = Voters
	}
	if o.VoterTimeout == 0 {
		o.VoterTimeout = VoterTimeout
	}
	return o
}

// Fixed limits of the policy, which Options doesn't change.
const (
	// maxReachableSilence is the time without a message up to which a learner counts as
	// reachable. With heartbeats every 100 ms, ten in a row may be lost.
	maxReachableSilence = 1 * clock.Second
	// maxAnsweringSilence is the time without a message, or without a disk that takes writes, up to
	// which a voter certainly counts for a majority.
	maxAnsweringSilence = 300 * clock.Millisecond
	// maxPromotionLag is the number of committed entries that a learner may lack to be
	// promoted. The replicated log refuses to promote one that is further behind, because
	// it would delay commits.
	maxPromotionLag = 64
	// maxPause is the longest expected time between two decisions. A longer time means that
	// this process was frozen and could not receive messages, so that a member's silence
	// doesn't show that the member is lost.
	maxPause = 3 * clock.Second
)

// Member describes a member of the group from the leader's point of view.
type Member struct {
	Identity         string
	Name             string
	AvailabilityZone string
	Voter            bool
	Leader           bool
	SilentFor        clock.Millis // time since the leader last heard from the member
	DiskFailingFor   clock.Millis // how long the member's disk has taken no writes; 0 if it works
	Behind           uint64       // number of committed entries that the member lacks
}

// lostFor returns how long the member has been of no use to the group: without a message, or
// without a disk that takes writes.
func (m Member) lostFor() clock.Millis { return max(m.SilentFor, m.DiskFailingFor) }

// Action is one membership change. It removes the identity Remove and makes the identity
// Promote a voter. Either may be empty.
type Action struct {
	Remove  string
	Promote string
}

// Policy decides about membership changes at the leader. It isn't safe for concurrent use.
type Policy struct {
	options       Options
	observedSince clock.Millis // silence before this time doesn't count
	lastDecidedAt clock.Millis // time of the last call to Decide
}

// New returns a policy that starts to observe the members at the given time.
func New(now clock.Millis, options Options) *Policy {
	return &Policy{options: options.withDefaults(), observedSince: now, lastDecidedAt: now}
}

// observed returns the part of a duration until now that this policy has observed.
func (p *Policy) observed(now, duration clock.Millis) clock.Millis {
	return min(duration, now-p.observedSince)
}

// Decide returns the next membership change, if one is due. The caller makes the change and
// waits until it is complete before it calls Decide again.
func (p *Policy) Decide(now clock.Millis, members []Member) (Action, bool) {
	if now-p.lastDecidedAt > maxPause {
		p.observedSince = now
	}
	p.lastDecidedAt = now
	members = lo.Map(members, func(m Member, _ int) Member {
		m.SilentFor, m.DiskFailingFor = p.observed(now, m.SilentFor), p.observed(now, m.DiskFailingFor)
		return m
	})
	learners := promotableLearners(members)
	if action, ok := replaceReturned(members, learners); ok {
		return action, true
	}
	if action, ok := p.replaceLost(members, learners); ok {
		return action, true
	}
	if action, ok := p.addVoter(now, members, learners); ok {
		return action, true
	}
	if action, ok := p.shrinkEvenGroup(members); ok {
		return action, true
	}
	return p.removeSuperseded(members)
}

// replaceReturned replaces a voter whose VM has returned under a new identity, because the
// former identity will not return.
func replaceReturned(members, learners []Member) (Action, bool) {
	for _, l := range learners {
		for _, v := range members {
			if v.Voter && !v.Leader && v.Name == l.Name {
				return Action{Remove: v.Identity, Promote: l.Identity}, true
			}
		}
	}
	return Action{}, false
}

// replaceLost replaces a lost voter by a learner.
func (p *Policy) replaceLost(members, learners []Member) (Action, bool) {
	if len(learners) == 0 {
		return Action{}, false
	}
	for _, v := range members {
		if v.Voter && !v.Leader && v.lostFor() >= p.options.VoterTimeout {
			return Action{Remove: v.Identity, Promote: chooseLearner(v, members, learners).Identity}, true
		}
	}
	return Action{}, false
}

// addVoter promotes a learner while the group has too few voters, for example after a recovery
// left only one. A group of two voters doesn't survive a loss, so a single voter gets a second
// one only when a learner for the third is available too. A learner takes the place of a voter that
// does not answer or whose disk fails: added beside it, it would raise the majority by voters that may
// never return, and one such voter for each machine that is replaced costs the group its quorum.
func (p *Policy) addVoter(now clock.Millis, members, learners []Member) (Action, bool) {
	voters := lo.Filter(members, func(m Member, _ int) bool { return m.Voter })
	if len(voters) >= p.options.Voters || len(learners) == 0 || len(voters)+len(learners) < minVoters {
		return Action{}, false
	}
	others := lo.Reject(voters, func(m Member, _ int) bool { return m.Leader })
	worst := lo.MaxBy(others, func(a, b Member) bool { return a.lostFor() > b.lostFor() })
	switch {
	case worst.lostFor() >= maxReachableSilence:
		return Action{Remove: worst.Identity, Promote: chooseLearner(worst, members, learners).Identity}, true
	case worst.lostFor() >= maxAnsweringSilence || now-p.observedSince < maxReachableSilence:
		return Action{}, false // It is not known yet whether all voters count.
	default:
		return Action{Promote: chooseLearner(Member{}, members, learners).Identity}, true
	}
}

// shrinkEvenGroup removes a lost voter from a group with an even number of voters, because a
// majority of the smaller group needs one vote less.
func (p *Policy) shrinkEvenGroup(members []Member) (Action, bool) {
	voters := lo.Filter(members, func(m Member, _ int) bool { return m.Voter })
	if len(voters) <= minVoters || len(voters)%2 != 0 {
		return Action{}, false
	}
	lost, ok := lo.Find(voters, func(m Member) bool { return !m.Leader && m.lostFor() >= p.options.VoterTimeout })
	return Action{Remove: lost.Identity}, ok
}

// removeSuperseded removes a lost learner whose VM has returned under a new identity.
func (p *Policy) removeSuperseded(members []Member) (Action, bool) {
	for _, m := range members {
		if m.Voter || m.SilentFor < p.options.VoterTimeout {
			continue
		}
		returned := lo.ContainsBy(members, func(o Member) bool {
			return o.Name == m.Name && o.Identity != m.Identity && o.SilentFor < maxReachableSilence
		})
		if returned {
			return Action{Remove: m.Identity}, true
		}
	}
	return Action{}, false
}

// promotableLearners returns the learners that are reachable, have caught up and can store entries.
func promotableLearners(members []Member) []Member {
	return lo.Filter(members, func(m Member, _ int) bool {
		return !m.Voter && m.SilentFor < maxReachableSilence && m.DiskFailingFor == 0 && m.Behind <= maxPromotionLag
	})
}

// chooseLearner returns the learner that should replace the lost voter. It prefers one whose
// availability zone has no other voter, so that the loss of a zone costs only one vote, and then
// the one that lacks the fewest entries.
func chooseLearner(lost Member, members, learners []Member) Member {
	votersInZone := func(l Member) int {
		return lo.CountBy(members, func(m Member) bool {
			return m.Voter && m.Identity != lost.Identity && m.AvailabilityZone == l.AvailabilityZone
		})
	}
	return slices.MinFunc(learners, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(votersInZone(a), votersInZone(b)),
			cmp.Compare(a.Behind, b.Behind),
			cmp.Compare(a.Identity, b.Identity))
	})
}
