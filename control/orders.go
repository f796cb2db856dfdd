package control

import (
	"context"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/fencing"
	"github.com/galenaslip/galenaslip/placement"
)

const (
	pathOrders = "/v1/orders"
	// orderTimeout bounds the time from planning an order to the engine's answer.
	// It is below the planner's delivery limit of 1 s: a new leader waits that long
	// before it sends orders to engines that ignore fencing tokens.
	orderTimeout = 900 * clock.Millisecond
	// maxOrdersInFlight is the maximum number of orders in delivery at the same
	// time. Further orders are dropped, and the planner sends them again.
	maxOrdersInFlight = 64
	// maxOrderAnswer is the largest accepted answer to an order in bytes.
	maxOrderAnswer = 64 << 10
)

// errLeaseExpired is the error for an order that this member may no longer send.
var errLeaseExpired = errors.New("the leader lease of the order's term has expired")

// orderResult is the result of one delivery.
type orderResult struct {
	refusedID string // ID of the order if its fencing token was refused; otherwise empty
}

// orderSender delivers orders to engines without blocking the planner. It starts
// one goroutine for each order.
type orderSender struct {
	placementController *placementController
	ctx                 context.Context // ends when the member stops
}

// Send starts the delivery of an order. Only the goroutine of
// placementController.run may call it.
func (s orderSender) Send(order placement.Order) {
	p := s.placementController
	if p.ordersInFlight >= maxOrdersInFlight {
		return
	}
	p.ordersInFlight++
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout.Duration())
	p.control.startTask(func() {
		defer cancel()
		status, err := p.control.deliverOrder(ctx, order)
		p.results <- p.recordDelivery(s.ctx, order, status, err)
	})
}

// recordDelivery logs and counts the outcome of a delivery and returns the
// result for the planner.
func (p *placementController) recordDelivery(ctx context.Context, order placement.Order, status int, err error) orderResult {
	switch {
	case errors.Is(err, errLeaseExpired):
		p.log(event.OrderWithheld, order)
	case err != nil:
		p.log(event.OrderUndelivered, order, zap.Error(err))
	case status == fiber.StatusConflict:
		p.control.metrics.ordersRefused.WithLabelValues(string(order.Kind)).Inc()
		p.log(event.OrderRefused, order)
		p.control.verifyLeadership(ctx)
		return orderResult{refusedID: order.ID}
	case status >= fiber.StatusBadRequest:
		p.log(event.OrderUndelivered, order, zap.Int("status", status))
	}
	return orderResult{}
}

// verifyLeadership asks a quorum whether this member still leads. A member that no
// longer leads learns the newer term from the answers and steps down.
func (c *Control) verifyLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	result := c.log.Load().Barrier(ctx)
	c.options.Logger.Log(event.LeaderVerified, zap.Stringer("result", result.Kind))
}

// holdsLeaderLease reports whether this member currently holds the leader lease
// of a term.
func (c *Control) holdsLeaderLease(term uint64) bool {
	leaderStatus := leadership(c.log.Load().Status())
	return leaderStatus.LeaseRemaining > 0 && leaderStatus.Term == term
}

// deliverOrder sends an order to its engine and returns the HTTP status of the
// answer. It opens a new connection, because a pooled one may be broken without
// notice. It returns errLeaseExpired without sending a byte when this member
// no longer holds the leader lease of the order's term.
func (c *Control) deliverOrder(ctx context.Context, order placement.Order) (int, error) {
	body, err := encodeOrder(order)
	if err != nil {
		return 0, err
	}
	answer, _, err := fencing.Call{
		Address: order.Address, Path: pathOrders, Body: body, DialTimeout: dialTimeout, MaxAnswerBytes: maxOrderAnswer,
		MayAct: func() bool { return c.holdsLeaderLease(order.FencingToken) },
		Sent: func() {
			c.metrics.ordersSent.WithLabelValues(string(order.Kind)).Inc()
			c.placementController.log(event.OrderSent, order)
		},
	}.Send(ctx)
	if errors.Is(err, fencing.ErrMayNotAct) {
		return 0, errLeaseExpired
	}
	if err != nil {
		return 0, errors.Wrapf(err, "order %s", order.ID)
	}
	return answer.Status, nil
}
