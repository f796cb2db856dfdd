package control

import (
	"context"

	"github.com/galenaslip/galenaslip/clock"
)

// Log is the replicated log as the control process uses it.
type Log interface {
	Propose(ctx context.Context, command []byte) Result
	// Barrier ends after every entry that was committed before it is applied.
	Barrier(ctx context.Context) Result
	Status() Status
	ChangeMember(ctx context.Context, change MemberChange) Result
	TransferLeadership(ctx context.Context, to string) Result
	// Receive decodes a peer's message and returns the sender's identity.
	Receive(data []byte) (string, error)
}

// ResultKind says how a proposal ended.
type ResultKind int

// The kinds of results.
const (
	// Committed means that the entry is applied.
	Committed ResultKind = iota
	// NotLeader means that nothing was appended.
	NotLeader
	// Unknown means that the entry may still commit.
	Unknown
)

// Result is the end of a proposal. Leader is the leader's address.
type Result struct {
	Kind   ResultKind
	Value  []byte
	Leader string
}

// Status is the state of this member's log.
type Status struct {
	Leads   bool
	Term    uint64
	Leader  string // address, or empty
	Commit  uint64
	Applied uint64
	Lease   clock.Millis // remaining leader lease
	Members []LogMember
}

// LogMember is a member with its progress at the leader.
type LogMember struct {
	Identity, Name, Address, AvailabilityZone string
	Voter, Leader                             bool
	Match                                     uint64
}

// MemberChange is one membership change: Remove leaves and Promote becomes a
// voter together, or Add joins as a learner.
type MemberChange struct {
	Add     *LogMember
	Remove  string
	Promote string
}
