package configuration

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/clock"
)

// Change is one action of an operator: SetClass, DeleteClass, AnnounceStop or
// CancelStop.
type Change interface {
	// apply returns the changed configuration, or an error if the change is
	// invalid for c. The caller has already set the new revision in c.
	apply(c Configuration) (Configuration, error)
}

// SetClass adds a class or replaces the class with the same name.
type SetClass struct {
	Class class.Class
}

// DeleteClass removes a class.
type DeleteClass struct {
	Name string
}

// AnnounceStop announces the planned stop of an entry or backend server.
type AnnounceStop struct {
	Kind  StopKind
	Name  string
	Grace clock.Millis
}

// CancelStop withdraws a planned stop.
type CancelStop struct {
	ID string
}

func (s SetClass) apply(c Configuration) (Configuration, error) {
	if _, ok := c.Class(s.Class.Name()); !ok && len(c.classes) >= MaxClasses {
		return c, errors.Errorf("too many classes: want at most %d", MaxClasses)
	}
	return c.WithClass(s.Class), nil
}

func (d DeleteClass) apply(c Configuration) (Configuration, error) {
	if _, ok := c.Class(d.Name); !ok {
		return c, errors.Errorf("unknown class %q", d.Name)
	}
	return c.WithoutClass(d.Name), nil
}

func (a AnnounceStop) apply(c Configuration) (Configuration, error) {
	if announced, ok := c.StopFor(a.Kind, a.Name); ok {
		return c, errors.Errorf("a stop of %s %q is already announced as %q", a.Kind, a.Name, announced.id)
	}
	if len(c.stops) >= MaxStops {
		return c, errors.Errorf("too many planned stops: want at most %d", MaxStops)
	}
	// The revision makes the identifier unique, and the same at every member.
	s, err := NewStop(fmt.Sprintf("stop-%d", c.revision), a.Kind, a.Name, a.Grace)
	if err != nil {
		return c, err
	}
	return c.WithStop(s), nil
}

func (x CancelStop) apply(c Configuration) (Configuration, error) {
	if _, ok := c.Stop(x.ID); !ok {
		return c, errors.Errorf("unknown planned stop %q", x.ID)
	}
	return c.WithoutStop(x.ID), nil
}
