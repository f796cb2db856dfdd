package engine

import (
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/withdrawal"
)

// Withdrawal is what a server says in the header of a response about not taking requests.
type Withdrawal struct {
	Leaving bool         // the server leaves and wants no more requests
	Pause   clock.Millis // the server wants no requests for this time; 0 if it asks for no pause
}

// withdrawalOf returns what a response says about not taking requests. Only a response with
// status 503 can ask for a pause.
func withdrawalOf(r *fasthttp.Response) Withdrawal {
	w := Withdrawal{Leaving: string(r.Header.Peek(HeaderLeaving)) == "true"}
	if r.StatusCode() == fasthttp.StatusServiceUnavailable {
		retryAfter, date := r.Header.Peek(fasthttp.HeaderRetryAfter), r.Header.Peek(fasthttp.HeaderDate)
		w.Pause = withdrawal.ParseRetryAfter(string(retryAfter), string(date))
	}
	return w
}
