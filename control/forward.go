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

// proposeTimeout is how long a request waits for its commit. A leader that lost
// its quorum answers unknown after it.
const proposeTimeout = 2 * clock.Second

// notLeader is the error of a handler that found that this member does not
// lead. Nothing was appended.
type notLeader struct {
	leader string
}

// Error returns why the request was not handled here.
func (n notLeader) Error() string { return "this member does not lead" }

// atLeader runs the handler on the leader and forwards the request, once, when
// this member does not lead.
func (c *Control) atLeader(next fiber.Handler) fiber.Handler {
	return func(f fiber.Ctx) error {
		status := c.log.Load().Status()
		var moved notLeader
		if status.Role != replica.Leader {
			moved = notLeader{leader: status.Leader}
		} else if err := next(f); !errors.As(err, &moved) {
			return err
		}
		return c.forward(f, moved.leader)
	}
}

func (c *Control) forward(f fiber.Ctx, leader string) error {
	if leader == "" || leader == c.options.Advertise {
		return notRun("no leader is known")
	}
	if f.Get(headerForwarded) != "" {
		return notRun("this member does not lead; the leader is " + leader)
	}
	c.metrics.forwarded.Inc()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + leader + f.OriginalURL())
	request.Header.SetMethod(f.Method())
	request.Header.Set(headerForwarded, "true")
	for _, name := range []string{fiber.HeaderAuthorization, fiber.HeaderContentType, headerKey} {
		if value := f.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	request.SetBodyRaw(f.Body())
	if err := c.peers.do(request, response, forwardTimeout.Duration()); err != nil {
		return unreachable(leader, err)
	}
	return sendJSON(f, response.StatusCode(), slices.Clone(response.Body()))
}

// unreachable tells a request that never left this member from one that may have
// reached the leader.
func unreachable(leader string, err error) error {
	message := errors.Wrapf(err, "forwarding to the leader at %s", leader).Error()
	if neverSent(err) {
		return notRun(message)
	}
	return unknown(message)
}

// propose commits a command and returns what the state machine answered.
func (c *Control) propose(ctx context.Context, cmd command) ([]byte, error) {
	cmd.at = c.options.Clock.Wall()
	data, err := encodeCommand(cmd)
	if err != nil {
		return nil, invalid(fiber.StatusUnprocessableEntity, err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	return valueOf(c.log.Load().Propose(ctx, data))
}

// barrier returns once this member has applied everything that was committed
// when it was called, as the leader.
func (c *Control) barrier(f fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(f.Context(), proposeTimeout.Duration())
	defer cancel()
	result := c.log.Load().Barrier(ctx)
	if result.Kind == replica.Unknown {
		return notRun("the group has no quorum")
	}
	_, err := valueOf(result)
	return err
}

func valueOf(r replica.Result) ([]byte, error) {
	switch r.Kind {
	case replica.Committed:
		return r.Value, nil
	case replica.NotLeader:
		return nil, notLeader{leader: r.Leader}
	case replica.Refused:
		return nil, invalid(fiber.StatusConflict, errors.New(r.Reason))
	default:
		return nil, unknown("the change was not confirmed in time and may still commit")
	}
}
