package attainment

import (
	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// Sample describes one request that has ended. It is immutable.
type Sample struct {
	Class   class.Class
	Outcome outcome.Kind
	Reason  outcome.Reason
	// QueueWait is the time from arrival to the last dispatch.
	QueueWait clock.Millis
	// FirstToken and Completion are the times from arrival to the first token and to
	// the end of the answer.
	FirstToken, Completion clock.Millis
	// DeliveredTokens is the number of tokens delivered to the caller.
	DeliveredTokens int
	// WastedTokens is the number of tokens generated but never delivered, or generated
	// twice.
	WastedTokens int
	// Retries is the number of times that the request was sent again.
	Retries int
}

// excludedReasons is the set of reasons for which a request is not part of attainment,
// because they do not reflect the quality of the service: errors of the caller and
// answers that the caller did not wait for.
var excludedReasons = map[outcome.Reason]bool{
	outcome.ReasonInvalidRequest:  true,
	outcome.ReasonUnauthorized:    true,
	outcome.ReasonUnknownClass:    true,
	outcome.ReasonUnknownModel:    true,
	outcome.ReasonUnknownService:  true,
	outcome.ReasonTooLarge:        true,
	outcome.ReasonCallerGone:      true,
	outcome.ReasonKeyMissing:      true,
	outcome.ReasonKeyInvalid:      true,
	outcome.ReasonKeyReused:       true,
	outcome.ReasonKeyExpired:      true,
	outcome.ReasonCallInProgress:  true,
	outcome.ReasonRequestNotFound: true,
}

// Counted reports whether the request is part of attainment.
func (s Sample) Counted() bool {
	return !excludedReasons[s.Reason]
}

// Met reports whether the request met the latency target of its class.
func (s Sample) Met() bool {
	if s.Outcome != outcome.Answered || !s.Counted() {
		return false
	}
	if s.Class.Measure() == class.FirstToken {
		return s.FirstToken <= s.Class.Target()
	}
	return s.Completion <= s.Class.Target()
}

// Shed reports whether the request was shed: removed from a full queue, or refused by
// one.
func (s Sample) Shed() bool {
	return s.Reason == outcome.ReasonShed
}
