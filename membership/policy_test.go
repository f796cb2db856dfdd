package membership_test

import (
	"testing"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/membership"
	"github.com/galenaslip/galenaslip/testseed"
)

func TestMain(m *testing.M) {
	testseed.MainWith(m, testseed.Options{Seed: 1})
}

func voter(identity, zone string, silent clock.Millis) membership.Member {
	return membership.Member{Identity: identity, Name: identity, AvailabilityZone: zone, Voter: true, SilentFor: silent}
}

func learner(identity, name, zone string, silent clock.Millis, behind uint64) membership.Member {
	return membership.Member{Identity: identity, Name: name, AvailabilityZone: zone, SilentFor: silent, Behind: behind}
}

func withDiskFailingFor(m membership.Member, failing clock.Millis) membership.Member {
	m.DiskFailingFor = failing
	return m
}

// Guards against a voter that is replaced too early or not at all, and against the promotion
// of a learner that is lost, lags behind or is in a zone that already has a voter.
func TestDecide(t *testing.T) {
	lost, leader := membership.VoterTimeout, membership.Member{Identity: "a", Name: "a", AvailabilityZone: "z1", Voter: true, Leader: true}
	tests := []struct {
		name    string
		members []membership.Member
		want    membership.Action
	}{
		{"all well", []membership.Member{voter("b", "z2", 0), voter("c", "z3", lost-1), learner("d", "d", "z1", 0, 0)}, membership.Action{}},
		{"lost", []membership.Member{voter("b", "z2", 0), voter("c", "z3", lost), learner("d", "d", "z1", 0, 0)}, membership.Action{Remove: "c", Promote: "d"}},
		{"disk fails", []membership.Member{voter("b", "z2", 0), withDiskFailingFor(voter("c", "z3", 0), lost), learner("d", "d", "z1", 0, 0)}, membership.Action{Remove: "c", Promote: "d"}},
		{"disk has failed for a short time", []membership.Member{voter("b", "z2", 0), withDiskFailingFor(voter("c", "z3", 0), lost-1), learner("d", "d", "z1", 0, 0)}, membership.Action{}},
		{"disk of the learner fails", []membership.Member{voter("b", "z2", 0), voter("c", "z3", lost), withDiskFailingFor(learner("d", "d", "z1", 0, 0), 1)}, membership.Action{}},
		{"disk of one of four voters fails", []membership.Member{voter("b", "z2", 0), withDiskFailingFor(voter("c", "z3", 0), lost), voter("d", "z1", 0)}, membership.Action{Remove: "c"}},
		{"no learner", []membership.Member{voter("b", "z2", 0), voter("c", "z3", lost)}, membership.Action{}},
		{"learner lost", []membership.Member{voter("c", "z3", lost), learner("d", "d", "z1", lost, 0)}, membership.Action{}},
		{"learner behind", []membership.Member{voter("c", "z3", lost), learner("d", "d", "z1", 0, 65)}, membership.Action{}},
		{"zone without a vote", []membership.Member{voter("b", "z2", 0), voter("c", "z3", lost), learner("d", "d", "z1", 0, 0), learner("e", "e", "z3", 0, 9)}, membership.Action{Remove: "c", Promote: "e"}},
		{"returned with a new identity", []membership.Member{voter("c", "z3", 0), learner("c2", "c", "z3", 0, 0), learner("d", "d", "z1", 0, 0)}, membership.Action{Remove: "c", Promote: "c2"}},
		{"returned, not caught up", []membership.Member{voter("c", "z3", 500), learner("c2", "c", "z3", 0, 900)}, membership.Action{}},
		{"learner's former identity", []membership.Member{voter("b", "z2", 0), voter("c", "z3", 0), learner("d", "d", "z1", lost, 0), learner("d2", "d", "z1", 0, 0)}, membership.Action{Remove: "d"}},
		{"voter restarts while the group is full", []membership.Member{voter("b", "z2", 0), voter("c", "z3", 2*clock.Second), learner("d", "d", "z1", 0, 0)}, membership.Action{}},
		{"one of two voters silent", []membership.Member{voter("b", "z2", clock.Second), learner("e", "e", "z3", 0, 0)}, membership.Action{Remove: "b", Promote: "e"}},
		{"one of two voters perhaps silent", []membership.Member{voter("b", "z2", 300), learner("e", "e", "z3", 0, 0)}, membership.Action{}},
		{"one voter, two learners", []membership.Member{learner("d", "d", "z1", 0, 0), learner("e", "e", "z2", 0, 5)}, membership.Action{Promote: "e"}},
		{"one voter, one learner", []membership.Member{learner("e", "e", "z2", 0, 0)}, membership.Action{}},
		{"two voters, one learner", []membership.Member{voter("b", "z2", 0), learner("e", "e", "z3", 0, 0)}, membership.Action{Promote: "e"}},
		{"learner lost, VM not back", []membership.Member{voter("b", "z2", 0), voter("c", "z3", 0), learner("d", "d", "z1", lost, 0), learner("e", "e", "z2", 0, 0)}, membership.Action{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := membership.New(0, membership.Options{})
			for at := clock.Second; at < lost; at += clock.Second {
				p.Decide(at, nil)
			}
			got, ok := p.Decide(lost, append([]membership.Member{leader}, tt.members...))
			if got != tt.want || ok != (tt.want != membership.Action{}) {
				t.Errorf("got %+v (%v), want %+v", got, ok, tt.want)
			}
		})
	}
}

// Guards against a leader that replaces a voter because it received no messages while it was
// frozen or before it became the leader.
func TestSilenceAfterPause(t *testing.T) {
	members := []membership.Member{voter("c", "z3", 1<<40), learner("d", "d", "z1", 0, 0)}
	p := membership.New(1<<30, membership.Options{})
	start := clock.Millis(1 << 30)
	decide := func(after clock.Millis) bool {
		_, ok := p.Decide(start+after, members)
		return ok
	}
	for after := clock.Second; after < membership.VoterTimeout; after += clock.Second {
		if decide(after) {
			t.Fatalf("a new leader replaced a voter after %d ms", after)
		}
	}
	pause := 60 * clock.Second
	for after := pause; after < pause+membership.VoterTimeout; after += clock.Second {
		if decide(after) {
			t.Fatalf("a leader replaced a voter %d ms after it was frozen", after-pause)
		}
	}
	if !decide(pause + membership.VoterTimeout) {
		t.Error("the lost voter was not replaced")
	}
}

// Guards against machines that are lost for good and stay voters beside their successors, one for each
// machine that is replaced, until the group has no quorum: each leader has stayed for a shorter time than a
// voter has to be silent, and all processes were started again between two losses.
func TestMachinesReplacedUnderShortTerms(t *testing.T) {
	const (
		step, term = 200 * clock.Millisecond, 3 * clock.Second
		interval   = 4 * term // from one loss to the next
	)
	for _, joinAfter := range []clock.Millis{400, 600, 1000, 2600} {
		members, joined := []membership.Member{}, 0
		for ; joined < 5; joined++ {
			members = append(members, voter(string(rune('a'+joined)), "", 0))
		}
		lostAt, joinAt, policy, termAt := map[string]clock.Millis{}, clock.Millis(-1), (*membership.Policy)(nil), clock.Millis(0)
		for now := clock.Millis(0); now < 15*interval; now += step {
			if now%interval == 2*step {
				first, _ := lo.Find(members, func(m membership.Member) bool { return m.Voter && lostAt[m.Identity] == 0 })
				lostAt[first.Identity], joinAt = now, now+joinAfter
			}
			if now == joinAt {
				members = append(members, learner(string(rune('a'+joined)), string(rune('a'+joined)), "", 0, 0))
				joined++
			}
			if now%term == 0 {
				policy, termAt = membership.New(now, membership.Options{Voters: 9, VoterTimeout: 4 * clock.Second}), now
			}
			action, ok := policy.Decide(now, lo.Map(members, func(m membership.Member, _ int) membership.Member {
				if lost, ok := lostAt[m.Identity]; ok {
					m.SilentFor = now - max(lost, termAt)
				}
				return m
			}))
			if ok {
				members = applyAction(t, members, action)
			}
			voters := lo.Filter(members, func(m membership.Member, _ int) bool { return m.Voter })
			lost := lo.CountBy(voters, func(m membership.Member) bool { _, ok := lostAt[m.Identity]; return ok })
			if lost > 1 || len(voters) != 5 {
				t.Fatalf("%d ms, successors after %d ms: got %d lost voters of %d, want 1 of 5 at most", now, joinAfter, lost, len(voters))
			}
		}
	}
}

// Guards against a change that reduces the number of voters, removes the leader, or adds a
// removed identity again. Members fail and return at random, and each decision is carried out.
func TestVoterCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := []membership.Member{{Identity: "a", Name: "a", Voter: true, Leader: true}, voter("b", "", 0), voter("c", "", 0), learner("d", "d", "", 0, 0)}
		p, at, removed, joined := membership.New(0, membership.Options{}), clock.Millis(0), map[string]bool{}, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			at += 2 * clock.Second
			for i := range members[1:] {
				m := &members[i+1]
				m.SilentFor += 2 * clock.Second
				if rapid.IntRange(0, 3).Draw(t, "heard") > 0 {
					m.SilentFor = 0
				}
			}
			if action, ok := p.Decide(at, members); ok {
				members = applyAction(t, members, action)
				removed[action.Remove] = true
				joined++
				members = append(members, learner(string(rune('d'+joined)), action.Remove, "", 0, 0))
			}
			voters := 0
			for _, m := range members {
				if m.Voter {
					voters++
				}
				if removed[m.Identity] {
					t.Fatalf("%s is a member again", m.Identity)
				}
			}
			if voters != 3 || !members[0].Leader {
				t.Fatalf("got %d voters, want 3 with the leader: %+v", voters, members)
			}
		}
	})
}

// applyAction returns the members after an action.
func applyAction(t rapid.TB, members []membership.Member, a membership.Action) []membership.Member {
	var kept []membership.Member
	for _, m := range members {
		if m.Identity == a.Remove && m.Voter && a.Promote == "" {
			t.Fatalf("voter %s is removed without a successor", m.Identity)
		}
		if m.Identity == a.Remove {
			continue
		}
		m.Voter = m.Voter || m.Identity == a.Promote
		kept = append(kept, m)
	}
	return kept
}
