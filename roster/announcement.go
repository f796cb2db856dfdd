package roster

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
)

// State is what a server wants to be used for.
type State string

// The states.
const (
	// Serving servers take new requests.
	Serving State = "serving"
	// Leaving servers finish what runs and take nothing new.
	Leaving State = "leaving"
	// Gone servers have left or were followed by another at their address.
	Gone State = "gone"
)

// Announcement is what a server says of itself.
type Announcement struct {
	Server           string
	Service          string
	Address          string // IP:port
	AvailabilityZone string
	Slots            int
	State            State
	WarmupLeft       clock.Millis // how much longer the server is slow after its start
	StartedAt        int64        // Unix time in ms; a later start follows an earlier one
	Sequence         uint64       // grows within one start
}

// WithState returns the announcement with another state.
func (a Announcement) WithState(s State) Announcement {
	a.State = s
	return a
}

// Validate returns an error for an announcement that names no usable server.
func (a Announcement) Validate() error {
	if a.Server == "" || a.Service == "" {
		return errors.Errorf("an announcement needs server and service, got %q and %q", a.Server, a.Service)
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

// follows reports whether a is newer than b, of the same server.
func (a Announcement) follows(b Announcement) bool {
	if a.StartedAt != b.StartedAt {
		return a.StartedAt > b.StartedAt
	}
	return a.Sequence > b.Sequence
}
