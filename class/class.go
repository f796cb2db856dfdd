package class

import (
	"regexp"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

// Bounds of the latency target of a class.
const (
	MinTarget = 1 * clock.Millisecond
	MaxTarget = 48 * clock.Hour
)

// The starvation bound is the waiting time after which a request counts as
// starved. It is starvationFactor times the latency target, within a minimum and a
// maximum, so that requests with a longer target wait longer.
const (
	starvationFactor = 10
	minStarvation    = 5 * clock.Second
	maxStarvation    = 10 * clock.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// ValidName reports whether name is a valid name of a class. Names of workspaces,
// services, processes and availability zones follow the same pattern.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// Class is a kind of request with one latency target and one priority tier. It is
// immutable.
type Class struct {
	name    string
	tier    Tier
	target  clock.Millis
	measure Measure
}

// New returns a class, or an error that names the invalid field.
func New(name string, tier Tier, target clock.Millis, measure Measure) (Class, error) {
	c := Class{name: name, tier: tier, target: target, measure: measure}
	return c, c.validate()
}

func (c Class) validate() error {
	switch {
	case !ValidName(c.name):
		return errors.Errorf("invalid class name %q: want %s", c.name, namePattern)
	case !c.tier.Valid():
		return errors.Errorf("invalid tier %d: want %d to %d", c.tier, HighestTier, LowestTier)
	case c.target < MinTarget || c.target > MaxTarget:
		return errors.Errorf("invalid target_ms %d: want %d to %d", c.target, MinTarget, MaxTarget)
	case !c.measure.Valid():
		return errors.Errorf("invalid measure %q: want %q or %q", c.measure, FirstToken, Completion)
	}
	return nil
}

// Name returns the name of the class.
func (c Class) Name() string { return c.name }

// Tier returns the priority tier.
func (c Class) Tier() Tier { return c.tier }

// Target returns the latency target.
func (c Class) Target() clock.Millis { return c.target }

// Measure returns the point of the answer to which the latency is measured.
func (c Class) Measure() Measure { return c.measure }

// WithTier returns a copy with another tier.
func (c Class) WithTier(tier Tier) (Class, error) {
	return New(c.name, tier, c.target, c.measure)
}

// WithTarget returns a copy with another target.
func (c Class) WithTarget(target clock.Millis) (Class, error) {
	return New(c.name, c.tier, target, c.measure)
}

// WithMeasure returns a copy with another measure.
func (c Class) WithMeasure(measure Measure) (Class, error) {
	return New(c.name, c.tier, c.target, measure)
}

// StarvationBound returns the waiting time after which requests of the class may
// be served before those of higher tiers, for a limited share of the slots.
func (c Class) StarvationBound() clock.Millis {
	return min(max(c.target*starvationFactor, minStarvation), maxStarvation)
}
