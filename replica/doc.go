// Package replica implements a replicated log with the Raft algorithm. It commits
// commands on a majority of the voting members and applies them, in the same order,
// to a state machine on every member.
//
// The core implements the protocol and does no input or output. Its inputs are
// messages, proposals and the current time; its outputs are messages to send and
// batches of records to write to the disk. The runtime owns the core in one goroutine.
// Bounded channels connect it to the writer (one sync per batch of entries), the applier
// (which runs the state machine) and one sender per peer.
//
// # Identities
//
// A member has a stable name and an identity. It gets a new identity whenever its data
// folder starts empty, because a member that lost its stored vote must not vote again
// under the same identity.
//
// On the first start every founding member lists all founding members in
// Options.Members. The group is founded once all of them have been reached. From then
// on each founding identity is bound to the data folder that it had at that time: a
// founding member that returns with an empty folder is refused by the others and has
// Status.Excluded set.
//
// A member that finds damage in its folder sets the files aside and starts under a new
// random identity. If that happens to a founding member before the group is founded,
// all members have to start again with empty folders.
//
// A new, replaced or returning member has to be added with ChangeMember, by the identity
// in its Status. A member whose Status.Excluded is set has to call AbandonIdentity
// before New to get a new identity.
//
// # Leases
//
// A leader's lease lasts 9/10 of the election timeout, counted from the time at which
// it sent the newest heartbeat round that a quorum has answered. Members refuse to vote
// for a whole election timeout after they hear from a leader, and after they start. A
// lease therefore ends before another leader can be elected, as long as clock rates
// differ by less than 5%.
package replica
