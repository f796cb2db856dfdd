package control

import (
	"encoding/json"
	"fmt"
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

// Timeouts and limits of connections to other processes.
const (
	// replicationTimeout bounds the delivery of a replication message. It is below
	// the election timeout of 1 s, so that one dead connection does not cause an
	// election.
	replicationTimeout = 500 * clock.Millisecond
	dialTimeout        = 300 * clock.Millisecond
	// forwardTimeout is longer than proposeTimeout, so that the leader's answer
	// arrives before the forwarding member gives up.
	forwardTimeout = 3 * clock.Second
	// idleTimeout is how long an unused connection is kept open. It is short,
	// because a broken connection is not noticed before it is used.
	idleTimeout           = 2 * clock.Second
	maxConnectionsPerHost = 4096 // open connections for each address
)

// peerClient is the HTTP client for requests to other processes, such as
// replication messages and forwarded requests. It is also the transport of the
// replicated log, which has a goroutine and a bounded queue for each peer: the
// goroutine calls Send for each queued message, and a newer message replaces a waiting
// one of its kind. peerClient is safe for concurrent use.
type peerClient struct {
	token          string
	httpClient     *fasthttp.Client
	messagesSent   atomic.Uint64 // replication messages delivered
	messagesFailed atomic.Uint64 // replication messages not delivered
}

func newPeerClient(token string) *peerClient {
	return &peerClient{token: token, httpClient: newHTTPClient(maxBody)}
}

// newHTTPClient returns a client that never retries a request by itself and
// accepts response bodies of up to maxResponse bytes.
func newHTTPClient(maxResponse int) *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(address string) (net.Conn, error) {
			return fasthttp.DialTimeout(address, dialTimeout.Duration())
		},
		MaxIdleConnDuration:       idleTimeout.Duration(),
		MaxConnsPerHost:           maxConnectionsPerHost,
		MaxResponseBodySize:       maxResponse,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		NoDefaultUserAgentHeader: true,
	}
}

// Send delivers one replication message. After a failure the message is dropped;
// the log sends missing entries again.
func (p *peerClient) Send(to replica.Member, message replica.Message) {
	data, err := replica.EncodeMessage(message)
	if err == nil {
		_, err = p.call(fasthttp.MethodPost, to.Address, pathReplication, data, replicationTimeout)
	}
	if err != nil {
		p.messagesFailed.Add(1)
		return
	}
	p.messagesSent.Add(1)
}

// join asks the process at an address to add a member to the group. It returns
// the HTTP status, or 0 without a response.
func (p *peerClient) join(address string, m wireMember) (int, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return p.call(fasthttp.MethodPost, address, pathJoin, data, forwardTimeout)
}

// call sends a request and returns the HTTP status of the response.
func (p *peerClient) call(method, address, path string, body []byte, timeout clock.Millis) (int, error) {
	status, _, err := p.exchange(method, address, path, body, timeout)
	return status, err
}

// exchange sends a request and returns the HTTP status and the body of the
// response. It returns an error for a status of 400 or more, and status 0
// without a response.
func (p *peerClient) exchange(method, address, path string, body []byte, timeout clock.Millis) (int, []byte, error) {
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
		return status, nil, statusError{address + path, status, string(response.Body())}
	}
	return status, slices.Clone(response.Body()), nil
}

// statusError is the error for a response with a status of 400 or more.
type statusError struct {
	target string // address and path
	status int
	body   string
}

// Error returns the error message.
func (e statusError) Error() string {
	return fmt.Sprintf("calling %s: status %d: %s", e.target, e.status, e.body)
}

// do sends a request. After a failure it closes all idle connections, because
// they may be dead as well while new connections work.
func (p *peerClient) do(request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	err := p.httpClient.DoTimeout(request, response, timeout)
	if err != nil {
		p.httpClient.CloseIdleConnections()
	}
	return err
}

func setToken(header *fasthttp.RequestHeader, token string) {
	if token != "" {
		header.Set(fiber.HeaderAuthorization, "Bearer "+token)
	}
}

// neverSent reports whether a failed request was certainly not sent, because
// there was no connection.
func neverSent(err error) bool {
	var opErr *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		(errors.As(err, &opErr) && opErr.Op == "dial")
}
