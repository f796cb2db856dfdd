package entry

import (
	"context"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
)

// announcementVersion identifies an announcement among all those of its server.
type announcementVersion struct {
	incarnation uint64
	sequence    uint64
}

// versionOf returns the version of an announcement.
func versionOf(a backend.Announcement) announcementVersion {
	return announcementVersion{incarnation: a.Incarnation(), sequence: a.Sequence()}
}

// connectionFailed reports whether a call failed because its server was unreachable,
// silent or closed the connection. An error after the end of ctx is not blamed on the
// server.
func connectionFailed(ctx context.Context, err error) bool {
	var f *engine.Failure
	var p *problem
	if ctx.Err() != nil || errors.Is(err, errNoLease) || errors.As(err, &p) || !errors.As(err, &f) {
		return false
	}
	return f.Kind == engine.NotSent || f.Kind == engine.Lost || f.Kind == engine.TimedOut
}

// markUnreachable excludes a server from new requests until its next announcement. Without
// that it would attract requests for up to 3 s: its last announcement is valid that long,
// and its slots look free because every request on it has failed.
func (d *dispatcher) markUnreachable(now clock.Millis, name string) {
	if s, ok := d.registry.Server(now, name); ok {
		d.unreachable[name] = versionOf(s.Announcement)
		d.applyStops(now)
	}
}

// unreachableServers returns the servers that have not announced themselves since they
// were found unreachable, and forgets all others.
func (d *dispatcher) unreachableServers(now clock.Millis) []string {
	var names []string
	for name, version := range d.unreachable {
		s, ok := d.registry.Server(now, name)
		if !ok || versionOf(s.Announcement) != version {
			delete(d.unreachable, name)
			continue
		}
		names = append(names, name)
	}
	return names
}
