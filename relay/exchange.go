package relay

import (
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/forecast"
	"github.com/galenaslip/galenaslip/memory"
	"github.com/galenaslip/galenaslip/quarantine"
	"github.com/galenaslip/galenaslip/ratelimit"
)

const (
	// maxAttempts is the number of attempts per request that reach a server, including those
	// that a server refuses.
	maxAttempts = 4
	// maxUnsentTime is the time that a request may spend on attempts that reach no server.
	// Their number is not limited: where many servers have ended at once, several refuse
	// connections before one that still serves is chosen.
	maxUnsentTime = 4 * dialTimeout
	// minRetryTime is the time that must be left until the deadline for a retry to begin.
	minRetryTime = 30 * clock.Millisecond
	// attemptTimeoutTargets is the timeout of an attempt whose request can be sent to
	// another server afterwards, as a multiple of the latency target.
	attemptTimeoutTargets = 2.5
	// notRunRetryShare is the part of the retry budget that requests refused by a
	// server may use up.
	notRunRetryShare = 0.4
	// lateRetryAfterTargets is the Retry-After time of a request that is refused because
	// it would begin too late, as a multiple of the latency target.
	lateRetryAfterTargets = 2
	// minAttemptTime is the shortest timeout of an attempt. It keeps requests with a
	// short target from being sent twice without need.
	minAttemptTime = 200 * clock.Millisecond
)

// noDeadline removes the deadline of a connection.
var noDeadline time.Time

// exchange is one request of a caller together with its attempts and its response.
type exchange struct {
	relay        *Relay
	caller       *callerConn
	request      request
	requestInfo  RequestInfo
	route        catalog.Route
	service      string
	forwardInfo  ForwardInfo
	requirements requirements
	revision     uint64 // revision of the catalog that the request was routed by
	deadline     clock.Millis
	possibleRuns int           // number of attempts in which a server may have run the request
	attempts     int           // number of attempts so far
	unsent       int           // number of attempts in which nothing reached a server
	unsentTime   clock.Millis  // time spent on these attempts
	lastFailure  *fullResponse // newest failure for which a server sent a response
	out          output
	position     streamPosition       // of the caller, if the response is streamed
	memory       memory.Reservation   // for the responses of servers
	origin       *continuation.Origin // of the stream; nil before its first event
	begun        continuation.Record  // of the stream; its server is "" if that is not recorded
	begunAt      clock.Millis         // when the stream began
	continues    bool                 // the request continues a stream that broke off
	recordedAt   clock.Millis         // when the origin was recorded last

	versionChanged bool           // the server of the latest attempt turned out to be of another version
	serverPending  bool           // the leader has not heard yet of which version the server of the latest attempt is
	pendingFor     clock.Millis   // time after which the leader may know which version began or goes on with the stream
	partIDs        []string       // IDs of the parts of the prompt
	probe          bool           // the request is let through although a part of its prompt is quarantined
	tried          quarantine.Key // the suspect part of its prompt of which the request is a trial; zero if it is none
	trialBegun     bool           // the trial has been sent
	counted        bool           // the request is in the usage of its workspace
	serverEnded    *atomic.Bool   // a server has ended under the request
	requestDigest  string         // identifies requests with the same path, caller and body; "" until it is needed
}

// fullResponse is a server's complete response.
type fullResponse struct {
	attempt *attempt
	body    []byte
}

func newExchange(c *callerConn, req request) *exchange {
	return &exchange{
		relay: c.relay, caller: c, request: req, memory: c.relay.messageMemory.Begin(), serverEnded: &atomic.Bool{},
	}
}

// releaseMemory releases the memory of the request and its responses.
func (x *exchange) releaseMemory() {
	x.request.memory.Release()
	x.memory.Release()
}

// run handles the request and reports whether the caller's connection stays open.
func (x *exchange) run() bool {
	x.out = output{exchange: x, closeAfter: x.request.head.ClosesConnection() || x.relay.stopping.Load()}
	if x.request.refusal != nil {
		x.out.closeAfter = true
		return x.refuse(*x.request.refusal)
	}
	var err error
	x.requestInfo, err = x.relay.options.Protocol.RequestInfo(x.request.head)
	if err != nil {
		return x.refuse(refusal{status: statusBadRequest, reason: "malformed", err: err})
	}
	if r := x.findRoute(); r != nil {
		return x.refuse(*r)
	}
	x.caller.onDisconnect(nil)
	return x.sendWithRetries()
}

// findRoute finds the route and the workspace, or returns a refusal. It checks the
// lease before it reads the catalog, so that the catalog is at least as new as the
// one that the lease covers.
func (x *exchange) findRoute() *refusal {
	leased, mayDeny := x.relay.Leased(), x.relay.mayDeny()
	c := x.relay.catalog.Load()
	x.revision = c.Revision()
	path, _, _ := strings.Cut(x.request.head.Target, "?")
	route, ok := c.Route(stripPort(x.request.head.Get("Host")), path)
	switch {
	case c.Revision() == 0:
		return &refusal{status: statusUnavailable, reason: "no_catalog", retryAfter: controlRetryAfter}
	case !leased && (!ok || !route.Public):
		return &refusal{status: statusUnavailable, reason: "no_lease", retryAfter: controlRetryAfter}
	case !ok:
		return deniedUnless(mayDeny, refusal{status: statusNotFound, reason: "no_route"})
	}
	x.route = route
	var workspace catalog.Workspace
	if c.NeedsKeys() && !route.Public {
		workspace, ok = c.Workspace(x.requestInfo.Key)
		if !ok {
			return deniedUnless(mayDeny, refusal{status: statusUnauthorized, reason: "no_workspace"})
		}
		x.forwardInfo.Workspace = workspace.Name
	}
	x.forwardInfo.Urgency, x.forwardInfo.HasUrgency = c.Urgency(workspace, route), route.ForEngine
	x.service = route.ChooseService(rand.Float64())
	x.deadline = x.request.arrivedAt + route.Timeout
	if x.requestInfo.TimeLeft > 0 {
		x.deadline = min(x.deadline, x.request.arrivedAt+x.requestInfo.TimeLeft)
	}
	if x.relay.outlastsStop(route.Name, x.deadline) {
		return &refusal{status: statusUnavailable, reason: "stopping", retryAfter: minRetryAfter}
	}
	x.forwardInfo.LastEventID = x.requestInfo.LastEventID
	x.setRequirements(c)
	return nil
}

// deniedUnless returns a denial if it is certain, and otherwise a refusal that lets the caller
// try again.
func deniedUnless(certain bool, denial refusal) *refusal {
	if certain {
		return &denial
	}
	return &refusal{status: statusUnavailable, reason: "catalog_unconfirmed", retryAfter: minRetryAfter}
}

// stripPort returns the host without its port.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return host
}

// setRequirements derives the requirements from the request and its route. The last
// prompt part belongs to this request or its session alone, so it is not shared.
func (x *exchange) setRequirements(c *catalog.Catalog) {
	x.requirements = requirements{
		service: x.service, forEngine: x.route.ForEngine, promptTokens: x.requestInfo.PromptTokens,
		urgency: ratelimit.Urgency{Rank: x.forwardInfo.Urgency, Ranks: c.RankCount()}, refusable: x.refusable(c),
	}
	x.requirements.outputTokens = x.requestInfo.LengthHint
	if x.requirements.outputTokens == 0 {
		x.requirements.outputTokens = x.requestInfo.OutputTokens / 2
	}
	if n := len(x.requestInfo.Parts); n > 1 {
		x.requirements.affinityPartID = x.requestInfo.Parts[n-2].ID
		for _, p := range x.requestInfo.Parts[:n-1] {
			x.requirements.sharedTokens += p.Tokens
		}
	}
}

// refusable describes the request to the forecast of waits. It returns nil unless this is a
// new request to the least urgent route: no request is refused while a less urgent route is
// served, and a stream is not broken off.
func (x *exchange) refusable(c *catalog.Catalog) *forecast.Request {
	if !c.IsLeastUrgent(x.route) || x.requestInfo.LastEventID != "" {
		return nil
	}
	return &forecast.Request{
		Rank: x.forwardInfo.Urgency, LessUrgentRanks: c.RankCount() - 1 - x.forwardInfo.Urgency, Target: x.route.Target,
		TimeLeft: x.deadline - x.request.arrivedAt, PromptTokens: x.requestInfo.PromptTokens,
	}
}

// sendWithRetries sends the request, with retries, until the caller gets a response.
func (x *exchange) sendWithRetries() bool {
	x.relay.limiter.CountRequest(x.relay.clock.Now())
	if r := x.checkQuarantine(); r != nil {
		return x.refuse(*r)
	}
	if r := x.findOrigin(); r != nil {
		return x.refuse(*r)
	}
	for {
		a := x.beginAttempt()
		if a.tooLate {
			return x.refuse(refusal{status: statusUnavailable, reason: "late", retryAfter: lateRetryAfterTargets * x.route.Target, engineWork: a.engineWork})
		}
		if a.server == nil {
			return x.giveUp()
		}
		keepOpen, done := x.makeAttempt(a)
		if done {
			return keepOpen
		}
		if !x.mayRetry(a) {
			return x.giveUp()
		}
	}
}

// beginAttempt starts the next attempt. Its server is nil if none can be used, if the
// request would begin too late, or if the lease has ended: without one, the relay may not
// know that a server leaves or that a key was revoked.
func (x *exchange) beginAttempt() *attempt {
	a := &attempt{exchange: x, repeatable: x.repeatable()}
	if !x.route.Public && !x.relay.Leased() {
		return a
	}
	if !x.relay.fleet.pickServer(x.relay.clock.Now(), x.requirements, a) {
		return a
	}
	x.attempts++
	if x.attempts == 1 {
		x.relay.budget.CountRequest(a.chosenAt, x.service) // a request that no server gets allows no retries
	}
	x.requirements.refusable = nil // it has been sent
	a.forwardedTo = a.server.record.Server
	x.forwardInfo.Server, x.forwardInfo.CacheSource = a.forwardedTo, a.cacheSource
	if a.cacheSource != "" {
		x.relay.metrics.cacheSources.Inc()
	}
	return a
}

// repeatable reports whether the request may be sent to another server even if the
// next attempt may have run it. A trial is not, so it has nothing to gain from leaving a silent server.
func (x *exchange) repeatable() bool {
	return !x.isTrial() && x.route.RepeatPolicy != catalog.OnceOnly && x.possibleRuns+1 < x.route.MaxPossibleRuns
}

// makeAttempt makes one attempt. It reports whether the request is finished and, if so,
// whether the caller's connection stays open.
func (x *exchange) makeAttempt(a *attempt) (keepOpen, done bool) {
	x.caller.onDisconnect(a.interrupt)
	defer func() {
		x.recordServerEnd(a)
		x.recordRefusedConnection(a)
		a.release()
		if x.relay.fleet.endAttempt(a.server, a) {
			x.relay.options.Logger.Log(event.ServerSettled, zap.String("server", a.forwardedTo), zap.Int64("started_at", a.run.StartedAt))
		}
		x.logAttempt(a)
	}()
	now := x.relay.clock.Now()
	if now >= x.deadline {
		return x.timeOut(a), true
	}
	x.forwardInfo.TimeLeft = x.deadline - now
	onceOnly := x.route.RepeatPolicy == catalog.OnceOnly
	if !a.send(x.forwardInfo, onceOnly, x.attemptDeadline(a, now)) {
		return x.afterFailure(a)
	}
	x.relay.fleet.recordFirstByte(a.server, a)
	if !a.responseInfo.NotRun {
		x.countUsage(a.firstByteAt)
	}
	x.recordPause(a)
	if x.route.Stream && a.head.Status == statusOK && x.request.head.Method != http.MethodHead {
		return x.forwardStream(a)
	}
	return x.forwardResponse(a)
}

// countUsage counts a request that a server began to run, once however many servers run it.
func (x *exchange) countUsage(now clock.Millis) {
	if x.relay.options.Usage == nil || x.counted || x.forwardInfo.Workspace == "" {
		return
	}
	x.counted = true
	x.relay.options.Usage.Count(now, x.forwardInfo.Workspace)
}

// attemptDeadline returns the deadline of an attempt. It leaves time for another
// attempt if the request may be sent to another server and there is one.
func (x *exchange) attemptDeadline(a *attempt, now clock.Millis) clock.Millis {
	if !a.repeatable || a.onlyServer || x.route.Stream {
		return x.deadline
	}
	wait := max(clock.Millis(attemptTimeoutTargets*float64(x.route.Target)), minAttemptTime)
	return min(x.deadline, now+wait)
}

// afterFailure handles an attempt that got no complete response. Its results are
// those of makeAttempt.
func (x *exchange) afterFailure(a *attempt) (keepOpen, done bool) {
	if x.caller.isDisconnected() {
		return x.abandon(), true
	}
	if a.result == resultFailed && !a.wasInterrupted() && !errors.Is(a.err, os.ErrDeadlineExceeded) {
		// The server closed the connection without an answer: it ran the request, more often than not.
		x.countUsage(x.relay.clock.Now())
	}
	if a.result == resultFailed || a.result == resultAbandoned {
		x.possibleRuns++
		if x.relay.clock.Now() >= x.deadline {
			return x.timeOut(a), true
		}
	}
	return false, false
}

// forwardResponse reads a response that is not streamed and forwards it to the
// caller, unless it is a failure after which the request may be sent again. Its
// results are those of makeAttempt.
func (x *exchange) forwardResponse(a *attempt) (keepOpen, done bool) {
	if a.responseInfo.NotRun {
		if err := a.discardBody(); err != nil {
			a.failAfterSend(err)
			return x.afterFailure(a)
		}
		a.setResult(lo.Ternary(a.head.Status == statusMisdirected, resultWrongServer, resultNotRun), nil)
		return false, false
	}
	body, ok := a.readBody()
	if !ok {
		return x.afterFailure(a)
	}
	if a.head.Status >= 500 || guaranteesNotRun(a.head.Status) || x.out.headSent { // no other status resumes a stream
		x.possibleRuns++
		a.setResult(resultFailed, nil)
		x.lastFailure = &fullResponse{attempt: a, body: body}
		return false, false
	}
	a.result = resultAnswered
	x.recordSurvival(a)
	return x.out.fullResponse(a, body), true
}

// mayRetry reports whether the request may be sent again after attempt a. It takes
// a retry from the budget unless attempt a could not reach its server or the budget
// has already granted the retry.
func (x *exchange) mayRetry(a *attempt) bool {
	now := x.relay.clock.Now()
	if x.deadline-now < minRetryTime || x.caller.isDisconnected() {
		return false
	}
	x.requirements.excluded = append(x.requirements.excluded, a.server.record.Server)
	if a.result == resultUnreachable || a.result == resultWithdrawn {
		x.unsent++
		x.unsentTime += now - a.chosenAt
		return x.unsentTime < maxUnsentTime
	}
	if x.attempts-x.unsent >= maxAttempts {
		return false
	}
	mayHaveRun := x.possibleRuns > 0 && a.result != resultNotRun && a.result != resultWrongServer
	if mayHaveRun && (x.route.RepeatPolicy == catalog.OnceOnly || x.possibleRuns >= x.route.MaxPossibleRuns) {
		return false
	}
	if mayHaveRun && !x.mayRepeatAfterLoss(now) {
		return false
	}
	return a.hasRetryGrant() || x.takeRetry(now, a)
}

// takeRetry takes a retry from the budget of the service and reports whether one was left.
func (x *exchange) takeRetry(now clock.Millis, a *attempt) bool {
	r := x.relay
	if r.budget.Take(now, x.service, x.retryShare(a.result)) {
		return true
	}
	r.retryRefusals.Log(now, event.RetryRefused, zap.String("service", x.service), zap.String("request", x.requestInfo.ID), zap.Stringer("result", a.result))
	return false
}

// mayRepeatAfterLoss reports whether the request may be sent to another server after it has lost
// one: it must not take the next one down as well. A doubtful request is repeated as a trial.
func (x *exchange) mayRepeatAfterLoss(now clock.Millis) bool {
	subject := x.subjectToSend()
	if x.isTrial() || !x.relay.quarantine.MayRepeat(now, subject) {
		return false
	}
	if key, doubtful := x.relay.quarantine.Doubtful(now, subject); doubtful {
		x.tried = key
	}
	return true
}

// isTrial reports whether the request is let through to find out whether a part of it, or the
// request itself, ends servers.
func (x *exchange) isTrial() bool { return x.probe || x.tried != (quarantine.Key{}) }

// retryShare returns the part of the retry budget that a retry may use up. Refused
// requests, except those of tier 0, get only a part, because the next server may be
// full too. The rest is kept for requests that were lost with their server.
func (x *exchange) retryShare(r result) float64 {
	if r == resultNotRun && x.route.Tier > 0 {
		return notRunRetryShare
	}
	return 1
}

// giveUp sends the final response to a request that no attempt has completed, or cuts its
// stream.
func (x *exchange) giveUp() bool {
	now := x.relay.clock.Now()
	switch {
	case x.caller.isDisconnected():
		return x.abandon()
	case x.lastFailure != nil && !guaranteesNotRun(x.lastFailure.attempt.head.Status):
		return x.out.fullResponse(x.lastFailure.attempt, x.lastFailure.body)
	case x.versionChanged && !x.out.headSent:
		return x.refuse(x.refuseChangedVersion())
	case x.serverPending && !x.out.headSent:
		return x.refuse(x.refusePending())
	case x.possibleRuns > 0 && now >= x.deadline:
		return x.refuse(refusal{status: statusGatewayTimeout, reason: "timeout"})
	case x.possibleRuns > 0:
		return x.refuse(refusal{status: statusBadGateway, reason: "server_lost"})
	}
	return x.refuse(x.noServer())
}

// timeOut ends a request whose deadline has passed, or cuts its stream.
func (x *exchange) timeOut(a *attempt) bool {
	a.result = resultAbandoned
	if x.possibleRuns == 0 {
		return x.refuse(refusal{status: statusUnavailable, reason: "timeout_unsent"})
	}
	return x.refuse(refusal{status: statusGatewayTimeout, reason: "timeout"})
}

// retryAfter estimates when a server will be free, for the Retry-After field.
func (x *exchange) retryAfter() clock.Millis {
	return min(max(x.route.Target/2, minRetryAfter), maxRetryAfter)
}
