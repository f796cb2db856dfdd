package entry

import (
	"context"

	"github.com/galenaslip/galenaslip/claim"
	"github.com/galenaslip/galenaslip/control"
	"github.com/galenaslip/galenaslip/lease"
)

// Leases renews the entry's configuration lease at the control leader.
type Leases interface {
	Renew(ctx context.Context, renewal lease.Renewal) (lease.Grant, control.Reply)
}

// Claims records once-only calls and their answers in the control group.
type Claims interface {
	Acquire(ctx context.Context, key, bodyHash string, attempt claim.Attempt) control.ClaimReply
	MarkSent(ctx context.Context, key string, attempt claim.Attempt) control.ClaimReply
	EndAttempt(ctx context.Context, key string, attempt claim.Attempt, state claim.State, answer claim.Answer) control.ClaimReply
	Lookup(ctx context.Context, key string) control.ClaimReply
}

// Control is the part of the control group's API that an entry uses.
// *control.Client implements it.
type Control interface {
	Leases
	Claims
}
