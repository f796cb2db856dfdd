// Package fencing makes calls that must not leave once their sender has lost the right to make them, as the
// holder of a lease. Receivers compare the fencing tokens that such calls carry.
package fencing

import (
	"bufio"
	"context"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
)

// spareBufferBytes is the size of the write buffer beyond the body: the header fits in, so that a call is
// written at once, after the check of the lease.
const spareBufferBytes = 64 << 10

// ErrMayNotAct means that nothing was sent, because the sender may not make the call any more.
var ErrMayNotAct = errors.New("the leader lease has ended")

// Call is a POST of a JSON document.
type Call struct {
	Address        string // IP:port
	Path           string
	Headers        map[string]string
	Body           []byte
	DialTimeout    clock.Millis
	MaxAnswerBytes int
	MayAct         func() bool // asked directly before the first byte is sent
	Sent           func()      // called once all is sent, if it is not nil
}

// Answer is the response to a call.
type Answer struct {
	Status int
	Body   []byte
}

// Send makes the call and reports whether a byte of it may have left. It opens a new connection, because a
// pooled one may be broken without notice. When ctx ends, it drops what was not delivered.
func (c Call) Send(ctx context.Context) (answer Answer, sent bool, err error) {
	conn, err := fasthttp.DialTimeout(c.Address, c.DialTimeout.Duration())
	if err != nil {
		return Answer{}, false, errors.Wrapf(err, "connecting to %s", c.Address)
	}
	stop := context.AfterFunc(ctx, func() { abortConnection(conn) })
	defer stop()
	defer conn.Close() //nolint:errcheck // The answer was read, or the error is reported.
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.Address + c.Path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	for name, value := range c.Headers {
		request.Header.Set(name, value)
	}
	request.SetConnectionClose()
	request.SetBodyRaw(c.Body)
	writer := bufio.NewWriterSize(conn, len(c.Body)+spareBufferBytes)
	if err := request.Write(writer); err != nil {
		return Answer{}, false, errors.Wrap(err, "encoding the call")
	}
	if !c.MayAct() {
		return Answer{}, false, ErrMayNotAct
	}
	if err := writer.Flush(); err != nil {
		return Answer{}, true, errors.Wrap(err, "sending the call")
	}
	if c.Sent != nil {
		c.Sent()
	}
	if err := response.ReadLimitBody(bufio.NewReader(conn), c.MaxAnswerBytes); err != nil {
		return Answer{}, true, errors.Wrap(err, "reading the answer")
	}
	return Answer{Status: response.StatusCode(), Body: append([]byte(nil), response.Body()...)}, true, nil
}

// abortConnection closes a connection and drops all data that was not delivered. After a plain close the
// operating system could still deliver a call that counts as lost.
func abortConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
