package entry

import (
	"context"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/engine"
)

// announced is the place of an announcement in the order of its server's.
type announced struct {
	incarnation uint64
	sequence    uint64
}

func placeOf(a backend.Announcement) announced {
	return announced{incarnation: a.Incarnation(), sequence: a.Sequence()}
}

// connectionFailed reports whether a call failed because its server could not be
// reached or broke the connection. The end of ctx is no fault of the server.
func connectionFailed(ctx context.Context, err error) bool {
	var f *engine.Failure
	var p *problem
	if ctx.Err() != nil || errors.Is(err, errNoLease) || errors.As(err, &p) || !errors.As(err, &f) {
		return false
	}
	return f.Kind == engine.NotSent || f.Kind == engine.Lost || f.Kind == engine.Silent
}

// avoid takes a server out of use until it announces itself again. Its slots look
// free because everything on it has failed, and its last announcement would keep
// it usable for up to 3 s.
func (d *dispatcher) avoid(now clock.Millis, name string) {
	if s, ok := d.registry.Server(now, name); ok {
		d.unreached[name] = placeOf(s.Announcement)
		d.applyStops(now)
	}
}

// stillUnreached returns the servers without an announcement since they failed.
func (d *dispatcher) stillUnreached(now clock.Millis) []string {
	var names []string
	for name, at := range d.unreached {
		s, ok := d.registry.Server(now, name)
		if !ok || placeOf(s.Announcement) != at {
			delete(d.unreached, name)
			continue
		}
		names = append(names, name)
	}
	return names
}
