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
	return quarantine.Subject{Service: x.service, Parts: x.partIDs, Digest: x.digest}
}

// subjectAt is subject for what has happened at the server of an attempt.
func (x *exchange) subjectAt(a *attempt) quarantine.Subject {
	s := x.subject()
	s.Version = a.version
	return s
}

// subjectToSend is subject for the decision whether the request may be sent: it includes the
// servers that may still end under the same request.
func (x *exchange) subjectToSend() quarantine.Subject {
	s := x.subject()
	if checks := x.relay.fleet.endChecks; checks.HasAbandoned() {
		s.Unsettled = checks.Unsettled(x.digest())
	}
	return s
}

// digest returns the digest of the request. The caller is the workspace; requests to public
// routes have none.
func (x *exchange) digest() string {
	if x.requestDigest == "" {
		head := x.request.head
		x.requestDigest = quarantine.Digest(x.forwardInfo.Workspace, head.Method, stripPort(head.Get("Host")), head.Target, x.request.body)
	}
	return x.requestDigest
}

// checkQuarantine returns a refusal if a part of the request's prompt is quarantined or suspect.
// A request that is let through as a probe or as a trial is marked.
func (x *exchange) checkQuarantine() *refusal {
	x.checkAbandoned()
	x.partIDs = lo.Map(x.requestInfo.Parts, func(p Part, _ int) string { return p.ID })
	verdict := x.relay.quarantine.Check(x.relay.clock.Now(), x.subjectToSend(), x.relay.fleet.entries())
	x.probe = verdict.Probe
	if verdict.Trial {
		x.tried = verdict.Part
	}
	if verdict.Probe {
		x.relay.options.Logger.Log(event.QuarantineProbed, zap.String("request", x.requestInfo.ID),
			zap.String("part", verdict.Part.Text()), zap.Int("ends", verdict.Ends))
	}
	if verdict.Pending {
		return &refusal{status: statusUnavailable, reason: "part_suspect", retryAfter: verdict.RetryAfter}
	}
	if !verdict.Refused {
		return nil
	}
	// The caller is not told to come back: the request would end the next server too.
	err := errors.Errorf("servers ended under %q: %d", verdict.Part.Text(), verdict.Ends)
	return &refusal{status: statusBadRequest, reason: "quarantined", err: err}
}

// beginTrial records that the request is sent if it is a trial. It is called when there is a
// connection to a server.
func (x *exchange) beginTrial() {
	if x.tried == (quarantine.Key{}) || x.trialBegun {
		return
	}
	x.trialBegun = true
	x.relay.quarantine.BeginTrial(x.relay.clock.Now(), x.tried)
	x.relay.options.Logger.Log(event.SuspectTried, zap.String("request", x.requestInfo.ID), zap.String("part", x.tried.Text()))
}

// recordSurvival records that the server has answered the request whole, or for a while, so that
// the parts of its prompt are less suspect.
func (x *exchange) recordSurvival(a *attempt) {
	if a.survived {
		return
	}
	a.survived = true
	x.relay.quarantine.RecordSurvival(x.relay.clock.Now(), x.subjectAt(a), x.probe)
}

// recordProgress records that the stream goes on.
func (x *exchange) recordProgress(a *attempt) {
	if !a.survived && x.relay.clock.Now()-a.firstByteAt >= quarantine.SurvivalTime {
		x.recordSurvival(a)
	}
}

// recordServerEnd has it checked whether the server has ended under the request, after the
// connection was lost, and records that if so. If the relay has closed the connection itself, the
// server may still be working on the request: its end is recorded if it becomes known soon after.
func (x *exchange) recordServerEnd(a *attempt) {
	lost := a.result == resultFailed && !a.wasInterrupted() && endedByServer(a.err)
	if !lost && !a.mayRunOn() {
		return
	}
	r, s, run := x.relay, a.server, a.run
	address, serving := r.fleet.servingAddress(s)
	if !serving {
		return
	}
	recordEnd := x.endRecorder(a)
	if !lost {
		r.fleet.endChecks.RequestAbandoned(run, address, x.digest(),
			func() quarantine.Listening { return r.fleet.checkStillListening(s, run) },
			func() { recordEnd(r.clock.Now()) })
		return
	}
	lostAt := r.clock.Now()
	r.fleet.endChecks.Await(r.fleet.endChecks.ConnectionLost(run, address,
		func() quarantine.Listening { return r.fleet.checkListening(s, run) },
		func() { recordEnd(lostAt) }))
}

// endRecorder returns a function that records that the server of an attempt has ended under the
// request. It may be called much later, so it does not keep the request in memory.
func (x *exchange) endRecorder(a *attempt) func(at clock.Millis) {
	known, subject, digest, serverEnded, run := x.relay.quarantine, x.subjectAt(a), x.digest(), x.serverEnded, a.run
	subject.Digest = func() string { return digest }
	loss := quarantine.Loss{Sent: a.chosenAt, Begun: a.body != nil, Repeated: x.serverEnded.Load(), Tried: x.tried}
	firstByteAt := a.firstByteAt
	return func(at clock.Millis) {
		loss := loss
		loss.At = at
		if loss.Begun {
			loss.Answering = at - firstByteAt
		}
		serverEnded.Store(true)
		known.RecordEnd(subject, run, loss)
	}
}

// checkAbandoned checks the servers at which the same request was abandoned lately: it must not
// be sent to the next one if it has ended them.
func (x *exchange) checkAbandoned() {
	checks := x.relay.fleet.endChecks
	if checks.HasAbandoned() {
		checks.Await(checks.CheckAbandoned(x.digest())...)
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
		r.options.Logger.Log(event.PartQuarantined, zap.String("service", key.Service), zap.String("part", key.Text()),
			zap.Strings("servers", suspect.Servers), zap.Int("answers", suspect.Survivals), zap.Float64("score", suspect.Score))
	}
	for _, key := range ended {
		r.options.Logger.Log(event.QuarantineEnded, zap.String("service", key.Service), zap.String("part", key.Text()))
	}
	r.loggedQuarantine = parts
}

// ReleasePart ends the quarantine of a part, or of a request by the text form of its key, at all
// entries and reports whether it is known.
func (r *Relay) ReleasePart(service, part string) bool {
	known := r.quarantine.Release(r.clock.Now(), quarantine.ParseKey(service, part))
	r.options.Logger.Log(event.QuarantineReleased, zap.String("service", service), zap.String("part", part), zap.Bool("known", known))
	return known
}
