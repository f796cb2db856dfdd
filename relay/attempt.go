package relay

import (
	"io"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/frame"
)

// result says how an attempt at a server ended.
type result uint8

const (
	// resultAbandoned means that the attempt was ended for a reason that says
	// nothing about the server.
	resultAbandoned result = iota
	// resultAnswered means that the server's whole answer has come.
	resultAnswered
	// resultNotRun means that the server promised that it did not run the request.
	resultNotRun
	// resultStranger means that another server is at the address; nothing ran.
	resultStranger
	// resultUnreachable means that nothing was sent.
	resultUnreachable
	// resultFailed means that the request was sent and may have run.
	resultFailed
)

var resultNames = [...]string{"abandoned", "answered", "not_run", "stranger", "unreachable", "failed"}

// String returns the result's name.
func (r result) String() string { return resultNames[r] }

// Bounds of what a server may send.
const (
	maxAnswerHead = 64 << 10
	maxAnswerBody = 16 << 20
	// maxStrayAnswers is the number of answers to other requests that are skipped.
	maxStrayAnswers = 2
	// inlineWrite is the largest message that fits into the buffers of a new
	// connection, so that writing it does not wait for the server.
	inlineWrite = 32 << 10
)

// attempt is one sending of a request to a server.
type attempt struct {
	exchange    *exchange
	server      *server
	uncached    int          // prompt tokens that the server is expected to read
	decode      float64      // what its output costs, in prompt tokens
	repeatable  bool         // the request may go elsewhere
	load        float64      // requests at the server when it was chosen
	loadAge     clock.Millis // of the other entries' part of it
	work        float64      // at the engine when it was chosen, with its own prompt
	late        bool         // no server was chosen, as it would begin too late
	sentAt      clock.Millis
	begun       bool // the first byte has come
	firstByteAt clock.Millis
	result      result
	err         error

	mu          sync.Mutex
	conn        *serverConn
	interrupted bool
	paid        bool // the retry budget has granted the next attempt

	written  chan error // nil when the request was written at once
	reusable bool

	head   frame.Head
	answer ResponseInfo
	body   *frame.Body
}

// interrupt ends the attempt by closing its connection.
func (a *attempt) interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.interrupted = true
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// interruptPaid is interrupt with a repetition that the budget has granted.
func (a *attempt) interruptPaid() {
	a.mu.Lock()
	a.paid = true
	a.mu.Unlock()
	a.interrupt()
}

func (a *attempt) wasPaid() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.paid
}

// hold notes the connection and reports whether the attempt goes on.
func (a *attempt) hold(c *serverConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.interrupted
}

func (a *attempt) wasInterrupted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.interrupted
}

// fail ends the attempt with an error.
func (a *attempt) fail(r result, err error) {
	a.result, a.err = r, err
}

// send opens a connection, writes the request and reads the head of the answer.
// It reports whether there is an answer with a body to read.
func (a *attempt) send(data []byte, onceOnly bool, deadline clock.Millis) bool {
	x := a.exchange
	now := x.relay.clock.Now()
	conn, err := x.relay.fleet.connect(a.server, onceOnly, deadline-now)
	if err != nil {
		a.fail(resultUnreachable, err)
		return false
	}
	if !a.hold(conn) {
		a.fail(resultAbandoned, errInterrupted)
		return false
	}
	_ = conn.SetDeadline(x.relay.clock.Deadline(deadline - x.relay.clock.Now()))
	if err := a.write(conn, data); err != nil {
		a.failSent(err)
		return false
	}
	return a.readHead(conn)
}

var errInterrupted = errors.New("the attempt was interrupted")

// write sends the request. A long one is sent beside the reading, because a
// server may answer before it has read it all.
func (a *attempt) write(conn *serverConn, data []byte) error {
	if len(data) <= inlineWrite {
		_, err := conn.Write(data)
		return err
	}
	a.written = make(chan error, 1)
	go func() {
		_, err := conn.Write(data)
		a.written <- err
	}()
	return nil
}

// failSent ends an attempt whose request may have reached the server.
func (a *attempt) failSent(err error) {
	if a.exchange.caller.isGone() || a.wasInterrupted() && !a.repeatable {
		a.fail(resultAbandoned, err)
		return
	}
	a.fail(resultFailed, err)
}

func (a *attempt) readHead(conn *serverConn) bool {
	x := a.exchange
	for stray := 0; ; {
		head, err := frame.ReadResponse(conn.reader, maxAnswerHead)
		if err != nil {
			a.failSent(err)
			return false
		}
		if head.Status < 200 {
			continue
		}
		answer := x.relay.options.Protocol.ResponseInfo(head)
		body, err := frame.ResponseBody(conn.reader, head, x.request.head.Method)
		if err != nil {
			a.failSent(err)
			return false
		}
		if answer.ID != "" && answer.ID != x.call.ID {
			stray++
			if stray > maxStrayAnswers || body.EndsWithConnection() {
				a.failSent(errors.New("answers to other requests"))
				return false
			}
			if _, err := body.ReadAll(maxAnswerBody); err != nil {
				a.failSent(err)
				return false
			}
			continue
		}
		a.firstByteAt = x.relay.clock.Now()
		a.reusable = stray == 0 && !head.ClosesConnection() && !body.EndsWithConnection()
		a.head, a.answer, a.body = head, answer, body
		x.relay.fleet.answered(a.server, answer)
		return true
	}
}

// readBody reads the rest of an answer that is passed on as a whole.
func (a *attempt) readBody() ([]byte, bool) {
	data, err := a.body.ReadAll(maxAnswerBody)
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		a.failSent(err)
		return nil, false
	}
	return data, true
}

// release gives the connection back, if it can be used again, or closes it.
func (a *attempt) release() {
	a.mu.Lock()
	conn := a.conn
	a.conn = nil
	interrupted := a.interrupted
	a.mu.Unlock()
	if conn == nil {
		return
	}
	fleet := a.exchange.relay.fleet
	if a.written != nil {
		select {
		case err := <-a.written:
			a.reusable = a.reusable && err == nil
		default:
			a.reusable = false
		}
	}
	if !a.reusable || interrupted || a.body == nil || !a.body.Done() || conn.reader.Buffered() > 0 {
		fleet.drop(conn)
		return
	}
	_ = conn.SetDeadline(noDeadline)
	fleet.keep(conn, a.answer.IdleTimeout)
}

// requestBytes returns the request as the server gets it.
func (x *exchange) requestBytes(hop ForwardInfo) []byte {
	headers := x.relay.options.Protocol.Forward(x.request.head, hop)
	if x.request.framed || len(x.request.body) > 0 {
		headers = append(headers, frame.Header{Name: "Content-Length", Value: strconv.Itoa(len(x.request.body))})
	}
	data := make([]byte, 0, 1024+len(x.request.body))
	data = x.request.head.Append(data, headers)
	return append(data, x.request.body...)
}
