package entry

import (
	"regexp"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/galenaslip/galenaslip/class"
	"github.com/galenaslip/galenaslip/outcome"
)

// Headers of the caller API.
const (
	headerClass          = "X-Galenaslip-Class"
	headerWorkspace      = "X-Galenaslip-Workspace"
	headerRefuseIfLate   = "X-Galenaslip-Refuse-If-Late"
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// requestIDPattern permits only identifiers that are safe in paths, headers and logs.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// requestAttributes holds the values parsed from the HTTP headers of a request.
type requestAttributes struct {
	id           string
	class        class.Class
	workspace    string
	refuseIfLate bool
}

// assignRequestID returns the request's identifier, or a new one when the caller sent
// none, and sets it in the response.
func assignRequestID(c fiber.Ctx) (string, *problem) {
	id := string([]byte(c.Get(headerRequestID)))
	if id == "" {
		id = uuid.NewString()
	}
	if !requestIDPattern.MatchString(id) {
		return "", invalid(outcome.ReasonInvalidRequest, headerRequestID, "invalid request identifier")
	}
	c.Set(headerRequestID, id)
	return id, nil
}

// readHeader parses and validates the HTTP headers of a request. It returns a problem also when the
// entry accepts no new work at all.
func (e *Entry) readHeader(c fiber.Ctx) (requestAttributes, *problem) {
	id, p := assignRequestID(c)
	if p != nil {
		return requestAttributes{}, p
	}
	if e.refusingNewWork.Load() {
		return requestAttributes{}, notRun(outcome.ReasonStopping, "the entry is stopping")
	}
	if !e.leases.valid() {
		return requestAttributes{}, noLease()
	}
	name := string([]byte(c.Get(headerClass)))
	requestClass, ok := e.leases.configuration().Class(name)
	if !ok {
		return requestAttributes{}, invalid(outcome.ReasonUnknownClass, headerClass, "unknown class "+name)
	}
	workspace := string([]byte(c.Get(headerWorkspace)))
	if !class.ValidName(workspace) {
		return requestAttributes{}, invalid(outcome.ReasonInvalidRequest, headerWorkspace, "invalid workspace "+workspace)
	}
	return requestAttributes{id: id, class: requestClass, workspace: workspace, refuseIfLate: c.Get(headerRefuseIfLate) == "true"}, nil
}
