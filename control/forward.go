package control

import (
	"context"
	"slices"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
)

// proposeTimeout is how long a request waits for its commit. After that time the
// leader answers with the outcome unknown, for example when it has no quorum.
const proposeTimeout = 2 * clock.Second

// notLeaderError is the error of a handler on a member that does not lead.
// Nothing was appended to the log.
type notLeaderError struct {
	leader string // address of the leader; empty when unknown
}

// Error returns the error message.
func (n notLeaderError) Error() string { return "this member does not lead" }

// atLeader returns a handler that runs next when this member leads, and
// otherwise forwards the request to the leader. A forwarded request is not
// forwarded again.
func (c *Control) atLeader(next fiber.Handler) fiber.Handler {
	return func(f fiber.Ctx) error {
		status := c.log.Load().Status()
		var redirect notLeaderError
		if status.Role != replica.Leader {
			redirect = notLeaderError{leader: status.Leader}
		} else if err := next(f); !errors.As(err, &redirect) {
			return err
		}
		return c.forward(f, redirect.leader)
	}
}

// forward sends the request to the leader and returns the leader's response to
// the caller.
func (c *Control) forward(f fiber.Ctx, leader string) error {
	if leader == "" || leader == c.options.Advertise {
		return notRunError("no leader is known")
	}
	if f.Get(headerForwarded) != "" {
		return notRunError("this member does not lead; the leader is " + leader)
	}
	c.metrics.forwarded.Inc()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + leader + f.OriginalURL())
	request.Header.SetMethod(f.Method())
	request.Header.Set(headerForwarded, "true")
	for _, name := range []string{fiber.HeaderAuthorization, fiber.HeaderContentType, headerIdempotencyKey} {
		if value := f.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	request.SetBodyRaw(f.Body())
	if err := c.peerClient.do(request, response, forwardTimeout.Duration()); err != nil {
		return forwardError(leader, err)
	}
	return sendJSON(f, response.StatusCode(), slices.Clone(response.Body()))
}

// forwardError returns the error for a failed forward: not run when the request
// was certainly never sent, and unknown when it may have reached the leader.
func forwardError(leader string, err error) error {
	message := errors.Wrapf(err, "forwarding to the leader at %s", leader).Error()
	if neverSent(err) {
		return notRunError(message)
	}
	return unknownError(message)
}

// propose commits a command and returns the encoded answer of the state machine.
func (c *Control) propose(ctx context.Context, cmd command) ([]byte, error) {
	cmd.proposedAt = c.options.Clock.Wall()
	data, err := encodeCommand(cmd)
	if err != nil {
		return nil, invalidError(fiber.StatusUnprocessableEntity, err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	return committedValue(c.log.Load().Propose(ctx, data))
}

// barrier confirms that this member leads and waits until it has applied every
// entry that was committed before the call, so that a following read is current.
func (c *Control) barrier(f fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(f.Context(), proposeTimeout.Duration())
	defer cancel()
	result := c.log.Load().Barrier(ctx)
	if result.Kind == replica.Unknown {
		return notRunError("the group has no quorum")
	}
	_, err := committedValue(result)
	return err
}

// committedValue returns the value of a committed entry, or the API error for any
// other result.
func committedValue(result replica.Result) ([]byte, error) {
	switch result.Kind {
	case replica.Committed:
		return result.Value, nil
	case replica.NotLeader:
		return nil, notLeaderError{leader: result.Leader}
	case replica.Refused:
		return nil, invalidError(fiber.StatusConflict, errors.New(result.Reason))
	default:
		return nil, unknownError("the change was not confirmed in time and may still commit")
	}
}
