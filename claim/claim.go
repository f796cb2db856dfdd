package claim

import (
	"github.com/google/uuid"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// State is the state of a claim.
type State string

// The states.
const (
	// None means that the key has no claim.
	None State = "none"
	// Claimed means that nothing has been sent.
	Claimed State = "claimed"
	// Sent means that the call may have been sent.
	Sent State = "sent"
	// Answered means that the complete answer is recorded.
	Answered State = "answered"
	// NotRun means that the call has certainly not run; it may be tried again.
	NotRun State = "not_run"
	// Unknown means that the call may have run and its owner is gone.
	Unknown State = "unknown"
)

// Valid reports whether s is a state that a claim can have.
func (s State) Valid() bool {
	switch s {
	case Claimed, Sent, Answered, NotRun, Unknown:
		return true
	default:
		return false
	}
}

// Owner is one life of an entry.
type Owner struct {
	Entry       string
	Incarnation uint64
}

// Attempt is one attempt of an entry at a call. ID is unique to the attempt.
type Attempt struct {
	Owner
	ID string
}

// Answer is the recorded answer of a backend server.
type Answer struct {
	Status  int
	Headers map[string][]string
	Body    []byte
}

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

// Result tells the state of a claim after a command. Owned means that the
// attempt that asked owns the claim. Reason says why a command was refused.
type Result struct {
	State  State
	Owned  bool
	Answer Answer
	Reason outcome.Reason
}

// record is the claim of one key.
type record struct {
	key      string
	created  clock.Millis // time of day in the key
	bodyHash string
	attempt  Attempt
	earlier  []string // identifiers of attempts that lost the claim or did not run
	state    State
	answer   Answer
}

// KeyTime returns the time of day in a UUIDv7 key and whether the key is one, in
// its canonical form.
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
