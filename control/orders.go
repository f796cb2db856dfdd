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
	// orderTimeout bounds an order from planning to the engine's answer. It is
	// below the planner's limit on delivery of 1 s, which a new leader waits out.
	orderTimeout = 900 * clock.Millisecond
	// maxUnderWay bounds the orders under way. Further ones are dropped, and the
	// planner sends them again.
	maxUnderWay = 64
	// orderBuffer holds a whole order, so that nothing is written before the
	// check of the lease.
	orderBuffer = 64 << 10
	// maxOrderAnswer bounds the answer to an order.
	maxOrderAnswer = 64 << 10
)

// errWithheld is the end of an order that this member may no longer send.
var errWithheld = errors.New("the leader lease of the order's term has ended")

// orderResult is the end of one delivery.
type orderResult struct {
	refused string // ID of the order when its token was refused
}

// orderSender sends orders without keeping the planner waiting. It has one
// goroutine for each order under way.
type orderSender struct {
	placer *placer
	ctx    context.Context
}

// Send starts the delivery of an order.
func (s orderSender) Send(o placement.Order) {
	p := s.placer
	if p.underWay >= maxUnderWay {
		return
	}
	p.underWay++
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout.Duration())
	p.control.start(func() {
		defer cancel()
		status, err := p.control.deliver(ctx, o)
		p.results <- p.outcomeOf(s.ctx, o, status, err)
	})
}

// outcomeOf records the end of a delivery.
func (p *placer) outcomeOf(ctx context.Context, o placement.Order, status int, err error) orderResult {
	switch {
	case errors.Is(err, errWithheld):
		p.log(event.OrderWithheld, o)
	case err != nil:
		p.log(event.OrderUndelivered, o, zap.Error(err))
	case status == fiber.StatusConflict:
		p.control.metrics.ordersRefused.WithLabelValues(string(o.Kind)).Inc()
		p.log(event.OrderRefused, o)
		p.control.verifyLeadership(ctx)
		return orderResult{refused: o.ID}
	case status >= fiber.StatusBadRequest:
		p.log(event.OrderUndelivered, o, zap.Int("status", status))
	}
	return orderResult{}
}

// verifyLeadership asks a quorum whether this member still leads. A member that
// does not lead any more learns the newer term from the answers.
func (c *Control) verifyLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	result := c.log.Load().Barrier(ctx)
	c.options.Logger.Log(event.LeaderVerified, zap.Stringer("result", result.Kind))
}

// holds reports whether this member holds the leader lease of a term now.
func (c *Control) holds(term uint64) bool {
	l := leadership(c.log.Load().Status())
	return l.LeaseRemaining > 0 && l.Term == term
}

// deliver writes an order on a fresh connection, because a pooled one may have
// gone silent, and returns the status of the answer.
func (c *Control) deliver(ctx context.Context, o placement.Order) (int, error) {
	body, err := encodeOrder(o)
	if err != nil {
		return 0, err
	}
	conn, err := fasthttp.DialTimeout(o.Address, dialTimeout.Duration())
	if err != nil {
		return 0, errors.Wrapf(err, "connecting to engine %s", o.Address)
	}
	stop := context.AfterFunc(ctx, func() { discard(conn) })
	defer stop()
	defer conn.Close() //nolint:errcheck // The answer was read, or the error is reported.
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + o.Address + pathOrders)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType(fiber.MIMEApplicationJSON)
	request.SetConnectionClose()
	request.SetBodyRaw(body)
	writer := bufio.NewWriterSize(conn, orderBuffer)
	if err := request.Write(writer); err != nil {
		return 0, errors.Wrapf(err, "encoding order %s", o.ID)
	}
	if !c.holds(o.FencingToken) {
		return 0, errWithheld
	}
	if err := writer.Flush(); err != nil {
		return 0, errors.Wrapf(err, "sending order %s", o.ID)
	}
	c.metrics.ordersSent.WithLabelValues(string(o.Kind)).Inc()
	c.placer.log(event.OrderSent, o)
	if err := response.ReadLimitBody(bufio.NewReader(conn), maxOrderAnswer); err != nil {
		return 0, errors.Wrapf(err, "reading the answer to order %s", o.ID)
	}
	return response.StatusCode(), nil
}

// discard closes a connection and drops what was not delivered. After a plain
// close the system would go on to deliver an order that the planner counts as
// lost.
func discard(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
