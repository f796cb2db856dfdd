// Package replica is a replicated log: it commits commands on a majority of the
// voting members and applies them, in the same order, to a state machine on
// every member.
//
// The core is pure. It takes messages, proposals and the time, and hands out
// messages to send and a batch of records to sync; it does no input or output.
// The runtime owns the core in one goroutine and joins it by bounded channels
// to the writer (one sync for each batch), the applier (the state machine) and
// one sender for each peer.
//
// # Identities
//
// A member has a stable name and an identity that is new for each life of its
// data folder, because a member that lost its vote must not vote again under
// the same identity. On the first start every founding member lists all founding
// members in Options.Members. The group is founded once all of them have been
// reached, and the identities are bound to the folders found then: a founding
// member that comes back with an empty folder is refused by the others and has
// Status.Excluded set. A member that finds damage in its folder sets the files
// aside and starts under a new random identity; a founding member whose folder is
// set aside before the group is founded makes it necessary to start all folders
// again. A new, replaced or returning
// member has to be added with ChangeMember by the identity in its Status; a
// member that is outside has to call Abandon before New to get a new identity.
//
// # Leases
//
// A leader holds its lease for 9/10 of the election timeout, counted from the
// moment that it sent the newest heartbeat round that a quorum has answered.
// Members refuse votes for a whole election timeout after they heard from a
// leader, and after they start, so a lease ends before another leader can be
// elected as long as clock rates differ by less than 5%.
package replica
