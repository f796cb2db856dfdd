package propagation

import "github.com/galenaslip/galenaslip/clock"

const (
	// leaseShareOfRevokeTime is the longest lease as a share of the time after which a revoked
	// key must no longer work.
	leaseShareOfRevokeTime = 0.8
	// waitShareOfAckTime is the share of the time for an acknowledgement that may be spent on
	// waiting for the leases of entries that do not answer.
	waitShareOfAckTime = 0.5
)

// Bounds are the times within which changes must be acknowledged and be in force.
type Bounds struct {
	Revoke clock.Millis // from the acknowledgement until a revoked key no longer works
	Apply  clock.Millis // from the acknowledgement until no entry uses an older catalog
	Drain  clock.Millis // from the acknowledgement until a leaving server gets no requests
	Ack    clock.Millis // until a change is acknowledged
}

// Lease returns the duration of the leases of entries. A longer one bridges a longer loss of
// the control group, and delays the acknowledgement of a change by as much when an entry
// does not answer.
func (b Bounds) Lease() clock.Millis {
	longest := min(b.Apply, b.Drain) + clock.Millis(waitShareOfAckTime*float64(b.Ack))
	return min(clock.Millis(leaseShareOfRevokeTime*float64(b.Revoke)), longest)
}
