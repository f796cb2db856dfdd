package claim

import (
	"github.com/google/uuid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// None means that there is no claim for the key.
	None State = "none"
	// Claimed means that an attempt owns the claim and has sent nothing yet.
	Claimed State = "claimed"
	// Sent means that the call may have been sent to a backend server.
	Sent State = "sent"
	// Answered means that the complete answer is recorded.
	Answered State = "answered"
	// NotRun means that the call has certainly not run; it may be tried again.
	NotRun State = "not_run"
	// Unknown means that the call may have run: its owner lost track of it, or
	// the owner's lease has expired.
	Unknown State = "unknown"
)

// Valid reports whether s is a state of an existing claim. None is not valid.
func (s State) Valid() bool {
	switch s {
	case Claimed, Sent, Answered, NotRun, Unknown:
		return true
	default:
		return false
	}
}

// Owner identifies one run of an entry process. Incarnation is higher after each
// restart of the entry.
type Owner struct {
	Entry       string
	Incarnation uint64
}

// Attempt identifies one attempt of an entry at a call. ID is unique to the
// attempt.
type Attempt struct {
	Owner
	ID string
}

// Answer is the recorded HTTP answer of a backend server.
type Answer struct {
	Status  int
	Headers map[string][]string
	Body    []byte
}

// size returns the number of bytes in the headers and the body.
func (a Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Headers {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Result is the state of a claim after a command or a lookup. Owned means that
// the attempt that sent the command owns the claim. Reason says why a command was
// refused.
type Result struct {
	State  State
	Owned  bool
	Answer Answer
	Reason outcome.Reason
}

// record is the claim for one key.
type record struct {
	key              string
	keyTime          clock.Millis // time of day that the key encodes
	bodyHash         string
	attempt          Attempt
	formerAttemptIDs []string // IDs of earlier attempts, which lost the claim or did not run
	state            State
	answer           Answer
}

// KeyTime returns the time of day that a UUIDv7 key encodes. It returns false if
// the key is not a UUIDv7 in canonical form.
func KeyTime(key string) (clock.Millis, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 || id.String() != key {
		return 0, false
	}
	var at clock.Millis
	for _, b := range id[:6] {
		at = at<<8 | clock.Millis(b)
	}
	return at, true
}
