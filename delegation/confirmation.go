package delegation

import "github.com/galenaslip/galenaslip/clock"

// maxAge is how long a member passes a confirmation on. It is well above the interval at
// which members ask the leader, and short enough that entries turn to another member long
// before their leases end.
const maxAge = 1 * clock.Second

// Confirmation is a leader's confirmation that a revision of the catalog was the newest one.
// The zero value confirms nothing.
type Confirmation struct {
	AskedAt  clock.Millis // when the member sent the request that the leader confirmed
	Term     uint64       // term of the leader; 0 if nothing is confirmed
	Revision uint64       // newest revision of the catalog at a time after AskedAt
}

// Valid reports whether a member may still pass the confirmation on.
func (c Confirmation) Valid(now clock.Millis) bool { return c.Term > 0 && now-c.AskedAt <= maxAge }

// Age returns by how much the confirmation is older than an entry's request that the member
// received at the given time, or 0 if it is newer. An entry that subtracts the age from the
// time at which it sent its request gets a time that is not after AskedAt, without knowing
// the member's clock or how long the messages took.
func (c Confirmation) Age(receivedAt clock.Millis) clock.Millis { return max(receivedAt-c.AskedAt, 0) }

// Replaces reports whether the confirmation may take the place of another one. Terms and
// revisions never go back.
func (c Confirmation) Replaces(other Confirmation) bool {
	return c.Term >= other.Term && c.Revision >= other.Revision
}
