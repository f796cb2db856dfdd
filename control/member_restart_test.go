package control_test

import (
	"testing"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/lease"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// Guards against a part of the limits that two entries use at a time, because the member that had
// granted it to one of them was started again, knows no entry any more, and tells the leader so while
// the entry's lease lasts.
func TestRestartedMemberGivesNoPartUpThatItsEntriesHold(t *testing.T) {
	const step, entryLease = 100 * clock.Millisecond, 3 * clock.Second
	c, manual := clock.NewManual(0)
	leader := ratelimit.NewPartition(c.Now(), lease.WithMargin(entryLease))
	members := map[string]*control.LimitShares{"m1": control.NewLimitShares(c, entryLease), "m2": control.NewLimitShares(c, entryLease)}
	held, until := map[string]ratelimit.Grant{}, map[string]clock.Millis{}
	pass := func(duration clock.Millis, watching ...string) {
		for end := c.Now() + duration; c.Now() < end; manual.Advance(step) {
			for name, m := range members {
				r := m.Report()
				leader.Report(c.Now(), name, r.Weight, r.Held)
				m.SetGranted(leader.Grant(c.Now(), name), c.Now()+entryLease)
			}
			for _, member := range watching {
				if c.Now() >= until[member] {
					held[member] = ratelimit.Grant{}
				}
				held[member] = members[member].Watch("entry", control.ShareReport{Weight: 1, Held: held[member]})
				until[member] = c.Now() + entryLease
			}
			sum := 0.0
			for member, g := range held {
				if c.Now() < until[member] {
					sum += g.Fraction
				}
			}
			if sum > 1 {
				t.Fatalf("at %d ms: entries hold fractions of %g together, want at most 1", c.Now(), sum)
			}
		}
	}
	pass(15*clock.Second, "m1", "m2")
	if got := held["m1"].Fraction; got != 0.5 {
		t.Fatalf("fraction of the entry before the restart: got %g, want 0.5", got)
	}
	members["m1"] = control.NewLimitShares(c, entryLease)
	pass(15*clock.Second, "m2") // the entry of m1 is cut off from all members
	if got := held["m2"].Fraction; got != 1 {
		t.Errorf("fraction of the only entry left: got %g, want 1", got)
	}
}
