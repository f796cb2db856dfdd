package relay

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/frame"
)

const (
	readBuffer = 4 << 10
	// writeTimeout ends connections of callers that do not read.
	writeTimeout = 20 * clock.Second
	// bodyTimeout bounds the pause between two reads of a body.
	bodyTimeout = 15 * clock.Second
)

// request is one request of a caller, read in full.
type request struct {
	head    frame.Head
	body    []byte
	framed  bool // the caller sent a body length, even 0
	arrived clock.Millis
	refusal *refusal // when it could not be read
}

// callerConn is a caller's connection. read runs in a goroutine of its own.
type callerConn struct {
	relay    *Relay
	conn     net.Conn
	reader   *bufio.Reader
	requests chan request  // capacity 0: at most one request is read ahead
	gone     chan struct{} // closed when the caller has closed or the connection failed

	mu      sync.Mutex
	reading bool   // a request has begun to arrive and is not being answered yet
	busy    bool   // a request is being answered
	abort   func() // ends what runs for the current request
	over    bool   // gone is closed
}

func newCallerConn(r *Relay, conn net.Conn) *callerConn {
	return &callerConn{
		relay: r, conn: conn, reader: bufio.NewReaderSize(conn, readBuffer),
		requests: make(chan request), gone: make(chan struct{}),
	}
}

// serve answers requests until the connection ends.
func (c *callerConn) serve() {
	defer c.close()
	c.awaitRequest()
	go c.read()
	for {
		select {
		case q := <-c.requests:
			if !c.answer(q) {
				return
			}
		case <-c.gone:
			return
		}
	}
}

func (c *callerConn) answer(q request) bool {
	c.mu.Lock()
	c.busy, c.reading = true, false
	c.mu.Unlock()
	x := newExchange(c, q)
	keep := x.run()
	c.mu.Lock()
	c.busy, c.abort = false, nil
	c.mu.Unlock()
	if keep {
		c.awaitRequest()
	}
	return keep
}

// awaitRequest starts the idle timeout unless the next request has begun.
func (c *callerConn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading {
		return
	}
	if c.relay.closing.Load() {
		c.setReadDeadline(0)
		return
	}
	c.setReadDeadline(c.relay.limits().IdleTimeout)
}

// closeIdle ends the connection unless a request is under way.
func (c *callerConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading && !c.busy {
		c.setReadDeadline(0)
	}
}

// setReadDeadline lets reads fail after a time.
func (c *callerConn) setReadDeadline(after clock.Millis) {
	_ = c.conn.SetReadDeadline(c.relay.clock.Deadline(after))
}

// read reads requests and notices the end of the connection.
func (c *callerConn) read() {
	defer c.leave()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		q, err := c.readRequest()
		if err != nil {
			return
		}
		select {
		case c.requests <- q:
		case <-c.gone:
			return
		}
		if q.refusal != nil {
			return
		}
	}
}

// readRequest reads one request. It returns an error only if there is no one to
// answer.
func (c *callerConn) readRequest() (request, error) {
	limits := c.relay.limits()
	c.mu.Lock()
	c.reading = true
	c.setReadDeadline(limits.HeaderTimeout)
	c.mu.Unlock()
	q := request{arrived: c.relay.clock.Now()}
	var err error
	q.head, err = frame.ReadRequest(c.reader, limits.HeaderBytes)
	if err != nil {
		return c.unreadable(q, err, statusHeaderTooLarge)
	}
	body, err := frame.RequestBody(c.reader, q.head)
	if err != nil {
		return c.unreadable(q, err, statusBodyTooLarge)
	}
	q.framed = q.head.Has("Content-Length") || q.head.Has("Transfer-Encoding")
	if !body.Done() {
		if err := c.readBody(&q, body, limits.BodyBytes); err != nil {
			return c.unreadable(q, err, statusBodyTooLarge)
		}
	}
	// The next read waits for the next request or the end of the connection.
	_ = c.conn.SetReadDeadline(time.Time{})
	return q, nil
}

func (c *callerConn) readBody(q *request, body *frame.Body, limit int) error {
	c.setReadDeadline(bodyTimeout)
	if q.head.Get("Expect") != "" && body.Remaining() <= int64(limit) {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	var err error
	q.body, err = body.ReadAll(limit)
	return err
}

// unreadable turns a reading error into a refusal.
func (c *callerConn) unreadable(q request, err error, tooLarge int) (request, error) {
	var timeout net.Error
	switch {
	case errors.Is(err, frame.ErrTooLarge):
		q.refusal = &refusal{status: tooLarge, reason: "too_large"}
	case errors.Is(err, frame.ErrMalformed):
		q.refusal = &refusal{status: statusBadRequest, reason: "malformed"}
	case errors.Is(err, frame.ErrUnsupported):
		q.refusal = &refusal{status: statusNotImplemented, reason: "unsupported"}
	case errors.As(err, &timeout) && timeout.Timeout():
		q.refusal = &refusal{status: statusRequestTimeout, reason: "slow_request"}
	default:
		return q, err
	}
	return q, nil
}

// leave notes that the caller has gone, or that no more can be read, and ends
// what runs for it. A request that could not be read is still answered.
func (c *callerConn) leave() {
	c.mu.Lock()
	abort := c.abort
	over := c.over
	c.over = true
	c.mu.Unlock()
	if over {
		return
	}
	close(c.gone)
	if abort != nil {
		abort()
	}
}

// onGone sets what is called when the caller leaves during the current request;
// it is called at once if the caller has left.
func (c *callerConn) onGone(abort func()) {
	c.mu.Lock()
	over := c.over
	c.abort = abort
	c.mu.Unlock()
	if over && abort != nil {
		abort()
	}
}

func (c *callerConn) isGone() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

func (c *callerConn) write(data []byte) error {
	_ = c.conn.SetWriteDeadline(c.relay.clock.Deadline(writeTimeout))
	_, err := c.conn.Write(data)
	return err
}

func (c *callerConn) close() {
	_ = c.conn.Close()
	c.relay.forget(c)
}
