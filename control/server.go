package control

import (
	"encoding/json"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
)

// The paths of the API.
const (
	pathConfiguration = "/v1/configuration"
	pathChanges       = "/v1/configuration/changes"
	pathHistory       = "/v1/configuration/history"
	pathDiff          = "/v1/configuration/diff"
	pathRenew         = "/v1/leases/renew"
	pathAcquire       = "/v1/claims/acquire"
	pathSend          = "/v1/claims/send"
	pathSettle        = "/v1/claims/settle"
	pathLookup        = "/v1/claims/lookup"
	pathReplication   = "/v1/replication"
	pathMembers       = "/v1/members"
	pathJoin          = "/v1/members/join"
	pathRemove        = "/v1/members/remove"
	pathCatalog       = "/v1/catalog"
	pathServers       = "/v1/servers"
	pathWatch         = "/v1/watch"
)

// headerForwarded marks a request that a member has forwarded to the leader. It
// is not forwarded again, so two members that disagree make no loop.
const headerForwarded = "X-Galenaslip-Forwarded"

const headerKey = "Idempotency-Key"

func (c *Control) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:      "galenaslip control",
		BodyLimit:    maxBody,
		ErrorHandler: respondError,
		// A date in each answer to a heartbeat is a tenth of the idle traffic.
		DisableDefaultDate: true,
	})
	app.Get("/healthz", func(f fiber.Ctx) error { return f.SendString("ok") })
	app.Get("/readyz", c.ready)
	app.Get("/metrics", adaptor.HTTPHandler(c.metrics.handler()))
	app.Get("/debug/state", c.guard(everyone, c.debugState))

	app.Get(pathConfiguration, c.guard(everyone, c.atLeader(c.getConfiguration)))
	app.Post(pathChanges, c.guard(operators, c.atLeader(c.postChange)))
	app.Get(pathHistory, c.guard(everyone, c.atLeader(c.getHistory)))
	app.Get(pathDiff, c.guard(everyone, c.atLeader(c.getDiff)))

	app.Post(pathRenew, c.guard(peersOnly, c.atLeader(c.postRenewal)))
	app.Post(pathAcquire, c.guard(peersOnly, c.atLeader(c.postAcquire)))
	app.Post(pathSend, c.guard(peersOnly, c.atLeader(c.postSend)))
	app.Post(pathSettle, c.guard(peersOnly, c.atLeader(c.postSettle)))
	app.Post(pathLookup, c.guard(peersOnly, c.atLeader(c.postLookup)))

	app.Post(pathReplication, c.guard(peersOnly, c.postReplication))
	app.Get(pathMembers, c.guard(everyone, c.getMembers))
	app.Post(pathJoin, c.guard(everyone, c.atLeader(c.postJoin)))
	app.Post(pathRemove, c.guard(operators, c.atLeader(c.postRemove)))

	app.Get(pathCatalog, c.guard(everyone, c.atLeader(c.getCatalog)))
	app.Put(pathCatalog, c.guard(everyone, c.atLeader(c.putCatalog)))
	app.Post(pathServers, c.guard(peersOnly, c.atLeader(c.postServers)))
	app.Post(pathWatch, c.guard(peersOnly, c.postWatch))
	return app
}

// guard refuses a request without a valid token.
func (c *Control) guard(r role, next fiber.Handler) fiber.Handler {
	return func(f fiber.Ctx) error {
		if !c.tokens.allow(f, r) {
			c.metrics.unauthorized.Inc()
			c.options.Logger.Log(event.UnauthorizedRefused, zap.String("path", f.Path()), zap.String("from", f.IP()))
			return problem{fiber.StatusUnauthorized, outcome.ReasonUnauthorized, outcome.NotRun, "a valid bearer token is required"}
		}
		c.metrics.requests.WithLabelValues(f.Route().Path).Inc()
		return next(f)
	}
}

// problem is an error answer.
type problem struct {
	status  int
	reason  outcome.Reason
	outcome outcome.Kind
	message string
}

// Error returns the message of the answer.
func (p problem) Error() string { return p.message }

func invalid(status int, err error) problem {
	return problem{status, outcome.ReasonInvalidRequest, outcome.NotRun, err.Error()}
}

func notRun(message string) problem {
	return problem{fiber.StatusServiceUnavailable, outcome.ReasonControlUnavailable, outcome.NotRun, message}
}

func unknown(message string) problem {
	return problem{fiber.StatusServiceUnavailable, outcome.ReasonControlUnavailable, outcome.Unknown, message}
}

// respondError writes the error object. Errors of fiber itself come before any
// handler has run.
func respondError(f fiber.Ctx, err error) error {
	p, ok := err.(problem) //nolint:errorlint // Handlers return problems unwrapped.
	if !ok {
		p = problem{fiber.StatusInternalServerError, outcome.ReasonInvalidRequest, outcome.Unknown, err.Error()}
	}
	if e, isFiber := err.(*fiber.Error); isFiber { //nolint:errorlint // As above.
		p = problem{e.Code, outcome.ReasonInvalidRequest, outcome.NotRun, e.Message}
	}
	data, err := json.Marshal(wireError{Error: wireProblem{
		Message: p.message, Type: "control_error", Code: p.reason, Outcome: p.outcome,
	}})
	if err != nil {
		return err
	}
	return sendJSON(f, p.status, data)
}

func sendJSON(f fiber.Ctx, status int, data []byte) error {
	f.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return f.Status(status).Send(data)
}

// respond sends an encoded value.
func respond(f fiber.Ctx) func(data []byte, err error) error {
	return func(data []byte, err error) error {
		if err != nil {
			return err
		}
		return sendJSON(f, fiber.StatusOK, data)
	}
}

func respondValue(f fiber.Ctx, value any) error {
	return respond(f)(json.Marshal(value))
}

func (c *Control) ready(f fiber.Ctx) error {
	s := c.log.Load().Status()
	if c.stopping.Load() || s.Leader == "" || s.Failure != nil {
		return notRun("no leader is known, the disk has failed, or the process is stopping")
	}
	return f.SendString("ready")
}

func queryRevision(f fiber.Ctx, name string, fallback uint64) (uint64, error) {
	text := f.Query(name)
	if text == "" {
		return fallback, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalid(fiber.StatusBadRequest, err)
	}
	return revision, nil
}
