package control

import (
	"bufio"
	"context"
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
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
	// orderBuffer is the size of the write buffer in bytes. A whole order fits in,
	// so that no byte reaches the connection before the check of the leader lease.
	orderBuffer = 64 << 10
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
	conn, err := fasthttp.DialTimeout(order.Address, dialTimeout.Duration())
	if err != nil {
		return 0, errors.Wrapf(err, "connecting to engine %s", order.Address)
	}
	stop := context.AfterFunc(ctx, func() { abortConnection(conn) })
	defer stop()
	defer conn.Close() //nolint:errcheck // The answer was read, or the error is reported.
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + order.Address + pathOrders)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType(fiber.MIMEApplicationJSON)
	request.SetConnectionClose()
	request.SetBodyRaw(body)
	writer := bufio.NewWriterSize(conn, orderBuffer)
	if err := request.Write(writer); err != nil {
		return 0, errors.Wrapf(err, "encoding order %s", order.ID)
	}
	if !c.holdsLeaderLease(order.FencingToken) {
		return 0, errLeaseExpired
	}
	if err := writer.Flush(); err != nil {
		return 0, errors.Wrapf(err, "sending order %s", order.ID)
	}
	c.metrics.ordersSent.WithLabelValues(string(order.Kind)).Inc()
	c.placementController.log(event.OrderSent, order)
	if err := response.ReadLimitBody(bufio.NewReader(conn), maxOrderAnswer); err != nil {
		return 0, errors.Wrapf(err, "reading the answer to order %s", order.ID)
	}
	return response.StatusCode(), nil
}

// abortConnection closes a connection and drops all data that was not
// delivered. After a plain close the operating system could still deliver an
// order that the planner counts as lost.
func abortConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
