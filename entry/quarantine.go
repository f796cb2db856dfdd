package entry

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/backend"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/configuration"
	"github.com/galenaslip/galenaslip/engine"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/quarantine"
)

const (
	// endCheckTimeout bounds the connection attempt with which a server is checked.
	endCheckTimeout = 1 * clock.Second
	// quarantineInterval is how often the quarantine is told of the known servers.
	quarantineInterval = 500 * clock.Millisecond
)

// endObserver has a request judged by the quarantine, and tells the quarantine whether the
// servers that run the request end. Only the request's goroutine uses it.
type endObserver struct {
	entry       *Entry
	request     *callerRequest
	digest      string         // identifies requests with the same path, caller and body
	partIDs     []string       // of the messages of a chat request
	judged      bool           // the request was judged, which happens before it is first sent
	probe       bool           // the request is sent although it is quarantined
	tried       quarantine.Key // what the request is a trial of; zero if it is none
	serverEnded *atomic.Bool   // a server has ended under the request
	attempt     observedAttempt
}

// observedAttempt is what the observer knows of the present attempt.
type observedAttempt struct {
	assignment
	begun    bool         // the server has begun to answer
	begunAt  clock.Millis // valid if begun is set
	refused  bool         // the server has not got the request, or has refused it
	lost     bool         // the connection was lost
	lostAt   clock.Millis // valid if lost is set
	survived bool         // the quarantine knows that the request has not ended its server
}

// newEndObserver returns the observer of a request that the server gets under a path. The host
// that the caller has used is not part of the digest, because servers do not see it.
func newEndObserver(e *Entry, r *callerRequest, method, path string, body []byte) *endObserver {
	digest := quarantine.Digest(r.workspace, method, "", path, body)
	return &endObserver{entry: e, request: r, digest: digest, serverEnded: &atomic.Bool{}}
}

// subject returns what the quarantine looks at in the request.
func (o *endObserver) subject() quarantine.Subject {
	digest := o.digest
	return quarantine.Subject{Service: o.request.pool, Parts: o.partIDs, Digest: func() string { return digest }}
}

// subjectAtServer is subject for what has happened at the server of the present attempt.
func (o *endObserver) subjectAtServer() quarantine.Subject {
	s := o.subject()
	s.Version = o.attempt.version
	return s
}

// subjectToSend is subject for the decision whether the request may be sent: it includes the
// servers that may still end under the same request.
func (o *endObserver) subjectToSend() quarantine.Subject {
	s := o.subject()
	s.Unsettled = o.entry.endChecks.Unsettled(o.digest)
	return s
}

// judge returns the reason why the request must not be sent, or nil. It decides once for each
// request: later attempts depend on mayRepeat.
func (o *endObserver) judge() *problem {
	if o.judged {
		return nil
	}
	o.judged = true
	e := o.entry
	// The request must not be sent to the next server if it has ended those at which it was abandoned.
	e.endChecks.Await(e.endChecks.CheckAbandoned(o.digest)...)
	verdict := e.quarantine.Check(e.options.Clock.Now(), o.subjectToSend(), max(len(e.leases.entries()), 1))
	switch {
	case verdict.Refused:
		// The caller is not told to come back: the request would end the next server too.
		return invalid(outcome.ReasonQuarantined, "", "backend servers ended when they ran this request")
	case verdict.Pending:
		p := notRun(outcome.ReasonSuspect, "backend servers ended when they ran this request; it is tried apart")
		p.retryAfter = verdict.RetryAfter
		return p
	}
	o.probe = verdict.Probe
	if verdict.Probe {
		o.log(event.QuarantinedRequestSent, verdict)
	}
	if verdict.Trial {
		o.beginTrial(verdict.Part)
	}
	return nil
}

// beginTrial records that the request is sent as a trial.
func (o *endObserver) beginTrial(key quarantine.Key) {
	now := o.entry.options.Clock.Now()
	o.tried = key
	o.entry.quarantine.BeginTrial(now, key)
	suspect := o.entry.quarantine.Suspect(now, key)
	o.log(event.SuspectRequestSent, quarantine.Verdict{Part: key, Ends: len(suspect.Servers)})
}

func (o *endObserver) log(e event.Event, verdict quarantine.Verdict) {
	o.entry.options.Logger.Log(e, zap.String("request", o.request.id),
		zap.String("part", verdict.Part.Text()), zap.Int("ends", verdict.Ends))
}

// beginAttempt records that the request is about to be sent to the assigned server.
func (o *endObserver) beginAttempt(a assignment) {
	o.attempt = observedAttempt{assignment: a}
}

// recordProgress records that a part of the answer has arrived.
func (o *endObserver) recordProgress() {
	if o.attempt.survived {
		return
	}
	now := o.entry.options.Clock.Now()
	if !o.attempt.begun {
		o.attempt.begun, o.attempt.begunAt = true, now
	}
	if now-o.attempt.begunAt >= quarantine.SurvivalTime {
		o.recordSurvival()
	}
}

// recordHead returns a function for the hook that runs when the head of a response has arrived. It
// is for answers that are read whole, whose head is the begin of the answer.
func (o *endObserver) recordHead(next func(w engine.Withdrawal)) func(w engine.Withdrawal) {
	return func(w engine.Withdrawal) {
		o.recordProgress()
		next(w)
	}
}

// recordSurvival records that the server has answered the request whole, or for a while.
func (o *endObserver) recordSurvival() {
	if o.attempt.survived {
		return
	}
	o.attempt.survived = true
	o.entry.quarantine.RecordSurvival(o.entry.options.Clock.Now(), o.subjectAtServer(), o.probe)
}

// recordFailure records why a call of the attempt failed. A server whose host refuses
// connections has ended.
func (o *endObserver) recordFailure(err error) {
	now := o.entry.options.Clock.Now()
	switch engine.FailureKindOf(err) {
	case engine.Lost:
		o.attempt.lost, o.attempt.lostAt = true, now
	case engine.Refused:
		o.attempt.refused = true
	case engine.NotSent:
		o.attempt.refused = true
		if errors.Is(err, syscall.ECONNREFUSED) && o.entry.isServing(o.attempt.assignment) {
			o.entry.quarantine.RecordServerEnd(now, o.request.pool, o.attempt.run())
		}
	}
}

// recordReconnect records that the server still accepts connections and has kept the answer.
func (o *endObserver) recordReconnect() {
	o.attempt.lost = false
}

// recordServerEnd has it checked whether the server has ended under the request, if the
// connection was lost, and records that if so. If it was not lost, the server may still be working on
// the request.
func (o *endObserver) recordServerEnd() {
	a, e := o.attempt, o.entry
	if !a.lost {
		o.recordAbandoned()
		return
	}
	if !e.isServing(a.assignment) {
		return
	}
	recordEnd := o.endRecorder()
	e.endChecks.Await(e.endChecks.ConnectionLost(a.run(), a.address,
		func() quarantine.Listening { return e.checkListening(a.assignment) },
		func() { recordEnd(a.lostAt) }))
}

// recordAbandoned records that this entry has ended the attempt, while the server may still be
// working on the request. The end of the server is recorded if it becomes known soon after.
func (o *endObserver) recordAbandoned() {
	a, e := o.attempt, o.entry
	if a.refused || a.survived || !e.isServing(a.assignment) {
		return
	}
	recordEnd := o.endRecorder()
	e.endChecks.RequestAbandoned(a.run(), a.address, o.digest,
		func() quarantine.Listening { return e.checkListening(a.assignment) },
		func() { recordEnd(e.options.Clock.Now()) })
}

// endRecorder returns a function that records that the server of the attempt has ended under the
// request. It may be called much later, so it does not keep the request in memory.
func (o *endObserver) endRecorder() func(at clock.Millis) {
	a, known, subject, serverEnded := o.attempt, o.entry.quarantine, o.subjectAtServer(), o.serverEnded
	loss := quarantine.Loss{Sent: a.assignedAt, Begun: a.begun, Repeated: serverEnded.Load(), Tried: o.tried}
	return func(at clock.Millis) {
		loss := loss
		loss.At = at
		if loss.Begun {
			loss.Answering = at - a.begunAt
		}
		serverEnded.Store(true)
		known.RecordEnd(subject, a.run(), loss)
	}
}

// mayRepeat reports whether the request may be sent to another server after it has lost one: it
// must not take the next one down as well. A server that went on answering for a while has ended
// for another reason. A doubtful request is repeated as a trial.
func (o *endObserver) mayRepeat() bool {
	if o.attempt.survived {
		return true
	}
	now, subject := o.entry.options.Clock.Now(), o.subjectToSend()
	isTrial := o.probe || o.tried != (quarantine.Key{})
	if isTrial || !o.entry.quarantine.MayRepeat(now, subject) {
		return false
	}
	if key, doubtful := o.entry.quarantine.Doubtful(now, subject); doubtful {
		o.beginTrial(key)
	}
	return true
}

// run returns the run of the assigned server.
func (a assignment) run() quarantine.ServerRun {
	return quarantine.ServerRun{Server: a.server, StartedAt: int64(a.incarnation)}
}

// isServing reports whether the server of an assignment serves: one that leaves ends by its own
// decision or by that of an operator.
func (e *Entry) isServing(a assignment) bool {
	serving, p := queryDispatcher(e, func(now clock.Millis) bool {
		s, known := e.dispatcher.registry.Server(now, a.server)
		_, stops := e.leases.configuration().StopFor(configuration.StopServer, a.server)
		return known && !stops && s.State() == backend.Serving && !e.dispatcher.withdrawals[a.server].Leaving()
	})
	return p == nil && serving
}

// checkListening finds out whether a process listens at the address of an assigned server.
func (e *Entry) checkListening(a assignment) quarantine.Listening {
	newest, p := queryDispatcher(e, func(now clock.Millis) bool {
		s, known := e.dispatcher.registry.Server(now, a.server)
		return known && s.Incarnation() == a.incarnation
	})
	if p != nil || !newest {
		return quarantine.ListeningUnknown // the address may be that of a later run
	}
	ctx, cancel := context.WithTimeout(e.ctx, endCheckTimeout.Duration())
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.address)
	switch {
	case err == nil:
		_ = conn.Close()
		return quarantine.ListeningYes
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.ListeningNo
	}
	return quarantine.ListeningUnknown
}

// logServerEnd logs the end of a server.
func (e *Entry) logServerEnd(run quarantine.ServerRun, lostRequests int) {
	e.options.Logger.Log(event.BackendServerEnded, zap.String("server", run.Server),
		zap.Int64("incarnation", run.StartedAt), zap.Int("requests", lostRequests))
}

// refreshQuarantine tells the quarantine of the known servers and logs which requests are
// quarantined when that has changed.
func (e *Entry) refreshQuarantine() {
	e.endChecks.DropExpired()
	servers, p := queryDispatcher(e, func(now clock.Millis) []backend.Server { return e.dispatcher.registry.Servers(now) })
	if p != nil {
		return
	}
	counts := map[string]int{}
	for _, s := range servers {
		e.endChecks.ServerAnnounced(quarantine.ServerRun{Server: s.Server(), StartedAt: int64(s.Incarnation())}, s.Address())
		if s.State() != backend.Serving {
			continue
		}
		for _, pool := range s.Pools() {
			counts[pool]++
		}
	}
	e.quarantine.SetServerCounts(counts)
	e.logQuarantine()
}

// logQuarantine logs which requests are quarantined when that has changed.
func (e *Entry) logQuarantine() {
	now := e.options.Clock.Now()
	keys := e.quarantine.Quarantined(now)
	if slices.Equal(keys, e.loggedQuarantine) {
		return
	}
	added, ended := lo.Difference(keys, e.loggedQuarantine)
	for _, key := range added {
		suspect := e.quarantine.Suspect(now, key)
		e.options.Logger.Log(event.RequestQuarantined, zap.String("pool", key.Service), zap.String("part", key.Text()),
			zap.Strings("servers", suspect.Servers), zap.Int("answers", suspect.Survivals), zap.Float64("score", suspect.Score))
	}
	for _, key := range ended {
		e.options.Logger.Log(event.RequestQuarantineEnded, zap.String("pool", key.Service), zap.String("part", key.Text()))
	}
	e.loggedQuarantine = keys
}

// wireSuspect is the JSON form of quarantine.Suspect.
type wireSuspect struct {
	Pool        string   `json:"pool"`
	Part        string   `json:"part"`
	Quarantined bool     `json:"quarantined"`
	Servers     []string `json:"servers"`
	Answers     int      `json:"answers"`
	Score       float64  `json:"score"`
	Required    float64  `json:"required_score"`
}

// describeSuspects returns the requests under which servers have ended.
func (e *Entry) describeSuspects() []wireSuspect {
	return lo.Map(e.quarantine.Suspects(e.options.Clock.Now()), func(s quarantine.Suspect, _ int) wireSuspect {
		return wireSuspect{
			Pool: s.Service, Part: s.Text(), Quarantined: s.Quarantined, Servers: s.Servers, Answers: s.Survivals,
			Score: s.Score, Required: s.Required,
		}
	})
}
