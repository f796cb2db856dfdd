package relay

import (
	"bufio"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/event"
	"github.com/galenaslip/galenaslip/frame"
	"github.com/galenaslip/galenaslip/memory"
	"github.com/galenaslip/galenaslip/pace"
)

const (
	// readBuffer is the size of the read buffer of a connection, in bytes.
	readBuffer = 4 << 10
	// writeTimeout bounds the time in which a caller takes maxWritePiece bytes, so that a
	// caller that does not read loses its connection and a slow one does not.
	writeTimeout  = 20 * clock.Second
	maxWritePiece = 64 << 10
	// firstRequestWait is how long a relay that closes its connections waits for the first
	// request on a new one, which the caller has probably sent already.
	firstRequestWait = 500 * clock.Millisecond
	// A caller must send at least minBodyBytes of a request's body in each bodyPeriod.
	bodyPeriod   = 10 * clock.Second
	minBodyBytes = 10 << 10
)

// request is a caller's request with its complete body.
type request struct {
	head      frame.Head
	body      []byte
	hasBody   bool // the caller declared a body, even an empty one
	arrivedAt clock.Millis
	refusal   *refusal // set if the request could not be read
	memory    memory.Reservation
}

// callerConn is a caller's connection. serve and readLoop each run in a goroutine
// of their own.
type callerConn struct {
	relay    *Relay
	conn     net.Conn
	meter    *pace.Meter // measures the body that is being read; nil between bodies
	reader   *bufio.Reader
	requests chan request  // unbuffered: at most one request is read ahead
	done     chan struct{} // closed when the caller has disconnected or no more can be read

	acceptedAt clock.Millis

	mu         sync.Mutex // guards the fields below
	served     bool       // a request has begun to arrive
	receiving  bool       // a request has begun to arrive and is not yet being handled
	handling   bool       // a request is being handled
	abort      func()     // ends the attempt that runs for the current request; may be nil
	doneClosed bool       // done is closed
}

func newCallerConn(r *Relay, conn net.Conn) *callerConn {
	c := &callerConn{relay: r, conn: conn, acceptedAt: r.clock.Now(), requests: make(chan request), done: make(chan struct{})}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read reads from the connection. While a body is read, it fails once the caller has sent
// too little for too long.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.meter == nil {
		return c.conn.Read(p)
	}
	c.setReadDeadline(c.meter.TimeLeft(c.relay.clock.Now()))
	n, err := c.conn.Read(p)
	c.meter.Add(c.relay.clock.Now(), n)
	return n, err
}

// serve handles requests one after another until the connection ends.
func (c *callerConn) serve() {
	defer c.disconnect() // readLoop may hold a request that is not handled any more
	defer c.close()
	defer c.recoverPanic()
	c.startIdleTimeout()
	go c.readLoop()
	for {
		select {
		case req := <-c.requests:
			if !c.handle(req) {
				return
			}
		case <-c.done:
			return
		}
	}
}

// recoverPanic ends this connection alone if handling it panics. Each goroutine of the
// connection defers it.
func (c *callerConn) recoverPanic() {
	if cause := recover(); cause != nil {
		c.relay.metrics.panics.Inc()
		c.relay.options.Logger.Log(event.RequestPanicked, zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
		_ = c.conn.Close()
	}
}

// handle answers one request and reports whether the connection stays open.
func (c *callerConn) handle(req request) bool {
	c.mu.Lock()
	c.handling, c.receiving = true, false
	c.mu.Unlock()
	x := newExchange(c, req)
	defer x.releaseMemory()
	keepOpen := x.run()
	c.mu.Lock()
	c.handling, c.abort = false, nil
	c.mu.Unlock()
	if keepOpen {
		c.startIdleTimeout()
	}
	return keepOpen
}

// startIdleTimeout starts the idle timeout unless the next request has begun to
// arrive. While the relay closes connections, it makes the next read fail at once.
func (c *callerConn) startIdleTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving {
		return
	}
	if c.relay.closing.Load() {
		c.setReadDeadline(c.firstRequestTimeLeft())
		return
	}
	c.setReadDeadline(c.relay.limits().IdleTimeout)
}

// firstRequestTimeLeft returns how long the relay still waits for the first request of the
// connection while it closes connections. The caller holds the lock.
func (c *callerConn) firstRequestTimeLeft() clock.Millis {
	if c.served {
		return 0
	}
	return max(c.acceptedAt+firstRequestWait-c.relay.clock.Now(), 0)
}

// closeIfIdle ends the connection unless a request is being received or handled, or its
// first one may still be on its way.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receiving && !c.handling {
		c.setReadDeadline(c.firstRequestTimeLeft())
	}
}

// hasArrived reports whether a request has arrived although waiting for it ended with the
// given error: the idle time ended, or a planned stop closes connections.
func (c *callerConn) hasArrived(err error) bool {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	c.setReadDeadline(c.relay.limits().HeaderTimeout)
	return frame.InspectSocket(c.conn) == frame.SocketUnread
}

// setReadDeadline makes reads fail after the given time.
func (c *callerConn) setReadDeadline(after clock.Millis) {
	_ = c.conn.SetReadDeadline(c.relay.clock.Deadline(after))
}

// readLoop reads requests until the connection ends, and reports its end through
// disconnect.
func (c *callerConn) readLoop() {
	defer c.disconnect()
	defer c.recoverPanic()
	for {
		if _, err := c.reader.Peek(1); err != nil && !c.hasArrived(err) {
			return
		}
		req, err := c.readRequest()
		if err != nil {
			req.memory.Release()
			return
		}
		select {
		case c.requests <- req:
		case <-c.done:
			req.memory.Release()
			return
		}
		if req.refusal != nil {
			return
		}
	}
}

// readRequest reads one request. It returns an error only if the connection failed,
// so that no response can be sent.
func (c *callerConn) readRequest() (request, error) {
	limits := c.relay.limits()
	c.mu.Lock()
	c.receiving, c.served = true, true
	c.setReadDeadline(limits.HeaderTimeout)
	c.mu.Unlock()
	req := request{arrivedAt: c.relay.clock.Now(), memory: c.relay.messageMemory.Begin()}
	var err error
	req.head, err = frame.ReadRequest(c.reader, limits.HeaderBytes, req.memory.Of(&c.relay.callers))
	if err != nil {
		return c.refuseUnreadable(req, err, statusHeaderTooLarge)
	}
	body, err := frame.RequestBody(c.reader, req.head)
	if err != nil {
		return c.refuseUnreadable(req, err, statusBodyTooLarge)
	}
	req.hasBody = req.head.Has("Content-Length") || req.head.Has("Transfer-Encoding")
	if !body.Done() {
		if err := c.readBody(&req, body, limits.BodyBytes); err != nil {
			return c.refuseUnreadable(req, err, statusBodyTooLarge)
		}
	}
	// The next read waits for the next request or the end of the connection.
	_ = c.conn.SetReadDeadline(time.Time{})
	return req, nil
}

// readBody reads the body of a request into req. It first asks the caller to continue
// if the caller expects that.
func (c *callerConn) readBody(req *request, body *frame.Body, limit int) error {
	c.meter = pace.New(c.relay.clock.Now(), bodyPeriod, minBodyBytes)
	defer func() { c.meter = nil }()
	if req.head.Get("Expect") != "" && body.Remaining() <= int64(limit) {
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	var err error
	req.body, err = body.ReadAll(limit, req.memory.Of(&c.relay.callers))
	return err
}

// refuseUnreadable turns an error of reading a request into a refusal with the
// matching status. It returns err itself if the connection failed.
func (c *callerConn) refuseUnreadable(req request, err error, tooLarge int) (request, error) {
	var timeout net.Error
	switch {
	case errors.Is(err, frame.ErrTooLarge):
		req.refusal = &refusal{status: tooLarge, reason: "too_large"}
	case errors.Is(err, frame.ErrNoMemory):
		req.refusal = &refusal{status: statusUnavailable, reason: "no_memory", retryAfter: maxRetryAfter}
	case errors.Is(err, frame.ErrMalformed):
		req.refusal = &refusal{status: statusBadRequest, reason: "malformed"}
	case errors.Is(err, frame.ErrUnsupported):
		req.refusal = &refusal{status: statusNotImplemented, reason: "unsupported"}
	case errors.As(err, &timeout) && timeout.Timeout():
		req.refusal = &refusal{status: statusRequestTimeout, reason: "slow_request"}
	default:
		return req, err
	}
	return req, nil
}

// disconnect records that the caller has disconnected, or that no more can be read,
// and aborts the current request. A request that could not be read still gets its
// refusal.
func (c *callerConn) disconnect() {
	c.mu.Lock()
	abort := c.abort
	doneClosed := c.doneClosed
	c.doneClosed = true
	c.mu.Unlock()
	if doneClosed {
		return
	}
	close(c.done)
	if abort != nil {
		abort()
	}
}

// onDisconnect sets the function that is called when the caller disconnects during
// the current request. It is called at once if the caller already has.
func (c *callerConn) onDisconnect(abort func()) {
	c.mu.Lock()
	doneClosed := c.doneClosed
	c.abort = abort
	c.mu.Unlock()
	if doneClosed && abort != nil {
		abort()
	}
}

func (c *callerConn) isDisconnected() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// write sends data in pieces, each with a timeout of its own.
func (c *callerConn) write(data []byte) error {
	for len(data) > 0 {
		piece := data[:min(len(data), maxWritePiece)]
		_ = c.conn.SetWriteDeadline(c.relay.clock.Deadline(writeTimeout))
		if _, err := c.conn.Write(piece); err != nil {
			return err
		}
		data = data[len(piece):]
	}
	return nil
}

// setResetOnClose sets whether the connection is reset when it is closed, also by the end of the
// process, so that the caller sees an error in place of an end.
func (c *callerConn) setResetOnClose(reset bool) {
	tcp, ok := c.conn.(*net.TCPConn)
	switch {
	case !ok:
	case reset:
		_ = tcp.SetLinger(0)
	default:
		_ = tcp.SetLinger(-1)
	}
}

func (c *callerConn) close() {
	_ = c.conn.Close()
	c.relay.removeConn(c)
}
