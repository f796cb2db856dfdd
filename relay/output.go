package relay

import (
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/frame"
)

// Status codes of the relay's own answers. 408, 421, 429 and 503 promise that the
// request has not run and will not run; the others promise nothing.
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
	// coreRetry is when a caller is told to come back while control is away: an
	// election and the first news take about as long.
	coreRetry     = 2500 * clock.Millisecond
	minRetryAfter = 100 * clock.Millisecond
	maxRetryAfter = 1 * clock.Second
)

func promisesNotRun(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooMany, statusUnavailable:
		return true
	}
	return false
}

// refusal is an answer of the relay's own.
type refusal struct {
	status     int
	reason     string
	retryAfter clock.Millis
	work       float64 // prompt tokens at the engine that would have begun too late
	err        error
}

// output writes the answer to the caller.
type output struct {
	exchange *exchange
	closes   bool // the connection closes after the answer
	begun    bool // the head of a stream was sent
}

func (x *exchange) refuse(r refusal) bool {
	x.relay.metrics.refusals.WithLabelValues(r.reason, strconv.Itoa(r.status)).Inc()
	x.logRefusal(r)
	return x.out.refuse(r)
}

func (o *output) refuse(r refusal) bool {
	x := o.exchange
	headers := x.relay.options.Protocol.Refusal(x.call)
	if r.retryAfter > 0 {
		seconds := strconv.FormatFloat(float64(r.retryAfter)/float64(clock.Second), 'f', 3, 64)
		headers = append(headers, frame.Header{Name: "Retry-After", Value: seconds})
	}
	body := []byte(`{"error":{"code":"` + r.reason + `"}}` + "\n")
	headers = append(headers, frame.Header{Name: "Content-Type", Value: "application/json"})
	return o.message(frame.Head{Status: r.status, Reason: http.StatusText(r.status)}, headers, body)
}

// whole passes a server's answer on unchanged.
func (o *output) whole(a *attempt, body []byte) bool {
	headers := a.head.EndToEnd()
	if o.exchange.request.head.Method == http.MethodHead && a.head.Has("Content-Length") {
		headers = append(headers, frame.Header{Name: "Content-Length", Value: a.head.Get("Content-Length")})
		return o.send(a.head, headers, nil)
	}
	o.exchange.logAnswer(a)
	return o.message(a.head, headers, body)
}

func (o *output) message(head frame.Head, headers []frame.Header, body []byte) bool {
	if head.Status != http.StatusNoContent && head.Status != http.StatusNotModified {
		headers = append(headers, frame.Header{Name: "Content-Length", Value: strconv.Itoa(len(body))})
	}
	if o.exchange.request.head.Method == http.MethodHead {
		body = nil
	}
	return o.send(head, headers, body)
}

func (o *output) send(head frame.Head, headers []frame.Header, body []byte) bool {
	if o.closes {
		headers = append(headers, frame.Header{Name: "Connection", Value: "close"})
	}
	data := make([]byte, 0, 512+len(body))
	data = head.Append(data, headers)
	err := o.exchange.caller.write(append(data, body...))
	return err == nil && !o.closes
}

// begin writes the head of a stream together with its first events.
func (o *output) begin(a *attempt, events []byte) error {
	headers := a.head.EndToEnd()
	if o.exchange.request.head.MinorVersion == 0 {
		o.closes = true // HTTP/1.0 knows no chunks: the end of the connection ends the stream
	} else {
		headers = append(headers, frame.Header{Name: "Transfer-Encoding", Value: "chunked"})
	}
	if o.closes {
		headers = append(headers, frame.Header{Name: "Connection", Value: "close"})
	}
	o.begun = true
	return o.exchange.caller.write(o.chunk(a.head.Append(make([]byte, 0, 1024+len(events)), headers), events))
}

func (o *output) events(events []byte) error {
	return o.exchange.caller.write(o.chunk(make([]byte, 0, len(events)+16), events))
}

func (o *output) chunk(data, events []byte) []byte {
	switch {
	case len(events) == 0:
		return data
	case o.exchange.request.head.MinorVersion == 0:
		return append(data, events...)
	}
	return frame.AppendChunk(data, events)
}

// finish ends a stream that is complete.
func (o *output) finish() bool {
	if o.exchange.request.head.MinorVersion == 0 {
		return false
	}
	return o.exchange.caller.write([]byte(frame.LastChunk)) == nil && !o.closes
}

// cut ends an answer that cannot be completed: the connection closes before the
// last chunk, so the answer does not look whole.
func (o *output) cut() bool {
	x := o.exchange
	x.relay.metrics.cuts.Inc()
	x.relay.options.Logger.Log(event.StreamCut, zap.String("request", x.call.ID), zap.String("route", x.route.Name),
		zap.Int("runs", x.runs), zap.String("last_event", x.hop.LastEvent))
	return false
}

func (x *exchange) logRefusal(r refusal) {
	x.relay.options.Logger.Log(event.RequestRefused, zap.String("request", x.call.ID), zap.String("route", x.route.Name),
		zap.Int("status", r.status), zap.String("reason", r.reason), zap.Int("sends", x.sends), zap.Int("runs", x.runs),
		zap.Int64("age_ms", int64(x.relay.clock.Now()-x.request.arrived)),
		zap.Uint64("revision", x.revision), zap.Float64("work", r.work), zap.Error(r.err))
}

// callerLeft logs that the request is given up; its connection ends.
func (x *exchange) callerLeft() (keep bool) {
	x.relay.options.Logger.Log(event.CallerDisconnected, zap.String("request", x.call.ID), zap.String("route", x.route.Name),
		zap.Int("sends", x.sends), zap.Int("runs", x.runs), zap.String("last_event", x.hop.LastEvent),
		zap.Int64("age_ms", int64(x.relay.clock.Now()-x.request.arrived)))
	return false
}

func (x *exchange) logAnswer(a *attempt) {
	now := x.relay.clock.Now()
	x.relay.metrics.answered(x.route.Name, a.head.Status, a.firstByteAt-x.request.arrived, now-x.request.arrived)
	x.relay.options.Logger.Log(event.RequestAnswered, zap.String("request", x.call.ID), zap.String("route", x.route.Name),
		zap.String("server", a.server.record.Server), zap.Int("status", a.head.Status), zap.Int("sends", x.sends),
		zap.Float64("load", a.load), zap.Int64("load_age_ms", int64(a.loadAge)), zap.Int("urgency", x.hop.Urgency),
		zap.Uint64("revision", x.revision),
		zap.Int64("first_byte_ms", int64(a.firstByteAt-x.request.arrived)), zap.Int64("took_ms", int64(now-x.request.arrived)))
}

func (x *exchange) logAttempt(a *attempt) {
	x.relay.metrics.attempts.WithLabelValues(x.service, a.result.String()).Inc()
	if a.result == resultAnswered {
		return
	}
	x.relay.options.Logger.Log(event.AttemptFailed, zap.String("request", x.call.ID), zap.String("route", x.route.Name),
		zap.String("server", a.server.record.Server), zap.Stringer("result", a.result), zap.Int("status", a.head.Status),
		zap.Float64("load", a.load), zap.Int64("load_age_ms", int64(a.loadAge)), zap.Uint64("revision", x.revision),
		zap.Int64("took_ms", int64(x.relay.clock.Now()-a.sentAt)), zap.Error(a.err))
}
