package configuration

import (
	"slices"
	"strings"

	"github.com/galenaslip/galenaslip/class"
)

// Difference is one class or planned stop that differs between two configurations.
// An old value of nil means that it was added, a new value of nil that it was
// removed.
type Difference struct {
	OldClass, NewClass *class.Class
	OldStop, NewStop   *Stop
}

// Diff returns the differences from old to current: first the classes in order of
// their names, then the planned stops in order of their identifiers. It does not
// compare the revisions.
func Diff(old, current Configuration) []Difference {
	var differences []Difference
	diffSorted(old.classes, current.classes, class.Class.Name, func(before, after *class.Class) {
		differences = append(differences, Difference{OldClass: before, NewClass: after})
	})
	diffSorted(old.stops, current.stops, Stop.ID, func(before, after *Stop) {
		differences = append(differences, Difference{OldStop: before, NewStop: after})
	})
	return differences
}

// diffSorted compares two lists that are sorted by key and reports each element
// that differs. before or after is nil if the key is missing in that list.
func diffSorted[T comparable](old, current []T, key func(T) string, report func(before, after *T)) {
	for len(old) > 0 || len(current) > 0 {
		order := compareFirstKeys(old, current, key)
		var before, after *T
		if order <= 0 {
			before, old = &old[0], old[1:]
		}
		if order >= 0 {
			after, current = &current[0], current[1:]
		}
		if before == nil || after == nil || *before != *after {
			report(before, after)
		}
	}
}

// compareFirstKeys compares the keys of the first elements. An empty list sorts
// last.
func compareFirstKeys[T any](a, b []T, key func(T) string) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	}
	return strings.Compare(key(a[0]), key(b[0]))
}

// revert returns the configuration as it was before the differences were applied.
func revert(c Configuration, differences []Difference) Configuration {
	for _, d := range slices.Backward(differences) {
		switch {
		case d.OldClass != nil:
			c = c.WithClass(*d.OldClass)
		case d.NewClass != nil:
			c = c.WithoutClass(d.NewClass.Name())
		}
		switch {
		case d.OldStop != nil:
			c = c.WithStop(*d.OldStop)
		case d.NewStop != nil:
			c = c.WithoutStop(d.NewStop.id)
		}
	}
	return c
}
