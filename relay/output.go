package relay

import (
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/continuation"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/frame"
)

// Status codes that the relay sends, or checks in responses of servers. In the relay's
// own responses, 408, 421, 429 and 503 guarantee that the request has not run and will
// not run; the others guarantee nothing.
const (
	statusOK             = http.StatusOK
	statusBadRequest     = http.StatusBadRequest
	statusUnauthorized   = http.StatusUnauthorized
	statusNotFound       = http.StatusNotFound
	statusRequestTimeout = http.StatusRequestTimeout
	statusBodyTooLarge   = http.StatusRequestEntityTooLarge
	statusMisdirected    = http.StatusMisdirectedRequest
	statusTooMany        = http.StatusTooManyRequests
	statusHeaderTooLarge = http.StatusRequestHeaderFieldsTooLarge
	statusNotImplemented = http.StatusNotImplemented
	statusBadGateway     = http.StatusBadGateway
	statusUnavailable    = http.StatusServiceUnavailable
	statusGatewayTimeout = http.StatusGatewayTimeout
)

const (
	// controlRetryAfter is the Retry-After time while control is unavailable. Electing
	// a leader and getting its first update takes about as long.
	controlRetryAfter = 2500 * clock.Millisecond
	minRetryAfter     = 100 * clock.Millisecond
	maxRetryAfter     = 1 * clock.Second
)

// guaranteesNotRun reports whether a status guarantees that the request did not run.
func guaranteesNotRun(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooMany, statusUnavailable:
		return true
	}
	return false
}

// refusal is an error response that the relay itself generates.
type refusal struct {
	status     int
	reason     string
	retryAfter clock.Millis
	engineWork float64             // work at the engine in equivalent prompt tokens, if refused as too late
	origin     continuation.Origin // of the stream that cannot go on
	limits     []string            // the limits of servers that have held the request back
	err        error               // cause, for the log
}

// output writes the response to the caller. The head is written once, by send or by
// sendEvents: a complete response cannot follow the beginning of a stream.
type output struct {
	exchange   *exchange
	closeAfter bool       // the connection closes after the response
	headSent   bool       // the head of the response was sent
	streamHead frame.Head // head of the server that began the stream
}

// message is a complete response.
type message struct {
	head    frame.Head
	headers []frame.Header
	body    []byte
	record  func() // counts and logs the response; called if it is sent
}

// refuse sends a refusal and reports whether the connection stays open.
func (x *exchange) refuse(r refusal) bool {
	headers := x.relay.options.Protocol.Refusal(x.requestInfo)
	if r.retryAfter > 0 {
		seconds := strconv.FormatFloat(float64(r.retryAfter)/float64(clock.Second), 'f', 3, 64)
		headers = append(headers, frame.Header{Name: "Retry-After", Value: seconds})
	}
	body := []byte(`{"error":{"code":"` + r.reason + `"}}` + "\n")
	headers = append(headers, frame.Header{Name: "Content-Type", Value: "application/json"})
	return x.out.send(message{
		head: frame.Head{Status: r.status, Reason: http.StatusText(r.status)}, headers: withLength(r.status, headers, body),
		body: body, record: func() { x.recordRefusal(r) },
	})
}

// fullResponse forwards a server's complete response to the caller and reports
// whether the connection stays open.
func (o *output) fullResponse(a *attempt, body []byte) bool {
	headers := a.head.EndToEnd()
	switch {
	case o.exchange.request.head.Method != http.MethodHead:
		headers = withLength(a.head.Status, headers, body)
	case a.head.Has("Content-Length"):
		headers = append(headers, frame.Header{Name: "Content-Length", Value: a.head.Get("Content-Length")})
	}
	return o.send(message{head: a.head, headers: headers, body: body, record: func() { o.exchange.logAnswer(a) }})
}

// withLength returns the header fields with the length of the body, if a response with the
// status may have one.
func withLength(status int, headers []frame.Header, body []byte) []frame.Header {
	if status == http.StatusNoContent || status == http.StatusNotModified {
		return headers
	}
	return append(headers, frame.Header{Name: "Content-Length", Value: strconv.Itoa(len(body))})
}

// send writes a complete response and reports whether the connection stays open. It leaves
// the body out if the request has the method HEAD. If a streamed response has begun, it writes
// nothing and cuts the stream.
func (o *output) send(m message) bool {
	if o.headSent {
		return o.cutStream()
	}
	o.headSent = true
	m.record()
	if o.closeAfter {
		m.headers = append(m.headers, frame.Header{Name: "Connection", Value: "close"})
	}
	if o.exchange.request.head.Method == http.MethodHead {
		m.body = nil
	}
	data := make([]byte, 0, 512+len(m.body))
	data = m.head.Append(data, m.headers)
	err := o.exchange.caller.write(append(data, m.body...))
	return err == nil && !o.closeAfter
}

// sendEvents writes events of a streamed response, after its head unless that was sent.
func (o *output) sendEvents(a *attempt, events []byte) error {
	data := make([]byte, 0, 1024+len(events))
	if !o.headSent {
		o.headSent, o.streamHead = true, a.head
		data = a.head.Append(data, o.streamHeaders(a))
	}
	return o.exchange.caller.write(o.appendEvents(data, events))
}

// streamHeaders returns the header fields of a streamed response. A closed connection means a complete
// response to a caller of HTTP/1.0, so whatever ends the stream before finishStream resets it.
func (o *output) streamHeaders(a *attempt) []frame.Header {
	headers := a.head.EndToEnd()
	if o.exchange.request.head.MinorVersion == 0 {
		o.closeAfter = true // HTTP/1.0 has no chunks: closing the connection ends the stream
		o.exchange.caller.setResetOnClose(true)
	} else {
		headers = append(headers, frame.Header{Name: "Transfer-Encoding", Value: "chunked"})
	}
	if o.closeAfter {
		headers = append(headers, frame.Header{Name: "Connection", Value: "close"})
	}
	return headers
}

// appendEvents appends events to data, as one chunk unless the caller uses HTTP/1.0.
func (o *output) appendEvents(data, events []byte) []byte {
	switch {
	case len(events) == 0:
		return data
	case o.exchange.request.head.MinorVersion == 0:
		return append(data, events...)
	}
	return frame.AppendChunk(data, events)
}

// finishStream ends a complete stream and reports whether the connection stays open.
func (o *output) finishStream() bool {
	if o.exchange.request.head.MinorVersion == 0 {
		o.exchange.caller.setResetOnClose(false)
		return false
	}
	return o.exchange.caller.write([]byte(frame.LastChunk)) == nil && !o.closeAfter
}

// cutStream ends a stream that cannot be completed. The connection closes before the
// last chunk, so that the caller can tell that the response is incomplete. That of a caller of
// HTTP/1.0 is reset; see streamHeaders.
func (o *output) cutStream() bool {
	x := o.exchange
	x.relay.metrics.streamsCut.Inc()
	x.relay.options.Logger.Log(event.StreamCut, zap.String("request", x.requestInfo.ID), zap.String("route", x.route.Name),
		zap.Int("runs", x.possibleRuns), zap.String("last_event", x.forwardInfo.LastEventID))
	return false
}

// recordRefusal records a refusal in the metrics and the log.
func (x *exchange) recordRefusal(r refusal) {
	x.relay.metrics.refusals.WithLabelValues(r.reason, strconv.Itoa(r.status)).Inc()
	x.relay.options.Logger.Log(event.RequestRefused, zap.String("request", x.requestInfo.ID), zap.String("route", x.route.Name),
		zap.Int("status", r.status), zap.String("reason", r.reason), zap.Int("sends", x.attempts), zap.Int("runs", x.possibleRuns),
		zap.Int64("age_ms", int64(x.relay.clock.Now()-x.request.arrivedAt)),
		zap.Uint64("revision", x.revision), zap.Float64("work", r.engineWork), zap.Strings("limits", r.limits), zap.String("version", r.origin.Version), zap.Error(r.err))
}

// abandon logs that the caller has disconnected and that the request is abandoned.
// It returns false, as the connection ends.
func (x *exchange) abandon() (keepOpen bool) {
	x.relay.options.Logger.Log(event.CallerDisconnected, zap.String("request", x.requestInfo.ID), zap.String("route", x.route.Name),
		zap.Int("sends", x.attempts), zap.Int("runs", x.possibleRuns), zap.String("last_event", x.forwardInfo.LastEventID),
		zap.Int64("age_ms", int64(x.relay.clock.Now()-x.request.arrivedAt)))
	return false
}

// logAnswer records a forwarded response in the metrics and the log.
func (x *exchange) logAnswer(a *attempt) {
	now := x.relay.clock.Now()
	x.relay.durations.Record(now, x.route.Name, now-x.request.arrivedAt)
	x.relay.metrics.recordAnswer(x.route.Name, a.head.Status, a.firstByteAt-x.request.arrivedAt, now-x.request.arrivedAt)
	x.relay.options.Logger.Log(event.RequestAnswered, zap.String("request", x.requestInfo.ID), zap.String("route", x.route.Name),
		zap.String("server", a.server.record.Server), zap.String("version", a.version), zap.String("resumes", x.requestInfo.Resumes),
		zap.Int("status", a.head.Status), zap.Int("sends", x.attempts),
		zap.Float64("load", a.load), zap.Int64("load_age_ms", int64(a.loadAge)), zap.Int("urgency", x.forwardInfo.Urgency),
		zap.Uint64("revision", x.revision),
		zap.Int64("first_byte_ms", int64(a.firstByteAt-x.request.arrivedAt)), zap.Int64("took_ms", int64(now-x.request.arrivedAt)))
}

// logAttempt counts an attempt and logs it if it got no complete response.
func (x *exchange) logAttempt(a *attempt) {
	x.relay.metrics.recordAttempt(x.service, a.result.String())
	if a.result == resultAnswered {
		return
	}
	x.relay.options.Logger.Log(event.AttemptFailed, zap.String("request", x.requestInfo.ID), zap.String("route", x.route.Name),
		zap.String("server", a.server.record.Server), zap.Stringer("result", a.result), zap.Int("status", a.head.Status),
		zap.Float64("load", a.load), zap.Int64("load_age_ms", int64(a.loadAge)), zap.Uint64("revision", x.revision),
		zap.Int64("took_ms", int64(x.relay.clock.Now()-a.chosenAt)), zap.Error(a.err))
}
