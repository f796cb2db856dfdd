package relay

import (
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/frame"
	"github.com/galenaslip/galenaslip/memory"
	"github.com/galenaslip/galenaslip/quarantine"
)

// result is the way in which an attempt at a server ended.
type result uint8

const (
	// resultAbandoned means that the relay ended the attempt for a reason unrelated
	// to the server, for example because the caller disconnected.
	resultAbandoned result = iota
	// resultAnswered means that the server's complete response was received.
	resultAnswered
	// resultNotRun means that the server confirmed that it did not run the request.
	resultNotRun
	// resultWrongServer means that a server with another name answered at the address
	// and did not run the request.
	resultWrongServer
	// resultUnreachable means that no connection could be opened, or that it ended or
	// brought bytes before the request was written, so nothing was sent.
	resultUnreachable
	// resultWithdrawn means that the server has said, before the request was sent, that it
	// wants no requests, so nothing was sent.
	resultWithdrawn
	// resultFailed means that the request was sent, may have run, and has no usable
	// response.
	resultFailed
)

var resultNames = [...]string{"abandoned", "answered", "not_run", "stranger", "unreachable", "withdrawn", "failed"}

// String returns the name that logs and metrics use for the result.
func (r result) String() string { return resultNames[r] }

// Limits for the exchange of data with a server, in bytes unless noted.
const (
	maxResponseHead = 64 << 10
	maxResponseBody = 16 << 20
	// maxDiscardedBody and discardTimeout bound what is read of a body that is not needed.
	maxDiscardedBody = 64 << 10
	discardTimeout   = 50 * clock.Millisecond
	// maxStrayResponses is the number of responses to other requests that an attempt
	// skips before it fails.
	maxStrayResponses = 2
	// maxInterimResponses is the number of informational responses (1xx) that an attempt
	// skips before it fails.
	maxInterimResponses = 16
	// maxInlineWrite is the size of the largest request that fits into the socket
	// buffers of a new connection, so that writing it never blocks on the server.
	maxInlineWrite = 32 << 10
)

// attempt is one try to send a request to a server and to read its response.
type attempt struct {
	exchange         *exchange
	server           *server
	forwardedTo      string               // name of the server
	requirements     requirements         // that the server was chosen for
	onlyServer       bool                 // no other server could be chosen
	cacheSource      string               // address of a server from which the server copies cached parts of the prompt; "" for none
	uncachedTokens   int                  // prompt tokens that the server probably has not cached
	decodeCost       float64              // estimated work of generating the output, in equivalent prompt tokens (see engine.go)
	repeatable       bool                 // the request may be sent to another server if this attempt fails
	load             float64              // requests at the server when it was chosen, this one excluded
	loadAge          clock.Millis         // age of the other entries' load report, which is included in load
	engineWork       float64              // work at the engine when it was chosen, in equivalent prompt tokens, this prompt included
	tooLate          bool                 // no server was chosen because the request would wait too long at its engine; see package forecast
	run              quarantine.ServerRun // identifies the server until it starts again
	version          string               // version of the server's software
	versionConfirmed bool                 // control has confirmed the version since the stream broke off
	versionUncertain atomic.Bool          // the server was restarted with another version under its name
	chosenAt         clock.Millis         // when the server was chosen, before the request was sent
	firstByteSeen    bool                 // recordFirstByte was called, so the prompt no longer counts as unprocessed
	firstByteAt      clock.Millis         // when the head of the response was read; 0 before
	survived         bool                 // the quarantine knows that the request has not ended its server
	result           result
	err              error

	mu           sync.Mutex // guards conn, interrupted and retryGranted
	conn         *serverConn
	interrupted  bool
	retryGranted bool // the retry budget has already granted the next attempt

	sent      bool       // the request may have reached the server
	writeDone chan error // result of a background write; nil if the request was written synchronously
	reusable  bool       // the connection can be used for another request

	head         frame.Head
	responseInfo ResponseInfo
	body         *frame.Body
}

// interrupt ends the attempt by closing its connection. It may be called from any
// goroutine.
func (a *attempt) interrupt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.interrupted = true
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// interruptForRetry ends the attempt after the retry budget has granted the next one.
func (a *attempt) interruptForRetry() {
	a.mu.Lock()
	a.retryGranted = true
	a.mu.Unlock()
	a.interrupt()
}

// hasRetryGrant reports whether the retry budget has already granted the next attempt.
func (a *attempt) hasRetryGrant() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retryGranted
}

// setConn stores the connection and reports whether the attempt may continue, that
// is whether it was not interrupted in the meantime.
func (a *attempt) setConn(c *serverConn) bool {
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

// mayRunOn reports whether the server may still be working on the request although the attempt has
// ended, and nothing is known about the outcome.
func (a *attempt) mayRunOn() bool {
	return a.sent && !a.survived && a.err != nil && (a.result == resultFailed || a.result == resultAbandoned)
}

// setResult records how the attempt ended; err may be nil.
func (a *attempt) setResult(r result, err error) {
	a.result, a.err = r, err
}

// send gets a connection, writes the request and reads the head of the response.
// It reports whether it has read a head, so that the body can follow.
func (a *attempt) send(forwardInfo ForwardInfo, onceOnly bool, deadline clock.Millis) bool {
	x := a.exchange
	now := x.relay.clock.Now()
	conn, err := a.connect(onceOnly, deadline-now)
	if err != nil {
		a.setResult(resultUnreachable, err)
		return false
	}
	if !a.setConn(conn) {
		a.setResult(resultAbandoned, errInterrupted)
		return false
	}
	x.beginTrial()
	_ = conn.SetDeadline(x.relay.clock.Deadline(deadline - x.relay.clock.Now()))
	data := x.encodeRequest(forwardInfo)
	if !conn.alive() && !a.wasInterrupted() {
		a.setResult(resultUnreachable, errNotQuiet)
		return false
	}
	if !x.relay.fleet.accepts(a.server) {
		a.setResult(resultWithdrawn, errWithdrawn)
		return false
	}
	a.sent = true
	if err := a.write(conn, data); err != nil {
		a.failAfterSend(err)
		return false
	}
	return a.readHead(conn)
}

// connect returns a connection to the server. A request without an ID gets a new one, because
// only the first response on a connection can be matched without an ID. So does a request with
// the same ID as the one before it on the connection.
func (a *attempt) connect(onceOnly bool, timeout clock.Millis) (*serverConn, error) {
	fleet, id := a.exchange.relay.fleet, a.exchange.requestInfo.ID
	if id == "" {
		return fleet.dial(a.server, timeout)
	}
	conn, err := fleet.connect(a.server, onceOnly, timeout)
	if err == nil && conn.requestID == id {
		fleet.closeConn(conn)
		conn, err = fleet.dial(a.server, timeout)
	}
	if err == nil {
		conn.requestID = id
	}
	return conn, err
}

var (
	errInterrupted = errors.New("the attempt was interrupted")
	errNotQuiet    = errors.New("the server closed the connection, or sent bytes on it, before the request was written")
)

// write sends the request. A long request is written in its own goroutine while
// the response is read, because a server may respond before it has read the
// whole request.
func (a *attempt) write(conn *serverConn, data []byte) error {
	if len(data) <= maxInlineWrite {
		_, err := conn.Write(data)
		return err
	}
	a.writeDone = make(chan error, 1)
	go func() {
		_, err := conn.Write(data)
		a.writeDone <- err
	}()
	return nil
}

// failAfterSend records the failure of an attempt whose request may have reached
// the server.
func (a *attempt) failAfterSend(err error) {
	if a.exchange.caller.isDisconnected() || a.wasInterrupted() && !a.repeatable {
		a.setResult(resultAbandoned, err)
		return
	}
	a.setResult(resultFailed, err)
}

// readHead reads the head of the response to the request and reports whether it has.
func (a *attempt) readHead(conn *serverConn) bool {
	x := a.exchange
	head, strays, err := a.findHead(conn)
	if err != nil {
		a.failAfterSend(err)
		return false
	}
	body, err := frame.ResponseBody(conn.reader, head, x.request.head.Method)
	if err != nil {
		a.failAfterSend(err)
		return false
	}
	a.firstByteAt = x.relay.clock.Now()
	a.head, a.responseInfo, a.body = head, x.relay.options.Protocol.ResponseInfo(head), body
	a.reusable = strays == 0 && a.responseInfo.ID != "" && x.request.head.Method != http.MethodHead &&
		!head.ClosesConnection() && !body.EndsWithConnection()
	x.recordLoad(a)
	x.recordLeaving(a, head, a.responseInfo)
	x.recordLimit(a)
	return true
}

// findHead reads responses up to the one to the request and returns its head. It skips, up to
// a limit, responses that carry the ID of another request, and returns their number. A
// response without an ID may be a copy of an earlier one, so it is accepted only as the first
// response on the connection, which is not kept afterwards, and only from a server that has
// not sent IDs, unless the request has none.
func (a *attempt) findHead(conn *serverConn) (head frame.Head, strays int, err error) {
	x := a.exchange
	for {
		head, err = a.readFinalHead(conn)
		if err != nil {
			return head, strays, err
		}
		responseInfo := x.relay.options.Protocol.ResponseInfo(head)
		id := responseInfo.ID
		isFirst := !conn.hasResponse
		conn.hasResponse = true
		switch {
		case id == "" && isFirst && (x.requestInfo.ID == "" || !a.server.sendsIDs.Load()):
			return head, strays, nil
		case id == "":
			return head, strays, errors.New("server sent a response without an ID that may be to another request")
		case id == x.requestInfo.ID:
			a.server.sendsIDs.Store(true)
			return head, strays, nil
		}
		x.recordLeaving(a, head, responseInfo)
		strays++
		if strays > maxStrayResponses {
			return head, strays, errors.New("server sent responses to other requests")
		}
		if err := a.skipBody(conn, head); err != nil {
			return head, strays, err
		}
	}
}

// skipBody reads the body of a response to another request. Responses to HEAD have none
// whatever their head says, but no connection is kept after a HEAD request, so this response
// answers another method.
func (a *attempt) skipBody(conn *serverConn, head frame.Head) error {
	body, err := frame.ResponseBody(conn.reader, head, http.MethodGet)
	if err != nil {
		return err
	}
	if body.EndsWithConnection() {
		return errors.New("server sent a response to another request that ends with the connection")
	}
	return body.Discard(maxResponseBody)
}

// discardBody reads the body of a response that is not needed, so that the connection can be used
// again. It gives up a long or slow body, and with it the connection, and returns an error only for
// one that breaks off.
func (a *attempt) discardBody() error {
	_ = a.conn.SetReadDeadline(a.exchange.relay.clock.Deadline(discardTimeout))
	err := a.body.Discard(maxDiscardedBody)
	if err == nil {
		err = a.checkEnd()
	}
	var timeout net.Error
	if errors.Is(err, frame.ErrTooLarge) || errors.As(err, &timeout) && timeout.Timeout() {
		return nil
	}
	return err
}

// memory returns the memory for the response.
func (a *attempt) memory() memory.Share { return a.exchange.memory.Of(&a.server.answers) }

// readFinalHead reads the head of a response. It skips informational responses, up to a
// limit. A switch to another protocol is an error, because the relay asks for none.
func (a *attempt) readFinalHead(conn *serverConn) (frame.Head, error) {
	for range maxInterimResponses {
		head, err := frame.ReadResponse(conn.reader, maxResponseHead, a.memory())
		if err != nil || head.Status >= statusOK {
			return head, err
		}
		if head.Status == http.StatusSwitchingProtocols {
			return frame.Head{}, errors.New("server switched to another protocol without being asked")
		}
	}
	return frame.Head{}, errors.Errorf("server sent more than %d informational responses", maxInterimResponses)
}

// readBody reads the body of a response that is not streamed. It reports whether
// the body is complete.
func (a *attempt) readBody() ([]byte, bool) {
	data, err := a.body.ReadAll(maxResponseBody, a.memory())
	if err == nil {
		err = a.checkEnd()
	}
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		a.failAfterSend(err)
		return nil, false
	}
	return data, true
}

// errEarlyEnd is the error of a response whose end is not known to be that of the whole response.
var errEarlyEnd = errors.New("the server ended the connection before it had the whole request")

// checkEnd returns an error unless the end of the body is known to be that of the response. The kernel
// reports the error of a connection once, so a write of the request that still runs may get it, and the
// read of a body without a length then sees an end. An error status without the rest of its text says
// the same, so it counts if the server has closed the connection in order.
func (a *attempt) checkEnd() error {
	if a.writeDone == nil || !a.body.EndedWithConnection() {
		return nil
	}
	_ = a.conn.SetWriteDeadline(a.exchange.relay.clock.Deadline(0))
	err := <-a.writeDone
	a.writeDone, a.reusable = nil, false
	// EPIPE means that the connection failed after the server had closed it.
	endedInOrder := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
	if err == nil || a.head.Status >= statusBadRequest && endedInOrder {
		return nil
	}
	return errors.Wrap(errEarlyEnd, err.Error())
}

// release adds the connection to the idle connections if it is reusable, and
// closes it otherwise.
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
	if a.writeDone != nil {
		select {
		case err := <-a.writeDone:
			a.reusable = a.reusable && err == nil
		default:
			a.reusable = false
		}
	}
	if !a.reusable || interrupted || a.body == nil || !a.body.Done() || conn.reader.Buffered() > 0 {
		fleet.closeConn(conn)
		return
	}
	_ = conn.SetDeadline(noDeadline)
	fleet.putIdle(conn, a.run.StartedAt, a.responseInfo.IdleTimeout)
}

// encodeRequest returns the bytes of the request for the server.
func (x *exchange) encodeRequest(forwardInfo ForwardInfo) []byte {
	headers := x.relay.options.Protocol.Forward(x.request.head, forwardInfo)
	if x.request.hasBody || len(x.request.body) > 0 {
		headers = append(headers, frame.Header{Name: "Content-Length", Value: strconv.Itoa(len(x.request.body))})
	}
	data := make([]byte, 0, 1024+len(x.request.body))
	data = x.request.head.Append(data, headers)
	return append(data, x.request.body...)
}
