package roster

import (
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/endpoint"
)

// Limits of an announcement. Any process may send one, and it is passed on to all entries.
const (
	maxTextBytes = 128 // of a service, an availability zone and a version
	maxSlots     = 1 << 16
	maxWarmUp    = 24 * clock.Hour
	maxLeavesIn  = 24 * clock.Hour
	maxStart     = 1 << 42 // Unix time in ms, in the year 2109
	maxSequence  = 1 << 62 // above the present time in nanoseconds
)

// State is the state of a server, as it announces it.
type State string

// The possible states.
const (
	// Serving servers accept new requests.
	Serving State = "serving"
	// Leaving servers finish their running requests and accept no new ones.
	Leaving State = "leaving"
	// Gone servers have stopped or were replaced by another server at their address.
	Gone State = "gone"
)

// Announcement is the heartbeat in which a server describes itself.
type Announcement struct {
	Server           string // server name
	Service          string // service name
	Address          string // IP:port
	AvailabilityZone string
	Version          string // version of the server's software; names that differ have no order
	Slots            int    // requests that the server runs at the same time
	State            State
	WarmupLeft       clock.Millis // remaining time in which the server is slow after its start
	StartedAt        int64        // start time, Unix time in ms; a later start replaces an earlier one
	Sequence         uint64       // increases with each announcement of one start
	Reclaimable      bool         // the platform may take the server back at any time
	LeavesIn         clock.Millis // remaining time until the platform takes the server back; 0 if it is not known
}

// WithState returns a copy of the announcement with the given state.
func (a Announcement) WithState(s State) Announcement {
	a.State = s
	return a
}

// Validate returns an error if the announcement does not describe a usable server. The
// departure of a server needs nothing but its name.
func (a Announcement) Validate() error {
	if !endpoint.ValidName(a.Server) {
		return errors.Errorf("server %.60q: a name has 1 to %d visible ASCII characters", a.Server, endpoint.MaxNameBytes)
	}
	switch {
	case a.State == Gone:
		return nil
	case a.State != Serving && a.State != Leaving:
		return errors.Errorf("server %q: state %.60q is unknown", a.Server, a.State)
	case a.Service == "" || len(a.Service) > maxTextBytes || len(a.AvailabilityZone) > maxTextBytes:
		return errors.Errorf("server %q: service %.60q or availability zone %.60q is empty or too long", a.Server, a.Service, a.AvailabilityZone)
	case len(a.Version) > maxTextBytes:
		return errors.Errorf("server %q: version %.60q is too long", a.Server, a.Version)
	case a.Slots < 0 || a.Slots > maxSlots:
		return errors.Errorf("server %q: %d slots: want 0 to %d", a.Server, a.Slots, maxSlots)
	case a.WarmupLeft < 0 || a.WarmupLeft > maxWarmUp:
		return errors.Errorf("server %q: cold time %d ms: want 0 to %d", a.Server, a.WarmupLeft, maxWarmUp)
	case a.LeavesIn < 0 || a.LeavesIn > maxLeavesIn:
		return errors.Errorf("server %q: leaves in %d ms: want 0 to %d", a.Server, a.LeavesIn, maxLeavesIn)
	case a.StartedAt < 0 || a.StartedAt > maxStart || a.Sequence > maxSequence:
		return errors.Errorf("server %q: start %d or sequence %d is out of range", a.Server, a.StartedAt, a.Sequence)
	}
	if err := endpoint.Validate(a.Address); err != nil {
		return errors.Wrapf(err, "server %q", a.Server)
	}
	return nil
}

// isNewerThan reports whether a is newer than b. Both must be of the same server.
func (a Announcement) isNewerThan(b Announcement) bool {
	if a.StartedAt != b.StartedAt {
		return a.StartedAt > b.StartedAt
	}
	return a.Sequence > b.Sequence
}
