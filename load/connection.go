package load

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/galenaslip/galenaslip/clock"
)

// dialTimeout bounds the connection to an address that does not answer.
const dialTimeout = 2 * time.Second

// connections holds the callers' open connections, so that faults can drop them.
type connections struct {
	clock clock.Clock
	mu    sync.Mutex
	open  map[*connection]struct{}
	count uint64
}

// connection is one connection for one exchange. It is not reused: a pooled
// connection that went silent looks healthy.
type connection struct {
	net.Conn
	pool    *connections
	number  uint64
	silence clock.Millis
}

func (p *connections) dial(ctx context.Context, address string, silence clock.Millis) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connecting to the entry")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	c := &connection{Conn: conn, pool: p, number: p.count, silence: silence}
	p.open[c] = struct{}{}
	return c, nil
}

// Read fails when nothing has arrived for the longest silence.
func (c *connection) Read(buffer []byte) (int, error) {
	deadline := time.UnixMilli(int64(c.pool.clock.Wall() + c.silence))
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, errors.Wrap(err, "setting the read deadline")
	}
	return c.Conn.Read(buffer)
}

// Close closes the connection and forgets it.
func (c *connection) Close() error {
	c.pool.mu.Lock()
	delete(c.pool.open, c)
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// drop closes a percentage of the open connections, and returns how many.
func (p *connections) drop(percent int) int {
	p.mu.Lock()
	chosen := []*connection{}
	for c := range p.open {
		// Steps with a factor that is prime to 100 spread the choice.
		if int(c.number*37%100) < percent {
			chosen = append(chosen, c)
		}
	}
	p.mu.Unlock()
	for _, c := range chosen {
		_ = c.Close()
	}
	return len(chosen)
}

// exchange sends a request and returns the response with its body as a stream.
// The caller closes the connection when it has read the body.
func (c *connection) exchange(request *fasthttp.Request) (*fasthttp.Response, error) {
	writer := bufio.NewWriter(c)
	if err := request.Write(writer); err != nil {
		return nil, errors.Wrap(err, "writing the request")
	}
	if err := writer.Flush(); err != nil {
		return nil, errors.Wrap(err, "writing the request")
	}
	response := &fasthttp.Response{StreamBody: true}
	response.SkipBody = string(request.Header.Method()) == fasthttp.MethodHead
	if err := response.Read(bufio.NewReader(c)); err != nil {
		return nil, errors.Wrap(err, "reading the response")
	}
	return response, nil
}

func bodyOf(response *fasthttp.Response) io.Reader {
	if stream := response.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(response.Body())
}
