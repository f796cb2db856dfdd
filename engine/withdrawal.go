package engine

import (
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/ratelimit"
	"github.com/galenaslip/galenaslip/withdrawal"
)

// Withdrawal is what a server says in the header of a response about not taking requests.
type Withdrawal struct {
	Leaving bool         // the server leaves and wants no more requests
	Pause   clock.Millis // the server wants no requests for this time; 0 if it asks for no pause
	// Limit is how many requests the server takes from all entries together. It says nothing if
	// LimitUnreadable is set.
	Limit           ratelimit.Limit
	LimitUnreadable bool
}

// withdrawalOf returns what a response says about not taking requests. Only a response with
// status 503 can ask for a pause.
func withdrawalOf(r *fasthttp.Response) Withdrawal {
	w := Withdrawal{Leaving: string(r.Header.Peek(HeaderLeaving)) == "true"}
	if r.StatusCode() == fasthttp.StatusServiceUnavailable {
		retryAfter, date := r.Header.Peek(fasthttp.HeaderRetryAfter), r.Header.Peek(fasthttp.HeaderDate)
		w.Pause = withdrawal.ParseRetryAfter(string(retryAfter), string(date))
	}
	values := lo.Map(r.Header.PeekAll(HeaderRateLimit), func(v []byte, _ int) string { return string(v) })
	limit, readable := ratelimit.ParseLimit(values)
	w.Limit, w.LimitUnreadable = limit, !readable
	return w
}
