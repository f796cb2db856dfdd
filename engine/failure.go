package engine

import (
	"fmt"

	"github.com/pkg/errors"
)

// Kind classifies a failed call.
type Kind string

// The kinds of failure.
const (
	// NotSent means that no byte of the call has left this process.
	NotSent Kind = "not_sent"
	// Lost means that the call may have arrived and its answer is missing.
	Lost Kind = "lost"
	// TimedOut means the same as Lost, noticed by the read deadline.
	TimedOut Kind = "silent"
	// Refused means that the server answered with an error status.
	Refused Kind = "refused"
	// Malformed means that the answer breaks the protocol or a size limit.
	Malformed Kind = "malformed"
)

// Failure is the error of every call of this package.
type Failure struct {
	Kind    Kind
	Address string
	// Status and Body are set for Refused.
	Status int
	Body   []byte
	// NotRun is set when the server itself said that it has not run the call.
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

// ProvablyNotRun reports whether the server cannot have run the call.
func (f *Failure) ProvablyNotRun() bool {
	return f.Kind == NotSent || f.NotRun
}

// KindOf returns the kind of err, or Lost when err is no Failure.
func KindOf(err error) Kind {
	var f *Failure
	if errors.As(err, &f) {
		return f.Kind
	}
	return Lost
}

func notSent(address string, err error) *Failure {
	return &Failure{Kind: NotSent, Address: address, Cause: err}
}

// broken classifies an error on a connection.
func broken(address string, c *connection, err error) *Failure {
	f := &Failure{Kind: Lost, Address: address, Cause: err}
	// fasthttp's timeout error is no net.Error.
	var timeout interface{ Timeout() bool }
	switch {
	case !c.wrote.Load():
		f.Kind = NotSent
	case errors.As(err, &timeout) && timeout.Timeout():
		f.Kind = TimedOut
	}
	return f
}
