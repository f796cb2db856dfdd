package engine

import (
	"context"

	"github.com/valyala/fasthttp"
)

// Answer is a complete HTTP response.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// hopByHopHeaders apply to one connection only and must not be forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true,
	"Date": true, "Server": true, "Upgrade": true, "Trailer": true, "Te": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// IsHopByHopHeader reports whether a header applies to one connection only and must not be
// forwarded. The name must be in canonical form.
func IsHopByHopHeader(name string) bool {
	return hopByHopHeaders[name]
}

// Call makes one call and reads the whole response. ctx bounds the duration of the
// call. A response of any status is returned without an error, except for status 503
// with the X-Not-Run header, which also returns a Failure.
func (c *Client) Call(ctx context.Context, r Request) (Answer, error) {
	e, failure := c.open(ctx, r)
	if failure != nil {
		return Answer{}, failure
	}
	defer e.close()
	answer := Answer{Status: e.response.StatusCode(), Headers: endToEndHeaders(e.response)}
	if answer.Status == fasthttp.StatusServiceUnavailable && e.statesNotRun() {
		return answer, refusedFailure(e, answer.Status)
	}
	body, failure := e.readBody(c.options.MaxBodyBytes)
	if failure != nil {
		return Answer{}, failure
	}
	answer.Body = body
	return answer, nil
}

// statesNotRun reports whether the server states that it has not run this call.
func (e *exchange) statesNotRun() bool {
	id := string(e.response.Header.Peek(HeaderRequestID))
	belongs := e.id == "" || id == "" || id == e.id
	return belongs && string(e.response.Header.Peek(HeaderNotRun)) == "true"
}

// endToEndHeaders returns the headers of a response that may be forwarded.
func endToEndHeaders(r *fasthttp.Response) []Header {
	var headers []Header
	for name, value := range r.Header.All() {
		if !IsHopByHopHeader(string(name)) {
			headers = append(headers, Header{Name: string(name), Value: string(value)})
		}
	}
	return headers
}
