package ratelimit_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// settled returns a partition whose settling time is over.
func settled() *ratelimit.Partition { return ratelimit.NewPartition(-simulationLease, simulationLease) }

// wantSize fails the test if a grant does not cover the wanted part of the ring.
func wantSize(t *testing.T, what string, g ratelimit.Grant, want float64) {
	t.Helper()
	if got := g.Interval.Size(); got < want-1e-6 || got > want+1e-6 {
		t.Errorf("%s: got %g of the ring, want %g", what, got, want)
	}
}

// Guards against a part of the ring that is granted again although a late copy of an old report
// says that its holder has not got it yet.
func TestLateReportFreesNothing(t *testing.T) {
	p := settled()
	first := p.Exchange(0, "a", 1, ratelimit.Grant{})
	wantSize(t, "a alone", first, 1)
	second := p.Exchange(10, "a", 1, first)
	p.Exchange(20, "a", 1, second)
	b := p.Exchange(30, "b", 1, ratelimit.Grant{})
	p.Exchange(40, "a", 1, ratelimit.Grant{}) // the late copy of the first report
	wantSize(t, "b while a holds all", p.Exchange(50, "b", 1, b), 0)
}

// Guards against a part that nobody uses although its holder has given it up, or has been silent
// for longer than its lease.
func TestPartIsGrantedAgain(t *testing.T) {
	p := settled()
	a := p.Exchange(0, "a", 1, ratelimit.Grant{})
	b := p.Exchange(10, "b", 1, ratelimit.Grant{})
	a = p.Exchange(20, "a", 1, a)
	wantSize(t, "a after b has come", a, 0.5)
	wantSize(t, "b before a has given up its half", b, 0)
	p.Exchange(30, "a", 1, a)
	b = p.Exchange(40, "b", 1, b)
	wantSize(t, "b after a has given up its half", b, 0.5)
	now := clock.Millis(40)
	for ; now < 40+simulationLease; now += 200 {
		b = p.Exchange(now, "b", 1, b)
	}
	wantSize(t, "b after the lease of a", p.Exchange(now, "b", 1, b), 1)
}

// Guards against a new leader that divides the ring while the leases of its predecessor are in
// use, and against entries that lose what they hold only because the leader has changed.
func TestNewLeaderKeepsGrants(t *testing.T) {
	former := settled()
	a := former.Exchange(0, "a", 1, ratelimit.Grant{})
	p := ratelimit.NewPartition(100, simulationLease)
	wantSize(t, "an entry that holds nothing", p.Exchange(110, "b", 1, ratelimit.Grant{}), 0)
	a = p.Exchange(120, "a", 1, a)
	wantSize(t, "an entry that holds all", a, 1)
	now := clock.Millis(120)
	for ; now < 100+simulationLease+500; now += 200 {
		a = p.Exchange(now, "a", 1, a)
		p.Exchange(now, "b", 1, ratelimit.Grant{})
	}
	wantSize(t, "the first entry after the leases", a, 0.5)
	wantSize(t, "the other entry after the leases", p.Exchange(now, "b", 1, ratelimit.Grant{}), 0.5)
}

// Guards against a member that grants its entries what the leader has not granted to it, and
// against one that gives up a part while its entries may use it.
func TestMemberDividesItsPart(t *testing.T) {
	leader, member := settled(), settled()
	member.SetTotal(ratelimit.Interval{})
	wantSize(t, "before the leader's grant", member.Exchange(0, "a", 3, ratelimit.Grant{}), 0)
	granted := leader.Exchange(10, "member", member.Weight(), ratelimit.Grant{})
	member.SetTotal(granted.Interval)
	a := member.Exchange(20, "a", 3, ratelimit.Grant{})
	wantSize(t, "the only entry", a, 1)
	granted.Interval = member.Held(30)
	granted = leader.Exchange(30, "member", member.Weight(), granted)
	other := leader.Exchange(40, "other", 3, ratelimit.Grant{})
	granted.Interval = member.Held(50)
	granted = leader.Exchange(50, "member", member.Weight(), granted)
	member.SetTotal(granted.Interval)
	wantSize(t, "the member when another one has come", granted, 0.5)
	held := granted
	held.Interval = member.Held(60)
	leader.Exchange(60, "member", member.Weight(), held)
	wantSize(t, "the other member while the entry may use all", leader.Exchange(70, "other", 3, other), 0)
	a = member.Exchange(80, "a", 3, a)
	wantSize(t, "the entry", a, 0.5)
	member.Exchange(90, "a", 3, a)
	held.Interval = member.Held(100)
	leader.Exchange(100, "member", member.Weight(), held)
	wantSize(t, "the other member once the entry has given up its half", leader.Exchange(110, "other", 3, other), 0.5)
}
