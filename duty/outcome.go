package duty

import "net/http"

// Outcome is the result of a call.
type Outcome uint8

// The outcomes of a call.
const (
	// Withheld means that nothing was sent: the caller may not act any more, or there was no connection.
	Withheld Outcome = iota
	// Accepted means that the call was carried out.
	Accepted
	// Superseded means that the receiver reports a conflict: it has seen a higher token, or it cannot
	// carry out the call in its present state.
	Superseded
	// Limited means that the receiver takes no more calls at the moment.
	Limited
	// Rejected means that the receiver has answered anything else.
	Rejected
	// Unknown means that the call was sent and not answered. It may be carried out later, even after
	// newer calls.
	Unknown
)

// Outcomes lists all outcomes.
var Outcomes = []Outcome{Withheld, Accepted, Superseded, Limited, Rejected, Unknown}

var outcomeNames = [...]string{"withheld", "accepted", "superseded", "limited", "rejected", "unknown"}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// OutcomeOf returns the outcome of a call that was answered with an HTTP status.
func OutcomeOf(status int) Outcome {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return Accepted
	case status == http.StatusConflict:
		return Superseded
	case status == http.StatusTooManyRequests:
		return Limited
	}
	return Rejected
}
