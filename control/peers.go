package control

import (
	"encoding/json"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/replica"
)

// Bounds of the connections to other processes.
const (
	// sendTimeout is below the election timeout of 1 s, so that one silent
	// connection does not cost an election.
	sendTimeout = 500 * clock.Millisecond
	dialTimeout = 300 * clock.Millisecond
	// forwardTimeout is longer than proposeTimeout, so that the leader's own
	// answer arrives first.
	forwardTimeout = 3 * clock.Second
	// idleConnection is how long an unused connection is kept: one that went
	// silent looks healthy.
	idleConnection = 2 * clock.Second
	maxConnections = 4096
)

// peers sends replication messages and forwarded requests. It is the transport
// of the replicated log, which calls Send in one goroutine for each peer with a
// bounded queue that drops messages when it is full.
type peers struct {
	token  string
	client *fasthttp.Client
	sent   atomic.Uint64
	failed atomic.Uint64
}

func newPeers(token string) *peers {
	return &peers{token: token, client: newHTTPClient(maxBody)}
}

// newHTTPClient returns a client that never repeats a request by itself.
func newHTTPClient(maxResponse int) *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			return fasthttp.DialTimeout(address, dialTimeout.Duration())
		},
		MaxIdleConnDuration:       idleConnection.Duration(),
		MaxConnsPerHost:           maxConnections,
		MaxResponseBodySize:       maxResponse,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		NoDefaultUserAgentHeader: true,
	}
}

// Send delivers one message or drops it. The log sends again what is missing.
func (p *peers) Send(to replica.Member, message replica.Message) {
	data, err := replica.EncodeMessage(message)
	if err == nil {
		_, err = p.call(fasthttp.MethodPost, to.Address, pathReplication, data, sendTimeout)
	}
	if err != nil {
		p.failed.Add(1)
		return
	}
	p.sent.Add(1)
}

// join asks the process at an address to add a member. The status is 0 when
// there was no answer.
func (p *peers) join(address string, m wireMember) (int, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return p.call(fasthttp.MethodPost, address, pathJoin, data, forwardTimeout)
}

func (p *peers) call(method, address, path string, body []byte, timeout clock.Millis) (int, error) {
	status, _, err := p.exchange(method, address, path, body, timeout)
	return status, err
}

// exchange returns status and body of the answer.
func (p *peers) exchange(method, address, path string, body []byte, timeout clock.Millis) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(method)
	request.Header.SetContentType(fiber.MIMEApplicationJSON)
	setToken(&request.Header, p.token)
	request.SetBodyRaw(body)
	if err := p.do(request, response, timeout.Duration()); err != nil {
		return 0, nil, errors.Wrapf(err, "calling %s%s", address, path)
	}
	status := response.StatusCode()
	if status >= fiber.StatusBadRequest {
		return status, nil, errors.Errorf("calling %s%s: status %d: %s", address, path, status, slices.Clone(response.Body()))
	}
	return status, slices.Clone(response.Body()), nil
}

// do sends a request. After a failure the other idle connections are closed,
// because they may be silent as well while new connections work.
func (p *peers) do(request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	err := p.client.DoTimeout(request, response, timeout)
	if err != nil {
		p.client.CloseIdleConnections()
	}
	return err
}

func setToken(header *fasthttp.RequestHeader, token string) {
	if token != "" {
		header.Set(fiber.HeaderAuthorization, "Bearer "+token)
	}
}

// neverSent reports whether a request certainly did not leave this process.
func neverSent(err error) bool {
	var dial *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		(errors.As(err, &dial) && dial.Op == "dial")
}
