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

// dialTimeout bounds the time to connect to an address that does not respond.
const dialTimeout = 2 * time.Second

// connections is the set of the callers' open connections, from which faults pick the
// ones to drop. It is safe for concurrent use.
type connections struct {
	clock      clock.Clock
	mu         sync.Mutex
	open       map[*connection]struct{}
	lastNumber uint64 // number of the connection that was opened last
}

// connection is used for one HTTP exchange and then closed. Connections are not pooled,
// because a pooled connection whose peer has gone silent looks healthy.
type connection struct {
	net.Conn
	owner       *connections
	number      uint64 // position in the order of opening; decides which connections drop closes
	readTimeout clock.Millis
}

// dial opens a connection and adds it to the set. A read fails after readTimeout
// without a byte.
func (p *connections) dial(ctx context.Context, address string, readTimeout clock.Millis) (*connection, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "opening the connection")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	c := &connection{Conn: conn, owner: p, number: p.lastNumber, readTimeout: readTimeout}
	p.open[c] = struct{}{}
	return c, nil
}

// Read fails when no byte has arrived for the read timeout.
func (c *connection) Read(buffer []byte) (int, error) {
	deadline := time.UnixMilli(int64(c.owner.clock.Wall() + c.readTimeout))
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, errors.Wrap(err, "setting the read deadline")
	}
	return c.Conn.Read(buffer)
}

// Close closes the connection and removes it from the set.
func (c *connection) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// drop closes a percentage of the open connections and returns the number of closed
// ones.
func (p *connections) drop(percent int) int {
	p.mu.Lock()
	selected := []*connection{}
	for c := range p.open {
		// 37 and 100 have no common factor, so 100 consecutive numbers take each
		// remainder once, and the selection is spread evenly.
		if int(c.number*37%100) < percent {
			selected = append(selected, c)
		}
	}
	p.mu.Unlock()
	for _, c := range selected {
		_ = c.Close()
	}
	return len(selected)
}

// exchange sends a request and returns the response with its body as a stream. The
// connection must stay open until the body has been read.
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

// responseBody returns a reader of the response body, streamed or not.
func responseBody(response *fasthttp.Response) io.Reader {
	if stream := response.BodyStream(); stream != nil {
		return stream
	}
	return bytes.NewReader(response.Body())
}
