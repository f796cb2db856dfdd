package control

import (
	"encoding/json"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
)

// Bounds of the connections to other processes.
const (
	dialTimeout = 300 * clock.Millisecond
	// forwardTimeout is longer than proposeTimeout, so that the leader's own
	// answer arrives first.
	forwardTimeout = 3 * clock.Second
	// idleConnection is how long an unused connection is kept: one that went
	// silent looks healthy.
	idleConnection = 2 * clock.Second
)

// peers sends replication messages and forwarded requests. Each peer has one
// goroutine and a bounded queue.
type peers struct {
	token   string
	client  *fasthttp.Client
	mu      sync.Mutex
	closed  bool
	tasks   sync.WaitGroup
	sent    atomic.Uint64
	dropped atomic.Uint64
	failed  atomic.Uint64
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
		MaxConnsPerHost:           4096,
		MaxResponseBodySize:       maxResponse,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		NoDefaultUserAgentHeader: true,
	}
}

func setToken(header *fasthttp.RequestHeader, token string) {
	if token != "" {
		header.Set(fiber.HeaderAuthorization, "Bearer "+token)
	}
}

func (p *peers) close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	p.mu.Unlock()
	p.tasks.Wait()
	p.client.CloseIdleConnections()
}

// members asks the process at an address for its group.
func (p *peers) members(address string) (wireMembers, error) {
	var group wireMembers
	body, err := p.call(fasthttp.MethodGet, address, pathMembers, nil, probeTimeout)
	if err != nil {
		return group, err
	}
	return group, errors.Wrap(json.Unmarshal(body, &group), "decoding the members")
}

// join asks the process at an address to add a member.
func (p *peers) join(address string, m wireMember) error {
	data, err := json.Marshal(m)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = p.call(fasthttp.MethodPost, address, pathJoin, data, forwardTimeout+forwardTimeout)
	return err
}

func (p *peers) call(method, address, path string, body []byte, timeout clock.Millis) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(method)
	setToken(&request.Header, p.token)
	request.SetBodyRaw(body)
	if err := p.client.DoTimeout(request, response, timeout.Duration()); err != nil {
		return nil, errors.Wrapf(err, "calling %s%s", address, path)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("calling %s%s: status %d: %s", address, path, response.StatusCode(), response.Body())
	}
	return slices.Clone(response.Body()), nil
}

// neverSent reports whether a request certainly did not leave this process.
func neverSent(err error) bool {
	var dial *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		(errors.As(err, &dial) && dial.Op == "dial")
}
