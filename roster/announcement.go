package roster

import (
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

// maxNameBytes bounds the name of a server.
const maxNameBytes = 128

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
	Slots            int // requests that the server runs at the same time
	State            State
	WarmupLeft       clock.Millis // remaining time in which the server is slow after its start
	StartedAt        int64        // start time, Unix time in ms; a later start replaces an earlier one
	Sequence         uint64       // increases with each announcement of one start
}

// WithState returns a copy of the announcement with the given state.
func (a Announcement) WithState(s State) Announcement {
	a.State = s
	return a
}

// Validate returns an error if the announcement does not describe a usable server. The
// departure of a server needs nothing but its name.
func (a Announcement) Validate() error {
	if !validServerName(a.Server) {
		return errors.Errorf("server %.60q: a name has 1 to %d visible ASCII characters", a.Server, maxNameBytes)
	}
	if a.State == Gone {
		return nil
	}
	if a.Service == "" {
		return errors.Errorf("server %q: the service is missing", a.Server)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errors.Errorf("server %q: address %q is not an IP number with a port", a.Server, a.Address)
	}
	if a.State != Serving && a.State != Leaving && a.State != Gone {
		return errors.Errorf("server %q: state %q is unknown", a.Server, a.State)
	}
	if a.Slots < 0 || a.WarmupLeft < 0 || a.StartedAt < 0 {
		return errors.Errorf("server %q: slots %d, cold time %d ms or start %d is negative", a.Server, a.Slots, a.WarmupLeft, a.StartedAt)
	}
	return nil
}

// validServerName reports whether a server can have this name. Entries send it in a header
// field, where a line break would begin another field.
func validServerName(name string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r > '~' }
	return name != "" && len(name) <= maxNameBytes && strings.IndexFunc(name, invalid) < 0
}

// isNewerThan reports whether a is newer than b. Both must be of the same server.
func (a Announcement) isNewerThan(b Announcement) bool {
	if a.StartedAt != b.StartedAt {
		return a.StartedAt > b.StartedAt
	}
	return a.Sequence > b.Sequence
}
