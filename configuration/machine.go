package configuration

import (
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

// Retention bounds memory and snapshots. 1,000 answers cover 37 minutes of
// resends at the target rate of 38,000 changes a day. A change that is resent
// later is refused as a conflict, because its base revision is no longer
// current, and so is never applied twice.
const (
	MaxRetainedAnswers = 1000
	MaxRetainedRecords = 1000
	// MaxKeyLength is the longest idempotency key in bytes.
	MaxKeyLength = 128
)

// Kind says how a change was answered.
type Kind string

// The kinds of answers.
const (
	// Accepted means that the change is part of the revision in the answer.
	Accepted Kind = "accepted"
	// Conflict means that the base revision was not the current one.
	Conflict Kind = "conflict"
	// Invalid means that the change cannot be made; Reason says why.
	Invalid Kind = "invalid"
)

// Answer is the answer to a change.
type Answer struct {
	Kind        Kind
	Revision    uint64
	Differences []Difference
	Reason      string
}

// Record is one accepted change in the history.
type Record struct {
	Revision    uint64
	At          clock.Millis // time of day at the leader
	Key         string
	Differences []Difference
}

type retained struct {
	key, fingerprint string
	answer           Answer
}

// Machine is the replicated configuration state. It is deterministic and has
// one owner.
type Machine struct {
	current Configuration
	history []Record
	answers []retained // in order of arrival
	byKey   map[string]int
	dropped int // answers dropped so far; byKey holds positions counted from the first
}

// NewMachine returns a machine with the empty configuration.
func NewMachine() *Machine {
	return &Machine{byKey: map[string]int{}}
}

// Current returns the current configuration.
func (m *Machine) Current() Configuration { return m.current }

// History returns the retained accepted changes, oldest first.
func (m *Machine) History() []Record { return append([]Record(nil), m.history...) }

// At returns the configuration at a revision, if the history still reaches it.
func (m *Machine) At(revision uint64) (Configuration, bool) {
	oldest := m.current.revision - uint64(len(m.history))
	if revision > m.current.revision || revision < oldest {
		return Configuration{}, false
	}
	c := m.current
	for i := len(m.history) - 1; c.revision > revision; i-- {
		c = undo(c, m.history[i].Differences).WithRevision(c.revision - 1)
	}
	return c, true
}

// Apply makes a change if base is the current revision. The first answer to a
// key is retained and returned again when the change is resent.
func (m *Machine) Apply(at clock.Millis, change Change, base uint64, key string) Answer {
	if key == "" || len(key) > MaxKeyLength {
		return m.refuse(errors.Errorf("invalid idempotency key of %d bytes: want 1 to %d", len(key), MaxKeyLength))
	}
	fingerprint := fingerprintOf(change, base)
	if position, ok := m.byKey[key]; ok {
		first := m.answers[position-m.dropped]
		if first.fingerprint != fingerprint {
			return m.refuse(errors.Errorf("idempotency key %q was used with another change", key))
		}
		return first.answer
	}
	answer := m.decide(at, change, base, key)
	m.retain(retained{key: key, fingerprint: fingerprint, answer: answer})
	return answer
}

func (m *Machine) decide(at clock.Millis, change Change, base uint64, key string) Answer {
	if base != m.current.revision {
		return m.conflict(base)
	}
	next, err := change.apply(m.current.WithRevision(base + 1))
	if err != nil {
		return m.refuse(err)
	}
	m.record(Record{Revision: next.revision, At: at, Key: key, Differences: Diff(m.current, next)})
	m.current = next
	return Answer{Kind: Accepted, Revision: next.revision}
}

// conflict answers with everything that changed since base. When the history no
// longer reaches base, that is the whole configuration.
func (m *Machine) conflict(base uint64) Answer {
	old, _ := m.At(base)
	return Answer{
		Kind:        Conflict,
		Revision:    m.current.revision,
		Differences: Diff(old, m.current),
		Reason:      errors.Errorf("base revision %d is not the current revision %d", base, m.current.revision).Error(),
	}
}

func (m *Machine) refuse(err error) Answer {
	return Answer{Kind: Invalid, Revision: m.current.revision, Reason: err.Error()}
}

func (m *Machine) record(r Record) {
	m.history = append(m.history, r)
	if extra := len(m.history) - MaxRetainedRecords; extra > 0 {
		m.history = append([]Record(nil), m.history[extra:]...)
	}
}

func (m *Machine) retain(r retained) {
	m.byKey[r.key] = m.dropped + len(m.answers)
	m.answers = append(m.answers, r)
	if len(m.answers) <= MaxRetainedAnswers {
		return
	}
	delete(m.byKey, m.answers[0].key)
	m.answers = m.answers[1:]
	m.dropped++
}
