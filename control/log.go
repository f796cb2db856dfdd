package control

import (
	"context"

	"github.com/galenaslip/galenaslip/replica"
)

// Log is the part of the replicated log that this package uses.
type Log interface {
	Proposer
	MembershipChanger
	Receive(message replica.Message)
	Status() replica.Status
}

// Proposer commits commands. Barrier returns once every command committed before
// it has been applied, for reads that must be current.
type Proposer interface {
	Propose(ctx context.Context, command []byte) replica.Result
	Barrier(ctx context.Context) replica.Result
}

// MembershipChanger changes the members of the group and transfers leadership.
type MembershipChanger interface {
	ChangeMember(ctx context.Context, change replica.MemberChange) replica.Result
	TransferLeadership(ctx context.Context, to string) replica.Result
}

// openReplicatedLog opens the replicated log on disk. It is the default of
// Options.OpenLog.
func openReplicatedLog(options replica.Options) (Log, func(), error) {
	return replica.New(options)
}
