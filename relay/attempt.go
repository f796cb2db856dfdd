package relay

import (
	"io"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/frame"
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
	// resultUnreachable means that no connection could be opened, so nothing was sent.
	resultUnreachable
	// resultFailed means that the request was sent, may have run, and has no usable
	// response.
	resultFailed
)

var resultNames = [...]string{"abandoned", "answered", "not_run", "stranger", "unreachable", "failed"}

// String returns the name that logs and metrics use for the result.
func (r result) String() string { return resultNames[r] }

// Limits for the exchange of data with a server, in bytes unless noted.
const (
	maxResponseHead = 64 << 10
	maxResponseBody = 16 << 20
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
	exchange       *exchange
	server         *server
	uncachedTokens int                  // prompt tokens that the server probably has not cached
	decodeCost     float64              // estimated work of generating the output, in equivalent prompt tokens (see engine.go)
	repeatable     bool                 // the request may be sent to another server if this attempt fails
	load           float64              // requests at the server when it was chosen, this one excluded
	loadAge        clock.Millis         // age of the other entries' load report, which is included in load
	engineWork     float64              // work at the engine when it was chosen, in equivalent prompt tokens, this prompt included
	tooLate        bool                 // no server was chosen because the request would wait too long at its engine; see package forecast
	run            quarantine.ServerRun // identifies the server until it starts again
	chosenAt       clock.Millis         // when the server was chosen, before the request was sent
	firstByteSeen  bool                 // recordFirstByte was called, so the prompt no longer counts as unprocessed
	firstByteAt    clock.Millis         // when the head of the response was read; 0 before
	survived       bool                 // the quarantine knows that the request has not ended its server
	result         result
	err            error

	mu           sync.Mutex // guards conn, interrupted and retryGranted
	conn         *serverConn
	interrupted  bool
	retryGranted bool // the retry budget has already granted the next attempt

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

// setResult records how the attempt ended; err may be nil.
func (a *attempt) setResult(r result, err error) {
	a.result, a.err = r, err
}

// send gets a connection, writes the request and reads the head of the response.
// It reports whether it has read a head, so that the body can follow.
func (a *attempt) send(data []byte, onceOnly bool, deadline clock.Millis) bool {
	x := a.exchange
	now := x.relay.clock.Now()
	conn, err := x.relay.fleet.connect(a.server, onceOnly, deadline-now)
	if err != nil {
		a.setResult(resultUnreachable, err)
		return false
	}
	if !a.setConn(conn) {
		a.setResult(resultAbandoned, errInterrupted)
		return false
	}
	_ = conn.SetDeadline(x.relay.clock.Deadline(deadline - x.relay.clock.Now()))
	if err := a.write(conn, data); err != nil {
		a.failAfterSend(err)
		return false
	}
	return a.readHead(conn)
}

var errInterrupted = errors.New("the attempt was interrupted")

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

// readHead reads the head of the response to the request. It skips, up to a limit, responses
// that carry the ID of another request.
func (a *attempt) readHead(conn *serverConn) bool {
	x := a.exchange
	for stray := 0; ; {
		head, err := readFinalHead(conn)
		if err != nil {
			a.failAfterSend(err)
			return false
		}
		responseInfo := x.relay.options.Protocol.ResponseInfo(head)
		body, err := frame.ResponseBody(conn.reader, head, x.request.head.Method)
		if err != nil {
			a.failAfterSend(err)
			return false
		}
		if responseInfo.ID == "" && conn.identifiesResponses {
			// It may be a copy of an earlier response.
			a.failAfterSend(errors.New("server sent a response without the ID that its earlier ones had"))
			return false
		}
		if responseInfo.ID != "" && responseInfo.ID != x.requestInfo.ID {
			stray++
			if stray > maxStrayResponses || body.EndsWithConnection() {
				a.failAfterSend(errors.New("server sent responses to other requests"))
				return false
			}
			if _, err := body.ReadAll(maxResponseBody, &x.memory); err != nil {
				a.failAfterSend(err)
				return false
			}
			continue
		}
		conn.identifiesResponses = responseInfo.ID != ""
		a.firstByteAt = x.relay.clock.Now()
		a.reusable = stray == 0 && !head.ClosesConnection() && !body.EndsWithConnection()
		a.head, a.responseInfo, a.body = head, responseInfo, body
		x.relay.fleet.recordLoad(a.server, responseInfo)
		return true
	}
}

// readFinalHead reads the head of a response. It skips informational responses, up to a
// limit.
func readFinalHead(conn *serverConn) (frame.Head, error) {
	for range maxInterimResponses {
		head, err := frame.ReadResponse(conn.reader, maxResponseHead)
		if err != nil || head.Status >= 200 {
			return head, err
		}
	}
	return frame.Head{}, errors.Errorf("server sent more than %d informational responses", maxInterimResponses)
}

// readBody reads the body of a response that is not streamed. It reports whether
// the body is complete.
func (a *attempt) readBody() ([]byte, bool) {
	data, err := a.body.ReadAll(maxResponseBody, &a.exchange.memory)
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		a.failAfterSend(err)
		return nil, false
	}
	return data, true
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
	fleet.putIdle(conn, a.responseInfo.IdleTimeout)
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
