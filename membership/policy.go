package membership

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// Defaults of Options, and the smallest group that survives a loss.
const (
	// Voters is the size of the voting group: one in each of three zones.
	Voters = 3
	// VoterTimeout is how long a voter is silent before it is replaced. A restart
	// takes less; a replacement is final for the member's identity.
	VoterTimeout = 10 * clock.Second
	minVoters    = 3
)

// Options configure a policy. Zero fields have the defaults.
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

// Times and bounds of the policy.
const (
	// fresh is the silence up to which a learner counts as reachable. Ten
	// heartbeats of 100 ms may be lost.
	fresh = 1 * clock.Second
	// caughtUp is how many entries a learner may be behind to be promoted. The
	// log refuses one that is further behind, because it would hold up commits.
	caughtUp = 64
	// maxPause is the longest time between two decisions. A longer one means
	// that this process was frozen, and then silence proves nothing.
	maxPause = 3 * clock.Second
)

// Member is a member of the group, as the leader sees it.
type Member struct {
	Identity         string
	Name             string
	AvailabilityZone string
	Voter            bool
	Leader           bool
	SilentFor        clock.Millis // since the leader last heard from it
	Behind           uint64       // committed entries that it lacks
}

// Action is one membership change: Remove, unless empty, leaves, and Promote,
// unless empty, becomes a voter in the same change.
type Action struct {
	Remove  string
	Promote string
}

// Policy decides at the leader. It has one owner.
type Policy struct {
	options Options
	since   clock.Millis // start of the observation
	decided clock.Millis
}

// New returns a policy that has observed nothing.
func New(now clock.Millis, options Options) *Policy {
	return &Policy{options: options.withDefaults(), since: now, decided: now}
}

// silence returns for how long the member was silent while this policy watched.
func (p *Policy) silence(now clock.Millis, m Member) clock.Millis {
	return min(m.SilentFor, now-p.since)
}

// Decide returns the next change, if one is due. The caller makes it and waits
// for its end before it asks again.
func (p *Policy) Decide(now clock.Millis, members []Member) (Action, bool) {
	if now-p.decided > maxPause {
		p.since = now
	}
	p.decided = now
	members = lo.Map(members, func(m Member, _ int) Member {
		m.SilentFor = p.silence(now, m)
		return m
	})
	learners := promotable(members)
	if action, ok := successor(members, learners); ok {
		return action, true
	}
	if action, ok := p.replaceLost(members, learners); ok {
		return action, true
	}
	if action, ok := p.addVoter(members, learners); ok {
		return action, true
	}
	if action, ok := p.removeExtra(members); ok {
		return action, true
	}
	return p.removeSuperseded(members)
}

// successor replaces a voter whose VM has already returned under a new identity:
// the former identity cannot come back.
func successor(members, learners []Member) (Action, bool) {
	for _, l := range learners {
		for _, v := range members {
			if v.Voter && !v.Leader && v.Name == l.Name {
				return Action{Remove: v.Identity, Promote: l.Identity}, true
			}
		}
	}
	return Action{}, false
}

func (p *Policy) replaceLost(members, learners []Member) (Action, bool) {
	if len(learners) == 0 {
		return Action{}, false
	}
	for _, v := range members {
		if v.Voter && !v.Leader && v.SilentFor >= p.options.VoterTimeout {
			return Action{Remove: v.Identity, Promote: choose(v, members, learners).Identity}, true
		}
	}
	return Action{}, false
}

// addVoter fills the group up to its voters after a recovery left it with one. Two
// voters survive no loss, so the first is added only when the second is at hand.
func (p *Policy) addVoter(members, learners []Member) (Action, bool) {
	voters := lo.CountBy(members, func(m Member) bool { return m.Voter })
	if voters >= p.options.Voters || len(learners) == 0 || voters+len(learners) < minVoters {
		return Action{}, false
	}
	return Action{Promote: choose(Member{}, members, learners).Identity}, true
}

// removeExtra removes a lost voter from an even group: the smaller group needs
// one vote less.
func (p *Policy) removeExtra(members []Member) (Action, bool) {
	voters := lo.Filter(members, func(m Member, _ int) bool { return m.Voter })
	if len(voters) <= minVoters || len(voters)%2 != 0 {
		return Action{}, false
	}
	lost, ok := lo.Find(voters, func(m Member) bool { return !m.Leader && m.SilentFor >= p.options.VoterTimeout })
	return Action{Remove: lost.Identity}, ok
}

// removeSuperseded removes a lost learner whose VM has returned under a new
// identity.
func (p *Policy) removeSuperseded(members []Member) (Action, bool) {
	for _, m := range members {
		if m.Voter || m.SilentFor < p.options.VoterTimeout {
			continue
		}
		returned := lo.ContainsBy(members, func(o Member) bool {
			return o.Name == m.Name && o.Identity != m.Identity && o.SilentFor < fresh
		})
		if returned {
			return Action{Remove: m.Identity}, true
		}
	}
	return Action{}, false
}

func promotable(members []Member) []Member {
	return lo.Filter(members, func(m Member, _ int) bool {
		return !m.Voter && m.SilentFor < fresh && m.Behind <= caughtUp
	})
}

// choose prefers a learner whose zone has no other voter, so that the loss of
// one zone costs one vote, and then the one that is least behind.
func choose(lost Member, members, learners []Member) Member {
	shared := func(l Member) int {
		return lo.CountBy(members, func(m Member) bool {
			return m.Voter && m.Identity != lost.Identity && m.AvailabilityZone == l.AvailabilityZone
		})
	}
	return slices.MinFunc(learners, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(shared(a), shared(b)),
			cmp.Compare(a.Behind, b.Behind),
			cmp.Compare(a.Identity, b.Identity))
	})
}
