package catalog

import (
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"
)

// Document is an encoded catalog with its revision. The body is stored as the
// operator has sent it, so that it can be read back unchanged.
type Document struct {
	Revision uint64
	Body     []byte
}

// Outcome is the result of applying a document.
type Outcome string

// The possible results of applying a document.
const (
	// Accepted means that the document is now in force.
	Accepted Outcome = "accepted"
	// Superseded means that a document with the same or a higher revision is already
	// in force; nothing has changed.
	Superseded Outcome = "superseded"
)

// ApplyResult is the outcome of applying a document, with the revision that is in force
// afterwards.
type ApplyResult struct {
	Outcome  Outcome
	Revision uint64
	First    bool // no document was in force before
}

// Machine is a state machine that holds the accepted document with the highest
// revision. The same documents in the same order lead to the same state. It is not
// safe for concurrent use.
type Machine struct {
	current Document
}

// Apply puts a document in force if its revision is higher than the current one.
func (m *Machine) Apply(d Document) ApplyResult {
	if d.Revision <= m.current.Revision {
		return ApplyResult{Outcome: Superseded, Revision: m.current.Revision}
	}
	first := m.current.Revision == 0
	m.current = Document{Revision: d.Revision, Body: slices.Clone(d.Body)}
	return ApplyResult{Outcome: Accepted, Revision: d.Revision, First: first}
}

// Current returns the accepted document with the highest revision.
func (m *Machine) Current() Document { return m.current }

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	return append(binary.AppendUvarint(nil, m.current.Revision), m.current.Body...)
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	revision, size := binary.Uvarint(snapshot)
	if size <= 0 {
		return errors.Errorf("a catalog snapshot of %d bytes is cut short", len(snapshot))
	}
	m.current = Document{Revision: revision, Body: slices.Clone(snapshot[size:])}
	return nil
}
