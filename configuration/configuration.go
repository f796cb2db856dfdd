package configuration

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// Bounds of a configuration. Every entry receives the whole configuration in one
// message and keeps it in memory.
const (
	MaxClasses = 256
	MaxStops   = 1024
	MaxGrace   = 48 * clock.Hour
)

// StopKind is the kind of process that a planned stop stops.
type StopKind string

// The kinds of planned stops.
const (
	StopEntry  StopKind = "entry"
	StopServer StopKind = "server"
)

// Valid reports whether k is a known kind.
func (k StopKind) Valid() bool { return k == StopEntry || k == StopServer }

// Stop is an announced planned stop of an entry or a backend server. It is
// immutable.
type Stop struct {
	id    string
	kind  StopKind
	name  string
	grace clock.Millis
}

// NewStop returns a planned stop, or an error that names the invalid field. It does
// not check id.
func NewStop(id string, kind StopKind, name string, grace clock.Millis) (Stop, error) {
	s := Stop{id: id, kind: kind, name: name, grace: grace}
	switch {
	case !kind.Valid():
		return Stop{}, errors.Errorf("invalid kind %q: want %q or %q", kind, StopEntry, StopServer)
	case !class.ValidName(name):
		return Stop{}, errors.Errorf("invalid name %q of a planned stop", name)
	case grace < 0 || grace > MaxGrace:
		return Stop{}, errors.Errorf("invalid grace_ms %d: want 0 to %d", grace, MaxGrace)
	}
	return s, nil
}

// ID returns the identifier of the stop, which CancelStop takes.
func (s Stop) ID() string { return s.id }

// Kind returns the kind of process that is stopped.
func (s Stop) Kind() StopKind { return s.kind }

// Name returns the name of the entry or backend server that is stopped.
func (s Stop) Name() string { return s.name }

// Grace returns how long running work may still take; 0 means no limit.
func (s Stop) Grace() clock.Millis { return s.grace }

// Configuration is one revision of the configuration. It is immutable;
// the zero value is the empty configuration at revision 0.
type Configuration struct {
	revision uint64
	classes  []class.Class
	stops    []Stop
}

// Revision returns the number of the revision.
func (c Configuration) Revision() uint64 { return c.revision }

// Classes returns the classes in order of their names.
func (c Configuration) Classes() []class.Class { return slices.Clone(c.classes) }

// Stops returns the planned stops in order of their identifiers.
func (c Configuration) Stops() []Stop { return slices.Clone(c.stops) }

// Class returns the class with the given name, if there is one.
func (c Configuration) Class(name string) (class.Class, bool) {
	i, ok := findItem(c.classes, name, class.Class.Name)
	if !ok {
		return class.Class{}, false
	}
	return c.classes[i], true
}

// Stop returns the planned stop with the given identifier, if there is one.
func (c Configuration) Stop(id string) (Stop, bool) {
	i, ok := findItem(c.stops, id, Stop.ID)
	if !ok {
		return Stop{}, false
	}
	return c.stops[i], true
}

// StopFor returns the planned stop of the named entry or backend server, if one
// is announced.
func (c Configuration) StopFor(kind StopKind, name string) (Stop, bool) {
	i := slices.IndexFunc(c.stops, func(s Stop) bool { return s.kind == kind && s.name == name })
	if i < 0 {
		return Stop{}, false
	}
	return c.stops[i], true
}

// WithRevision returns a copy with another revision.
func (c Configuration) WithRevision(revision uint64) Configuration {
	c.revision = revision
	return c
}

// WithClass returns a copy with the class added, or replaced if one has its name.
func (c Configuration) WithClass(added class.Class) Configuration {
	c.classes = withItem(c.classes, added, class.Class.Name)
	return c
}

// WithoutClass returns a copy without the named class.
func (c Configuration) WithoutClass(name string) Configuration {
	c.classes = slices.DeleteFunc(slices.Clone(c.classes), func(k class.Class) bool { return k.Name() == name })
	return c
}

// WithStop returns a copy with the planned stop added, or replaced if one has its
// identifier.
func (c Configuration) WithStop(added Stop) Configuration {
	c.stops = withItem(c.stops, added, Stop.ID)
	return c
}

// WithoutStop returns a copy without the planned stop with the given identifier.
func (c Configuration) WithoutStop(id string) Configuration {
	c.stops = slices.DeleteFunc(slices.Clone(c.stops), func(s Stop) bool { return s.id == id })
	return c
}

// withItem returns a copy of a list that is sorted by key, with the item added, or replaced
// if one has its key.
func withItem[T any](list []T, added T, key func(T) string) []T {
	i, ok := findItem(list, key(added), key)
	list = slices.Clone(list)
	if ok {
		list[i] = added
		return list
	}
	return slices.Insert(list, i, added)
}

// findItem returns the position of the item with the given key in a list that is sorted by
// key, or where to insert it.
func findItem[T any](list []T, wanted string, key func(T) string) (int, bool) {
	return slices.BinarySearchFunc(list, wanted, func(item T, wanted string) int {
		return strings.Compare(key(item), wanted)
	})
}
