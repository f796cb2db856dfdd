package ratelimit_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// settled returns a partition whose settling time is over.
func settled() *ratelimit.Partition { return ratelimit.NewPartition(-simulationLease, simulationLease) }

// exchange reports what a participant holds and returns its next grant.
func exchange(p *ratelimit.Partition, now clock.Millis, name string, weight int, held ratelimit.Grant) ratelimit.Grant {
	p.Report(now, name, weight, held)
	return p.Grant(now, name)
}

// wantSize fails the test if a grant does not cover the wanted part of the ring, or has another
// fraction.
func wantSize(t *testing.T, what string, g ratelimit.Grant, want float64) {
	t.Helper()
	if got := g.Interval.Size(); got < want-1e-6 || got > want+1e-6 {
		t.Errorf("%s: got %g of the ring, want %g", what, got, want)
	}
	if got := g.Fraction; got < want-1e-6 || got > want+1e-6 {
		t.Errorf("%s: got the fraction %g, want %g", what, got, want)
	}
}

// Guards against a part of the ring that is granted again although a late copy of an old report
// says that its holder has not got it yet.
func TestLateReportFreesNothing(t *testing.T) {
	p := settled()
	first := exchange(p, 0, "a", 1, ratelimit.Grant{})
	wantSize(t, "a alone", first, 1)
	second := exchange(p, 10, "a", 1, first)
	exchange(p, 20, "a", 1, second)
	b := exchange(p, 30, "b", 1, ratelimit.Grant{})
	exchange(p, 40, "a", 1, ratelimit.Grant{}) // the late copy of the first report
	wantSize(t, "b while a holds all", exchange(p, 50, "b", 1, b), 0)
}

// Guards against a part that nobody uses although its holder has given it up, or has been silent
// for longer than its lease.
func TestPartIsGrantedAgain(t *testing.T) {
	p := settled()
	a := exchange(p, 0, "a", 1, ratelimit.Grant{})
	b := exchange(p, 10, "b", 1, ratelimit.Grant{})
	a = exchange(p, 20, "a", 1, a)
	wantSize(t, "a after b has come", a, 0.5)
	wantSize(t, "b before a has given up its half", b, 0)
	exchange(p, 30, "a", 1, a)
	b = exchange(p, 40, "b", 1, b)
	wantSize(t, "b after a has given up its half", b, 0.5)
	now := clock.Millis(40)
	for ; now < 40+simulationLease; now += 200 {
		b = exchange(p, now, "b", 1, b)
	}
	wantSize(t, "b after the lease of a", exchange(p, now, "b", 1, b), 1)
}

// Guards against a new leader that divides the ring while the leases of its predecessor are in
// use, and against entries that lose what they hold only because the leader has changed.
func TestNewLeaderKeepsGrants(t *testing.T) {
	former := settled()
	a := exchange(former, 0, "a", 1, ratelimit.Grant{})
	p := ratelimit.NewPartition(100, simulationLease)
	wantSize(t, "an entry that holds nothing", exchange(p, 110, "b", 1, ratelimit.Grant{}), 0)
	a = exchange(p, 120, "a", 1, a)
	wantSize(t, "an entry that holds all", a, 1)
	now := clock.Millis(120)
	for ; now < 100+simulationLease+500; now += 200 {
		a = exchange(p, now, "a", 1, a)
		exchange(p, now, "b", 1, ratelimit.Grant{})
	}
	wantSize(t, "the first entry after the leases", a, 0.5)
	wantSize(t, "the other entry after the leases", exchange(p, now, "b", 1, ratelimit.Grant{}), 0.5)
}

// Guards against a member that grants its entries what the leader has not granted to it, and
// against one that gives up a part while its entries may use it.
func TestMemberDividesItsPart(t *testing.T) {
	leader, member := settled(), settled()
	member.SetTotal(ratelimit.Grant{})
	wantSize(t, "before the leader's grant", exchange(member, 0, "a", 3, ratelimit.Grant{}), 0)
	granted := exchange(leader, 10, "member", member.Weight(10), ratelimit.Grant{})
	member.SetTotal(granted)
	a := exchange(member, 20, "a", 3, ratelimit.Grant{})
	wantSize(t, "the only entry", a, 1)
	granted.Interval, granted.Fraction = member.Held(30)
	granted = exchange(leader, 30, "member", member.Weight(30), granted)
	other := exchange(leader, 40, "other", 3, ratelimit.Grant{})
	granted.Interval, granted.Fraction = member.Held(50)
	granted = exchange(leader, 50, "member", member.Weight(50), granted)
	member.SetTotal(granted)
	wantSize(t, "the member when another one has come", granted, 0.5)
	held := granted
	held.Interval, held.Fraction = member.Held(60)
	exchange(leader, 60, "member", member.Weight(60), held)
	wantSize(t, "the other member while the entry may use all", exchange(leader, 70, "other", 3, other), 0)
	a = exchange(member, 80, "a", 3, a)
	wantSize(t, "the entry", a, 0.5)
	exchange(member, 90, "a", 3, a)
	held.Interval, held.Fraction = member.Held(100)
	exchange(leader, 100, "member", member.Weight(100), held)
	wantSize(t, "the other member once the entry has given up its half", exchange(leader, 110, "other", 3, other), 0.5)
}

// Guards against a part of the ring that two entries use after a change of the leader: the lease of
// one had ended, the former leader granted its part to another, and the new leader renews what the
// first one reports.
func TestNewLeaderDoesNotRenewEndedGrants(t *testing.T) {
	const lease = simulationLease
	tests := []struct {
		name                 string
		reportAt, answeredAt clock.Millis
	}{
		{"reported after the lease", lease, lease + 100},
		{"answered after the lease", lease - 1, lease},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			former := settled()
			var a, b ratelimit.Holding
			a.Set(0, exchange(former, 0, "a", 1, a.Report(0)), lease)
			wantSize(t, "the first entry", a.Current(lease-1), 1)
			reported := a.Report(tt.reportAt)
			b.Set(lease, exchange(former, lease, "b", 1, b.Report(lease)), 2*lease)
			wantSize(t, "the other entry after the lease", b.Current(lease), 1)
			p := ratelimit.NewPartition(lease, lease)
			a.Set(tt.answeredAt, exchange(p, tt.answeredAt, "a", 1, reported), tt.reportAt+lease)
			wantSize(t, "the first entry by the new leader", a.Current(tt.answeredAt), 0)
		})
	}
}

// Guards against a grant that changes with each report for a rounding error: each one costs the
// leader a comparison with what all others hold.
func TestGrantsSettle(t *testing.T) {
	const entries = 34
	for weight := range 20 {
		p := settled()
		held := make([]ratelimit.Grant, entries)
		var former []ratelimit.Grant
		for round := range clock.Millis(10) {
			former = slices.Clone(held)
			for i := range held {
				held[i] = exchange(p, 200*round, fmt.Sprintf("entry-%d", i), 1+(i*i+weight)%97, held[i])
			}
		}
		if !slices.Equal(held, former) {
			t.Errorf("grants after 10 reports of each entry: got %v, want those of the report before, %v", held, former)
		}
	}
}
