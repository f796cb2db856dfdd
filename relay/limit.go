package relay

import (
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/ratelimit"
)

// recordLimit records how many requests the server takes if its response to the request says so.
// A response without a limit ends the limit, but not one that may be of another server: a
// response without an ID, or to a misdirected request.
func (x *exchange) recordLimit(a *attempt) {
	limit := a.responseInfo.Limit
	isOther := a.head.Status == statusMisdirected
	isUncertainEnd := !limit.Exists() && a.responseInfo.ID != x.requestInfo.ID
	if !a.responseInfo.LimitKnown || isOther || isUncertainEnd {
		return
	}
	now := x.relay.clock.Now()
	limit, changed := x.relay.serverLimits.Record(now, ratelimit.Run(a.run), limit, a.chosenAt, a.firstByteAt)
	if !changed {
		return
	}
	rate := 0.0
	if limit.Exists() {
		rate = limit.Rate()
	}
	x.relay.options.Logger.Log(event.ServerLimited, zap.String("server", a.server.record.Server),
		zap.Int64("started_at", a.run.StartedAt), zap.Float64("rate", rate), zap.String("request", x.requestInfo.ID))
}
