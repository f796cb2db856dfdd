// Package slot lets several entries schedule requests as if they shared one
// queue. Rendezvous hashing assigns each backend server to one entry, its owner.
// All entries report their waiting requests to the owners. An owner offers each
// free slot of its servers to the waiting request of the highest tier and, within
// a tier, to the one with the earliest deadline, whichever entry it waits at.
//
// A Table is the state of one entry, both as an owner of servers and as a holder
// of slots on servers of other owners. It does no I/O and reads no clock: callers
// pass the time and exchange the messages. It is not safe for concurrent use.
//
// Every message contains the sender's full state for its receiver, so lost,
// delayed, duplicated and reordered messages do no harm: a receiver drops a message
// unless it is newer than all earlier ones of the sender's latest incarnation. Each
// offer has a number and is repeated until the holder acknowledges that number or a
// higher one. From then on, the slots that the holder reports as used include the
// offer. The owner counts unacknowledged offers and reported slots as used, so it
// never counts too few, whenever messages arrive.
//
// If an urgent request gets no free slot, an owner sends a recall, which asks a holder
// to stop a resumable request of a lower tier. Recalls are numbered and repeated like
// offers.
package slot
