// Package admission decides which waiting request gets the next free slot, which
// request is shed when the queue is full, and which running request is preempted.
// Queue implements these rules; NaiveQueue is a plain FIFO queue for comparison.
//
// A queue does no I/O and reads no clock: callers pass the time. It is not safe for
// concurrent use. Times are on the local clock, so callers that exchange a Demand
// with peers must convert Oldest to an age before sending it, and back.
package admission
