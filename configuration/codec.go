package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

type wireClass struct {
	Name    string        `json:"name"`
	Tier    class.Tier    `json:"tier"`
	Target  clock.Millis  `json:"target_ms"`
	Measure class.Measure `json:"measure"`
}

type wireStop struct {
	ID    string       `json:"id,omitempty"`
	Kind  StopKind     `json:"kind"`
	Name  string       `json:"name"`
	Grace clock.Millis `json:"grace_ms"`
}

type wireConfiguration struct {
	Revision uint64      `json:"revision"`
	Classes  []wireClass `json:"classes"`
	Stops    []wireStop  `json:"stops"`
}

type wireChange struct {
	SetClass     *wireClass  `json:"set_class,omitempty"`
	DeleteClass  *wireDelete `json:"delete_class,omitempty"`
	AnnounceStop *wireStop   `json:"announce_stop,omitempty"`
	CancelStop   *wireCancel `json:"cancel_stop,omitempty"`
}

type wireDelete struct {
	Name string `json:"name"`
}

type wireCancel struct {
	ID string `json:"id"`
}

type wireDifference struct {
	OldClass *wireClass `json:"old_class,omitempty"`
	NewClass *wireClass `json:"new_class,omitempty"`
	OldStop  *wireStop  `json:"old_stop,omitempty"`
	NewStop  *wireStop  `json:"new_stop,omitempty"`
}

type wireAnswer struct {
	Accepted    bool             `json:"accepted"`
	Kind        Kind             `json:"kind"`
	Revision    uint64           `json:"revision"`
	Differences []wireDifference `json:"differences,omitempty"`
	Reason      string           `json:"reason,omitempty"`
}

type wireRecord struct {
	Revision    uint64           `json:"revision"`
	At          clock.Millis     `json:"at_ms"`
	Key         string           `json:"key"`
	Differences []wireDifference `json:"differences"`
}

type wireRetainedAnswer struct {
	Key         string     `json:"key"`
	Fingerprint string     `json:"fingerprint"`
	Answer      wireAnswer `json:"answer"`
}

type wireMachine struct {
	Current wireConfiguration    `json:"current"`
	History []wireRecord         `json:"history"`
	Answers []wireRetainedAnswer `json:"answers"`
}

// Encode returns the configuration as JSON.
func Encode(c Configuration) ([]byte, error) {
	return marshal(toWireConfiguration(c))
}

// Decode decodes a configuration from JSON and checks every value in it.
func Decode(data []byte) (Configuration, error) {
	var w wireConfiguration
	if err := unmarshal(data, &w); err != nil {
		return Configuration{}, err
	}
	return fromWireConfiguration(w)
}

// EncodeChange returns the change as JSON.
func EncodeChange(change Change) ([]byte, error) {
	var w wireChange
	switch c := change.(type) {
	case SetClass:
		w.SetClass = lo.ToPtr(toWireClass(c.Class))
	case DeleteClass:
		w.DeleteClass = &wireDelete{Name: c.Name}
	case AnnounceStop:
		w.AnnounceStop = &wireStop{Kind: c.Kind, Name: c.Name, Grace: c.Grace}
	case CancelStop:
		w.CancelStop = &wireCancel{ID: c.ID}
	default:
		return nil, errors.Errorf("unknown change %T", change)
	}
	return marshal(w)
}

// DecodeChange decodes a change from JSON and checks its values, except for what
// depends on the configuration. Unknown fields are an error.
func DecodeChange(data []byte) (Change, error) {
	var w wireChange
	if err := unmarshalStrict(data, &w); err != nil {
		return nil, err
	}
	if n := lo.CountBy([]bool{w.SetClass != nil, w.DeleteClass != nil, w.AnnounceStop != nil, w.CancelStop != nil},
		func(set bool) bool { return set }); n != 1 {
		return nil, errors.Errorf("a change holds %d actions: want 1", n)
	}
	switch {
	case w.SetClass != nil:
		c, err := w.SetClass.class()
		return SetClass{Class: c}, err
	case w.DeleteClass != nil:
		return DeleteClass{Name: w.DeleteClass.Name}, nil
	case w.AnnounceStop != nil:
		_, err := w.AnnounceStop.stop()
		return AnnounceStop{Kind: w.AnnounceStop.Kind, Name: w.AnnounceStop.Name, Grace: w.AnnounceStop.Grace}, err
	}
	return CancelStop{ID: w.CancelStop.ID}, nil
}

// EncodeAnswer returns the answer as JSON.
func EncodeAnswer(a Answer) ([]byte, error) {
	return marshal(toWireAnswer(a))
}

// DecodeAnswer decodes an answer from JSON.
func DecodeAnswer(data []byte) (Answer, error) {
	var w wireAnswer
	if err := unmarshal(data, &w); err != nil {
		return Answer{}, err
	}
	return w.answer()
}

// EncodeDifferences returns the differences as a JSON list.
func EncodeDifferences(differences []Difference) ([]byte, error) {
	return marshal(toWireDifferences(differences))
}

// DecodeDifferences decodes a JSON list of differences.
func DecodeDifferences(data []byte) ([]Difference, error) {
	var w []wireDifference
	if err := unmarshal(data, &w); err != nil {
		return nil, err
	}
	return decodeAll(w, wireDifference.difference)
}

// EncodeHistory returns the records as a JSON list.
func EncodeHistory(records []Record) ([]byte, error) {
	return marshal(convertAll(records, toWireRecord))
}

// DecodeHistory decodes a JSON list of records.
func DecodeHistory(data []byte) ([]Record, error) {
	var w []wireRecord
	if err := unmarshal(data, &w); err != nil {
		return nil, err
	}
	return decodeAll(w, wireRecord.record)
}

// Snapshot returns the whole state as JSON.
func (m *Machine) Snapshot() ([]byte, error) {
	return marshal(wireMachine{
		Current: toWireConfiguration(m.current),
		History: convertAll(m.history, toWireRecord),
		Answers: convertAll(m.answers, func(r retainedAnswer) wireRetainedAnswer {
			return wireRetainedAnswer{Key: r.key, Fingerprint: r.fingerprint, Answer: toWireAnswer(r.answer)}
		}),
	})
}

// Restore replaces the state with a snapshot. If the snapshot is invalid, it
// returns an error and leaves the state unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	var w wireMachine
	if err := unmarshal(snapshot, &w); err != nil {
		return err
	}
	current, err := fromWireConfiguration(w.Current)
	if err != nil {
		return err
	}
	history, err := decodeAll(w.History, wireRecord.record)
	if err != nil {
		return err
	}
	if uint64(len(history)) > current.revision {
		return errors.Errorf("snapshot has %d history records, but its revision is %d", len(history), current.revision)
	}
	restored := NewMachine()
	restored.current, restored.history = current, history
	for _, r := range w.Answers {
		answer, err := r.Answer.answer()
		if err != nil {
			return err
		}
		restored.retainAnswer(retainedAnswer{key: r.Key, fingerprint: r.Fingerprint, answer: answer})
	}
	*m = *restored
	return nil
}

// fingerprintOf returns the base revision and content of a change as text. It
// detects an idempotency key that is used again with another change.
func fingerprintOf(change Change, base uint64) string {
	data, err := EncodeChange(change)
	if err != nil {
		panic(err) // cannot happen: EncodeChange knows every type of Change
	}
	return fmt.Sprintf("%d:%s", base, data)
}

func toWireConfiguration(c Configuration) wireConfiguration {
	return wireConfiguration{
		Revision: c.revision,
		Classes:  convertAll(c.classes, toWireClass),
		Stops:    convertAll(c.stops, toWireStop),
	}
}

func fromWireConfiguration(w wireConfiguration) (Configuration, error) {
	c := Configuration{revision: w.Revision}
	if len(w.Classes) > MaxClasses || len(w.Stops) > MaxStops {
		return c, errors.Errorf("%d classes and %d stops: want at most %d and %d",
			len(w.Classes), len(w.Stops), MaxClasses, MaxStops)
	}
	for _, k := range w.Classes {
		decoded, err := k.class()
		if err != nil {
			return Configuration{}, err
		}
		c = c.WithClass(decoded)
	}
	for _, s := range w.Stops {
		decoded, err := s.stop()
		if err != nil {
			return Configuration{}, err
		}
		c = c.WithStop(decoded)
	}
	return c, nil
}

func toWireClass(c class.Class) wireClass {
	return wireClass{Name: c.Name(), Tier: c.Tier(), Target: c.Target(), Measure: c.Measure()}
}

func (w wireClass) class() (class.Class, error) {
	return class.New(w.Name, w.Tier, w.Target, w.Measure)
}

func toWireStop(s Stop) wireStop {
	return wireStop{ID: s.id, Kind: s.kind, Name: s.name, Grace: s.grace}
}

func (w wireStop) stop() (Stop, error) {
	return NewStop(w.ID, w.Kind, w.Name, w.Grace)
}

func toWireDifferences(differences []Difference) []wireDifference {
	return convertAll(differences, func(d Difference) wireDifference {
		return wireDifference{
			OldClass: convertPointer(d.OldClass, toWireClass),
			NewClass: convertPointer(d.NewClass, toWireClass),
			OldStop:  convertPointer(d.OldStop, toWireStop),
			NewStop:  convertPointer(d.NewStop, toWireStop),
		}
	})
}

func (w wireDifference) difference() (Difference, error) {
	var d Difference
	var err error
	decodeClass := func(c *wireClass) *class.Class {
		return decodePointer(c, wireClass.class, &err)
	}
	decodeStop := func(s *wireStop) *Stop {
		return decodePointer(s, wireStop.stop, &err)
	}
	d.OldClass, d.NewClass = decodeClass(w.OldClass), decodeClass(w.NewClass)
	d.OldStop, d.NewStop = decodeStop(w.OldStop), decodeStop(w.NewStop)
	return d, err
}

func toWireAnswer(a Answer) wireAnswer {
	return wireAnswer{
		Accepted:    a.Kind == Accepted,
		Kind:        a.Kind,
		Revision:    a.Revision,
		Differences: toWireDifferences(a.Differences),
		Reason:      a.Reason,
	}
}

func (w wireAnswer) answer() (Answer, error) {
	if w.Kind != Accepted && w.Kind != Conflict && w.Kind != Invalid {
		return Answer{}, errors.Errorf("unknown kind of answer %q", w.Kind)
	}
	differences, err := decodeAll(w.Differences, wireDifference.difference)
	return Answer{Kind: w.Kind, Revision: w.Revision, Differences: differences, Reason: w.Reason}, err
}

func toWireRecord(r Record) wireRecord {
	return wireRecord{Revision: r.Revision, At: r.At, Key: r.Key, Differences: toWireDifferences(r.Differences)}
}

func (w wireRecord) record() (Record, error) {
	differences, err := decodeAll(w.Differences, wireDifference.difference)
	return Record{Revision: w.Revision, At: w.At, Key: w.Key, Differences: differences}, err
}

// convertPointer converts the value, or returns nil for nil.
func convertPointer[T, W any](value *T, convert func(T) W) *W {
	if value == nil {
		return nil
	}
	return lo.ToPtr(convert(*value))
}

// decodePointer decodes the value, or returns nil for nil. An error is stored in
// lastErr.
func decodePointer[W, T any](value *W, convert func(W) (T, error), lastErr *error) *T {
	if value == nil {
		return nil
	}
	converted, err := convert(*value)
	if err != nil {
		*lastErr = err
		return nil
	}
	return &converted
}

func convertAll[T, W any](values []T, convert func(T) W) []W {
	return lo.Map(values, func(v T, _ int) W { return convert(v) })
}

// decodeAll decodes each value. It returns nil for an empty list, so that a
// decoded list equals the encoded one.
func decodeAll[W, T any](values []W, convert func(W) (T, error)) ([]T, error) {
	var converted []T
	for _, v := range values {
		c, err := convert(v)
		if err != nil {
			return nil, err
		}
		converted = append(converted, c)
	}
	return converted, nil
}

func marshal(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	return data, errors.WithStack(err)
}

// unmarshal decodes JSON. It accepts unknown fields, so that members of adjacent
// versions can exchange messages, and refuses data after the value.
func unmarshal(data []byte, value any) error {
	return errors.Wrap(json.Unmarshal(data, value), "decoding")
}

// unmarshalStrict decodes JSON and refuses unknown fields, because a misspelled
// field in an operator's change must not be dropped silently.
func unmarshalStrict(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.Wrap(err, "decoding")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decoding: data after the value")
	}
	return nil
}
