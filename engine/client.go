package engine

import (
	"bufio"
	"cmp"
	"context"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
	"github.com/galenaslip/galenaslip/memory"
)

// Header names of the protocol.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderNotRun    = "X-Not-Run"
	HeaderLeaving   = "X-Leaving"    // "true": the server leaves and wants no more requests
	HeaderRateLimit = "X-Rate-Limit" // requests a second that the server takes from all entries together
)

const writeBufferSize = 4096

// Defaults of Options.
const (
	DefaultConnectTimeout = 1 * clock.Second
	DefaultReadTimeout    = 5 * clock.Second
	// DefaultPoolIdleTimeout is shorter than the usual idle timeouts of servers, so that a
	// reused connection is rarely one that the server is about to close.
	DefaultPoolIdleTimeout = 2 * clock.Second
	DefaultPoolSize        = 256
	DefaultMaxBodyBytes    = 16 << 20
	DefaultMaxEventBytes   = 1 << 20
	DefaultMemoryBytes     = 64 << 20
)

// maxRefusalBytes bounds what is read of the text of a refusal.
const maxRefusalBytes = 64 << 10

// Options configure a Client. Zero values select the defaults.
type Options struct {
	Clock           clock.Clock
	ConnectTimeout  clock.Millis
	ReadTimeout     clock.Millis // longest time without a byte
	PoolIdleTimeout clock.Millis // longest time that an unused connection is kept
	PoolSize        int          // idle connections kept for each address
	MaxBodyBytes    int          // largest response body, in bytes
	MaxEventBytes   int          // largest server-sent event, in bytes
	MemoryBytes     int          // memory of all responses that are read at the same time, in bytes
}

func (o Options) withDefaults() Options {
	o.ConnectTimeout = cmp.Or(o.ConnectTimeout, DefaultConnectTimeout)
	o.ReadTimeout = cmp.Or(o.ReadTimeout, DefaultReadTimeout)
	o.PoolIdleTimeout = cmp.Or(o.PoolIdleTimeout, DefaultPoolIdleTimeout)
	o.PoolSize = cmp.Or(o.PoolSize, DefaultPoolSize)
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, DefaultMaxBodyBytes)
	o.MaxEventBytes = cmp.Or(o.MaxEventBytes, DefaultMaxEventBytes)
	o.MemoryBytes = cmp.Or(o.MemoryBytes, DefaultMemoryBytes)
	return o
}

// Client calls engines and services. It is safe for concurrent use.
type Client struct {
	options Options
	pool    *pool
	memory  *responseMemory
}

// New returns a client and a function that closes its idle connections.
func New(options Options) (*Client, func()) {
	options = options.withDefaults()
	c := &Client{options: options, pool: newPool(options), memory: newResponseMemory(options.MemoryBytes)}
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
	// NewConnection requires a new connection instead of a pooled one. Calls that must not run
	// twice need it.
	NewConnection bool
	// ReadTimeout is the longest time without a byte. Zero selects Options.ReadTimeout.
	ReadTimeout clock.Millis
	Hooks
}

// Hooks are functions that run during a call. Each may be nil.
type Hooks struct {
	// BeforeWrite runs after the connection is established and before the first byte is
	// written. If it returns an error, the call ends without sending anything.
	BeforeWrite func() error
	// OnWithdrawal gets what the header of the response says about not taking requests.
	OnWithdrawal func(w Withdrawal)
}

// id returns the request ID, or an empty string if the call has none.
func (r Request) id() string {
	for _, h := range r.Headers {
		if h.Name == HeaderRequestID {
			return h.Value
		}
	}
	return ""
}

// exchange is a call whose response header has been read.
type exchange struct {
	client       *Client
	address      string
	id           string // request ID of the call; empty if it has none
	conn         *connection
	response     *fasthttp.Response
	stopWatching func() bool // stops watching the context; false if it has ended already
	bodyRead     bool        // the body was read to its end
	memory       memory.Reservation
	source       *memory.Source // the server, as a source of responses
}

// open sends a request and reads the response header. The connection is closed when ctx
// ends.
func (c *Client) open(ctx context.Context, r Request) (*exchange, *Failure) {
	id := r.id()
	conn, err := c.pool.get(ctx, poolKey{r.Address, id != ""}, r.NewConnection)
	if err != nil {
		return nil, notSentFailure(r.Address, err)
	}
	stopWatching := context.AfterFunc(ctx, func() { _ = conn.Close() })
	response, err := c.send(conn, r)
	if err != nil {
		stopWatching()
		_ = conn.Close()
		return nil, classifyError(r.Address, conn, err)
	}
	e := &exchange{client: c, address: r.Address, id: id, conn: conn, response: response, stopWatching: stopWatching}
	e.memory, e.source = c.memory.begin(r.Address)
	if conn.reused && !e.hasOwnID() {
		e.close()
		return nil, &Failure{Kind: Malformed, Address: r.Address, Cause: errors.New("the answer is not marked as that to this call")}
	}
	if r.OnWithdrawal != nil {
		r.OnWithdrawal(withdrawalOf(response))
	}
	return e, nil
}

// hasOwnID reports whether the response carries the ID of the call, if that has one. Without
// it, a response on a connection that was used before may be a copy of an earlier one.
func (e *exchange) hasOwnID() bool {
	return e.id == "" || string(e.response.Header.Peek(HeaderRequestID)) == e.id
}

// errNotQuiet means that nothing was sent on a connection, because it has ended or the server
// has sent bytes that belong to no call.
var errNotQuiet = errors.New("the server closed the connection, or sent bytes on it, before the call")

func (c *Client) send(conn *connection, r Request) (*fasthttp.Response, error) {
	readTimeout := cmp.Or(r.ReadTimeout, c.options.ReadTimeout)
	if err := conn.prepare(readTimeout); err != nil {
		return nil, err
	}
	if !conn.isQuiet() {
		return nil, errNotQuiet
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
	return response, readResponse(conn.reader, response)
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

// readBody returns the rest of the body. A body above the limit, or for which no memory is left, is
// an error.
func (e *exchange) readBody(limit int) ([]byte, *Failure) {
	// HEAD, 204 and 304 have no body.
	if e.response.BodyStream() == nil {
		e.bodyRead = true
		return nil, nil
	}
	length := int64(e.response.Header.ContentLength()) // negative if it is not known
	body, err := memory.ReadAll(e.response.BodyStream(), length, limit, e.memory.Of(e.source))
	switch {
	case errors.Is(err, memory.ErrTooLarge), errors.Is(err, memory.ErrNoMemory):
		return nil, &Failure{Kind: Malformed, Address: e.address, Cause: err}
	case err != nil:
		return nil, classifyError(e.address, e.conn, err)
	}
	e.bodyRead = true
	return body, nil
}

// close returns the connection to the pool when the whole response was read and belongs to
// the call, and otherwise closes it.
func (e *exchange) close() {
	notCancelled := e.stopWatching()
	reusable := notCancelled && e.bodyRead && e.hasOwnID() && !e.response.ConnectionClose()
	_ = e.response.CloseBodyStream()
	e.client.memory.end(e.address, &e.memory)
	if reusable {
		e.client.pool.put(poolKey{e.address, e.id != ""}, e.conn)
		return
	}
	_ = e.conn.Close()
}
