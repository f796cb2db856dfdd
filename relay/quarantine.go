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

// checkQuarantine returns a refusal if a part of the request's prompt is quarantined. A
// request that is let through as a probe is marked.
func (x *exchange) checkQuarantine() *refusal {
	x.partIDs = lo.Map(x.requestInfo.Parts, func(p Part, _ int) string { return p.ID })
	verdict := x.relay.quarantine.Check(x.relay.clock.Now(), x.service, x.partIDs, x.relay.fleet.entries())
	x.probe = verdict.Probe
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

// recordWholeAnswer records that the server has answered the request whole, so that the parts
// of its prompt are less suspect.
func (x *exchange) recordWholeAnswer(a *attempt) {
	if a.head.Status < 300 {
		x.relay.quarantine.RecordAnswer(x.relay.clock.Now(), x.service, x.partIDs, x.probe)
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
	check := func() quarantine.Listening { return r.fleet.checkListening(a.server, a.run) }
	checked := r.fleet.endChecks.ConnectionLost(a.run, address, check, func() {
		r.quarantine.RecordEnd(now, x.service, x.partIDs, a.run, now-a.firstByteAt)
	})
	waited, stop := r.clock.After(maxEndCheckWait)
	defer stop()
	select {
	case <-checked:
	case <-waited:
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
		suspect := r.quarantine.Suspect(key)
		r.options.Logger.Log(event.PartQuarantined, zap.String("service", key.Service), zap.String("part", key.Part),
			zap.Strings("servers", suspect.Servers), zap.Int("answers", suspect.Answers))
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
