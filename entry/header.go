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
	headerClass        = "X-Galenaslip-Class"
	headerWorkspace    = "X-Galenaslip-Workspace"
	headerRefuseIfLate = "X-Galenaslip-Refuse-If-Late"
	headerRequestID    = "X-Request-Id"
	headerKey          = "Idempotency-Key"
)

// requestIDPattern keeps identifiers safe in paths, headers and logs.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// header is what every request for work carries.
type header struct {
	id           string
	class        class.Class
	workspace    string
	refuseIfLate bool
}

// identify assigns the request's identifier and echoes it.
func identify(c fiber.Ctx) (string, *problem) {
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

// readHeader checks the headers and whether the entry takes new work at all.
func (e *Entry) readHeader(c fiber.Ctx) (header, *problem) {
	id, p := identify(c)
	if p != nil {
		return header{}, p
	}
	if e.refusing.Load() {
		return header{}, notRun(outcome.ReasonStopping, "the entry is stopping")
	}
	if !e.leases.valid() {
		return header{}, noLease()
	}
	name := string([]byte(c.Get(headerClass)))
	k, ok := e.leases.configuration().Class(name)
	if !ok {
		return header{}, invalid(outcome.ReasonUnknownClass, headerClass, "unknown class "+name)
	}
	workspace := string([]byte(c.Get(headerWorkspace)))
	if !class.ValidName(workspace) {
		return header{}, invalid(outcome.ReasonInvalidRequest, headerWorkspace, "invalid workspace "+workspace)
	}
	return header{id: id, class: k, workspace: workspace, refuseIfLate: c.Get(headerRefuseIfLate) == "true"}, nil
}
