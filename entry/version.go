package entry

import (
	"slices"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
)

// originsInService returns the versions of the servers of a pool that take work or will do so again.
func (d *dispatcher) originsInService(now clock.Millis, pool string) []continuation.Origin {
	var origins []continuation.Origin
	for _, s := range d.registry.Servers(now) {
		if s.State() == backend.Serving && s.Age < backend.MaxUsableAge && slices.Contains(s.Pools(), pool) {
			origins = append(origins, continuation.Origin{Service: pool, Version: s.Version()})
		}
	}
	return origins
}

// originGone reports whether no server is left that can continue the answer of a job.
func (d *dispatcher) originGone(now clock.Millis, j *job) bool {
	pool := j.callerRequest.pool
	_, verdict := continuation.Decide(continuation.Recorded, j.origin, pool, nil, d.originsInService(now, pool))
	return verdict != continuation.GoesOn
}

// serversOfOtherOrigins returns the servers that cannot continue the answer of a job.
func (d *dispatcher) serversOfOtherOrigins(now clock.Millis, j *job) []string {
	var names []string
	for _, s := range d.registry.Pool(now, j.callerRequest.pool) {
		if s.Version() != j.origin.Version {
			names = append(names, s.Server())
		}
	}
	return names
}

// canMove reports whether another server can continue the answer of a running job.
func (d *dispatcher) canMove(now clock.Millis, j *job) bool {
	return slices.ContainsFunc(d.registry.Pool(now, j.callerRequest.pool), func(s backend.Server) bool {
		return s.Server() != j.server && s.Version() == j.origin.Version
	})
}

// rejectWithoutOrigin ends a job whose answer no server can continue.
func (d *dispatcher) rejectWithoutOrigin(j *job) {
	d.options.Logger.Log(event.RequestWithoutVersion, zap.String("request", j.callerRequest.id), zap.String("version", j.origin.Version))
	d.dropJob(j)
	j.callerRequest.assigned <- assignment{
		rejection: unknown(outcome.ReasonBackendLost, "no backend server of the software version that began the answer is left"),
	}
}

// requeueHeldBack queues the items again that dispatch has held back.
func (d *dispatcher) requeueHeldBack(now clock.Millis) {
	for _, item := range d.heldBack {
		d.queue.Requeue(now, item)
	}
	d.heldBack = nil
}
