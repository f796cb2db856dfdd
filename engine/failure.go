package engine

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind classifies failed calls.
type Kind string

// Kinds of failures.
const (
	// NotSent means that no byte of the call was sent.
	NotSent Kind = "not_sent"
	// Lost means that the server may have received the call but its response is missing
	// or incomplete.
	Lost Kind = "lost"
	// TimedOut is like Lost, but the connection stayed open and the read timed out.
	TimedOut Kind = "silent"
	// Refused means that the server answered with an error status.
	Refused Kind = "refused"
	// Malformed means that the response violates the protocol or a size limit.
	Malformed Kind = "malformed"
)

// Failure is the error type of this package's calls.
type Failure struct {
	Kind    Kind
	Address string
	// Status and Body are those of the response when Kind is Refused.
	Status int
	Body   []byte
	// NotRun is set when the server itself stated that it has not run the call.
	NotRun bool
	Cause  error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Kind == Refused {
		return fmt.Sprintf("%s answered with status %d", f.Address, f.Status)
	}
	return fmt.Sprintf("call to %s: %s: %v", f.Address, f.Kind, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// ProvablyNotRun reports whether it is certain that the server has not run the call.
func (f *Failure) ProvablyNotRun() bool {
	return f.Kind == NotSent || f.NotRun
}

// FailureKindOf returns the kind of err, or Lost when err is not a Failure.
func FailureKindOf(err error) Kind {
	var f *Failure
	if errors.As(err, &f) {
		return f.Kind
	}
	return Lost
}

// notSentFailure returns the Failure for a call of which no byte was sent.
func notSentFailure(address string, err error) *Failure {
	return &Failure{Kind: NotSent, Address: address, Cause: err}
}

// classifyError returns the Failure for an error on a connection.
func classifyError(address string, c *connection, err error) *Failure {
	f := &Failure{Kind: Lost, Address: address, Cause: err}
	// fasthttp's timeout error does not implement net.Error.
	var timeout interface{ Timeout() bool }
	switch {
	case !c.mayHaveSent.Load():
		f.Kind = NotSent
	case errors.Is(err, errInvalidStatus):
		f.Kind = Malformed
	case errors.As(err, &timeout) && timeout.Timeout():
		f.Kind = TimedOut
	}
	return f
}
