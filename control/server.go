package control

import (
	"encoding/json"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/outcome"
	"github.com/galenaslip/galenaslip/recovery"
)

// Paths of the control API.
const (
	pathConfiguration  = "/v1/configuration"
	pathChanges        = "/v1/configuration/changes"
	pathHistory        = "/v1/configuration/history"
	pathDiff           = "/v1/configuration/diff"
	pathRenew          = "/v1/leases/renew"
	pathAcquire        = "/v1/claims/acquire"
	pathMarkSent       = "/v1/claims/send"
	pathEndAttempt     = "/v1/claims/settle"
	pathLookup         = "/v1/claims/lookup"
	pathReplication    = "/v1/replication"
	pathMembers        = "/v1/members"
	pathJoin           = "/v1/members/join"
	pathRemove         = "/v1/members/remove"
	pathCatalog        = "/v1/catalog"
	pathServers        = "/v1/servers"
	pathServerBatch    = "/v1/servers/batch"
	pathServersInForce = "/v1/servers/in-force"
	pathWatch          = "/v1/watch"
	pathStreams        = "/v1/streams"
	pathStreamLookup   = "/v1/streams/lookup"
	pathHeartbeats     = "/v1/servers/heartbeats"
)

// headerForwarded marks a request that a member has forwarded to the leader.
// Such a request is not forwarded again, so that two members that disagree
// about the leader do not forward it in a loop.
const headerForwarded = "X-Galenaslip-Forwarded"

const headerIdempotencyKey = "Idempotency-Key"

func (c *Control) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:      "galenaslip control",
		BodyLimit:    maxBody,
		ErrorHandler: respondError,
		// The Date headers of the answers to heartbeats made up a tenth of the idle
		// traffic.
		DisableDefaultDate: true,
	})
	app.Use(recovery.Middleware(c.options.Logger))
	app.Get("/healthz", func(f fiber.Ctx) error { return f.SendString("ok") })
	app.Get("/readyz", c.getReadiness)
	app.Get("/metrics", adaptor.HTTPHandler(c.metrics.handler()))
	app.Get("/debug/state", c.requireToken(operatorsAndPeers, c.debugState))

	app.Get(pathConfiguration, c.requireToken(operatorsAndPeers, c.atLeader(c.getConfiguration)))
	app.Post(pathChanges, c.requireToken(operatorsOnly, c.atLeader(c.postChange)))
	app.Get(pathHistory, c.requireToken(operatorsAndPeers, c.atLeader(c.getHistory)))
	app.Get(pathDiff, c.requireToken(operatorsAndPeers, c.atLeader(c.getDiff)))

	app.Post(pathRenew, c.requireToken(peersOnly, c.atLeader(c.postRenewal)))
	app.Post(pathAcquire, c.requireToken(peersOnly, c.atLeader(c.postAcquire)))
	app.Post(pathMarkSent, c.requireToken(peersOnly, c.atLeader(c.postMarkSent)))
	app.Post(pathEndAttempt, c.requireToken(peersOnly, c.atLeader(c.postEndAttempt)))
	app.Post(pathLookup, c.requireToken(peersOnly, c.atLeader(c.postLookup)))

	app.Post(pathReplication, c.requireToken(peersOnly, c.postReplication))
	app.Get(pathMembers, c.requireToken(operatorsAndPeers, c.getMembers))
	app.Post(pathJoin, c.requireToken(operatorsAndPeers, c.atLeader(c.postJoin)))
	app.Post(pathRemove, c.requireToken(operatorsOnly, c.atLeader(c.postRemove)))

	app.Get(pathCatalog, c.requireToken(operatorsAndPeers, c.atLeader(c.getCatalog)))
	app.Put(pathCatalog, c.requireToken(operatorsAndPeers, c.atLeader(c.putCatalog)))
	app.Post(pathServers, c.requireToken(peersOnly, c.atLeader(c.postServers)))
	app.Post(pathServerBatch, c.requireToken(peersOnly, c.atLeader(c.postServerBatch)))
	app.Post(pathServersInForce, c.requireToken(peersOnly, c.atLeader(c.postServersInForce)))
	app.Post(pathHeartbeats, c.requireToken(peersOnly, c.atLeader(c.postHeartbeats)))
	app.Post(pathWatch, c.requireToken(peersOnly, c.postWatch))
	app.Post(pathStreams, c.requireToken(peersOnly, c.postStreams))
	app.Post(pathStreamLookup, c.requireToken(peersOnly, c.postStreamLookup))
	return app
}

// requireToken returns a handler that rejects requests without one of the allowed
// tokens. It counts all other requests and passes them to next.
func (c *Control) requireToken(allowed acceptedTokens, next fiber.Handler) fiber.Handler {
	return func(f fiber.Ctx) error {
		if !c.tokens.allows(f, allowed) {
			c.metrics.unauthorized.Inc()
			c.options.Logger.Log(event.UnauthorizedRefused, zap.String("path", f.Path()), zap.String("from", f.IP()))
			return apiError{fiber.StatusUnauthorized, outcome.ReasonUnauthorized, outcome.NotRun, "a valid bearer token is required"}
		}
		c.metrics.requests.WithLabelValues(f.Route().Path).Inc()
		return next(f)
	}
}

// apiError is an error with the contents of an HTTP error response.
type apiError struct {
	status  int
	reason  outcome.Reason
	outcome outcome.Kind
	message string
}

// Error returns the message of the error response.
func (e apiError) Error() string { return e.message }

// invalidError returns the error for a request that was rejected and had no
// effect.
func invalidError(status int, err error) apiError {
	return apiError{status, outcome.ReasonInvalidRequest, outcome.NotRun, err.Error()}
}

// notRunError returns the 503 error for a request that certainly had no effect.
func notRunError(message string) apiError {
	return apiError{fiber.StatusServiceUnavailable, outcome.ReasonControlUnavailable, outcome.NotRun, message}
}

// unknownError returns the 503 error for a request that may have taken effect
// or may still do so.
func unknownError(message string) apiError {
	return apiError{fiber.StatusServiceUnavailable, outcome.ReasonControlUnavailable, outcome.Unknown, message}
}

// respondError writes an error response. Errors of fiber itself, such as an
// unknown path, occur before any handler has run, so their outcome is not run.
func respondError(f fiber.Ctx, err error) error {
	response, ok := err.(apiError) //nolint:errorlint // Handlers return an apiError unwrapped.
	if !ok {
		response = apiError{fiber.StatusInternalServerError, outcome.ReasonInvalidRequest, outcome.Unknown, err.Error()}
	}
	if e, isFiber := err.(*fiber.Error); isFiber { //nolint:errorlint // fiber returns its errors unwrapped.
		response = apiError{e.Code, outcome.ReasonInvalidRequest, outcome.NotRun, e.Message}
	}
	data, err := json.Marshal(wireError{Error: wireErrorDetails{
		Message: response.message, Type: "control_error", Code: response.reason, Outcome: response.outcome,
	}})
	if err != nil {
		return err
	}
	return sendJSON(f, response.status, data)
}

func sendJSON(f fiber.Ctx, status int, data []byte) error {
	f.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return f.Status(status).Send(data)
}

// respond returns a function that sends the result of an encoder: the data, or
// the error.
func respond(f fiber.Ctx) func(data []byte, err error) error {
	return func(data []byte, err error) error {
		if err != nil {
			return err
		}
		return sendJSON(f, fiber.StatusOK, data)
	}
}

// respondValue sends a value as JSON.
func respondValue(f fiber.Ctx, value any) error {
	return respond(f)(json.Marshal(value))
}

func (c *Control) getReadiness(f fiber.Ctx) error {
	status := c.log.Load().Status()
	if c.stopping.Load() || status.Leader == "" || status.Failure != nil || status.DiskFailure != nil {
		return notRunError("no leader is known, the disk refuses writes, or the process is stopping")
	}
	return f.SendString("ready")
}

// queryRevision parses a revision from a query parameter. It returns fallback
// when the parameter is absent.
func queryRevision(f fiber.Ctx, name string, fallback uint64) (uint64, error) {
	text := f.Query(name)
	if text == "" {
		return fallback, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalidError(fiber.StatusBadRequest, err)
	}
	return revision, nil
}
