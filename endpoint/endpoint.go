package endpoint

import (
	"net/netip"
	"strings"

	"github.com/pkg/errors"
)

// MaxNameBytes bounds the name of a server.
const MaxNameBytes = 128

// ValidName reports whether a server can have this name, which is of visible ASCII characters.
// Entries send it in a header field, where a line break would begin another field.
func ValidName(name string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r > '~' }
	return name != "" && len(name) <= MaxNameBytes && strings.IndexFunc(name, invalid) < 0
}

// Validate returns an error unless the address is the IP address and port of one server.
// Connecting to an unspecified address would reach this machine itself.
func Validate(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		return errors.Errorf("address %.60q is not an IP address with a port from 1 to 65535", address)
	}
	ip := a.Addr().Unmap()
	if ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return errors.Errorf("address %.60q is not that of one machine", address)
	}
	return nil
}
