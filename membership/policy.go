package membership

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/clock"
)

// Times and bounds of the policy.
const (
	// LostAfter is how long a voter is silent before it is replaced. A restart
	// takes less; a replacement is final for the member's identity.
	LostAfter = 10 * clock.Second
	// fresh is the silence up to which a learner counts as reachable. Ten
	// heartbeats of 100 ms may be lost.
	fresh = 1 * clock.Second
	// caughtUp is how many entries a learner may be behind to be promoted.
	caughtUp = 1000
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
	Behind           uint64 // committed entries that the member lacks
}

// Action is one membership change: Remove leaves, and Promote, unless empty,
// becomes a voter in the same change.
type Action struct {
	Remove  string
	Promote string
}

// Policy is the leader's view of who is lost. It has one owner.
type Policy struct {
	since   clock.Millis // start of the observation
	decided clock.Millis
	heard   map[string]clock.Millis
}

// New returns a policy that has observed nothing.
func New(now clock.Millis) *Policy {
	return &Policy{since: now, decided: now, heard: map[string]clock.Millis{}}
}

// Heard notes that a message of the member arrived.
func (p *Policy) Heard(now clock.Millis, identity string) {
	p.heard[identity] = now
}

// Silence returns for how long nothing was heard from the member.
func (p *Policy) Silence(now clock.Millis, identity string) clock.Millis {
	return now - max(p.since, p.heard[identity])
}

// Decide returns the next change, if one is due. The caller makes it and waits
// for its end before it asks again.
func (p *Policy) Decide(now clock.Millis, members []Member) (Action, bool) {
	if now-p.decided > maxPause {
		p.since = now
	}
	p.decided = now
	p.forget(members)
	learners := p.promotable(now, members)
	if action, ok := successor(members, learners); ok {
		return action, true
	}
	if action, ok := p.replaceLost(now, members, learners); ok {
		return action, true
	}
	return p.removeSuperseded(now, members)
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

func (p *Policy) replaceLost(now clock.Millis, members, learners []Member) (Action, bool) {
	if len(learners) == 0 {
		return Action{}, false
	}
	for _, v := range members {
		if v.Voter && !v.Leader && p.Silence(now, v.Identity) >= LostAfter {
			return Action{Remove: v.Identity, Promote: choose(v, members, learners).Identity}, true
		}
	}
	return Action{}, false
}

// removeSuperseded removes a lost learner whose VM has returned under a new
// identity.
func (p *Policy) removeSuperseded(now clock.Millis, members []Member) (Action, bool) {
	for _, m := range members {
		if m.Voter || p.Silence(now, m.Identity) < LostAfter {
			continue
		}
		returned := lo.ContainsBy(members, func(o Member) bool {
			return o.Name == m.Name && o.Identity != m.Identity && p.Silence(now, o.Identity) < fresh
		})
		if returned {
			return Action{Remove: m.Identity}, true
		}
	}
	return Action{}, false
}

func (p *Policy) promotable(now clock.Millis, members []Member) []Member {
	return lo.Filter(members, func(m Member, _ int) bool {
		_, known := p.heard[m.Identity]
		return !m.Voter && known && p.Silence(now, m.Identity) < fresh && m.Behind <= caughtUp
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

func (p *Policy) forget(members []Member) {
	for identity := range p.heard {
		if !lo.ContainsBy(members, func(m Member) bool { return m.Identity == identity }) {
			delete(p.heard, identity)
		}
	}
}
