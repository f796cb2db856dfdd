package ratelimit

import "github.com/galenaslip/galenaslip/clock"

// Holding is what a participant of a partition holds: its newest grant, until the lease that came
// with it ends. The zero value holds nothing. It is not safe for concurrent use.
//
// A new partition lets participants keep what they report while it does not know who holds what.
// So a grant whose lease has ended is not reported: the former partition may have granted it to
// another participant since.
type Holding struct {
	granted Grant
	until   clock.Millis
}

// Report returns the grant to report, which is empty once its lease has ended.
func (h *Holding) Report(now clock.Millis) Grant {
	if now >= h.until {
		h.granted = Grant{}
	}
	return h.granted
}

// Current returns the grant that may be used now.
func (h *Holding) Current(now clock.Millis) Grant {
	if now >= h.until {
		return Grant{}
	}
	return h.granted
}

// Set stores the grant that has answered the latest report, with the end of its lease, and returns
// what of it may be used. That is nothing if another partition than before lets the participant
// keep what it has reported, but the lease of that has ended since.
func (h *Holding) Set(now clock.Millis, granted Grant, until clock.Millis) Grant {
	hasReported := h.granted.Partition != 0
	if hasReported && granted.Partition != h.granted.Partition && now >= h.until {
		granted = Grant{}
	}
	h.granted, h.until = granted, until
	return granted
}
