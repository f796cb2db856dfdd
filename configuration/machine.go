package configuration

import (
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

// The numbers of retained answers and history records bound memory and snapshots.
// 1,000 answers cover resends within 37 minutes at the target rate of 38,000
// changes a day. A change that is resent later is refused as a conflict, because
// its base revision is no longer current. It is therefore never applied twice.
const (
	MaxRetainedAnswers = 1000
	MaxRetainedRecords = 1000
	// MaxKeyLength is the longest idempotency key in bytes.
	MaxKeyLength = 128
)

// Kind is the kind of an answer to a change.
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

// Answer is the answer to a change. Revision is the current revision when
// it was given. Differences is set for a conflict and lists what changed since the
// base revision.
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

// retainedAnswer is the first answer to an idempotency key. The fingerprint
// identifies the change that it answers.
type retainedAnswer struct {
	key, fingerprint string
	answer           Answer
}

// Machine is the replicated state machine of the configuration. It is
// deterministic. It is not safe for concurrent use.
type Machine struct {
	current           Configuration
	history           []Record
	answers           []retainedAnswer // in order of arrival
	answerNumberByKey map[string]int   // number of the answer by key, counted from the first one that was ever retained
	droppedAnswers    int              // answers dropped so far
}

// NewMachine returns a machine with the empty configuration.
func NewMachine() *Machine {
	return &Machine{answerNumberByKey: map[string]int{}}
}

// Current returns the current configuration.
func (m *Machine) Current() Configuration { return m.current }

// History returns the retained accepted changes, oldest first.
func (m *Machine) History() []Record { return append([]Record(nil), m.history...) }

// At returns the configuration at a revision, if the retained history reaches back
// that far.
func (m *Machine) At(revision uint64) (Configuration, bool) {
	oldest := m.current.revision - uint64(len(m.history))
	if revision > m.current.revision || revision < oldest {
		return Configuration{}, false
	}
	c := m.current
	for i := len(m.history) - 1; c.revision > revision; i-- {
		c = revert(c, m.history[i].Differences).WithRevision(c.revision - 1)
	}
	return c, true
}

// Apply applies a change if base is the current revision. The first answer to a key
// is retained and returned again when the change is resent. An invalid key, or one
// that was used with another change, is refused as invalid. at is the time of day
// at the leader.
func (m *Machine) Apply(at clock.Millis, change Change, base uint64, key string) Answer {
	if key == "" || len(key) > MaxKeyLength {
		return m.invalidAnswer(errors.Errorf("invalid idempotency key of %d bytes: want 1 to %d", len(key), MaxKeyLength))
	}
	fingerprint := fingerprintOf(change, base)
	if number, ok := m.answerNumberByKey[key]; ok {
		earlier := m.answers[number-m.droppedAnswers]
		if earlier.fingerprint != fingerprint {
			return m.invalidAnswer(errors.Errorf("idempotency key %q was used with another change", key))
		}
		return earlier.answer
	}
	answer := m.applyChange(at, change, base, key)
	m.retainAnswer(retainedAnswer{key: key, fingerprint: fingerprint, answer: answer})
	return answer
}

func (m *Machine) applyChange(at clock.Millis, change Change, base uint64, key string) Answer {
	if base != m.current.revision {
		return m.conflictAnswer(base)
	}
	next, err := change.apply(m.current.WithRevision(base + 1))
	if err != nil {
		return m.invalidAnswer(err)
	}
	m.appendRecord(Record{Revision: next.revision, At: at, Key: key, Differences: Diff(m.current, next)})
	m.current = next
	return Answer{Kind: Accepted, Revision: next.revision}
}

// conflictAnswer returns an answer with everything that changed since base. That is
// the whole configuration if the history does not reach back to base.
func (m *Machine) conflictAnswer(base uint64) Answer {
	old, _ := m.At(base)
	return Answer{
		Kind:        Conflict,
		Revision:    m.current.revision,
		Differences: Diff(old, m.current),
		Reason:      errors.Errorf("base revision %d is not the current revision %d", base, m.current.revision).Error(),
	}
}

func (m *Machine) invalidAnswer(err error) Answer {
	return Answer{Kind: Invalid, Revision: m.current.revision, Reason: err.Error()}
}

func (m *Machine) appendRecord(r Record) {
	m.history = append(m.history, r)
	if extra := len(m.history) - MaxRetainedRecords; extra > 0 {
		m.history = append([]Record(nil), m.history[extra:]...)
	}
}

func (m *Machine) retainAnswer(r retainedAnswer) {
	m.answerNumberByKey[r.key] = m.droppedAnswers + len(m.answers)
	m.answers = append(m.answers, r)
	if len(m.answers) <= MaxRetainedAnswers {
		return
	}
	delete(m.answerNumberByKey, m.answers[0].key)
	m.answers = m.answers[1:]
	m.droppedAnswers++
}
