package relay

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/galenaslip/galenaslip/catalog"
	"github.com/galenaslip/galenaslip/clock"
)

const (
	// maxSends bounds how often one request is sent, refusals included.
	maxSends = 4
	// sendReserve is the least time left with which a request is sent again.
	sendReserve = 30 * clock.Millisecond
	// repeatAfter is how many times its target a request that may run again waits
	// for its first byte before it goes to another server.
	repeatAfter = 2.5
	// notRunShare is the part of the retry budget for requests that a server has
	// refused.
	notRunShare = 0.4
	// lateRetry is how many targets later a request that would begin too late may
	// come back.
	lateRetry = 2
	// minRepeatAfter keeps requests with a short target from being sent twice.
	minRepeatAfter = 200 * clock.Millisecond
)

var noDeadline time.Time

// exchange is one request of a caller with everything that is done for it.
type exchange struct {
	relay    *Relay
	caller   *callerConn
	request  request
	call     RequestInfo
	route    catalog.Route
	service  string
	hop      ForwardInfo
	need     need
	revision uint64 // of the catalog that decided
	deadline clock.Millis
	runs     int // servers that may have run the request
	sends    int
	last     *whole // the newest failure that a server answered
	out      output
}

// whole is a server's complete answer.
type whole struct {
	attempt *attempt
	body    []byte
}

func newExchange(c *callerConn, q request) *exchange {
	return &exchange{relay: c.relay, caller: c, request: q}
}

// run answers the request and reports whether the connection stays open.
func (x *exchange) run() bool {
	x.out = output{exchange: x, closes: x.request.head.ClosesConnection() || x.relay.stopping.Load()}
	if x.request.refusal != nil {
		x.out.closes = true
		return x.refuse(*x.request.refusal)
	}
	var err error
	x.call, err = x.relay.options.Protocol.RequestInfo(x.request.head)
	if err != nil {
		return x.refuse(refusal{status: statusBadRequest, reason: "malformed", err: err})
	}
	if r := x.accept(); r != nil {
		return x.refuse(*r)
	}
	x.caller.onGone(nil)
	return x.serve()
}

// accept finds the route and the workspace. The lease is checked before the
// catalog is read: what is read then is at least as new.
func (x *exchange) accept() *refusal {
	leased := x.relay.Leased()
	c := x.relay.catalog.Load()
	x.revision = c.Revision()
	path, _, _ := strings.Cut(x.request.head.Target, "?")
	route, ok := c.Route(hostOf(x.request.head.Get("Host")), path)
	switch {
	case c.Revision() == 0:
		return &refusal{status: statusUnavailable, reason: "no_catalog", retryAfter: coreRetry}
	case !leased && (!ok || !route.Public):
		return &refusal{status: statusUnavailable, reason: "no_lease", retryAfter: coreRetry}
	case !ok:
		return &refusal{status: statusNotFound, reason: "no_route"}
	}
	x.route = route
	var workspace catalog.Workspace
	if c.NeedsKeys() && !route.Public {
		workspace, ok = c.Workspace(x.call.Key)
		if !ok {
			return &refusal{status: statusUnauthorized, reason: "no_workspace"}
		}
		x.hop.Workspace = workspace.Name
	}
	x.hop.Urgency, x.hop.HasUrgency = c.Urgency(workspace, route), route.ForEngine
	x.service = route.ChooseService(rand.Float64())
	x.deadline = x.request.arrived + route.Timeout
	if x.call.TimeLeft > 0 {
		x.deadline = min(x.deadline, x.request.arrived+x.call.TimeLeft)
	}
	x.hop.LastEvent = x.call.LastEvent
	x.describeNeed(c)
	return nil
}

// hostOf returns the host without its port.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return host
}

func (x *exchange) describeNeed(c *catalog.Catalog) {
	x.need = need{
		service: x.service, prompt: x.route.ForEngine, tokens: x.call.PromptTokens, target: x.route.Target,
		rank: x.hop.Urgency, below: c.RankCount() - 1 - x.hop.Urgency, yields: c.IsLeastUrgent(x.route) && x.call.LastEvent == "",
	}
	x.need.output = x.call.LengthHint
	if x.need.output == 0 {
		x.need.output = x.call.OutputTokens / 2
	}
	if n := len(x.call.Parts); n > 1 {
		x.need.affinity = x.call.Parts[n-2].ID
		for _, p := range x.call.Parts[:n-1] {
			x.need.shared += p.Tokens
		}
	}
}

// serve sends the request until it is answered.
func (x *exchange) serve() bool {
	x.relay.budget.first(x.relay.clock.Now(), x.service)
	for {
		a := x.begin()
		if a.late {
			return x.refuse(refusal{status: statusUnavailable, reason: "late", retryAfter: lateRetry * x.route.Target, work: a.work})
		}
		if a.server == nil {
			return x.giveUp()
		}
		keep, done := x.try(a)
		if done {
			return keep
		}
		if !x.mayRepeat(a) {
			return x.giveUp()
		}
	}
}

// begin chooses a server. The attempt has none if there is none to use.
func (x *exchange) begin() *attempt {
	a := &attempt{exchange: x, repeatable: x.repeatable()}
	a.server = x.relay.fleet.pick(x.relay.clock.Now(), x.need, a)
	if a.server == nil {
		return a
	}
	x.sends++
	x.need.yields = false
	x.hop.Server = a.server.record.Server
	return a
}

// repeatable reports whether a request that may have run can be sent again after
// the present attempt.
func (x *exchange) repeatable() bool {
	return x.route.RepeatPolicy != catalog.OnceOnly && x.runs+1 < x.route.Attempts
}

// try sends the request once. It reports whether the request is over and, if so,
// whether the connection stays open.
func (x *exchange) try(a *attempt) (keep, done bool) {
	x.caller.onGone(a.interrupt)
	defer func() {
		a.release()
		x.relay.fleet.end(a.server, a)
		x.logAttempt(a)
	}()
	now := x.relay.clock.Now()
	if now >= x.deadline {
		return x.timeOut(a), true
	}
	x.hop.TimeLeft = x.deadline - now
	onceOnly := x.route.RepeatPolicy == catalog.OnceOnly
	if !a.send(x.requestBytes(x.hop), onceOnly, x.attemptDeadline(a, now)) {
		return x.afterFailure(a)
	}
	x.relay.fleet.firstByte(a.server, a)
	if x.route.Stream && a.head.Status == statusOK {
		return x.stream(a)
	}
	return x.pass(a)
}

// attemptDeadline gives a request that may go elsewhere less than all its time.
func (x *exchange) attemptDeadline(a *attempt, now clock.Millis) clock.Millis {
	if !a.repeatable || x.route.Stream {
		return x.deadline
	}
	wait := max(clock.Millis(repeatAfter*float64(x.route.Target)), minRepeatAfter)
	return min(x.deadline, now+wait)
}

// afterFailure decides after an attempt without an answer.
func (x *exchange) afterFailure(a *attempt) (keep, done bool) {
	if x.caller.isGone() {
		return x.callerLeft(), true
	}
	if a.result == resultFailed || a.result == resultAbandoned {
		x.runs++
		if x.relay.clock.Now() >= x.deadline {
			return x.timeOut(a), true
		}
	}
	return false, false
}

// pass passes a whole answer on.
func (x *exchange) pass(a *attempt) (keep, done bool) {
	body, ok := a.readBody()
	if !ok {
		return x.afterFailure(a)
	}
	switch {
	case a.answer.NotRun && a.head.Status == statusMisdirected:
		a.fail(resultStranger, nil)
		return false, false
	case a.answer.NotRun:
		a.fail(resultNotRun, nil)
		return false, false
	case a.head.Status >= 500 || promisesNotRun(a.head.Status):
		x.runs++
		a.fail(resultFailed, nil)
		x.last = &whole{attempt: a, body: body}
		return false, false
	}
	a.result = resultAnswered
	return x.out.whole(a, body), true
}

// mayRepeat reports whether the request can be sent again.
func (x *exchange) mayRepeat(a *attempt) bool {
	now := x.relay.clock.Now()
	if x.sends >= maxSends || x.deadline-now < sendReserve || x.caller.isGone() {
		return false
	}
	x.need.excluded = append(x.need.excluded, a.server.record.Server)
	if a.result == resultUnreachable {
		return true // nothing reached a server
	}
	mayRun := x.runs > 0 && a.result != resultNotRun && a.result != resultStranger
	if mayRun && (x.route.RepeatPolicy == catalog.OnceOnly || x.runs >= x.route.Attempts) {
		return false
	}
	return a.wasPaid() || x.relay.budget.repeat(now, x.service, x.budgetShare(a.result))
}

// budgetShare keeps a part of the retry budget for requests that a server has
// lost: a server that is full may be full again.
func (x *exchange) budgetShare(r result) float64 {
	if r == resultNotRun && x.route.Tier > 0 {
		return notRunShare
	}
	return 1
}

// giveUp gives the final answer of a request that no server has answered.
func (x *exchange) giveUp() bool {
	now := x.relay.clock.Now()
	switch {
	case x.caller.isGone():
		return x.callerLeft()
	case x.out.begun:
		return x.out.cut()
	case x.last != nil && !promisesNotRun(x.last.attempt.head.Status):
		return x.out.whole(x.last.attempt, x.last.body)
	case x.runs > 0 && now >= x.deadline:
		return x.refuse(refusal{status: statusGatewayTimeout, reason: "timeout"})
	case x.runs > 0:
		return x.refuse(refusal{status: statusBadGateway, reason: "server_lost"})
	}
	return x.refuse(refusal{status: statusUnavailable, reason: "no_server", retryAfter: x.retryAfter()})
}

// timeOut answers a request whose time has passed.
func (x *exchange) timeOut(a *attempt) bool {
	a.result = resultAbandoned
	if x.out.begun {
		return x.out.cut()
	}
	if x.runs == 0 {
		return x.refuse(refusal{status: statusUnavailable, reason: "timeout_unsent"})
	}
	return x.refuse(refusal{status: statusGatewayTimeout, reason: "timeout"})
}

// retryAfter tells the caller when a server may be free.
func (x *exchange) retryAfter() clock.Millis {
	return min(max(x.route.Target/2, minRetryAfter), maxRetryAfter)
}
