package entry

import (
	"encoding/json"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/outcome"
)

// problem is the error that a caller gets in place of an answer.
type problem struct {
	status     int // HTTP status
	outcome    outcome.Kind
	reason     outcome.Reason
	message    string
	param      string       // name of the invalid parameter or header, if any
	retryAfter clock.Millis // value for the Retry-After header; zero omits it
}

// Error implements error.
func (p *problem) Error() string { return string(p.reason) + ": " + p.message }

// invalid returns a problem for an invalid request, with status 400.
func invalid(reason outcome.Reason, param, message string) *problem {
	return &problem{status: fiber.StatusBadRequest, outcome: outcome.NotRun, reason: reason, param: param, message: message}
}

// notFound returns a problem for an unknown resource, with status 404.
func notFound(reason outcome.Reason, param, message string) *problem {
	return &problem{status: fiber.StatusNotFound, outcome: outcome.NotRun, reason: reason, param: param, message: message}
}

// notRun returns a problem for a request that has not run, with status 503.
func notRun(reason outcome.Reason, message string) *problem {
	return &problem{status: fiber.StatusServiceUnavailable, outcome: outcome.NotRun, reason: reason, message: message}
}

// unknown returns a problem for a request that may have run, with status 502.
func unknown(reason outcome.Reason, message string) *problem {
	return &problem{status: fiber.StatusBadGateway, outcome: outcome.Unknown, reason: reason, message: message}
}

// timedOut returns a problem for a request that may have run and took too long, with
// status 504.
func timedOut(message string) *problem {
	return &problem{status: fiber.StatusGatewayTimeout, outcome: outcome.Unknown, reason: outcome.ReasonBackendLost, message: message}
}

// shed returns a problem for a request that the queue did not accept or dropped, with
// status 429.
func shed(reason outcome.Reason, message string, retryAfter clock.Millis) *problem {
	return &problem{
		status: fiber.StatusTooManyRequests, outcome: outcome.NotRun, reason: reason, message: message, retryAfter: retryAfter,
	}
}

// withStatus returns a copy with another HTTP status.
func (p *problem) withStatus(status int) *problem {
	changed := *p
	changed.status = status
	return &changed
}

// asUnknown returns a copy whose outcome not_run is replaced by unknown, for a request of
// which an earlier attempt may have run. Other outcomes stay.
func (p *problem) asUnknown(reason outcome.Reason) *problem {
	if p.outcome != outcome.NotRun {
		return p
	}
	changed := *p
	changed.status, changed.outcome, changed.reason = fiber.StatusBadGateway, outcome.Unknown, reason
	return &changed
}

// wireError is the JSON form of a problem, an OpenAI error object.
type wireError struct {
	Error wireErrorBody `json:"error"`
}

type wireErrorBody struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Param   string         `json:"param,omitempty"`
	Code    outcome.Reason `json:"code"`
	Outcome outcome.Kind   `json:"outcome"`
}

// encode returns the problem as an OpenAI error object with an outcome.
func (p *problem) encode() []byte {
	body, err := json.Marshal(wireError{Error: wireErrorBody{
		Message: p.message, Type: p.kind(), Param: p.param, Code: p.reason, Outcome: p.outcome,
	}})
	if err != nil {
		panic(errors.Wrap(err, "encode error object"))
	}
	return body
}

// kind returns the type field of the OpenAI error object.
func (p *problem) kind() string {
	switch {
	case p.status == fiber.StatusTooManyRequests:
		return "rate_limit_error"
	case p.status < fiber.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// write sends the problem as the response.
func (p *problem) write(c fiber.Ctx) error {
	if p.retryAfter > 0 {
		seconds := (p.retryAfter + clock.Second - 1) / clock.Second
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	c.Status(p.status)
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(p.encode())
}

// problemForHTTPError converts an error from the HTTP server, such as a body above the
// limit, to a problem.
func problemForHTTPError(err error) *problem {
	var p *problem
	if errors.As(err, &p) {
		return p
	}
	status := fiber.StatusBadRequest
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	switch status {
	case fiber.StatusRequestEntityTooLarge:
		return invalid(outcome.ReasonTooLarge, "", "the body exceeds the size limit").withStatus(status)
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return invalid(outcome.ReasonTooLarge, "", "the headers exceed the size limit").withStatus(status)
	}
	return invalid(outcome.ReasonInvalidRequest, "", err.Error()).withStatus(status)
}
