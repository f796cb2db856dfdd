package engine

import (
	"bufio"
	"cmp"
	"context"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
)

// Header names of the protocol.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderNotRun    = "X-Not-Run"
)

const writeBufferSize = 4096

// Defaults of the options.
const (
	DefaultConnectTimeout = 1 * clock.Second
	DefaultSilence        = 5 * clock.Second
	// DefaultPoolIdleTimeout is below common idle timeouts of servers, so that a
	// reused connection is rarely one that the server is about to close.
	DefaultPoolIdleTimeout = 2 * clock.Second
	DefaultPoolSize        = 256
	DefaultMaxBodyBytes    = 16 << 20
	DefaultMaxEventBytes   = 1 << 20
)

// Options configure a Client. Zero values select the defaults.
type Options struct {
	Clock           clock.Clock
	ConnectTimeout  clock.Millis
	Silence         clock.Millis // longest time without a byte on a stream
	PoolIdleTimeout clock.Millis
	PoolSize        int // idle connections by address
	MaxBodyBytes    int
	MaxEventBytes   int
}

func (o Options) withDefaults() Options {
	o.ConnectTimeout = cmp.Or(o.ConnectTimeout, DefaultConnectTimeout)
	o.Silence = cmp.Or(o.Silence, DefaultSilence)
	o.PoolIdleTimeout = cmp.Or(o.PoolIdleTimeout, DefaultPoolIdleTimeout)
	o.PoolSize = cmp.Or(o.PoolSize, DefaultPoolSize)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, DefaultMaxBodyBytes)
	o.MaxEventBytes = cmp.Or(o.MaxEventBytes, DefaultMaxEventBytes)
	return o
}

// Client calls engines and services. It is safe for concurrent use.
type Client struct {
	options Options
	pool    *pool
}

// New returns a client and a function that closes its idle connections.
func New(options Options) (*Client, func()) {
	options = options.withDefaults()
	c := &Client{options: options, pool: newPool(options)}
	return c, c.pool.close
}

// Header is one HTTP header.
type Header struct {
	Name, Value string
}

// Request is one HTTP call.
type Request struct {
	Method  string
	Address string
	Path    string // with the query
	Headers []Header
	Body    []byte
	// NewConnection demands a new connection. Calls that must not run twice need it.
	NewConnection bool
	// Silence is the longest time without a byte; zero selects the client's.
	Silence clock.Millis
	// BeforeWrite runs once connected, directly before the first byte is
	// written. An error ends the call with nothing sent.
	BeforeWrite func() error
}

// exchange is a call whose response header has arrived.
type exchange struct {
	client   *Client
	address  string
	conn     *connection
	response *fasthttp.Response
	release  func() bool
	complete bool
}

func (c *Client) open(ctx context.Context, r Request) (*exchange, *Failure) {
	conn, err := c.pool.get(ctx, r.Address, r.NewConnection)
	if err != nil {
		return nil, notSent(r.Address, err)
	}
	release := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, err := c.send(conn, r)
	if err != nil {
		release()
		_ = conn.Close()
		return nil, broken(r.Address, conn, err)
	}
	return &exchange{client: c, address: r.Address, conn: conn, response: response, release: release}, nil
}

func (c *Client) send(conn *connection, r Request) (*fasthttp.Response, error) {
	silence := cmp.Or(r.Silence, c.options.Silence)
	if err := conn.prepare(silence); err != nil {
		return nil, err
	}
	if r.BeforeWrite != nil {
		if err := r.BeforeWrite(); err != nil {
			return nil, err
		}
	}
	if err := writeRequest(conn, r); err != nil {
		return nil, err
	}
	response := &fasthttp.Response{StreamBody: true}
	response.SkipBody = r.Method == fasthttp.MethodHead
	return response, response.ReadLimitBody(conn.reader, 0)
}

func writeRequest(conn *connection, r Request) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(r.Method)
	request.Header.SetNoDefaultContentType(true)
	request.SetRequestURI("http://" + r.Address + r.Path)
	request.URI().DisablePathNormalizing = true
	for _, h := range r.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	request.SetBodyRaw(r.Body)
	w := bufio.NewWriterSize(conn, writeBufferSize)
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// read returns the rest of the body up to the client's limit.
func (e *exchange) read() ([]byte, *Failure) {
	// HEAD, 204 and 304 have no body.
	if e.response.BodyStream() == nil {
		e.complete = true
		return nil, nil
	}
	limit := int64(e.client.options.MaxBodyBytes)
	body, err := io.ReadAll(io.LimitReader(e.response.BodyStream(), limit+1))
	if err != nil {
		return nil, broken(e.address, e.conn, err)
	}
	if int64(len(body)) > limit {
		return nil, &Failure{Kind: Malformed, Address: e.address, Cause: errors.Errorf("body exceeds %d bytes", limit)}
	}
	e.complete = true
	return body, nil
}

// close gives the connection back when the whole answer was read.
func (e *exchange) close() {
	unhurt := e.release()
	keep := unhurt && e.complete && !e.response.ConnectionClose()
	_ = e.response.CloseBodyStream()
	if keep {
		e.client.pool.put(e.address, e.conn)
		return
	}
	_ = e.conn.Close()
}
