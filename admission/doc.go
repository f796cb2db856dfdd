// Package admission decides which waiting request takes the next free slot,
// which one is shed when the queue is full, and which running request gives up
// its slot. Queue implements the rules; NaiveQueue is one FIFO for comparison.
//
// A queue is pure: the time is an argument, and one goroutine owns it. Points
// in time are those of the local process; a caller that exchanges Demand with
// peers converts Oldest to an age on the wire and back.
package admission
