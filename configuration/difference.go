package configuration

import (
	"slices"
	"strings"

	"github.com/galenaslip/galenaslip/class"
)

// Difference is one class or planned stop that differs between two
// configurations. A nil side means that it is absent there.
type Difference struct {
	OldClass, NewClass *class.Class
	OldStop, NewStop   *Stop
}

// Diff returns what changed from old to current: classes by name, then stops by
// identifier. The revisions are not compared.
func Diff(old, current Configuration) []Difference {
	var differences []Difference
	merge(old.classes, current.classes, class.Class.Name, func(before, after *class.Class) {
		differences = append(differences, Difference{OldClass: before, NewClass: after})
	})
	merge(old.stops, current.stops, Stop.ID, func(before, after *Stop) {
		differences = append(differences, Difference{OldStop: before, NewStop: after})
	})
	return differences
}

// merge walks two lists that are sorted by key and reports unequal pairs.
func merge[T comparable](old, current []T, key func(T) string, report func(before, after *T)) {
	for len(old) > 0 || len(current) > 0 {
		order := compareHeads(old, current, key)
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

func compareHeads[T any](a, b []T, key func(T) string) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	}
	return strings.Compare(key(a[0]), key(b[0]))
}

// undo returns the configuration before the differences were made.
func undo(c Configuration, differences []Difference) Configuration {
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
