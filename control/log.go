package control

import (
	"context"

	"github.com/galenaslip/galenaslip/replica"
)

// Log is the replicated log as the process uses it.
type Log interface {
	Proposer
	MembershipChanger
	Receive(message replica.Message)
	Status() replica.Status
}

// Proposer commits commands and orders reads after them.
type Proposer interface {
	Propose(ctx context.Context, command []byte) replica.Result
	Barrier(ctx context.Context) replica.Result
}

// MembershipChanger changes the members and the leader.
type MembershipChanger interface {
	ChangeMember(ctx context.Context, change replica.MemberChange) replica.Result
	TransferLeadership(ctx context.Context, to string) replica.Result
}

// openReplica opens the log that is used outside of tests.
func openReplica(options replica.Options) (Log, func(), error) {
	return replica.New(options)
}
