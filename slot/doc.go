// Package slot lets several entries act as one queue. Each backend server has
// one owning entry, chosen by rendezvous hash, which hands out the server's
// slots. Entries tell the owners what waits at them; an owner offers each free
// slot to the highest tier that waits anywhere, then to the earliest deadline.
//
// A Table is one entry's side of this, both as an owner and as a holder of
// slots. It is pure: the time is an argument, and one goroutine owns it.
//
// Every message carries the sender's full state for its receiver, so a message
// that is lost, delayed, doubled or overtaken does no harm: a receiver drops what
// is not newer than the newest message of the sender's newest life. An offer has a
// number and is repeated until the holder's messages name that number or a higher
// one. From then on the holder's own count of used slots includes it. The owner
// counts both, so it never counts too few, no matter when messages arrive.
package slot
