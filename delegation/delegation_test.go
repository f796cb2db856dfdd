package delegation_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/delegation"
	"github.com/galenaslip/galenaslip/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { testseed.Main(m) }

// Guards against an entry that holds its lease for longer than the member that passed it on:
// whatever the clocks show and however long the messages take, the lease begins no later than
// the member's request to the leader.
func TestLeaseEndsNoLaterThanTheMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := rapid.Int64Range(0, 5000)
		memberClock := clock.Millis(delay.Draw(t, "offset of the member's clock"))
		askedAt := clock.Millis(delay.Draw(t, "member asks the leader"))
		entrySentAt := clock.Millis(delay.Draw(t, "entry asks the member"))
		receivedAt := entrySentAt + clock.Millis(delay.Draw(t, "way to the member"))
		c := delegation.Confirmation{AskedAt: askedAt + memberClock, Term: 1}
		leaseStart := entrySentAt - c.Age(receivedAt+memberClock)
		if leaseStart > askedAt {
			t.Errorf("lease start: got %d, want at most %d", leaseStart, askedAt)
		}
	})
}

// Guards against a member that passes on what it has not heard again for too long, and
// against one that goes back to an older leader or catalog.
func TestConfirmation(t *testing.T) {
	newest := delegation.Confirmation{AskedAt: 500, Term: 4, Revision: 9}
	valid := []struct {
		name         string
		confirmation delegation.Confirmation
		now          clock.Millis
		want         bool
	}{
		{name: "none", confirmation: delegation.Confirmation{}, now: 0, want: false},
		{name: "new", confirmation: newest, now: 600, want: true},
		{name: "old", confirmation: newest, now: 1501, want: false},
	}
	for _, tt := range valid {
		if got := tt.confirmation.Valid(tt.now); got != tt.want {
			t.Errorf("%s: valid: got %v, want %v", tt.name, got, tt.want)
		}
	}
	replaces := []struct {
		name string
		next delegation.Confirmation
		want bool
	}{
		{name: "the same again", next: newest, want: true},
		{name: "a newer term", next: delegation.Confirmation{Term: 5, Revision: 9}, want: true},
		{name: "an older term", next: delegation.Confirmation{Term: 3, Revision: 9}, want: false},
		{name: "an older revision", next: delegation.Confirmation{Term: 5, Revision: 8}, want: false},
	}
	for _, tt := range replaces {
		if got := tt.next.Replaces(newest); got != tt.want {
			t.Errorf("%s: replaces: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against traffic between availability zones that a member nearby would save, and
// against all entries of a lost member turning to one other member at once.
func TestPreferred(t *testing.T) {
	var members []delegation.Member
	for i := range 9 {
		members = append(members, delegation.Member{Address: fmt.Sprintf("10.0.0.%d:1", i), AvailabilityZone: fmt.Sprintf("az-%d", i%3)})
	}
	const entries = 300
	first, second := map[string]int{}, map[string]int{}
	for i := range entries {
		order := delegation.Preferred(fmt.Sprintf("entry-%d", i), "az-1", members)
		for j, m := range order {
			if got, want := m.AvailabilityZone == "az-1", j < 3; got != want {
				t.Fatalf("member %d in the entry's zone: got %v, want %v", j, got, want)
			}
		}
		first[order[0].Address]++
		if order[0].Address == "10.0.0.1:1" {
			second[order[1].Address]++
		}
	}
	for _, counts := range []map[string]int{first, second} {
		total := 0
		for _, n := range counts {
			total += n
		}
		for address, n := range counts {
			if n*len(counts) > 2*total {
				t.Errorf("entries at %s: got %d of %d, want an even spread over %d", address, n, total, len(counts))
			}
		}
	}
	order := delegation.Preferred("entry-1", "az-1", members)
	without := delegation.Preferred("entry-1", "az-1", slices.DeleteFunc(slices.Clone(members), func(m delegation.Member) bool { return m == order[0] }))
	if got, want := fmt.Sprint(without), fmt.Sprint(order[1:]); got != want {
		t.Errorf("order without the first member: got %s, want %s", got, want)
	}
}
