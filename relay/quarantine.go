package relay

import (
	"io"
	"slices"
	"syscall"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/quarantine"
)

// subject returns what the quarantine looks at in the request.
func (x *exchange) subject() quarantine.Subject {
	return quarantine.Subject{Service: x.service, Parts: x.partIDs}
}

// checkQuarantine returns a refusal if a part of the request's prompt is quarantined or suspect.
// A request that is let through as a probe or as a trial is marked.
func (x *exchange) checkQuarantine() *refusal {
	x.partIDs = lo.Map(x.requestInfo.Parts, func(p Part, _ int) string { return p.ID })
	verdict := x.relay.quarantine.Check(x.relay.clock.Now(), x.subject(), x.relay.fleet.entries())
	x.probe = verdict.Probe
	if verdict.Trial {
		x.tried = verdict.Part
		x.relay.options.Logger.Log(event.SuspectTried, zap.String("request", x.requestInfo.ID),
			zap.String("part", verdict.Part.Part), zap.Int("ends", verdict.Ends))
	}
	if verdict.Probe {
		x.relay.options.Logger.Log(event.QuarantineProbed, zap.String("request", x.requestInfo.ID),
			zap.String("part", verdict.Part.Part), zap.Int("ends", verdict.Ends))
	}
	if verdict.Pending {
		return &refusal{status: statusUnavailable, reason: "part_suspect", retryAfter: verdict.RetryAfter}
	}
	if !verdict.Refused {
		return nil
	}
	// The caller is not told to come back: the request would end the next server too.
	err := errors.Errorf("servers ended under part %q of the prompt: %d", verdict.Part.Part, verdict.Ends)
	return &refusal{status: statusBadRequest, reason: "quarantined", err: err}
}

// recordSurvival records that the server has answered the request whole, or for a while, so that
// the parts of its prompt are less suspect.
func (x *exchange) recordSurvival(a *attempt) {
	if a.survived {
		return
	}
	a.survived = true
	x.relay.quarantine.RecordSurvival(x.relay.clock.Now(), x.subject(), x.probe)
}

// recordProgress records that the stream goes on.
func (x *exchange) recordProgress(a *attempt) {
	if !a.survived && x.relay.clock.Now()-a.firstByteAt >= quarantine.SurvivalTime {
		x.recordSurvival(a)
	}
}

// maxEndCheckWait is the longest time that a request waits for the check whether its server has
// ended, before it is sent to another one or the caller, who may come again at once, is told.
const maxEndCheckWait = 50 * clock.Millisecond

// recordServerEnd has it checked whether the server has ended under the request, after the
// connection was lost in the middle of the answer, and records that if so.
func (x *exchange) recordServerEnd(a *attempt) {
	if a.result != resultFailed || a.body == nil || a.wasInterrupted() || !endedByServer(a.err) {
		return
	}
	r := x.relay
	address, serving := r.fleet.servingAddress(a.server)
	if !serving {
		return
	}
	now := r.clock.Now()
	subject, loss := x.subject(), quarantine.Loss{At: now, Answering: now - a.firstByteAt, Repeated: x.serverEnded.Load(), Tried: x.tried}
	check := func() quarantine.Listening { return r.fleet.checkListening(a.server, a.run) }
	checked := r.fleet.endChecks.ConnectionLost(a.run, address, check, func() {
		x.serverEnded.Store(true)
		r.quarantine.RecordEnd(subject, a.run, loss)
	})
	waited, stop := r.clock.After(maxEndCheckWait)
	defer stop()
	select {
	case <-checked:
	case <-waited:
	}
}

// recordRefusedConnection records that a server has ended if its host refuses connections.
func (x *exchange) recordRefusedConnection(a *attempt) {
	if a.result != resultUnreachable || !errors.Is(a.err, syscall.ECONNREFUSED) {
		return
	}
	if _, serving := x.relay.fleet.servingAddress(a.server); serving {
		x.relay.quarantine.RecordServerEnd(x.relay.clock.Now(), x.service, a.run)
	}
}

// endedByServer reports whether an error means that the server has closed the connection.
func endedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// logQuarantine logs which parts are quarantined when that has changed.
func (r *Relay) logQuarantine() {
	parts := r.quarantine.Quarantined(r.clock.Now())
	if slices.Equal(parts, r.loggedQuarantine) {
		return
	}
	added, ended := lo.Difference(parts, r.loggedQuarantine)
	for _, key := range added {
		suspect := r.quarantine.Suspect(r.clock.Now(), key)
		r.options.Logger.Log(event.PartQuarantined, zap.String("service", key.Service), zap.String("part", key.Part),
			zap.Strings("servers", suspect.Servers), zap.Int("answers", suspect.Survivals), zap.Float64("score", suspect.Score))
	}
	for _, key := range ended {
		r.options.Logger.Log(event.QuarantineEnded, zap.String("service", key.Service), zap.String("part", key.Part))
	}
	r.loggedQuarantine = parts
}

// ReleasePart ends the quarantine of a part at all entries and reports whether the part is
// known.
func (r *Relay) ReleasePart(service, part string) bool {
	known := r.quarantine.Release(r.clock.Now(), quarantine.NewKey(service, part))
	r.options.Logger.Log(event.QuarantineReleased, zap.String("service", service), zap.String("part", part), zap.Bool("known", known))
	return known
}
